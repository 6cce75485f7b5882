"""HTTP/1.1 client on h11: a bounded pool of persistent connections to an address."""

import math
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
import h11

from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.transport import Stream, Transport

__all__ = ["ClientResponse", "HttpPool", "create_http_pool"]

# Small, because all of the data is parsed before other tasks run again.
READ_BYTES = 16_384
# Reads after which other tasks run, even if the next read would not wait.
MAX_UNYIELDED_READS = 32
MAX_INFORMATIONAL_RESPONSES = 16
MAX_HEADER_BYTES = 65_536
MAX_RESPONSE_BYTES = 1 << 24
CONNECT_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 0.5
# An idle connection is reused for this share of the keep-alive timeout that the peer
# announced, because the peer may close it a little earlier.
KEEP_ALIVE_SHARE = 0.6

LivenessCheck = Callable[[], Awaitable[None]]


@dataclass(eq=False)
class _Connection:
    stream: Stream
    protocol: h11.Connection
    needs_data: bool = False
    read_count: int = 0
    unyielded_reads: int = 0
    is_reading: bool = False
    failure: Exception | None = None
    keep_alive_s: float | None = None
    idle_since_s: float = 0.0


@dataclass(eq=False)
class ClientResponse:
    """Response head; the body is read on demand.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Values by lower-case name.
    """

    status: int
    headers: dict[str, str]
    _connection: _Connection = field(repr=False)
    _ended: bool = False

    async def read_part(self) -> bytes:
        """Return the next received part of the body; empty at its end.

        Chunks that arrived together are returned together, so that a relay under
        load sends them in one write.

        Raises
        ------
        RequestError
            With verdict ``MAY_HAVE_RUN`` if the connection breaks.
        """
        while not self._ended:
            event = await _next_event(self._connection)
            if isinstance(event, h11.EndOfMessage):
                self._ended = True
            elif not isinstance(event, h11.Data):
                raise _create_broken_error("the response ended early")
            elif event.data:
                return bytes(event.data) + self._take_buffered()
        return b""

    def _take_buffered(self) -> bytes:
        """Return the body data that h11 has received but not yet returned."""
        protocol = self._connection.protocol
        parts = []
        while protocol.their_state is h11.SEND_BODY:
            try:
                event = protocol.next_event()
            except h11.RemoteProtocolError:
                # The next read raises it again, after the valid data was returned.
                break
            if not isinstance(event, h11.Data):
                self._ended = isinstance(event, h11.EndOfMessage)
                self._connection.needs_data = event is h11.NEED_DATA
                break
            parts.append(event.data)
        return b"".join(parts)

    @property
    def is_waiting(self) -> bool:
        """Whether a read waits for the endpoint."""
        return self._connection.is_reading

    async def abort(self, error: RequestError) -> None:
        """End the response; the read that waits for it raises `error`."""
        self._connection.failure = error
        await self._connection.stream.abort()

    async def read(self) -> bytes:
        """Return the complete body."""
        parts = []
        size = 0
        while part := await self.read_part():
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                raise _create_broken_error(
                    f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
                )
            parts.append(part)
        return b"".join(parts)


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
        self._slots = curio.Semaphore(max_connections)
        self._max_idle_connections = max_connections
        self._idle: list[_Connection] = []
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

        Raises
        ------
        RequestError
            With verdict ``NOT_RUN`` if no connection could be opened, and
            ``MAY_HAVE_RUN`` for failures after bytes were passed to the kernel.
        """
        async with self._slots:
            connection = await self._acquire(fresh)
            watcher = await _start_watcher(connection, check)
            try:
                if on_dispatch is not None:
                    on_dispatch()
                await _send_request(
                    connection,
                    method,
                    target,
                    self._add_host(headers),
                    body,
                )
                yield await _read_head(connection)
            finally:
                if watcher is not None:
                    await watcher.cancel()
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

    async def close(self) -> None:
        """Close the idle connections; the others are closed when released."""
        self._closed = True
        while self._idle:
            await self._idle.pop().stream.close()

    async def _acquire(self, fresh: bool) -> _Connection:
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
        try:
            async with curio.timeout_after(self._connect_timeout_s):
                stream = await self._transport.connect(self.address, self.port)
        except (OSError, curio.TaskTimeout) as error:
            raise RequestError(
                "connect_failed",
                502,
                f"cannot connect to {self.address}:{self.port}",
                Verdict.NOT_RUN,
                retry_after_s=1.0,
            ) from error
        return _Connection(stream, _create_protocol())

    async def _is_stale(self, connection: _Connection) -> bool:
        limit_s = self._max_idle_s
        if connection.keep_alive_s is not None:
            limit_s = min(limit_s, connection.keep_alive_s * KEEP_ALIVE_SHARE)
        return await curio.clock() - connection.idle_since_s > limit_s

    def _add_host(self, headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
        if any(name == "host" for name, _ in headers):
            return headers
        return [("host", f"{self.address}:{self.port}"), *headers]

    async def _release(self, connection: _Connection) -> None:
        protocol = connection.protocol
        reusable = (
            not self._closed
            and len(self._idle) < self._max_idle_connections
            and protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
            and not protocol.trailing_data[0]
        )
        if reusable:
            protocol.start_next_cycle()
            connection.idle_since_s = await curio.clock()
            self._idle.append(connection)
            return
        async with curio.disable_cancellation():
            await connection.stream.close()


async def _send_request(
    connection: _Connection,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    send = connection.protocol.send
    head = h11.Request(
        method=method,
        target=target,
        headers=[*headers, ("content-length", str(len(body)))],
    )
    data = send(head) + send(h11.Data(data=body)) + send(h11.EndOfMessage())
    try:
        await connection.stream.sendall(data)
    except OSError as error:
        raise _create_broken_error(str(error)) from error


async def _read_head(connection: _Connection) -> ClientResponse:
    for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
        event = await _next_event(connection)
        if isinstance(event, h11.Response):
            headers = {
                name.decode("ascii"): value.decode("latin-1")
                for name, value in event.headers
            }
            connection.keep_alive_s = _parse_keep_alive(headers.get("keep-alive", ""))
            return ClientResponse(event.status_code, headers, connection)
        if not isinstance(event, h11.InformationalResponse):
            raise _create_broken_error("the connection was closed before a response")
    raise _create_broken_error(
        f"more than {MAX_INFORMATIONAL_RESPONSES} informational responses"
    )


def _parse_keep_alive(value: str) -> float | None:
    """Return the idle timeout that the peer announces, or None."""
    match = re.search(r"timeout=(\d+)", value)
    return float(match.group(1)) if match else None


async def _next_event(connection: _Connection) -> object:
    protocol = connection.protocol
    try:
        while True:
            # Calling h11 again before data has arrived costs 4 us for each token.
            if not connection.needs_data:
                event = protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
            protocol.receive_data(await _receive(connection))
            connection.needs_data = False
    except OSError as error:
        raise _create_broken_error(str(error)) from error
    except h11.RemoteProtocolError as error:
        raise _create_broken_error(f"malformed response: {error}") from error


async def _receive(connection: _Connection) -> bytes:
    connection.is_reading = True
    data = await connection.stream.recv(READ_BYTES)
    connection.is_reading = False
    connection.read_count += 1
    connection.unyielded_reads += 1
    if len(data) == READ_BYTES or connection.unyielded_reads >= MAX_UNYIELDED_READS:
        # A peer that sends without end never lets a read wait.
        connection.unyielded_reads = 0
        await curio.sleep(0)
    if connection.failure is not None:
        raise connection.failure
    return data


async def _start_watcher(
    connection: _Connection, check: LivenessCheck | None
) -> curio.Task | None:
    if check is None:
        return None
    return await curio.spawn(_check_silent_peer, connection, check, daemon=True)


async def _check_silent_peer(connection: _Connection, check: LivenessCheck) -> None:
    """Abort the connection if `check` fails while the peer sends nothing.

    This is one task per request, because a timeout around each read costs 17 us of
    CPU time for each relayed token.
    """
    while True:
        read_count = connection.read_count
        await curio.sleep(CHECK_INTERVAL_S)
        if not connection.is_reading or connection.read_count != read_count:
            continue
        try:
            await check()
        except Exception as error:
            connection.failure = error
            await connection.stream.abort()
            return


def _create_protocol() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)


def _create_broken_error(reason: str) -> RequestError:
    return RequestError(
        "connection_broken", 502, f"connection broken: {reason}", Verdict.MAY_HAVE_RUN
    )


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
