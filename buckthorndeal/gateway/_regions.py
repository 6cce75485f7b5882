"""What an entry host knows of other regions; no I/O."""

from dataclasses import dataclass, field

from buckthorndeal.configuration import Route
from buckthorndeal.gateway._messages import RegionHeard

# Loads are exchanged twice a second.
LOAD_LIFETIME_S = 2.0
# There and back between two regions.
ROUND_TRIP_S = 0.17
# Wait that one request without a free place adds to the report of its region.
CROWDING_S = 0.05


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """A region that can take a request."""

    region: str
    host: str
    wait_s: float


@dataclass(slots=True)
class _Region:
    host: str
    heard_s: float
    waits_s: dict[str, float]
    free: dict[str, int]
    taken: dict[str, int] = field(default_factory=dict)


class RegionTable:
    """Loads of other regions and what was sent there since."""

    def __init__(self) -> None:
        self._regions: dict[str, _Region] = {}

    def update(self, message: RegionHeard, now_s: float) -> None:
        """Keep a newer load, or forget a region that is not reached."""
        if message.host is None:
            self._regions.pop(message.region, None)
            return
        self._regions[message.region] = _Region(
            message.host, now_s, message.waits_s, message.free
        )

    def choose(
        self, service: str, route: Route, excluded: frozenset[str], now_s: float
    ) -> RegionChoice | None:
        """Return the region with the shortest wait, with the way there, or None."""
        best: RegionChoice | None = None
        for name, region in self._regions.items():
            if name in excluded or not route.may_run_in(name):
                continue
            if now_s - region.heard_s > LOAD_LIFETIME_S:
                continue
            if service not in region.waits_s:
                continue
            over = region.taken.get(service, 0) - region.free.get(service, 0)
            wait_s = ROUND_TRIP_S + region.waits_s[service]
            wait_s += max(0, over + 1) * CROWDING_S
            if best is None or wait_s < best.wait_s:
                best = RegionChoice(name, region.host, wait_s)
        return best

    def take(self, name: str, service: str) -> None:
        """Count a request that is sent to a region."""
        region = self._regions.get(name)
        if region is not None:
            region.taken[service] = region.taken.get(service, 0) + 1
