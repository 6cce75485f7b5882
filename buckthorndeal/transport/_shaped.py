"""Transport wrapper that simulates one-way delays and partitions."""

from collections import deque
from collections.abc import Awaitable, Callable, Mapping

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
MAX_QUEUED_CHUNKS = 1_000
# Interval in which a stream on a cut link checks whether the link is healed.
CUT_POLL_INTERVAL_S = 0.01


class LinkShape:
    """Simulated delays and cuts of the links between named places.

    A place is a region, a failure domain or a host, as the user chooses. On a cut
    link the bytes of a stream are held back without an error and delivered after the
    link is healed, as TCP does by retransmission; datagrams are lost.
    """

    def __init__(self) -> None:
        self._delays_s: dict[tuple[str, str], float] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._places: dict[tuple[str, int], str] = {}

    def set_delay(self, source: str, target: str, delay_s: float) -> None:
        """Set the one-way delay from `source` to `target`."""
        self._delays_s[source, target] = delay_s

    def cut(self, source: str, target: str) -> None:
        """Cut the link: stop delivery from `source` to `target`."""
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
        """Return whether delivery from `source` to `target` is stopped."""
        return (source, target) in self._cuts

    def register(self, address: str, port: int, place: str) -> None:
        """Set the place of a listening address.

        A `ShapedTransport` registers its own listeners. Listeners in other processes
        have to be registered by the caller.
        """
        self._places[address, port] = place

    def get_place(self, address: str, port: int) -> str:
        """Return the place of an address; by default ``address:port`` itself."""
        return self._places.get((address, port), f"{address}:{port}")


class _DelayLine:
    """Queue that delivers chunks in order after the delay of a link."""

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
        self._queue = curio.Queue(maxsize=MAX_QUEUED_CHUNKS)
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
                await curio.sleep(CUT_POLL_INTERVAL_S)
            try:
                await self._deliver(data)
            except OSError as error:
                self.error = error


class _ShapedStream(Stream):
    """Applies the shape to both directions at the connecting end.

    The accepting end doesn't know the place of its peer, so its stream is not
    wrapped.
    """

    def __init__(
        self, inner: Stream, shape: LinkShape, local_place: str, remote_place: str
    ) -> None:
        self._inner = inner
        self._outgoing = _DelayLine(shape, local_place, remote_place, self._write_inner)
        self._incoming = _DelayLine(
            shape, remote_place, local_place, self._store_received
        )
        self._received: deque[bytes] = deque()
        self._ended = False
        self._closed = False
        self._changed = curio.Condition()
        self._tasks: list[curio.Task] = []

    async def start(self) -> None:
        for function in (self._outgoing.run, self._incoming.run, self._read_inner):
            self._tasks.append(await curio.spawn(function, daemon=True))

    async def _read_inner(self) -> None:
        data = b"x"
        while data:
            try:
                data = await self._inner.recv(READ_BYTES)
            except OSError:
                data = b""
            await self._incoming.put(data)

    async def _write_inner(self, data: bytes) -> None:
        if data:
            await self._inner.sendall(data)
        else:
            await self._inner.close()

    async def _store_received(self, data: bytes) -> None:
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

    def is_ended(self) -> bool:
        return self._ended

    def end_reading(self) -> None:
        self._inner.end_reading()

    async def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        # Bytes that were sent before are still delivered, as TCP does.
        await self._outgoing.put_end()
        for task in self._tasks[1:]:
            await task.cancel(blocking=False)
        await self._store_received(b"")


class _ShapedDatagramPort(DatagramPort):
    def __init__(self, inner: DatagramPort, shape: LinkShape, local_place: str) -> None:
        super().__init__(inner.port)
        self._inner = inner
        self._shape = shape
        self._local_place = local_place

    async def recvfrom(self) -> tuple[bytes, tuple[str, int]]:
        return await self._inner.recvfrom()

    async def sendto(self, data: bytes, address: str, port: int) -> None:
        remote_place = self._shape.get_place(address, port)
        delay_s = self._shape.get_delay(self._local_place, remote_place)
        await curio.spawn(
            self._send_later, delay_s, remote_place, data, address, port, daemon=True
        )

    async def _send_later(
        self, delay_s: float, remote_place: str, data: bytes, address: str, port: int
    ) -> None:
        await curio.sleep(delay_s)
        if not self._shape.is_cut(self._local_place, remote_place):
            await self._inner.sendto(data, address, port)

    async def close(self) -> None:
        await self._inner.close()


class ShapedTransport(Transport):
    """Transport of one place with the simulated delays and cuts of its links.

    Parameters
    ----------
    inner : Transport
        Transport that carries the bytes.
    shape : LinkShape
        Delays and cuts, shared by the transports of all places.
    place : str
        Place of the users of this instance.
    """

    def __init__(self, inner: Transport, shape: LinkShape, place: str) -> None:
        super().__init__()
        self._inner = inner
        self._shape = shape
        self._place = place

    def read_counters(self) -> Mapping[str, int]:
        """Return the counters of the inner transport and of the own account."""
        return {**self._inner.read_counters(), **super().read_counters()}

    def has_free_descriptors(self, share: float, returning: int = 0) -> bool:
        """Return whether more than a share of the descriptors is free."""
        return self._inner.has_free_descriptors(share, returning)

    async def connect(self, address: str, port: int) -> Stream:
        """Open a stream after one round trip; wait while the link is cut."""
        remote_place = self._shape.get_place(address, port)
        for link in ((self._place, remote_place), (remote_place, self._place)):
            await curio.sleep(self._shape.get_delay(*link))
            while self._shape.is_cut(*link):
                await curio.sleep(CUT_POLL_INTERVAL_S)
        inner = await self._inner.connect(address, port)
        stream = _ShapedStream(inner, self._shape, self._place, remote_place)
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
        # A stream listener at the same address is at this place too.
        self._shape.register(address, inner.port, self._place)
        return _ShapedDatagramPort(inner, self._shape, self._place)


def create_link_shape() -> LinkShape:
    """Return a `LinkShape` without delays and cuts."""
    return LinkShape()


def create_shaped_transport(
    inner: Transport, shape: LinkShape, place: str
) -> ShapedTransport:
    """Return a transport of `place`; see `ShapedTransport`."""
    return ShapedTransport(inner, shape, place)
