"""Single attempt of a request, at an endpoint or through another entry host."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio

from buckthorndeal.errors import RequestError, ShortageError, Verdict
from buckthorndeal.gateway._attempt_headers import (
    VERSION_HEADER,
    build_attempt_headers,
)
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._control_messages import AnnounceDrain
from buckthorndeal.gateway._messages import (
    AttemptEnded,
    Call,
    EndpointNotice,
    Forward,
    Grant,
    ResponseStarted,
)
from buckthorndeal.gateway._open_attempts import Handover
from buckthorndeal.gateway._response_check import (
    VERDICT_HEADER,
    AttemptError,
    check_response,
    create_connection_error,
    is_foreign,
)
from buckthorndeal.gateway._stream_pace import StreamPace
from buckthorndeal.gateway.dialect import ResponseMetadata
from buckthorndeal.http_client import ClientConnection, ClientResponse, HttpPool
from buckthorndeal.http_server import Request
from buckthorndeal.logs import log_event, log_routine
from buckthorndeal.policy.views import AttemptOutcome

__all__ = [
    "VERDICT_HEADER",
    "Attempt",
    "AttemptError",
    "open_attempt",
    "report_response_start",
]

MAX_SKIPPED_RESPONSES = 4
CLIENT_ERROR = 400


@dataclass(eq=False)
class Attempt:
    """An attempt whose response headers have been received and checked.

    Parameters
    ----------
    attempt_id : int
        Id of the attempt on this host.
    target : str
        Name of the endpoint or entry host.
    response : ClientResponse
        Response with an unread body.
    metadata : ResponseMetadata
        Values of the response headers.
    version : str or None
        Software version of the endpoint; None if it is not known.
    is_direct : bool
        Whether the response comes from an endpoint, and not through another host.
    outcome : AttemptOutcome
        Set to ``SUCCEEDED`` by the exchange once the response is complete.
    pace : StreamPace
        Events of a stream, which the exchange counts.
    """

    attempt_id: int
    target: str
    response: ClientResponse
    metadata: ResponseMetadata
    version: str | None = None
    is_direct: bool = True
    outcome: AttemptOutcome = AttemptOutcome.BROKEN
    pace: StreamPace = field(default_factory=StreamPace)


@asynccontextmanager
async def open_attempt(
    context: GatewayContext,
    call: Call,
    request: Request,
    decision: Grant | Forward,
    attempt_id: int,
    may_repeat: bool = False,
    handover: Handover | None = None,
    on_connection: Callable[[ClientConnection], None] | None = None,
) -> AsyncIterator[Attempt]:
    """Send one attempt and yield it once the response headers have been checked.

    The outcome is reported to the dispatcher on exit, also after a cancellation.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the handlers.
    call : Call
        The request, with the event after which its stream is resumed.
    request : Request
        The request as received.
    decision : Grant or Forward
        Target of the attempt.
    attempt_id : int
        Id of the attempt on this host.
    may_repeat : bool, optional
        Whether the request may be sent to another endpoint if this attempt fails.
    handover : Handover, optional
        Gives the request to another endpoint or host if the path is lost.
    on_connection : callable, optional
        Called with the connection just before the first byte is sent over it.

    Raises
    ------
    AttemptError
        If there is no response that can be relayed.
    ShortageError
        If this host cannot open a connection to any target.
    """
    request_sent = False
    not_run = False
    closed = False
    host = decision.host if isinstance(decision, Forward) else None

    def mark_request_sent() -> None:
        nonlocal request_sent
        request_sent = True

    def watch_connection(connection: ClientConnection) -> None:
        connection.request_ids.append(call.request_id)
        if handover is not None:
            context.open_attempts.add(attempt_id, host, connection, handover)
        if on_connection is not None:
            on_connection(connection)

    attempt = None
    started_s = context.clock()
    outcome: AttemptOutcome = AttemptOutcome.CANCELLED
    pool = _get_pool(context, decision)
    headers = build_attempt_headers(context, call, request, decision, attempt_id)
    try:
        async with pool.request(
            request.method,
            request.target,
            headers,
            request.body,
            mark_request_sent,
            on_connection=watch_connection,
        ) as response:
            if isinstance(decision, Grant):
                context.contact.record(context.clock())
            if isinstance(decision, Grant) and not may_repeat:
                response = await _skip_late(context, call, decision, response)
            metadata = context.dialect.parse_response(response.status, response.headers)
            await _report_notice(context, call, decision, metadata)
            _check_and_log(call, decision, response, metadata)
            attempt = Attempt(
                attempt_id,
                _get_target_name(decision),
                response,
                metadata,
                _get_version(decision, response),
                isinstance(decision, Grant),
                pace=StreamPace(context.clock()),
            )
            yield attempt
    except AttemptError as error:
        outcome = error.outcome
        not_run = error.verdict is Verdict.NOT_RUN
        closed = error.closed
        error.head_received = attempt is not None
        error.lasted_s = context.clock() - started_s
        raise
    except ShortageError:
        # Says nothing about the target, so the outcome stays ``CANCELLED``.
        raise
    except RequestError as error:
        raised = create_connection_error(error, request_sent)
        outcome = raised.outcome
        closed = raised.closed
        raised.head_received = attempt is not None
        raised.lasted_s = context.clock() - started_s
        raise raised from error
    finally:
        if attempt is not None and attempt.outcome is AttemptOutcome.SUCCEEDED:
            outcome = AttemptOutcome.SUCCEEDED
            closed = attempt.response.ends_with_connection
        async with curio.disable_cancellation():
            await context.open_attempts.remove(attempt_id, host)
            events = attempt.pace.count_events(context.clock()) if attempt else 0
            await context.dispatch_mailbox.send(
                AttemptEnded(attempt_id, outcome, closed, request_sent, events, not_run)
            )


async def _skip_late(
    context: GatewayContext, call: Call, grant: Grant, response: ClientResponse
) -> ClientResponse:
    """Return the first response that is no late one of an earlier request.

    The last of too many late ones is returned as it is. A response with the id of a
    request that the connection has not carried is wrongly labelled, and may be the
    only one.
    """
    for _ in range(MAX_SKIPPED_RESPONSES):
        metadata = context.dialect.parse_response(response.status, response.headers)
        foreign = is_foreign(call, metadata)
        if not foreign or not response.has_carried(metadata.request_id):
            break
        log_event(
            "response_skipped",
            request_id=call.request_id,
            target=grant.record.endpoint,
            status=response.status,
            response_id=metadata.request_id,
        )
        response = await response.skip()
    return response


async def report_response_start(
    context: GatewayContext, attempt: Attempt, has_events: bool
) -> None:
    """Tell the dispatcher that the response has started."""
    started = ResponseStarted(
        attempt.attempt_id,
        attempt.metadata.load,
        has_events,
        attempt.response.status >= CLIENT_ERROR,
        context.clock() - attempt.pace.received_s,
    )
    await context.dispatch_mailbox.send(started)


async def _report_notice(
    context: GatewayContext,
    call: Call,
    decision: Grant | Forward,
    metadata: ResponseMetadata,
) -> None:
    """Report that the endpoint leaves or wants a pause, if its response says so.

    The load of an endpoint that has not run the request is reported too.
    """
    if is_foreign(call, metadata):
        return
    if metadata.rate_limit is not None or metadata.rejection_limit is not None:
        log_routine(
            "rate_limit_named",
            request_id=call.request_id,
            target=_get_target_name(decision),
            per_s=metadata.rate_limit,
            rejections_per_s=metadata.rejection_limit,
        )
    if isinstance(decision, Forward) or metadata.misdirected:
        return
    notice = _create_notice(decision, metadata)
    if notice is None:
        return
    changed = await context.dispatch_mailbox.ask(notice)
    if changed is not None:
        await context.control_mailbox.send(AnnounceDrain(changed))


def _create_notice(
    decision: Grant, metadata: ResponseMetadata
) -> EndpointNotice | None:
    """Return what a response announces, or None if that is nothing new."""
    load = metadata.load if metadata.not_run else None
    rate_limit, rejection_limit = metadata.rate_limit, metadata.rejection_limit
    is_named = rate_limit is not None or rejection_limit is not None
    if metadata.not_run:
        # A response without a run says nothing by naming no limit.
        rate_limit = decision.rate_limit if rate_limit is None else rate_limit
        if rejection_limit is None:
            rejection_limit = decision.rejection_limit
    known = (decision.rate_limit, decision.rejection_limit)
    is_rate_known = is_named or (metadata.authentic and not metadata.not_run)
    is_rate_new = is_rate_known and (rate_limit, rejection_limit) != known
    announces = metadata.leaving or metadata.pause_s is not None or load is not None
    if not announces and not is_rate_new:
        return None
    return EndpointNotice(
        decision.record,
        metadata.leaving,
        metadata.pause_s,
        load,
        rate_limit,
        is_rate_known,
        rejection_limit,
    )


def _check_and_log(
    call: Call,
    decision: Grant | Forward,
    response: ClientResponse,
    metadata: ResponseMetadata,
) -> None:
    """Raise `AttemptError`, and log the head, unless the response can be relayed."""
    try:
        check_response(call, decision, response, metadata)
    except AttemptError as error:
        log_routine(
            "response_rejected",
            request_id=call.request_id,
            target=_get_target_name(decision),
            status=response.status,
            response_id=metadata.request_id,
            used_connection=response.is_on_used_connection,
            not_run=metadata.not_run,
            verdict=error.verdict.value,
        )
        raise


def _get_pool(context: GatewayContext, decision: Grant | Forward) -> HttpPool:
    now_s = context.clock()
    if isinstance(decision, Forward):
        return context.pools.get_host_pool(decision.host, now_s)
    return context.pools.get_endpoint_pool(
        decision.record, decision.connection_limit, now_s
    )


def _get_target_name(decision: Grant | Forward) -> str:
    if isinstance(decision, Forward):
        return decision.host
    return decision.record.endpoint


def _get_version(decision: Grant | Forward, response: ClientResponse) -> str | None:
    if isinstance(decision, Forward):
        return response.headers.get(VERSION_HEADER)
    return decision.version
