"""Raft log replication: an embeddable replica whose only I/O is its log store."""

from buckthorndeal.consensus._frames import (
    ConsensusFrame,
    DescribeReplica,
    ReplicaDescription,
)
from buckthorndeal.consensus._losses import Location, ToleratedLosses
from buckthorndeal.consensus._messages import (
    CONSENSUS_MESSAGES,
    Append,
    AppendReply,
    ConsensusMessage,
    InstallSnapshot,
    InstallSnapshotReply,
    Join,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)
from buckthorndeal.consensus._policy import (
    ElasticPolicy,
    FixedSizePolicy,
    VoteKept,
    create_elastic_policy,
)
from buckthorndeal.consensus._records import (
    AddLearner,
    Ballot,
    Entry,
    EntryKind,
    Membership,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
    ReplicaId,
    Snapshot,
)
from buckthorndeal.consensus._replica import MemberStatus, Replica, create_replica
from buckthorndeal.consensus._state import (
    ConfirmedRead,
    Output,
    ProposalId,
    ReplicaOptions,
    RoleChange,
)

__all__ = [
    "CONSENSUS_MESSAGES",
    "AddLearner",
    "Append",
    "AppendReply",
    "Ballot",
    "ConfirmedRead",
    "ConsensusFrame",
    "ConsensusMessage",
    "DescribeReplica",
    "ElasticPolicy",
    "Entry",
    "EntryKind",
    "FixedSizePolicy",
    "InstallSnapshot",
    "InstallSnapshotReply",
    "Join",
    "Location",
    "MemberStatus",
    "Membership",
    "MembershipChange",
    "Output",
    "PreVote",
    "PreVoteReply",
    "PromoteLearner",
    "ProposalId",
    "RemoveMember",
    "Replica",
    "ReplicaDescription",
    "ReplicaId",
    "ReplicaOptions",
    "RoleChange",
    "Snapshot",
    "ToleratedLosses",
    "Vote",
    "VoteKept",
    "VoteReply",
    "create_elastic_policy",
    "create_replica",
]
