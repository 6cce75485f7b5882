"""Spill credits: a region lends spare capacity to others for a short time."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from buckthorndeal.policy._credit_messages import (
    CreditGrant,
    CreditRequest,
    RegionSummary,
)
from buckthorndeal.policy.views import RegionView

__all__ = [
    "Borrower",
    "CreditGrant",
    "CreditRequest",
    "Lender",
    "RegionSummary",
    "create_borrower",
    "create_lender",
    "split_fairly",
]

GRANT_LIFETIME_S = 3.0
# Kept back from the spare capacity for own callers that come within a lifetime.
HEADROOM_SHARE = 0.3
# Credits are opened at two and closed below one. After closing, lending pauses,
# twice as long each time that it was open for a short time only, so that a peak
# that moves back and forth doesn't flap.
OPEN_CREDITS = 2
CLOSE_CREDITS = 1
MIN_PAUSE_S = 5.0
MAX_PAUSE_S = 60.0
SHORT_OPEN_S = 10.0
# Spare capacity counts in full only after it has lasted about this long.
SPARE_RISE_S = 3.0
REFRESH_S = 1.0
DEMAND_SMOOTHING_S = 3.0
# Demand below this many requests per second is over.
MIN_DEMAND_PER_S = 0.2
SUMMARY_LIFETIME_S = 6.0


@dataclass(slots=True)
class _Allowance:
    credits: int
    expires_s: float


class Lender:
    """Lends what own callers leave, and takes it back when they need it."""

    def __init__(self, region: str, headroom_share: float, lifetime_s: float) -> None:
        self._region = region
        self._headroom_share = headroom_share
        self._lifetime_s = lifetime_s
        self._allowances: dict[str, _Allowance] = {}
        self._number = 0
        self._spare = 0.0
        self._updated_s: float | None = None
        self._open = False
        self._opened_s = -math.inf
        self._closed_until_s = -math.inf
        self._pause_s = MIN_PAUSE_S

    @property
    def is_lending(self) -> bool:
        """Whether credits are open."""
        return self._open

    def grant(
        self,
        spare: int,
        requests: Mapping[str, int],
        now_s: float,
        limit: int | None = None,
    ) -> list[CreditGrant]:
        """Split the spare capacity between the regions that ask.

        Parameters
        ----------
        spare : int
            Free slots after own demand.
        requests : mapping of str to int
            Credits wanted by each region in this round.
        now_s : float
            Clock reading.
        limit : int, optional
            Largest number of credits that may be lent.

        Returns
        -------
        list of CreditGrant
            One for each region that asked, also with zero credits.
        """
        usable = self._update_spare(spare, now_s, limit)
        usable -= self._count_others(requests, now_s)
        shares = split_fairly(max(0, usable), requests, self._number)
        return [
            self._create_grant(region, shares[region], now_s)
            for region in sorted(requests)
        ]

    def redeem(self, region: str, spare: int, now_s: float) -> bool:
        """Accept a request of another region against its credits.

        Own callers come first: without a free slot no credit is honoured.
        """
        allowance = self._allowances.get(region)
        if allowance is None or now_s >= allowance.expires_s:
            return False
        if spare <= 0 or allowance.credits <= 0:
            return False
        allowance.credits -= 1
        return True

    def summarize(
        self, wait_s: float, spare: int, now_s: float, limit: int | None = None
    ) -> RegionSummary:
        """Return the summary for the other regions; called at each interval.

        Lending opens here: a region is only asked once its summary shows spare
        capacity.
        """
        usable = self._update_spare(spare, now_s, limit)
        return RegionSummary(self._region, wait_s, usable)

    def _create_grant(self, region: str, amount: int, now_s: float) -> CreditGrant:
        self._number += 1
        self._allowances[region] = _Allowance(amount, now_s + self._lifetime_s)
        return CreditGrant(self._region, region, self._number, amount, self._lifetime_s)

    def _update_spare(self, spare: int, now_s: float, limit: int | None) -> int:
        """Return what may be lent; a fall counts at once, a rise slowly.

        Lending opens and closes by the spare capacity before the limit, so that
        a limit of one credit can be lent at all and keeps the hysteresis.
        """
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        first = self._updated_s is None
        self._updated_s = now_s
        share = 1.0 if first else 1.0 - math.exp(-elapsed_s / SPARE_RISE_S)
        rising = spare > self._spare
        self._spare += (share if rising else 1.0) * (spare - self._spare)
        usable = self._count_usable(self._spare)
        if self._open and usable < CLOSE_CREDITS:
            self._close(now_s)
        elif not self._open and now_s >= self._closed_until_s:
            self._open = usable >= OPEN_CREDITS
            self._opened_s = now_s
        if not self._open:
            return 0
        return usable if limit is None else min(usable, limit)

    def _close(self, now_s: float) -> None:
        short = now_s - self._opened_s < SHORT_OPEN_S
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s) if short else MIN_PAUSE_S
        self._open = False
        self._closed_until_s = now_s + self._pause_s

    def _count_usable(self, spare: float) -> int:
        return max(0, math.floor(spare * (1.0 - self._headroom_share)))

    def _count_others(self, requests: Mapping[str, int], now_s: float) -> int:
        """Return unexpired credits of the regions that do not ask now."""
        for region in list(self._allowances):
            if now_s >= self._allowances[region].expires_s:
                del self._allowances[region]
        return sum(
            allowance.credits
            for region, allowance in self._allowances.items()
            if region not in requests
        )


class Borrower:
    """Credits that this region holds from others."""

    def __init__(
        self, region: str, link_delays_s: Mapping[str, float], default_delay_s: float
    ) -> None:
        self._region = region
        self._default_delay_s = default_delay_s
        self._link_delays_s = dict(link_delays_s)
        self._held: dict[str, tuple[CreditGrant, int, float]] = {}
        self._summaries: dict[str, tuple[RegionSummary, float]] = {}
        self._demand_per_s = 0.0
        self._demand_s: float | None = None
        self._refreshed_s = -math.inf
        self._asked: set[str] = set()

    def record_demand(self, count: int, now_s: float) -> None:
        """Count requests that could have used another region."""
        self._decay_demand(now_s)
        self._demand_per_s += count / DEMAND_SMOOTHING_S

    def receive_grant(self, grant: CreditGrant, now_s: float) -> None:
        """Replace the credits of the granting region, unless the grant is old.

        After the held grant has expired any number is new: a lender that was
        restarted counts from one again.
        """
        held = self._held.get(grant.region)
        is_held = held is not None and now_s < held[2]
        if is_held and held[0].number >= grant.number:
            return
        self._held[grant.region] = (grant, grant.credits, now_s + grant.lifetime_s)

    def receive_summary(self, summary: RegionSummary, now_s: float) -> None:
        """Note what another region tells of itself."""
        self._summaries[summary.region] = (summary, now_s)

    def forget_region(self, region: str) -> None:
        """Drop what came from a region whose lending host has changed."""
        self._held.pop(region, None)
        self._summaries.pop(region, None)
        self._asked.discard(region)

    def count_credits(self, region: str, now_s: float) -> int:
        """Return the unused credits of a region."""
        held = self._held.get(region)
        return held[1] if held is not None and now_s < held[2] else 0

    def take_credit(self, region: str, now_s: float) -> bool:
        """Take one credit; return whether there was one."""
        left = self.count_credits(region, now_s)
        if left <= 0:
            return False
        grant, _, expires_s = self._held[region]
        self._held[region] = (grant, left - 1, expires_s)
        return True

    def return_credit(self, region: str, now_s: float) -> None:
        """Return a credit whose request was not sent."""
        left = self.count_credits(region, now_s)
        if region in self._held:
            grant, _, expires_s = self._held[region]
            self._held[region] = (grant, min(grant.credits, left + 1), expires_s)

    def create_requests(self, now_s: float) -> list[CreditRequest]:
        """Return the requests to send now, for renewal, more, or return."""
        if now_s - self._refreshed_s < REFRESH_S:
            return []
        self._refreshed_s = now_s
        self._decay_demand(now_s)
        wanted = self._count_wanted()
        chosen = self._choose_regions(wanted, now_s)
        returned = self._asked - set(chosen)
        self._asked = set(chosen)
        requests = {region: 0 for region in returned} | chosen
        return [
            CreditRequest(region, self._region, amount)
            for region, amount in sorted(requests.items())
        ]

    def list_regions(self, now_s: float) -> list[RegionView]:
        """Return the regions for a route choice."""
        views = []
        for region, (summary, received_s) in sorted(self._summaries.items()):
            if now_s - received_s < SUMMARY_LIFETIME_S:
                delay_s = self._link_delays_s.get(region, self._default_delay_s)
                left = self.count_credits(region, now_s)
                views.append(RegionView(region, left, summary.wait_s, delay_s))
        return views

    def _decay_demand(self, now_s: float) -> None:
        if self._demand_s is not None:
            elapsed_s = max(0.0, now_s - self._demand_s)
            self._demand_per_s *= math.exp(-elapsed_s / DEMAND_SMOOTHING_S)
        self._demand_s = now_s

    def _count_wanted(self) -> int:
        if self._demand_per_s < MIN_DEMAND_PER_S:
            return 0
        return math.ceil(self._demand_per_s * GRANT_LIFETIME_S)

    def _choose_regions(self, wanted: int, now_s: float) -> dict[str, int]:
        """Ask the regions with spare capacity, those asked before first."""
        if not wanted:
            return {}
        views = [
            view
            for view in self.list_regions(now_s)
            if self._summaries[view.region][0].spare > 0 or view.region in self._asked
        ]
        views.sort(
            key=lambda view: (
                view.region not in self._asked,
                view.wait_s + 2 * view.link_delay_s,
            )
        )
        chosen: dict[str, int] = {}
        for view in views:
            if wanted <= 0:
                break
            chosen[view.region] = wanted
            wanted -= self._summaries[view.region][0].spare
        return chosen


def split_fairly(total: int, wants: Mapping[str, int], turn: int = 0) -> dict[str, int]:
    """Split whole credits so that no region gets less to give another more.

    Parameters
    ----------
    total : int
        Credits to split.
    wants : mapping of str to int
        Wanted amount of each region; none gets more.
    turn : int, optional
        Rotates who gets the remainder.

    Returns
    -------
    dict of str to int
        Amount of each region.
    """
    shares = {region: 0 for region in wants}
    order = sorted(wants)
    start = turn % len(order) if order else 0
    hungry = [name for name in order[start:] + order[:start] if wants[name] > 0]
    while total > 0 and hungry:
        share = max(1, total // len(hungry))
        for region in hungry:
            amount = min(share, wants[region] - shares[region], total)
            shares[region] += amount
            total -= amount
        hungry = [region for region in hungry if shares[region] < wants[region]]
    return shares


def create_lender(
    region: str,
    headroom_share: float = HEADROOM_SHARE,
    lifetime_s: float = GRANT_LIFETIME_S,
) -> Lender:
    """Create the lending side of a region.

    Parameters
    ----------
    region : str
        The region that lends.
    headroom_share : float, optional
        Share of the spare capacity that is never lent.
    lifetime_s : float, optional
        Validity of a grant.

    Returns
    -------
    Lender
        The lending side, with nothing lent.
    """
    return Lender(region, headroom_share, lifetime_s)


def create_borrower(
    region: str,
    link_delays_s: Mapping[str, float] | None = None,
    default_delay_s: float = 0.0,
) -> Borrower:
    """Create the borrowing side of a region.

    Parameters
    ----------
    region : str
        The region that borrows.
    link_delays_s : mapping of str to float, optional
        One-way delay of the link to each region.
    default_delay_s : float, optional
        Delay of the links that are not named.

    Returns
    -------
    Borrower
        The borrowing side, with no credits.
    """
    return Borrower(region, link_delays_s or {}, default_delay_s)
