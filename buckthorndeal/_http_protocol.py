"""State of the HTTP/1.1 protocol on a connection of a server."""

import h11

from buckthorndeal.settings import Limits


def create_protocol(limits: Limits) -> h11.Connection:
    """Return the state of a new connection."""
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)


def continue_with_limits(connection: h11.Connection, limits: Limits) -> h11.Connection:
    """Return a state with newer limits, and what was received between requests."""
    received, is_closed = connection.trailing_data
    renewed = create_protocol(limits)
    if received:
        renewed.receive_data(received)
    if is_closed:
        renewed.receive_data(b"")
    return renewed
