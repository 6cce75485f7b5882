"""State of one replica that elections and replication share."""

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from buckthorndeal.charts import load_chart
from buckthorndeal.consensus._log import ReplicaLog
from buckthorndeal.consensus._messages import ConsensusMessage
from buckthorndeal.consensus._records import Ballot, Entry, ReplicaId
from buckthorndeal.consensus.logstore import LogStore

# A replica without a vote campaigns after this many election timeouts without a
# leader; long enough that the voters have had several elections.
NONVOTER_ELECTION_TIMEOUTS = 8


@dataclass(frozen=True)
class ReplicaOptions:
    """Timing and sizes of a replica.

    Parameters
    ----------
    election_timeout_s : float
        Shortest silence of the leader before an election; the longest is twice
        this. A leader without a majority for this time steps down.
    heartbeat_interval_s : float
        Interval of the leader's messages to each member.
    clock_drift_bound : float
        Largest relative error of any host's monotonic clock rate.
    join_interval_s : float
        Interval of `Join` messages while no leader is known.
    join_hosts : collection of str
        Hosts that `Join` is sent to; the replica's own host is skipped. It may grow
        while the replica runs.
    max_append_bytes : int
        Entry data per message; one entry may exceed it.
    max_inflight_entries : int
        Entries sent to a member beyond the last acknowledged one.
    snapshot_chunk_bytes : int
        Snapshot data per message.
    catch_up_entries : int
        A learner this close to the end of the log has caught up.
    """

    election_timeout_s: float = 1.5
    # A leader with 3 followers at 0.3 s sends and receives 2.9 KB/s; the budget of a
    # node is 2 KB/s.
    heartbeat_interval_s: float = 0.45
    clock_drift_bound: float = 0.01
    join_interval_s: float = 1.0
    join_hosts: Collection[str] = ()
    max_append_bytes: int = 262_144
    max_inflight_entries: int = 1024
    snapshot_chunk_bytes: int = 65_536
    catch_up_entries: int = 32

    @property
    def lease_s(self) -> float:
        """Lease on the leader's clock.

        A follower refuses other candidates for `election_timeout_s` on its own
        clock, which may run fast while the leader's runs slow.
        """
        drift = self.clock_drift_bound
        return self.election_timeout_s * (1 - drift) / (1 + drift)


@dataclass(frozen=True)
class ProposalId:
    """Names a proposal: it is committed iff this index commits with this term."""

    term: int
    index: int


@dataclass(frozen=True)
class ConfirmedRead:
    """A confirmed read: state at `index` or later answers the read `read_id`."""

    read_id: int
    index: int


@dataclass(frozen=True)
class RoleChange:
    """The replica's role, term or known leader has changed."""

    role: str
    term: int
    leader: ReplicaId | None


@dataclass
class Output:
    """What the caller has to do after a call, in the order of the fields."""

    restored_snapshot: bytes | None = None
    committed: list[Entry] = field(default_factory=list)
    confirmed_reads: list[ConfirmedRead] = field(default_factory=list)
    role_changes: list[RoleChange] = field(default_factory=list)
    messages: list[tuple[ReplicaId, ConsensusMessage]] = field(default_factory=list)


class ReplicaState:
    """Durable and volatile state of a replica, and the steps that change it."""

    def __init__(
        self,
        identity: ReplicaId,
        store: LogStore,
        rng: random.Random,
        options: ReplicaOptions,
        now_s: float,
    ) -> None:
        self.identity = identity
        self.store = store
        self.rng = rng
        self.options = options
        self.log = ReplicaLog(store)
        self.ballot: Ballot = store.load().ballot
        self.chart = load_chart("replica")
        self.role = self.chart.initial
        self.leader: ReplicaId | None = None
        # Volatile state of a leader (`Leadership`), None otherwise.
        self.leadership: Any = None
        self.votes: set[ReplicaId] = set()
        self.incoming_snapshot: Any = None
        self.commit_index = self.log.base_index
        # Before the restart this replica may have acknowledged a leader whose
        # lease still runs, so it starts as if it had just heard from one.
        self.leader_contact_s = now_s
        self.join_due_s = now_s + options.join_interval_s
        self.output = Output()
        self.reset_election_timer(now_s)
        self.update_role_from_membership()

    @property
    def term(self) -> int:
        return self.ballot.term

    @property
    def may_campaign(self) -> bool:
        voters = self.log.membership.voters
        return self.store.durable and self.identity in voters

    def may_campaign_without_vote(self, now_s: float) -> bool:
        """Return whether this replica campaigns although it has no vote.

        A voter can need this replica's vote under a promotion that this replica
        has not received, or under a membership from which it is being removed,
        while this replica's log is ahead of the voter's. After the loss of one
        voter's disk nobody else can win then. This replica needs a majority of
        the voters that it knows, leads until an entry is committed, and steps
        down.
        """
        required_silence_s = (
            NONVOTER_ELECTION_TIMEOUTS * self.options.election_timeout_s
        )
        silent = now_s - self.leader_contact_s >= required_silence_s
        return silent and self.store.durable and bool(self.log.membership.voters)

    def send(
        self, kind: type, target: ReplicaId, term: int | None = None, **fields: Any
    ) -> None:
        message = kind(
            source=self.identity,
            target=target,
            term=self.term if term is None else term,
            **fields,
        )
        self.output.messages.append((target, message))

    def take_output(self) -> Output:
        output, self.output = self.output, Output()
        return output

    def advance_role(self, event: str) -> None:
        self.role = self.chart.advance(self.role, event)
        if self.role != "leader":
            self.leadership = None
        self.report_role()

    def report_role(self) -> None:
        change = RoleChange(self.role, self.term, self.leader)
        self.output.role_changes.append(change)

    def reset_election_timer(self, now_s: float) -> None:
        timeout_s = self.options.election_timeout_s
        self.election_due_s = now_s + timeout_s * (1 + self.rng.random())

    def step_down(self, now_s: float) -> None:
        """Stop leading or campaigning."""
        if self.leader == self.identity:
            self.leader = None
        if self.chart.allows(self.role, "step_down"):
            self.advance_role("step_down")
            self.reset_election_timer(now_s)
        self.update_role_from_membership()

    def adopt_term(self, term: int, now_s: float) -> None:
        """Move to a higher term; the ballot is durable on return."""
        if term <= self.term:
            return
        self.ballot = Ballot(term)
        self.store.save_ballot(self.ballot)
        self.leader = None
        self.step_down(now_s)

    def record_leader_contact(self, leader: ReplicaId, now_s: float) -> None:
        """Note a message of this term's leader."""
        self.leader_contact_s = now_s
        self.reset_election_timer(now_s)
        if self.leader != leader:
            self.leader = leader
            self.report_role()
        self.step_down(now_s)

    def update_role_from_membership(self) -> None:
        """Gain or lose the vote according to the latest membership."""
        if self.role == "learner" and self.may_campaign:
            self.advance_role("gain_vote")
        elif self.role not in ("learner", "leader") and not self.may_campaign:
            self.advance_role("lose_vote")

    def advance_commit(self, index: int) -> None:
        if index <= self.commit_index:
            return
        entries = self.log.read(self.commit_index + 1, index)
        self.output.committed.extend(entries)
        self.commit_index = index
