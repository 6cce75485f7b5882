"""Requests that an HTTP server has received, and errors of their reading."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

import curio
import h11

from buckthorndeal._http_refusals import create_late_error
from buckthorndeal.errors import MemoryShortageError, RequestError

SHORTAGE_RETRY_S = 1.0
PROTOCOL_ERROR_CODES = {413: "body_too_large", 431: "header_too_large"}

# Called with method and path; returns the bytes that the body of such a request may
# have, or None if only the limits of the server apply.
BodyLimit = Callable[[str, str], int | None]


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


@singledispatch
def create_request_error(error: BaseException) -> RequestError:
    """Return the error to respond with when the reading of a request has failed."""
    raise TypeError(f"unexpected error {type(error).__name__}") from error


@create_request_error.register
def _(error: curio.TaskTimeout) -> RequestError:
    return create_late_error()


@create_request_error.register
def _(error: h11.RemoteProtocolError) -> RequestError:
    status = error.error_status_hint
    code = PROTOCOL_ERROR_CODES.get(status, "bad_request")
    return RequestError(code, status, str(error))


@create_request_error.register
def _(error: MemoryShortageError) -> RequestError:
    message = "the host has no memory for the request at present"
    return RequestError("memory_short", 503, message, retry_after_s=SHORTAGE_RETRY_S)


def refuse_body(method: str, path: str) -> int:
    """Return the limit of bodies on a server that only answers queries."""
    del method, path
    return 0


def get_max_body_bytes(
    request: Request, max_bytes: int, limit_body: BodyLimit | None
) -> int:
    """Return the bytes that the body of a request may have, `max_bytes` at most."""
    if limit_body is None:
        return max_bytes
    own_bytes = limit_body(request.method, request.path)
    return max_bytes if own_bytes is None else min(max_bytes, own_bytes)


def check_framing(headers: dict[str, str]) -> None:
    """Refuse two kinds of body framing in one request (request smuggling)."""
    if "transfer-encoding" in headers and "content-length" in headers:
        raise RequestError(
            "bad_request",
            400,
            "the request has both content-length and transfer-encoding",
        )


def measure_head(request: Request) -> int:
    """Return the bytes that are held for the head of a request."""
    return len(request.target) + sum(map(len, request.headers.values()))


def join_headers(pairs: h11._headers.Headers) -> dict[str, str]:
    """Return header values by name; repeated headers are joined with commas."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in pairs:
        name = raw_name.decode("ascii")
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]},{value}" if name in headers else value
    return headers
