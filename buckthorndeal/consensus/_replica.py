"""The replica: calls of the embedding program and messages of the others."""

import random
from dataclasses import dataclass

from buckthorndeal.consensus import _election as election
from buckthorndeal.consensus._core import Core, Output, ProposalId, ReplicaOptions
from buckthorndeal.consensus._dispatch import handle_message
from buckthorndeal.consensus._leader import Leadership
from buckthorndeal.consensus._messages import ConsensusMessage, Join
from buckthorndeal.consensus._records import (
    ANY_INCARNATION,
    Ballot,
    Entry,
    EntryKind,
    Membership,
    MembershipChange,
    ReplicaId,
    Snapshot,
    encode_membership,
)
from buckthorndeal.consensus.logstore import LogStore
from buckthorndeal.errors import NotLeaderError, StoreError

BOOTSTRAP_INDEX = 1
BOOTSTRAP_TERM = 1


@dataclass(frozen=True)
class MemberStatus:
    """What the leader knows about a member or about a replica that wants to join.

    Parameters
    ----------
    replica : ReplicaId
        Identity.
    standing : {"voter", "learner", "candidate"}
        Part in the latest membership; a candidate has none.
    silent_s : float
        Time since the last message of the replica in this term.
    active : bool
        Whether it was heard within the election timeout.
    caught_up : bool
        Whether its log is near the end of the leader's.
    durable : bool
        Whether it has a disk.
    match_index : int
        Last index that it has synced.
    """

    replica: ReplicaId
    standing: str
    silent_s: float
    active: bool
    caught_up: bool
    durable: bool
    match_index: int


