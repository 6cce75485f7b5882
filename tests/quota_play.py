"""Simulation of the quotas of many hosts, without a network and on simulated time.

Usage: python -m tests.quota_play [HOSTS] [WORKSPACES] [SEED] [FAULT]
"""

import bisect
import heapq
import itertools
import math
import random
import sys
from collections import defaultdict

from buckthorndeal.fleet import FLEET_CODEC, QuotaGrants, QuotaRequest
from buckthorndeal.quota import (
    MAX_WAIT_S,
    QuotaOptions,
    QuotaWait,
    create_quota_granter,
    create_quota_leases,
)
from buckthorndeal.workspaces import QuotaUnit, Workspace

OPTIONS = QuotaOptions(8.0, 0.1, 110_000.0)
LARGE, SMALL = 9_190, 826
# Part of the requests that are large, as of deployment K.
LARGE_PART = 0.4
MEAN_UNITS = LARGE_PART * LARGE + (1 - LARGE_PART) * SMALL
REGIONS = 3
PERIOD_S = 33.0
LINK_S = 0.0005
REGION_LINK_S = 0.08
CALL_TIMEOUT_S = 0.7
TICK_S = 0.02
# Bytes of the frame and of the call around each message.
FRAME_BYTES = 34


class Host:
    """A gateway: its leases, the requests that wait, and its link to the leader."""

    def __init__(self, number, world):
        self.number = number
        self.region = number % REGIONS
        self.world = world
        self.incarnation = 0
        self.up = True
        self.frozen = False
        self.linked = True
        self.hears = True
        self.sent_bytes = 0
        self.start()

    def start(self):
        self.incarnation += 1
        self.leases = create_quota_leases(OPTIONS, random.Random(self.number))
        self.leases.set_hosts(self.world.host_count)
        self.waiting = []

    @property
    def name(self):
        return (f"h{self.number}", self.incarnation)

    @property
    def link_s(self):
        return LINK_S if self.region == self.world.leader_region else REGION_LINK_S


