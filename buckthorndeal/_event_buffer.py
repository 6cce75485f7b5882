"""Splits a byte stream at the empty lines that end server-sent events."""

import re

from buckthorndeal.errors import WireError

MAX_EVENT_BYTES = 1 << 20
PART_BYTES = 16_384
# An event id with more digits is malformed; Python refuses to convert over 4,300.
MAX_ID_DIGITS = 18
_EVENT_END = re.compile(rb"\n\r?\n")
# Bytes of an incomplete `_EVENT_END` at the end of the data.
_END_OVERLAP_BYTES = 2


class EventBuffer:
    """Received bytes up to the end of the next event.

    Each byte is searched once, however small the pieces are in which it arrives. They
    are kept in parts of one size: hundreds of buffers that grow to 1 MiB at the same
    time fragment the heap of the process, which then uses a quarter more memory.

    Attributes
    ----------
    pending_bytes : int
        Number of bytes of an incomplete event.
    """

    def __init__(self) -> None:
        self._parts: list[bytearray] = []
        self._tail = b""
        self.pending_bytes = 0

    @property
    def is_at_event_boundary(self) -> bool:
        """Whether the received data ends with a complete event."""
        return not any(part.strip(b"\r\n") for part in self._parts)

    def clear(self) -> None:
        """Drop the bytes of an incomplete event."""
        self._parts.clear()
        self._tail = b""
        self.pending_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add received data and return the events that it completes.

        An event includes the empty line that ends it.

        Raises
        ------
        WireError
            If an event is longer than `MAX_EVENT_BYTES`.
        """
        overlap = len(self._tail)
        searched = self._tail + data
        events = []
        start = 0
        position = 0
        while match := _EVENT_END.search(searched, position):
            position = match.end()
            end = position - overlap
            event = data[start:end]
            events.append(self._take(event) if self._parts else bytes(event))
            start = end
        self._keep(data[start:] if start else data)
        kept = searched[position:] if position else searched
        self._tail = bytes(kept[-_END_OVERLAP_BYTES:])
        if self.pending_bytes > MAX_EVENT_BYTES:
            raise WireError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events

    def _take(self, end: bytes) -> bytes:
        """Return the event that `end` completes."""
        event = b"".join((*self._parts, end))
        self.clear()
        return event

    def _keep(self, data: bytes) -> None:
        if not data:
            return
        self.pending_bytes += len(data)
        if self._parts and len(self._parts[-1]) + len(data) <= PART_BYTES:
            self._parts[-1] += data
        else:
            self._parts.append(bytearray(data))


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
