"""Byte streams over TCP connections."""

import fcntl
import select
import socket as stdlib_socket
import struct
import termios

from curio.io import Socket

from buckthorndeal.connections import Buffers
from buckthorndeal.transport._base import Stream
from buckthorndeal.transport._descriptors import Descriptors


class _SocketStream(Stream):
    def __init__(self, sock: Socket, descriptors: Descriptors) -> None:
        self._sock = sock
        self._descriptors = descriptors
        descriptors.add(sock)

    async def recv(self, max_bytes: int) -> bytes:
        return await self._sock.recv(max_bytes)

    async def sendall(self, data: bytes) -> None:
        sent = await self._sock.send(data)
        self.sent_bytes += sent
        if sent == len(data):
            return
        rest = memoryview(data)[sent:]
        while rest:
            sent = await self._sock.send(rest)
            self.sent_bytes += sent
            rest = rest[sent:]

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

    def has_unsent(self) -> bool:
        # On a socket, the bytes that the peer has not acknowledged.
        size = fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, bytes(4))
        return struct.unpack("i", size)[0] > 0

    def set_buffers(self, buffers: Buffers) -> None:
        try:
            limit_buffers(self._sock, buffers)
        except OSError:
            # The connection has already ended.
            return

    async def close(self) -> None:
        await self._sock.close()
        self._descriptors.remove(self._sock)

    def end_reading(self) -> None:
        try:
            with self._sock.blocking() as sock:
                sock.shutdown(stdlib_socket.SHUT_RD)
        except OSError:
            # The connection has already ended, so no `recv` is pending.
            return

    async def end_sending(self) -> None:
        try:
            await self._sock.shutdown(stdlib_socket.SHUT_WR)
        except OSError:
            # The connection has already ended.
            return

    async def abort(self) -> None:
        try:
            await self._sock.shutdown(stdlib_socket.SHUT_RDWR)
        except OSError:
            # The connection has already ended, so no `recv` is pending.
            return


def limit_buffers(sock: Socket, buffers: Buffers) -> None:
    """Ask the kernel for the sizes of a socket's buffers, which it grows no more.

    Raises
    ------
    OSError
        If the socket is closed.
    """
    for option, size_bytes in (
        (stdlib_socket.SO_RCVBUF, buffers.receive_bytes),
        (stdlib_socket.SO_SNDBUF, buffers.send_bytes),
    ):
        sock.setsockopt(stdlib_socket.SOL_SOCKET, option, size_bytes)


def create_socket_stream(sock: Socket, descriptors: Descriptors) -> Stream:
    """Return a stream over a connected socket, which sends without delay.

    The socket counts in `descriptors` until the stream is closed.

    Raises
    ------
    OSError
        If the connection has already been reset; the socket is closed then.
    """
    try:
        sock.setsockopt(stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_NODELAY, 1)
    except OSError:
        with sock.blocking() as inner:
            inner.close()
        descriptors.remove(sock)
        raise
    return _SocketStream(sock, descriptors)
