"""The lending side of spill credits: grants of a region's spare capacity."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from buckthorndeal.policy._credit_messages import CreditGrant, RegionSummary

# Lending starts at two usable credits and stops below one. It then pauses; the pause
# doubles each time lending lasted only a short time, so that a peak moving back and
# forth between regions doesn't switch it on and off.
START_LENDING_CREDITS = 2
STOP_LENDING_CREDITS = 1
MIN_PAUSE_S = 5.0
MAX_PAUSE_S = 60.0
SHORT_LENDING_S = 10.0
# Time constant with which an increase of the spare capacity is taken into account.
SPARE_RISE_S = 3.0


@dataclass(slots=True)
class _GrantedCredits:
    """Unused credits of a region and the time at which they expire."""

    credits: int
    expires_s: float


class Lender:
    """Lends capacity that the region's own callers don't use.

    A borrower is identified by any unique name: that of a region, or that of one of its
    entry hosts if each host borrows for itself.

    Parameters
    ----------
    region : str
        The region that lends.
    headroom_share : float
        Share of the spare capacity that is never lent.
    lifetime_s : float
        Validity of a grant in seconds.
    """

    def __init__(self, region: str, headroom_share: float, lifetime_s: float) -> None:
        self._region = region
        self._headroom_share = headroom_share
        self._lifetime_s = lifetime_s
        self._granted: dict[str, _GrantedCredits] = {}
        self._last_number = 0
        self._spare = 0.0
        self._updated_s: float | None = None
        self._is_lending = False
        self._started_s = -math.inf
        self._paused_until_s = -math.inf
        self._pause_s = MIN_PAUSE_S

    @property
    def is_lending(self) -> bool:
        """Whether the region currently lends credits."""
        return self._is_lending

    def grant(
        self,
        spare: int,
        requests: Mapping[str, int],
        now_s: float,
        limit: int | None = None,
    ) -> list[CreditGrant]:
        """Divide the spare capacity among the regions that ask for credits.

        Parameters
        ----------
        spare : int
            Slots that the region's own callers leave free.
        requests : mapping of str to int
            Credits wanted by each region in this round.
        now_s : float
            Monotonic time in seconds.
        limit : int, optional
            Largest number of credits that may be lent.

        Returns
        -------
        list of CreditGrant
            One grant for each region that asked, with zero credits if it gets none.
        """
        usable = self._update_spare(spare, now_s, limit)
        usable -= self._count_other_credits(requests, now_s)
        shares = split_fairly(max(0, usable), requests, self._last_number)
        return [
            self._create_grant(region, shares[region], now_s)
            for region in sorted(requests)
        ]

    def redeem(self, region: str, spare: int, now_s: float) -> bool:
        """Accept a request of another region in exchange for one of its credits.

        The region's own callers have precedence: without a free slot no credit is
        honoured.

        Parameters
        ----------
        region : str
            Region that sent the request.
        spare : int
            Slots that the region's own callers leave free.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the request is accepted.
        """
        granted = self._granted.get(region)
        if granted is None or now_s >= granted.expires_s:
            return False
        if spare <= 0 or granted.credits <= 0:
            return False
        granted.credits -= 1
        return True

    def summarize(
        self, wait_s: float, spare: int, now_s: float, limit: int | None = None
    ) -> RegionSummary:
        """Return the summary for the other regions; called at each interval.

        Lending starts with a summary, as a region is asked for credits only after its
        summary has shown spare capacity.

        Parameters
        ----------
        wait_s : float
            Queueing delay of the region's own callers in seconds.
        spare : int
            Slots that these callers leave free.
        now_s : float
            Monotonic time in seconds.
        limit : int, optional
            Largest number of credits that may be lent.

        Returns
        -------
        RegionSummary
            The summary, with the capacity that may be lent.
        """
        usable = self._update_spare(spare, now_s, limit)
        return RegionSummary(self._region, wait_s, usable)

    def _create_grant(self, region: str, amount: int, now_s: float) -> CreditGrant:
        self._last_number += 1
        self._granted[region] = _GrantedCredits(amount, now_s + self._lifetime_s)
        return CreditGrant(
            self._region, region, self._last_number, amount, self._lifetime_s
        )

    def _update_spare(self, spare: int, now_s: float, limit: int | None) -> int:
        """Return the number of credits that may be lent.

        A decrease of the spare capacity counts at once, an increase gradually. Start
        and stop of lending depend on the spare capacity before the limit is applied,
        so that lending can start with a limit of one credit too, and keeps its
        hysteresis.
        """
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        is_first = self._updated_s is None
        self._updated_s = now_s
        weight = 1.0 if is_first else 1.0 - math.exp(-elapsed_s / SPARE_RISE_S)
        is_rising = spare > self._spare
        self._spare += (weight if is_rising else 1.0) * (spare - self._spare)
        usable = self._count_usable(self._spare)
        if self._is_lending and usable < STOP_LENDING_CREDITS:
            self._stop_lending(now_s)
        elif not self._is_lending and now_s >= self._paused_until_s:
            self._is_lending = usable >= START_LENDING_CREDITS
            self._started_s = now_s
        if not self._is_lending:
            return 0
        return usable if limit is None else min(usable, limit)

    def _stop_lending(self, now_s: float) -> None:
        was_short = now_s - self._started_s < SHORT_LENDING_S
        self._pause_s = (
            min(MAX_PAUSE_S, 2 * self._pause_s) if was_short else MIN_PAUSE_S
        )
        self._is_lending = False
        self._paused_until_s = now_s + self._pause_s

    def _count_usable(self, spare: float) -> int:
        return max(0, math.floor(spare * (1.0 - self._headroom_share)))

    def _count_other_credits(self, requests: Mapping[str, int], now_s: float) -> int:
        """Count the valid credits of regions that don't ask in this round."""
        for region in list(self._granted):
            if now_s >= self._granted[region].expires_s:
                del self._granted[region]
        return sum(
            granted.credits
            for region, granted in self._granted.items()
            if region not in requests
        )


def split_fairly(
    total: int, wants: Mapping[str, int], rotation: int = 0
) -> dict[str, int]:
    """Divide whole credits among regions with max-min fairness.

    Parameters
    ----------
    total : int
        Number of credits to divide.
    wants : mapping of str to int
        Number of credits that each region wants; none gets more.
    rotation : int, optional
        Rotates the order in which regions get a share of the remainder.

    Returns
    -------
    dict of str to int
        Number of credits of each region.
    """
    shares = {region: 0 for region in wants}
    order = sorted(wants)
    start = rotation % len(order) if order else 0
    unsatisfied = [name for name in order[start:] + order[:start] if wants[name] > 0]
    while total > 0 and unsatisfied:
        share = max(1, total // len(unsatisfied))
        for region in unsatisfied:
            amount = min(share, wants[region] - shares[region], total)
            shares[region] += amount
            total -= amount
        unsatisfied = [
            region for region in unsatisfied if shares[region] < wants[region]
        ]
    return shares
