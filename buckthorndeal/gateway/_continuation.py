"""Choice of the events of one response that continue a stream; no I/O."""

from dataclasses import dataclass

from buckthorndeal.gateway._events import RawEvent


@dataclass(frozen=True, slots=True)
class Selection:
    """What a caller gets of some events.

    Parameters
    ----------
    data : bytes
        Bytes of the selected events.
    count : int
        Number of these events, without comments.
    fault : str or None
        Why nothing more of the response may be passed on, if that is so.
    """

    data: bytes
    count: int
    fault: str | None


class EventSelector:
    """Selects what a caller gets of the events of one response.

    An endpoint that takes up a stream begins with the event after the last one, and
    may repeat older ones. Whatever has no number cannot be placed in the stream: it may
    be the text of an error.

    Parameters
    ----------
    last_event_id : int or None
        Number of the last event that the caller has, if any.

    Attributes
    ----------
    last_event_id : int or None
        Number of the last event that was selected, or that the caller has.
    count : int
        Number of all selected events, without comments.
    """

    def __init__(self, last_event_id: int | None) -> None:
        self._is_continuation = last_event_id is not None
        self.last_event_id = last_event_id
        self.count = 0

    def select(self, events: list[RawEvent]) -> Selection:
        """Return the new events up to the first fault."""
        before = self.count
        parts = []
        fault = None
        for event in events:
            fault = self._find_fault(event)
            if fault is not None:
                break
            if self._is_new(event):
                self._record(event)
                parts.append(event.data)
        return Selection(b"".join(parts), self.count - before, fault)

    def _find_fault(self, event: RawEvent) -> str | None:
        last = self.last_event_id
        if event.event_id is None:
            if self._is_continuation and not event.is_comment:
                return "an event without a number cannot continue the stream"
        elif last is not None and event.event_id > last + 1:
            return f"gap in the stream: event {event.event_id} follows {last}"
        return None

    def _is_new(self, event: RawEvent) -> bool:
        if event.event_id is not None:
            return self.last_event_id is None or event.event_id > self.last_event_id
        return bool(self.count) or not self._is_continuation

    def _record(self, event: RawEvent) -> None:
        if event.event_id is not None:
            self.last_event_id = event.event_id
        if event.event_id is not None or not event.is_comment:
            self.count += 1
