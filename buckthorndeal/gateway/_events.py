"""Cuts a stream into whole events without decoding what they carry."""

from dataclasses import dataclass

from buckthorndeal.errors import WireError

MAX_EVENT_BYTES = 1 << 20
ID_FIELD = b"id:"


@dataclass(slots=True)
class RawEvent:
    """One event as it was received.

    Parameters
    ----------
    data : bytes
        The event with the empty line that ends it.
    number : int or None
        Its id, if it is a number.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Returns whole events; an event that is cut off is never returned."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether everything received belongs to a whole event."""
        return not self._buffer.strip(b"\r\n")

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that `data` completes.

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
            raise WireError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events


def _find_end(buffer: bytes, start: int) -> int:
    """Return where the event from `start` on ends, or -1."""
    plain = buffer.find(b"\n\n", start)
    crlf = buffer.find(b"\r\n\r\n", start)
    if crlf >= 0 and (plain < 0 or crlf < plain):
        return crlf + 4
    return plain + 2 if plain >= 0 else -1


def _find_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
