"""Reading of HTTP/1.1 requests on the server, within limits."""

from dataclasses import dataclass, field

import curio
import h11

from buckthorndeal.errors import RequestError
from buckthorndeal.settings import Limits
from buckthorndeal.transport import Stream

READ_BYTES = 65_536


@dataclass
class Request:
    """A received request.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    target : str
        Path and query string.
    headers : dict of str to str
        Values by lower-case name; repeated headers are joined with commas.
    body : bytes
        Complete body.
    """

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.target.partition("?")[0]


async def read_request(
    stream: Stream, connection: h11.Connection, limits: Limits
) -> Request | None:
    """Return the next request, or None if the caller has closed the connection.

    Raises
    ------
    RequestError
        With the status to respond with, if the request is malformed, too large or too
        slow.
    """
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
                raise _create_too_large_error(max_bytes)
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise RequestError("bad_request", 400, "the request body ended early")


def _check_framing(headers: dict[str, str]) -> None:
    """Refuse two kinds of body framing in one request (request smuggling)."""
    if "transfer-encoding" in headers and "content-length" in headers:
        raise RequestError(
            "bad_request",
            400,
            "the request has both content-length and transfer-encoding",
        )


def _check_length(headers: dict[str, str], max_bytes: int) -> None:
    length = headers.get("content-length", "")
    if length.isdigit() and int(length) > max_bytes:
        raise _create_too_large_error(max_bytes)


def _create_too_large_error(max_bytes: int) -> RequestError:
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
