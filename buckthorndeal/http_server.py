"""HTTP/1.1 server on h11, with limits, timeouts and detection of disconnects."""

from collections.abc import Iterable

import curio
import h11
import msgspec

from buckthorndeal._http_idle import IdleConnections, IdleTimeout
from buckthorndeal._http_incomplete import (
    IncompleteRequests,
    create_incomplete_requests,
)
from buckthorndeal._http_lingering import has_to_linger, linger
from buckthorndeal._http_places import ConnectionPlaces
from buckthorndeal._http_protocol import (
    ServerProtocol,
    continue_with_limits,
    create_protocol,
)
from buckthorndeal._http_reading import RequestReader
from buckthorndeal._http_refusals import (
    create_closing_error,
    create_full_error,
    create_tunnel_error,
)
from buckthorndeal._http_requests import BodyLimit, Request, refuse_body
from buckthorndeal._http_responding import (
    CLOSE_TIMEOUT_S,
    Responder,
    ResponseAborted,
    ServerClosing,
)
from buckthorndeal._http_running import ErrorHandler, Handler, RunningRequests
from buckthorndeal._http_unread import PendingWrites
from buckthorndeal.connections import CALLER_SHARE
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.settings import Limits
from buckthorndeal.supervision import spawn_loop
from buckthorndeal.transport import Listener, Stream, Transport

__all__ = [
    "BodyLimit",
    "Handler",
    "HttpServer",
    "Request",
    "Responder",
    "ResponseAborted",
    "ServerClosing",
    "close_servers",
    "create_http_server",
    "refuse_body",
]

CLOSE_POLL_INTERVAL_S = 0.005
# Share of the descriptors that callers leave to the requests under way, each of which
# may need a connection to its endpoint, and to other hosts.
RESERVED_SHARE = 1 / 4
# Time in which the first request of a refused connection is read.
REFUSAL_TIMEOUT_S = 0.5
MAX_REFUSED_BODY_BYTES = 65_536


