"""Reading of HTTP/1.1 requests on the server, within limits and the memory."""

import io

import curio
import h11

from buckthorndeal._http_incomplete import MIN_SILENCE_S, IncompleteRequests
from buckthorndeal._http_protocol import ServerProtocol
from buckthorndeal._http_refusals import (
    create_displaced_error,
    create_late_error,
    create_too_large_error,
)
from buckthorndeal._http_requests import (
    BodyLimit,
    Request,
    check_framing,
    create_request_error,
    get_max_body_bytes,
    join_headers,
    measure_head,
)
from buckthorndeal._http_responding import Responder
from buckthorndeal.connections import ReceiveWindows
from buckthorndeal.errors import MemoryShortageError, RequestError
from buckthorndeal.memory import UNBOOKED_BYTES, Booking, MemoryAccount, Use
from buckthorndeal.settings import Limits
from buckthorndeal.transport import Stream

# Of a head, and of a body that has not got wide buffers.
READ_BYTES = 16_384
WIDE_READ_BYTES = 65_536
# Chunks of a body that are decoded without regard to the other bodies.
FREE_CHUNKS = 4_096
# Bytes of further requests that are read while one is running.
MAX_PIPELINED_BYTES = 65_536
DISCONNECT_POLL_INTERVAL_S = 0.1


