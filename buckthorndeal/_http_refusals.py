"""Errors with which an HTTP server itself answers a request."""

from buckthorndeal.errors import RequestError, Verdict

CLOSING_RETRY_S = 1.0
FULL_RETRY_S = 1.0


def create_closing_error(verdict: Verdict) -> RequestError:
    """Return the error for a request that meets the end of the process."""
    is_retryable = verdict is Verdict.NOT_RUN
    return RequestError(
        "stopping",
        503 if is_retryable else 502,
        "the host is stopping",
        verdict,
        retry_after_s=CLOSING_RETRY_S if is_retryable else None,
    )


def create_full_error() -> RequestError:
    """Return the error for a connection beyond the limit."""
    return RequestError(
        "too_many_connections",
        503,
        "too many connections",
        retry_after_s=FULL_RETRY_S,
    )


def create_displaced_error() -> RequestError:
    """Return the error for a body that stays incomplete while others need its place."""
    return RequestError(
        "too_many_incomplete",
        503,
        "too many requests are incomplete, and this one is silent, slow or waits long",
        retry_after_s=FULL_RETRY_S,
    )


def create_tunnel_error() -> RequestError:
    """Return the error for a request to open a tunnel."""
    return RequestError("not_implemented", 501, "CONNECT is not supported")


def create_late_error() -> RequestError:
    """Return the error for a request that was not received in time."""
    message = "the request was not received in time"
    return RequestError("request_timeout", 408, message)


def create_too_large_error(max_bytes: int) -> RequestError:
    """Return the error for a body above its limit."""
    return RequestError(
        "body_too_large", 413, f"the body is larger than {max_bytes} bytes"
    )
