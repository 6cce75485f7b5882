"""Seeded simulations of a cluster of replicas with random faults.

Run more seeds with ``python -m tests.consensus_harness FIRST COUNT``.
"""

import functools
import heapq
import operator
import random
import sys
import time
import zlib

import msgspec

from buckthorndeal.consensus import (
    CONSENSUS_MESSAGES,
    FixedSizePolicy,
    Membership,
    PromoteLearner,
    RemoveMember,
    ReplicaId,
    ReplicaOptions,
    create_replica,
)
from buckthorndeal.consensus._log import ReplicaLog
from buckthorndeal.consensus.logstore import MemoryLogStore
from buckthorndeal.errors import MembershipChangeError

HOSTS = ("a", "b", "c", "d", "e")
DISKLESS_HOST = "e"
FAULTS_END_S = 10.0
PROGRESS_LIMIT_S = 20.0
CLOCK_DRIFT_BOUND = 0.02
TIMEOUT_S = 0.5
OPTIONS = ReplicaOptions(
    election_timeout_s=TIMEOUT_S,
    heartbeat_interval_s=0.2,
    clock_drift_bound=CLOCK_DRIFT_BOUND,
    join_interval_s=0.5,
    join_hosts=HOSTS,
    max_append_bytes=40,
    max_inflight_entries=8,
    snapshot_chunk_bytes=16,
    catch_up_entries=4,
)
POLICY = FixedSizePolicy(promote_after_s=1.5, remove_learner_after_s=2.5)
DECODER = msgspec.msgpack.Decoder(functools.reduce(operator.or_, CONSENSUS_MESSAGES))


class SimulatedCrash(Exception):
    """Crash of a host during a store operation."""


class SimulatedDisk(MemoryLogStore):
    """Durable store whose unsynced operations may be lost in a crash."""

    def __init__(self, incarnation, rng):
        super().__init__(incarnation)
        self.rng = rng
        self.unsynced_states = []
        self.operations_left = None

    durable = True

    def _count_operation(self):
        if self.operations_left is not None:
            self.operations_left -= 1
            if self.operations_left <= 0:
                raise SimulatedCrash

    def _remember_unsynced_state(self):
        self.unsynced_states.append(self.load())

    def append(self, entries):
        self._count_operation()
        self._remember_unsynced_state()
        super().append(entries)

    def truncate(self, first_index):
        self._count_operation()
        self._remember_unsynced_state()
        super().truncate(first_index)

    def sync(self):
        self._count_operation()
        self.unsynced_states.clear()

    def save_ballot(self, ballot):
        self._count_operation()
        super().save_ballot(ballot)
        for state in self.unsynced_states:
            state.ballot = ballot

    def save_snapshot(self, snapshot):
        self._count_operation()
        super().save_snapshot(snapshot)
        self.unsynced_states.clear()

    def crash(self):
        """Keep a random prefix of the operations since the last sync."""
        if self.unsynced_states:
            states = [*self.unsynced_states, self.load()]
            self._state = self.rng.choice(states)
        self.unsynced_states.clear()
        self.operations_left = None


class SimulatedHost:
    """Host with a disk, a drifting clock and, while it is up, a replica."""

    def __init__(self, host, rng):
        self.host = host
        self.clock_rate = 1 + rng.uniform(-CLOCK_DRIFT_BOUND, CLOCK_DRIFT_BOUND) * 0.99
        self.clock_offset_s = rng.uniform(0, 1000)
        self.store = None
        self.replica = None
        self.wakeup_s = None
        self.applied_index = 0
        self.digest = 0

    def read_clock(self, time_s):
        return self.clock_offset_s + time_s * self.clock_rate

    def convert_to_time(self, clock_s):
        return (clock_s - self.clock_offset_s) / self.clock_rate


