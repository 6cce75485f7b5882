"""Messages of the membership protocol, one per datagram."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from buckthorndeal.membership._table import HostName, HostState, Rumor
from buckthorndeal.wire import Message

Rumors = tuple[Rumor, ...]
SequenceNumber = Annotated[int, Meta(ge=0)]


class Ping(Message, tag="p"):
    """Asks `target` for an `Ack` with the same sequence number."""

    sequence: SequenceNumber
    target: HostName
    rumors: Rumors = ()


class PingRequest(Message, tag="q"):
    """Asks a helper to ping `target` and to forward its `Ack`."""

    sequence: SequenceNumber
    target: HostName
    rumors: Rumors = ()


class Ack(Message, tag="a"):
    """Answers a `Ping` or a `PingRequest`."""

    sequence: SequenceNumber
    rumors: Rumors = ()


class Gossip(Message, tag="g"):
    """Carries only rumors."""

    rumors: Rumors = ()


class Digest(Message, tag="d"):
    """Carries the digests of the sender's table, one per bucket."""

    digests: tuple[int, ...]
    rumors: Rumors = ()


class Entries(Message, tag="e"):
    """Lists the present hosts of the sender's table in buckets whose digests differ."""

    buckets: tuple[int, ...]
    entries: tuple[HostState, ...]


class Fetch(Message, tag="f"):
    """Requests the full records of hosts."""

    hosts: tuple[HostName, ...]


MEMBERSHIP_MESSAGES = (Ping, PingRequest, Ack, Gossip, Digest, Entries, Fetch)


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to be sent.

    Parameters
    ----------
    address : str
        ``address:port`` of the receiver.
    message : Message
        One of `MEMBERSHIP_MESSAGES`.
    """

    address: str
    message: Message
