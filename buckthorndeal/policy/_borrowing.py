"""The borrowing side of spill credits: grants and summaries of other regions."""

import math
from collections.abc import Mapping

from buckthorndeal.policy._credit_messages import (
    GRANT_LIFETIME_S,
    CreditGrant,
    CreditRequest,
    RegionSummary,
)
from buckthorndeal.policy.views import RegionView

REQUEST_INTERVAL_S = 1.0
DEMAND_SMOOTHING_S = 3.0
# Demand below this number of requests per second counts as none.
MIN_DEMAND_PER_S = 0.2
SUMMARY_LIFETIME_S = 6.0


class Borrower:
    """Keeps the credits that a region has been granted by others.

    Parameters
    ----------
    region : str
        The region that borrows.
    link_delays_s : mapping of str to float
        One-way delay in seconds of the link to each region.
    default_delay_s : float
        Delay of the links to other regions.
    """

    def __init__(
        self, region: str, link_delays_s: Mapping[str, float], default_delay_s: float
    ) -> None:
        self._region = region
        self._default_delay_s = default_delay_s
        self._link_delays_s = dict(link_delays_s)
        # Grant, unused credits and time of expiry, by region.
        self._grants: dict[str, tuple[CreditGrant, int, float]] = {}
        # Summary and time of its receipt, by region.
        self._summaries: dict[str, tuple[RegionSummary, float]] = {}
        self._demand_per_s = 0.0
        self._demand_updated_s: float | None = None
        self._requested_at_s = -math.inf
        self._asked_regions: set[str] = set()

    def record_demand(self, count: int, now_s: float) -> None:
        """Count requests that could have used another region."""
        self._decay_demand(now_s)
        self._demand_per_s += count / DEMAND_SMOOTHING_S

    def receive_grant(self, grant: CreditGrant, now_s: float) -> None:
        """Replace the credits of the granting region, unless the grant is outdated.

        Once the held grant has expired, a grant with any number is accepted, as a
        restarted lender numbers its grants from one again.
        """
        held = self._grants.get(grant.region)
        is_valid = held is not None and now_s < held[2]
        if is_valid and held[0].number >= grant.number:
            return
        self._grants[grant.region] = (grant, grant.credits, now_s + grant.lifetime_s)

    def receive_summary(self, summary: RegionSummary, now_s: float) -> None:
        """Store the summary of another region."""
        self._summaries[summary.region] = (summary, now_s)

    def forget_region(self, region: str) -> None:
        """Remove grant and summary of a region whose lending host has changed."""
        self._grants.pop(region, None)
        self._summaries.pop(region, None)
        self._asked_regions.discard(region)

    def count_credits(self, region: str, now_s: float) -> int:
        """Return the number of valid, unused credits of a region."""
        held = self._grants.get(region)
        return held[1] if held is not None and now_s < held[2] else 0

    def take_credit(self, region: str, now_s: float) -> bool:
        """Use one credit of a region; return whether there was one."""
        unused = self.count_credits(region, now_s)
        if unused <= 0:
            return False
        grant, _, expires_s = self._grants[region]
        self._grants[region] = (grant, unused - 1, expires_s)
        return True

    def return_credit(self, region: str, now_s: float) -> None:
        """Restore a credit that was taken for a request that was not sent."""
        unused = self.count_credits(region, now_s)
        if region in self._grants:
            grant, _, expires_s = self._grants[region]
            self._grants[region] = (grant, min(grant.credits, unused + 1), expires_s)

    def create_requests(self, now_s: float) -> list[CreditRequest]:
        """Create the credit requests that are due.

        A request asks for new credits, renews or changes their number, or gives them
        back.

        Returns
        -------
        list of CreditRequest
            The requests in the order of the regions' names; empty within
            `REQUEST_INTERVAL_S` of the previous ones.
        """
        if now_s - self._requested_at_s < REQUEST_INTERVAL_S:
            return []
        self._requested_at_s = now_s
        self._decay_demand(now_s)
        wanted = self._count_wanted()
        chosen = self._choose_regions(wanted, now_s)
        returned = self._asked_regions - set(chosen)
        self._asked_regions = set(chosen)
        requests = {region: 0 for region in returned} | chosen
        return [
            CreditRequest(region, self._region, amount)
            for region, amount in sorted(requests.items())
        ]

    def list_regions(self, now_s: float) -> list[RegionView]:
        """Return the regions with a recent summary, for a routing decision."""
        views = []
        for region, (summary, received_s) in sorted(self._summaries.items()):
            if now_s - received_s < SUMMARY_LIFETIME_S:
                delay_s = self._link_delays_s.get(region, self._default_delay_s)
                unused = self.count_credits(region, now_s)
                views.append(RegionView(region, unused, summary.wait_s, delay_s))
        return views

    def _decay_demand(self, now_s: float) -> None:
        if self._demand_updated_s is not None:
            elapsed_s = max(0.0, now_s - self._demand_updated_s)
            self._demand_per_s *= math.exp(-elapsed_s / DEMAND_SMOOTHING_S)
        self._demand_updated_s = now_s

    def _count_wanted(self) -> int:
        if self._demand_per_s < MIN_DEMAND_PER_S:
            return 0
        return math.ceil(self._demand_per_s * GRANT_LIFETIME_S)

    def _choose_regions(self, wanted: int, now_s: float) -> dict[str, int]:
        """Return how many credits to ask of which regions.

        Regions with spare capacity are chosen until they cover the wanted number;
        those already asked come first, then those with the lowest expected delay.
        """
        if not wanted:
            return {}
        views = [
            view
            for view in self.list_regions(now_s)
            if self._summaries[view.region][0].spare > 0
            or view.region in self._asked_regions
        ]
        views.sort(
            key=lambda view: (
                view.region not in self._asked_regions,
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
