"""Connections that a process keeps for others, by the memory that it may use.

Each accepted connection costs memory whatever it sends: its state, bytes that the
kernel keeps unread, and bytes that were sent and not taken. The memory bounds their
number, and the buffers of each bound what the kernel keeps.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from buckthorndeal.logs import log_event
from buckthorndeal.memory import BASE_BYTES

__all__ = [
    "CALLER_SHARE",
    "CLIENT_BUFFERS",
    "HOST_SHARE",
    "INTERNAL_SHARE",
    "NARROW_BUFFERS",
    "PEER_BUFFERS",
    "WIDE_BUFFERS",
    "Buffered",
    "Buffers",
    "ConnectionLimits",
    "ReceiveWindows",
    "Slots",
    "create_connection_limits",
]

# State of a connection, its narrow buffers, and what is read of it at once.
CONNECTION_BYTES = 65_536
# Of the memory beyond `BASE_BYTES`; the rest is for messages.
MEMORY_SHARE = 1 / 2
# Shares of the ports for callers, for other hosts, and for readiness and metrics, so
# that none takes the places of the others.
CALLER_SHARE = 1 / 2
HOST_SHARE = 1 / 4
INTERNAL_SHARE = 1 / 16
MIN_PLACES = 16
# Connections of all ports that are read before they are refused, and that linger
# afterwards. With the shares of the ports they make up the whole.
REFUSED_SHARE = 1 / 16
MAX_REFUSED = 512
# Connections between hosts that have not introduced themselves, besides the places.
HANDSHAKE_SHARE = 1 / 4
MIN_HANDSHAKES = 128
MAX_HANDSHAKES = 2_048
BACKLOG_SHARE = 1 / 8
MIN_BACKLOG = 128
MAX_BACKLOG = 1_024
WINDOWS_SHARE = 1 / 16
MIN_WINDOWS = 8
MAX_WINDOWS = 1_024
# A body that has received nothing for so long gives its window to another one.
WINDOW_SILENCE_S = 1.0
# Pause after a search among all windows that found none to take back.
SEARCH_PAUSE_S = 0.1
LOG_INTERVAL_S = 1.0


@dataclass(frozen=True)
class Buffers:
    """Buffers of a connection in the kernel, which keeps up to twice these sizes.

    Parameters
    ----------
    receive_bytes, send_bytes : int
        Sizes in bytes.
    """

    receive_bytes: int
    send_bytes: int


# Of an accepted connection.
NARROW_BUFFERS = Buffers(16_384, 16_384)
# Of a connection that brings a large body: 4 MiB take 5 s over a link of 80 ms.
WIDE_BUFFERS = Buffers(98_304, 16_384)
# Of a connection that this process opens as an HTTP client.
CLIENT_BUFFERS = Buffers(32_768, 65_536)
# Of a connection between hosts that have introduced themselves.
PEER_BUFFERS = Buffers(65_536, 65_536)


class Buffered(Protocol):
    """Connection whose buffers can be changed."""

    def set_buffers(self, buffers: Buffers) -> None:
        """Ask the kernel for other sizes."""

    def is_readable(self) -> bool:
        """Return whether the kernel holds unread bytes."""


class Slots:
    """A bounded number of uses at a time.

    Parameters
    ----------
    limit : int
        Largest number.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count = 0

    def take(self) -> bool:
        """Take a slot if one is free, and return whether there was one."""
        if self._count >= self._limit:
            return False
        self._count += 1
        return True

    def give_back(self) -> None:
        """Free a slot that was taken."""
        self._count -= 1


