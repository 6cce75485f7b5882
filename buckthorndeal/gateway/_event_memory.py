"""Memory that the long events of a stream hold."""

from buckthorndeal.gateway._events import EventSplitter, RawEvent
from buckthorndeal.http_client import ClientResponse


class EventMemory:
    """Books the events of one response once it has had a long one.

    Parameters
    ----------
    response : ClientResponse
        The response.
    splitter : EventSplitter
        Holds its incomplete event.

    Attributes
    ----------
    is_used : bool
        Whether anything has been booked.
    """

    def __init__(self, response: ClientResponse, splitter: EventSplitter) -> None:
        self._response = response
        self._splitter = splitter
        self.is_used = False

    async def hold(self, events: list[RawEvent]) -> None:
        """Hold complete events, which are not cut any more, and the incomplete one.

        Raises
        ------
        ResponseCutError
            If there is no room for them, or if the response was cut.
        """
        self.is_used = True
        memory = self._response.memory
        memory.set_clear(self._splitter.clear)
        complete_bytes = sum(len(event.data) for event in events)
        await memory.reopen(self._splitter.pending_bytes + complete_bytes)
        if events:
            memory.settle()

    async def keep_pending(self) -> None:
        """Hold only the incomplete event, as the others have been passed on.

        Raises
        ------
        ResponseCutError
            As `hold`.
        """
        await self._response.memory.reopen(self._splitter.pending_bytes)
