"""Stream that counts the bytes that it passes on."""

from collections.abc import Callable

from buckthorndeal.transport import Stream


class CountedStream(Stream):
    """Passes everything on to another stream and counts the bytes.

    Parameters
    ----------
    inner : Stream
        Stream that carries the bytes.
    count_received, count_sent : callable
        Called with the number of bytes of each read, and of each write.
    """

    def __init__(
        self,
        inner: Stream,
        count_received: Callable[[int], None],
        count_sent: Callable[[int], None],
    ) -> None:
        self._inner = inner
        self._count_received = count_received
        self._count_sent = count_sent

    async def recv(self, max_bytes: int) -> bytes:
        """Read from the stream and count the bytes read."""
        data = await self._inner.recv(max_bytes)
        self._count_received(len(data))
        return data

    async def sendall(self, data: bytes) -> None:
        """Count the bytes of `data` and send it."""
        self._count_sent(len(data))
        await self._inner.sendall(data)

    def is_readable(self) -> bool:
        """Return whether the stream is readable."""
        return self._inner.is_readable()

    def is_ended(self) -> bool:
        """Return whether the stream has ended."""
        return self._inner.is_ended()

    def has_unsent(self) -> bool:
        """Return whether the peer's host has not received all that was sent."""
        return self._inner.has_unsent()

    async def end_sending(self) -> None:
        """End the sending half of the stream."""
        await self._inner.end_sending()

    def end_reading(self) -> None:
        """End the reading of the stream."""
        self._inner.end_reading()

    async def close(self) -> None:
        """Close the stream."""
        await self._inner.close()

    async def abort(self) -> None:
        """Abort the stream."""
        await self._inner.abort()
