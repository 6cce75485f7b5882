"""Choice of the route of an attempt, asked of the router task and logged."""

import curio

from buckthorndeal.entry._context import EntryContext
from buckthorndeal.entry._messages import Call, ChooseRoute, EndAttempt, Route
from buckthorndeal.logs import log_decision
from buckthorndeal.policy.views import RouteRequest


async def choose_route(
    context: EntryContext,
    call: Call,
    excluded: frozenset[str],
    may_hedge: bool = False,
) -> tuple[str, Route]:
    """Choose the route of a new attempt and log the decision in one line.

    Parameters
    ----------
    context : EntryContext
        Shared context of the entry host.
    call : Call
        Call to run.
    excluded : frozenset of str
        Endpoints and hosts tried before. If not empty, the attempt is a retry and
        needs retry budget.
    may_hedge : bool
        Whether a second attempt may run in parallel.

    Returns
    -------
    tuple of str and Route
        Id of the attempt, and its route.
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
        # The router task may already count the attempt as running.
        await end_attempt(context, EndAttempt(attempt_id))
        raise
    log_route(context, call, attempt_id, route)
    return attempt_id, route


def create_route_request(
    call: Call, excluded: frozenset[str] = frozenset()
) -> RouteRequest:
    """Return what the router task has to know of a call to choose its route."""
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
    """Log the routing decision of an attempt."""
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
    """Return the endpoint or entry host of a route, or None if it has neither."""
    if route.decision.endpoint is not None:
        return route.decision.endpoint.name
    return route.host.host if route.host is not None else None


async def end_attempt(context: EntryContext, message: EndAttempt) -> None:
    """Tell the router task that an attempt has ended, also when it is cancelled."""
    async with curio.disable_cancellation():
        await context.router_mailbox.send(message)
