"""Division of what a region lends among the hosts of other regions; no I/O.

Answers a herd of hosts that all send to the same free endpoints: each of them is told
only its own part. Every host of the lending region divides the spare capacity of the
whole region, by what it knows of the hosts that ask it. Hosts of a region have the same
endpoints and about the same load, so that one of them speaks for all.
"""

from dataclasses import dataclass

from buckthorndeal.gateway._fleet_messages import Borrower, SpareCapacity
from buckthorndeal.policy.credits import split_fairly

# Hosts ask about twice a second; a region of which none has asked for longer borrows no
# more.
BORROWER_LIFETIME_S = 1.5
# A region gets up to this many times what it has wanted since its last report, as
# demand may rise until the next one.
GROWTH = 2
# Weight of the newest host that asks in what its region wants.
WANTED_WEIGHT = 0.4


@dataclass(slots=True)
class _RegionDemand:
    hosts: int
    wanted: float
    asked_s: float


class RegionLending:
    """Divides the spare capacity of one service among other regions and their hosts."""

    def __init__(self) -> None:
        self._demands: dict[str, _RegionDemand] = {}
        self._rotation = 0

    def lend(
        self, spare: SpareCapacity, borrower: Borrower, wanted: int, now_s: float
    ) -> SpareCapacity:
        """Return the part of one host.

        Parameters
        ----------
        spare : SpareCapacity
            What may be lent to all of them.
        borrower : Borrower
            Host that asks.
        wanted : int
            Prompt tokens that it would have liked to send since its last report.
        now_s : float
            Clock reading.
        """
        self._record(borrower, max(0, wanted), now_s)
        total = spare.tokens
        if total <= 0:
            return SpareCapacity(0, 0)
        wants = {
            name: int(GROWTH * demand.wanted * demand.hosts)
            for name, demand in self._demands.items()
        }
        self._rotation += 1
        shares = split_fairly(total, wants, self._rotation)
        # What nobody has asked for yet is divided as well, as demand may rise at once.
        left = (total - sum(shares.values())) / len(shares)
        part = (shares[borrower.region] + left) / total
        part /= self._demands[borrower.region].hosts
        # At least one request, or small parts would add up to nothing.
        requests = max(1, int(spare.requests * part))
        return SpareCapacity(requests, int(spare.tokens * part))

    def _record(self, borrower: Borrower, wanted: int, now_s: float) -> None:
        for name in list(self._demands):
            if now_s - self._demands[name].asked_s > BORROWER_LIFETIME_S:
                del self._demands[name]
        demand = self._demands.get(borrower.region)
        if demand is None:
            demand = _RegionDemand(1, wanted, now_s)
            self._demands[borrower.region] = demand
        demand.hosts = max(1, borrower.hosts)
        demand.wanted += WANTED_WEIGHT * (wanted - demand.wanted)
        demand.asked_s = now_s
