"""Relays streamed responses to callers, and resumes them at another endpoint.

Each event is matched to its attempt, so that events of different requests are never
mixed.
"""

import curio
import msgspec

from buckthorndeal.entry._attempts import (
    REFUSAL_STATUSES,
    Attempt,
    create_mismatch_error,
    read_response,
)
from buckthorndeal.entry._calls import run_attempts, run_with_deadline
from buckthorndeal.entry._context import EntryContext
from buckthorndeal.entry._messages import Call, EndpointResponse, Progress
from buckthorndeal.errors import RequestError, WireError
from buckthorndeal.http_server import Responder, ResponseAborted
from buckthorndeal.memory import UNBOOKED_BYTES
from buckthorndeal.policy.views import AttemptOutcome
from buckthorndeal.streams import (
    Event,
    create_cursor,
    create_event_parser,
    format_event,
)

# The end marker has already been sent to the caller; the rest of the endpoint's
# response is only read so that the connection can be reused.
REMAINDER_TIMEOUT_S = 1.0
ERROR_EVENT_TIMEOUT_S = 1.0


class StreamRelay:
    """Forwards the events of one streamed call to its caller.

    Parameters
    ----------
    context : EntryContext
        Shared context of the entry host.
    call : Call
        Streamed call.
    progress : Progress
        State of the request.
    responder : Responder
        Response to the caller.
    """

    def __init__(
        self,
        context: EntryContext,
        call: Call,
        progress: Progress,
        responder: Responder,
    ) -> None:
        self._context = context
        self._call = call
        self._progress = progress
        self._responder = responder
        self._cursor = create_cursor(call.resume_from)
        self._is_writing = False
        self._last_write_s: float | None = None
        service = call.service_name
        self._gap_recorder = context.metrics.get_recorder(
            "token_gap_seconds", service=service
        )

    async def run(self) -> RequestError | None:
        """Relay the complete response.

        Returns
        -------
        RequestError or None
            The error that ended the stream as an error event, if any.

        Raises
        ------
        RequestError
            If the call fails before the response to the caller has started.
        """
        try:
            response = await run_with_deadline(
                self._context, self._call, self._progress, self._run_attempts
            )
        except RequestError as error:
            if self._cursor.ended:
                # The caller already has the complete response.
                return None
            if not self._responder.started:
                raise
            await self._send_error(error)
            return error
        if response is not None:
            await self._responder.respond(
                response.status,
                response.body,
                response.content_type,
                self._create_headers(),
            )
        return None

    async def _run_attempts(self) -> EndpointResponse | None:
        return await run_attempts(
            self._context,
            self._call,
            self._progress,
            self._relay_attempt,
            self._create_call,
        )

    def _create_call(self) -> Call:
        if self._cursor.next_token == self._call.resume_from:
            return self._call
        fields = {**self._call.fields, "resume_from": self._cursor.next_token}
        return self._call.replace_body(msgspec.json.encode(fields))

    async def _relay_attempt(self, attempt: Attempt) -> EndpointResponse | None:
        response = attempt.response
        if response.status in REFUSAL_STATUSES:
            attempt.outcome = AttemptOutcome.REFUSED
            return None
        if response.status != 200:
            return await self._read_error_response(attempt)
        try:
            await self._forward_all_events(attempt)
        except WireError as error:
            raise create_mismatch_error(str(error)) from error
        finally:
            self._context.metrics.count(
                "tokens_total", attempt.output_tokens, service=self._call.service_name
            )
        if not self._cursor.ended:
            raise create_mismatch_error("the stream ended before its last token")
        attempt.outcome = AttemptOutcome.SUCCEEDED
        await self._read_remainder(attempt)
        return None

    async def _read_error_response(self, attempt: Attempt) -> EndpointResponse:
        if self._responder.started:
            raise create_mismatch_error("the endpoint refused to resume the stream")
        return await read_response(attempt, "text/plain")

    async def _read_remainder(self, attempt: Attempt) -> None:
        await self._responder.finish()
        try:
            async with curio.ignore_after(REMAINDER_TIMEOUT_S):
                await attempt.response.read_part()
        except RequestError:
            pass

    async def _forward_all_events(self, attempt: Attempt) -> None:
        response, memory = attempt.response, attempt.response.memory
        parser = create_event_parser()
        memory.set_clear(parser.clear)
        pending_bytes = 0
        while not self._cursor.ended and (data := await response.read_part()):
            held_bytes = pending_bytes + len(data)
            events = parser.feed(data)
            pending_bytes = parser.pending_bytes
            is_long = memory.is_booked or pending_bytes > UNBOOKED_BYTES
            if is_long:
                await memory.hold(held_bytes)
                memory.settle()
            await self._forward_events(events, attempt)
            # They are not booked while the next part is awaited.
            del events
            if is_long:
                await memory.reopen(pending_bytes)

    async def _forward_events(self, events: list[Event], attempt: Attempt) -> None:
        accepted = []
        mismatch = None
        for event in events:
            try:
                if self._cursor.accept(event, attempt.attempt_id):
                    accepted.append(self._replace_event_id(event))
            except WireError as error:
                # Events before the mismatch have advanced the cursor and are sent.
                mismatch = error
                break
        if accepted:
            self._record_tokens(attempt, len(accepted))
            await self._write(b"".join(map(format_event, accepted)))
        if mismatch is not None:
            raise mismatch

    def _replace_event_id(self, event: Event) -> Event:
        index = event.id.rpartition(":")[2]
        return Event(f"{self._call.request_id}:{index}", event.data, event.kind)

    def _record_tokens(self, attempt: Attempt, count: int) -> None:
        now_s = self._context.now()
        metrics = self._context.metrics
        service = self._call.service_name
        if attempt.first_token_s is None:
            attempt.first_token_s = now_s - attempt.started_s
        if self._last_write_s is None:
            metrics.observe(
                "first_token_seconds", attempt.first_token_s, service=service
            )
        else:
            self._gap_recorder.record(now_s - self._last_write_s)
        self._last_write_s = now_s
        # The end marker is an event, but not a token.
        attempt.output_tokens += count - self._cursor.ended

    def _create_headers(self) -> list[tuple[str, str]]:
        return [("buckthorndeal-request-id", self._call.request_id)]

    async def _write(self, data: bytes) -> None:
        self._is_writing = True
        if not self._responder.started:
            content_type = ("content-type", "text/event-stream")
            await self._responder.start(200, [content_type, *self._create_headers()])
        await self._responder.send(data)
        self._is_writing = False

    async def _send_error(self, error: RequestError) -> None:
        if self._is_writing:
            raise ResponseAborted("a write to the caller was cut off") from error
        body = msgspec.json.encode(error.to_body()).decode()
        event_id = f"{self._call.request_id}:{self._cursor.next_token}"
        async with curio.timeout_after(ERROR_EVENT_TIMEOUT_S):
            await self._responder.send(format_event(Event(event_id, body, "error")))
            await self._responder.finish()
