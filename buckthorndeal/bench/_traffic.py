"""Shaped transport that counts the bytes of the streams that it opens."""

import functools
from collections.abc import Callable

from buckthorndeal.bench._counted_stream import CountedStream
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
        super().__init__(inner.memory)
        self._shaped: ShapedTransport = create_shaped_transport(inner, shape, place)
        self._shape = shape
        self._place = place
        self._count = count

    async def connect(self, address: str, port: int) -> Stream:
        """Open a shaped stream and count its bytes."""
        stream = await self._shaped.connect(address, port)
        other = self._shape.get_place(address, port)
        count = functools.partial(self._count, self._place, other)
        return CountedStream(stream, count, count)

    async def listen(self, address: str, port: int, handler: StreamHandler) -> Listener:
        """Listen; bytes are counted by the transport that opens the stream."""
        return await self._shaped.listen(address, port, handler)

    async def open_datagrams(self, address: str, port: int) -> DatagramPort:
        """Bind a datagram port; datagrams are not counted."""
        return await self._shaped.open_datagrams(address, port)
