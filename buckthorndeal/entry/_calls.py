"""Runs calls: repeated attempts, idempotency claims, forwarding to claim owners."""

from collections.abc import Callable

import curio
import msgspec
from absl import logging

from buckthorndeal.entry._attempts import (
    MAX_ATTEMPTS,
    REFUSAL_STATUSES,
    Attempt,
    PeerRefusalError,
    is_host_shortage,
    open_attempt,
    read_response,
)
from buckthorndeal.entry._claims import (
    Claims,
    create_outcome_unknown_error,
    get_claim_key,
)
from buckthorndeal.entry._context import EntryContext
from buckthorndeal.entry._hedging import (
    AttemptPlan,
    AttemptReader,
    run_hedged,
    run_single,
)
from buckthorndeal.entry._messages import (
    NO_CREDIT,
    Call,
    EndpointResponse,
    Progress,
    Route,
)
from buckthorndeal.entry._routes import choose_route, get_target_name, log_route
from buckthorndeal.errors import DECODING_ERRORS, RequestError, Verdict
from buckthorndeal.policy.views import AttemptOutcome, Decision

RETRY_AFTER_S = 1.0


async def run_with_deadline(
    context: EntryContext, call: Call, progress: Progress, work: Callable
) -> object:
    """Return the result of `work()` within the deadline of the call.

    Raises
    ------
    RequestError
        With status 504 and the verdict of `progress` when the deadline has passed.
    """
    try:
        async with curio.timeout_after(max(0.0, call.deadline_s - context.now())):
            return await work()
    except curio.TaskTimeout:
        raise RequestError(
            "deadline_exceeded",
            504,
            "the deadline has passed",
            progress.verdict,
            RETRY_AFTER_S,
        ) from None


async def run_attempts(
    context: EntryContext,
    call: Call,
    progress: Progress,
    read_attempt: AttemptReader,
    create_call: Callable[[], Call],
) -> EndpointResponse | None:
    """Try endpoints until one attempt succeeds.

    Parameters
    ----------
    context : EntryContext
        Shared context of the entry host.
    call : Call
        Call to run.
    progress : Progress
        State of the request.
    read_attempt : callable
        Coroutine function that reads the response of an attempt. It raises
        RequestError if the response is broken, and returns None if the outcome of
        the attempt is ``REFUSED``.
    create_call : callable
        Returns the call to send next; a resumed stream changes its body.

    Returns
    -------
    EndpointResponse or None
        What `read_attempt` returned for the attempt that succeeded.

    Raises
    ------
    RequestError
        If no attempt succeeds, with the verdict of `progress`.
    """
    excluded: frozenset[str] = frozenset()
    last_error: RequestError | None = None
    may_hedge = call.fields is None and call.idempotent
    for _ in range(MAX_ATTEMPTS):
        attempt_id, route = await choose_route(context, call, excluded, may_hedge)
        name = get_target_name(route)
        if name is None:
            last_error = last_error or _create_refusal(call, route.decision, progress)
            break
        if excluded:
            context.metrics.count("retries_total", service=call.service_name)
        excluded |= {name}
        plan = AttemptPlan(
            context, create_call(), progress, read_attempt, attempt_id, route
        )
        run = run_hedged if route.hedge_after_s is not None else run_single
        try:
            return await run(plan)
        except PeerRefusalError as error:
            # The spill credit expired in transit; another attempt may still succeed.
            if error.code != NO_CREDIT:
                raise _replace_verdict(error, progress) from error
            last_error = error
        except RequestError as error:
            last_error = error
        excluded |= plan.hedged_endpoints
        if progress.verdict is Verdict.MAY_HAVE_RUN:
            # The next response would need as much of the memory that is lacking.
            if not call.idempotent or is_host_shortage(last_error):
                break
            # After a failed connection of a retry, the state is "retrying" already.
            progress.advance_if_allowed("retry")
    raise _replace_verdict(last_error, progress)


def _create_refusal(call: Call, decision: Decision, progress: Progress) -> RequestError:
    return RequestError(
        decision.reason,
        503,
        f"no endpoint of service {call.service_name} can take the request",
        progress.verdict,
        decision.retry_after_s or RETRY_AFTER_S,
    )


def _replace_verdict(error: RequestError, progress: Progress) -> RequestError:
    retry_after_s = error.retry_after_s
    if retry_after_s is None and error.status in (502, 503, 504):
        retry_after_s = RETRY_AFTER_S
    return RequestError(
        error.code, error.status, error.message, progress.verdict, retry_after_s
    )


async def run_unary(
    context: EntryContext, call: Call, progress: Progress
) -> EndpointResponse:
    """Return the complete response of an idempotent call that is not streamed."""

    async def read_attempt(attempt: Attempt) -> EndpointResponse | None:
        if attempt.response.status in REFUSAL_STATUSES:
            attempt.outcome = AttemptOutcome.REFUSED
            return None
        response = await read_response(attempt)
        if call.fields is not None:
            _read_usage(attempt, response)
        return response

    return await run_with_deadline(
        context,
        call,
        progress,
        lambda: run_attempts(context, call, progress, read_attempt, lambda: call),
    )


