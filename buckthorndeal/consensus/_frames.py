"""Messages of the peer protocol that carry consensus messages between hosts."""

from buckthorndeal.wire import Message


class ConsensusFrame(Message, tag="c"):
    """Notification that carries one encoded consensus message."""

    data: bytes


class DescribeReplica(Message):
    """Request for the identity of the host's replica."""


class ReplicaDescription(Message):
    """Reply with the identity of a replica and whether its log is empty."""

    host: str
    incarnation: int
    empty: bool
