"""Days of coordinators that end with a last fault, on which an ack has to hold.

Run seeds with ``python -m tests.last_fault_play FIRST COUNT [MODE]``.
"""

import contextlib
import sys
import time
from unittest import mock

from buckthorndeal import replication
from buckthorndeal.coordinator import _replica
from tests.coordinator_play import CATCH_UP_S, BrokenPromiseError, CoordinatorPlay

MODES = ("plain", "timed", "taken", "oldest")
# After the last fault, the time within which the newest state has to be read.
ANSWER_LIMIT_S = 30.0
SETTLE_S = 5.0


class LastFaultPlay(CoordinatorPlay):
    """Day of one seed.

    Parameters
    ----------
    seed : int
        Chooses the deployment and the disruptions.
    mode : {"plain", "timed", "taken", "oldest", "voters"}, optional
        When the last fault comes and which disks are lost; chosen by the seed by
        default.
    plant : callable, optional
        Called with the play before it starts, to plant a fault.
    """

    def __init__(self, seed, mode=None, plant=None):
        super().__init__(seed)
        self.mode = mode or self.rng.choice(MODES)
        self.disruptions = []
        if plant is not None:
            plant(self)

    def run(self):
        """Play the day; return the names of the disruptions."""
        with self.files.install(), silence_logs():
            self.start_all()
            self.schedule(0.0, self.send_order)
            self.run_for(SETTLE_S)
            for _ in range(self.rng.randrange(5)):
                self.disrupt()
                self.run_for(self.rng.choice((0.3, 2.0, CATCH_UP_S + 3.0)))
            self.wait_for_ack()
            self.play_last_fault()
            self.check_end()
        return self.disruptions

    def start_all(self):
        names = "abc" if self.tolerance == 1 else "abcde"
        coordinators = [self.add_host(name) for name in names]
        self.start_hosts(coordinators, len(coordinators))

    def start_hosts(self, coordinators, voter_count):
        """Start hosts; the first ones are the voters of a new cluster."""
        for each in coordinators:
            each.store = self.open_store(each)
        voters = [_identify(each) for each in coordinators[:voter_count]]
        for each in coordinators:
            each.store.close()
            self.start(each, voters if each is coordinators[0] else None)

    # Disruptions before the last fault

    def disrupt(self):
        kinds = (
            self.kill_one,
            self.kill_during_operation,
            self.kill_all,
            self.cut_minority,
            self.cut_behind,
            self.replace_one,
            self.empty_one,
            self.refuse_writes,
            self.lose_power_of_all,
        )
        kind = self.rng.choice(kinds)
        self.disruptions.append(kind.__name__)
        kind()

    def choose(self, count=1):
        return self.rng.sample(self.list_hosts(), count)

    def may_lose_disk(self):
        return self.count_lost_disks() < self.tolerance

    def kill_one(self):
        self.end(self.choose()[0], self.rng.choice((0.05, 0.5, 6.0)))

    def kill_during_operation(self):
        """Kill hosts in the middle of what they write, several times."""
        for _ in range(self.rng.randrange(1, 8)):
            for each in self.choose(self.rng.randrange(1, len(self.list_hosts()))):
                self.files.operations_left[each.host] = self.rng.randrange(12)
            self.run_for(self.rng.uniform(0.2, 1.5))

    def kill_all(self):
        for each in self.list_hosts():
            self.end(each, self.rng.uniform(0.1, 1.0))

    def lose_power_of_all(self):
        for each in self.list_hosts():
            self.lose_power(each, self.rng.uniform(0.3, 3.0))

    def heal(self):
        self.disturb()
        self.cut_hosts = frozenset()

    def cut_minority(self):
        count = (len(self.list_hosts()) - 1) // 2
        self.cut_hosts = frozenset(each.host for each in self.choose(count))
        self.run_for(self.rng.choice((1.0, 4.0, 10.0, 25.0)))
        self.heal()

    def cut_behind(self):
        """Cut off a minority; of the others one loses its disk, the rest its power."""
        count = (len(self.list_hosts()) - 1) // 2
        self.cut_hosts = frozenset(each.host for each in self.choose(count))
        self.run_for(self.rng.uniform(1.0, 6.0))
        others = [each for each in self.list_hosts() if each.host not in self.cut_hosts]
        self.rng.shuffle(others)
        if self.may_lose_disk():
            self.lose_disk(others.pop(), self.rng.uniform(0.3, 1.0))
        for each in others:
            self.lose_power(each, self.rng.uniform(3.0, 6.0))
        self.heal()
        self.run_for(self.rng.uniform(0.5, 8.0))

    def replace_one(self):
        """Remove a host for good and add another with an empty disk."""
        if self.may_lose_disk():
            old = self.choose()[0]
            self.lose_disk(old, 1.0)
            old.removed = True
            new = self.add_host(f"n{len(self.hosts)}")
            self.start(new)

    def empty_one(self):
        if self.may_lose_disk():
            self.lose_disk(self.choose()[0], self.rng.uniform(0.2, 3.0))

    def refuse_writes(self):
        host = self.choose()[0].host
        self.disturb()
        refusing = self.rng.choice(
            (self.files.refuses_writes, self.files.refuses_syncs)
        )
        refusing.add(host)
        self.run_for(self.rng.uniform(0.5, 4.0))
        self.disturb()
        refusing.discard(host)

    # The last fault

    def wait_for_ack(self):
        """Run until an ack arrives, or until an order has been sent for a while."""
        if self.mode == "timed":
            sent_s = self.order_sent_s
            self.run_until(self.now_s + 2.0, lambda: self.order_sent_s > sent_s)
            self.run_for(self.rng.uniform(0.005, 0.4))
            return
        acks = self.acks
        self.run_until(self.now_s + 10.0, lambda: self.acks > acks)

    def play_last_fault(self):
        count = self.tolerance - self.count_lost_disks()
        hosts = self.list_hosts()
        self.rng.shuffle(hosts)
        if self.mode == "taken":
            hosts.sort(key=lambda each: each.host not in self.last_ack_hosts)
        elif self.mode == "oldest":
            hosts.sort(key=lambda each: each.created_s)
        elif self.mode == "voters":
            voters = self.list_voters()
            hosts.sort(key=lambda each: each.host not in voters)
        for each in hosts[:count]:
            self.lose_disk(each, self.rng.uniform(0.3, 3.0))
        others = self.rng.choice((self.lose_power, self.lose_power, self.end, None))
        for each in hosts[count:] if others else ():
            others(each, self.rng.uniform(0.3, 3.0))

    def list_voters(self):
        """Return the hosts that vote, as the leader knows them."""
        leader = self.find_leader()
        if leader is None:
            return set()
        return {each.host for each in leader.task._replica.membership.voters}

    def check_end(self):
        """Check that the newest state is read within the limit, and stays."""
        self.accepts_orders = False
        end_s = self.now_s + ANSWER_LIMIT_S
        while self.find_leader() is None:
            if self.now_s >= end_s:
                raise BrokenPromiseError("no state can be read")
            self.run_for(0.1)
        for _ in range(2):
            leader = self.find_leader()
            if leader is not None:
                self.check_state(leader.task)
            self.run_for(2.0)


def _identify(coordinator):
    return replication.ReplicaId(coordinator.host, coordinator.store.incarnation)


@contextlib.contextmanager
def silence_logs():
    """Context without the log lines of the replicas."""
    with (
        mock.patch.object(replication, "log_event"),
        mock.patch.object(_replica, "log_event"),
    ):
        yield


def run_seed(seed, mode=None, plant=None):
    """Run one seed; on a failure, the error names the command that repeats it."""
    play = LastFaultPlay(seed, mode, plant)
    try:
        return play.run()
    except Exception as error:
        command = f"python -m tests.last_fault_play {seed} 1 {mode or ''}"
        raise AssertionError(
            f"{error!r} at {play.now_s:.2f} s, {play.mode}, after "
            f"{play.disruptions}; repeat with: {command}"
        ) from error


def main(first, count, mode=None):
    """Run seeds, print those that fail, and return how many did."""
    failures = 0
    started_s = time.process_time()
    for seed in range(first, first + count):
        try:
            run_seed(seed, mode)
        except AssertionError as error:
            failures += 1
            print(error, flush=True)
    seconds = time.process_time() - started_s
    print(f"{count} seeds, {failures} failed, {seconds:.0f} s of processor time")
    return failures


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:]) > 0)
