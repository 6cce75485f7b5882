"""Connections of an HTTP server that wait for a request."""

from collections.abc import Callable

import curio
import h11

from buckthorndeal._http_reading import READ_BYTES
from buckthorndeal.transport import Stream


class IdleConnections:
    """Connections of one server that wait for a request."""

    def __init__(self) -> None:
        self._streams: dict[curio.Task, Stream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    async def wait_for_request(
        self,
        stream: Stream,
        connection: h11.Connection,
        get_timeout_s: Callable[[], float],
    ) -> bool:
        """Wait for the first bytes of a request; return False if none come.

        Parameters
        ----------
        stream : Stream
            Connection to the caller.
        connection : h11.Connection
            Protocol state of the connection, which takes the bytes.
        get_timeout_s : callable
            Returns the present idle timeout in seconds.
        """
        task = await curio.current_task()
        self._streams[task] = stream
        try:
            return await _receive_request(stream, connection, get_timeout_s)
        finally:
            del self._streams[task]

    async def close(self) -> None:
        """Close the connections on which nothing has arrived, all at the same time."""
        for task, stream in list(self._streams.items()):
            if not stream.is_readable():
                await task.cancel(blocking=False)


async def _receive_request(
    stream: Stream, connection: h11.Connection, get_timeout_s: Callable[[], float]
) -> bool:
    if connection.trailing_data[0]:
        return True
    since_s = await curio.clock()
    data = None
    while data is None:
        # Callers go by the newest idle timeout, which may have grown meanwhile.
        left_s = since_s + get_timeout_s() - await curio.clock()
        if left_s <= 0:
            return False
        data = await curio.ignore_after(left_s, stream.recv, READ_BYTES)
    if data:
        connection.receive_data(data)
    return bool(data)
