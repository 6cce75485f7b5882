"""Leader side of replication: log replication, commit, lease and reads."""

from dataclasses import dataclass, field

from buckthorndeal.consensus._messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    InstallSnapshotReply,
    Join,
)
from buckthorndeal.consensus._records import (
    Entry,
    EntryKind,
    MembershipChange,
    PromoteLearner,
    ReplicaId,
    Snapshot,
    apply_change,
    encode_membership,
)
from buckthorndeal.consensus._state import ConfirmedRead, ReplicaState
from buckthorndeal.errors import MembershipChangeError


@dataclass
class Progress:
    """Replication progress of one member, as known to the leader."""

    next_index: int
    last_contact_s: float
    match_index: int = 0
    acked_round: int = 0
    durable: bool = False
    # Snapshot in transfer. A later compaction does not replace it, so that all
    # chunks come from one snapshot.
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0


@dataclass(frozen=True)
class PendingRead:
    """Read that is confirmed when `index` is committed and a majority has replied.

    The replies must be to `round` or to a later one.
    """

    read_id: int
    round: int
    index: int


@dataclass
class JoinRequest:
    """Latest `Join` of a replica that is not a member."""

    durable: bool
    received_s: float


@dataclass
class Leadership:
    """Volatile state of the leader of one term."""

    state: ReplicaState
    started_s: float
    # Number of the latest broadcast in this term; replies of the term echo it.
    round: int = 0
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    join_requests: dict[ReplicaId, JoinRequest] = field(default_factory=dict)
    pending_reads: list[PendingRead] = field(default_factory=list)
    last_read_id: int = 0
    heartbeat_due_s: float = 0.0
    # Index of the first entry of this term. Once it is committed, the commit index
    # covers all entries that earlier leaders committed.
    start_index: int = 0
    # Monotonic send time of each round, in seconds.
    round_sent_s: dict[int, float] = field(default_factory=dict)

    def start(self, now_s: float) -> None:
        """Append a no-op entry, the first entry of the term."""
        self.start_index = self.state.log.last_index + 1
        self._update_progress(now_s)
        self.append(EntryKind.NOOP, b"", now_s)

    @property
    def has_committed_in_term(self) -> bool:
        return self.state.commit_index >= self.start_index

    def append(self, kind: EntryKind, data: bytes, now_s: float) -> int:
        """Append an entry, sync it, send it to the members and return its index."""
        log = self.state.log
        entry = Entry(log.last_index + 1, self.state.term, kind, data)
        log.append([entry])
        if kind is EntryKind.MEMBERSHIP:
            self._update_progress(now_s)
        self.broadcast(now_s)
        self._advance_commit(now_s)
        return entry.index

    def change_membership(self, change: MembershipChange, now_s: float) -> None:
        """Append a membership that differs by one replica.

        Raises
        ------
        MembershipChangeError
            If another change is in progress, no entry of this term is committed
            yet, or the learner cannot be promoted.
        """
        log = self.state.log
        # Until an entry of this term is committed, an uncommitted change of an
        # earlier leader could still be committed by a majority that does not
        # overlap with the majority of this change.
        if not self.has_committed_in_term:
            raise MembershipChangeError(
                f"no entry of term {self.state.term} is committed yet"
            )
        if log.membership_index > self.state.commit_index:
            raise MembershipChangeError("another membership change is in progress")
        membership = apply_change(change, log.membership)
        if isinstance(change, PromoteLearner):
            self._check_promotion(change.replica, now_s)
        self.append(EntryKind.MEMBERSHIP, encode_membership(membership), now_s)

    def _check_promotion(self, replica: ReplicaId, now_s: float) -> None:
        if not self.progress[replica].durable:
            raise MembershipChangeError(f"{replica} has no disk and cannot be a voter")
        if not self.has_caught_up(replica, now_s):
            raise MembershipChangeError(f"{replica} has not caught up with the log")

    def has_caught_up(self, replica: ReplicaId, now_s: float) -> bool:
        """Return whether a member is reachable and lacks only a few entries."""
        state = self.state
        progress = self.progress[replica]
        if now_s - progress.last_contact_s >= state.options.election_timeout_s:
            return False
        lag = state.log.last_index - progress.match_index
        return progress.match_index > 0 and lag <= state.options.catch_up_entries

    def tick(self, now_s: float) -> None:
        """Step down if out of contact with a majority; else send due heartbeats."""
        contact_cutoff_s = now_s - self.state.options.election_timeout_s
        if self._find_quorum_contact(now_s) <= contact_cutoff_s:
            self.state.step_down(now_s)
            return
        self._expire_join_requests(contact_cutoff_s)
        if now_s >= self.heartbeat_due_s:
            self.broadcast(now_s)

    def broadcast(self, now_s: float) -> None:
        """Start a round: send each member its missing entries or a heartbeat."""
        self.round += 1
        self.round_sent_s[self.round] = now_s
        self.heartbeat_due_s = now_s + self.state.options.heartbeat_interval_s
        for replica, progress in self.progress.items():
            self._send(replica, progress)
        self._confirm_reads(now_s)

    def _send(self, replica: ReplicaId, progress: Progress) -> None:
        log = self.state.log
        prev_term = log.get_term(progress.next_index - 1)
        if progress.snapshot is not None or prev_term is None:
            self._send_chunk(replica, progress)
            return
        entries: tuple[Entry, ...] = ()
        if self._is_window_open(progress):
            max_bytes = self.state.options.max_append_bytes
            entries = log.read_batch(progress.next_index, max_bytes)
        self.state.send(
            Append,
            replica,
            round=self.round,
            prev_index=progress.next_index - 1,
            prev_term=prev_term,
            commit_index=self.state.commit_index,
            entries=entries,
        )
        # Entries are sent once. If the message is lost, the member refuses the next
        # one and `next_index` is reset.
        progress.next_index += len(entries)

    def _is_window_open(self, progress: Progress) -> bool:
        inflight = progress.next_index - 1 - progress.match_index
        return inflight < self.state.options.max_inflight_entries

    def _send_chunk(self, replica: ReplicaId, progress: Progress) -> None:
        if progress.snapshot is None:
            progress.snapshot = self.state.log.snapshot
            progress.snapshot_offset = 0
        snapshot = progress.snapshot
        end = progress.snapshot_offset + self.state.options.snapshot_chunk_bytes
        self.state.send(
            InstallSnapshot,
            replica,
            round=self.round,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            membership=snapshot.membership,
            offset=progress.snapshot_offset,
            total_bytes=len(snapshot.data),
            data=snapshot.data[progress.snapshot_offset : end],
        )

    def handle_append_reply(self, reply: AppendReply, now_s: float) -> None:
        """Record the entries that a member has synced and send missing ones."""
        progress = self.progress.get(reply.source)
        if progress is None:
            return
        self._record_contact(progress, reply, now_s)
        if not reply.success:
            self._handle_refusal(reply, progress)
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        snapshot = progress.snapshot
        if snapshot is not None and progress.match_index >= snapshot.index:
            progress.snapshot = None
        self._advance_commit(now_s)
        behind = progress.next_index <= self.state.log.last_index
        if behind and self._is_window_open(progress):
            self._send(reply.source, progress)

    def _handle_refusal(self, reply: AppendReply, progress: Progress) -> None:
        stale = reply.refused_index <= progress.match_index
        if stale or progress.snapshot is not None:
            return
        hint = min(reply.match_index, reply.refused_index - 1)
        progress.next_index = max(hint, progress.match_index) + 1
        self._send(reply.source, progress)

    def handle_snapshot_reply(self, reply: InstallSnapshotReply, now_s: float) -> None:
        """Send the next chunk of a snapshot."""
        progress = self.progress.get(reply.source)
        if progress is None:
            return
        self._record_contact(progress, reply, now_s)
        snapshot = progress.snapshot
        if snapshot is None or snapshot.index != reply.index:
            return
        if reply.received_bytes == progress.snapshot_offset:
            # The chunk was lost or this reply is a duplicate; the next heartbeat
            # sends the chunk again.
            return
        progress.snapshot_offset = reply.received_bytes
        self._send(reply.source, progress)

    def _record_contact(
        self,
        progress: Progress,
        reply: AppendReply | InstallSnapshotReply,
        now_s: float,
    ) -> None:
        progress.last_contact_s = now_s
        progress.durable = reply.durable
        if reply.round > progress.acked_round:
            progress.acked_round = reply.round
            self._confirm_reads(now_s)

    def handle_join(self, request: Join, now_s: float) -> None:
        """Record the request of a replica that is not yet a member."""
        if request.source not in self.state.log.membership.members:
            join_request = JoinRequest(request.durable, now_s)
            self.join_requests[request.source] = join_request

    def _expire_join_requests(self, contact_cutoff_s: float) -> None:
        members = self.state.log.membership.members
        join_cutoff_s = contact_cutoff_s - self.state.options.join_interval_s
        self.join_requests = {
            replica: join_request
            for replica, join_request in self.join_requests.items()
            if join_request.received_s > join_cutoff_s and replica not in members
        }

    def _update_progress(self, now_s: float) -> None:
        state = self.state
        members = [m for m in state.log.membership.members if m != state.identity]
        self.progress = {
            member: self.progress.get(member)
            or Progress(next_index=state.log.last_index + 1, last_contact_s=now_s)
            for member in members
        }

    def _find_quorum_value(self, own: float, values: dict[ReplicaId, float]) -> float:
        """Return the largest value that a majority of the voters has reached.

        Parameters
        ----------
        own : float
            Value of this replica, used if it is a voter.
        values : dict of ReplicaId to float
            Values of the other members.
        """
        identity = self.state.identity
        membership = self.state.log.membership
        reached = [
            own if voter == identity else values[voter] for voter in membership.voters
        ]
        reached.sort(reverse=True)
        return reached[membership.quorum - 1]

    def _find_quorum_contact(self, now_s: float) -> float:
        """Return the monotonic time since which a majority has been heard from."""
        contacts = {r: p.last_contact_s for r, p in self.progress.items()}
        return self._find_quorum_value(now_s, contacts)

    def _find_quorum_round(self) -> int:
        """Return the latest round that a majority has replied to."""
        rounds = {r: p.acked_round for r, p in self.progress.items()}
        return self._find_quorum_value(self.round, rounds)

    def _advance_commit(self, now_s: float) -> None:
        state = self.state
        matches = {r: p.match_index for r, p in self.progress.items()}
        index = self._find_quorum_value(state.log.last_index, matches)
        # Only entries of the current term are committed by counting replicas; they
        # commit all earlier entries.
        if index <= state.commit_index or state.log.get_term(index) != state.term:
            return
        state.advance_commit(index)
        self._confirm_reads(now_s)
        membership = state.log.get_membership(state.commit_index)
        if state.identity not in membership.voters:
            self.broadcast(now_s)
            state.step_down(now_s)

    def _confirm_reads(self, now_s: float) -> None:
        """Confirm the reads whose round has replies from a majority.

        The send times of earlier rounds are discarded.
        """
        acked = self._find_quorum_round()
        for number in [number for number in self.round_sent_s if number < acked]:
            del self.round_sent_s[number]
        state = self.state
        unconfirmed = []
        for read in self.pending_reads:
            if read.round <= acked and read.index <= state.commit_index:
                confirmed = ConfirmedRead(read.read_id, read.index)
                state.output.confirmed_reads.append(confirmed)
            else:
                unconfirmed.append(read)
        self.pending_reads = unconfirmed

    def start_read(self, now_s: float) -> int:
        """Start a read, which replies of a majority to the round sent here confirm."""
        self.last_read_id += 1
        index = max(self.state.commit_index, self.start_index)
        self.pending_reads.append(PendingRead(self.last_read_id, self.round + 1, index))
        self.broadcast(now_s)
        return self.last_read_id

    def has_lease(self, now_s: float) -> bool:
        """Return whether the leader lease is valid, so no other replica can lead."""
        if self.state.identity not in self.state.log.membership.voters:
            return False
        sent_s = self.round_sent_s.get(self._find_quorum_round())
        if sent_s is None or not self.has_committed_in_term:
            return False
        return now_s < sent_s + self.state.options.lease_s
