"""Writing of the response to an HTTP/1.1 request."""

from collections.abc import Callable, Sequence

import curio
import h11
import msgspec

from buckthorndeal._http_unread import PendingWrites
from buckthorndeal.errors import RequestError
from buckthorndeal.memory import SMALL_BYTES
from buckthorndeal.transport import Stream

# Values given as bytes may hold any byte from 0x80 on.
Headers = Sequence[tuple[str, str | bytes]]

# Time in which handlers respond when their server closes.
CLOSE_TIMEOUT_S = 0.25


class ServerClosing(curio.TaskCancelled):
    """Raised in a handler that is running when its server closes.

    The handler may respond, within `CLOSE_TIMEOUT_S`. If it does not, the server
    responds that the request may have run.
    """


class ResponseAborted(Exception):
    """Raised by a handler to close the connection without the rest of its response."""


class Responder:
    """Writes the response to one request.

    Parameters
    ----------
    stream : Stream
        Connection to the caller.
    connection : h11.Connection
        Protocol state of the connection.
    is_draining : callable, optional
        Returns whether the connection is closed after this response.
    writes : PendingWrites, optional
        Writes of the server, some of which are ended if their callers do not read.

    Attributes
    ----------
    disconnected : bool
        Whether the caller has closed the connection.
    is_body_allowed : bool
        Whether the response may have a body, which is not so for HEAD.
    """

    def __init__(
        self,
        stream: Stream,
        connection: h11.Connection,
        is_draining: Callable[[], bool] = lambda: False,
        writes: PendingWrites | None = None,
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._is_draining = is_draining
        self._writes = writes
        self.disconnected = False
        self._is_broken = False
        self.is_body_allowed = True

    @property
    def started(self) -> bool:
        """Whether the response head has been sent."""
        return self._connection.our_state is not h11.SEND_RESPONSE

    @property
    def is_caller_gone(self) -> bool:
        """Whether the caller has closed the connection, or a write to it has failed."""
        return self.disconnected or self._is_broken

    @property
    def ended(self) -> bool:
        """Whether the response is complete, and being sent or sent."""
        return self._connection.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the response head; without a content length, the body is chunked."""
        event = h11.Response(
            status_code=status, headers=[*headers, *self._list_close_headers()]
        )
        await self._write(self._connection.send(event))

    async def send_informational(self, status: int) -> None:
        """Send an informational response, before the head of the response."""
        event = h11.InformationalResponse(status_code=status, headers=[])
        await self._write(self._connection.send(event))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._connection.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End the body."""
        data = self._connection.send(h11.EndOfMessage())
        if data:
            await self._write(data)

    async def respond(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        """Send a complete response in one write."""
        await self.respond_whole(
            status, [("content-type", content_type), *(headers or [])], body
        )

    async def respond_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response; only content-length and connection are added."""
        head = h11.Response(
            status_code=status,
            headers=[
                *headers,
                ("content-length", str(len(body))),
                *self._list_close_headers(),
            ],
        )
        send = self._connection.send
        data = send(head)
        content = send(h11.Data(data=body)) if self.is_body_allowed else b""
        # The response counts as complete before any of it is sent.
        content += send(h11.EndOfMessage())
        if len(content) > SMALL_BYTES:
            await self._write(data)
            await self._write(content)
        else:
            await self._write(data + content)

    async def _write(self, data: bytes) -> None:
        try:
            if self._writes is None:
                await self._stream.sendall(data)
            else:
                await self._writes.write(self._stream, data)
        except OSError:
            self._is_broken = True
            raise

    async def respond_json(
        self,
        status: int,
        value: object,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        """Send `value` as a complete JSON response."""
        await self.respond(status, msgspec.json.encode(value), headers=headers)

    def _list_close_headers(self) -> list[tuple[str, str]]:
        # A caller that is notified of the close does not send its next request on a
        # connection that is about to be closed.
        return [("connection", "close")] if self._is_draining() else []

    async def respond_error(self, error: RequestError) -> None:
        """Send an error as a response with its status and body."""
        headers = []
        if error.retry_after_s is not None:
            headers.append(("retry-after", str(max(1, round(error.retry_after_s)))))
        await self.respond_json(error.status, error.to_body(), headers)
