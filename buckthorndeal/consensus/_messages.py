"""Consensus messages between replicas."""

import msgspec

from buckthorndeal.consensus._records import Entry, Membership, ReplicaId


# Tags have one letter because heartbeats are most of a control host's traffic.
class ConsensusMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base class of the consensus messages.

    The target contains the incarnation, so a host that has lost its disk does not
    reply in place of the replica that it ran before.
    """

    source: ReplicaId
    target: ReplicaId
    term: int


class PreVote(ConsensusMessage, frozen=True, kw_only=True, tag="p"):
    """Question whether the target would vote for the source in `term`."""

    last_index: int
    last_term: int


class PreVoteReply(ConsensusMessage, frozen=True, kw_only=True, tag="q"):
    """Reply to `PreVote`; `term` is the requested term if the vote is granted."""

    granted: bool


class Vote(ConsensusMessage, frozen=True, kw_only=True, tag="v"):
    """Request for the target's vote in `term` (RequestVote in Raft)."""

    last_index: int
    last_term: int


class VoteReply(ConsensusMessage, frozen=True, kw_only=True, tag="w"):
    """Reply to `Vote`."""

    granted: bool


class Append(ConsensusMessage, frozen=True, kw_only=True, tag="a"):
    """Entries after `prev_index`; a heartbeat has none (AppendEntries in Raft).

    `round` numbers the leader's broadcasts in a term. Replies of that term echo it,
    which renews the leader lease and confirms reads.
    """

    round: int
    prev_index: int
    prev_term: int
    commit_index: int
    entries: tuple[Entry, ...] = ()


class AppendReply(ConsensusMessage, frozen=True, kw_only=True, tag="b"):
    """Reply to `Append`.

    On success, `match_index` is the last index that matches the leader's log and is
    synced. In a refusal it is the last index that may match, and `refused_index` is
    the `prev_index` of the refused request.
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
    """Reply to a chunk; the next chunk starts at offset `received_bytes`."""

    round: int
    index: int
    received_bytes: int
    durable: bool = True


class Join(ConsensusMessage, frozen=True, kw_only=True, tag="j"):
    """Request of a replica without a leader to become a member of the cluster."""

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
