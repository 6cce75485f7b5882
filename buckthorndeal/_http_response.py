"""Response to a request of an HTTP/1.1 client."""

import re
from dataclasses import dataclass, field

import h11

from buckthorndeal._http_connection import (
    ClientConnection,
    abort_connection,
    create_protocol,
    is_request_taken,
    next_event,
)
from buckthorndeal._response_memory import ResponseMemory
from buckthorndeal.errors import (
    ConnectionBrokenError,
    ConnectionClosedError,
    RequestError,
)
from buckthorndeal.memory import UNBOOKED_BYTES

MAX_INFORMATIONAL_RESPONSES = 16
# h11 takes any status of three digits from 200 on.
MAX_STATUS = 599
MAX_RESPONSE_BYTES = 1 << 24
# Responses without a body, whatever their headers say.
BODILESS_STATUSES = (204, 304)


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
    _connection: ClientConnection = field(repr=False)
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
            event = await next_event(self._connection)
            if isinstance(event, h11.EndOfMessage):
                self._check_end()
                self._ended = True
            elif not isinstance(event, h11.Data):
                raise ConnectionClosedError("the response ended early")
            elif event.data:
                return bytes(event.data) + self._take_buffered()
        return b""

    def _check_end(self) -> None:
        """Refuse the end of a connection as the end of a response that came early.

        Unless the server has received the request, a failure may look like that.
        """
        connection = self._connection
        if not (self.ends_with_connection and connection.closed_by_peer):
            return
        if not is_request_taken(connection):
            raise ConnectionClosedError(
                "the connection ended before the request was received"
            )

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
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks."""
        chunked = "transfer-encoding" in self.headers
        return not chunked and "content-length" not in self.headers

    @property
    def is_on_used_connection(self) -> bool:
        """Whether the connection has carried an earlier request."""
        return self._connection.earlier_requests > 0

    def has_carried(self, request_id: str) -> bool:
        """Return whether the connection has recently carried that request."""
        return request_id in self._connection.request_ids

    @property
    def is_waiting(self) -> bool:
        """Whether a read waits for the endpoint."""
        return self._connection.is_reading

    async def abort(self, error: RequestError) -> None:
        """End the response; the read that waits for it raises `error`."""
        await abort_connection(self._connection, error)

    async def skip(self) -> "ClientResponse":
        """Discard this response; return the next one to the same request.

        The connection is not used for another request.

        Raises
        ------
        RequestError
            With verdict ``MAY_HAVE_RUN`` if the next response cannot be told from the
            end of this one, or if the connection breaks.
        """
        await self._discard()
        connection = self._connection
        connection.is_reusable = False
        # A response to HEAD has no body, whatever its headers say.
        if (
            connection.method == "HEAD"
            or connection.protocol.their_state is not h11.DONE
        ):
            raise ConnectionBrokenError("no response can follow a foreign one")
        _expect_another_response(connection)
        return await read_head(connection)

    @property
    def memory(self) -> ResponseMemory:
        """What the client holds of the response."""
        return self._connection.memory

    async def read(self) -> bytes:
        """Return the complete body, which is held until the request has ended.

        One whose length is named waits until there is room for all of it, so that no
        two bodies that are half read wait for each other.

        Raises
        ------
        RequestError
            With verdict ``MAY_HAVE_RUN`` if the connection breaks or the body is too
            long.
        ResponseCutError
            If this process lacks memory for it.
        """
        memory = self._connection.memory
        max_bytes = min(MAX_RESPONSE_BYTES, memory.max_bytes)
        parts: list[bytes] = []
        length = self._get_length()
        if length is None:
            memory.set_clear(parts.clear)
        elif length > max_bytes:
            raise _create_size_error(max_bytes)
        elif length > UNBOOKED_BYTES:
            memory.set_clear(parts.clear)
            await memory.reserve(length)
        size = 0
        while part := await self.read_part():
            size += len(part)
            if size > max_bytes:
                raise _create_size_error(max_bytes)
            if length is None and size > UNBOOKED_BYTES:
                await memory.hold(size)
            parts.append(part)
        memory.settle()
        body = b"".join(parts)
        parts.clear()
        return body

    async def _discard(self) -> None:
        """Read the body without holding it."""
        size = 0
        while part := await self.read_part():
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                raise _create_size_error(MAX_RESPONSE_BYTES)

    def _get_length(self) -> int | None:
        """Return the length of the body in bytes, if it is known from the head."""
        if self._connection.method == "HEAD" or self.status in BODILESS_STATUSES:
            return 0
        if "transfer-encoding" in self.headers:
            return None
        length = self.headers.get("content-length")
        return int(length) if length is not None else None


def _create_size_error(max_bytes: int) -> ConnectionBrokenError:
    return ConnectionBrokenError(f"the response exceeds {max_bytes} bytes")


def _expect_another_response(connection: ClientConnection) -> None:
    """Continue with the protocol's state right after the request was sent."""
    received, is_closed = connection.protocol.trailing_data
    protocol = create_protocol()
    request = h11.Request(method=connection.method, target="/", headers=[("host", "")])
    protocol.send(request)
    protocol.send(h11.EndOfMessage())
    if received:
        protocol.receive_data(received)
    if is_closed:
        protocol.receive_data(b"")
    connection.protocol = protocol
    connection.needs_data = False


async def read_head(connection: ClientConnection) -> ClientResponse:
    """Return the response once its head has arrived.

    Raises
    ------
    RequestError
        With verdict ``MAY_HAVE_RUN`` if the head is malformed or does not come.
    """
    for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
        event = await next_event(connection)
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                raise ConnectionBrokenError(
                    f"malformed response: status {event.status_code}"
                )
            headers = {
                name.decode("ascii"): value.decode("latin-1")
                for name, value in event.headers
            }
            connection.keep_alive_s = _parse_keep_alive(headers.get("keep-alive", ""))
            return ClientResponse(event.status_code, headers, connection)
        if not isinstance(event, h11.InformationalResponse):
            raise ConnectionClosedError("the connection was closed before a response")
        connection.informational_count += 1
    raise ConnectionBrokenError(
        f"more than {MAX_INFORMATIONAL_RESPONSES} informational responses"
    )


def _parse_keep_alive(value: str) -> float | None:
    """Return the idle timeout that the peer announces, or None."""
    match = re.search(r"timeout=(\d+)", value)
    return float(match.group(1)) if match else None