class Simulation:
    """Simulation of one seed; raises `AssertionError` if an invariant is violated."""

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        self.now_s = 0.0
        self.queue = []
        self.sequence = 0
        self.faults_enabled = True
        self.loss_rate = rng.choice((0, 0.02, 0.1, 0.3))
        self.duplication_rate = rng.choice((0, 0.05, 0.2))
        self.max_delay_s = rng.choice((0.005, 0.05, 0.2))
        # Fraction of messages that are delayed by up to 3 s, so that they arrive in a
        # later term.
        self.late_rate = rng.choice((0, 0.02, 0.1))
        self.max_proposal_interval_s = rng.choice((0.2, 0.4, 1.5))
        self.random_change_rate = rng.choice((0, 0, 0.3))
        self.blocked_links = set()
        self.lost_replicas = set()
        self.incarnations = 0
        self.nodes = {host: SimulatedHost(host, rng) for host in HOSTS}
        self.committed_records = {}
        self.digest_by_index = {0: 0}
        self.highest_commit_index = 0
        self.known_entries = {}
        self.leader_by_term = {}
        self.pending_reads = {}
        self.proposal_count = 0
        for node in self.nodes.values():
            self.create_store(node)
        voters = tuple(self.get_replica_id(self.nodes[host]) for host in "abc")
        self.bootstrap = Membership(voters)
        for node in self.nodes.values():
            self.start(node, node.host in "abc")

    def get_replica_id(self, node):
        return ReplicaId(node.host, node.store.incarnation)

    def create_store(self, node):
        self.incarnations += 1
        if node.host == DISKLESS_HOST:
            node.store = MemoryLogStore(self.incarnations)
        else:
            node.store = SimulatedDisk(self.incarnations, self.rng)

    def schedule(self, delay_s, action, *arguments):
        self.sequence += 1
        item = (self.now_s + delay_s, self.sequence, action, arguments)
        heapq.heappush(self.queue, item)

    def start(self, node, bootstrap=False):
        clock_s = node.read_clock(self.now_s)
        node.replica = create_replica(
            self.get_replica_id(node),
            node.store,
            random.Random(self.rng.random()),
            OPTIONS,
            self.bootstrap if bootstrap else None,
            clock_s,
        )
        snapshot = node.replica.snapshot
        node.applied_index = snapshot.index if snapshot else 0
        node.digest = int(snapshot.data) if snapshot else 0
        node.wakeup_s = None
        self.schedule_wakeup(node)

    def schedule_wakeup(self, node):
        due_s = node.convert_to_time(node.replica.next_wakeup_s)
        if node.wakeup_s is None or due_s < node.wakeup_s:
            node.wakeup_s = due_s
            delay_s = max(0, due_s - self.now_s) + 1e-6
            self.schedule(delay_s, self.wake, node, node.replica, due_s)

    def wake(self, node, replica, due_s):
        if node.replica is not replica or node.wakeup_s != due_s:
            return
        node.wakeup_s = None
        if node.convert_to_time(replica.next_wakeup_s) <= self.now_s:
            self.call(node, replica.tick)
        if node.replica is replica:
            self.schedule_wakeup(node)

    def call(self, node, method, *arguments):
        """Call a method of the replica and process its output."""
        try:
            result = method(*arguments, node.read_clock(self.now_s))
        except SimulatedCrash:
            self.crash(node)
            return None
        value, output = result if isinstance(result, tuple) else (None, result)
        self.apply(node, output)
        return value

    def apply(self, node, output):
        if output.restored_snapshot is not None:
            node.applied_index = node.replica.snapshot.index
            node.digest = int(output.restored_snapshot)
            assert self.digest_by_index[node.applied_index] == node.digest, (
                "snapshot differs"
            )
        for entry in output.committed:
            self.commit(node, entry)
        for change in output.role_changes:
            if change.role == "leader":
                leader = self.leader_by_term.setdefault(
                    change.term, node.replica.identity
                )
                assert leader == node.replica.identity, f"two leaders in {change.term}"
                self.check_leader_completeness(node)
        for read in output.confirmed_reads:
            required_index = self.pending_reads.pop((node.replica, read.read_id), None)
            assert required_index is None or read.index >= required_index, "stale read"
        for target, message in output.messages:
            self.transmit(node.host, target, message)
        self.schedule_wakeup(node)

    def commit(self, node, entry):
        assert entry.index == node.applied_index + 1, "gap in committed entries"
        record = msgspec.msgpack.encode(entry)
        known = self.committed_records.setdefault(entry.index, record)
        assert known == record, f"committed entry {entry.index} differs"
        node.applied_index = entry.index
        node.digest = zlib.crc32(record, node.digest)
        self.digest_by_index[entry.index] = node.digest
        if entry.index > self.highest_commit_index:
            self.highest_commit_index = entry.index
            self.check_leases()

    def check_leases(self):
        for node in self.nodes.values():
            replica = node.replica
            if replica and replica.has_lease(node.read_clock(self.now_s)):
                assert replica.commit_index >= self.highest_commit_index, "stale lease"

    def check_leader_completeness(self, node):
        """Check that a new leader has all committed entries (Leader Completeness)."""
        state = node.store.load()
        base = state.snapshot.index if state.snapshot else 0
        assert base + len(state.entries) >= self.highest_commit_index, (
            "leader lacks committed entries"
        )
        for entry in state.entries:
            record = self.committed_records.get(entry.index)
            if record is not None:
                assert record == msgspec.msgpack.encode(entry), "leader reverts"

    def check_log_matching(self):
        """Check that entries with the same index and term are identical.

        Their preceding entries must have the same term (Log Matching).
        """
        for node in self.nodes.values():
            state = node.store.load()
            previous = state.snapshot.term if state.snapshot else 0
            for entry in state.entries:
                key = (entry.index, entry.term)
                found = (entry.kind, entry.data, previous)
                known = self.known_entries.setdefault(key, found)
                assert known == found, f"logs differ at {key}"
                previous = entry.term

    def transmit(self, source, target, message):
        content = msgspec.msgpack.encode(message)
        copies = 1
        if self.faults_enabled:
            copies -= self.rng.random() < self.loss_rate
            copies += self.rng.random() < self.duplication_rate
        for _ in range(copies):
            delay_s = self.rng.uniform(
                0.001, self.max_delay_s if self.faults_enabled else 0.01
            )
            if self.faults_enabled and self.rng.random() < self.late_rate:
                delay_s += self.rng.uniform(0, 3)
            self.schedule(delay_s, self.deliver, source, target, content)

    def deliver(self, source, target, content):
        node = self.nodes[target.host]
        if node.replica is None or (source, target.host) in self.blocked_links:
            return
        message = DECODER.decode(content)
        self.call(node, node.replica.receive, message, message.source)

    def crash(self, node):
        self.check_log_matching()
        node.replica = None
        if node.host == DISKLESS_HOST:
            self.create_store(node)
        else:
            node.store.crash()
            if self.faults_enabled and self.rng.random() < 0.6 and self.may_lose_disk():
                self.lost_replicas.add(self.get_replica_id(node))
                self.create_store(node)
        self.schedule(self.rng.choice((0.01, 0.5, 3)), self.restart, node)

    def restart(self, node):
        if node.replica is None:
            self.start(node)

    def list_memberships(self):
        return [ReplicaLog(node.store).membership for node in self.nodes.values()]

    def has_no_lost_members(self):
        """Return whether no membership contains a replica that has lost its disk."""
        memberships = self.list_memberships()
        return not any(self.lost_replicas.intersection(m.members) for m in memberships)

    def may_lose_disk(self):
        """Return whether a disk may be lost: one at a time, with 3 voters or more."""
        sizes = [len(m.voters) for m in self.list_memberships() if m.voters]
        return min(sizes) >= 3 and self.has_no_lost_members()

    def inject_fault(self):
        """Inject a random fault."""
        if not self.faults_enabled:
            return
        rng = self.rng
        node = self.choose_node()
        kind = rng.randrange(7)
        if kind == 0 and node.replica:
            self.crash(node)
        elif kind == 1 and node.replica and node.host != DISKLESS_HOST:
            node.store.operations_left = rng.randrange(1, 4)
        elif kind == 2:
            outgoing_links = {(node.host, other) for other in HOSTS}
            self.blocked_links |= outgoing_links | {(b, a) for a, b in outgoing_links}
        elif kind == 3:
            self.blocked_links.add((node.host, rng.choice(HOSTS)))
        elif kind == 4:
            other = rng.choice(HOSTS)
            self.blocked_links |= {(node.host, other), (other, node.host)}
        elif kind == 5:
            self.blocked_links.clear()
        elif node.replica and node.applied_index:
            self.compact(node)
        self.schedule(rng.uniform(0.05, 0.8), self.inject_fault)

    def choose_node(self):
        """Return a random host, with a preference for leaders."""
        nodes = list(self.nodes.values())
        leaders = [n for n in nodes if n.replica and n.replica.role == "leader"]
        return self.rng.choice(
            leaders if self.rng.random() < 0.4 and leaders else nodes
        )

    def compact(self, node):
        try:
            node.replica.compact(node.applied_index, b"%d" % node.digest)
        except SimulatedCrash:
            self.crash(node)

    def drive_leaders(self):
        """Propose entries, reads and membership changes on all leaders."""
        for node in self.nodes.values():
            if node.replica and node.replica.role == "leader":
                self.drive_leader(node)
        self.check_leases()
        self.schedule(
            self.rng.uniform(0.05, self.max_proposal_interval_s), self.drive_leaders
        )

    def drive_leader(self, node):
        self.proposal_count += 1
        self.call(node, node.replica.propose, b"%d" % self.proposal_count)
        replica = node.replica
        if replica is None or replica.role != "leader":
            return
        if self.rng.random() < 0.3:
            highest_commit_index = self.highest_commit_index
            read_id = self.call(node, replica.start_read)
            self.pending_reads[replica, read_id] = highest_commit_index
        if node.replica is not replica or replica.role != "leader":
            return
        change = self.choose_change(node)
        if change is not None:
            try:
                self.call(node, replica.propose_membership, change)
            except MembershipChangeError:
                pass

    def choose_change(self, node):
        """Return a change chosen by the policy, or a random one if no disk is lost."""
        replica = node.replica
        voters = replica.membership.voters
        learners = replica.membership.learners
        if (
            self.faults_enabled
            and self.rng.random() < self.random_change_rate
            and self.has_no_lost_members()
        ):
            if learners and self.rng.random() < 0.5:
                return PromoteLearner(self.rng.choice(learners))
            if len(voters) > 2:
                return RemoveMember(self.rng.choice(voters))
        members = replica.list_members(node.read_clock(self.now_s))
        return POLICY.choose_change(members)

    def run_until(self, end_s):
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)

    def run(self):
        """Run with faults, then without them until the cluster has made progress."""
        self.schedule(0.0, self.drive_leaders)
        self.schedule(self.rng.uniform(0, 2), self.inject_fault)
        self.run_until(FAULTS_END_S)
        self.faults_enabled = False
        self.blocked_links.clear()
        for node in self.nodes.values():
            if isinstance(node.store, SimulatedDisk):
                node.store.operations_left = None
        for node in self.nodes.values():
            self.restart(node)
        target_index = self.highest_commit_index + 3
        end_s = self.now_s + PROGRESS_LIMIT_S
        while not self.has_progress(target_index):
            assert self.now_s < end_s, (
                f"no progress to {target_index}: {self.describe()}"
            )
            self.run_until(self.now_s + 0.2)
            self.now_s += 0.2
        self.check_log_matching()

    def has_progress(self, target_index):
        """Return whether all replicas have committed up to `target_index`."""
        replicas = [node.replica for node in self.nodes.values()]
        if not all(replicas):
            return False
        return all(replica.commit_index >= target_index for replica in replicas)

    def describe(self):
        return [
            (r.identity, r.role, r.term, r.commit_index, r.last_index, r.membership)
            for r in (node.replica for node in self.nodes.values())
            if r
        ]


def run_seed(seed):
    """Run one seed; on failure, the error contains the command that repeats it."""
    simulation = Simulation(seed)
    try:
        simulation.run()
    except Exception as error:
        command = f"{sys.executable} -m tests.consensus_harness {seed} 1"
        raise AssertionError(f"{error!r}; repeat with: {command}") from error
    return simulation


def run_seeds(first, count):
    """Run the `count` seeds that start at `first`."""
    for seed in range(first, first + count):
        run_seed(seed)


if __name__ == "__main__":
    started_s = time.process_time()
    run_seeds(int(sys.argv[1]), int(sys.argv[2]))
    print(f"{sys.argv[2]} seeds, {time.process_time() - started_s:.1f} s of CPU")