class RequestReader:
    """Reads the requests of one connection, and accounts for what it holds.

    Parameters
    ----------
    stream : Stream
        Connection to the caller.
    memory : MemoryAccount
        Account of the process. What is held of a request that is not complete may be
        cut in favour of others.
    incomplete : IncompleteRequests
        Requests of the server whose bodies are not complete.
    windows : ReceiveWindows
        Wide buffers for large bodies.

    Attributes
    ----------
    method : str
        Method of the request whose head was read last.
    is_reading_ended : bool
        Whether a request was cut while it was read, and its read was ended.
    """

    def __init__(
        self,
        stream: Stream,
        memory: MemoryAccount,
        incomplete: IncompleteRequests,
        windows: ReceiveWindows,
    ) -> None:
        self._windows = windows
        self._received_bytes = 0
        self._stream = stream
        self._memory = memory
        self._incomplete = incomplete
        self._is_displaced = False
        self._booking: Booking | None = None
        self._content: io.BytesIO | None = None
        self._content_bytes = 0
        self._head_bytes = 0
        self._is_complete = False
        self.method = ""
        self.is_reading_ended = False

    async def read(
        self,
        connection: ServerProtocol,
        limits: Limits,
        limit_body: BodyLimit | None = None,
    ) -> Request | None:
        """Return the next request, or None if the caller has closed the connection.

        Its bytes are held until `release` is called.

        Raises
        ------
        RequestError
            With the status to respond with, if the request is malformed, too large or
            too slow, or if there is no memory for it. Nothing is held then.
        """
        try:
            return await self._read(connection, limits, limit_body)
        except RequestError:
            self.release()
            raise
        except (
            curio.TaskTimeout,
            h11.RemoteProtocolError,
            MemoryShortageError,
        ) as error:
            self.release()
            raise create_request_error(error) from error

    def release(self) -> None:
        """Hold nothing of the last request any more."""
        self._incomplete.remove(self)
        self._windows.narrow(self._stream)
        self._received_bytes = 0
        if self._booking is not None:
            self._booking.release()
            self._booking = None
        self._content = None
        self._content_bytes = 0
        self._head_bytes = 0
        self._is_complete = False

    def displace(self) -> None:
        """Refuse the present request, whose task is told by the end of its read."""
        self._is_displaced = True
        self._cut()

    async def wait_for_disconnect(self, connection: ServerProtocol) -> None:
        """Return once the caller has closed the connection.

        Further requests that it sends are read as far as there is room for them, and
        the rest of them after the response to the present one.
        """
        if await self._read_ahead(connection):
            return
        while not self._stream.is_ended():
            await curio.sleep(DISCONNECT_POLL_INTERVAL_S)

    async def _read(
        self, connection: ServerProtocol, limits: Limits, limit_body: BodyLimit | None
    ) -> Request | None:
        self.method = ""
        async with curio.timeout_after(limits.header_timeout_s):
            head = await self._read_head(connection)
        # The age of a body does not include that of its head.
        self._incomplete.remove(self)
        if head is None:
            return None
        self.method = head.method.decode("ascii")
        request = Request(
            self.method, head.target.decode("latin-1"), join_headers(head.headers)
        )
        self._head_bytes = measure_head(request)
        max_bytes = get_max_body_bytes(request, limits.max_body_bytes, limit_body)
        check_framing(request.headers)
        self._check_length(request.headers, max_bytes)
        if connection.they_are_waiting_for_100_continue:
            reply = h11.InformationalResponse(status_code=100, headers=[])
            async with curio.timeout_after(limits.body_timeout_s):
                await self._stream.sendall(connection.send(reply))
        request.body = await self._read_body(connection, max_bytes, limits)
        self._complete(connection)
        return request

    async def _read_head(self, connection: ServerProtocol) -> h11.Request | None:
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            self._incomplete.record_wait(self)
            await self._receive(connection, READ_BYTES)
            self._incomplete.record_progress(self)

    async def _read_body(
        self, connection: ServerProtocol, max_bytes: int, limits: Limits
    ) -> bytes:
        while True:
            event = await self._decode(connection, limits.body_timeout_s)
            if event is h11.NEED_DATA:
                await self._wait_for_more(connection, limits)
            elif isinstance(event, h11.Data):
                self._add_content(event.data, max_bytes, connection.pending_bytes)
                if connection.pending_bytes:
                    # What one caller has sent is decoded in turns with the others.
                    await curio.sleep(0)
            elif isinstance(event, h11.EndOfMessage):
                self._incomplete.remove(self)
                return self._take_content()
            else:
                raise RequestError("bad_request", 400, "the request body ended early")

    async def _wait_for_more(self, connection: ServerProtocol, limits: Limits) -> None:
        """Wait for further bytes of a body, as long as its pause and its time allow.

        While too many requests are incomplete, some are refused from time to time.
        """
        self._incomplete.record_wait(self, self._content_bytes)
        age_s = self._incomplete.measure_age_s(self)
        left_s = min(limits.body_pause_s, limits.body_timeout_s - age_s)
        while left_s > 0:
            is_crowded = self._incomplete.is_crowded()
            limit_s = min(left_s, MIN_SILENCE_S) if is_crowded else left_s
            async with curio.ignore_after(limit_s) as wait:
                await self._receive_body(connection)
            if not wait.expired:
                self._incomplete.record_progress(self)
                return
            left_s -= limit_s
            self._incomplete.free_places()
        raise create_late_error()

    async def _decode(self, connection: ServerProtocol, max_turns_s: float) -> object:
        """Return the next event; bodies in many chunks take turns for it.

        A body whose turns take more than `max_turns_s` seconds is refused, so that it
        does not keep its connection without an end.
        """
        if connection.chunk_count <= FREE_CHUNKS or not connection.pending_bytes:
            return connection.next_event()
        left_s = max_turns_s - self._incomplete.measure_turns_s(self)
        async with curio.ignore_after(max(0.0, left_s)) as turn:
            event = await self._incomplete.take_turn(self, connection.next_event)
        if turn.expired:
            raise create_displaced_error()
        self._check_cut()
        return event

    async def _receive_body(self, connection: ServerProtocol) -> None:
        """Wait for further bytes of a body; a large one gets wide buffers."""
        is_wide = self._received_bytes > READ_BYTES and self._windows.widen(
            self._stream
        )
        await self._receive(connection, WIDE_READ_BYTES if is_wide else READ_BYTES)

    async def _receive(self, connection: ServerProtocol, max_bytes: int) -> None:
        """Wait for further bytes of a request that is not complete."""
        self._hold(connection.pending_bytes)
        data = await self._stream.recv(max_bytes)
        self._check_cut()
        self._received_bytes += len(data)
        connection.receive_data(data)
        # They may wait for their turn before they are decoded.
        self._hold(connection.pending_bytes)

    def _check_cut(self) -> None:
        if self._is_displaced:
            raise create_displaced_error()
        if self._booking is not None and self._booking.is_cut:
            raise MemoryShortageError("the request was cut")

    def _add_content(
        self, data: bytes | bytearray, max_bytes: int, pending_bytes: int
    ) -> None:
        self._content_bytes += len(data)
        if self._content_bytes > max_bytes:
            raise create_too_large_error(max_bytes)
        self._hold(pending_bytes)
        if self._content is None:
            self._content = io.BytesIO()
        self._content.write(data)

    def _take_content(self) -> bytes:
        if self._content is None:
            return b""
        # Not a copy, unlike a join of the parts.
        body = self._content.getvalue()
        self._content = None
        return body

    def _complete(self, connection: ServerProtocol) -> None:
        """Keep the present request from being cut."""
        self._check_cut()
        self._hold(connection.pending_bytes)
        self._is_complete = True
        if self._booking is not None:
            self._booking.settle()

    def _hold(self, buffered_bytes: int) -> None:
        """Account for the request, and for the bytes that are not decoded yet.

        Raises
        ------
        MemoryShortageError
            If there is no room for them, or if the request was cut.
        """
        size_bytes = self._head_bytes + self._content_bytes + buffered_bytes
        if self._booking is None and size_bytes <= UNBOOKED_BYTES:
            return
        self._get_booking().resize(size_bytes)

    def _get_booking(self) -> Booking:
        if self._booking is None:
            drop = None if self._is_complete else self._cut
            self._booking = self._memory.open(Use.REQUEST, drop=drop)
        return self._booking

    def _cut(self) -> None:
        """Drop the present request, whose task is told by the end of its read."""
        self._content = None
        self.is_reading_ended = True
        self._stream.end_reading()

    def _check_length(self, headers: dict[str, str], max_bytes: int) -> None:
        """Refuse a body that is known to be too large before it is received."""
        length = headers.get("content-length", "")
        if not length.isdigit():
            return
        if int(length) > max_bytes:
            raise create_too_large_error(max_bytes)
        if int(length) > UNBOOKED_BYTES:
            self._get_booking().check(self._head_bytes + int(length))

    async def _read_ahead(self, connection: ServerProtocol) -> bool:
        """Read requests that follow; return whether the caller has disconnected."""
        left_bytes = MAX_PIPELINED_BYTES
        read_bytes = UNBOOKED_BYTES
        while left_bytes > 0:
            try:
                data = await self._stream.recv(read_bytes)
            except OSError:
                data = b""
            connection.receive_data(data)
            if not data:
                return True
            left_bytes -= len(data)
            read_bytes = left_bytes
            try:
                self._hold(connection.pending_bytes + left_bytes)
            except MemoryShortageError:
                return False
        # The end of the connection arrives only behind what the caller has sent.
        self._windows.widen(self._stream)
        return False


async def cancel_on_disconnect(
    reader: RequestReader,
    connection: ServerProtocol,
    responder: Responder,
    handler: curio.Task,
) -> None:
    """Cancel the handler if the caller disconnects."""
    await reader.wait_for_disconnect(connection)
    responder.disconnected = True
    await handler.cancel(blocking=False)
