"""Wrapper that adds one-way delays and cuts to a transport."""

from collections import deque
from collections.abc import Awaitable, Callable

import curio

from buckthorndeal.transport._base import (
    DatagramPort,
    Listener,
    Stream,
    StreamHandler,
    Transport,
)

__all__ = [
    "LinkShape",
    "ShapedTransport",
    "create_link_shape",
    "create_shaped_transport",
]

READ_BYTES = 65_536
QUEUE_CHUNKS = 1_000
# How often a stream on a cut link looks whether the link is whole again.
CUT_POLL_S = 0.01


class LinkShape:
    """Delays and cuts of all links among named places.

    A place is a region, a failure domain or a host, as the user likes. Bytes of a
    stream on a cut link are held back without an error and delivered after the
    link is whole again, as by TCP; datagrams on a cut link are lost.
    """

    def __init__(self) -> None:
        self._delays_s: dict[tuple[str, str], float] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._places: dict[tuple[str, int], str] = {}

    def set_delay(self, source: str, target: str, delay_s: float) -> None:
        """Set the one-way delay from `source` to `target`."""
        self._delays_s[source, target] = delay_s

    def cut(self, source: str, target: str) -> None:
        """Stop delivery from `source` to `target`."""
        self._cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Resume delivery from `source` to `target`."""
        self._cuts.discard((source, target))

    def partition(self, one: set[str], other: set[str]) -> None:
        """Cut all links between two sets of places, in both directions."""
        for source in one:
            for target in other:
                self.cut(source, target)
                self.cut(target, source)

    def heal_all(self) -> None:
        """Resume delivery on all links."""
        self._cuts.clear()

    def get_delay(self, source: str, target: str) -> float:
        """Return the one-way delay in seconds."""
        return self._delays_s.get((source, target), 0.0)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether delivery is stopped."""
        return (source, target) in self._cuts

    def register(self, address: str, port: int, place: str) -> None:
        """Name the place of a listening address.

        Listening through a shaped transport of the same process does this; listeners
        of other processes are registered by their users.
        """
        self._places[address, port] = place

    def get_place(self, address: str, port: int) -> str:
        """Return the place of an address; unknown ones are named after it."""
        return self._places.get((address, port), f"{address}:{port}")


class _DelayLine:
    """Delivers chunks in order after the delay of a link."""

    def __init__(
        self,
        shape: LinkShape,
        source: str,
        target: str,
        deliver: Callable[[bytes], Awaitable[None]],
    ) -> None:
        self._shape = shape
        self._link = (source, target)
        self._deliver = deliver
        self._queue = curio.Queue(maxsize=QUEUE_CHUNKS)
        self.error: OSError | None = None

    async def put(self, data: bytes) -> None:
        if self.error is not None:
            raise self.error
        due_s = await curio.clock() + self._shape.get_delay(*self._link)
        await self._queue.put((due_s, data))

    async def put_end(self) -> None:
        due_s = await curio.clock() + self._shape.get_delay(*self._link)
        await self._queue.put((due_s, b""))

    async def run(self) -> None:
        data = None
        while data != b"":
            due_s, data = await self._queue.get()
            await curio.sleep(max(0.0, due_s - await curio.clock()))
            while self._shape.is_cut(*self._link):
                await curio.sleep(CUT_POLL_S)
            try:
                await self._deliver(data)
            except OSError as error:
                self.error = error


