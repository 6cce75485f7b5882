"""HTTP/1.1 client: a bounded pool of persistent connections to an address."""

import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import curio
import h11

from buckthorndeal._connection_slots import ConnectionSlots
from buckthorndeal._http_connection import (
    ClientConnection,
    LivenessCheck,
    abort_connection,
    create_protocol,
    encode_headers,
    send_request,
    start_watcher,
)
from buckthorndeal._http_response import ClientResponse, read_head
from buckthorndeal.connections import CLIENT_BUFFERS
from buckthorndeal.errors import RequestError, ShortageError, Verdict
from buckthorndeal.transport import Transport, is_shortage

__all__ = [
    "ClientConnection",
    "ClientResponse",
    "HttpPool",
    "abort_connection",
    "create_http_pool",
    "encode_headers",
]

CONNECT_TIMEOUT_S = 2.0
# An idle connection is reused for this share of the keep-alive timeout that the peer
# announced, because the peer may close it a little earlier.
KEEP_ALIVE_SHARE = 0.6
# Share of the descriptors that connections leave to links between hosts and to files.
RESERVED_SHARE = 1 / 32


class HttpPool:
    """Pool of connections to one address.

    Parameters
    ----------
    transport : Transport
        Opens the connections.
    address : str
        IP address.
    port : int
        Port.
    max_connections : int
        Maximum number of open connections.
    connect_timeout_s : float
        Timeout for opening a connection in seconds.
    max_idle_s : float
        Maximum time in seconds for which an idle connection is kept.
    """

    def __init__(
        self,
        transport: Transport,
        address: str,
        port: int,
        max_connections: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_idle_s: float = math.inf,
    ) -> None:
        self.address = address
        self.port = port
        self._transport = transport
        self._slots = ConnectionSlots(max_connections)
        self._idle: list[ClientConnection] = []
        self._closed = False
        self._connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s

    @asynccontextmanager
    async def request(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        on_dispatch: Callable[[], None] | None = None,
        fresh: bool = False,
        check: LivenessCheck | None = None,
        on_connection: Callable[[ClientConnection], None] | None = None,
    ) -> AsyncIterator[ClientResponse]:
        """Send a request and yield the response once its head has arrived.

        The connection is kept if the body was read to its end, and closed
        otherwise. Closing it tells the endpoint that the request is cancelled.

        Parameters
        ----------
        on_dispatch : callable, optional
            Called just before the first byte is passed to the kernel.
        fresh : bool, optional
            Whether to open a new connection instead of using an idle one.
        check : callable, optional
            Coroutine function that is awaited whenever nothing has been received for
            `CHECK_INTERVAL_S`. An exception that it raises ends the request.
        on_connection : callable, optional
            Called with the connection before anything is sent over it.

        Raises
        ------
        RequestError
            With verdict ``NOT_RUN`` if no connection could be opened, and
            ``MAY_HAVE_RUN`` for failures after bytes were passed to the kernel.
        ShortageError
            If no connection could be opened because of this host alone.
        """
        async with self._slots:
            connection = await self._acquire(fresh)
            watcher = await start_watcher(connection, check)
            try:
                if on_connection is not None:
                    on_connection(connection)
                if on_dispatch is not None:
                    on_dispatch()
                await send_request(
                    connection,
                    method,
                    target,
                    self._add_host(headers),
                    body,
                )
                yield await read_head(connection)
            finally:
                if watcher is not None:
                    await watcher.cancel()
                if connection.memory.is_booked:
                    await connection.memory.end()
                await self._release(connection)

    async def fetch(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return status, headers and complete body."""
        async with self.request(method, target, headers, body) as response:
            return response.status, response.headers, await response.read()

    def set_limit(self, max_connections: int) -> None:
        """Replace the maximum number of connections; those in use stay open."""
        self._slots.limit = max_connections

    async def close(self) -> None:
        """Close the idle connections; the others are closed when released."""
        self._closed = True
        await self.close_idle()

    async def close_idle(self) -> None:
        """Close the idle connections; others are opened when they are needed."""
        while self._idle:
            await self._idle.pop().stream.close()

    async def _acquire(self, fresh: bool) -> ClientConnection:
        while self._idle and not fresh:
            connection = self._idle.pop()
            if await self._is_stale(connection):
                await connection.stream.close()
                continue
            # A readable idle connection was closed by the peer, or contains bytes of
            # an unsolicited response.
            if not connection.stream.is_readable():
                return connection
            await connection.stream.close()
        if not self._transport.has_free_descriptors(RESERVED_SHARE):
            raise ShortageError("too few descriptors are free")
        try:
            async with curio.timeout_after(self._connect_timeout_s):
                stream = await self._transport.connect(self.address, self.port)
        except (OSError, curio.TaskTimeout) as error:
            if is_shortage(error):
                raise ShortageError(str(error)) from error
            raise RequestError(
                "connect_failed",
                502,
                f"cannot connect to {self.address}:{self.port}",
                Verdict.NOT_RUN,
                retry_after_s=1.0,
            ) from error
        stream.set_buffers(CLIENT_BUFFERS)
        owner = f"{self.address}:{self.port}"
        return ClientConnection(
            stream, create_protocol(), self._transport.memory, owner
        )

    async def _is_stale(self, connection: ClientConnection) -> bool:
        limit_s = self._max_idle_s
        if connection.keep_alive_s is not None:
            limit_s = min(limit_s, connection.keep_alive_s * KEEP_ALIVE_SHARE)
        return await curio.clock() - connection.idle_since_s > limit_s

    def _add_host(self, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        if any(name == "host" for name, _ in headers):
            return headers
        return [("host", f"{self.address}:{self.port}"), *headers]

    async def _release(self, connection: ClientConnection) -> None:
        protocol = connection.protocol
        reusable = (
            not self._closed
            and connection.is_reusable
            and len(self._idle) < self._slots.limit
            and protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
            and not protocol.trailing_data[0]
        )
        if reusable:
            protocol.start_next_cycle()
            connection.earlier_requests += 1
            connection.idle_since_s = await curio.clock()
            self._idle.append(connection)
            return
        async with curio.disable_cancellation():
            await connection.stream.close()


def create_http_pool(
    transport: Transport,
    address: str,
    port: int,
    max_connections: int = 64,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    max_idle_s: float = math.inf,
) -> HttpPool:
    """Return a pool without open connections; see `HttpPool`."""
    return HttpPool(
        transport, address, port, max_connections, connect_timeout_s, max_idle_s
    )
