"""Splits a byte stream at the empty lines that end server-sent events."""

import re

from buckthorndeal.errors import WireError

MAX_EVENT_BYTES = 1 << 20
# An event id with more digits is malformed; Python refuses to convert over 4,300.
MAX_ID_DIGITS = 18
_EVENT_END = re.compile(rb"\n\r?\n")
# Bytes of an incomplete `_EVENT_END` at the end of the data.
_END_OVERLAP_BYTES = 2


class EventBuffer:
    """Received bytes up to the end of the next event.

    Each byte is searched once, however small the pieces are in which it arrives.

    Attributes
    ----------
    pending_bytes : int
        Number of bytes of an incomplete event.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched_bytes = 0
        self.pending_bytes = 0

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the received data ends with a complete event."""
        return not self._buffer.strip(b"\r\n")

    def clear(self) -> None:
        """Drop the bytes of an incomplete event."""
        self._buffer.clear()
        self._searched_bytes = 0
        self.pending_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add received data and return the events that it completes.

        An event includes the empty line that ends it.

        Raises
        ------
        WireError
            If an event is longer than `MAX_EVENT_BYTES`.
        """
        buffer = self._buffer
        buffer += data
        events = []
        start = 0
        position = self._searched_bytes
        while match := _EVENT_END.search(buffer, position):
            position = match.end()
            events.append(bytes(buffer[start:position]))
            start = position
        del buffer[:start]
        self.pending_bytes = len(buffer)
        self._searched_bytes = max(0, self.pending_bytes - _END_OVERLAP_BYTES)
        if self.pending_bytes > MAX_EVENT_BYTES:
            raise WireError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events


def parse_event_index(value: str | bytes) -> int | None:
    """Return the number of an event; None if it is not one.

    Raises
    ------
    WireError
        If it has more than `MAX_ID_DIGITS` digits.
    """
    if not (value.isascii() and value.isdigit()):
        return None
    if len(value) > MAX_ID_DIGITS:
        raise WireError(f"the number of an event has {len(value)} digits")
    return int(value)
