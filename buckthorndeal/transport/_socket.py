"""Transport over TCP and UDP sockets."""

import select
import socket as stdlib_socket

import curio
from curio import socket
from curio.io import Socket

from buckthorndeal.transport._base import (
    DatagramPort,
    Listener,
    Stream,
    StreamHandler,
    Transport,
    run_handler,
)

__all__ = ["SocketTransport", "create_socket_transport"]

ACCEPT_BACKLOG = 1024
MAX_DATAGRAM_BYTES = 65_535


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

    def is_ended(self) -> bool:
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    async def close(self) -> None:
        await self._sock.close()

    async def abort(self) -> None:
        try:
            await self._sock.shutdown(stdlib_socket.SHUT_RDWR)
        except OSError:
            # The connection has already ended, so no `recv` is pending.
            return


class SocketTransport(Transport):
    """Transport over TCP and UDP sockets."""

    async def connect(self, address: str, port: int) -> Stream:
        """Open a TCP connection."""
        is_ipv6 = ":" in address
        sock = socket.socket(socket.AF_INET6 if is_ipv6 else socket.AF_INET)
        try:
            await sock.connect((address, port))
        except BaseException:
            # A cancelled connection attempt would leak its socket.
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

    async def open_datagrams(self, address: str, port: int) -> DatagramPort:
        """Bind a UDP port."""
        family = stdlib_socket.AF_INET6 if ":" in address else stdlib_socket.AF_INET
        sock = socket.socket(family, stdlib_socket.SOCK_DGRAM)
        sock.bind((address, port))
        return _SocketDatagramPort(sock)


async def _accept_streams(
    sock: socket.socket, handler: StreamHandler, tasks: set
) -> None:
    async with sock:
        try:
            while True:
                client, _ = await sock.accept()
                await _spawn_handler(client, handler, tasks)
        except curio.CancelledError:
            # Closing the socket would reset the connections in its backlog.
            for client in _accept_backlog(sock):
                await _spawn_handler(client, handler, tasks)
            raise


def _accept_backlog(sock: socket.socket) -> list[Socket]:
    """Return the connections that wait to be accepted at this moment."""
    clients: list[Socket] = []
    with sock.blocking() as listening:
        listening.setblocking(False)
        while len(clients) <= ACCEPT_BACKLOG:
            try:
                client, _ = listening.accept()
            except OSError:
                break
            clients.append(Socket(client))
    return clients


async def _spawn_handler(
    client: socket.socket, handler: StreamHandler, tasks: set
) -> None:
    task = await curio.spawn(
        run_handler, handler, _SocketStream(client), tasks, daemon=True
    )
    tasks.add(task)


class _SocketDatagramPort(DatagramPort):
    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock.getsockname()[1])
        self._sock = sock

    async def recvfrom(self) -> tuple[bytes, tuple[str, int]]:
        while True:
            try:
                data, source = await self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except ConnectionError:
                # Linux reports an ICMP error for an earlier datagram here.
                continue
            return data, (source[0], source[1])

    async def sendto(self, data: bytes, address: str, port: int) -> None:
        try:
            await self._sock.sendto(data, (address, port))
        except OSError:
            # Datagrams to an unreachable host are lost without an error.
            return

    async def close(self) -> None:
        await self._sock.close()


def create_socket_transport() -> SocketTransport:
    """Return a transport over TCP and UDP sockets."""
    return SocketTransport()
