"""Relay of the events of a stream from one attempt to the caller."""

from collections.abc import Callable

from buckthorndeal.errors import WireError
from buckthorndeal.gateway._attempt import Attempt, report_response_start
from buckthorndeal.gateway._attempt_headers import VERSION_HEADER
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._continuation import EventSelector
from buckthorndeal.gateway._event_memory import EventMemory
from buckthorndeal.gateway._events import EventSplitter, RawEvent
from buckthorndeal.gateway._headers import remove_hop_by_hop
from buckthorndeal.gateway._progress import Progress
from buckthorndeal.gateway._response_check import create_stream_error
from buckthorndeal.gateway._stalls import StallWatch
from buckthorndeal.http_client import encode_headers
from buckthorndeal.http_server import Responder
from buckthorndeal.memory import UNBOOKED_BYTES
from buckthorndeal.policy.views import AttemptOutcome


class EventRelay:
    """Relays the events that an attempt adds to a stream.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the handlers.
    attempt : Attempt
        Its response has the events.
    progress : Progress
        Progress of the request.
    responder : Responder
        Sends the response to the caller.
    watch : StallWatch
        Ends the response when no event arrives for too long.
    names_version : bool
        Whether the caller is another host, which is told the software version.
    record_version : callable
        Called with the software version of the endpoint, or None, before the first
        event of the attempt is passed on.
    """

    def __init__(
        self,
        context: GatewayContext,
        attempt: Attempt,
        progress: Progress,
        responder: Responder,
        watch: StallWatch,
        names_version: bool,
        record_version: Callable[[str | None], None],
    ) -> None:
        self._context = context
        self._attempt = attempt
        self._progress = progress
        self._responder = responder
        self._watch = watch
        self._names_version = names_version
        self._record_version = record_version
        self._splitter = EventSplitter()
        self._memory = EventMemory(attempt.response, self._splitter)
        self._selector = EventSelector(progress.last_event_id)
        self._is_reported = False

    async def run(self) -> None:
        """Relay all events, and complete the response to the caller.

        Raises
        ------
        AttemptError
            If the stream breaks off or has an event that cannot be its next one.
        """
        while part := await self._attempt.response.read_part():
            await self._relay_part(part)
        self._check_end()
        await self._start_response()
        self._attempt.outcome = AttemptOutcome.SUCCEEDED
        await self._responder.finish()

    async def _relay_part(self, part: bytes) -> None:
        """Relay the events that a part completes.

        They are not booked, so nothing refers to them while the next part is awaited.
        """
        events = await self._split(part)
        selection = self._selector.select(events)
        self._progress.last_event_id = self._selector.last_event_id
        self._progress.events += selection.count
        self._attempt.pace.events += selection.count
        if selection.data and not self._is_reported:
            await self._report_start()
        if any(event.carries_data for event in events):
            self._watch.record_event()
        if selection.data:
            await self._send(selection.data)
        if selection.fault is not None:
            raise create_stream_error(selection.fault)

    async def _split(self, part: bytes) -> list[RawEvent]:
        try:
            events = self._splitter.feed(part)
        except WireError as error:
            raise create_stream_error(str(error)) from error
        if self._memory.is_used or self._splitter.pending_bytes > UNBOOKED_BYTES:
            # Before the events count as passed on, as it may fail.
            await self._memory.hold(events)
        return events

    async def _report_start(self) -> None:
        self._is_reported = True
        self._record_version(self._attempt.version)
        await report_response_start(self._context, self._attempt, has_events=True)

    async def _send(self, data: bytes) -> None:
        """Pass events on to the caller."""
        self._record_arrival()
        await self._start_response()
        await self._responder.send(data)
        sent_s = self._context.clock()
        self._attempt.pace.held_s += sent_s - self._progress.last_response_s
        if self._memory.is_used:
            await self._memory.keep_pending()

    def _record_arrival(self) -> None:
        now_s = self._context.clock()
        self._progress.record_response_part(now_s)
        if self._attempt.is_direct:
            self._context.contact.record(now_s)

    async def _start_response(self) -> None:
        if self._responder.started:
            return
        response = self._attempt.response
        headers = remove_hop_by_hop(response.headers)
        if self._names_version and self._attempt.version is not None:
            headers[VERSION_HEADER] = self._attempt.version
        await self._responder.start(
            response.status, encode_headers(list(headers.items()))
        )

    def _check_end(self) -> None:
        if not self._splitter.is_at_event_boundary:
            raise create_stream_error(
                "the stream ended in the middle of an event", closed=True
            )
        # The end of a stream is believed only together with an event, unless it is all
        # that the endpoint was asked for.
        closed = self._attempt.response.ends_with_connection
        if not self._selector.count and (closed or self._progress.events):
            raise create_stream_error("the stream ended without an event", closed)