class QuotaWorld:
    """Hosts, a leader, callers and the record of all requests that were run."""

    def __init__(self, hosts, workspaces, seed=1, load=0.55, requests_per_s=400.0):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.host_count = hosts
        self.hosts = [Host(number, self) for number in range(hosts)]
        self.leader_region = 0
        self.granter = create_quota_granter(OPTIONS)
        self.has_leader = True
        self.loss = 0.0
        self.term = 1
        sizes = [1 / (1 + rank) ** 0.9 for rank in range(workspaces)]
        total = sum(sizes)
        self.usual = {}
        self.workspaces = {}
        self.factors = {}
        for rank, size in enumerate(sizes):
            name = f"ws-{rank:04d}"
            usual = requests_per_s * MEAN_UNITS * size / total
            self.usual[name] = usual
            self.factors[name] = 1.0
            self.set_limit(name, usual / load)
        # A tenth of the hosts sees several times the mean.
        self.weights = [self.rng.choice((0.5, 0.7, 1, 1, 3)) for _ in self.hosts]
        self.ran = defaultdict(list)
        self.refused = defaultdict(list)
        self.offered = defaultdict(float)
        self.by_size = {LARGE: [0, 0], SMALL: [0, 0]}
        self.hidden_s = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.apply_limits()
        self.granter.start_leading(1, -10.0)

    def set_limit(self, name, rate, burst=0.0):
        self.workspaces[name] = Workspace(
            name, unit=QuotaUnit.TOKENS, rate_per_s=rate, burst=burst
        )

    def apply_limits(self):
        self.granter.set_workspaces(self.workspaces.values(), self.now_s)
        for host in self.hosts:
            host.leases.set_workspaces(self.workspaces.values())

    def schedule(self, at_s, action, *args):
        heapq.heappush(self.events, (at_s, next(self.numbers), action, args))

    def run(self, until_s, faults=()):
        for at_s, action in faults:
            self.schedule(at_s, action, self)
        for name in self.usual:
            self.schedule(self.now_s + self.rng.random() * 0.1, self.arrive, name)
        for host in self.hosts:
            self.schedule(self.rng.random() * 0.5, self.tick, host)
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, action, args = heapq.heappop(self.events)
            action(*args)

    def get_region_load(self, region):
        phase = 2 * math.pi * (self.now_s / PERIOD_S - region / REGIONS)
        # From 0.2 to 2.5 with a mean of about 1.
        return 0.2 + 2.3 * ((1 + math.cos(phase)) / 2) ** 1.75

    def arrive(self, name):
        """Let callers of a workspace send one request, and plan the next one."""
        per_s = self.factors[name] * self.usual[name] / MEAN_UNITS
        self.schedule(self.now_s + self.rng.expovariate(per_s), self.arrive, name)
        loads = [self.get_region_load(region) for region in range(REGIONS)]
        host = self.rng.choices(
            self.hosts,
            [
                w * loads[h.region]
                for w, h in zip(self.weights, self.hosts, strict=True)
            ],
        )[0]
        units = LARGE if self.rng.random() < LARGE_PART else SMALL
        self.offered[name] += units
        if host.up and not host.frozen:
            self.submit(host, name, units, self.now_s, True)

    def submit(self, host, name, units, arrived_s, is_new):
        """Return whether the request needs no further attempt."""
        workspace = self.workspaces[name]
        taken = host.leases.try_acquire(workspace, units, self.now_s, is_new)
        if isinstance(taken, QuotaWait):
            if taken.may_wait and self.now_s - arrived_s < MAX_WAIT_S:
                if is_new:
                    host.waiting.append((name, units, arrived_s))
                return False
            if taken.may_wait or not is_new:
                host.leases.stop_waiting(workspace, units)
            self.refused[name].append((self.now_s, units, self.now_s - arrived_s))
            self.by_size[units][1] += 1
            return True
        self.ran[name].append((self.now_s, units))
        self.by_size[units][0] += 1
        return True

    def tick(self, host):
        self.schedule(self.now_s + TICK_S, self.tick, host)
        if not host.up or host.frozen:
            return
        host.waiting = [
            each
            for each in host.waiting
            if not self.submit(host, each[0], each[1], each[2], False)
        ]
        if not host.leases.is_request_due(self.now_s):
            return
        built = host.leases.build_request(self.now_s)
        if built is None:
            return
        sequence, applied, demands = built
        message = QuotaRequest(host.incarnation, sequence, applied, demands)
        host.sent_bytes += len(FLEET_CODEC.encode(message)) + FRAME_BYTES
        timeout_s = self.now_s + CALL_TIMEOUT_S
        self.schedule(timeout_s, self.time_out, host, host.leases, sequence)
        if host.linked and self.has_leader and self.rng.random() >= self.loss:
            at_s = self.now_s + host.link_s
            self.schedule(at_s, self.ask_leader, host, host.leases, host.name, built)

    def ask_leader(self, host, leases, name, built):
        if not self.has_leader:
            return
        amounts = self.granter.request(name, *built, self.now_s)
        if amounts is None or not host.linked or self.rng.random() < self.loss:
            return
        reply = QuotaGrants(self.granter.term, built[0], amounts)
        host.sent_bytes += len(FLEET_CODEC.encode(reply)) + FRAME_BYTES
        self.schedule(self.now_s + host.link_s, self.reply, host, leases, reply)

    def reply(self, host, leases, reply):
        if host.frozen:
            # It is handled when the process goes on.
            self.schedule(self.now_s + 0.1, self.reply, host, leases, reply)
        elif host.up and host.hears and host.leases is leases:
            leases.apply_grants(reply.term, reply.sequence, reply.amounts, self.now_s)

    def time_out(self, host, leases, sequence):
        if host.leases is leases and leases.is_awaiting(sequence):
            leases.record_failure(self.now_s)

    def change_leader(self, gap_s):
        """Lose the leader; another one leads after `gap_s`."""
        self.has_leader = False
        self.schedule(self.now_s + gap_s, self.elect)

    def elect(self):
        self.has_leader = True
        self.term += 1
        self.leader_region = (self.leader_region + 1) % REGIONS
        self.granter = create_quota_granter(OPTIONS)
        self.granter.set_workspaces(self.workspaces.values(), self.now_s)
        self.granter.start_leading(self.term, self.now_s)

    # Results

    def find_largest_excess(self, limits=None, from_s=0.0):
        """Return the largest use of a window, as a part of the bound of a workspace."""
        worst = (0.0, "")
        for name, runs in self.ran.items():
            workspace = (limits or self.workspaces)[name]
            bound = OPTIONS.compute_bound(workspace.rate_per_s, workspace.burst)
            used, first = 0.0, 0
            for at_s, units in runs:
                used += units
                while runs[first][0] < at_s - OPTIONS.window_s:
                    used -= runs[first][1]
                    first += 1
                if at_s - OPTIONS.window_s >= from_s:
                    worst = max(worst, (used / bound, name))
        return worst

    def count_used(self, name, from_s, until_s):
        """Return the use of a workspace as a part of its rate."""
        runs = self.ran[name]
        first = bisect.bisect(runs, (from_s, 0))
        used = sum(units for at_s, units in runs[first:] if at_s <= until_s)
        return used / (self.workspaces[name].rate_per_s * (until_s - from_s))

    def count_refused(self, names, from_s=0.0):
        """Return the part of the units of workspaces that were refused."""
        ran = sum(u for n in names for at_s, u in self.ran[n] if at_s >= from_s)
        refused = sum(
            u for n in names for at_s, u, _ in self.refused[n] if at_s >= from_s
        )
        return refused / max(1, ran + refused)

    def get_bytes_per_s(self):
        return max(host.sent_bytes for host in self.hosts) / self.now_s


