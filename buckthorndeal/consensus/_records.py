"""Records of the replicated log: identities, memberships, entries, snapshots."""

import enum
import functools

import msgspec

from buckthorndeal.errors import MembershipChangeError


class ReplicaId(
    msgspec.Struct, frozen=True, array_like=True, order=True, cache_hash=True
):
    """Identity of a replica.

    The incarnation is created with an empty store, so a host that lost its disk
    returns under another identity and cannot use the votes of the lost one.
    """

    host: str
    incarnation: int


# Target of messages to a host whose incarnation is not known; only for `Join`.
ANY_INCARNATION = 0


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Replicas that vote and replicas that follow without a vote."""

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1


class AddLearner(msgspec.Struct, frozen=True, tag="add_learner"):
    """Change: `replica` follows the log without a vote."""

    replica: ReplicaId


class PromoteLearner(msgspec.Struct, frozen=True, tag="promote_learner"):
    """Change: the learner `replica` gets a vote."""

    replica: ReplicaId


class RemoveMember(msgspec.Struct, frozen=True, tag="remove_member"):
    """Change: the voter or learner `replica` leaves."""

    replica: ReplicaId


MembershipChange = AddLearner | PromoteLearner | RemoveMember


@functools.singledispatch
def apply_change(change: MembershipChange, membership: Membership) -> Membership:
    """Return `membership` after `change`.

    Raises
    ------
    MembershipChangeError
        If the change does not fit the membership.
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
        raise MembershipChangeError("the last voter cannot be removed")
    return Membership(voters, _exclude(membership.learners, change.replica))


def _exclude(
    replicas: tuple[ReplicaId, ...], replica: ReplicaId
) -> tuple[ReplicaId, ...]:
    return tuple(member for member in replicas if member != replica)


class EntryKind(enum.IntEnum):
    """What the data of an entry is."""

    DATA = 0
    NOOP = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log; `data` is opaque except for memberships."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


class Ballot(msgspec.Struct, frozen=True, array_like=True):
    """Current term and the replica that got this replica's vote in it."""

    term: int = 0
    voted_for: ReplicaId | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after the entry at `index`; `data` belongs to the state machine."""

    index: int
    term: int
    membership: Membership
    data: bytes


_MEMBERSHIP_DECODER = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Return the data of a membership entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Return the membership in the data of a membership entry."""
    return _MEMBERSHIP_DECODER.decode(data)


def select_suffix(snapshot: Snapshot, entries: list[Entry]) -> list[Entry]:
    """Return the entries that continue `snapshot`.

    Entries after the snapshot are kept only if the log agrees with it at its
    index; otherwise they may conflict with what the snapshot stands for.
    """
    if not entries or entries[0].index == snapshot.index + 1:
        return list(entries)
    position = snapshot.index - entries[0].index
    if not 0 <= position < len(entries):
        return []
    if entries[position].term != snapshot.term:
        return []
    return entries[position + 1 :]