class ReceiveWindows:
    """Wide buffers, which a bounded number of connections have at a time.

    Parameters
    ----------
    count : int
        Number of connections that may have them.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    missed_count : int
        Number of requests for wide buffers while all were in use.
    """

    def __init__(self, count: int, clock: Callable[[], float]) -> None:
        self._count = count
        self._clock = clock
        # By connection, when it last received something; the longest silent one first.
        self._received_s: OrderedDict[Buffered, float] = OrderedDict()
        self._searched_s: float | None = None
        self.missed_count = 0

    def __len__(self) -> int:
        return len(self._received_s)

    def widen(self, stream: Buffered) -> bool:
        """Give a connection that has received a part of a large body wide buffers.

        Returns whether it has them. The one that has been silent for longest loses
        them for it, if none are left.
        """
        now_s = self._clock()
        is_new = stream not in self._received_s
        if is_new and len(self) >= self._count and not self._take_back(now_s):
            self.missed_count += 1
            return False
        self._received_s[stream] = now_s
        self._received_s.move_to_end(stream)
        if is_new:
            stream.set_buffers(WIDE_BUFFERS)
        return True

    def narrow(self, stream: Buffered) -> None:
        """Take wide buffers back from a connection that has them."""
        if self._received_s.pop(stream, None) is not None:
            stream.set_buffers(NARROW_BUFFERS)

    def _take_back(self, now_s: float) -> bool:
        """Narrow the longest silent connection; return whether there was one.

        The kernel goes on holding the unread bytes of those that have some.
        """
        if self._searched_s is not None and now_s - self._searched_s < SEARCH_PAUSE_S:
            return False
        for stream, received_s in self._received_s.items():
            if now_s - received_s < WINDOW_SILENCE_S:
                break
            if not stream.is_readable():
                self.narrow(stream)
                return True
        self._searched_s = now_s
        return False


class ConnectionLimits:
    """Numbers of connections that a process may keep, and what these limits did.

    Parameters
    ----------
    places : int or None
        Connections at all ports together; None if the memory is not limited.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    windows : ReceiveWindows
        Wide buffers of connections that bring large bodies.
    refusals, lingering : Slots
        Connections that are read before they are refused, and whose last response may
        not have been read yet.
    refused_count, closed_count : int
        Connections that were refused as their port was full, and that were closed to
        make room for others.
    """

    def __init__(self, places: int | None, clock: Callable[[], float]) -> None:
        self.places = places
        self._clock = clock
        self._logged_s: float | None = None
        self.windows = ReceiveWindows(
            self._bound(WINDOWS_SHARE, MIN_WINDOWS, MAX_WINDOWS), clock
        )
        self.refusals = Slots(self._bound(REFUSED_SHARE, MIN_PLACES, MAX_REFUSED))
        self.lingering = Slots(self._bound(REFUSED_SHARE, MIN_PLACES, MAX_REFUSED))
        self.refused_count = 0
        self.closed_count = 0

    @property
    def backlog(self) -> int:
        """Connections of a port that may wait to be accepted."""
        return self._bound(BACKLOG_SHARE, MIN_BACKLOG, MAX_BACKLOG)

    @property
    def max_handshakes(self) -> int:
        """Connections between hosts that may be without an introduction."""
        return self._bound(HANDSHAKE_SHARE, MIN_HANDSHAKES, MAX_HANDSHAKES)

    def limit_places(self, share: float, configured: int) -> int:
        """Return the places of a port that has a share of them, as configured at most.

        Parameters
        ----------
        share : float
            Share of the port.
        configured : int
            Number in the settings of the port.
        """
        return self._bound(share, MIN_PLACES, configured)

    def record_refusal(self, port: int, open_count: int, places: int) -> None:
        """Count a connection that is refused because its port is full, and log it."""
        self.refused_count += 1
        self._log("refused", port, open_count, places)

    def record_close(
        self, reason: str, port: int, open_count: int, places: int
    ) -> None:
        """Count a connection that is closed for others, and log it."""
        self.closed_count += 1
        self._log(reason, port, open_count, places)

    def read_counters(self) -> Mapping[str, int]:
        """Return counters for the metrics of the process, by name."""
        return {
            "connection_places": self.places or 0,
            "connections_refused": self.refused_count,
            "connections_closed_for_others": self.closed_count,
            "wide_receive_windows": len(self.windows),
            "wide_receive_windows_missed": self.windows.missed_count,
        }

    def _bound(self, share: float, lowest: int, highest: int) -> int:
        if self.places is None:
            return highest
        return min(highest, max(lowest, int(share * self.places)))

    def _log(self, reason: str, port: int, open_count: int, places: int) -> None:
        now_s = self._clock()
        if self._logged_s is not None and now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        log_event(
            "connections_short",
            reason=reason,
            port=port,
            open=open_count,
            places=places,
            refused=self.refused_count,
            closed=self.closed_count,
        )


def create_connection_limits(
    memory_bytes: int | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> ConnectionLimits:
    """Return the limits of a process that may use `memory_bytes` of memory."""
    if memory_bytes is None:
        return ConnectionLimits(None, clock)
    spare_bytes = max(0, memory_bytes - BASE_BYTES)
    return ConnectionLimits(int(spare_bytes * MEMORY_SHARE) // CONNECTION_BYTES, clock)
