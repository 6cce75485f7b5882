"""Byte streams between processes: an abstract transport and its socket form."""

import abc
import socket as stdlib_socket
from collections.abc import Awaitable, Callable

import curio
from curio import socket

__all__ = [
    "Listener",
    "SocketTransport",
    "Stream",
    "StreamHandler",
    "Transport",
    "create_socket_transport",
]

ACCEPT_BACKLOG = 1024
BACKLOG_WAIT_S = 0.001


class Stream(abc.ABC):
    """A bidirectional byte stream."""

    @abc.abstractmethod
    async def recv(self, max_bytes: int) -> bytes:
        """Return up to `max_bytes` bytes; empty at the end of the stream."""

    @abc.abstractmethod
    async def sendall(self, data: bytes) -> None:
        """Send all of `data`; raise OSError when the stream is broken."""

    @abc.abstractmethod
    def is_readable(self) -> bool:
        """Return whether data or an end of stream is waiting."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close both directions; closing twice is allowed."""


StreamHandler = Callable[[Stream], Awaitable[None]]


class Listener:
    """A listening address whose connections run as independent tasks.

    Parameters
    ----------
    port : int
        Port that was bound, in host byte order.
    accept_task : curio.Task
        Task that accepts connections.
    tasks : set of curio.Task
        Tasks of open connections.
    """

    def __init__(self, port: int, accept_task: curio.Task, tasks: set) -> None:
        self.port = port
        self._accept_task = accept_task
        self._tasks = tasks

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        await self._accept_task.cancel()

    async def close(self) -> None:
        """Close the listening socket and cancel the open connections."""
        await self.stop_accepting()
        for task in list(self._tasks):
            await task.cancel()


class Transport(abc.ABC):
    """Opens and accepts streams."""

    @abc.abstractmethod
    async def connect(self, address: str, port: int) -> Stream:
        """Open a stream; raise OSError when the peer cannot be reached."""

    @abc.abstractmethod
    async def listen(self, address: str, port: int, handler: StreamHandler) -> Listener:
        """Accept streams on `address` and `port` (0 picks a free port)."""


class _SocketStream(Stream):
    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)

    async def recv(self, max_bytes: int) -> bytes:
        return await self._sock.recv(max_bytes)

    async def sendall(self, data: bytes) -> None:
        await self._sock.sendall(data)

    def is_readable(self) -> bool:
        flags = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT
        try:
            with self._sock.blocking() as sock:
                sock.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def close(self) -> None:
        await self._sock.close()


class SocketTransport(Transport):
    """TCP transport."""

    async def connect(self, address: str, port: int) -> Stream:
        """Open a TCP connection."""
        is_ipv6 = ":" in address
        sock = socket.socket(socket.AF_INET6 if is_ipv6 else socket.AF_INET)
        try:
            await sock.connect((address, port))
        except BaseException:
            # A cancelled connection attempt would leave its socket open.
            async with curio.disable_cancellation():
                await sock.close()
            raise
        return _SocketStream(sock)

    async def listen(self, address: str, port: int, handler: StreamHandler) -> Listener:
        """Listen on a TCP port."""
        sock = curio.tcp_server_socket(
            address, port, backlog=ACCEPT_BACKLOG, reuse_address=True
        )
        tasks: set = set()
        accept_task = await curio.spawn(
            _accept_streams, sock, handler, tasks, daemon=True
        )
        return Listener(sock.getsockname()[1], accept_task, tasks)


async def _accept_streams(
    sock: socket.socket, handler: StreamHandler, tasks: set
) -> None:
    async with sock:
        try:
            while True:
                client, _ = await sock.accept()
                await _spawn_handler(client, handler, tasks)
        except curio.CancelledError:
            # Closing the socket would reset connections that wait in its backlog.
            while accepted := await curio.ignore_after(BACKLOG_WAIT_S, sock.accept):
                await _spawn_handler(accepted[0], handler, tasks)
            raise


async def _spawn_handler(
    client: socket.socket, handler: StreamHandler, tasks: set
) -> None:
    task = await curio.spawn(
        _run_handler, handler, _SocketStream(client), tasks, daemon=True
    )
    tasks.add(task)


async def _run_handler(handler: StreamHandler, stream: Stream, tasks: set) -> None:
    try:
        await handler(stream)
    except OSError:
        pass
    finally:
        tasks.discard(await curio.current_task())
        async with curio.disable_cancellation():
            await stream.close()


def create_socket_transport() -> SocketTransport:
    """Return a TCP transport."""
    return SocketTransport()
