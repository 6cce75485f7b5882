"""HTTP/1.1 server on h11: limits, timeouts and detection of gone callers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import h11
import msgspec
from absl import logging

from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.settings import Limits
from buckthorndeal.transport import Listener, Stream, Transport

__all__ = ["Handler", "HttpServer", "Request", "Responder", "create_http_server"]

READ_BYTES = 65_536
MAX_PIPELINED_BYTES = 65_536


@dataclass
class Request:
    """A received request.

    Parameters
    ----------
    method : str
        Upper-case method.
    target : str
        Path with query string.
    headers : dict of str to str
        Values by lower-case name; repeated headers are joined by commas.
    body : bytes
        Whole body.
    """

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def path(self) -> str:
        """Target without the query string."""
        return self.target.partition("?")[0]


class Responder:
    """Writes the response to one request.

    Parameters
    ----------
    stream : Stream
        Connection of the caller.
    connection : h11.Connection
        Protocol state of the connection.
    is_draining : callable
        Whether the connection is to be closed after this response.
    """

    def __init__(
        self,
        stream: Stream,
        connection: h11.Connection,
        is_draining: Callable[[], bool] = lambda: False,
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._is_draining = is_draining

    @property
    def started(self) -> bool:
        """Whether the response head has been sent."""
        return self._connection.our_state is not h11.SEND_RESPONSE

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the response head; without a length the body is chunked."""
        event = h11.Response(
            status_code=status, headers=[*headers, *self._list_close_headers()]
        )
        await self._stream.sendall(self._connection.send(event))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._stream.sendall(self._connection.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End the body."""
        data = self._connection.send(h11.EndOfMessage())
        if data:
            await self._stream.sendall(data)

    async def respond(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        """Send a whole response in one write."""
        await self.respond_whole(
            status, [("content-type", content_type), *(headers or [])], body
        )

    async def respond_whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole response with just these headers and its length."""
        head = h11.Response(
            status_code=status,
            headers=[
                *headers,
                ("content-length", str(len(body))),
                *self._list_close_headers(),
            ],
        )
        send = self._connection.send
        data = send(head) + send(h11.Data(data=body)) + send(h11.EndOfMessage())
        await self._stream.sendall(data)

    async def respond_json(
        self,
        status: int,
        value: object,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        """Send `value` as a whole JSON response."""
        await self.respond(status, msgspec.json.encode(value), headers=headers)

    def _list_close_headers(self) -> list[tuple[str, str]]:
        # A caller that is told of the close does not send its next request into
        # a connection that is about to end.
        return [("connection", "close")] if self._is_draining() else []

    async def respond_error(self, error: RequestError) -> None:
        """Send the body of a failure with its status."""
        headers = []
        if error.retry_after_s is not None:
            headers.append(("retry-after", str(max(1, round(error.retry_after_s)))))
        await self.respond_json(error.status, error.to_body(), headers)


Handler = Callable[[Request, Responder], Awaitable[None]]


class HttpServer:
    """Serves HTTP on one address.

    Parameters
    ----------
    handler : callable
        Coroutine function called with each `Request` and its `Responder`. It is
        cancelled when the caller disconnects. A `RequestError` it raises before
        the response starts becomes the response.
    limits : Limits
        Sizes in bytes and timeouts in seconds.
    """

    def __init__(self, handler: Handler, limits: Limits) -> None:
        self._handler = handler
        self._limits = limits
        self._listener: Listener | None = None
        self._draining = False
        self.active_requests = 0
        self.connection_count = 0

    @property
    def port(self) -> int:
        """Bound port."""
        return self._listener.port

    async def start(self, transport: Transport, address: str, port: int) -> None:
        """Listen on `address` and `port`."""
        self._listener = await transport.listen(address, port, self._serve)

    def set_limits(self, limits: Limits) -> None:
        """Use other limits from the next request on."""
        self._limits = limits

    def announce_drain(self) -> None:
        """Close each connection after its next response; still accept others."""
        self._draining = True

    async def drain(self) -> None:
        """Stop accepting and close connections after their current request."""
        self._draining = True
        await self._listener.stop_accepting()

    async def close(self) -> None:
        """Stop accepting and cancel the running requests."""
        await self._listener.close()

    async def _serve(self, stream: Stream) -> None:
        limits = self._limits
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        if self.connection_count >= limits.max_connections:
            await _refuse_connection(stream, connection)
            return
        self.connection_count += 1
        try:
            await self._serve_requests(stream, connection)
        finally:
            self.connection_count -= 1

    async def _serve_requests(self, stream: Stream, connection: h11.Connection) -> None:
        while True:
            if not await _wait_for_data(stream, connection, self._limits):
                return
            # A request counts from its first byte, so that a drain waits for it.
            self.active_requests += 1
            try:
                if not await self._serve_request(stream, connection):
                    return
            finally:
                self.active_requests -= 1
            if connection.our_state is not h11.DONE or self._draining:
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _serve_request(self, stream: Stream, connection: h11.Connection) -> bool:
        responder = Responder(stream, connection, lambda: self._draining)
        try:
            request = await _read_request(stream, connection, self._limits)
        except RequestError as error:
            await _respond_and_close(responder, connection, error)
            return False
        if request is None:
            return False
        await self._run_handler(request, responder, stream, connection)
        return True

    async def _run_handler(
        self,
        request: Request,
        responder: Responder,
        stream: Stream,
        connection: h11.Connection,
    ) -> None:
        handler = await curio.spawn(self._handle, request, responder)
        watcher = await curio.spawn(_cancel_on_disconnect, stream, connection, handler)
        try:
            await handler.wait()
        finally:
            await watcher.cancel()
            await handler.cancel()

    async def _handle(self, request: Request, responder: Responder) -> None:
        # A response that was started and not finished is cut off by closing the
        # connection, which the caller of this task does.
        try:
            await self._handler(request, responder)
        except RequestError as error:
            if not responder.started:
                await _respond_if_connected(responder, error)
        except curio.CancelledError:
            raise
        except OSError:
            return
        except Exception:
            logging.exception("request handler failed")
            if not responder.started:
                # The handler may have failed after it dispatched the request.
                error = RequestError(
                    "internal", 500, "internal error", Verdict.MAY_HAVE_RUN
                )
                await _respond_if_connected(responder, error)


async def _respond_if_connected(responder: Responder, error: RequestError) -> None:
    try:
        await responder.respond_error(error)
    except OSError:
        return


async def _cancel_on_disconnect(
    stream: Stream, connection: h11.Connection, handler: curio.Task
) -> None:
    received = 0
    while received <= MAX_PIPELINED_BYTES:
        try:
            data = await stream.recv(READ_BYTES)
        except OSError:
            data = b""
        connection.receive_data(data)
        if not data:
            break
        received += len(data)
    await handler.cancel(blocking=False)


async def _refuse_connection(stream: Stream, connection: h11.Connection) -> None:
    error = RequestError(
        "too_many_connections", 503, "too many connections", retry_after_s=1.0
    )
    await _respond_and_close(Responder(stream, connection), connection, error)


async def _respond_and_close(
    responder: Responder, connection: h11.Connection, error: RequestError
) -> None:
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    await responder.respond_json(
        error.status, error.to_body(), [("connection", "close")]
    )


async def _read_request(
    stream: Stream, connection: h11.Connection, limits: Limits
) -> Request | None:
    try:
        head = await _read_head(stream, connection, limits)
        if head is None:
            return None
        headers = _join_headers(head.headers)
        _check_framing(headers)
        _check_length(headers, limits.max_body_bytes)
        async with curio.timeout_after(limits.body_timeout_s):
            if connection.they_are_waiting_for_100_continue:
                reply = h11.InformationalResponse(status_code=100, headers=[])
                await stream.sendall(connection.send(reply))
            body = await _read_body(stream, connection, limits.max_body_bytes)
    except curio.TaskTimeout:
        raise RequestError(
            "request_timeout", 408, "the request was not received in time"
        ) from None
    except h11.RemoteProtocolError as error:
        status = error.error_status_hint
        code = "header_too_large" if status == 431 else "bad_request"
        raise RequestError(code, status, str(error)) from error
    return Request(
        head.method.decode("ascii"), head.target.decode("latin-1"), headers, body
    )


async def _wait_for_data(
    stream: Stream, connection: h11.Connection, limits: Limits
) -> bool:
    if connection.trailing_data[0]:
        return True
    data = await curio.ignore_after(limits.idle_timeout_s, stream.recv, READ_BYTES)
    if not data:
        return False
    connection.receive_data(data)
    return True


async def _read_head(
    stream: Stream, connection: h11.Connection, limits: Limits
) -> h11.Request | None:
    async with curio.timeout_after(limits.header_timeout_s):
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            connection.receive_data(await stream.recv(READ_BYTES))


async def _read_body(
    stream: Stream, connection: h11.Connection, max_bytes: int
) -> bytes:
    parts = []
    size = 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.recv(READ_BYTES))
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > max_bytes:
                raise _create_too_large(max_bytes)
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise RequestError("bad_request", 400, "the request ended early")


def _check_framing(headers: dict[str, str]) -> None:
    """Refuse a body with two lengths, which two servers may read differently."""
    if "transfer-encoding" in headers and "content-length" in headers:
        raise RequestError(
            "bad_request", 400, "both content-length and transfer-encoding"
        )


def _check_length(headers: dict[str, str], max_bytes: int) -> None:
    length = headers.get("content-length", "")
    if length.isdigit() and int(length) > max_bytes:
        raise _create_too_large(max_bytes)


def _create_too_large(max_bytes: int) -> RequestError:
    return RequestError(
        "body_too_large", 413, f"the body is larger than {max_bytes} bytes"
    )


def _join_headers(pairs: h11._headers.Headers) -> dict[str, str]:
    headers: dict[str, str] = {}
    for raw_name, raw_value in pairs:
        name = raw_name.decode("ascii")
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]},{value}" if name in headers else value
    return headers


def create_http_server(handler: Handler, limits: Limits) -> HttpServer:
    """Return a server that is not listening yet."""
    return HttpServer(handler, limits)
