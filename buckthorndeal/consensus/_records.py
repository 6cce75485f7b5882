"""Records of the Raft log: replica ids, memberships, entries and snapshots."""

import enum
import functools

import msgspec

from buckthorndeal.errors import MembershipChangeError


class ReplicaId(
    msgspec.Struct, frozen=True, array_like=True, order=True, cache_hash=True
):
    """Identity of a replica.

    The incarnation is chosen when the store is created. A host that has lost its
    disk therefore returns as another replica and does not inherit the vote of the
    lost one.
    """

    host: str
    incarnation: int


# Incarnation in the target of a `Join`, whose sender does not know the real one.
ANY_INCARNATION = 0


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Voters and learners; learners replicate the log without a vote."""

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1


class AddLearner(msgspec.Struct, frozen=True, tag="add_learner"):
    """Membership change that adds `replica` as a learner."""

    replica: ReplicaId


class PromoteLearner(msgspec.Struct, frozen=True, tag="promote_learner"):
    """Membership change that makes the learner `replica` a voter."""

    replica: ReplicaId


class RemoveMember(msgspec.Struct, frozen=True, tag="remove_member"):
    """Membership change that removes the voter or learner `replica`."""

    replica: ReplicaId


MembershipChange = AddLearner | PromoteLearner | RemoveMember


@functools.singledispatch
def apply_change(change: MembershipChange, membership: Membership) -> Membership:
    """Return the membership that results from applying `change`.

    Raises
    ------
    MembershipChangeError
        If the change is not possible in this membership.
    """
    raise TypeError(f"unknown membership change {change!r}")


@apply_change.register
def _(change: AddLearner, membership: Membership) -> Membership:
    if change.replica in membership.members:
        raise MembershipChangeError(f"{change.replica} is already a member")
    return Membership(membership.voters, (*membership.learners, change.replica))


@apply_change.register
def _(change: PromoteLearner, membership: Membership) -> Membership:
    if change.replica not in membership.learners:
        raise MembershipChangeError(f"{change.replica} is not a learner")
    learners = _exclude(membership.learners, change.replica)
    return Membership((*membership.voters, change.replica), learners)


@apply_change.register
def _(change: RemoveMember, membership: Membership) -> Membership:
    if change.replica not in membership.members:
        raise MembershipChangeError(f"{change.replica} is not a member")
    voters = _exclude(membership.voters, change.replica)
    if not voters:
        raise MembershipChangeError(
            f"{change.replica} is the last voter and cannot be removed"
        )
    return Membership(voters, _exclude(membership.learners, change.replica))


def _exclude(
    replicas: tuple[ReplicaId, ...], replica: ReplicaId
) -> tuple[ReplicaId, ...]:
    return tuple(member for member in replicas if member != replica)


class EntryKind(enum.IntEnum):
    """Type of a log entry."""

    DATA = 0
    NOOP = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Log entry; `data` is opaque unless the entry holds a membership."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


class Ballot(msgspec.Struct, frozen=True, array_like=True):
    """Current term and the replica that this replica voted for in it."""

    term: int = 0
    voted_for: ReplicaId | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after the entry at `index`; `data` is opaque to the consensus code."""

    index: int
    term: int
    membership: Membership
    data: bytes


_MEMBERSHIP_DECODER = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership as the data of a log entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decode the membership in the data of a log entry."""
    return _MEMBERSHIP_DECODER.decode(data)


def select_suffix(snapshot: Snapshot, entries: list[Entry]) -> list[Entry]:
    """Return the entries that follow `snapshot`.

    If the entry at the index of the snapshot has another term, the entries after it
    may conflict with the snapshot, and none is returned.
    """
    if not entries or entries[0].index == snapshot.index + 1:
        return list(entries)
    position = snapshot.index - entries[0].index
    if not 0 <= position < len(entries):
        return []
    if entries[position].term != snapshot.term:
        return []
    return entries[position + 1 :]
