"""Public interface of a replica and its creation from a store."""

import random

from buckthorndeal.consensus import _election as election
from buckthorndeal.consensus._dispatch import handle_message
from buckthorndeal.consensus._leader import Leadership
from buckthorndeal.consensus._member_status import MemberStatus
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


class Replica:
    """Raft replica that does no I/O other than through its store.

    A call returns an `Output`, or raises before it has changed anything. The messages
    of an output may be sent at once, because everything that they acknowledge is
    already synced. After a `StoreError` the replica is unusable and must be created
    again from its store.

    Parameters
    ----------
    state : ReplicaState
        State loaded from the store.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state

    @property
    def identity(self) -> ReplicaId:
        """Identity of this replica."""
        return self._state.identity

    @property
    def role(self) -> str:
        """Role, one of the states in `charts/replica.jsonc`."""
        return self._state.role

    @property
    def leader(self) -> ReplicaId | None:
        """Leader of the current term, or None if it is not known."""
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
        """Latest snapshot, from which the state machine is restored on a restart."""
        return self._state.log.snapshot

    @property
    def next_wakeup_s(self) -> float:
        """Monotonic time at which `tick` must be called next, in seconds."""
        state = self._state
        if state.leadership is not None:
            return state.leadership.heartbeat_due_s
        if state.role == "learner":
            return state.join_due_s
        return min(state.election_due_s, state.join_due_s)

    def receive(
        self, message: ConsensusMessage, sender: ReplicaId, now_s: float
    ) -> Output:
        """Handle a message from another replica.

        Parameters
        ----------
        message : ConsensusMessage
            One of `CONSENSUS_MESSAGES`.
        sender : ReplicaId
            Replica from which the message was received.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Output
            Empty if the message was ignored because its source is not `sender` or
            its target is another replica.
        """
        state = self._state
        addressed = message.target == state.identity
        any_incarnation = message.target == ReplicaId(
            state.identity.host, ANY_INCARNATION
        )
        is_join = any_incarnation and isinstance(message, Join)
        if message.source == sender != state.identity and (addressed or is_join):
            handle_message(message, state, now_s)
        return state.take_output()

    def tick(self, now_s: float) -> Output:
        """Run the timers that are due: election, heartbeat, quorum check and join."""
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
            The proposal is committed if the entry committed at its index also has
            its term. If that entry has another term, the proposal is lost.

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
            If the change is not possible, or not possible now.
        """
        self._require_leadership().change_membership(change, now_s)
        return self._state.take_output()

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replace the log up to `index` by a snapshot of the state machine.

        Parameters
        ----------
        index : int
            Committed index at which the snapshot was taken. The call does nothing
            if this index is already compacted.
        snapshot : bytes
            Encoded state of the state machine.

        Raises
        ------
        ValueError
            If `index` is not committed.
        """
        state = self._state
        if index <= state.log.base_index:
            return
        if index > state.commit_index:
            raise ValueError(
                f"index {index} is after the commit index {state.commit_index}"
            )
        term = state.log.get_term(index)
        membership = state.log.get_membership(index)
        state.log.replace_snapshot(Snapshot(index, term, membership, snapshot))

    def list_uncommitted(self) -> list[Entry]:
        """Return the entries that are synced here and not known to be committed."""
        state = self._state
        return state.log.read(state.commit_index + 1, state.log.last_index)

    def start_read(self, now_s: float) -> tuple[int, Output]:
        """Start a linearizable read.

        Returns
        -------
        tuple of int and Output
            Read id. An output contains it in `confirmed_reads`, together with the
            index that must be applied before the read is served. The read is never
            confirmed if this replica stops leading first.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        """
        read_id = self._require_leadership().start_read(now_s)
        return read_id, self._state.take_output()

    def has_lease(self, now_s: float) -> bool:
        """Return whether a read may be served from the state at `commit_index` now."""
        leadership = self._state.leadership
        return leadership is not None and leadership.has_lease(now_s)

    def list_members(self, now_s: float) -> list[MemberStatus]:
        """Return the status of the members and of replicas that ask to join.

        Returns
        -------
        list of MemberStatus
            Empty if this replica does not lead, or if no membership change can be
            proposed because another one, or the first entry of the term, is not
            committed yet.
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
                replica, standing, 0.0, True, True, True, state.log.last_index, True
            )
        progress = state.leadership.progress[replica]
        silent_s = now_s - progress.last_contact_s
        return MemberStatus(
            replica,
            standing,
            silent_s=silent_s,
            active=progress.acked_round > 0
            and silent_s < state.options.election_timeout_s,
            caught_up=state.leadership.has_caught_up(replica, now_s),
            durable=progress.durable,
            match_index=progress.match_index,
            informed=progress.match_index >= state.log.membership_index,
        )

    def _require_leadership(self) -> Leadership:
        state = self._state
        if state.leadership is None:
            raise NotLeaderError(state.leader.host if state.leader else None)
        return state.leadership

    def _ask_to_join(self, now_s: float) -> None:
        """Send `Join` messages if no leader replicates to this replica."""
        state = self._state
        silent_s = now_s - state.last_leader_contact_s
        not_member = state.identity not in state.log.membership.members
        out_of_contact = silent_s >= 2 * state.options.election_timeout_s
        if state.leadership is not None:
            return
        if not out_of_contact and not (not_member and state.leader is None):
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
    initial_membership: Membership | None,
    now_s: float,
) -> Replica:
    """Create a replica from its store.

    Parameters
    ----------
    identity : ReplicaId
        Name of this host and the incarnation of `store`.
    store : LogStore
        Store that no other replica uses.
    rng : random.Random
        Random number generator for the election timeouts.
    options : ReplicaOptions
        Options of the replica.
    initial_membership : Membership or None
        First membership of a new cluster; ignored if the store is not empty. It
        must be the same on all replicas that it contains, and must not be passed
        again on a host that has lost its store.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Replica
        Replica whose `snapshot` is the state to restore, or None.

    Raises
    ------
    StoreError
        If `store` has another incarnation than `identity`.
    ValueError
        If this replica has no disk and `initial_membership` makes it a voter.
    """
    if identity.incarnation != store.incarnation:
        raise StoreError(
            f"store has incarnation {store.incarnation}, expected {identity}"
        )
    if initial_membership is not None:
        if identity in initial_membership.voters and not store.durable:
            raise ValueError(f"{identity} has no disk and cannot be a voter")
        _bootstrap(store, initial_membership)
    return Replica(ReplicaState(identity, store, rng, options, now_s))


def _bootstrap(store: LogStore, membership: Membership) -> None:
    """Write the initial membership as an entry that is the same on all replicas."""
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
