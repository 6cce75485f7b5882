"""Messages between replicas of the replicated log."""

import msgspec

from buckthorndeal.consensus._records import Entry, Membership, ReplicaId


# Tags of one letter: heartbeats make most of a control host's traffic.
class ConsensusMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Fields of every message.

    The target's incarnation is part of the message, so a host that returned with
    an empty disk does not answer for the identity it lost.
    """

    source: ReplicaId
    target: ReplicaId
    term: int


class PreVote(ConsensusMessage, frozen=True, kw_only=True, tag="p"):
    """Asks whether the target would vote for the source in `term`."""

    last_index: int
    last_term: int


class PreVoteReply(ConsensusMessage, frozen=True, kw_only=True, tag="q"):
    """Answers a `PreVote`; `term` is the proposed term if granted."""

    granted: bool


class Vote(ConsensusMessage, frozen=True, kw_only=True, tag="v"):
    """Asks for the target's vote in `term`."""

    last_index: int
    last_term: int


class VoteReply(ConsensusMessage, frozen=True, kw_only=True, tag="w"):
    """Answers a `Vote`."""

    granted: bool


class Append(ConsensusMessage, frozen=True, kw_only=True, tag="a"):
    """Entries after `prev_index`; without entries a heartbeat."""

    round: int
    prev_index: int
    prev_term: int
    commit_index: int
    entries: tuple[Entry, ...] = ()


class AppendReply(ConsensusMessage, frozen=True, kw_only=True, tag="b"):
    """Answers an `Append`.

    `match_index` is the last index known to agree and synced; in a refusal it is
    the last index that may agree, and `refused_index` names the request.
    """

    round: int
    success: bool
    match_index: int
    refused_index: int = 0
    durable: bool = True


class InstallSnapshot(ConsensusMessage, frozen=True, kw_only=True, tag="s"):
    """One chunk of the snapshot at `index`."""

    round: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes


class InstallSnapshotReply(
    ConsensusMessage,
    frozen=True,
    kw_only=True,
    tag="t",
):
    """Answers a chunk; the next chunk starts at `received_bytes`."""

    round: int
    index: int
    received_bytes: int
    durable: bool = True


class Join(ConsensusMessage, frozen=True, kw_only=True, tag="j"):
    """Sent by a replica without a leader that wants to follow the log."""

    durable: bool


CONSENSUS_MESSAGES = (
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    Join,
)
