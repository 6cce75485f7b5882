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
from buckthorndeal.entry._messages import Answer, Call, Progress, Route
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.policy.views import AttemptOutcome

RETRY_AFTER_S = 1.0

UseAttempt = Callable[[Attempt], Awaitable[Answer | None]]


@dataclass(eq=False, slots=True)
class AttemptStep:
    """An attempt along a route, and how its answer is read.

    Parameters
    ----------
    hedged : frozenset of str
        Endpoint of the second attempt, once it was started.
    """

    context: EntryContext
    call: Call
    progress: Progress
    use: UseAttempt
    attempt_id: str
    route: Route
    hedged: frozenset[str] = frozenset()


async def run_step(step: AttemptStep) -> Answer | None:
    """Return the answer of one attempt.

    Raises
    ------
    RequestError
        If the attempt failed or the endpoint has no room.
    """
    async with open_attempt(
        step.context, step.call, step.progress, step.attempt_id, step.route
    ) as attempt:
        answer = await step.use(attempt)
    if attempt.outcome is AttemptOutcome.SUCCEEDED:
        return answer
    raise RequestError(
        "endpoint_overloaded",
        503,
        "the endpoint has no room",
        step.progress.verdict,
        RETRY_AFTER_S,
    )


async def run_hedged(step: AttemptStep) -> Answer:
    """Return the first answer of an attempt and of a later one at another endpoint.

    The slower attempt is cancelled, which also cancels it at its endpoint.
    """
    ended = curio.Event()
    errors: list[RequestError] = []
    winners: list[AttemptStep] = []

    async def run(part: AttemptStep) -> Answer | None:
        try:
            answer = await run_step(part)
        except RequestError as error:
            errors.append(error)
            return None
        finally:
            await ended.set()
        winners.append(part)
        return answer

    # `object` ends the group with the first answer; a failed attempt gives None.
    async with curio.TaskGroup(wait=object) as group:
        await group.spawn(run, step)
        await curio.ignore_after(step.route.hedge_after_s, ended.wait)
        second = None if ended.is_set() else await _create_second(step)
        if second is not None:
            await group.spawn(run, second)
    if winners:
        step.progress.state = winners[0].progress.state
        step.progress.hedge = None
    elif errors:
        _keep_verdict(step.progress)
        raise errors[0]
    return group.result


async def _create_second(step: AttemptStep) -> AttemptStep | None:
    context, call = step.context, step.call
    first = get_target_name(step.route)
    attempt_id, route = await choose_route(context, call, frozenset({first}))
    name = get_target_name(route)
    # A second attempt in another region would cost a credit and two link delays.
    if name is None or route.decision.endpoint is None:
        return None
    context.metrics.count("hedges_total", service=call.service_name)
    step.hedged = frozenset({name})
    progress = Progress(state="admitted")
    step.progress.hedge = progress
    return AttemptStep(context, call, progress, step.use, attempt_id, route)


def _keep_verdict(progress: Progress) -> None:
    """Let a call whose attempts both failed go on from what may have run."""
    if progress.verdict is Verdict.MAY_HAVE_RUN and progress.hedge is not None:
        if progress.chart.get_verdict(progress.state) is Verdict.NOT_RUN:
            progress.state = progress.hedge.state
    progress.hedge = None
