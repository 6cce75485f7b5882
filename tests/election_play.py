"""Seeded elections among voters that start again, without further faults.

Measure with ``python -m tests.election_play FIRST COUNT``.
"""

import heapq
import random
import sys
from dataclasses import dataclass

from buckthorndeal.consensus import (
    Entry,
    EntryKind,
    Membership,
    ReplicaId,
    ReplicaOptions,
    create_replica,
)
from buckthorndeal.consensus.logstore import MemoryLogStore

TIMEOUT_S = 0.9
OPTIONS = ReplicaOptions(election_timeout_s=TIMEOUT_S, heartbeat_interval_s=0.3)
MAX_DELAYS_S = (0.01, 0.04, 0.08)
MAX_SYNC_S = 0.02
START_SPREADS_S = (0.0, 0.3, 1.0, 4.0)
ELECTION_LIMIT_S = 60.0
LAST_INDEX = 12
# Fraction of the voters whose logs end earlier, in elections with such voters.
BEHIND_SHARE = 0.3


class DurableStore(MemoryLogStore):
    """Store in memory that counts as durable."""

    durable = True


@dataclass(frozen=True)
class Election:
    """Outcome of one election.

    Parameters
    ----------
    terms : int
        Terms that were needed; more than one if the votes were split.
    delay_s : float
        Time from the start of the last voter to a leader, in seconds.
    """

    terms: int
    delay_s: float


class ElectionPlay:
    """Election of one seed.

    Parameters
    ----------
    seed : int
        Chooses the voters, their logs and their starts, and the delays of messages.
    running : int, optional
        Number of five voters that start. By default the seed chooses a majority or
        more, of three or five voters.
    one_way : bool, optional
        Whether the messages of the highest voter reach only the lowest one.
    """

    def __init__(self, seed, running=None, one_way=False):
        self.rng = rng = random.Random(seed)
        self.one_way = one_way
        self.now_s = 0.0
        self.queue = []
        self.sequence = 0
        self.max_delay_s = rng.choice(MAX_DELAYS_S)
        count = 5 if running else rng.choice((3, 5))
        voters = tuple(ReplicaId(host, 1) for host in "abcde"[:count])
        self.bootstrap = Membership(voters)
        self.entries_behind = rng.choice((0, 0, 1, 3))
        spread_s = rng.choice(START_SPREADS_S)
        started = rng.sample(voters, running or rng.randint(count // 2 + 1, count))
        self.lowest, self.highest = min(started), max(started)
        self.starts_s = {each: rng.uniform(0, spread_s) for each in started}
        self.replicas = {}
        self.wakeups_s = {}
        self.leader = None

    def run(self):
        """Run until there is a leader and return the `Election`."""
        for replica, start_s in self.starts_s.items():
            self.schedule(start_s, self.start, replica)
        while self.leader is None:
            self.now_s, _, action, arguments = heapq.heappop(self.queue)
            if self.now_s > ELECTION_LIMIT_S:
                raise AssertionError(f"no leader within {ELECTION_LIMIT_S} s")
            action(*arguments)
        delay_s = self.now_s - max(self.starts_s.values())
        return Election(self.leader.term - 1, delay_s)

    def schedule(self, delay_s, action, *arguments):
        self.sequence += 1
        item = (self.now_s + delay_s, self.sequence, action, arguments)
        heapq.heappush(self.queue, item)

    def start(self, identity):
        store = DurableStore(identity.incarnation)
        rng = random.Random(self.rng.random())
        create_replica(identity, store, rng, OPTIONS, self.bootstrap, self.now_s)
        is_behind = self.rng.random() < BEHIND_SHARE
        last_index = LAST_INDEX - self.entries_behind * is_behind
        store.append(
            [Entry(index, 1, EntryKind.DATA, b"x") for index in range(2, last_index)]
        )
        replica = create_replica(identity, store, rng, OPTIONS, None, self.now_s)
        self.replicas[identity] = replica
        self.schedule_wakeup(identity)

    def schedule_wakeup(self, identity):
        due_s = self.replicas[identity].next_wakeup_s
        self.wakeups_s[identity] = due_s
        self.schedule(max(due_s - self.now_s, 0) + 1e-6, self.wake, identity, due_s)

    def wake(self, identity, due_s):
        if self.wakeups_s[identity] != due_s:
            return
        self.process(identity, self.replicas[identity].tick(self.now_s))

    def deliver(self, source, target, message):
        if target in self.replicas:
            replica = self.replicas[target]
            self.process(target, replica.receive(message, source, self.now_s))

    def process(self, identity, output):
        if self.replicas[identity].role == "leader":
            self.leader = self.replicas[identity]
        sync_s = self.rng.uniform(0, MAX_SYNC_S)
        for target, message in output.messages:
            if self.one_way and identity == self.highest and target != self.lowest:
                continue
            delay_s = sync_s + self.rng.uniform(0.001, self.max_delay_s)
            self.schedule(delay_s, self.deliver, identity, target, message)
        self.schedule_wakeup(identity)


def measure(seeds, **options):
    """Return the outcomes of `seeds`."""
    return [ElectionPlay(seed, **options).run() for seed in seeds]


def describe(outcomes):
    """Return the share of split votes and the delays of `outcomes` as text."""
    split = sum(each.terms > 1 for each in outcomes)
    twice = sum(each.terms > 2 for each in outcomes)
    delays = sorted(each.delay_s for each in outcomes)
    count = len(delays)
    return (
        f"{count} elections: {split} of more than one term, {twice} of more than two; "
        f"delay mean {sum(delays) / count:.2f} s, p95 {delays[count * 95 // 100]:.2f}"
        f" s, max {delays[-1]:.2f} s"
    )


def main(first, count):
    """Measure elections of several kinds and print them."""
    seeds = range(first, first + count)
    print("any", describe(measure(seeds)))
    for running in (3, 4, 5):
        print(f"{running} of 5", describe(measure(seeds, running=running)))
    print("one way, 4 of 5", describe(measure(seeds, running=4, one_way=True)))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