class _ShapedStream(Stream):
    """Shapes both directions at the end that connected.

    The accepting end cannot tell where a connection comes from, so its end is
    left as it is.
    """

    def __init__(self, inner: Stream, shape: LinkShape, here: str, there: str) -> None:
        self._inner = inner
        self._outgoing = _DelayLine(shape, here, there, self._forward)
        self._incoming = _DelayLine(shape, there, here, self._store)
        self._received: deque[bytes] = deque()
        self._ended = False
        self._closed = False
        self._changed = curio.Condition()
        self._tasks: list[curio.Task] = []

    async def start(self) -> None:
        for function in (self._outgoing.run, self._incoming.run, self._read):
            self._tasks.append(await curio.spawn(function, daemon=True))

    async def _read(self) -> None:
        data = b"x"
        while data:
            try:
                data = await self._inner.recv(READ_BYTES)
            except OSError:
                data = b""
            await self._incoming.put(data)

    async def _forward(self, data: bytes) -> None:
        if data:
            await self._inner.sendall(data)
        else:
            await self._inner.close()

    async def _store(self, data: bytes) -> None:
        async with self._changed:
            if data:
                self._received.append(data)
            else:
                self._ended = True
            await self._changed.notify_all()

    async def recv(self, max_bytes: int) -> bytes:
        async with self._changed:
            while not self.is_readable():
                await self._changed.wait()
            if not self._received:
                return b""
            chunk = self._received.popleft()
            if len(chunk) > max_bytes:
                self._received.appendleft(chunk[max_bytes:])
            return chunk[:max_bytes]

    async def sendall(self, data: bytes) -> None:
        if self._closed:
            raise BrokenPipeError("stream is closed")
        if data:
            await self._outgoing.put(bytes(data))

    def is_readable(self) -> bool:
        return self._ended or bool(self._received)

    async def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        # Bytes that were sent before are still delivered, as by TCP.
        await self._outgoing.put_end()
        for task in self._tasks[1:]:
            await task.cancel(blocking=False)
        await self._store(b"")


class _ShapedDatagramPort(DatagramPort):
    def __init__(self, inner: DatagramPort, shape: LinkShape, here: str) -> None:
        super().__init__(inner.port)
        self._inner = inner
        self._shape = shape
        self._here = here

    async def recvfrom(self) -> tuple[bytes, tuple[str, int]]:
        return await self._inner.recvfrom()

    async def sendto(self, data: bytes, address: str, port: int) -> None:
        there = self._shape.get_place(address, port)
        delay_s = self._shape.get_delay(self._here, there)
        await curio.spawn(
            self._send_later, delay_s, there, data, address, port, daemon=True
        )

    async def _send_later(
        self, delay_s: float, there: str, data: bytes, address: str, port: int
    ) -> None:
        await curio.sleep(delay_s)
        if not self._shape.is_cut(self._here, there):
            await self._inner.sendto(data, address, port)

    async def close(self) -> None:
        await self._inner.close()


class ShapedTransport(Transport):
    """Transport of one place whose links have delays and cuts.

    Parameters
    ----------
    inner : Transport
        Transport that carries the bytes.
    shape : LinkShape
        Shared description of all links.
    place : str
        Place of the users of this instance.
    """

    def __init__(self, inner: Transport, shape: LinkShape, place: str) -> None:
        self._inner = inner
        self._shape = shape
        self._place = place

    async def connect(self, address: str, port: int) -> Stream:
        """Open a stream after one round trip; hang while the link is cut."""
        there = self._shape.get_place(address, port)
        for link in ((self._place, there), (there, self._place)):
            await curio.sleep(self._shape.get_delay(*link))
            while self._shape.is_cut(*link):
                await curio.sleep(CUT_POLL_S)
        inner = await self._inner.connect(address, port)
        stream = _ShapedStream(inner, self._shape, self._place, there)
        await stream.start()
        return stream

    async def listen(self, address: str, port: int, handler: StreamHandler) -> Listener:
        """Listen through the inner transport and register the place."""
        listener = await self._inner.listen(address, port, handler)
        self._shape.register(address, listener.port, self._place)
        return listener

    async def open_datagrams(self, address: str, port: int) -> DatagramPort:
        """Bind a port of the inner transport and register the place."""
        inner = await self._inner.open_datagrams(address, port)
        # A stream listener may have the same address; both are at this place.
        self._shape.register(address, inner.port, self._place)
        return _ShapedDatagramPort(inner, self._shape, self._place)


def create_link_shape() -> LinkShape:
    """Return a shape without delays and cuts."""
    return LinkShape()


def create_shaped_transport(
    inner: Transport, shape: LinkShape, place: str
) -> ShapedTransport:
    """Return a transport of `place` with the delays and cuts of `shape`."""
    return ShapedTransport(inner, shape, place)
