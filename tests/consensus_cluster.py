"""In-process cluster of replicas for the consensus tests."""

import random

from buckthorndeal.consensus import (
    AddLearner,
    EntryKind,
    FixedSizePolicy,
    Membership,
    PreVoteReply,
    ReplicaId,
    ReplicaOptions,
    VoteReply,
    create_replica,
)
from buckthorndeal.consensus.logstore import MemoryLogStore
from tests.consensus_harness import SimulatedDisk

TIMEOUT_S = 1.0
OPTIONS = ReplicaOptions(
    election_timeout_s=TIMEOUT_S,
    heartbeat_interval_s=0.25,
    clock_drift_bound=0.01,
    join_interval_s=0.5,
    join_hosts=("a", "b", "c", "d"),
    snapshot_chunk_bytes=4,
)
POLICY = FixedSizePolicy(promote_after_s=3.0, remove_learner_after_s=10.0)
REPLIES = {"PreVoteReply": PreVoteReply, "VoteReply": VoteReply}


class Cluster:
    """Replicas with a common clock; messages arrive at once unless a host is down."""

    def __init__(self, voters="abc", policy=None):
        self.now_s = 0.0
        self.policy = policy
        self.down_hosts = set()
        self.should_drop = lambda message: False
        self.committed = {}
        self.confirmed_reads = []
        self.sent_messages = []
        self.incarnation = 0
        self.stores = {}
        self.replicas = {}
        for host in voters:
            self.create_store(host)
        self.bootstrap = Membership(tuple(self.get_replica_id(host) for host in voters))
        for host in voters:
            self.start(host, self.bootstrap)

    def get_replica_id(self, host):
        return ReplicaId(host, self.stores[host].incarnation)

    def create_store(self, host, durable=True):
        self.incarnation += 1
        if durable:
            store = SimulatedDisk(self.incarnation, random.Random(1))
        else:
            store = MemoryLogStore(self.incarnation)
        self.stores[host] = store

    def start(self, host, bootstrap=None):
        rng = random.Random(host)
        self.replicas[host] = create_replica(
            self.get_replica_id(host),
            self.stores[host],
            rng,
            OPTIONS,
            bootstrap,
            self.now_s,
        )
        self.committed[host] = []

    def deliver(self, host, output):
        """Process an output and deliver messages until none is left."""
        queue = [(host, output)]
        while queue:
            source, output = queue.pop(0)
            if output.restored_snapshot is not None:
                self.committed[source] = [output.restored_snapshot]
            data = [e.data for e in output.committed if e.kind is EntryKind.DATA]
            self.committed[source].extend(data)
            self.confirmed_reads.extend(output.confirmed_reads)
            if source in self.down_hosts:
                continue
            for target, message in output.messages:
                self.sent_messages.append(message)
                reachable = target.host in self.replicas.keys() - self.down_hosts
                if reachable and not self.should_drop(message):
                    queue.append((target.host, self.receive(target.host, message)))

    def receive(self, host, message):
        return self.replicas[host].receive(message, message.source, self.now_s)

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.05
            for host, replica in list(self.replicas.items()):
                self.deliver(host, replica.tick(self.now_s))
            if self.policy:
                self.apply_policy()

    def apply_policy(self):
        for host, replica in list(self.replicas.items()):
            change = self.policy.choose_change(replica.list_members(self.now_s))
            if change and host not in self.down_hosts:
                self.deliver(host, replica.propose_membership(change, self.now_s))

    def wait_for_leader(self):
        """Run until a reachable replica is the leader and return its host."""
        for _ in range(200):
            for host, replica in self.replicas.items():
                if host not in self.down_hosts and replica.role == "leader":
                    return host
            self.run(0.05)
        raise AssertionError("no leader")

    def propose(self, data):
        host = self.wait_for_leader()
        _, output = self.replicas[host].propose(data, self.now_s)
        self.deliver(host, output)
        return data in self.committed[host]

    def propose_change(self, change):
        host = self.wait_for_leader()
        self.deliver(host, self.replicas[host].propose_membership(change, self.now_s))

    def add_learner(self, host, durable=True):
        self.create_store(host, durable)
        self.start(host)
        self.propose_change(AddLearner(self.get_replica_id(host)))
        self.run(0.5)

    def get_voters(self):
        return {r.host for r in self.replicas[self.wait_for_leader()].membership.voters}
