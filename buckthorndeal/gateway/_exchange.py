"""A caller's request from its arrival to its final answer."""

from dataclasses import dataclass, field, replace

import curio

from buckthorndeal.configuration import RequestKind
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.gateway._attempt import (
    Attempt,
    AttemptError,
    open_attempt,
    report_response_start,
)
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._events import EventSplitter, RawEvent
from buckthorndeal.gateway._headers import remove_hop_by_hop
from buckthorndeal.gateway._messages import (
    AttemptEnded,
    Call,
    Decision,
    Dispatch,
    Forward,
    Refusal,
)
from buckthorndeal.http_server import Request, Responder
from buckthorndeal.logs import log_event
from buckthorndeal.policy.views import AttemptOutcome

OK = 200
SERVER_ERROR = 500
# Attempts that endpoints refused; each takes a round trip.
MAX_NOT_RUN_ATTEMPTS = 3


@dataclass(eq=False)
class Progress:
    """How far a request has got.

    Parameters
    ----------
    runs : int
        Attempts that may have run.
    not_run_attempts : int
        Attempts that certainly have not.
    request_sent : bool
        Whether any attempt has reached an endpoint.
    last_event : int or None
        Last event that was passed on.
    first_response_s : float or None
        When the first part of the answer was passed on.
    longest_pause_s : float
        Longest time between two parts of the answer.
    """

    runs: int = 0
    not_run_attempts: int = 0
    request_sent: bool = False
    excluded: set[str] = field(default_factory=set)
    avoided: set[str] = field(default_factory=set)
    last_event: int | None = None
    events: int = 0
    first_response_s: float | None = None
    last_response_s: float = 0.0
    longest_pause_s: float = 0.0

    def record_response_part(self, now_s: float) -> None:
        """Note that a part of the answer is passed on."""
        if self.first_response_s is None:
            self.first_response_s = now_s
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now_s - self.last_response_s
            )
        self.last_response_s = now_s


