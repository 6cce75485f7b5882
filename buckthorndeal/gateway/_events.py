"""Splits a server-sent event stream into events without decoding their data."""

from dataclasses import dataclass

from buckthorndeal._event_buffer import EventBuffer, parse_event_index

ID_FIELD = b"id:"
DATA_FIELD = b"data:"


@dataclass(slots=True)
class RawEvent:
    """One event as received.

    Parameters
    ----------
    data : bytes
        Bytes of the event, including the empty line that ends it.
    event_id : int or None
        Id of the event; None if it is missing or not a number.
    """

    data: bytes
    event_id: int | None

    @property
    def carries_data(self) -> bool:
        """Whether it has a number or data."""
        return self.event_id is not None or DATA_FIELD in self.data

    @property
    def is_comment(self) -> bool:
        """Whether it has nothing but comments."""
        return all(line[:1] in (b"", b":") for line in self.data.splitlines())


class EventSplitter:
    """Incremental parser that returns only complete events."""

    def __init__(self) -> None:
        self._buffer = EventBuffer()

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the received data ends with a complete event."""
        return self._buffer.is_at_event_boundary

    @property
    def pending_bytes(self) -> int:
        """Number of bytes of an incomplete event."""
        return self._buffer.pending_bytes

    def clear(self) -> None:
        """Drop the bytes of an incomplete event."""
        self._buffer.clear()

    def feed(self, data: bytes) -> list[RawEvent]:
        """Add received data and return the events that it completes.

        Raises
        ------
        WireError
            If an event or its id is too long.
        """
        return [
            RawEvent(event, _find_event_id(event)) for event in self._buffer.feed(data)
        ]


def _find_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return parse_event_index(line[len(ID_FIELD) :].strip())
    return None
