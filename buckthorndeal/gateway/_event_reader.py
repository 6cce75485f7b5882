"""Reading of the events of a response, within the memory of the process."""

from buckthorndeal.errors import WireError
from buckthorndeal.gateway._events import EventSplitter, RawEvent
from buckthorndeal.gateway._response_check import create_stream_error
from buckthorndeal.http_client import ClientResponse
from buckthorndeal.memory import UNBOOKED_BYTES


class EventReader:
    """Reads the events of one response.

    Nothing is booked for complete events of a response that has had no long one.

    Parameters
    ----------
    response : ClientResponse
        The response.
    """

    def __init__(self, response: ClientResponse) -> None:
        self._response = response
        self._splitter = EventSplitter()
        self._pending_bytes = 0
        self._is_booked = False
        response.memory.set_clear(self._splitter.clear)

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the received data ends with a complete event."""
        return self._splitter.is_at_event_boundary

    async def read(self) -> list[RawEvent] | None:
        """Return the events that the next part completes; None at the end.

        Raises
        ------
        AttemptError
            If an event or its id is too long.
        RequestError
            If the connection breaks, or if this process lacks memory for an event.
        """
        part = await self._response.read_part()
        if not part:
            return None
        held_bytes = self._pending_bytes + len(part)
        try:
            events = self._splitter.feed(part)
        except WireError as error:
            raise create_stream_error(str(error)) from error
        self._pending_bytes = self._splitter.pending_bytes
        if self._is_booked or self._pending_bytes > UNBOOKED_BYTES:
            self._is_booked = True
            await self._response.memory.hold(held_bytes)
        return events

    def start_passing_on(self) -> None:
        """Keep the events from being cut, as they are complete."""
        if self._is_booked:
            self._response.memory.settle()

    async def end_passing_on(self) -> None:
        """Hold only what is incomplete from now on."""
        if self._is_booked:
            await self._response.memory.reopen(self._pending_bytes)