@dataclass(frozen=True)
class BufferedResponse:
    """An answer that was read completely."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Exchange:
    """Runs the attempts of one request and passes the answer on.

    Parameters
    ----------
    context : GatewayContext
        Shared parts.
    call : Call
        The request, for decisions.
    request : Request
        The request as received.
    responder : Responder
        Answer to the caller.
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
        self.progress = Progress(last_event=call.resume_after)
        self._failed_response: BufferedResponse | None = None
        # Only the host that the caller chose counts how often a request has run.
        self._max_runs = 1 if call.hops else call.route.max_attempts

    async def run(self) -> None:
        """Answer the request.

        Raises
        ------
        RequestError
            If there is no answer; after the answer has begun the connection has to
            be closed.
        """
        remaining_s = self._call.deadline_s - self._context.clock()
        try:
            async with curio.timeout_after(max(0.0, remaining_s)):
                await self._run_attempts()
        except curio.TaskTimeout:
            raise self._create_error("deadline", 504, "no answer in time") from None

    async def _run_attempts(self) -> None:
        while True:
            attempt_id = next(self._context.attempt_ids)
            decision = await self._request_decision(attempt_id)
            if isinstance(decision, Refusal):
                await self._handle_refusal(decision)
                return
            try:
                async with open_attempt(
                    self._context,
                    self._create_attempt_call(),
                    self._request,
                    decision,
                    attempt_id,
                ) as attempt:
                    if await self._relay_response(attempt):
                        return
            except AttemptError as error:
                self._record_failure(decision, error)

    async def _request_decision(self, attempt_id: int) -> Decision:
        progress = self.progress
        dispatch = Dispatch(
            attempt_id,
            self._call,
            progress.request_sent,
            frozenset(progress.excluded),
            frozenset(progress.avoided),
        )
        decided = False
        try:
            decision = await self._context.dispatch_mailbox.ask(dispatch)
            decided = True
            return decision
        finally:
            if not decided:
                # The dispatcher may be about to grant what nobody waits for.
                async with curio.disable_cancellation():
                    await self._context.dispatch_mailbox.send(
                        AttemptEnded(attempt_id, None)
                    )

    def _create_attempt_call(self) -> Call:
        if self.progress.last_event == self._call.resume_after:
            return self._call
        return replace(self._call, resume_after=self.progress.last_event)

    async def _handle_refusal(self, refusal: Refusal) -> None:
        if self._failed_response is not None:
            await self._respond(self._failed_response)
            return
        raise self._create_error(
            refusal.reason.value,
            503,
            "the request cannot be served now",
            refusal.retry_after_s,
        )

    def _create_error(
        self,
        code: str,
        status: int,
        message: str,
        retry_after_s: float | None = None,
    ) -> RequestError:
        if self.progress.runs or status == 504:
            final_status = 504 if status == 504 else 502
            return RequestError(code, final_status, message, Verdict.MAY_HAVE_RUN)
        return RequestError(
            code, status, message, Verdict.NOT_RUN, retry_after_s=retry_after_s
        )

    def _record_failure(self, decision: Decision, error: AttemptError) -> None:
        """Decide whether another attempt is allowed; raise if it is not."""
        progress = self.progress
        target = (
            decision.region
            if isinstance(decision, Forward)
            else decision.record.endpoint
        )
        progress.excluded.add(target)
        progress.request_sent = progress.request_sent or error.request_sent
        log_event(
            "attempt_failed",
            request_id=self._call.request_id,
            target=target,
            reason=error.reason,
            verdict=error.verdict.value,
            arrived=error.request_sent,
            events=progress.events,
        )
        if error.verdict is Verdict.NOT_RUN:
            progress.not_run_attempts += 1
            if progress.not_run_attempts >= MAX_NOT_RUN_ATTEMPTS:
                raise self._create_error("not_accepted", 503, error.reason, 0.5)
            return
        progress.runs += 1
        if not self._call.route.repeatable or progress.runs >= self._max_runs:
            raise self._create_error("attempt_failed", 502, error.reason)

    async def _relay_response(self, attempt: Attempt) -> bool:
        """Pass an answer on; return False if another attempt is to be made."""
        response = attempt.response
        is_stream = self._call.route.kind is RequestKind.STREAM
        if is_stream and response.status == OK:
            await self._relay_events(attempt)
            return True
        body = await response.read()
        await report_response_start(self._context, attempt)
        answer = BufferedResponse(
            response.status, list(remove_hop_by_hop(response.headers).items()), body
        )
        failed = response.status >= SERVER_ERROR
        attempt.outcome = AttemptOutcome.SUCCEEDED
        self.progress.record_response_part(self._context.clock())
        if failed and self._may_retry_failure():
            self._failed_response = answer
            self.progress.runs += 1
            self.progress.request_sent = True
            self.progress.avoided.add(attempt.target)
            return False
        await self._respond(answer)
        return True

    def _may_retry_failure(self) -> bool:
        repeatable = self._call.route.repeatable
        return repeatable and self.progress.runs + 1 < self._max_runs

    async def _respond(self, answer: BufferedResponse) -> None:
        if self._responder.started:
            raise self._create_error("attempt_failed", 502, "the stream broke off")
        await self._responder.respond_whole(answer.status, answer.headers, answer.body)

    async def _relay_events(self, attempt: Attempt) -> None:
        splitter = EventSplitter()
        reported = False
        while part := await attempt.response.read_part():
            data, fault = self._select_new_events(splitter.feed(part))
            if data and not reported:
                reported = True
                await report_response_start(self._context, attempt)
            if data:
                self.progress.record_response_part(self._context.clock())
                await self._start_response(attempt)
                await self._responder.send(data)
            if fault is not None:
                raise _create_stream_error(fault)
        if not splitter.is_at_event_boundary:
            raise _create_stream_error("the stream ended within an event")
        await self._start_response(attempt)
        attempt.outcome = AttemptOutcome.SUCCEEDED
        await self._responder.finish()

    async def _start_response(self, attempt: Attempt) -> None:
        if not self._responder.started:
            headers = list(remove_hop_by_hop(attempt.response.headers).items())
            await self._responder.start(attempt.response.status, headers)

    def _select_new_events(self, events: list[RawEvent]) -> tuple[bytes, str | None]:
        """Return the events that continue the stream, and what is wrong after them."""
        progress = self.progress
        parts = []
        for event in events:
            event_id = event.event_id
            if event_id is not None and progress.last_event is not None:
                if event_id <= progress.last_event:
                    continue
                if event_id != progress.last_event + 1:
                    fault = f"event {event_id} follows {progress.last_event}"
                    return b"".join(parts), fault
            if event_id is not None:
                progress.last_event = event_id
            progress.events += 1
            parts.append(event.data)
        return b"".join(parts), None


def _create_stream_error(reason: str) -> AttemptError:
    return AttemptError(reason, Verdict.MAY_HAVE_RUN, True, AttemptOutcome.BROKEN)
