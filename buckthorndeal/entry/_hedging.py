"""Runs one attempt of a call, or two in parallel for a hedged call."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from buckthorndeal.entry._attempts import Attempt, open_attempt
from buckthorndeal.entry._context import EntryContext
from buckthorndeal.entry._messages import Call, EndpointResponse, Progress, Route
from buckthorndeal.entry._routes import choose_route, get_target_name
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.policy.views import AttemptOutcome

RETRY_AFTER_S = 1.0

AttemptReader = Callable[[Attempt], Awaitable[EndpointResponse | None]]


@dataclass(eq=False, slots=True)
class AttemptPlan:
    """An attempt to run, with its route and the reader of its response.

    Parameters
    ----------
    read_attempt : callable
        Coroutine function that reads the response of the attempt.
    hedged_endpoints : frozenset of str
        Endpoint of the hedge (the second attempt), once it is started.
    """

    context: EntryContext
    call: Call
    progress: Progress
    read_attempt: AttemptReader
    attempt_id: str
    route: Route
    hedged_endpoints: frozenset[str] = frozenset()


async def run_single(plan: AttemptPlan) -> EndpointResponse | None:
    """Return the response of one attempt.

    Raises
    ------
    RequestError
        If the attempt fails or the endpoint is at capacity.
    """
    async with open_attempt(
        plan.context, plan.call, plan.progress, plan.attempt_id, plan.route
    ) as attempt:
        response = await plan.read_attempt(attempt)
    if attempt.outcome is AttemptOutcome.SUCCEEDED:
        return response
    raise RequestError(
        "endpoint_overloaded",
        503,
        "the endpoint is at capacity",
        plan.progress.verdict,
        RETRY_AFTER_S,
    )


async def run_hedged(plan: AttemptPlan) -> EndpointResponse:
    """Run a hedged call and return the response that is complete first.

    The second attempt (the hedge) starts at another endpoint if the first one has
    not ended after the hedge delay. The slower attempt is cancelled, which also
    cancels the call at its endpoint.

    Raises
    ------
    RequestError
        If all attempts fail.
    """
    ended = curio.Event()
    errors: list[RequestError] = []
    winners: list[AttemptPlan] = []

    async def run(attempt_plan: AttemptPlan) -> EndpointResponse | None:
        try:
            response = await run_single(attempt_plan)
        except RequestError as error:
            errors.append(error)
            return None
        finally:
            await ended.set()
        winners.append(attempt_plan)
        return response

    # With `wait=object`, the group ends with the first result that is not None;
    # a failed attempt returns None.
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
    first_target = get_target_name(plan.route)
    attempt_id, route = await choose_route(context, call, frozenset({first_target}))
    name = get_target_name(route)
    # A hedge in another region would cost a spill credit and two link delays.
    if name is None or route.decision.endpoint is None:
        return None
    context.metrics.count("hedges_total", service=call.service_name)
    plan.hedged_endpoints = frozenset({name})
    progress = Progress(state="admitted")
    plan.progress.hedge = progress
    return AttemptPlan(context, call, progress, plan.read_attempt, attempt_id, route)


def _keep_dispatched_state(progress: Progress) -> None:
    """Continue in the hedge's state if only the hedge was dispatched.

    After both attempts failed, the verdict must not fall back to "not run".
    """
    if progress.verdict is Verdict.MAY_HAVE_RUN and progress.hedge is not None:
        if progress.chart.get_verdict(progress.state) is Verdict.NOT_RUN:
            progress.state = progress.hedge.state
    progress.hedge = None
