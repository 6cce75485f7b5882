"""Interface to the HTTP headers of callers and endpoints, and its default."""

import re
from dataclasses import dataclass, field
from typing import Protocol

from buckthorndeal.errors import RequestError
from buckthorndeal.gateway._messages import (
    LoadReport,
)
from buckthorndeal.gateway._prompts import Prompt
from buckthorndeal.http_server import Request

__all__ = [
    "DefaultDialect",
    "Dialect",
    "HealthMetadata",
    "RequestMetadata",
    "ResponseMetadata",
    "create_default_dialect",
]

# Not the names under which a forwarded request carries the id and the deadline of an
# attempt, `buckthorndeal-request-id` and `buckthorndeal-deadline-ms`.
REQUEST_ID = "buckthorndeal-call-id"
TIMEOUT_MS = "buckthorndeal-timeout-ms"
RESUME_AFTER = "last-event-id"
CREDENTIALS = "authorization"
KEY = "buckthorndeal-key"
WORKSPACE = "buckthorndeal-workspace"
RESUMES = "buckthorndeal-resumes"
LEAVING = "buckthorndeal-leaving"
RETRY_AFTER = "retry-after"
RATE_LIMIT = "buckthorndeal-rate-limit"
REJECTION_LIMIT = "buckthorndeal-rejection-limit"
ENDPOINT = "buckthorndeal-endpoint"
COLD_MS = "buckthorndeal-cold-ms"
MAX_COLD_S = 600.0
UNAVAILABLE = 503
_WHOLE_NUMBER = re.compile(r"[0-9]{1,15}")
# Digits with an optional fraction; a value with a sign or an exponent is malformed.
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values of the request headers.

    Parameters
    ----------
    timeout_s : float or None
        Longest time that the caller waits for the response.
    resume_after : int or None
        Id of the last event of the stream that the caller has received.
    caller : str
        Credentials that the endpoint gets too; empty if the caller sends none.
    resumes : str or None
        Id of the request that brought the first event of a stream that is resumed.
    tokens : int or None
        Tokens that the request names, with or without a prompt.
    key : str or None
        Key of the workspace of the caller, which no endpoint or other host gets; None
        if it is missing or empty.
    """

    request_id: str
    timeout_s: float | None
    prompt: Prompt | None = None
    resume_after: int | None = None
    caller: str = ""
    resumes: str | None = None
    tokens: int | None = None
    key: str | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Values of the response headers.

    Parameters
    ----------
    request_id : str or None
        Id of the request that the response belongs to.
    authentic : bool
        Whether the headers prove that an endpoint has received the request.
    not_run : bool
        Whether the endpoint reports that it has not run the request.
    misdirected : bool
        Whether a different endpoint now listens on the address.
    load : LoadReport or None
        Load of the endpoint, if it reports it.
    leaving : bool
        Whether the endpoint announces that it is about to stop.
    pause_s : float or None
        Time in seconds for which an overloaded endpoint wants no more requests.
    rate_limit : float or None
        Requests per second that the endpoint takes from all hosts together.
    rejection_limit : float or None
        Requests per second that the endpoint can turn away before it fails.
    """

    request_id: str | None
    authentic: bool
    not_run: bool
    misdirected: bool = False
    load: LoadReport | None = None
    leaving: bool = False
    pause_s: float | None = None
    rate_limit: float | None = None
    rejection_limit: float | None = None


@dataclass(frozen=True, slots=True)
class HealthMetadata:
    """Values of the headers of a health response.

    Parameters
    ----------
    endpoint : str or None
        Id of the endpoint that has responded; None if it names none.
    cold_s : float or None
        For how long it stays cold, in seconds: 0 if it is warm, and None if the value
        is malformed.
    """

    endpoint: str | None
    cold_s: float | None


@dataclass(frozen=True, slots=True)
class EndpointHints:
    """Values that an attempt passes to its endpoint in headers.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint that must respond.
    urgency : int or None
        Priority at the endpoint, 0 for the most urgent; None if requests are equal.
    cache_source : str or None
        Address of an endpoint from which it may fetch the shared prefix.
    workspace : str or None
        Name of the workspace of the caller; None if the caller is anonymous.
    """

    endpoint: str
    urgency: int | None
    cache_source: str | None = None
    workspace: str | None = None


