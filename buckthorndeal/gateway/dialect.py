"""Header names that callers and endpoints use, behind one interface."""

from dataclasses import dataclass
from typing import Protocol

from buckthorndeal.errors import RequestError
from buckthorndeal.gateway._messages import LoadReport, Prompt
from buckthorndeal.http_server import Request

__all__ = [
    "DefaultDialect",
    "Dialect",
    "RequestMetadata",
    "ResponseMetadata",
    "create_default_dialect",
]

# Forwarded requests carry the id and the time of an attempt under similar names.
REQUEST_ID = "buckthorndeal-call-id"
DEADLINE_MS = "buckthorndeal-timeout-ms"
RESUME_AFTER = "last-event-id"


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says of a request in its head.

    Parameters
    ----------
    timeout_s : float or None
        How long the caller waits.
    resume_after : int or None
        Last event that it has received of a stream.
    """

    request_id: str
    timeout_s: float | None
    prompt: Prompt | None = None
    resume_after: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What an endpoint says in the head of an answer.

    Parameters
    ----------
    request_id : str or None
        Request that the answer belongs to.
    authentic : bool
        Whether the answer comes from an endpoint that has seen the request.
    not_run : bool
        Whether the endpoint states that it has not run the request.
    misdirected : bool
        Whether a different endpoint now listens on the address.
    """

    request_id: str | None
    authentic: bool
    not_run: bool
    misdirected: bool = False
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class EndpointHints:
    """What an attempt tells the endpoint that was chosen for it.

    Parameters
    ----------
    endpoint : str
        Endpoint that must answer.
    urgency : int
        Rank at the endpoint, 0 for the most urgent.
    cache_source : str or None
        Address of an endpoint from which it may fetch the shared part of the prompt.
    """

    endpoint: str
    urgency: int
    cache_source: str | None = None


class Dialect(Protocol):
    """Reads and writes the heads of requests and answers."""

    def parse_request(self, request: Request) -> RequestMetadata:
        """Return what the caller says; raise `RequestError` if it is malformed."""

    def build_headers(
        self,
        headers: dict[str, str],
        remaining_s: float,
        hints: EndpointHints | None,
        resume_after: int | None,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt.

        Parameters
        ----------
        headers : dict of str to str
            End-to-end headers of the caller.
        remaining_s : float
            Time until the deadline.
        hints : EndpointHints or None
            What the endpoint is told; None for another entry host.
        resume_after : int or None
            Event after which a stream goes on.
        """

    def parse_response(self, status: int, headers: dict[str, str]) -> ResponseMetadata:
        """Return what an endpoint says."""

    def format_retry_after(self, seconds: float) -> str:
        """Return the value of ``Retry-After``."""


class DefaultDialect:
    """The project's own header names."""

    def parse_request(self, request: Request) -> RequestMetadata:
        """Return what the caller says; raise `RequestError` if it is malformed."""
        headers = request.headers
        return RequestMetadata(
            headers.get(REQUEST_ID, ""),
            read_milliseconds(headers, DEADLINE_MS),
            None,
            read_event_id(headers, RESUME_AFTER),
        )

    def build_headers(
        self,
        headers: dict[str, str],
        remaining_s: float,
        hints: EndpointHints | None,
        resume_after: int | None,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt."""
        sent = dict(headers)
        sent[DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))
        if hints is not None:
            sent["buckthorndeal-endpoint"] = hints.endpoint
            sent["buckthorndeal-urgency"] = str(hints.urgency)
            if hints.cache_source is not None:
                sent["buckthorndeal-cache-source"] = hints.cache_source
        if resume_after is not None:
            sent[RESUME_AFTER] = str(resume_after)
        return list(sent.items())

    def parse_response(self, status: int, headers: dict[str, str]) -> ResponseMetadata:
        """Return what an endpoint says."""
        return ResponseMetadata(
            headers.get(REQUEST_ID),
            True,
            headers.get("buckthorndeal-verdict") == "not_run",
            status == 421,
        )

    def format_retry_after(self, seconds: float) -> str:
        """Return the value of ``Retry-After`` in whole seconds."""
        return str(max(1, round(seconds)))


def read_milliseconds(headers: dict[str, str], name: str) -> float | None:
    """Return a header of milliseconds in seconds, or None if it is missing.

    Raises
    ------
    RequestError
        With status 400 if it is no positive number.
    """
    value = headers.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal()):
        raise RequestError("bad_request", 400, f"{name} is not a number")
    return int(value) / 1000


def read_event_id(headers: dict[str, str], name: str) -> int | None:
    """Return a header that holds the number of an event, or None.

    Raises
    ------
    RequestError
        With status 400 if it is no number.
    """
    value = headers.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal()):
        raise RequestError("bad_request", 400, f"{name} is not a number")
    return int(value)


def create_default_dialect() -> Dialect:
    """Return the project's own header names."""
    return DefaultDialect()
