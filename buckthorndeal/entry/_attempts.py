"""One attempt to run a call at an endpoint or through another entry host."""

import weakref
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import curio
import msgspec

from buckthorndeal.directory import HostRecord
from buckthorndeal.entry._context import EntryContext
from buckthorndeal.entry._messages import (
    Call,
    EndAttempt,
    EndpointResponse,
    IsTargetLive,
    Progress,
    Route,
)
from buckthorndeal.entry._routes import end_attempt, get_target_name
from buckthorndeal.errors import (
    DECODING_ERRORS,
    RequestError,
    ResponseCutError,
    Verdict,
)
from buckthorndeal.forwarding import ForwardedRequest, check_next_hop, sign_request
from buckthorndeal.http_client import ClientResponse
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult, EndpointView

REQUEST_ID_HEADER = "buckthorndeal-request-id"
VERDICT_HEADER = "buckthorndeal-verdict"
PRIORITY_HEADER = "buckthorndeal-priority"
MAX_ATTEMPTS = 4
REFUSAL_STATUSES = (429, 503)


class PeerRefusalError(RequestError):
    """Another entry host refused a forwarded request."""


@dataclass(eq=False)
class Attempt:
    """An attempt whose response head has been received and checked.

    Parameters
    ----------
    target : str
        Name of the endpoint or entry host.
    first_token_s : float or None
        Time from the start to the first token, in seconds.
    cached_tokens : int or None
        Prompt tokens that the endpoint found in its prefix cache, if reported.
    started_s : float
        Monotonic time of the start in seconds.
    """

    attempt_id: str
    target: str
    response: ClientResponse
    outcome: AttemptOutcome = AttemptOutcome.BROKEN
    first_token_s: float | None = None
    output_tokens: int = 0
    cached_tokens: int | None = None
    started_s: float = 0.0


@asynccontextmanager
async def open_attempt(
    context: EntryContext,
    call: Call,
    progress: Progress,
    attempt_id: str,
    route: Route,
    on_dispatch: Callable[[], None] = lambda: None,
) -> AsyncIterator[Attempt]:
    """Send a call along a route and yield the attempt with its response.

    The body of the context sets the outcome of the attempt. If the context ends
    with an exception, an idempotent call is cancelled at the endpoint.

    Parameters
    ----------
    on_dispatch : callable
        Called just before the first byte of the request is sent.

    Raises
    ------
    PeerRefusalError
        If another entry host refuses the forwarded request.
    RequestError
        If the connection fails or the response does not belong to the attempt.
    """
    endpoint = route.decision.endpoint
    started_s = context.now()
    state_before = progress.state
    attempt = None
    outcome = AttemptOutcome.CANCELLED
    progress.advance("connect")

    def dispatch() -> None:
        progress.advance("dispatch")
        on_dispatch()

    try:
        async with _send(context, call, attempt_id, route, dispatch) as response:
            attempt = Attempt(
                attempt_id, get_target_name(route), response, started_s=started_s
            )
            if endpoint is None:
                await _check_peer_refusal(response, progress, state_before)
            _check_request_id(response, attempt_id)
            progress.advance("answer")
            yield attempt
        outcome = attempt.outcome
    except PeerRefusalError:
        outcome = AttemptOutcome.REFUSED
        raise
    except RequestError as error:
        outcome = AttemptOutcome.BROKEN
        if is_host_shortage(error):
            # No endpoint is blamed for a shortage of this host.
            outcome = AttemptOutcome.CANCELLED
        if progress.state in ("connecting", "reconnecting"):
            outcome = AttemptOutcome.CONNECT_FAILED
            progress.advance("connect_failed")
        raise
    except curio.CancelledError:
        if context.now() >= call.deadline_s:
            outcome = AttemptOutcome.TIMED_OUT
        raise
    finally:
        result = _create_result(context, call, endpoint, attempt, outcome, started_s)
        await _close_attempt(context, call, attempt_id, endpoint, result, progress)


def _create_result(
    context: EntryContext,
    call: Call,
    endpoint: EndpointView | None,
    attempt: Attempt | None,
    outcome: AttemptOutcome,
    started_s: float,
) -> AttemptResult | None:
    context.metrics.count(
        "attempts_total", service=call.service_name, outcome=outcome.value
    )
    if endpoint is None:
        return None
    return AttemptResult(
        endpoint.name,
        endpoint.incarnation,
        call.service_name,
        outcome,
        context.now() - started_s,
        attempt.first_token_s if attempt is not None else None,
        call.prompt_tokens,
        attempt.output_tokens if attempt is not None else 0,
        attempt.cached_tokens if attempt is not None else None,
    )


