"""Transport over TCP and UDP sockets."""

import errno
import socket as stdlib_socket
from collections.abc import Mapping

import curio
from curio import socket

from buckthorndeal.connections import ConnectionLimits, create_connection_limits
from buckthorndeal.memory import MemoryAccount, create_memory_account
from buckthorndeal.transport._accepting import (
    AcceptLoop,
    SocketListener,
    listen_on_socket,
)
from buckthorndeal.transport._base import (
    DatagramPort,
    Listener,
    Stream,
    StreamHandler,
    Transport,
)
from buckthorndeal.transport._descriptors import Descriptors
from buckthorndeal.transport._failures import FailureLog
from buckthorndeal.transport._streams import create_socket_stream

__all__ = ["SocketTransport", "create_socket_transport"]

MAX_DATAGRAM_BYTES = 65_535
RETRY_PAUSE_S = 0.02


class SocketTransport(Transport):
    """Transport over TCP and UDP sockets.

    Parameters
    ----------
    max_descriptors : int, optional
        Descriptors that the process may use, if fewer than the system allows it.
    memory : MemoryAccount, optional
        Account of what the process holds for messages.
    connections : ConnectionLimits, optional
        Numbers of connections that the process may keep.
    """

    def __init__(
        self,
        max_descriptors: int | None = None,
        memory: MemoryAccount | None = None,
        connections: ConnectionLimits | None = None,
    ) -> None:
        super().__init__(memory, connections)
        self._descriptors = Descriptors(max_descriptors)
        self._accept_failures = FailureLog("accept_failed")
        self._datagram_failures = FailureLog("datagram_read_failed")

    def read_counters(self) -> Mapping[str, int]:
        """Return counters for the metrics of the process."""
        return {
            **super().read_counters(),
            "accepts_failed": self._accept_failures.count,
            "datagram_reads_failed": self._datagram_failures.count,
            "descriptor_shortages": self._descriptors.shortages,
            "sockets_open": self._descriptors.open_count,
        }

    def has_free_descriptors(self, share: float, returning: int = 0) -> bool:
        """Return whether more than a share of the descriptors is free."""
        return self._descriptors.has_free(share, returning)

    async def connect(self, address: str, port: int) -> Stream:
        """Open a TCP connection."""
        self._descriptors.check()
        is_ipv6 = ":" in address
        sock = socket.socket(socket.AF_INET6 if is_ipv6 else socket.AF_INET)
        self._descriptors.add(sock)
        try:
            await sock.connect((address, port))
        except BaseException:
            # A cancelled connection attempt would leak its socket.
            async with curio.disable_cancellation():
                await sock.close()
            self._descriptors.remove(sock)
            raise
        return create_socket_stream(sock, self._descriptors)

    async def listen(self, address: str, port: int, handler: StreamHandler) -> Listener:
        """Listen on a TCP port."""
        backlog = self.connections.backlog
        sock = listen_on_socket(address, port, backlog)
        tasks: set = set()
        loop = AcceptLoop(
            sock, backlog, handler, tasks, self._accept_failures, self._descriptors
        )
        accept_task = await curio.spawn(loop.run, daemon=True)
        return SocketListener(sock.getsockname()[1], accept_task, tasks, loop)

    async def open_datagrams(self, address: str, port: int) -> DatagramPort:
        """Bind a UDP port."""
        family = stdlib_socket.AF_INET6 if ":" in address else stdlib_socket.AF_INET
        sock = socket.socket(family, stdlib_socket.SOCK_DGRAM)
        try:
            sock.bind((address, port))
        except OSError:
            await sock.close()
            raise
        return _SocketDatagramPort(sock, self._datagram_failures)


class _SocketDatagramPort(DatagramPort):
    def __init__(self, sock: socket.socket, failures: FailureLog) -> None:
        super().__init__(sock.getsockname()[1])
        self._sock = sock
        self._failures = failures
        self._is_closed = False

    async def recvfrom(self) -> tuple[bytes, tuple[str, int]]:
        while not self._is_closed:
            try:
                data, source = await self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except ConnectionError:
                # Linux reports an ICMP error for an earlier datagram here.
                continue
            except OSError as error:
                self._failures.record(self.port, error)
                await curio.sleep(RETRY_PAUSE_S)
                continue
            return data, (source[0], source[1])
        raise OSError(errno.EBADF, "the port is closed")

    async def sendto(self, data: bytes, address: str, port: int) -> None:
        try:
            await self._sock.sendto(data, (address, port))
        except OSError:
            # Datagrams to an unreachable host are lost without an error.
            return

    async def close(self) -> None:
        self._is_closed = True
        await self._sock.close()


def create_socket_transport(
    max_descriptors: int | None = None, memory_bytes: int | None = None
) -> SocketTransport:
    """Return a transport over TCP and UDP sockets; see `SocketTransport`.

    Parameters
    ----------
    max_descriptors : int, optional
        Descriptors that the process may use, if fewer than the system allows it.
    memory_bytes : int, optional
        Memory that the process may use, if that is limited.
    """
    return SocketTransport(
        max_descriptors,
        create_memory_account(memory_bytes),
        create_connection_limits(memory_bytes),
    )
