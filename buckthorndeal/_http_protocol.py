"""State of the HTTP/1.1 protocol on a connection of a server."""

import re

import h11

from buckthorndeal._chunked_body import (
    ChunkDecoder,
    ChunkFramingError,
    create_chunk_decoder,
)
from buckthorndeal.errors import WireError
from buckthorndeal.settings import Limits

# An empty line at the beginning of a head or a trailer ends it.
_EMPTY_BLOCK = re.compile(rb"\r?\n")
_BLOCK_END = re.compile(rb"\n\r?\n")
# Bytes of an incomplete `_BLOCK_END` at the end of the data.
_END_OVERLAP_BYTES = 2


class ServerProtocol(h11.Connection):
    """State of one connection, which decodes chunked bodies by itself.

    h11 is given the head and the trailer of one request at a time, and bodies with a
    length. What follows is kept until the request is complete.

    Parameters
    ----------
    limits : Limits
        Limits of the server.
    """

    def __init__(self, limits: Limits) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self._limits = limits
        self._pending = bytearray()
        self._is_ended = False
        # Of the present head or trailer, what h11 was given.
        self._block_bytes = 0
        self._block_lines = 0
        self._block_tail = b""
        self._decoder: ChunkDecoder | None = None
        self._body_left = 0

    @property
    def pending_bytes(self) -> int:
        """Number of bytes that were received and are not decoded."""
        return self._block_bytes + len(self._pending)

    @property
    def chunk_count(self) -> int:
        """Number of chunks of the present body that have begun."""
        return self._decoder.chunk_count if self._decoder is not None else 0

    @property
    def trailing_data(self) -> tuple[bytes, bool]:
        """What was received and not decoded, and whether the caller has ended."""
        given, _ = super().trailing_data
        return given + bytes(self._pending), self._is_ended

    def receive_data(self, data: bytes) -> None:
        """Add received data, or the end of the connection if it is empty."""
        if data:
            self._pending += data
        else:
            self._is_ended = True

    def next_event(self) -> object:
        """Return the next event; the cost of a call is bounded.

        Raises
        ------
        h11.RemoteProtocolError
            If the request is malformed or exceeds a limit.
        """
        if self.their_state is h11.SEND_BODY and self._is_in_chunks():
            data = self._decode_chunks()
            if data:
                return h11.Data(data=data)
        self._feed()
        event = super().next_event()
        if isinstance(event, h11.Request):
            self._begin_body(event)
        return event

    def start_next_cycle(self) -> None:
        """Expect the next request."""
        super().start_next_cycle()
        self._decoder = None

    def _is_in_chunks(self) -> bool:
        return self._decoder is not None and not self._decoder.is_ended

    def _decode_chunks(self) -> bytes:
        try:
            data = self._decoder.decode(self._pending)
        except ChunkFramingError as error:
            raise h11.RemoteProtocolError(str(error), error_status_hint=413) from error
        except WireError as error:
            raise h11.RemoteProtocolError(str(error)) from error
        if self._decoder.is_ended:
            # The trailer is left to h11.
            super().receive_data(b"0\r\n")
        return data

    def _feed(self) -> None:
        """Give h11 what belongs to the present part of the request."""
        if self.their_state is not h11.SEND_BODY:
            self._feed_block()
        elif self._decoder is None:
            data = bytes(self._pending[: self._body_left])
            del self._pending[: len(data)]
            self._body_left -= len(data)
            if data:
                super().receive_data(data)
        elif self._decoder.is_ended:
            self._feed_block()
        if self._is_ended and (not self._pending or self._is_in_chunks()):
            super().receive_data(b"")

    def _feed_block(self) -> None:
        """Give h11 a head or a trailer, up to the empty line that ends it."""
        if self.their_state not in (h11.IDLE, h11.SEND_BODY) or not self._pending:
            return
        end = self._find_block_end()
        count = len(self._pending) if end is None else end
        is_trailer = self.their_state is h11.SEND_BODY and not self._block_bytes
        if is_trailer and self._pending == b"\r" and not self._is_ended:
            # The next byte decides whether the trailer is empty.
            return
        self._block_lines += self._pending.count(b"\n", 0, count)
        self._block_bytes += count
        self._check_block()
        data = bytes(self._pending[:count])
        del self._pending[:count]
        super().receive_data(data)
        if end is None:
            self._block_tail = (self._block_tail + data)[-_END_OVERLAP_BYTES:]
            return
        self._block_bytes = self._block_lines = 0
        self._block_tail = b""

    def _find_block_end(self) -> int | None:
        if not self._block_bytes:
            match = _EMPTY_BLOCK.match(self._pending)
            if match is not None:
                return match.end()
        match = _BLOCK_END.search(self._block_tail + self._pending)
        return None if match is None else match.end() - len(self._block_tail)

    def _check_block(self) -> None:
        # h11 parses a whole head at once, which takes 3 us for each of its lines.
        if self._block_lines > self._limits.max_header_lines:
            raise h11.RemoteProtocolError(
                "the request has too many header lines", error_status_hint=431
            )
        if self._block_bytes > self._limits.max_header_bytes:
            raise h11.RemoteProtocolError(
                "the header of the request is too long", error_status_hint=431
            )

    def _begin_body(self, request: h11.Request) -> None:
        headers = dict(request.headers)
        self._body_left = 0
        self._decoder = None
        if b"transfer-encoding" in headers:
            self._decoder = create_chunk_decoder(
                self._limits.max_chunk_framing_bytes,
                self._limits.max_chunk_framing_per_byte,
            )
        elif b"content-length" in headers:
            self._body_left = int(headers[b"content-length"])


def create_protocol(limits: Limits) -> ServerProtocol:
    """Return the state of a new connection."""
    return ServerProtocol(limits)


def continue_with_limits(connection: ServerProtocol, limits: Limits) -> ServerProtocol:
    """Return a state with newer limits, and what was received between requests."""
    received, is_closed = connection.trailing_data
    renewed = create_protocol(limits)
    if received:
        renewed.receive_data(received)
    if is_closed:
        renewed.receive_data(b"")
    return renewed
