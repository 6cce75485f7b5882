"""Seeded random runs of several replicas under faults.

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
DISKLESS = "e"
FAULTS_END_S = 10.0
PROGRESS_LIMIT_S = 20.0
DRIFT = 0.02
TIMEOUT_S = 0.5
OPTIONS = ReplicaOptions(
    election_timeout_s=TIMEOUT_S,
    heartbeat_interval_s=0.2,
    clock_drift_bound=DRIFT,
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
    """The host crashes inside a store operation."""


class SimulatedDisk(MemoryLogStore):
    """Durable store that loses unsynced operations in a crash."""

    def __init__(self, incarnation, rng):
        super().__init__(incarnation)
        self.rng = rng
        self.unsynced = []
        self.operations_left = None

    durable = True

    def _step(self):
        if self.operations_left is not None:
            self.operations_left -= 1
            if self.operations_left <= 0:
                raise SimulatedCrash

    def _save(self):
        self.unsynced.append(self.load())

    def append(self, entries):
        self._step()
        self._save()
        super().append(entries)

    def truncate(self, first_index):
        self._step()
        self._save()
        super().truncate(first_index)

    def sync(self):
        self._step()
        self.unsynced.clear()

    def save_ballot(self, ballot):
        self._step()
        super().save_ballot(ballot)
        for state in self.unsynced:
            state.ballot = ballot

    def save_snapshot(self, snapshot):
        self._step()
        super().save_snapshot(snapshot)
        self.unsynced.clear()

    def crash(self):
        """Keep a random prefix of the unsynced operations."""
        if self.unsynced:
            states = [*self.unsynced, self.load()]
            self._state = self.rng.choice(states)
        self.unsynced.clear()
        self.operations_left = None


class Node:
    """One host: its disk, its clock and the replica while it runs."""

    def __init__(self, host, rng):
        self.host = host
        self.rate = 1 + rng.uniform(-DRIFT, DRIFT) * 0.99
        self.skew_s = rng.uniform(0, 1000)
        self.store = None
        self.replica = None
        self.wakeup_s = None
        self.start = 0
        self.digest = 0

    def read_clock(self, time_s):
        return self.skew_s + time_s * self.rate

    def find_time(self, clock_s):
        return (clock_s - self.skew_s) / self.rate


class Simulation:
    """One run; raises `AssertionError` when a rule is broken."""

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        self.now_s = 0.0
        self.queue = []
        self.sequence = 0
        self.faults = True
        self.loss = rng.choice((0, 0.02, 0.1, 0.3))
        self.duplication = rng.choice((0, 0.05, 0.2))
        self.delay_s = rng.choice((0.005, 0.05, 0.2))
        # Share of messages that arrive seconds late, in later terms.
        self.late = rng.choice((0, 0.02, 0.1))
        self.pace_s = rng.choice((0.2, 0.4, 1.5))
        self.churn = rng.choice((0, 0, 0.3))
        self.cut = set()
        self.lost = set()
        self.incarnations = 0
        self.nodes = {host: Node(host, rng) for host in HOSTS}
        self.committed = {}
        self.digests = {0: 0}
        self.top = 0
        self.entries = {}
        self.leaders = {}
        self.reads = {}
        self.proposals = 0
        for node in self.nodes.values():
            self.create_store(node)
        voters = tuple(self.identify(self.nodes[host]) for host in "abc")
        self.bootstrap = Membership(voters)
        for node in self.nodes.values():
            self.start(node, node.host in "abc")

    def identify(self, node):
        return ReplicaId(node.host, node.store.incarnation)

    def create_store(self, node):
        self.incarnations += 1
        if node.host == DISKLESS:
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
            self.identify(node),
            node.store,
            random.Random(self.rng.random()),
            OPTIONS,
            self.bootstrap if bootstrap else None,
            clock_s,
        )
        snapshot = node.replica.snapshot
        node.start = snapshot.index if snapshot else 0
        node.digest = int(snapshot.data) if snapshot else 0
        node.wakeup_s = None
        self.plan_wakeup(node)

    def plan_wakeup(self, node):
        due_s = node.find_time(node.replica.next_wakeup_s)
        if node.wakeup_s is None or due_s < node.wakeup_s:
            node.wakeup_s = due_s
            delay_s = max(0, due_s - self.now_s) + 1e-6
            self.schedule(delay_s, self.wake, node, node.replica, due_s)

    def wake(self, node, replica, due_s):
        if node.replica is not replica or node.wakeup_s != due_s:
            return
        node.wakeup_s = None
        if node.find_time(replica.next_wakeup_s) <= self.now_s:
            self.call(node, replica.tick)
        if node.replica is replica:
            self.plan_wakeup(node)

    def call(self, node, method, *arguments):
        """Call the replica and carry out its output."""
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
            node.start = node.replica.snapshot.index
            node.digest = int(output.restored_snapshot)
            assert self.digests[node.start] == node.digest, "snapshot differs"
        for entry in output.committed:
            self.commit(node, entry)
        for change in output.role_changes:
            if change.role == "leader":
                leader = self.leaders.setdefault(change.term, node.replica.identity)
                assert leader == node.replica.identity, f"two leaders in {change.term}"
                self.check_complete(node)
        for read in output.confirmed_reads:
            asked = self.reads.pop((node.replica, read.read_id), None)
            assert asked is None or read.index >= asked, "stale read"
        for target, message in output.messages:
            self.transmit(node.host, target, message)
        self.plan_wakeup(node)

    def commit(self, node, entry):
        assert entry.index == node.start + 1, "gap in committed entries"
        record = msgspec.msgpack.encode(entry)
        known = self.committed.setdefault(entry.index, record)
        assert known == record, f"committed entry {entry.index} differs"
        node.start = entry.index
        node.digest = zlib.crc32(record, node.digest)
        self.digests[entry.index] = node.digest
        if entry.index > self.top:
            self.top = entry.index
            self.check_leases()

    def check_leases(self):
        for node in self.nodes.values():
            replica = node.replica
            if replica and replica.has_lease(node.read_clock(self.now_s)):
                assert replica.commit_index >= self.top, "stale lease"

    def check_complete(self, node):
        """Check that a leader has every committed entry."""
        state = node.store.load()
        base = state.snapshot.index if state.snapshot else 0
        assert base + len(state.entries) >= self.top, "leader lacks committed entries"
        for entry in state.entries:
            record = self.committed.get(entry.index)
            if record is not None:
                assert record == msgspec.msgpack.encode(entry), "leader reverts"

    def check_logs(self):
        """Check that entries with equal index and term have equal predecessors."""
        for node in self.nodes.values():
            state = node.store.load()
            previous = state.snapshot.term if state.snapshot else 0
            for entry in state.entries:
                key = (entry.index, entry.term)
                found = (entry.kind, entry.data, previous)
                known = self.entries.setdefault(key, found)
                assert known == found, f"logs differ at {key}"
                previous = entry.term

    def transmit(self, source, target, message):
        content = msgspec.msgpack.encode(message)
        copies = 1
        if self.faults:
            copies -= self.rng.random() < self.loss
            copies += self.rng.random() < self.duplication
        for _ in range(copies):
            delay_s = self.rng.uniform(0.001, self.delay_s if self.faults else 0.01)
            if self.faults and self.rng.random() < self.late:
                delay_s += self.rng.uniform(0, 3)
            self.schedule(delay_s, self.deliver, source, target, content)

    def deliver(self, source, target, content):
        node = self.nodes[target.host]
        if node.replica is None or (source, target.host) in self.cut:
            return
        message = DECODER.decode(content)
        self.call(node, node.replica.receive, message, message.source)

    def crash(self, node):
        self.check_logs()
        node.replica = None
        if node.host == DISKLESS:
            self.create_store(node)
        else:
            node.store.crash()
            if self.faults and self.rng.random() < 0.6 and self.may_lose_disk():
                self.lost.add(self.identify(node))
                self.create_store(node)
        self.schedule(self.rng.choice((0.01, 0.5, 3)), self.restart, node)

    def restart(self, node):
        if node.replica is None:
            self.start(node)

    def list_memberships(self):
        return [ReplicaLog(node.store).membership for node in self.nodes.values()]

    def has_all_disks(self):
        """Return whether no membership names a replica that lost its disk."""
        memberships = self.list_memberships()
        return not any(self.lost.intersection(m.members) for m in memberships)

    def may_lose_disk(self):
        """Allow the loss of one disk at a time, until the membership is repaired."""
        sizes = [len(m.voters) for m in self.list_memberships() if m.voters]
        return min(sizes) >= 3 and self.has_all_disks()

    def inject(self):
        """Inject a random fault."""
        if not self.faults:
            return
        rng = self.rng
        node = self.choose_node()
        kind = rng.randrange(7)
        if kind == 0 and node.replica:
            self.crash(node)
        elif kind == 1 and node.replica and node.host != DISKLESS:
            node.store.operations_left = rng.randrange(1, 4)
        elif kind == 2:
            pairs = {(node.host, other) for other in HOSTS}
            self.cut |= pairs | {(b, a) for a, b in pairs}
        elif kind == 3:
            self.cut.add((node.host, rng.choice(HOSTS)))
        elif kind == 4:
            other = rng.choice(HOSTS)
            self.cut |= {(node.host, other), (other, node.host)}
        elif kind == 5:
            self.cut.clear()
        elif node.replica and node.start:
            self.compact(node)
        self.schedule(rng.uniform(0.05, 0.8), self.inject)

    def choose_node(self):
        """Return a random host, often the leader's."""
        nodes = list(self.nodes.values())
        leaders = [n for n in nodes if n.replica and n.replica.role == "leader"]
        return self.rng.choice(
            leaders if self.rng.random() < 0.4 and leaders else nodes
        )

    def compact(self, node):
        try:
            node.replica.compact(node.start, b"%d" % node.digest)
        except SimulatedCrash:
            self.crash(node)

    def drive(self):
        """Propose, read and change the membership on every replica that leads."""
        for node in self.nodes.values():
            if node.replica and node.replica.role == "leader":
                self.drive_leader(node)
        self.check_leases()
        self.schedule(self.rng.uniform(0.05, self.pace_s), self.drive)

    def drive_leader(self, node):
        self.proposals += 1
        self.call(node, node.replica.propose, b"%d" % self.proposals)
        replica = node.replica
        if replica is None or replica.role != "leader":
            return
        if self.rng.random() < 0.3:
            top = self.top
            read_id = self.call(node, replica.start_read)
            self.reads[replica, read_id] = top
        if node.replica is not replica or replica.role != "leader":
            return
        change = self.choose_change(node)
        if change is not None:
            try:
                self.call(node, replica.propose_membership, change)
            except MembershipChangeError:
                pass

    def choose_change(self, node):
        """Return the policy's change, or a random one while no disk is lost."""
        replica = node.replica
        voters = replica.membership.voters
        learners = replica.membership.learners
        if self.faults and self.rng.random() < self.churn and self.has_all_disks():
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
        """Run with faults, then without, and check progress."""
        self.schedule(0.0, self.drive)
        self.schedule(self.rng.uniform(0, 2), self.inject)
        self.run_until(FAULTS_END_S)
        self.faults = False
        self.cut.clear()
        for node in self.nodes.values():
            if isinstance(node.store, SimulatedDisk):
                node.store.operations_left = None
        for node in self.nodes.values():
            self.restart(node)
        goal = self.top + 3
        end_s = self.now_s + PROGRESS_LIMIT_S
        while not self.has_progress(goal):
            assert self.now_s < end_s, f"no progress to {goal}: {self.describe()}"
            self.run_until(self.now_s + 0.2)
            self.now_s += 0.2
        self.check_logs()

    def has_progress(self, goal):
        """Return whether every host has the new entries."""
        replicas = [node.replica for node in self.nodes.values()]
        if not all(replicas):
            return False
        return all(replica.commit_index >= goal for replica in replicas)

    def describe(self):
        return [
            (r.identity, r.role, r.term, r.commit_index, r.last_index, r.membership)
            for r in (node.replica for node in self.nodes.values())
            if r
        ]


def run_seed(seed):
    """Run one seed; the error of a failing one names the command to repeat it."""
    simulation = Simulation(seed)
    try:
        simulation.run()
    except Exception as error:
        command = f"{sys.executable} -m tests.consensus_harness {seed} 1"
        raise AssertionError(f"{error!r}; repeat with: {command}") from error
    return simulation


def run_seeds(first, count):
    """Run `count` seeds from `first` on."""
    for seed in range(first, first + count):
        run_seed(seed)


if __name__ == "__main__":
    started_s = time.process_time()
    run_seeds(int(sys.argv[1]), int(sys.argv[2]))
    print(f"{sys.argv[2]} seeds, {time.process_time() - started_s:.1f} s of CPU")