def kill_region(world):
    """Stop all hosts of the last region."""
    for host in world.hosts:
        host.up = host.up and host.region != REGIONS - 1


def cut_region(world):
    """Cut the last region off from the leader; its hosts go on."""
    for host in world.hosts:
        host.linked = host.region != REGIONS - 1


def cut_all(world):
    """Cut all hosts off from the leader, as by a partition of all regions."""
    for host in world.hosts:
        host.linked = False


def cut_some(world):
    """Cut about half of the hosts off from the leader, others each time."""
    for host in world.hosts:
        host.linked = world.rng.random() < 0.5


def cut_replies(world):
    """Lose all replies to the last region; its requests arrive."""
    for host in world.hosts:
        host.hears = host.region != REGIONS - 1


def join_region(world):
    """Mend all links."""
    for host in world.hosts:
        host.linked = host.hears = True


def freeze_some(world):
    """Stop every third host as by SIGSTOP."""
    for host in world.hosts[::3]:
        host.frozen = True


def thaw_all(world):
    for host in world.hosts:
        host.frozen = False


def restart_all(world):
    """Replace the processes of all hosts; the leader goes on."""
    for host in world.hosts:
        host.start()
        host.leases.set_workspaces(world.workspaces.values())


def lose_leader(world):
    world.change_leader(1.3)


def replace_leader(world):
    """Let another coordinator lead at once, as a leader that hands over."""
    world.change_leader(0.0)


def make_hot(world):
    """Let every workspace send several times its limit."""
    for name in world.factors:
        world.factors[name] = 6.0


def lose_messages(world):
    """Lose a fifth of the requests and of the replies."""
    world.loss = 0.2


def lower_limits(world):
    for name, workspace in list(world.workspaces.items()):
        world.set_limit(name, workspace.rate_per_s / 4)
    world.apply_limits()


FAULTS = {
    "none": (),
    "kill": ((10.0, kill_region),),
    "cut": ((10.0, cut_region), (14.0, make_hot), (18.0, join_region)),
    "cut-all": ((9.0, make_hot), (10.0, cut_all), (16.0, join_region)),
    "cut-all-long": ((9.0, make_hot), (10.0, cut_all), (30.0, join_region)),
    "cut-all-leader": (
        (9.0, make_hot),
        (10.0, cut_all),
        (15.0, replace_leader),
        (16.0, join_region),
    ),
    "cut-replies": ((9.0, make_hot), (10.0, cut_replies), (20.0, join_region)),
    "cut-often": (
        (5.0, make_hot),
        *((10.0 + 1.7 * step, cut_some) for step in range(8)),
    ),
    "freeze": (
        (10.0, freeze_some),
        (11.2, thaw_all),
        (13.0, freeze_some),
        (18.0, thaw_all),
    ),
    "restart": ((10.0, restart_all), (13.0, make_hot), (14.0, restart_all)),
    "leader": (
        (9.9, make_hot),
        (10.0, lose_leader),
        (15.0, replace_leader),
        (16.0, replace_leader),
    ),
    "calm-leader": ((10.0, lose_leader), (20.0, replace_leader)),
    "burst": ((9.0, make_hot),),
    "loss": ((5.0, lose_messages), (10.0, make_hot), (14.0, replace_leader)),
    "lower": ((10.0, make_hot), (12.0, lower_limits)),
}


def report(world, hot):
    calm = [name for name in world.usual if name not in hot]
    print("largest use of a window, part of the bound:", world.find_largest_excess())
    for name in hot:
        print(
            name,
            "used of its rate:",
            round(world.count_used(name, 3.0, world.now_s), 3),
            "offered:",
            round(
                world.offered[name] / world.now_s / world.workspaces[name].rate_per_s, 2
            ),
        )
    print("refused below the limit:", round(world.count_refused(calm, 3.0), 4))
    print("bytes per s and host, largest:", round(world.get_bytes_per_s()))
    for units, (ran, refused) in world.by_size.items():
        print(units, "refused part:", round(refused / max(1, ran + refused), 3))


def main(arguments):
    values = [*arguments, *["24", "16", "1", "none"][len(arguments) :]]
    hosts, workspaces, seed = (int(each) for each in values[:3])
    world = QuotaWorld(hosts, workspaces, seed)
    hot = ("ws-0000", "ws-0003")
    for name in hot:
        world.factors[name] = 12.0 if name == "ws-0003" else 2.5
    world.run(30.0, FAULTS[values[3]])
    report(world, hot)


if __name__ == "__main__":
    main(sys.argv[1:])
