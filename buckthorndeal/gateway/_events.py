"""Splits a server-sent event stream into events without decoding their data."""

from dataclasses import dataclass

from buckthorndeal.errors import WireError

MAX_EVENT_BYTES = 1 << 20
ID_FIELD = b"id:"


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


class EventSplitter:
    """Incremental parser that returns only complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the received data ends with a complete event."""
        return not self._buffer.strip(b"\r\n")

    def feed(self, data: bytes) -> list[RawEvent]:
        """Add received data and return the events that it completes.

        Raises
        ------
        WireError
            If an event is longer than `MAX_EVENT_BYTES`.
        """
        buffer = self._buffer + data
        events = []
        start = 0
        while True:
            end = _find_end(buffer, start)
            if end < 0:
                break
            events.append(
                RawEvent(buffer[start:end], _find_event_id(buffer[start:end]))
            )
            start = end
        self._buffer = buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise WireError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events


def _find_end(buffer: bytes, start: int) -> int:
    """Return the end of the event that begins at `start`, or -1 if incomplete."""
    lf = buffer.find(b"\n\n", start)
    crlf = buffer.find(b"\r\n\r\n", start)
    if crlf >= 0 and (lf < 0 or crlf < lf):
        return crlf + 4
    return lf + 2 if lf >= 0 else -1


def _find_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
