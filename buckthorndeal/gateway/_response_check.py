"""Checks of the head of a response before anything acts on it."""

from buckthorndeal.errors import (
    ConnectionClosedError,
    RequestError,
    ResponseCutError,
    Verdict,
)
from buckthorndeal.gateway._messages import (
    Call,
    Forward,
    Grant,
)
from buckthorndeal.gateway.dialect import ResponseMetadata
from buckthorndeal.http_client import ClientResponse
from buckthorndeal.policy.views import AttemptOutcome

VERDICT_HEADER = "buckthorndeal-verdict"
# With this status an entry host refuses a request only for its workspace, of which its
# configuration holds something else than the sender's.
MISDIRECTED = 421


class AttemptError(Exception):
    """An attempt failed without a response that can be relayed to the caller.

    Parameters
    ----------
    reason : str
        Description of the failure.
    verdict : Verdict
        Whether the endpoint may have run the request.
    request_sent : bool
        Whether any bytes of the request were sent.
    outcome : AttemptOutcome
        Outcome that is counted for the endpoint.
    closed : bool
        Whether the endpoint has closed the connection before the response was complete.
    is_shortage : bool
        Whether this host lacks memory for the response of any endpoint.

    Attributes
    ----------
    head_received : bool
        Whether the head of a response had arrived.
    lasted_s : float
        Seconds from the decision to the failure.
    """

    def __init__(
        self,
        reason: str,
        verdict: Verdict,
        request_sent: bool,
        outcome: AttemptOutcome,
        closed: bool = False,
        is_shortage: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.verdict = verdict
        self.request_sent = request_sent
        self.outcome = outcome
        self.closed = closed
        self.is_shortage = is_shortage
        self.head_received = False
        self.lasted_s = 0.0


def check_response(
    call: Call,
    decision: Grant | Forward,
    response: ClientResponse,
    metadata: ResponseMetadata,
) -> None:
    """Raise `AttemptError` unless the response can be relayed."""
    if is_foreign(call, metadata):
        raise _create_mismatch_error("the response belongs to a different request")
    verdict = response.headers.get(VERDICT_HEADER)
    if isinstance(decision, Forward) and verdict is not None:
        # Says nothing about other requests that are sent to that host.
        is_misdirected = response.status == MISDIRECTED
        raise AttemptError(
            f"entry host {decision.host} responded with status {response.status}",
            Verdict(verdict),
            verdict != Verdict.NOT_RUN.value,
            AttemptOutcome.CANCELLED if is_misdirected else AttemptOutcome.REFUSED,
        )
    if metadata.not_run or metadata.misdirected:
        raise AttemptError(
            f"the endpoint did not run the request: status {response.status}",
            _judge_refusal(response, metadata),
            True,
            AttemptOutcome.REFUSED,
        )
    reason = _find_fault(response, metadata)
    if reason is not None:
        raise _create_mismatch_error(reason)


def create_connection_error(error: RequestError, request_sent: bool) -> AttemptError:
    """Return the error of an attempt that a failure of the connection has ended.

    No target is blamed for a shortage of this host.
    """
    is_shortage = isinstance(error, ResponseCutError) and not error.is_excess
    outcome = AttemptOutcome.BROKEN
    if not request_sent:
        outcome = AttemptOutcome.CONNECT_FAILED
    elif is_shortage:
        outcome = AttemptOutcome.CANCELLED
    closed = isinstance(error, ConnectionClosedError)
    return AttemptError(
        error.message, error.verdict, request_sent, outcome, closed, is_shortage
    )


def create_stream_error(reason: str, closed: bool = False) -> AttemptError:
    """Return the error of a stream that cannot go on from an endpoint."""
    return AttemptError(
        reason, Verdict.MAY_HAVE_RUN, True, AttemptOutcome.BROKEN, closed
    )


def is_foreign(call: Call, metadata: ResponseMetadata) -> bool:
    """Return whether a response bears the id of a different request."""
    return metadata.request_id not in (None, call.request_id)


def _judge_refusal(response: ClientResponse, metadata: ResponseMetadata) -> Verdict:
    """Return what a refusal proves that does not bear the id of another request.

    One without an id may belong to an earlier request on the same connection.
    """
    if metadata.request_id or not response.is_on_used_connection:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN


def _create_mismatch_error(reason: str) -> AttemptError:
    return AttemptError(reason, Verdict.MAY_HAVE_RUN, True, AttemptOutcome.BROKEN)


def _find_fault(response: ClientResponse, metadata: ResponseMetadata) -> str | None:
    """Return why a response must not be relayed, or None."""
    if "content-encoding" in response.headers:
        return "the response has a content encoding"
    if 200 <= response.status < 300 and not metadata.authentic:
        return "the response lacks the proof that it comes from the endpoint"
    return None
