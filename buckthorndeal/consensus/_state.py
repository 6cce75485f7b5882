"""State of one replica, shared by the election and replication code."""

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from buckthorndeal.charts import load_chart
from buckthorndeal.consensus._log import ReplicaLog
from buckthorndeal.consensus._messages import ConsensusMessage
from buckthorndeal.consensus._records import Ballot, Entry, ReplicaId
from buckthorndeal.consensus.logstore import LogStore

# A replica that is not a voter campaigns after this many election timeouts without
# contact with a leader, which gives the voters time for several elections.
NONVOTER_ELECTION_TIMEOUTS = 8
# Fraction of the election timeout that a replica waits for a candidate it supports.
ELECTION_DEFER_SHARE = 1 / 3


@dataclass(frozen=True)
class ReplicaOptions:
    """Timeouts, size limits and join targets of a replica.

    Parameters
    ----------
    election_timeout_s : float
        Minimum election timeout in seconds; each timeout is drawn at random from
        this to twice this. A leader that has not heard from a majority for this
        time steps down.
    heartbeat_interval_s : float
        Interval in seconds between the leader's heartbeats to each member.
    clock_drift_bound : float
        Maximum relative error of the rate of any host's monotonic clock.
    join_interval_s : float
        Interval in seconds between `Join` messages while no leader is known.
    join_hosts : collection of str
        Hosts that `Join` is sent to; the replica's own host is skipped. The
        collection may grow while the replica runs.
    max_append_bytes : int
        Size in bytes at which the entry data of an `Append` is cut off; the last
        entry may exceed it.
    max_inflight_entries : int
        A member with this many unacknowledged entries is sent no further ones.
    snapshot_chunk_bytes : int
        Snapshot data per `InstallSnapshot`, in bytes.
    catch_up_entries : int
        A member has caught up if it lacks at most this many entries.
    """

    election_timeout_s: float = 1.5
    # With 0.3 s and 3 followers, a leader sends and receives 2.9 KB/s, more than a
    # host's budget of 2 KB/s.
    heartbeat_interval_s: float = 0.45
    clock_drift_bound: float = 0.01
    join_interval_s: float = 1.0
    join_hosts: Collection[str] = ()
    max_append_bytes: int = 262_144
    max_inflight_entries: int = 1024
    snapshot_chunk_bytes: int = 65_536
    catch_up_entries: int = 32

    @property
    def election_defer_s(self) -> float:
        """Time in seconds that a candidate is given to win before others start."""
        return self.election_timeout_s * ELECTION_DEFER_SHARE

    @property
    def lease_s(self) -> float:
        """Duration of the leader lease in seconds, on the leader's clock.

        After contact with the leader, a follower grants no vote for
        `election_timeout_s` on its own clock. That clock may run fast while the
        leader's runs slow, so the lease is shorter by the drift of both.
        """
        drift = self.clock_drift_bound
        return self.election_timeout_s * (1 - drift) / (1 + drift)


@dataclass(frozen=True)
class ProposalId:
    """Identifies a proposal: committed iff the entry at `index` has this `term`."""

    term: int
    index: int


@dataclass(frozen=True)
class ConfirmedRead:
    """Linearizable read `read_id`, served from the state at `index` or later."""

    read_id: int
    index: int


@dataclass(frozen=True)
class RoleChange:
    """Change of the replica's role, term or known leader."""

    role: str
    term: int
    leader: ReplicaId | None


@dataclass
class Output:
    """Results that the caller processes after a call, in the order of the fields."""

    restored_snapshot: bytes | None = None
    committed: list[Entry] = field(default_factory=list)
    confirmed_reads: list[ConfirmedRead] = field(default_factory=list)
    role_changes: list[RoleChange] = field(default_factory=list)
    messages: list[tuple[ReplicaId, ConsensusMessage]] = field(default_factory=list)


class ReplicaState:
    """Durable and volatile state of a replica and its transitions."""

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
        # `Leadership` while this replica leads, None otherwise.
        self.leadership: Any = None
        self.votes: set[ReplicaId] = set()
        # Start of this replica's last pre-vote, on the monotonic clock.
        self.pre_vote_started_s = now_s
        self.incoming_snapshot: Any = None
        self.commit_index = self.log.base_index
        # Before a restart, this replica may have acknowledged a leader whose lease
        # has not expired, so it behaves as if it had just heard from one.
        self.last_leader_contact_s = now_s
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
        """Return whether this replica may campaign although it is not a voter.

        Other replicas may count this one as a voter, under a promotion that it has
        not received or while its removal is in progress. If its log is ahead of
        theirs, it refuses them its vote, and after the loss of one voter's disk no
        other replica can win an election. Therefore this replica campaigns for a
        majority of the voters that it knows, leads until an entry is committed,
        and steps down.
        """
        required_silence_s = (
            NONVOTER_ELECTION_TIMEOUTS * self.options.election_timeout_s
        )
        silent = now_s - self.last_leader_contact_s >= required_silence_s
        return silent and self.store.durable and bool(self.log.membership.voters)

    def send(
        self,
        message_type: type,
        target: ReplicaId,
        term: int | None = None,
        **fields: Any,
    ) -> None:
        message = message_type(
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
        self.election_deferred = False

    def defer_election(self, now_s: float) -> None:
        """Give a candidate time to win, once for each election timeout."""
        if self.election_deferred:
            return
        self.election_deferred = True
        earliest_s = now_s + self.options.election_defer_s
        self.election_due_s = max(self.election_due_s, earliest_s)

    def step_down(self, now_s: float) -> None:
        """Stop leading or campaigning and return to the role of a non-leader."""
        if self.leader == self.identity:
            self.leader = None
        if self.chart.allows(self.role, "step_down"):
            self.advance_role("step_down")
            self.reset_election_timer(now_s)
        self.update_role_from_membership()

    def adopt_term(self, term: int, now_s: float) -> None:
        """Adopt `term` if it is higher; the ballot is durable on return."""
        if term <= self.term:
            return
        self.ballot = Ballot(term)
        self.store.save_ballot(self.ballot)
        self.leader = None
        self.step_down(now_s)

    def record_leader_contact(self, leader: ReplicaId, now_s: float) -> None:
        """Record a message from the leader of the current term."""
        self.last_leader_contact_s = now_s
        self.reset_election_timer(now_s)
        if self.leader != leader:
            self.leader = leader
            self.report_role()
        self.step_down(now_s)

    def update_role_from_membership(self) -> None:
        """Change the role if the latest membership grants or removes the vote."""
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
