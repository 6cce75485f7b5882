"""Play of coordinators that stop and return in series before disks are lost.

Run seeds with ``python -m tests.rolling_stop_play FIRST COUNT [HOSTS]``.
"""

import sys

from buckthorndeal.consensus import (
    Location,
    ToleratedLosses,
    VoteKept,
    create_elastic_policy,
)
from buckthorndeal.coordinator._requests import RemoveHost
from tests.coordinator_play import (
    CATCH_UP_S,
    SEEDS,
    BrokenPromiseError,
    PlayedEnvelope,
)
from tests.last_fault_play import SETTLE_S, LastFaultPlay, silence_logs

HOSTS = (3, 5, 9, 15)
REGIONS = ("a", "b", "c")
MAX_VOTERS = 9
JOIN_LIMIT_S = 40.0
CHECK_S = 0.1
ASK_S = 0.3
# Seconds from the end of a process until it is started again.
DOWN_S = (0.05, 0.3, 0.3, 1.0, 4.0, 8.0, 25.0)
GAP_S = (0.0, 0.25, 1.0, 3.0)
# By then the others have elected a leader after a loss of their own number.
TAKEOVER_S = 8.0
LAST_FAULT_MODES = ("plain", "taken", "oldest", "voters")


class RollingStopPlay(LastFaultPlay):
    """Day on which coordinators stop or are killed in series, then lose disks.

    Parameters
    ----------
    seed : int
        Chooses the series, the delays and the disks that are lost.
    hosts : int
        Number of coordinators in three regions; the first three are the seeds.
    has_older_builds : bool
        Whether about half of the coordinators remove voters as older builds do. They
        are replaced by this build as they stop, all of them before the last fault.
    """

    def __init__(self, seed, hosts, has_older_builds=False):
        super().__init__(seed)
        self.mode = self.rng.choice(LAST_FAULT_MODES)
        self.host_count = hosts
        self.tolerance = 1 if hosts < 2 * 2 + 1 else self.rng.choice((1, 2))
        self.has_older_builds = has_older_builds
        self.older_builds = set()
        self.checks_voters = True

    def run(self):
        """Play the day; return the number of voters before the last fault."""
        with self.files.install(), silence_logs():
            self.start_all()
            self.schedule(0.0, self.send_order)
            self.wait_for_voters()
            if not self.has_older_builds:
                self.check_voters()
            for _ in range(self.rng.randrange(1, 3)):
                self.play_series()
            self.replace_older_builds()
            voters = self.count_voters()
            self.wait_for_ack()
            self.checks_voters = False
            self.play_last_fault()
            self.check_end()
        return voters

    def start_all(self):
        coordinators = [self.add_host(f"h{n:02}") for n in range(self.host_count)]
        for number, each in enumerate(coordinators):
            region = REGIONS[number % len(REGIONS)]
            domain = f"{region}-{number // len(REGIONS) % 2}"
            self.locations[each.host] = Location(domain, region)
            if self.has_older_builds and self.rng.random() < 0.5:
                self.older_builds.add(each.host)
        self.start_hosts(coordinators, SEEDS)

    def create_policy(self, coordinator):
        if coordinator.host in self.older_builds:
            # It leaves as many voters as there are seeds, wherever they are.
            return create_elastic_policy(SEEDS, ToleratedLosses(1))
        losses = ToleratedLosses(self.tolerance, 1, 1)
        return create_elastic_policy(SEEDS, losses)

    def count_voters(self):
        return len(self.list_voters())

    def wait_for_voters(self):
        wanted = min(self.host_count, MAX_VOTERS)
        end_s = self.now_s + JOIN_LIMIT_S
        while self.count_voters() < wanted:
            if self.now_s >= end_s:
                raise BrokenPromiseError(f"{self.count_voters()} voters")
            self.run_for(0.2)
        self.run_for(SETTLE_S)

    def check_voters(self):
        """Check again and again that as many vote as the deployment is made for.

        No disk is lost before the last fault, so no host has to be replaced.
        """
        if not self.checks_voters:
            return
        planned = min(2 * self.tolerance + 1, self.host_count)
        voters = self.list_voters()
        if voters and len(voters) < planned:
            raise BrokenPromiseError(f"only {sorted(voters)} vote")
        self.schedule(CHECK_S, self.check_voters)

    def play_series(self):
        """Stop or kill some hosts, one or two at a time, for short or long."""
        kind = self.rng.choice((self.stop, self.stop, self.kill, self.stop_or_kill))
        self.disruptions.append(kind.__name__)
        gap_s = self.rng.choice(GAP_S)
        down_s = self.rng.choice(DOWN_S)
        count = self.rng.randrange(self.host_count // 2, self.host_count + 1)
        chosen = self.choose(count)
        if self.rng.random() < 0.5:
            # The leader stays, and so knows of all changes.
            leader = self.find_leader()
            chosen = [each for each in chosen if each is not leader]
        at_once = self.rng.choice((1, 1, self.tolerance))
        for first in range(0, len(chosen), at_once):
            for each in chosen[first : first + at_once]:
                kind(each, down_s)
            self.run_for(gap_s + (down_s if down_s < 1.0 else 0.0))

    def replace_older_builds(self):
        """Stop the coordinators of older builds in turn; wait until all count again."""
        while self.older_builds:
            host = self.hosts[min(self.older_builds)]
            self.run_until(self.now_s + 40.0, lambda host=host: host.task is not None)
            self.stop(host, 0.3)
            self.run_for(0.6)
        if self.has_older_builds:
            while not self.is_calm():
                self.run_for(0.5)

    def kill(self, coordinator, down_s):
        self.end(coordinator, down_s)

    def stop_or_kill(self, coordinator, down_s):
        self.rng.choice((self.stop, self.kill))(coordinator, down_s)

    def stop(self, coordinator, down_s):
        """Stop a host as SIGTERM does: it asks the leader to remove its vote."""
        task = coordinator.task
        if task is None:
            return
        if coordinator.host in self.older_builds or not self.keeps_vote(task):
            self.ask_for_removal(coordinator)
            self.run_for(self.rng.uniform(0.05, ASK_S))
        self.older_builds.discard(coordinator.host)
        if coordinator.task is not None:
            self.end(coordinator, down_s)

    def keeps_vote(self, task):
        return isinstance(task.find_reason_to_vote(), VoteKept)

    def ask_for_removal(self, coordinator):
        leader = self.find_leader()
        if leader is None or self.is_blocked(coordinator.host, leader.host):
            return
        self.resume(leader, PlayedEnvelope(RemoveHost(coordinator.host)))

    def is_calm(self):
        """Return whether all hosts have run for so long that none counts as lost."""
        all_run = all(each.task is not None for each in self.list_hosts())
        return all_run and self.now_s >= self.calm_since_s + CATCH_UP_S

    def lose_region(self):
        """Take all hosts of a region down, with their disks, for a while."""
        region = self.rng.choice(REGIONS)
        for each in self.list_hosts():
            if self.locations[each.host].region == region:
                self.end(each, TAKEOVER_S + 2.0)


def play_lost_region(seed, hosts):
    """Lose a region after a series of stops, once all are back for long enough.

    Raises `BrokenPromiseError` if nobody leads then.
    """
    play = RollingStopPlay(seed, hosts)
    with play.files.install(), silence_logs():
        play.start_all()
        play.schedule(0.0, play.send_order)
        play.wait_for_voters()
        play.play_series()
        # The machines that were stopped count as lost until then.
        while not play.is_calm():
            play.run_for(0.5)
        play.lose_region()
        play.run_for(TAKEOVER_S)
        if play.find_leader() is None:
            raise BrokenPromiseError(f"seed {seed}: no leader without a region")


def run_seed(seed, hosts, has_older_builds=False):
    """Run one seed; on a failure, the error names the command that repeats it."""
    play = RollingStopPlay(seed, hosts, has_older_builds)
    try:
        return play.run()
    except Exception as error:
        command = f"python -m tests.rolling_stop_play {seed} 1 {hosts}"
        raise AssertionError(
            f"{error!r} at {play.now_s:.2f} s, {play.mode}, {play.tolerance} "
            f"tolerated, after {play.disruptions}; repeat with: {command}"
        ) from error


def main(first, count, *hosts):
    """Run seeds, print those that fail, and return how many did."""
    failures = 0
    for number in hosts or HOSTS:
        for seed in range(first, first + count):
            try:
                run_seed(seed, number)
            except AssertionError as error:
                failures += 1
                print(error, flush=True)
    print(f"{count} seeds, {failures} failed")
    return failures


if __name__ == "__main__":
    sys.exit(main(*(int(argument) for argument in sys.argv[1:])) > 0)
