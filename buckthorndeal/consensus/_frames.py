"""Peer messages that carry the replicated log between hosts."""

from buckthorndeal.wire import Message


class ConsensusFrame(Message, tag="c"):
    """Notice: one encoded message of the replicated log."""

    data: bytes


class DescribeReplica(Message):
    """Call: asks for the identity of the host's replica."""


class ReplicaDescription(Message):
    """Reply: identity of a replica, and whether its log is empty."""

    host: str
    incarnation: int
    empty: bool
