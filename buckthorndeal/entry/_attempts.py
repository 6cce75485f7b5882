"""One attempt at an endpoint or at another entry host."""

import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
import msgspec

from buckthorndeal.directory import HostRecord
from buckthorndeal.entry._messages import (
    Call,
    ChooseRoute,
    EndAttempt,
    IsTargetLive,
    Progress,
    Route,
)
from buckthorndeal.entry._pools import ConnectionPools
from buckthorndeal.entry._prompts import PromptHasher
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.forwarding import ForwardedRequest, check_next_hop, sign_request
from buckthorndeal.http_client import ClientResponse
from buckthorndeal.logs import log_decision
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.metrics import Metrics
from buckthorndeal.policy.views import (
    AttemptOutcome,
    AttemptResult,
    EndpointView,
    RouteRequest,
)

REQUEST_ID_HEADER = "buckthorndeal-request-id"
VERDICT_HEADER = "buckthorndeal-verdict"
PRIORITY_HEADER = "buckthorndeal-priority"
MAX_ATTEMPTS = 4
REFUSAL_STATUSES = (429, 503)


class PeerRefusalError(RequestError):
    """Another entry host gave a final refusal."""


@dataclass(eq=False)
class EntryContext:
    """What the handlers of one entry host share; only tasks change state.

    Parameters
    ----------
    incarnation : str
        Random text that makes attempt ids unique across restarts.
    peer_keys : tuple of bytes
        Keys of forwarded requests; the first one signs.
    now, wall : callable
        Monotonic clock, and seconds since the epoch.
    """

    host: str
    region: str
    incarnation: str
    peer_keys: tuple[bytes, ...]
    router_mailbox: Mailbox
    report_mailbox: Mailbox
    document_mailbox: Mailbox
    pools: ConnectionPools
    metrics: Metrics
    now: Callable[[], float]
    wall_time: Callable[[], float]
    prompt_hasher: PromptHasher
    id_counter: itertools.count = field(default_factory=itertools.count)

    def create_id(self) -> str:
        return f"{self.host}-{self.incarnation}-{next(self.id_counter)}"


@dataclass(eq=False)
class Attempt:
    """An attempt whose response head has been checked."""

    attempt_id: str
    target: str
    response: ClientResponse
    outcome: AttemptOutcome = AttemptOutcome.BROKEN
    first_token_s: float | None = None
    output_tokens: int = 0
    cached_tokens: int | None = None
    started_s: float = 0.0


async def choose_route(
    context: EntryContext,
    call: Call,
    excluded: frozenset[str],
    may_hedge: bool = False,
) -> tuple[str, Route]:
    """Return a new attempt id and its route; log the decision in one line.

    With names in `excluded` the attempt is a retry, which needs budget.
    """
    attempt_id = context.create_id()
    if call.route is not None and not excluded:
        log_route(context, call, attempt_id, call.route)
        return attempt_id, call.route
    request = create_route_request(call, excluded)
    try:
        route = await context.router_mailbox.ask(
            ChooseRoute(attempt_id, request, call.document, bool(excluded), may_hedge)
        )
    except curio.CancelledError:
        # The router may have counted the attempt already.
        await _end_attempt(context, EndAttempt(attempt_id))
        raise
    log_route(context, call, attempt_id, route)
    return attempt_id, route


def create_route_request(
    call: Call, excluded: frozenset[str] = frozenset()
) -> RouteRequest:
    workspace = call.identity.workspace
    return RouteRequest(
        request_id=call.request_id,
        workspace=call.identity.name,
        service=call.service_name,
        model=call.model,
        deadline_s=call.deadline_s,
        home_region=workspace.home_region,
        bound=workspace.bound,
        idempotent=call.idempotent,
        priority=workspace.priority,
        hops=call.hops,
        crossed_region=call.crossed,
        excluded=excluded,
        prefix_hashes=call.prefix_hashes,
        prompt_tokens=call.prompt_tokens,
    )


def log_route(context: EntryContext, call: Call, attempt_id: str, route: Route) -> None:
    decision = route.decision
    log_decision(
        "route",
        call.request_id,
        get_target_name(route),
        decision.scores,
        decision.reason,
        host=context.host,
        attempt_id=attempt_id,
        workspace=call.identity.name,
        service=call.service_name,
        region=decision.region or context.region,
    )


def get_target_name(route: Route) -> str | None:
    if route.decision.endpoint is not None:
        return route.decision.endpoint.name
    return route.host.host if route.host is not None else None


@asynccontextmanager
async def open_attempt(
    context: EntryContext,
    call: Call,
    progress: Progress,
    attempt_id: str,
    route: Route,
    on_dispatch: Callable[[], None] = lambda: None,
) -> AsyncIterator[Attempt]:
    """Send a call along a route and yield the attempt once its head is checked.

    The user of the attempt sets its outcome; an attempt that is left by an
    exception is cancelled at the endpoint.
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
    except RequestError:
        outcome = AttemptOutcome.BROKEN
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
    await _end_attempt(context, EndAttempt(attempt_id, result))
    unfinished = result is not None and result.outcome in (
        AttemptOutcome.BROKEN,
        AttemptOutcome.CANCELLED,
        AttemptOutcome.TIMED_OUT,
    )
    # A non-idempotent call that was sent is left to run to its end.
    if unfinished and call.idempotent and progress.verdict is Verdict.MAY_HAVE_RUN:
        async with curio.disable_cancellation():
            await context.pools.cancel_in_background(
                endpoint.address, endpoint.port, attempt_id
            )


async def _end_attempt(context: EntryContext, message: EndAttempt) -> None:
    async with curio.disable_cancellation():
        await context.router_mailbox.send(message)


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
        # A peer may close an idle connection just as it is used again, and then a
        # call that must not be repeated would end with "may have run".
        fresh=not call.idempotent,
        check=lambda: _check_target_is_live(context, attempt_id, route),
    ) as response:
        yield response


async def _check_target_is_live(
    context: EntryContext, attempt_id: str, route: Route
) -> None:
    host = route.host.host if route.host is not None else None
    if not await context.router_mailbox.ask(IsTargetLive(attempt_id, host)):
        # Waiting longer would hold the caller until its deadline.
        raise RequestError(
            "target_lost", 502, "the endpoint fell silent", Verdict.MAY_HAVE_RUN
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
        raise create_mismatch_error("the answer belongs to another request")


def create_mismatch_error(reason: str) -> RequestError:
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
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as reason:
        raise create_mismatch_error("the refusal is malformed") from reason
    if refusal.verdict is Verdict.NOT_RUN:
        # The other host proves that this dispatch did not run.
        progress.state = state_before
    raise refusal