class HttpServer:
    """Serves HTTP on one address.

    Parameters
    ----------
    handler : callable
        Coroutine function called with each `Request` and its `Responder`. It is
        cancelled when the caller disconnects, and with `ServerClosing` when the server
        closes. A `RequestError` that it raises before the response starts is sent as
        the response.
    limits : Limits
        Size limits in bytes and timeouts in seconds.
    respond_error : callable, optional
        Coroutine function that sends an error as the response to a request.
    uses_reserve : bool, optional
        Whether connections are served while descriptors are short.
    limit_body : callable, optional
        Called with the method and the path of a request before its body is read;
        returns the bytes that the body may have, or None if only `limits` apply.
    places_share : float, optional
        Share of the connections that the memory of the process allows.

    Attributes
    ----------
    closing : bool
        Whether new requests are refused, because the server is about to end.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Limits,
        respond_error: ErrorHandler = Responder.respond_error,
        uses_reserve: bool = False,
        limit_body: BodyLimit | None = None,
        places_share: float = CALLER_SHARE,
    ) -> None:
        self._limit_body = limit_body
        self._uses_reserve = uses_reserve
        self._transport: Transport | None = None
        self._respond_error = respond_error
        self._limits = limits
        self._listener: Listener | None = None
        self._draining = False
        self.closing = False
        self._idle = IdleConnections()
        self._writes = PendingWrites()
        self._incomplete = create_incomplete_requests(
            lambda: self._places.max_incomplete
        )
        self._places = ConnectionPlaces(
            lambda: self._limits,
            places_share,
            self._incomplete,
            self._idle,
            self._writes,
        )
        self._unread_task: curio.Task | None = None
        self._running = RunningRequests(handler, respond_error)
        self.active_requests = 0

    @property
    def port(self) -> int:
        """Port that the server is bound to."""
        return self._listener.port

    @property
    def connection_count(self) -> int:
        """Number of connections that are served."""
        return self._places.count

    async def start(self, transport: Transport, address: str, port: int) -> None:
        """Listen on `address` and `port`."""
        self._transport = transport
        self._listener = await transport.listen(address, port, self._serve)
        self._places.attach(transport.connections, self._listener.port)
        self._unread_task = await spawn_loop(self._places.close_unread)
        if not self._uses_reserve:
            # What is between is for connections that are being refused.
            self._listener.leave_free(RESERVED_SHARE / 2)

    def set_limits(self, limits: Limits) -> None:
        """Replace the limits, starting with the next request on each connection.

        A shorter idle timeout ends a connection with its next response, which says so.
        """
        self._limits = limits

    def announce_drain(self) -> None:
        """Close connections after their next response, but accept new ones.

        A connection whose caller has not been told is kept until the server closes.
        """
        self._draining = True

    async def drain(self) -> None:
        """Stop accepting connections, and close them as `announce_drain` does."""
        self._draining = True
        await self._listener.stop_accepting()

    async def close(self) -> None:
        """Answer the running requests, and close all connections.

        Requests that have arrived by then are refused. A response that has started and
        is not complete is cut off; one that is being sent has `CLOSE_TIMEOUT_S` for it.
        """
        self._draining = True
        self.closing = True
        await self._running.close()
        await self._listener.stop_accepting()
        await curio.ignore_after(CLOSE_TIMEOUT_S, self._answer_requests)
        await self.abort()

    async def abort(self) -> None:
        """Cut off all connections without an answer, as a crash does."""
        await self._unread_task.cancel()
        await self._listener.close()

    async def _answer_requests(self) -> None:
        """Wait until all requests that have arrived are answered."""
        while self.active_requests:
            await curio.sleep(CLOSE_POLL_INTERVAL_S)
        await self._idle.close()
        while self.active_requests or self._idle:
            await curio.sleep(CLOSE_POLL_INTERVAL_S)

    async def _serve(self, stream: Stream) -> None:
        limits = self._limits
        connection = create_protocol(limits)
        if not await self._has_room():
            # Its body takes no place from those that may be served.
            reader = self._create_reader(stream, create_incomplete_requests())
            await self._refuse_connection(stream, connection, limits, reader)
            if has_to_linger(stream, connection):
                del connection
                slots = self._transport.connections.lingering
                await linger(stream, reader, slots, REFUSAL_TIMEOUT_S)
            return
        reader = self._create_reader(stream, self._incomplete)
        self._places.count += 1
        try:
            connection = await self._serve_requests(stream, connection, limits, reader)
        finally:
            self._places.count -= 1
        # It has left its place, as the number of those that linger has its own limit.
        if has_to_linger(stream, connection):
            # What it has buffered is not needed meanwhile.
            del connection
            await linger(stream, reader, self._transport.connections.lingering)

    def _create_reader(
        self, stream: Stream, incomplete: IncompleteRequests
    ) -> RequestReader:
        transport = self._transport
        windows = transport.connections.windows
        return RequestReader(stream, transport.memory, incomplete, windows)

    async def _has_room(self) -> bool:
        """Return whether another connection may be served."""
        if not await self._places.make_room():
            return False
        if self._uses_reserve or self._listener is None:
            return True
        # Connections that are not served yet must not displace each other.
        unserved = self._listener.connection_count - self.connection_count
        if self._transport.has_free_descriptors(RESERVED_SHARE, unserved):
            return True
        # Its descriptor is free once the caller has read the refusal.
        self._incomplete.free_places(is_full=True)
        return False

    async def _refuse_connection(
        self,
        stream: Stream,
        connection: ServerProtocol,
        limits: Limits,
        reader: RequestReader,
    ) -> None:
        """Refuse the first request of a connection.

        It is read before if it comes soon, because the caller might not receive a
        response on a connection that is closed with unread bytes.
        """
        slots = self._transport.connections.refusals
        if slots.take():
            try:
                await curio.ignore_after(
                    REFUSAL_TIMEOUT_S,
                    reader.read,
                    connection,
                    msgspec.structs.replace(
                        limits, max_body_bytes=MAX_REFUSED_BODY_BYTES
                    ),
                )
            except RequestError:
                # There is no room for the connection, whatever it carries.
                pass
            finally:
                reader.release()
                slots.give_back()
        await self._respond_and_close(stream, connection, reader, create_full_error())

    async def _serve_requests(
        self,
        stream: Stream,
        connection: ServerProtocol,
        limits: Limits,
        reader: RequestReader,
    ) -> ServerProtocol:
        """Serve requests until the connection ends; return its protocol state."""
        idle_timeout = IdleTimeout(lambda: self._limits.idle_timeout_s)
        is_first = True
        while True:
            if not await self._idle.wait_for_request(
                stream, connection, idle_timeout, is_first
            ):
                return connection
            is_first = False
            if limits is not self._limits:
                limits = self._limits
                connection = continue_with_limits(connection, limits)
            # A request is active from its first byte on, so that a drain waits for it.
            self.active_requests += 1
            try:
                if not await self._serve_request(
                    stream, connection, reader, idle_timeout
                ):
                    return connection
            finally:
                reader.release()
                self.active_requests -= 1
            # A caller that was not told of the end may have sent its next request.
            if (connection.our_state, connection.their_state) != (h11.DONE, h11.DONE):
                return connection
            connection.start_next_cycle()

    async def _serve_request(
        self,
        stream: Stream,
        connection: ServerProtocol,
        reader: RequestReader,
        idle_timeout: IdleTimeout,
    ) -> bool:
        responder = Responder(
            stream,
            connection,
            lambda: self._draining or idle_timeout.has_fallen(),
            self._writes,
        )
        try:
            request = await reader.read(connection, self._limits, self._limit_body)
        except RequestError as error:
            await self._respond_and_close(stream, connection, reader, error)
            return False
        if request is None:
            return False
        if request.method == "CONNECT":
            # After a success its response could not be ended.
            await self._respond_and_close(
                stream, connection, reader, create_tunnel_error()
            )
            return False
        responder.is_body_allowed = request.method != "HEAD"
        if self.closing:
            await self._respond_error(responder, create_closing_error(Verdict.NOT_RUN))
            return False
        await self._running.run(request, responder, stream, connection, reader)
        return True

    async def _respond_and_close(
        self,
        stream: Stream,
        connection: ServerProtocol,
        reader: RequestReader,
        error: RequestError,
    ) -> None:
        """Refuse a request; nothing follows it on the connection."""
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        responder = Responder(stream, connection, lambda: True, self._writes)
        responder.is_body_allowed = reader.method != "HEAD"
        await self._respond_error(responder, error)


async def close_servers(servers: Iterable[HttpServer]) -> None:
    """Close servers at the same time."""
    async with curio.TaskGroup() as group:
        for server in servers:
            await group.spawn(server.close)


def create_http_server(
    handler: Handler,
    limits: Limits,
    respond_error: ErrorHandler = Responder.respond_error,
    uses_reserve: bool = False,
    limit_body: BodyLimit | None = None,
    places_share: float = CALLER_SHARE,
) -> HttpServer:
    """Return a server that is not listening yet; see `HttpServer`."""
    return HttpServer(
        handler, limits, respond_error, uses_reserve, limit_body, places_share
    )
