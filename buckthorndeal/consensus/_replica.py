"""The replica: calls of the embedding program and messages of the others."""

import random
from dataclasses import dataclass

from buckthorndeal.consensus import _election as election
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
from buckthorndeal.consensus._state import (
    Output,
    ProposalId,
    ReplicaOptions,
    ReplicaState,
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
    state : ReplicaState
        State read from the store.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    @property
    def identity(self) -> ReplicaId:
        """Identity of this replica."""
        return self._state.identity

    @property
    def role(self) -> str:
        """State in the chart `replica`."""
        return self._state.role

    @property
    def leader(self) -> ReplicaId | None:
        """Replica that is believed to lead the current term."""
        return self._state.leader

    @property
    def term(self) -> int:
        """Current term."""
        return self._state.term

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._state.log.last_index

    @property
    def membership(self) -> Membership:
        """Latest membership in the log, committed or not."""
        return self._state.log.membership

    @property
    def snapshot(self) -> Snapshot | None:
        """Latest snapshot; the state machine starts from it after a restart."""
        return self._state.log.snapshot

    @property
    def next_wakeup_s(self) -> float:
        """Time of the next `tick`."""
        state = self._state
        if state.leadership is not None:
            return state.leadership.heartbeat_due_s
        if state.role == "learner":
            return state.join_due_s
        return min(state.election_due_s, state.join_due_s)

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
        state = self._state
        own = message.target == state.identity
        anyone = message.target == ReplicaId(state.identity.host, ANY_INCARNATION)
        joins = anyone and isinstance(message, Join)
        if message.source == sender != state.identity and (own or joins):
            handle_message(message, state, now_s)
        return state.take_output()

    def tick(self, now_s: float) -> Output:
        """Run the timers that are due: elections, heartbeats, check-quorum."""
        state = self._state
        if state.leadership is not None:
            state.leadership.tick(now_s)
        elif now_s >= state.election_due_s:
            if state.role != "learner" or state.may_campaign_without_vote(now_s):
                election.start_pre_vote(state, now_s)
        if now_s >= state.join_due_s:
            state.join_due_s = now_s + state.options.join_interval_s
            self._ask_to_join(now_s)
        return state.take_output()

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
        term = self._state.log.get_term(index)
        return ProposalId(term, index), self._state.take_output()

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
        return self._state.take_output()

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
        state = self._state
        if index <= state.log.base_index:
            return
        if index > state.commit_index:
            raise ValueError(f"index {index} is not committed")
        term = state.log.get_term(index)
        membership = state.log.get_membership(index)
        state.log.replace_snapshot(Snapshot(index, term, membership, snapshot))

    def start_read(self, now_s: float) -> tuple[int, Output]:
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
        read_id = self._require_leadership().start_read(now_s)
        return read_id, self._state.take_output()

    def has_lease(self, now_s: float) -> bool:
        """Return whether the state at `commit_index` may answer a read now."""
        leadership = self._state.leadership
        return leadership is not None and leadership.has_lease(now_s)

    def list_members(self, now_s: float) -> list[MemberStatus]:
        """Return what this leader knows about the members and candidates.

        Returns
        -------
        list of MemberStatus
            Empty if this replica does not lead or a membership change could not
            be proposed now.
        """
        state = self._state
        leadership = state.leadership
        if leadership is None or not leadership.has_committed_in_term:
            return []
        if state.log.membership_index > state.commit_index:
            return []
        members = [
            self._describe_member(replica, now_s)
            for replica in state.log.membership.members
        ]
        candidates = [
            MemberStatus(
                replica,
                "candidate",
                silent_s=now_s - request.received_s,
                active=True,
                caught_up=False,
                durable=request.durable,
                match_index=0,
            )
            for replica, request in leadership.join_requests.items()
            if replica not in state.log.membership.members
        ]
        return members + candidates

    def _describe_member(self, replica: ReplicaId, now_s: float) -> MemberStatus:
        state = self._state
        voter = replica in state.log.membership.voters
        standing = "voter" if voter else "learner"
        if replica == state.identity:
            return MemberStatus(
                replica, standing, 0.0, True, True, True, state.log.last_index
            )
        progress = state.leadership.progress[replica]
        silent_s = now_s - progress.last_contact_s
        return MemberStatus(
            replica,
            standing,
            silent_s=silent_s,
            active=silent_s < state.options.election_timeout_s,
            caught_up=state.leadership.has_caught_up(replica, now_s),
            durable=progress.durable,
            match_index=progress.match_index,
        )

    def _require_leadership(self) -> Leadership:
        state = self._state
        if state.leadership is None:
            raise NotLeaderError(state.leader.host if state.leader else None)
        return state.leadership

    def _ask_to_join(self, now_s: float) -> None:
        """Ask for a place if nobody replicates to this replica."""
        state = self._state
        silent_s = now_s - state.leader_contact_s
        unknown = state.identity not in state.log.membership.members
        lonely = silent_s >= 2 * state.options.election_timeout_s
        if state.leadership is not None:
            return
        if not lonely and not (unknown and state.leader is None):
            return
        for host in state.options.join_hosts:
            if host != state.identity.host:
                target = ReplicaId(host, ANY_INCARNATION)
                state.send(Join, target, durable=state.store.durable)


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
    return Replica(ReplicaState(identity, store, rng, options, now_s))


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