class Replica:
    """One replica of the log, without I/O besides its store.

    Every call returns an `Output` or raises before any change. Messages in an
    output may be sent as soon as the call has returned: what they acknowledge is
    already synced. A `StoreError` leaves the replica unusable; the program must
    stop it and create it again from its store.

    Parameters
    ----------
    core : Core
        State read from the store.
    """

    def __init__(self, core: Core) -> None:
        self._core = core

    @property
    def identity(self) -> ReplicaId:
        """Identity of this replica."""
        return self._core.identity

    @property
    def role(self) -> str:
        """State in the chart `replica`."""
        return self._core.role

    @property
    def leader(self) -> ReplicaId | None:
        """Replica that is believed to lead the current term."""
        return self._core.leader

    @property
    def term(self) -> int:
        """Current term."""
        return self._core.term

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._core.log.last_index

    @property
    def membership(self) -> Membership:
        """Latest membership in the log, committed or not."""
        return self._core.log.membership

    @property
    def snapshot(self) -> Snapshot | None:
        """Latest snapshot; the state machine starts from it after a restart."""
        return self._core.log.snapshot

    @property
    def next_wakeup_s(self) -> float:
        """Time of the next `tick`."""
        core = self._core
        if core.leadership is not None:
            return core.leadership.heartbeat_due_s
        if core.role == "learner":
            return core.join_due_s
        return min(core.election_due_s, core.join_due_s)

    def receive(
        self, message: ConsensusMessage, sender: ReplicaId, now_s: float
    ) -> Output:
        """Handle a message.

        Parameters
        ----------
        message : ConsensusMessage
            One of `CONSENSUS_MESSAGES`.
        sender : ReplicaId
            Replica that the message was received from.
        now_s : float
            Monotonic time.

        Returns
        -------
        Output
            Empty if the message names another sender or incarnation.
        """
        core = self._core
        own = message.target == core.identity
        anyone = message.target == ReplicaId(core.identity.host, ANY_INCARNATION)
        joins = anyone and isinstance(message, Join)
        if message.source == sender != core.identity and (own or joins):
            handle_message(message, core, now_s)
        return core.take_output()

    def tick(self, now_s: float) -> Output:
        """Run the timers that are due: elections, heartbeats, check-quorum."""
        core = self._core
        if core.leadership is not None:
            core.leadership.tick(now_s)
        elif now_s >= core.election_due_s:
            if core.role != "learner" or core.may_rescue(now_s):
                election.start_pre_vote(core, now_s)
        if now_s >= core.join_due_s:
            core.join_due_s = now_s + core.options.join_interval_s
            self._ask_to_join(now_s)
        return core.take_output()

    def propose(self, data: bytes, now_s: float) -> tuple[ProposalId, Output]:
        """Append an entry to the log.

        Returns
        -------
        tuple of ProposalId and Output
            The entry that commits at the proposal's index is this one if it also
            has its term; any other term means that the proposal is lost.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        """
        leadership = self._require_leadership()
        index = leadership.append(EntryKind.DATA, data, now_s)
        term = self._core.log.get_term(index)
        return ProposalId(term, index), self._core.take_output()

    def propose_membership(self, change: MembershipChange, now_s: float) -> Output:
        """Append a membership that differs by one replica.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        MembershipChangeError
            If the change is not allowed now.
        """
        self._require_leadership().change_membership(change, now_s)
        return self._core.take_output()

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replace the log up to `index` by the state machine's snapshot.

        Parameters
        ----------
        index : int
            Committed index whose state the snapshot holds; an index that is
            already compacted is ignored.
        snapshot : bytes
            State machine's snapshot.
        """
        core = self._core
        if index <= core.log.base_index:
            return
        if index > core.commit_index:
            raise ValueError(f"index {index} is not committed")
        term = core.log.get_term(index)
        membership = core.log.get_membership(index)
        core.log.replace_snapshot(Snapshot(index, term, membership, snapshot))

    def confirm_leadership(self, now_s: float) -> tuple[int, Output]:
        """Start a linearizable read.

        Returns
        -------
        tuple of int and Output
            Read id. A later `Output.confirmed_reads` names it with the index
            that the answer must reflect; after a role change it never comes.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        """
        read_id = self._require_leadership().confirm(now_s)
        return read_id, self._core.take_output()

    def has_lease(self, now_s: float) -> bool:
        """Return whether the state at `commit_index` may answer a read now."""
        leadership = self._core.leadership
        return leadership is not None and leadership.has_lease(now_s)

    def list_members(self, now_s: float) -> list[MemberStatus]:
        """Return what this leader knows about the members and candidates.

        Returns
        -------
        list of MemberStatus
            Empty if this replica does not lead or a membership change could not
            be proposed now.
        """
        core = self._core
        leadership = core.leadership
        if leadership is None or not leadership.has_committed:
            return []
        if core.log.membership_index > core.commit_index:
            return []
        members = [
            self._describe_member(replica, now_s)
            for replica in core.log.membership.members
        ]
        candidates = [
            MemberStatus(
                replica,
                "candidate",
                silent_s=now_s - candidate.seen_s,
                active=True,
                caught_up=False,
                durable=candidate.durable,
                match_index=0,
            )
            for replica, candidate in leadership.candidates.items()
            if replica not in core.log.membership.members
        ]
        return members + candidates

    def _describe_member(self, replica: ReplicaId, now_s: float) -> MemberStatus:
        core = self._core
        voter = replica in core.log.membership.voters
        standing = "voter" if voter else "learner"
        if replica == core.identity:
            return MemberStatus(
                replica, standing, 0.0, True, True, True, core.log.last_index
            )
        progress = core.leadership.progress[replica]
        silent_s = now_s - progress.contact_s
        return MemberStatus(
            replica,
            standing,
            silent_s=silent_s,
            active=silent_s < core.options.election_timeout_s,
            caught_up=core.leadership.has_caught_up(replica, now_s),
            durable=progress.durable,
            match_index=progress.match_index,
        )

    def _require_leadership(self) -> Leadership:
        core = self._core
        if core.leadership is None:
            raise NotLeaderError(core.leader.host if core.leader else None)
        return core.leadership

    def _ask_to_join(self, now_s: float) -> None:
        """Ask for a place if nobody replicates to this replica."""
        core = self._core
        silent_s = now_s - core.leader_contact_s
        unknown = core.identity not in core.log.membership.members
        lonely = silent_s >= 2 * core.options.election_timeout_s
        if core.leadership is not None:
            return
        if not lonely and not (unknown and core.leader is None):
            return
        for host in core.options.join_hosts:
            if host != core.identity.host:
                target = ReplicaId(host, ANY_INCARNATION)
                core.send(Join, target, durable=core.store.durable)


def create_replica(
    identity: ReplicaId,
    store: LogStore,
    rng: random.Random,
    options: ReplicaOptions,
    bootstrap: Membership | None,
    now_s: float,
) -> Replica:
    """Create a replica from its store.

    Parameters
    ----------
    identity : ReplicaId
        Host and the incarnation of `store`.
    store : LogStore
        Store that only this replica uses.
    rng : random.Random
        Source of the election timeouts.
    options : ReplicaOptions
        Timing and sizes.
    bootstrap : Membership or None
        First membership of a new cluster; ignored if the store is not empty. It
        must be the same on every replica it names, and must never be given again
        to a host that has lost its store.
    now_s : float
        Monotonic time.

    Returns
    -------
    Replica
        The replica; `snapshot` holds the state to start from.

    Raises
    ------
    StoreError
        If the store belongs to another incarnation.
    ValueError
        If `bootstrap` gives a vote to a replica without a disk.
    """
    if identity.incarnation != store.incarnation:
        raise StoreError(f"the store is not the one of {identity}")
    if bootstrap is not None:
        if identity in bootstrap.voters and not store.durable:
            raise ValueError(f"{identity} has no disk and cannot vote")
        _bootstrap(store, bootstrap)
    return Replica(Core(identity, store, rng, options, now_s))


def _bootstrap(store: LogStore, membership: Membership) -> None:
    """Write the first entry, which is the same on every replica."""
    state = store.load()
    if state.entries or state.snapshot or state.ballot != Ballot():
        return
    entry = Entry(
        BOOTSTRAP_INDEX,
        BOOTSTRAP_TERM,
        EntryKind.MEMBERSHIP,
        encode_membership(membership),
    )
    store.append([entry])
    store.sync()
    store.save_ballot(Ballot(BOOTSTRAP_TERM))
