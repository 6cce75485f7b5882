"""Coordinators that keep the origins of this host's streams; no I/O."""

import math
from collections.abc import Iterator, Mapping, Sequence

from buckthorndeal.fleet import StreamOrigin
from buckthorndeal.subsetting import choose_owners

# Coordinators that keep an origin, so that it outlives the loss of two of them.
HOLDERS = 3
# By then a host that connects to all coordinators anew knows which versions serve.
REPEAT_DELAY_S = 0.5
REPEAT_INTERVAL_S = 0.2
REPEAT_TURNS = 8
MIN_BATCH = 16
# Within this time of a new connection, a coordinator is told what it may have lost.
REPEAT_LIMIT_S = 3.0


def choose_holders(own_host: str, nearest_first: Sequence[str]) -> list[str]:
    """Return the coordinators that keep the origins of the streams of a host.

    One of them is near, so that it is soon asked; the others are chosen by a hash and
    so are mostly in other regions.
    """
    if not nearest_first:
        return []
    nearest, others = nearest_first[0], nearest_first[1:]
    return [nearest, *choose_owners(own_host, others, HOLDERS - 1)]


class OriginHolders:
    """Tells which coordinators may lack the origins of streams that are still open.

    These are holders that have connected anew, as their processes may have started
    again, and those that have become holders in place of others.

    Parameters
    ----------
    own_host : str
        This host.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        # Number of the connection over which each holder was told.
        self._told: dict[str, int] = {}

    def update(
        self, connections: Mapping[str, int], nearest_first: Sequence[str]
    ) -> list[str]:
        """Return the holders that have to be told what they may lack.

        Parameters
        ----------
        connections : mapping of str to int
            Number of the present connection of each coordinator.
        nearest_first : sequence of str
            The same coordinators.
        """
        holders = choose_holders(self._own_host, nearest_first)
        current = {host: connections[host] for host in holders}
        untold = [
            host for host, number in current.items() if self._told.get(host) != number
        ]
        self._told = current
        return untold

    def is_current(self, host: str, connection: int) -> bool:
        """Return whether a coordinator is a holder over the same connection."""
        return self._told.get(host) == connection


def split_turns(
    origins: Sequence[StreamOrigin],
) -> Iterator[tuple[StreamOrigin, ...]]:
    """Split origins into batches, so few that all are told within `REPEAT_LIMIT_S`."""
    size = max(MIN_BATCH, math.ceil(len(origins) / REPEAT_TURNS))
    for start in range(0, len(origins), size):
        yield tuple(origins[start : start + size])
