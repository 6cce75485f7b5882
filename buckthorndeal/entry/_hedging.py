"""One step of a call: an attempt, or two at once for a hedged lookup."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from buckthorndeal.entry._attempts import (
    Attempt,
    EntryContext,
    choose_route,
    get_target_name,
    open_attempt,
)
from buckthorndeal.entry._messages import Call, EndpointResponse, Progress, Route
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.policy.views import AttemptOutcome

RETRY_AFTER_S = 1.0

AttemptReader = Callable[[Attempt], Awaitable[EndpointResponse | None]]


@dataclass(eq=False, slots=True)
class AttemptPlan:
    """An attempt along a route, and how its answer is read.

    Parameters
    ----------
    hedged : frozenset of str
        Endpoint of the second attempt, once it was started.
    """

    context: EntryContext
    call: Call
    progress: Progress
    read_attempt: AttemptReader
    attempt_id: str
    route: Route
    hedged_endpoints: frozenset[str] = frozenset()


async def run_single(plan: AttemptPlan) -> EndpointResponse | None:
    """Return the answer of one attempt.

    Raises
    ------
    RequestError
        If the attempt failed or the endpoint has no room.
    """
    async with open_attempt(
        plan.context, plan.call, plan.progress, plan.attempt_id, plan.route
    ) as attempt:
        answer = await plan.read_attempt(attempt)
    if attempt.outcome is AttemptOutcome.SUCCEEDED:
        return answer
    raise RequestError(
        "endpoint_overloaded",
        503,
        "the endpoint has no room",
        plan.progress.verdict,
        RETRY_AFTER_S,
    )


async def run_hedged(plan: AttemptPlan) -> EndpointResponse:
    """Return the first answer of an attempt and of a later one at another endpoint.

    The slower attempt is cancelled, which also cancels it at its endpoint.
    """
    ended = curio.Event()
    errors: list[RequestError] = []
    winners: list[AttemptPlan] = []

    async def run(part: AttemptPlan) -> EndpointResponse | None:
        try:
            answer = await run_single(part)
        except RequestError as error:
            errors.append(error)
            return None
        finally:
            await ended.set()
        winners.append(part)
        return answer

    # `object` ends the group with the first answer; a failed attempt gives None.
    async with curio.TaskGroup(wait=object) as group:
        await group.spawn(run, plan)
        await curio.ignore_after(plan.route.hedge_after_s, ended.wait)
        hedge_plan = None if ended.is_set() else await _create_hedge(plan)
        if hedge_plan is not None:
            await group.spawn(run, hedge_plan)
    if winners:
        plan.progress.state = winners[0].progress.state
        plan.progress.hedge = None
    elif errors:
        _keep_dispatched_state(plan.progress)
        raise errors[0]
    return group.result


async def _create_hedge(plan: AttemptPlan) -> AttemptPlan | None:
    context, call = plan.context, plan.call
    first = get_target_name(plan.route)
    attempt_id, route = await choose_route(context, call, frozenset({first}))
    name = get_target_name(route)
    # A second attempt in another region would cost a credit and two link delays.
    if name is None or route.decision.endpoint is None:
        return None
    context.metrics.count("hedges_total", service=call.service_name)
    plan.hedged_endpoints = frozenset({name})
    progress = Progress(state="admitted")
    plan.progress.hedge = progress
    return AttemptPlan(context, call, progress, plan.read_attempt, attempt_id, route)


def _keep_dispatched_state(progress: Progress) -> None:
    """Let a call whose attempts both failed go on from what may have run."""
    if progress.verdict is Verdict.MAY_HAVE_RUN and progress.hedge is not None:
        if progress.chart.get_verdict(progress.state) is Verdict.NOT_RUN:
            progress.state = progress.hedge.state
    progress.hedge = None
