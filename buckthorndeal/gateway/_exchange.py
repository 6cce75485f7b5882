"""A caller's request from its arrival to its final answer."""

from dataclasses import dataclass, field, replace

import curio

from buckthorndeal.configuration import RequestKind
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.gateway._attempt import (
    Attempt,
    AttemptError,
    note_first_answer,
    open_attempt,
)
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._events import EventSplitter, RawEvent
from buckthorndeal.gateway._headers import keep_end_to_end
from buckthorndeal.gateway._messages import (
    Call,
    Decision,
    Dispatch,
    Finished,
    Forward,
    Refusal,
)
from buckthorndeal.http_server import Request, Responder
from buckthorndeal.logs import log_event
from buckthorndeal.policy.views import AttemptOutcome

OK = 200
SERVER_ERROR = 500
# Attempts that endpoints refused; each takes a round trip.
MAX_UNRUN_ATTEMPTS = 3


@dataclass(eq=False)
class Progress:
    """How far a request has got.

    Parameters
    ----------
    runs : int
        Attempts that may have run.
    unrun : int
        Attempts that certainly have not.
    arrived : bool
        Whether any attempt has reached an endpoint.
    last_event : int or None
        Last event that was passed on.
    first_s : float or None
        When the first part of the answer was passed on.
    longest_pause_s : float
        Longest time between two parts of the answer.
    """

    runs: int = 0
    unrun: int = 0
    arrived: bool = False
    excluded: set[str] = field(default_factory=set)
    avoided: set[str] = field(default_factory=set)
    last_event: int | None = None
    events: int = 0
    first_s: float | None = None
    last_s: float = 0.0
    longest_pause_s: float = 0.0

    def note_answer(self, now_s: float) -> None:
        """Note that a part of the answer is passed on."""
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_s)
        self.last_s = now_s


@dataclass(frozen=True)
class WholeAnswer:
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
        self._fallback: WholeAnswer | None = None
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
        remaining_s = self._call.deadline_s - self._context.now()
        try:
            async with curio.timeout_after(max(0.0, remaining_s)):
                await self._run_attempts()
        except curio.TaskTimeout:
            raise self._create_error("deadline", 504, "no answer in time") from None

    async def _run_attempts(self) -> None:
        while True:
            ticket = next(self._context.tickets)
            decision = await self._decide(ticket)
            if isinstance(decision, Refusal):
                await self._refuse(decision)
                return
            try:
                async with open_attempt(
                    self._context,
                    self._get_call(),
                    self._request,
                    decision,
                    ticket,
                ) as attempt:
                    if await self._use(attempt):
                        return
            except AttemptError as error:
                self._note_failure(decision, error)

    async def _decide(self, ticket: int) -> Decision:
        progress = self.progress
        dispatch = Dispatch(
            ticket,
            self._call,
            progress.arrived,
            frozenset(progress.excluded),
            frozenset(progress.avoided),
        )
        decided = False
        try:
            decision = await self._context.dispatch.ask(dispatch)
            decided = True
            return decision
        finally:
            if not decided:
                # The dispatcher may be about to grant what nobody waits for.
                async with curio.disable_cancellation():
                    await self._context.dispatch.send(Finished(ticket, None))

    def _get_call(self) -> Call:
        if self.progress.last_event == self._call.resume_after:
            return self._call
        return replace(self._call, resume_after=self.progress.last_event)

    async def _refuse(self, refusal: Refusal) -> None:
        if self._fallback is not None:
            await self._respond(self._fallback)
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
            told = 504 if status == 504 else 502
            return RequestError(code, told, message, Verdict.MAY_HAVE_RUN)
        return RequestError(
            code, status, message, Verdict.NOT_RUN, retry_after_s=retry_after_s
        )

    def _note_failure(self, decision: Decision, error: AttemptError) -> None:
        """Decide whether another attempt is allowed; raise if it is not."""
        progress = self.progress
        target = (
            decision.region
            if isinstance(decision, Forward)
            else decision.endpoint.endpoint
        )
        progress.excluded.add(target)
        progress.arrived = progress.arrived or error.arrived
        log_event(
            "attempt_failed",
            request_id=self._call.request_id,
            target=target,
            reason=error.reason,
            verdict=error.verdict.value,
            arrived=error.arrived,
            events=progress.events,
        )
        if error.verdict is Verdict.NOT_RUN:
            progress.unrun += 1
            if progress.unrun >= MAX_UNRUN_ATTEMPTS:
                raise self._create_error("not_accepted", 503, error.reason, 0.5)
            return
        progress.runs += 1
        if not self._call.route.repeatable or progress.runs >= self._max_runs:
            raise self._create_error("attempt_failed", 502, error.reason)

    async def _use(self, attempt: Attempt) -> bool:
        """Pass an answer on; return False if another attempt is to be made."""
        response = attempt.response
        is_stream = self._call.route.kind is RequestKind.STREAM
        if is_stream and response.status == OK:
            await self._relay_events(attempt)
            return True
        body = await response.read()
        await note_first_answer(self._context, attempt)
        answer = WholeAnswer(
            response.status, list(keep_end_to_end(response.headers).items()), body
        )
        failed = response.status >= SERVER_ERROR
        attempt.outcome = AttemptOutcome.SUCCEEDED
        self.progress.note_answer(self._context.now())
        if failed and self._may_repeat_failure():
            self._fallback = answer
            self.progress.runs += 1
            self.progress.arrived = True
            self.progress.avoided.add(attempt.target)
            return False
        await self._respond(answer)
        return True

    def _may_repeat_failure(self) -> bool:
        repeatable = self._call.route.repeatable
        return repeatable and self.progress.runs + 1 < self._max_runs

    async def _respond(self, answer: WholeAnswer) -> None:
        if self._responder.started:
            raise self._create_error("attempt_failed", 502, "the stream broke off")
        await self._responder.respond_whole(answer.status, answer.headers, answer.body)

    async def _relay_events(self, attempt: Attempt) -> None:
        splitter = EventSplitter()
        noted = False
        while part := await attempt.response.read_part():
            data, fault = self._select(splitter.feed(part))
            if data and not noted:
                noted = True
                await note_first_answer(self._context, attempt)
            if data:
                self.progress.note_answer(self._context.now())
                await self._start(attempt)
                await self._responder.send(data)
            if fault is not None:
                raise _create_broken(fault)
        if not splitter.is_between_events:
            raise _create_broken("the stream ended within an event")
        await self._start(attempt)
        attempt.outcome = AttemptOutcome.SUCCEEDED
        await self._responder.finish()

    async def _start(self, attempt: Attempt) -> None:
        if not self._responder.started:
            headers = list(keep_end_to_end(attempt.response.headers).items())
            await self._responder.start(attempt.response.status, headers)

    def _select(self, events: list[RawEvent]) -> tuple[bytes, str | None]:
        """Return the events that continue the stream, and what is wrong after them."""
        progress = self.progress
        parts = []
        for event in events:
            number = event.number
            if number is not None and progress.last_event is not None:
                if number <= progress.last_event:
                    continue
                if number != progress.last_event + 1:
                    fault = f"event {number} follows {progress.last_event}"
                    return b"".join(parts), fault
            if number is not None:
                progress.last_event = number
            progress.events += 1
            parts.append(event.data)
        return b"".join(parts), None


def _create_broken(reason: str) -> AttemptError:
    return AttemptError(reason, Verdict.MAY_HAVE_RUN, True, AttemptOutcome.BROKEN)
