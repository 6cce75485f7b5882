"""Options of links between peers, their frames, and the messages of a channel."""

from dataclasses import dataclass

import msgspec

from buckthorndeal.errors import Verdict
from buckthorndeal.memory import Booking
from buckthorndeal.wire import Message, create_codec

EMPTY_BODY = msgspec.Raw(b"")


@dataclass(frozen=True)
class LinkOptions:
    """Timeouts and limits of a link.

    Parameters
    ----------
    heartbeat_s : float
        A heartbeat is sent after this time without sending anything else.
    silence_s : float
        The connection is closed after this time without receiving anything, or if
        sending a frame takes as long.
    connect_timeout_s : float
        Timeout of opening the connection and of the handshake together.
    open_timeout_s : float
        Timeout of opening the connection alone. It ends attempts to connect to a
        host that is down, which does not answer at all.
    backoff_min_s, backoff_max_s : float
        Initial and maximum mean wait between attempts to connect.
    max_queued : int
        Maximum number of messages that are queued or await a reply; more are
        refused.
    max_running_calls : int
        Maximum number of calls of the peer that are handled at once; more wait
        unread in the connection.
    """

    heartbeat_s: float = 1.0
    silence_s: float = 3.0
    connect_timeout_s: float = 3.0
    open_timeout_s: float = 3.0
    backoff_min_s: float = 0.05
    backoff_max_s: float = 2.0
    max_queued: int = 1_000
    max_running_calls: int = 256


class Introduction(Message):
    """First frame in each direction; its MAC proves that `host` has a shared key."""

    host: str


class Call(Message, tag="c"):
    """A message that requires a reply."""

    call_id: int
    body: msgspec.Raw


class Reply(Message, tag="r"):
    """The reply to a call."""

    call_id: int
    body: msgspec.Raw


class Failure(Message, tag="f"):
    """Reports that the handler of a call raised an error."""

    call_id: int
    reason: str


class Notice(Message, tag="n"):
    """A message without a reply."""

    body: msgspec.Raw


class Heartbeat(Message, tag="h"):
    """Sent when there is nothing else to send, to show that the sender is alive."""


LINK_CODEC = create_codec((Introduction, Call, Reply, Failure, Notice, Heartbeat))


@dataclass(eq=False)
class Outgoing:
    """A message that waits to be sent; a call also for its reply."""

    body: msgspec.Raw
    is_call: bool
    booking: Booking
    sent: bool = False
    abandoned: bool = False

    def drop_body(self) -> None:
        """Hold the body no more, as it is sent or will never be."""
        self.body = EMPTY_BODY
        self.booking.release()

    def get_verdict(self) -> Verdict:
        """Return whether the peer may have received the message."""
        return Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN


@dataclass(frozen=True, eq=False)
class OutgoingReply:
    """The reply to a call of the peer."""

    connection: object
    message: Message
    booking: Booking | None


@dataclass(frozen=True, eq=False)
class IncomingReply:
    """The reply of the peer to a call."""

    connection: object
    message: Message
    booking: Booking | None


@dataclass(frozen=True, eq=False)
class ConnectionLost:
    """Reports that a connection cannot be read any more."""

    connection: object
    reason: str