class _CachedTokens(msgspec.Struct):
    cached_tokens: int | None = None


class _Usage(msgspec.Struct):
    completion_tokens: int = 0
    prompt_tokens_details: _CachedTokens | None = None


class _Completion(msgspec.Struct):
    usage: _Usage | None = None


_COMPLETION_DECODER = msgspec.json.Decoder(_Completion)


def _read_usage(attempt: Attempt, response: EndpointResponse) -> None:
    """Record the token counts of a model's response, if it has any."""
    try:
        usage = _COMPLETION_DECODER.decode(response.body).usage
    except DECODING_ERRORS:
        return
    if usage is None:
        return
    attempt.output_tokens = usage.completion_tokens
    if usage.prompt_tokens_details is not None:
        attempt.cached_tokens = usage.prompt_tokens_details.cached_tokens


class NonIdempotentRunner:
    """Runs non-idempotent calls in tasks that outlive a disconnected caller.

    A disconnected caller repeats the call with the same idempotency key. Because the
    first call runs to its end, the repeated one gets the recorded response instead of
    "may have run".
    """

    def __init__(self, context: EntryContext, claims: Claims) -> None:
        self._context = context
        self._claims = claims
        self._tasks: set[curio.Task] = set()

    @property
    def running(self) -> int:
        """Number of calls that have not ended."""
        return len(self._tasks)

    async def close(self) -> None:
        """Cancel the running calls; their claims then answer "may have run"."""
        for task in list(self._tasks):
            await task.cancel()

    async def run(self, call: Call, progress: Progress) -> EndpointResponse:
        """Return the response of a call; cancelling the caller does not cancel it."""
        task = await curio.spawn(self._run_task, call, progress, daemon=True)
        await task.wait()
        if isinstance(task.result, RequestError):
            raise task.result
        return task.result

    async def _run_task(
        self, call: Call, progress: Progress
    ) -> EndpointResponse | RequestError:
        self._tasks.add(await curio.current_task())
        try:
            return await self._run_call(call, progress)
        except RequestError as error:
            return error
        except Exception:
            logging.exception("non-idempotent call failed")
            return RequestError("internal", 500, "internal error", Verdict.MAY_HAVE_RUN)
        finally:
            self._tasks.discard(await curio.current_task())

    async def _run_call(self, call: Call, progress: Progress) -> EndpointResponse:
        home = call.identity.workspace.home_region
        owner = await self._claims.find_owner(home)
        if owner.host != self._context.host:
            return await self._forward(call, progress, owner)
        timeout_s = max(0.0, call.deadline_s - self._context.now())
        recorded = await self._claims.claim(call, timeout_s)
        if recorded is not None:
            return recorded
        progress.advance("claim")
        return await self._run_claimed(call, progress)

    async def _run_claimed(self, call: Call, progress: Progress) -> EndpointResponse:
        key = get_claim_key(call)
        try:
            response = await run_with_deadline(
                self._context,
                call,
                progress,
                lambda: run_attempts(
                    self._context, call, progress, read_response, lambda: call
                ),
            )
        except curio.CancelledError:
            # The host is stopping, and its ledger records nothing more.
            raise
        except Exception:
            if progress.verdict is Verdict.NOT_RUN:
                await self._claims.record_not_run(key)
            else:
                await self._claims.record_unknown_outcome(key)
            raise
        await self._claims.record_response(key, response)
        return response

    async def _forward(
        self, call: Call, progress: Progress, owner: object
    ) -> EndpointResponse:
        key = get_claim_key(call)
        may_have_run_before = self._claims.may_have_run(key)
        decision = Decision(None, owner.region, {}, "claim owner of the home region")
        route = Route(decision, owner)
        try:
            return await run_with_deadline(
                self._context,
                call,
                progress,
                lambda: self._send_to_owner(call, progress, route),
            )
        except RequestError as error:
            if isinstance(error, PeerRefusalError):
                if error.verdict is Verdict.NOT_RUN:
                    self._claims.withdraw_forward(key)
            elif may_have_run_before:
                raise create_outcome_unknown_error(
                    f"claim owner {owner.host} is unreachable after an earlier attempt"
                ) from error
            raise _replace_verdict(error, progress) from error

    async def _send_to_owner(
        self, call: Call, progress: Progress, route: Route
    ) -> EndpointResponse:
        attempt_id = self._context.create_id()
        log_route(self._context, call, attempt_id, route)
        async with open_attempt(
            self._context,
            call,
            progress,
            attempt_id,
            route,
            lambda: self._claims.record_forward(get_claim_key(call)),
        ) as attempt:
            return await read_response(attempt)
