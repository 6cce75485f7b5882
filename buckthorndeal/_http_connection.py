"""Connection of an HTTP/1.1 client on h11: one request and its response at a time."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import InitVar, dataclass, field

import curio
import h11

from buckthorndeal._response_memory import ResponseMemory
from buckthorndeal.errors import (
    ConnectionBrokenError,
    ConnectionClosedError,
    ResponseCutError,
)
from buckthorndeal.memory import SMALL_BYTES, UNBOOKED_BYTES, MemoryAccount
from buckthorndeal.transport import Stream

# Small, because all of the data is parsed before other tasks run again.
READ_BYTES = 16_384
# Reads after which other tasks run, even if the next read would not wait.
MAX_UNYIELDED_READS = 32
MAX_HEADER_BYTES = 65_536
CHECK_INTERVAL_S = 0.5
# Late copies of older responses are not recognized.
MAX_REQUEST_IDS = 16

LivenessCheck = Callable[[], Awaitable[None]]


@dataclass(eq=False)
class ClientConnection:
    """Connection to a server, with the state of its current response.

    Parameters
    ----------
    stream : Stream
        The connection.
    protocol : h11.Connection
        State of the protocol.
    account : MemoryAccount
        Account of what is held of responses.
    owner : str
        Address of the server.
    needs_data : bool
        Whether h11 has returned all that it has received.
    read_count, unyielded_reads : int
        Number of reads, and of those since other tasks could run.
    is_reading : bool
        Whether a read waits for the server.
    closed_by_peer : bool
        Whether the last read met the end of the connection.
    failure : Exception or None
        Error that the next read raises.
    keep_alive_s : float or None
        Idle timeout that the server has announced.
    idle_since_s : float
        Clock reading when the last response ended.
    earlier_requests : int
        Number of requests before the current one.
    request_ids : deque of str
        Ids of the last requests that the user of the connection has named.
    method : str
        Method of the current request.
    is_reusable : bool
        Whether further requests may be sent over it.
    informational_count : int
        Number of informational responses to all requests.
    is_request_cut : bool
        Whether the connection failed while the current request was being sent.

    Attributes
    ----------
    memory : ResponseMemory
        What is held of the current response.
    """

    stream: Stream
    protocol: h11.Connection
    account: InitVar[MemoryAccount]
    owner: InitVar[str]
    memory: ResponseMemory = field(init=False, repr=False)
    needs_data: bool = False
    read_count: int = 0
    unyielded_reads: int = 0
    is_reading: bool = False
    closed_by_peer: bool = False
    failure: Exception | None = None
    keep_alive_s: float | None = None
    idle_since_s: float = 0.0
    earlier_requests: int = 0
    request_ids: deque[str] = field(
        default_factory=lambda: deque(maxlen=MAX_REQUEST_IDS)
    )
    method: str = ""
    is_reusable: bool = True
    informational_count: int = 0
    is_request_cut: bool = False

    def __post_init__(self, account: MemoryAccount, owner: str) -> None:
        self.memory = ResponseMemory(account, owner, self.stream, self._fail)

    def _fail(self, error: ResponseCutError) -> None:
        """Drop what was received, and let all further reads fail."""
        self.failure = self.failure or error
        self.protocol = create_protocol()


async def abort_connection(connection: ClientConnection, error: Exception) -> None:
    """End a connection; the read that waits on it raises `error`."""
    connection.failure = error
    await connection.stream.abort()


def encode_headers(headers: list[tuple[str, str]]) -> list[tuple[str, bytes]]:
    """Return the headers with their values as the bytes that were received.

    A value may hold any byte from 0x80 on. h11 takes text as ASCII only.
    """
    return [(name, value.encode("latin-1")) for name, value in headers]


async def send_request(
    connection: ClientConnection,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Send a request with its whole body.

    The server may respond early and end the connection. On a new connection, what has
    arrived by then can only be its response to this request, and may be read.

    Raises
    ------
    RequestError
        With verdict ``MAY_HAVE_RUN`` if the connection breaks.
    """
    connection.method = method
    send = connection.protocol.send
    head = h11.Request(
        method=method,
        target=target,
        headers=[*encode_headers(headers), ("content-length", str(len(body)))],
    )
    data = send(head)
    content = send(h11.Data(data=body)) + send(h11.EndOfMessage())
    try:
        if len(content) > SMALL_BYTES:
            await connection.stream.sendall(data)
            await connection.stream.sendall(content)
        else:
            await connection.stream.sendall(data + content)
    except OSError as error:
        if connection.earlier_requests:
            raise ConnectionClosedError(str(error)) from error
        connection.is_request_cut = True
        connection.is_reusable = False


def is_request_taken(connection: ClientConnection) -> bool:
    """Return whether the server has received all of the current request."""
    return not connection.is_request_cut and not connection.stream.has_unsent()


async def next_event(connection: ClientConnection) -> object:
    """Return the next h11 event of the response.

    Raises
    ------
    RequestError
        With verdict ``MAY_HAVE_RUN`` if the connection breaks or is malformed.
    """
    received_bytes = 0
    try:
        while True:
            # Calling h11 again before data has arrived costs 4 us for each token.
            if not connection.needs_data:
                event = connection.protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if received_bytes > UNBOOKED_BYTES:
                    await connection.memory.hold_unparsed(received_bytes)
            data = await _receive(connection)
            received_bytes += len(data)
            connection.protocol.receive_data(data)
            connection.needs_data = False
    except OSError as error:
        raise ConnectionClosedError(str(error)) from error
    except h11.RemoteProtocolError as error:
        closed = connection.closed_by_peer
        kind = ConnectionClosedError if closed else ConnectionBrokenError
        raise kind(f"malformed response: {error}") from error


async def _receive(connection: ClientConnection) -> bytes:
    connection.is_reading = True
    data = await connection.stream.recv(READ_BYTES)
    connection.is_reading = False
    connection.closed_by_peer = not data
    connection.read_count += 1
    connection.unyielded_reads += 1
    if len(data) == READ_BYTES or connection.unyielded_reads >= MAX_UNYIELDED_READS:
        # A peer that sends without end never lets a read wait.
        connection.unyielded_reads = 0
        await curio.sleep(0)
    if connection.failure is not None:
        raise connection.failure
    return data


async def start_watcher(
    connection: ClientConnection, check: LivenessCheck | None
) -> curio.Task | None:
    """Start to call `check` while the server is silent; return the task, if any."""
    if check is None:
        return None
    return await curio.spawn(_check_silent_peer, connection, check, daemon=True)


async def _check_silent_peer(
    connection: ClientConnection, check: LivenessCheck
) -> None:
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
            await abort_connection(connection, error)
            return


def create_protocol() -> h11.Connection:
    """Return the state of the protocol for a new connection."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
