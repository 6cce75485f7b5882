"""A cluster of replicas for the tests of the replicated log."""

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
    """Replicas on one clock; messages arrive at once unless a host is down."""

    def __init__(self, voters="abc", policy=None):
        self.now_s = 0.0
        self.policy = policy
        self.down = set()
        self.drop = lambda message: False
        self.committed = {}
        self.reads = []
        self.log = []
        self.incarnation = 0
        self.stores = {}
        self.replicas = {}
        for host in voters:
            self.create_store(host)
        self.bootstrap = Membership(tuple(self.identify(host) for host in voters))
        for host in voters:
            self.start(host, self.bootstrap)

    def identify(self, host):
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
            self.identify(host),
            self.stores[host],
            rng,
            OPTIONS,
            bootstrap,
            self.now_s,
        )
        self.committed[host] = []

    def apply(self, host, output):
        """Deliver messages until none is left."""
        queue = [(host, output)]
        while queue:
            source, output = queue.pop(0)
            if output.restored_snapshot is not None:
                self.committed[source] = [output.restored_snapshot]
            data = [e.data for e in output.committed if e.kind is EntryKind.DATA]
            self.committed[source].extend(data)
            self.reads.extend(output.confirmed_reads)
            if source in self.down:
                continue
            for target, message in output.messages:
                self.log.append(message)
                reachable = target.host in self.replicas.keys() - self.down
                if reachable and not self.drop(message):
                    queue.append((target.host, self.receive(target.host, message)))

    def receive(self, host, message):
        return self.replicas[host].receive(message, message.source, self.now_s)

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.05
            for host, replica in list(self.replicas.items()):
                self.apply(host, replica.tick(self.now_s))
            if self.policy:
                self.repair()

    def repair(self):
        for host, replica in list(self.replicas.items()):
            change = self.policy.choose_change(replica.list_members(self.now_s))
            if change and host not in self.down:
                self.apply(host, replica.propose_membership(change, self.now_s))

    def elect(self):
        """Run until a reachable replica leads, and return its host."""
        for _ in range(200):
            for host, replica in self.replicas.items():
                if host not in self.down and replica.role == "leader":
                    return host
            self.run(0.05)
        raise AssertionError("no leader")

    def propose(self, data):
        host = self.elect()
        _, output = self.replicas[host].propose(data, self.now_s)
        self.apply(host, output)
        return data in self.committed[host]

    def change(self, change):
        host = self.elect()
        self.apply(host, self.replicas[host].propose_membership(change, self.now_s))

    def add_learner(self, host, durable=True):
        self.create_store(host, durable)
        self.start(host)
        self.change(AddLearner(self.identify(host)))
        self.run(0.5)

    def get_voters(self):
        return {r.host for r in self.replicas[self.elect()].membership.voters}
