"""Connections of an HTTP server that wait for a request."""

import time
from collections.abc import Callable

import curio

from buckthorndeal._http_protocol import ServerProtocol
from buckthorndeal._http_reading import READ_BYTES
from buckthorndeal.transport import Stream

# Connections that have waited for a shorter time are kept.
MIN_IDLE_S = 1.0


class IdleTimeout:
    """Idle timeout of one connection, by which its caller goes.

    It grows with the timeout of the server, but does not fall with it.

    Parameters
    ----------
    get_newest_s : callable
        Returns the present timeout of the server in seconds.
    """

    def __init__(self, get_newest_s: Callable[[], float]) -> None:
        self._get_newest_s = get_newest_s
        self._known_s = get_newest_s()

    def get_seconds(self) -> float:
        """Return the longest timeout in seconds by which the caller may go."""
        self._known_s = max(self._known_s, self._get_newest_s())
        return self._known_s

    def has_fallen(self) -> bool:
        """Return whether the server has a shorter timeout than the caller knows."""
        return self._get_newest_s() < self._known_s


class IdleConnections:
    """Connections of one server that wait for a request.

    Parameters
    ----------
    clock : callable, optional
        Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._streams: dict[curio.Task, Stream] = {}
        # By connection, since when it waits, the longest first: for its first
        # request, and for a further one.
        self._unused_since_s: dict[Stream, float] = {}
        self._used_since_s: dict[Stream, float] = {}

    def __len__(self) -> int:
        return len(self._streams)

    async def wait_for_request(
        self,
        stream: Stream,
        connection: ServerProtocol,
        timeout: IdleTimeout,
        is_first: bool = False,
    ) -> bool:
        """Wait for the first bytes of a request; return False if none come.

        Parameters
        ----------
        stream : Stream
            Connection to the caller.
        connection : h11.Connection
            Protocol state of the connection, which takes the bytes.
        timeout : IdleTimeout
            Time for which the connection is kept without a request.
        is_first : bool, optional
            Whether the connection has brought no request yet.
        """
        task = await curio.current_task()
        self._streams[task] = stream
        waiting = self._unused_since_s if is_first else self._used_since_s
        waiting[stream] = self._clock()
        try:
            return await _receive_request(stream, connection, timeout)
        finally:
            del self._streams[task]
            waiting.pop(stream, None)

    def end_longest(self) -> bool:
        """Let the longest idle connection end; return whether there was one.

        Those that have brought no request yet come first. A request that has arrived
        by then is still served.
        """
        idle_until_s = self._clock() - MIN_IDLE_S
        for waiting in (self._unused_since_s, self._used_since_s):
            stream, since_s = next(iter(waiting.items()), (None, 0.0))
            if stream is not None and since_s <= idle_until_s:
                del waiting[stream]
                stream.end_reading()
                return True
        return False

    async def close(self) -> None:
        """Close the connections on which nothing has arrived, all at the same time."""
        for task, stream in list(self._streams.items()):
            if not stream.is_readable():
                await task.cancel(blocking=False)


async def _receive_request(
    stream: Stream, connection: ServerProtocol, timeout: IdleTimeout
) -> bool:
    if connection.pending_bytes:
        return True
    since_s = await curio.clock()
    data = None
    while data is None:
        # The timeout may have grown meanwhile.
        left_s = since_s + timeout.get_seconds() - await curio.clock()
        if left_s > 0:
            data = await curio.ignore_after(left_s, stream.recv, READ_BYTES)
        elif stream.is_readable():
            data = await stream.recv(READ_BYTES)
        else:
            return False
    if data:
        connection.receive_data(data)
    return bool(data)
