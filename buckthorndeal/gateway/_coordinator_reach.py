"""Coordinators that are connected and have told all that they know; no I/O."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from buckthorndeal.fleet import OriginReply, ServiceVersion, StreamOrigin
from buckthorndeal.gateway._origin_holders import REPEAT_LIMIT_S


@dataclass(frozen=True, slots=True)
class OriginSearch:
    """What coordinators have answered when asked for the origin of a stream.

    Parameters
    ----------
    origin : StreamOrigin or None
        The origin, if any of them knows it.
    versions : tuple of ServiceVersion
        Versions that they know to serve in the service.
    majority : bool
        Whether more than half of the known coordinators have told all they know, as of
        a time after they were asked.
    is_settled : bool
        Whether all of them have been connected for so long that other hosts have told
        them again what they may have lost.
    """

    origin: StreamOrigin | None
    versions: tuple[ServiceVersion, ...]
    majority: bool
    is_settled: bool = True


class CoordinatorReach:
    """Tells whether a majority of the coordinators has told this host all it knows.

    A connection alone says nothing: until the coordinator has sent its state, what this
    host has not heard of may exist all the same.
    """

    def __init__(self) -> None:
        self._told: set[str] = set()
        # Number of the present connection of each coordinator, and when it was seen.
        self._connections: dict[str, tuple[int, float]] = {}

    def record_told(self, coordinator: str) -> None:
        """Record that a coordinator has sent all that it knows."""
        self._told.add(coordinator)

    def keep(self, connected: Collection[str]) -> None:
        """Forget the coordinators that are not connected."""
        self._told.intersection_update(connected)

    def record_connections(self, connections: Mapping[str, int], now_s: float) -> None:
        """Record the numbers of the present connections."""
        self._connections = {
            host: self._date_connection(host, number, now_s)
            for host, number in connections.items()
        }

    def _date_connection(
        self, host: str, number: int, now_s: float
    ) -> tuple[int, float]:
        known = self._connections.get(host)
        if known is not None and known[0] == number:
            return known
        return number, now_s

    def is_settled(self, now_s: float) -> bool:
        """Return whether no coordinator has connected of late."""
        return all(
            now_s - since_s >= REPEAT_LIMIT_S
            for _, since_s in self._connections.values()
        )

    def has_majority(self, known: int) -> bool:
        """Return whether more than half of the `known` coordinators have."""
        return 2 * len(self._told) > known

    def conclude(self, replies: Mapping[str, OriginReply], known: int) -> OriginSearch:
        """Return what the replies of some of the `known` coordinators tell together.

        One of an older build does not tell the versions in its reply; it counts once it
        has sent its state, since what it has sent before has arrived before.
        """
        origins = [each.origin for each in replies.values() if each.origin is not None]
        complete = [
            host
            for host, reply in replies.items()
            if reply.versions is not None or host in self._told
        ]
        versions = [each for reply in replies.values() for each in reply.versions or ()]
        return OriginSearch(
            origins[0] if origins else None,
            tuple(versions),
            2 * len(complete) > known,
        )
