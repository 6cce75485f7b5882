"""Handling of one request: attempts, retries and relay of the response."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import replace
from functools import partial

import curio

from buckthorndeal.configuration import RequestKind, Route
from buckthorndeal.errors import RequestError, ShortageError, Verdict
from buckthorndeal.gateway._attempt import (
    Attempt,
    AttemptError,
    open_attempt,
    report_response_start,
)
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._decision_log import log_failed_attempt
from buckthorndeal.gateway._decisions import (
    get_target,
    report_unserved,
    request_decision,
)
from buckthorndeal.gateway._event_relay import EventRelay
from buckthorndeal.gateway._headers import remove_hop_by_hop
from buckthorndeal.gateway._messages import Call, Decision, Dispatch, Refusal
from buckthorndeal.gateway._open_attempts import Handover
from buckthorndeal.gateway._origins import find_stream_origin
from buckthorndeal.gateway._progress import BufferedResponse, Progress
from buckthorndeal.gateway._replacement import MAX_OVERLAP_S, Replacement
from buckthorndeal.gateway._response_check import create_stream_error
from buckthorndeal.gateway._stalls import (
    StallWatch,
    wait_for_descriptors,
    watch_stalls,
)
from buckthorndeal.http_client import ClientConnection, encode_headers
from buckthorndeal.http_server import Request, Responder
from buckthorndeal.mailbox import MailboxError
from buckthorndeal.policy.views import AttemptOutcome

OK = 200
SERVER_ERROR = 500
# Limit of attempts that no endpoint has run; each costs a round trip.
MAX_NOT_RUN_ATTEMPTS = 3
STOPPING_RETRY_S = 0.5
INTERNAL_RETRY_S = 1.0


class Exchange:
    """Runs the attempts of one request and relays the response.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the handlers.
    call : Call
        Description of the request for the dispatcher.
    request : Request
        The request as received.
    responder : Responder
        Sends the response to the caller.
    """

    def __init__(
        self,
        context: GatewayContext,
        call: Call,
        request: Request,
        responder: Responder,
    ) -> None:
        self._context = context
        self._call = call
        self._request = request
        self._responder = responder
        self.progress = Progress(last_event_id=call.resume_after)
        self._failed_response: BufferedResponse | None = None
        self._replacement = Replacement(
            context,
            self._open_replacement,
            self._record_failed_replacement,
            self._record_run,
        )
        # Only the host chosen by the caller retries a request that may have run.
        self._max_runs = 1 if call.hops else call.route.max_attempts

    async def run(self) -> None:
        """Respond to the request.

        Raises
        ------
        RequestError
            If there is no response to relay, or a started one broke off; in the
            latter case the caller's connection has to be closed.
        """
        remaining_s = self._call.deadline_s - self._context.clock()
        try:
            async with curio.timeout_after(max(0.0, remaining_s)):
                await self._run_attempts()
        except curio.TaskTimeout:
            raise self.progress.create_error(
                "deadline", 504, "the deadline passed before the response was complete"
            ) from None
        finally:
            self._keep_failed(None)
            await self._replacement.release()

    @property
    def route(self) -> Route:
        """Route of the request."""
        return self._call.route

    def create_stop_error(self) -> RequestError:
        """Return the error for a caller whose request this host cannot complete."""
        message = "the host stopped before the response was complete"
        return self._create_end_error("stopping", message, STOPPING_RETRY_S)

    def create_internal_error(self, message: str) -> RequestError:
        """Return the error for a caller whose request has failed unexpectedly."""
        return self._create_end_error("internal", message, INTERNAL_RETRY_S)

    def _create_end_error(
        self, code: str, message: str, retry_after_s: float
    ) -> RequestError:
        if self.progress.is_attempting:
            return RequestError(code, 502, message, Verdict.MAY_HAVE_RUN)
        return self.progress.create_error(code, 503, message, retry_after_s)

    async def _run_attempts(self) -> None:
        if self._is_taken_up():
            origin = await find_stream_origin(self._context, self._call)
            self._call = replace(
                self._call, service=origin.service, version=origin.version
            )
        while True:
            opening = self._replacement.take()
            if opening is not None:
                decision, opened = opening.decision, opening.enter()
            else:
                attempt_id, decision = await self._request_decision()
                if isinstance(decision, Refusal):
                    reason = decision.reason.value
                    message = f"the request was refused: {reason}"
                    status = decision.reason.status
                    await self._refuse(reason, message, decision.retry_after_s, status)
                    return
                opened = self._open_attempt(attempt_id, decision)
            # A cancellation leaves it set, for `create_stop_error`.
            self.progress.is_attempting = True
            try:
                async with opened as attempt:
                    if await self._relay_response(attempt):
                        return
                self.progress.is_attempting = False
            except ShortageError as error:
                self.progress.is_attempting = False
                if await self._may_continue_later():
                    continue
                await self._refuse(error.code, error.message, error.retry_after_s)
                return
            except AttemptError as error:
                self.progress.is_attempting = False
                await report_unserved(self._context, decision, error)
                self._record_failure(decision, error)

    async def _may_continue_later(self) -> bool:
        """Return whether a stream that lacks a descriptor is tried again, after a wait.

        What has not begun is refused at once, as other hosts can serve it.
        """
        if not self._responder.started:
            return False
        last_event_s = self.progress.last_response_s
        return await wait_for_descriptors(self.route, last_event_s, self._context.clock)

    def _open_attempt(
        self,
        attempt_id: int,
        decision: Decision,
        on_connection: Callable[[ClientConnection], None] | None = None,
        runs: int = 0,
    ) -> AbstractAsyncContextManager[Attempt]:
        """Return the context of an attempt; `runs` others go on beside it."""
        find = partial(self._find_replacement, get_target(decision))
        handover = Handover(find, self._replacement.release)
        may_retry = self._may_retry_run(runs)
        return open_attempt(
            self._context,
            self._create_attempt_call(),
            self._request,
            decision,
            attempt_id,
            # A host that has forwarded the request may retry it.
            self._call.route.retryable if self._call.hops else may_retry,
            handover if may_retry else None,
            on_connection or self.progress.record_connection,
        )

    @asynccontextmanager
    async def _open_replacement(
        self,
        attempt_id: int,
        decision: Decision,
        on_connection: Callable[[ClientConnection], None],
    ) -> AsyncIterator[Attempt]:
        """Open an attempt beside another one, and yield it if it can go on."""
        async with self._open_attempt(
            attempt_id, decision, on_connection, 1
        ) as attempt:
            status = attempt.response.status
            if status >= SERVER_ERROR or (status != OK and self.progress.events):
                raise create_stream_error(f"the response has status {status}")
            yield attempt

    def _is_taken_up(self) -> bool:
        """Return whether a caller takes up a stream of which no host has told more."""
        call = self._call
        is_stream = call.route.kind is RequestKind.STREAM
        return is_stream and call.resume_after is not None and call.version is None

    async def _request_decision(self) -> tuple[int, Decision]:
        """Return the id of the next attempt, and the decision on it."""
        progress = self.progress
        dispatch = self._create_dispatch(progress.request_sent)
        try:
            decision = await request_decision(self._context, dispatch)
        except MailboxError as error:
            raise self.create_internal_error(str(error)) from error
        return dispatch.attempt_id, decision

    def _create_dispatch(
        self, is_retry: bool, excluded: frozenset[str] = frozenset()
    ) -> Dispatch:
        return Dispatch(
            next(self._context.attempt_ids),
            self._call,
            is_retry,
            excluded.union(self.progress.excluded),
            frozenset(self.progress.avoided),
        )

    def _create_attempt_call(self) -> Call:
        if self.progress.last_event_id == self._call.resume_after:
            return self._call
        return replace(self._call, resume_after=self.progress.last_event_id)

    async def _refuse(
        self,
        code: str,
        message: str,
        retry_after_s: float | None,
        status: int = 503,
    ) -> None:
        """End a request of which no other attempt is made."""
        if self._failed_response is not None:
            await self._respond(self._failed_response)
            return
        raise self.progress.create_error(code, status, message, retry_after_s)

    def _record_failure(self, decision: Decision, error: AttemptError) -> None:
        """Record a failed attempt; raise `RequestError` if no retry is allowed."""
        progress = self.progress
        self._exclude(decision, error)
        if error.verdict is Verdict.NOT_RUN:
            progress.not_run_attempts += 1
            too_many = progress.not_run_attempts >= MAX_NOT_RUN_ATTEMPTS
            # An attempt that goes on elsewhere may run the request.
            if too_many and not self._replacement.is_open:
                raise self.progress.create_error("not_accepted", 503, error.reason, 0.5)
            return
        progress.runs += 1
        # The next one would need as much of the memory that this host lacks.
        is_worth_it = not error.is_shortage or self._replacement.is_open
        may_repeat = (
            is_worth_it
            and self._call.route.retryable
            and progress.runs < self._max_runs
        )
        if not may_repeat or not self._can_continue():
            raise self.progress.create_error("attempt_failed", 502, error.reason)

    def _exclude(self, decision: Decision, error: AttemptError) -> None:
        """Log a failed attempt, and keep the request from its target."""
        progress, target = self.progress, get_target(decision)
        progress.excluded.add(target)
        progress.request_sent = progress.request_sent or error.request_sent
        log_failed_attempt(
            self._context, self._call, target, decision, error, progress.events
        )

    async def _relay_response(self, attempt: Attempt) -> bool:
        """Relay a response; return False if the request is to be retried instead."""
        response = attempt.response
        is_stream = self._call.route.kind is RequestKind.STREAM
        if is_stream and response.status == OK:
            await self._relay_events(attempt)
            return True
        body = await response.read()
        await report_response_start(self._context, attempt, has_events=False)
        buffered = BufferedResponse(
            response.status,
            encode_headers(list(remove_hop_by_hop(response.headers).items())),
            body,
        )
        failed = response.status >= SERVER_ERROR
        attempt.outcome = AttemptOutcome.SUCCEEDED
        self.progress.record_response_part(self._context.clock())
        if failed and self._may_retry_run():
            self._keep_failed(replace(buffered, booking=response.memory.take()))
            self.progress.runs += 1
            self.progress.request_sent = True
            self.progress.avoided.add(attempt.target)
            return False
        await self._respond(buffered)
        return True

    def _keep_failed(self, response: BufferedResponse | None) -> None:
        """Keep a response for a request that no other attempt answers."""
        if self._failed_response is not None:
            self._failed_response.release()
        self._failed_response = response

    def _can_continue(self) -> bool:
        """Return whether another endpoint can go on with what the caller has."""
        if not self.progress.events:
            return True
        has_number = self.progress.last_event_id is not None
        return has_number and self._call.version is not None

    def _may_retry_run(self, others: int = 0) -> bool:
        retryable = self._call.route.retryable
        return retryable and self.progress.runs + others + 1 < self._max_runs

    async def _respond(self, buffered: BufferedResponse) -> None:
        if self._responder.started:
            raise self.progress.create_error(
                "attempt_failed", 502, "the stream ended early and could not be resumed"
            )
        await self._responder.respond_whole(
            buffered.status, buffered.headers, buffered.body
        )

    async def _relay_events(self, attempt: Attempt) -> None:
        find = (
            partial(self._find_replacement, attempt.target)
            if self._may_retry_run()
            else None
        )
        watch = StallWatch(
            attempt.response,
            self._call.route,
            self._context.clock,
            find,
            self._replacement.release,
        )
        relay = EventRelay(
            self._context,
            attempt,
            self.progress,
            self._responder,
            watch,
            names_version=bool(self._call.hops),
            record_version=self._record_version,
        )
        async with watch_stalls(watch):
            await relay.run()

    async def _find_replacement(self, target: str) -> bool:
        """Return whether another endpoint or host takes what `target` has begun."""

        def create_dispatch() -> Dispatch | None:
            if not self._may_retry_run() or not self._can_continue():
                return None
            return self._create_dispatch(True, frozenset((target,)))

        is_stream = self._call.route.kind is RequestKind.STREAM
        overlap_s = MAX_OVERLAP_S if is_stream else None
        return await self._replacement.find(create_dispatch, overlap_s)

    async def _record_failed_replacement(
        self, decision: Decision, error: AttemptError
    ) -> None:
        """Record an attempt that has failed while the one before goes on."""
        await report_unserved(self._context, decision, error)
        self._exclude(decision, error)
        if error.verdict is not Verdict.NOT_RUN:
            self.progress.runs += 1

    def _record_run(self) -> None:
        """Record an attempt that may have run and was ended as the other went on."""
        self.progress.runs += 1
        self.progress.request_sent = True

    def _record_version(self, version: str | None) -> None:
        """Record the only software version at which the stream may continue."""
        self._call = replace(self._call, version=version)
