"""Shaped transport that counts the bytes of the streams that it opens."""

from collections.abc import Callable

from buckthorndeal.transport import (
    DatagramPort,
    LinkShape,
    Listener,
    ShapedTransport,
    Stream,
    StreamHandler,
    Transport,
    create_shaped_transport,
)

__all__ = ["MeteredTransport"]

Count = Callable[[str, str, int], None]


class _MeteredStream(Stream):
    def __init__(self, inner: Stream, count: Callable[[int], None]) -> None:
        self._inner = inner
        self._count = count

    async def recv(self, max_bytes: int) -> bytes:
        data = await self._inner.recv(max_bytes)
        self._count(len(data))
        return data

    async def sendall(self, data: bytes) -> None:
        self._count(len(data))
        await self._inner.sendall(data)

    def is_readable(self) -> bool:
        return self._inner.is_readable()

    def is_ended(self) -> bool:
        return self._inner.is_ended()

    async def close(self) -> None:
        await self._inner.close()


class MeteredTransport(Transport):
    """Shaped transport of one place that counts stream bytes in both directions.

    Parameters
    ----------
    inner : Transport
        Transport that carries the bytes.
    shape : LinkShape
        Delays and cuts of the links.
    place : str
        Place of the users of this transport.
    count : callable
        Called with the place, the other place and a number of bytes.
    """

    def __init__(
        self, inner: Transport, shape: LinkShape, place: str, count: Count
    ) -> None:
        self._shaped: ShapedTransport = create_shaped_transport(inner, shape, place)
        self._shape = shape
        self._place = place
        self._count = count

    async def connect(self, address: str, port: int) -> Stream:
        """Open a shaped stream and count its bytes."""
        stream = await self._shaped.connect(address, port)
        other = self._shape.get_place(address, port)
        return _MeteredStream(
            stream, lambda size: self._count(self._place, other, size)
        )

    async def listen(self, address: str, port: int, handler: StreamHandler) -> Listener:
        """Listen; bytes are counted by the transport that opens the stream."""
        return await self._shaped.listen(address, port, handler)

    async def open_datagrams(self, address: str, port: int) -> DatagramPort:
        """Bind a datagram port; datagrams are not counted."""
        return await self._shaped.open_datagrams(address, port)