class Dialect(Protocol):
    """Parses and builds the headers of requests and responses."""

    def parse_request(self, request: Request) -> RequestMetadata:
        """Return the values of the request headers.

        Raises
        ------
        RequestError
            With status 400 if a value is malformed.
        """

    def build_headers(
        self,
        headers: dict[str, str],
        remaining_s: float,
        hints: EndpointHints | None,
        resume_after: int | None,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt, without the key of the caller.

        The name of the workspace is that of the hints, whatever the caller has sent.

        Parameters
        ----------
        headers : dict of str to str
            End-to-end headers of the request.
        remaining_s : float
            Seconds until the deadline.
        hints : EndpointHints or None
            Values for the endpoint; None for another entry host.
        resume_after : int or None
            Id of the event after which a stream is resumed.
        """

    def parse_response(self, status: int, headers: dict[str, str]) -> ResponseMetadata:
        """Return the values of the response headers."""

    def parse_health(self, headers: dict[str, str]) -> HealthMetadata:
        """Return the values of the headers of a health response."""

    def format_retry_after(self, seconds: float) -> str:
        """Return the value of the ``Retry-After`` header."""


class DefaultDialect:
    """Default header names."""

    def parse_request(self, request: Request) -> RequestMetadata:
        """Return the values of the request headers.

        Raises
        ------
        RequestError
            With status 400 if a value is malformed.
        """
        headers = request.headers
        return RequestMetadata(
            headers.get(REQUEST_ID, ""),
            read_milliseconds(headers, TIMEOUT_MS),
            None,
            read_event_id(headers, RESUME_AFTER),
            headers.get(CREDENTIALS, ""),
            headers.get(RESUMES),
            key=headers.get(KEY) or None,
        )

    def build_headers(
        self,
        headers: dict[str, str],
        remaining_s: float,
        hints: EndpointHints | None,
        resume_after: int | None,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt."""
        sent = {
            name: value
            for name, value in headers.items()
            if name not in (KEY, WORKSPACE)
        }
        sent[TIMEOUT_MS] = str(max(1, int(remaining_s * 1000)))
        if hints is not None:
            sent[ENDPOINT] = hints.endpoint
            if hints.urgency is not None:
                sent["buckthorndeal-urgency"] = str(hints.urgency)
            if hints.cache_source is not None:
                sent["buckthorndeal-cache-source"] = hints.cache_source
            if hints.workspace is not None:
                sent[WORKSPACE] = hints.workspace
        if resume_after is not None:
            sent[RESUME_AFTER] = str(resume_after)
        return list(sent.items())

    def parse_response(self, status: int, headers: dict[str, str]) -> ResponseMetadata:
        """Return the values of the response headers."""
        return ResponseMetadata(
            headers.get(REQUEST_ID),
            True,
            headers.get("buckthorndeal-verdict") == "not_run",
            status == 421,
            leaving=headers.get(LEAVING) == "1",
            pause_s=read_pause_s(status, headers),
            rate_limit=read_rate_limit(headers, RATE_LIMIT),
            rejection_limit=read_rate_limit(headers, REJECTION_LIMIT),
        )

    def parse_health(self, headers: dict[str, str]) -> HealthMetadata:
        """Return the values of the headers of a health response."""
        return HealthMetadata(headers.get(ENDPOINT), read_cold_s(headers, COLD_MS))

    def format_retry_after(self, seconds: float) -> str:
        """Return the value of the ``Retry-After`` header in whole seconds."""
        return str(max(1, round(seconds)))


def read_milliseconds(headers: dict[str, str], name: str) -> float | None:
    """Return the seconds that a header gives in milliseconds, or None if missing.

    Raises
    ------
    RequestError
        With status 400 if it is not a non-negative whole number.
    """
    milliseconds = read_event_id(headers, name)
    return None if milliseconds is None else milliseconds / 1000


def parse_whole_number(text: str) -> int:
    """Return the whole number of at most 15 digits in a header.

    Raises
    ------
    ValueError
        If it is something else, or longer.
    """
    if _WHOLE_NUMBER.fullmatch(text) is None:
        raise ValueError("not a whole number of at most 15 digits")
    return int(text)


def read_event_id(headers: dict[str, str], name: str) -> int | None:
    """Return the value of a header that holds an event id, or None if missing.

    Raises
    ------
    RequestError
        With status 400 if it is not a non-negative whole number.
    """
    value = headers.get(name)
    if value is None:
        return None
    try:
        return parse_whole_number(value)
    except ValueError as error:
        raise RequestError("bad_request", 400, f"header {name!r}: {error}") from error


def read_pause_s(status: int, headers: dict[str, str]) -> float | None:
    """Return the seconds after which an overloaded endpoint takes requests again.

    None if the status is not 503, or if ``Retry-After`` is missing, malformed or a
    date: the clocks of an endpoint and of this host may differ by seconds.
    """
    value = headers.get(RETRY_AFTER, "").strip()
    if status != UNAVAILABLE or _DECIMAL.fullmatch(value) is None:
        return None
    return float(value)


def read_rate_limit(headers: dict[str, str], name: str) -> float | None:
    """Return the requests per second that a header names.

    None if it is missing, or malformed: then the endpoint names no limit.
    """
    value = headers.get(name, "").strip()
    if _DECIMAL.fullmatch(value) is None:
        return None
    return float(value)


def read_cold_s(headers: dict[str, str], name: str) -> float | None:
    """Return for how long an endpoint stays cold, in seconds.

    0 if the header is missing. None if it is malformed, or above `MAX_COLD_S`.
    """
    value = headers.get(name)
    if value is None:
        return 0.0
    if _DECIMAL.fullmatch(value.strip()) is None:
        return None
    cold_s = float(value) / 1000
    return cold_s if cold_s <= MAX_COLD_S else None


def create_default_dialect() -> Dialect:
    """Return the dialect with the default header names."""
    return DefaultDialect()
