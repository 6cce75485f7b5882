"""Server-sent events: parsing, matching to a request and resuming a stream."""

from dataclasses import dataclass

from buckthorndeal._event_buffer import EventBuffer, parse_event_index
from buckthorndeal.errors import WireError

__all__ = [
    "Event",
    "EventParser",
    "StreamCursor",
    "StreamMismatchError",
    "create_cursor",
    "create_event_parser",
    "format_event",
]

END_DATA = "[DONE]"


class StreamMismatchError(WireError):
    """An event does not continue the response to this request."""


# Not frozen, because creating a frozen instance costs 1 us more for each token.
@dataclass(slots=True)
class Event:
    """One server-sent event.

    Parameters
    ----------
    id : str
        ``<request id>:<token index>``.
    data : str
        Payload; several data lines are joined with line breaks.
    kind : str
        Event type; ``message`` unless the event gives another.
    """

    id: str
    data: str
    kind: str = "message"


class EventParser:
    """Splits a byte stream into events.

    An event is only returned once the empty line that ends it has arrived, so a
    connection that breaks within an event does not yield a truncated token.
    """

    def __init__(self) -> None:
        self._buffer = EventBuffer()

    @property
    def pending_bytes(self) -> int:
        """Number of bytes of an incomplete event."""
        return self._buffer.pending_bytes

    def clear(self) -> None:
        """Drop the bytes of an incomplete event."""
        self._buffer.clear()

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes.

        Raises
        ------
        WireError
            If an event is too long or is not UTF-8.
        """
        events = [_parse_block(block) for block in self._buffer.feed(data)]
        return [event for event in events if event is not None]


def _parse_block(block: bytes) -> Event | None:
    try:
        lines = block.decode("utf-8").replace("\r\n", "\n").split("\n")
    except UnicodeDecodeError as error:
        raise WireError("an event is not UTF-8") from error
    event_id, kind, data = "", "", None
    for line in lines:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            data = value if data is None else f"{data}\n{value}"
        elif name == "id":
            event_id = value
        elif name == "event":
            kind = value
    return None if data is None else Event(event_id, data, kind or "message")


class StreamCursor:
    """Position in the response to one request, kept across attempts.

    Parameters
    ----------
    next_token : int
        Index of the next token to pass on.
    """

    def __init__(self, next_token: int) -> None:
        self.next_token = next_token
        self.ended = False

    def accept(self, event: Event, request_id: str) -> bool:
        """Advance by `event` and return whether to pass it on.

        The id of the end marker contains the index after the last token, so the end
        of another response, or an end before the last token, is not mistaken for the
        end of this one. Tokens that were already passed on are skipped.

        Raises
        ------
        StreamMismatchError
            If the event belongs to another request, reports an error, comes after
            the end or leaves a gap.
        WireError
            If the index of the event is too long.
        """
        event_request_id, _, index = event.id.rpartition(":")
        token = parse_event_index(index)
        if event_request_id != request_id or token is None:
            raise StreamMismatchError(
                f"an event does not belong to request {request_id!r}"
            )
        if event.kind != "message":
            raise StreamMismatchError("the endpoint reported an error")
        if self.ended or token > self.next_token:
            raise StreamMismatchError(
                f"received token {token} instead of {self.next_token}"
            )
        if event.data == END_DATA:
            if token != self.next_token:
                raise StreamMismatchError(
                    f"the stream ended at token {token} instead of {self.next_token}"
                )
            self.ended = True
            return True
        if token < self.next_token:
            return False
        self.next_token += 1
        return True


def format_event(event: Event) -> bytes:
    """Return the encoded form of an event."""
    if event.kind == "message" and "\n" not in event.data:
        return f"id: {event.id}\ndata: {event.data}\n\n".encode()
    lines = [f"id: {event.id}"]
    if event.kind != "message":
        lines.append(f"event: {event.kind}")
    lines.extend(f"data: {line}" for line in event.data.split("\n"))
    return ("\n".join(lines) + "\n\n").encode()


def create_event_parser() -> EventParser:
    """Return a parser for a new stream."""
    return EventParser()


def create_cursor(next_token: int = 0) -> StreamCursor:
    """Return a cursor whose next token has the index `next_token`."""
    return StreamCursor(next_token)
