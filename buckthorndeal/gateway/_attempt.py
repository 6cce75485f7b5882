"""One attempt of a request: at an endpoint or through another entry host."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import curio

from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.forwarding import ForwardedRequest, check_next_hop, sign_request
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._headers import keep_end_to_end
from buckthorndeal.gateway._messages import (
    Call,
    Finished,
    FirstAnswer,
    Forward,
    Grant,
)
from buckthorndeal.gateway.dialect import EndpointHints, ResponseMetadata
from buckthorndeal.http_client import ClientResponse, HttpPool
from buckthorndeal.http_server import Request
from buckthorndeal.policy.views import AttemptOutcome

VERDICT_HEADER = "buckthorndeal-verdict"


class AttemptError(Exception):
    """An attempt did not yield an answer that may be passed on.

    Parameters
    ----------
    reason : str
        What happened.
    verdict : Verdict
        Whether the endpoint may have run the request.
    arrived : bool
        Whether bytes were sent to an endpoint.
    outcome : AttemptOutcome
        What it says of the endpoint.
    """

    def __init__(
        self, reason: str, verdict: Verdict, arrived: bool, outcome: AttemptOutcome
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.verdict = verdict
        self.arrived = arrived
        self.outcome = outcome


@dataclass(eq=False)
class Attempt:
    """An attempt whose answer has begun.

    Parameters
    ----------
    head : ResponseMetadata
        What the endpoint says in the head.
    outcome : AttemptOutcome
        To be set when the answer is complete.
    """

    ticket: int
    target: str
    response: ClientResponse
    head: ResponseMetadata
    outcome: AttemptOutcome = AttemptOutcome.BROKEN


@asynccontextmanager
async def open_attempt(
    context: GatewayContext,
    call: Call,
    request: Request,
    decision: Grant | Forward,
    ticket: int,
) -> AsyncIterator[Attempt]:
    """Send one attempt and yield it once the head of its answer has been checked.

    Raises
    ------
    AttemptError
        If there is no answer to pass on.
    """
    dispatched = False

    def note_dispatch() -> None:
        nonlocal dispatched
        dispatched = True

    attempt = None
    outcome: AttemptOutcome = AttemptOutcome.CANCELLED
    pool = _get_pool(context, decision)
    headers = _write_headers(context, call, request, decision, ticket)
    try:
        async with pool.request(
            request.method, request.target, headers, request.body, note_dispatch
        ) as response:
            head = _check_head(context, call, decision, response)
            attempt = Attempt(ticket, _name(decision), response, head)
            yield attempt
    except AttemptError as error:
        outcome = error.outcome
        raise
    except RequestError as error:
        failed = AttemptOutcome.BROKEN if dispatched else AttemptOutcome.CONNECT_FAILED
        outcome = failed
        raise AttemptError(error.message, error.verdict, dispatched, failed) from error
    finally:
        if attempt is not None and attempt.outcome is AttemptOutcome.SUCCEEDED:
            outcome = AttemptOutcome.SUCCEEDED
        async with curio.disable_cancellation():
            await context.dispatch.send(Finished(ticket, outcome))


async def note_first_answer(context: GatewayContext, attempt: Attempt) -> None:
    """Tell the dispatcher that the answer has begun."""
    await context.dispatch.send(FirstAnswer(attempt.ticket, attempt.head.load))


def _get_pool(context: GatewayContext, decision: Grant | Forward) -> HttpPool:
    now_s = context.now()
    if isinstance(decision, Forward):
        return context.pools.get_host(decision.host, now_s)
    return context.pools.get_endpoint(
        decision.endpoint.address, decision.connections, now_s
    )


def _name(decision: Grant | Forward) -> str:
    if isinstance(decision, Forward):
        return decision.host
    return decision.endpoint.endpoint


def _write_headers(
    context: GatewayContext,
    call: Call,
    request: Request,
    decision: Grant | Forward,
    ticket: int,
) -> list[tuple[str, str]]:
    remaining_s = max(0.001, call.deadline_s - context.now())
    kept = keep_end_to_end(request.headers)
    write = context.dialect.build_headers
    if isinstance(decision, Grant):
        hints = EndpointHints(
            decision.endpoint.endpoint, decision.urgency, decision.cache_source
        )
        return write(kept, remaining_s, hints, call.resume_after)
    headers = write(kept, remaining_s, None, call.resume_after)
    return [*headers, *_sign(context, call, request, decision, ticket, remaining_s)]


def _sign(
    context: GatewayContext,
    call: Call,
    request: Request,
    decision: Forward,
    ticket: int,
    remaining_s: float,
) -> list[tuple[str, str]]:
    hops = (*call.hops, context.host)
    check_next_hop(hops, call.crossed, context.region, decision.host, decision.region)
    forwarded = ForwardedRequest(
        origin=hops[0],
        hops=hops,
        crossed=True,
        deadline_ms=int(remaining_s * 1000),
        request_id=f"{context.host}-{ticket}-{call.request_id}",
        sent_ms=int(context.wall() * 1000),
        workspace="",
        content_type=request.headers.get("content-type", ""),
        idempotency_key=request.headers.get("idempotency-key", ""),
    )
    signed = sign_request(
        forwarded, request.method, request.target, request.body, context.keys[0]
    )
    own = {"content-type", "idempotency-key"}
    return [(name, value) for name, value in signed if name not in own]


def _check_head(
    context: GatewayContext,
    call: Call,
    decision: Grant | Forward,
    response: ClientResponse,
) -> ResponseMetadata:
    verdict = response.headers.get(VERDICT_HEADER)
    if isinstance(decision, Forward) and verdict is not None:
        raise AttemptError(
            f"host {decision.host} answered {response.status}",
            Verdict(verdict),
            verdict != Verdict.NOT_RUN.value,
            AttemptOutcome.REFUSED,
        )
    head = context.dialect.parse_response(response.status, response.headers)
    if head.not_run or head.misdirected:
        raise AttemptError(
            f"the endpoint answered {response.status} without running the request",
            Verdict.NOT_RUN,
            True,
            AttemptOutcome.REFUSED,
        )
    reason = _find_fault(call, response, head)
    if reason is not None:
        raise AttemptError(reason, Verdict.MAY_HAVE_RUN, True, AttemptOutcome.BROKEN)
    return head


def _find_fault(
    call: Call, response: ClientResponse, head: ResponseMetadata
) -> str | None:
    """Return why an answer cannot be the endpoint's own to this request, or None."""
    if head.request_id is not None and head.request_id != call.request_id:
        return "the answer belongs to another request"
    if "content-encoding" in response.headers:
        return "the answer is encoded"
    if 200 <= response.status < 300 and not head.authentic:
        return "the answer does not show that it is the endpoint's"
    return None