async def _close_attempt(
    context: EntryContext,
    call: Call,
    attempt_id: str,
    endpoint: EndpointView | None,
    result: AttemptResult | None,
    progress: Progress,
) -> None:
    await end_attempt(context, EndAttempt(attempt_id, result))
    unfinished = result is not None and result.outcome in (
        AttemptOutcome.BROKEN,
        AttemptOutcome.CANCELLED,
        AttemptOutcome.TIMED_OUT,
    )
    # A non-idempotent call that was sent must run to its end at the endpoint.
    if unfinished and call.idempotent and progress.verdict is Verdict.MAY_HAVE_RUN:
        async with curio.disable_cancellation():
            await context.pools.cancel_in_background(
                endpoint.address, endpoint.port, attempt_id
            )


@asynccontextmanager
async def _send(
    context: EntryContext,
    call: Call,
    attempt_id: str,
    route: Route,
    on_dispatch: Callable[[], None],
) -> AsyncIterator[ClientResponse]:
    endpoint = route.decision.endpoint
    if endpoint is not None:
        pool = await context.pools.get(endpoint.address, endpoint.port)
        target = call.endpoint_target
        priority = call.identity.workspace.priority
        headers = [
            (REQUEST_ID_HEADER, attempt_id),
            (PRIORITY_HEADER, str(priority)),
        ]
        if call.content_type:
            headers.append(("content-type", call.content_type))
    else:
        pool = await context.pools.get(route.host.address, route.host.port)
        target = call.target
        headers = _sign_call(context, call, attempt_id, route.host)
    async with pool.request(
        call.method,
        target,
        headers,
        call.body,
        on_dispatch,
        # The peer may close an idle connection while it is being reused; a call
        # that must not be repeated would then end with "may have run".
        fresh=not call.idempotent,
        check=lambda: _check_target_is_live(context, attempt_id, route),
    ) as response:
        yield response


async def _check_target_is_live(
    context: EntryContext, attempt_id: str, route: Route
) -> None:
    host = route.host.host if route.host is not None else None
    if not await context.router_mailbox.ask(IsTargetLive(attempt_id, host)):
        # Without this check, the caller would wait until its deadline.
        raise RequestError(
            "target_lost",
            502,
            "the endpoint or entry host expired or left before it responded",
            Verdict.MAY_HAVE_RUN,
        )


def _sign_call(
    context: EntryContext, call: Call, attempt_id: str, host: HostRecord
) -> list[tuple[str, str]]:
    hops = (*call.hops, context.host)
    check_next_hop(hops, call.crossed, context.region, host.host, host.region)
    request = ForwardedRequest(
        origin=call.origin or context.host,
        hops=hops,
        crossed=call.crossed or host.region != context.region,
        deadline_ms=max(0, int((call.deadline_s - context.now()) * 1000)),
        request_id=attempt_id,
        sent_ms=int(context.wall_time() * 1000),
        workspace=call.identity.name,
        content_type=call.content_type,
        idempotency_key=call.idempotency_key,
    )
    context.metrics.count(
        "forwarded_total", service=call.service_name, region=host.region
    )
    if host.region != context.region and call.idempotent:
        context.metrics.count(
            "spilled_total", service=call.service_name, region=host.region
        )
    return sign_request(
        request, call.method, call.target, call.body, context.peer_keys[0]
    )


def _check_request_id(response: ClientResponse, attempt_id: str) -> None:
    if response.headers.get(REQUEST_ID_HEADER) != attempt_id:
        raise create_mismatch_error("the response belongs to another request")


async def read_response(
    attempt: Attempt, default_type: str = "application/octet-stream"
) -> EndpointResponse:
    """Return the complete response of an attempt.

    Its body is held until nothing refers to it, as it may be sent to a slow caller.
    """
    response = attempt.response
    body = await response.read()
    attempt.outcome = AttemptOutcome.SUCCEEDED
    content_type = response.headers.get("content-type", default_type)
    read = EndpointResponse(response.status, content_type, body)
    booking = response.memory.take()
    if booking is not None:
        weakref.finalize(read, booking.release)
    return read


def is_host_shortage(error: RequestError) -> bool:
    """Return whether this host lacks memory for the response of any endpoint."""
    return isinstance(error, ResponseCutError) and not error.is_excess


def create_mismatch_error(reason: str) -> RequestError:
    """Return the error for a response that does not match its request."""
    return RequestError("answer_mismatch", 502, reason, Verdict.MAY_HAVE_RUN)


async def _check_peer_refusal(
    response: ClientResponse, progress: Progress, state_before: str
) -> None:
    value = response.headers.get(VERDICT_HEADER)
    if value is None:
        return
    try:
        error = msgspec.json.decode(await response.read())["error"]
        refusal = PeerRefusalError(
            error["code"],
            response.status,
            error["message"],
            Verdict(value),
            error["retry_after_s"],
        )
    except (*DECODING_ERRORS, KeyError, TypeError, ValueError) as reason:
        raise create_mismatch_error(f"malformed refusal: {reason}") from reason
    if refusal.verdict is Verdict.NOT_RUN:
        # The other host guarantees that this dispatch did not run.
        progress.state = state_before
    raise refusal
