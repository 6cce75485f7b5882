"""In-memory transport between the tasks of one process."""

import errno
import itertools
from collections import deque
from concurrent.futures import Future

import curio
from curio.traps import _future_wait

from buckthorndeal.transport._base import (
    DatagramPort,
    Listener,
    Stream,
    StreamHandler,
    Transport,
    run_handler,
)

__all__ = ["MemoryTransport", "create_memory_transport"]

FIRST_FREE_PORT = 49_152
PIPE_CAPACITY_BYTES = 262_144
MAX_QUEUED_DATAGRAMS = 1_000


class _Pipe:
    """One direction of a stream: a bounded byte buffer that can be closed."""

    def __init__(self, notifier: "_Notifier") -> None:
        self._notifier = notifier
        self._is_reading_ended = False
        self._chunks: deque[bytes] = deque()
        self._size = 0
        self.closed = False
        self._changed = curio.Condition()

    @property
    def has_unread(self) -> bool:
        return bool(self._chunks)

    @property
    def readable(self) -> bool:
        return self.closed or self._is_reading_ended or bool(self._chunks)

    async def write(self, data: bytes) -> None:
        async with self._changed:
            while self._size >= PIPE_CAPACITY_BYTES and not self.closed:
                await self._changed.wait()
            if self.closed:
                raise BrokenPipeError("stream is closed")
            if data:
                self._chunks.append(bytes(data))
                self._size += len(data)
            await self._changed.notify_all()

    async def read(self, max_bytes: int) -> bytes:
        async with self._changed:
            while not self.readable:
                await self._changed.wait()
            if not self._chunks:
                return b""
            chunk = self._chunks.popleft()
            if len(chunk) > max_bytes:
                self._chunks.appendleft(chunk[max_bytes:])
                chunk = chunk[:max_bytes]
            self._size -= len(chunk)
            await self._changed.notify_all()
            return chunk

    async def close(self) -> None:
        self.closed = True
        await self.notify()

    def end_reading(self) -> None:
        self._is_reading_ended = True
        self._notifier.add(self)

    async def notify(self) -> None:
        async with self._changed:
            await self._changed.notify_all()


class _Notifier:
    """Notifies those who wait for pipes that are changed by code that cannot wait."""

    def __init__(self) -> None:
        self._pipes: list[_Pipe] = []
        self._added = Future()

    def add(self, pipe: _Pipe) -> None:
        self._pipes.append(pipe)
        if not self._added.done():
            self._added.set_result(None)

    async def run(self) -> None:
        while True:
            await _future_wait(self._added)
            self._added = Future()
            pipes, self._pipes = self._pipes, []
            for pipe in pipes:
                await pipe.notify()


class _MemoryStream(Stream):
    def __init__(self, incoming: _Pipe, outgoing: _Pipe) -> None:
        self._incoming = incoming
        self._outgoing = outgoing

    async def recv(self, max_bytes: int) -> bytes:
        return await self._incoming.read(max_bytes)

    async def sendall(self, data: bytes) -> None:
        await self._outgoing.write(data)

    def is_readable(self) -> bool:
        return self._incoming.readable

    def is_ended(self) -> bool:
        return self._incoming.closed

    def has_unsent(self) -> bool:
        return self._outgoing.has_unread

    def end_reading(self) -> None:
        self._incoming.end_reading()

    async def end_sending(self) -> None:
        await self._outgoing.close()

    async def close(self) -> None:
        await self._incoming.close()
        await self._outgoing.close()


class _MemoryDatagramPort(DatagramPort):
    def __init__(self, transport: "MemoryTransport", address: str, port: int) -> None:
        super().__init__(port)
        self._transport = transport
        self._address = address
        self._queue = curio.Queue()
        self._is_closed = False

    async def recvfrom(self) -> tuple[bytes, tuple[str, int]]:
        if self._is_closed:
            raise OSError(errno.EBADF, "the port is closed")
        return await self._queue.get()

    async def sendto(self, data: bytes, address: str, port: int) -> None:
        target = self._transport.datagram_ports.get((address, port))
        if target is not None and target._queue.qsize() < MAX_QUEUED_DATAGRAMS:
            await target._queue.put((bytes(data), (self._address, self.port)))

    async def close(self) -> None:
        self._is_closed = True
        self._transport.datagram_ports.pop((self._address, self.port), None)


class MemoryTransport(Transport):
    """Streams and datagrams between the users of one instance."""

    def __init__(self) -> None:
        super().__init__()
        self._listeners: dict[tuple[str, int], curio.Queue] = {}
        self._notifier = _Notifier()
        self._notifier_task: curio.Task | None = None
        self.datagram_ports: dict[tuple[str, int], _MemoryDatagramPort] = {}
        self._ports = itertools.count(FIRST_FREE_PORT)

    async def connect(self, address: str, port: int) -> Stream:
        """Open a stream to a listener of this instance."""
        try:
            queue = self._listeners[address, port]
        except KeyError:
            raise ConnectionRefusedError(f"no listener at {address}:{port}") from None
        to_listener, to_connector = _Pipe(self._notifier), _Pipe(self._notifier)
        await queue.put(_MemoryStream(to_listener, to_connector))
        return _MemoryStream(to_connector, to_listener)

    async def listen(self, address: str, port: int, handler: StreamHandler) -> Listener:
        """Accept streams that are opened through this instance."""
        port = port or next(self._ports)
        if (address, port) in self._listeners:
            raise OSError(f"address {address}:{port} is in use")
        if self._notifier_task is None:
            self._notifier_task = await curio.spawn(self._notifier.run, daemon=True)
        tasks: set = set()
        accept_task = await curio.spawn(
            self._accept, (address, port), handler, tasks, daemon=True
        )
        self._listeners[address, port] = curio.Queue()
        return Listener(port, accept_task, tasks)

    async def _accept(
        self, key: tuple[str, int], handler: StreamHandler, tasks: set
    ) -> None:
        try:
            while True:
                stream = await self._listeners[key].get()
                task = await curio.spawn(
                    run_handler, handler, stream, tasks, daemon=True
                )
                tasks.add(task)
        finally:
            queue = self._listeners.pop(key)
            async with curio.disable_cancellation():
                while not queue.empty():
                    await (await queue.get()).close()

    async def open_datagrams(self, address: str, port: int) -> DatagramPort:
        """Bind a datagram port that this instance can reach."""
        port = port or next(self._ports)
        if (address, port) in self.datagram_ports:
            raise OSError(f"address {address}:{port} is in use")
        datagram_port = _MemoryDatagramPort(self, address, port)
        self.datagram_ports[address, port] = datagram_port
        return datagram_port


def create_memory_transport() -> MemoryTransport:
    """Return a transport whose users reach only each other."""
    return MemoryTransport()
