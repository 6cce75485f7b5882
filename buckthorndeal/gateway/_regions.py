"""Load of other regions, as known to one entry host; no I/O."""

from dataclasses import dataclass, field

from buckthorndeal.gateway._fleet_messages import (
    RegionUpdate,
)
from buckthorndeal.gateway._messages import Call

# Older load reports are ignored; they are exchanged about twice a second.
LOAD_LIFETIME_S = 2.0
# Round trip time between two regions.
ROUND_TRIP_S = 0.17
# Added to the predicted wait for each request beyond the reported free slots.
EXCESS_REQUEST_PENALTY_S = 0.05


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """A region that can serve a request.

    Parameters
    ----------
    region : str
        The region.
    host : str
        Entry host through which it is reached.
    wait_s : float
        Predicted wait, including the round trip.
    """

    region: str
    host: str
    wait_s: float


@dataclass(slots=True)
class _RegionState:
    host: str
    updated_s: float
    waits_s: dict[str, float]
    free_slots: dict[str, int]
    versions: dict[str, tuple[str, ...]]
    sent: dict[str, int] = field(default_factory=dict)


class RegionTable:
    """Loads of other regions, and the requests sent there since the last report."""

    def __init__(self) -> None:
        self._regions: dict[str, _RegionState] = {}

    def update(self, message: RegionUpdate, now_s: float) -> None:
        """Store a newer load report, or remove an unreachable region."""
        if message.host is None:
            self._regions.pop(message.region, None)
            return
        self._regions[message.region] = _RegionState(
            message.host, now_s, message.waits_s, message.free_slots, message.versions
        )

    def choose(
        self,
        call: Call,
        excluded: frozenset[str],
        now_s: float,
    ) -> RegionChoice | None:
        """Return the region with the shortest predicted wait, or None.

        Parameters
        ----------
        call : Call
            The request.
        excluded : frozenset of str
            Regions at which earlier attempts have failed.
        now_s : float
            Clock reading.
        """
        best: RegionChoice | None = None
        service, version = call.service, call.version
        for name, region in self._regions.items():
            if name in excluded or not call.may_run_in(name):
                continue
            if now_s - region.updated_s > LOAD_LIFETIME_S:
                continue
            if service not in region.waits_s:
                continue
            if version is not None and version not in region.versions.get(service, ()):
                continue
            excess = region.sent.get(service, 0) - region.free_slots.get(service, 0)
            wait_s = ROUND_TRIP_S + region.waits_s[service]
            wait_s += max(0, excess + 1) * EXCESS_REQUEST_PENALTY_S
            if best is None or wait_s < best.wait_s:
                best = RegionChoice(name, region.host, wait_s)
        return best

    def record_sent(self, name: str, service: str) -> None:
        """Count a request that is sent to a region."""
        region = self._regions.get(name)
        if region is not None:
            region.sent[service] = region.sent.get(service, 0) + 1
