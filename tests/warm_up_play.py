"""Play of hosts that share cold endpoints while coordinators come and go."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from buckthorndeal.fleet import EntryHost, EntryHostChanges, EntryState
from buckthorndeal.gateway._entry_hosts import EntryHostLists
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._known_hosts import KnownEntryHosts, describe_fleet

COORDINATORS = 5
ENDPOINTS = 6
COLD_PER_S = 2.4
# A cold endpoint bears so many requests within one second.
COLD_OVERAGE = 1.5
COLD_SLACK = 3
MAX_PER_S = COLD_OVERAGE * COLD_PER_S + COLD_SLACK
USED_SHARE = 0.9
STEP_S = 0.02
FLUSH_S = 0.2
STATUS_S = 0.75
# Delays of a message, of a new connection, and until a silent one is noticed.
MESSAGE_S = (0.001, 0.1)
CONNECT_S = (0.05, 1.2)
SILENCE_S = 2.0


@dataclass(eq=False)
class PlayHost:
    """One host, with what it knows of the others.

    Connections belong to a `generation`, which ends when the host stops or is cut off.
    """

    name: str
    own: EntryHost
    generation: int = 0
    is_running: bool = True
    cut_until_s: float = 0.0

    def __post_init__(self):
        self.forget_all()

    def forget_all(self):
        """Begin without any knowledge, as a process that starts."""
        self.lists = EntryHostLists()
        self.known = KnownEntryHosts(self.lists)
        self.view = FleetView(self.name)

    def update(self, now_s):
        self.known.update(COORDINATORS, now_s)
        fleet = describe_fleet(self.known, self.own, frozenset())
        self.view.set_fleet(fleet, now_s)


@dataclass(eq=False)
class PlayCoordinator:
    """One coordinator: the hosts connected to it, and what it has published."""

    name: str
    generation: int = 0
    is_running: bool = True
    hosts: dict = field(default_factory=dict)
    published: dict = field(default_factory=dict)


class WarmUpPlay:
    """Plays hosts of one region on a simulated clock.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    seed : int
        Seed of all draws.
    """

    def __init__(self, hosts, seed):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.arrivals_s = {f"e{number}": [] for number in range(ENDPOINTS)}
        self.most_slack = 0.0
        self._events = []
        self._numbers = itertools.count()
        self.coordinators = [
            PlayCoordinator(f"c{number}") for number in range(COORDINATORS)
        ]
        self.hosts = []
        for number in range(hosts):
            name = f"h{number:02}"
            own = EntryHost(name, "a", "a-1", f"{name}:1", EntryState.READY)
            self.hosts.append(PlayHost(name, own))
        for host in self.hosts:
            self._connect_all(host)

    def play(self, seconds, measured_from_s):
        """Let all hosts send what they may, from `measured_from_s` on."""
        start_s = self.now_s
        for step in range(int(seconds / FLUSH_S)):
            self.schedule(start_s + step * FLUSH_S, self._flush)
        for host in self.hosts:
            offset_s = self.rng.uniform(0, STATUS_S)
            for step in range(int(seconds / STATUS_S)):
                at_s = start_s + offset_s + step * STATUS_S
                self.schedule(at_s, self._update, host)
        for step in range(int(seconds / STEP_S)):
            at_s = start_s + step * STEP_S
            if at_s >= start_s + measured_from_s:
                self.schedule(at_s, self._send)
        while self._events and self._events[0][0] < start_s + seconds:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)

    def schedule(self, at_s, action, *args):
        """Plan a call of `action`."""
        heapq.heappush(self._events, (at_s, next(self._numbers), action, args))

    def kill_core(self, at_s, down_s):
        """Plan that all coordinators end at once and start again."""
        for coordinator in self.coordinators:
            self.schedule(at_s, self._kill_coordinator, coordinator)
            back_s = at_s + down_s + self.rng.uniform(0, 0.5)
            self.schedule(back_s, self._start_coordinator, coordinator)

    def cut_hosts(self, at_s, count, for_s):
        """Plan that some hosts lose all coordinators, but no endpoint."""
        for host in self.rng.sample(self.hosts, count):
            self.schedule(at_s, self._cut, host, at_s + for_s)

    def stop_hosts(self, at_s, count, down_s):
        """Plan that some hosts end, and start again without what they knew."""
        for host in self.rng.sample(self.hosts, count):
            stops_s = at_s + self.rng.uniform(0, 2)
            self.schedule(stops_s, self._stop, host)
            self.schedule(stops_s + down_s, self._restart, host)

    def disturb(self, start_s):
        """Plan a series of overlapping disruptions, drawn by the seed."""
        count = self.count_disturbed() // 2
        for number in range(3):
            at_s = start_s + 8.0 * number + self.rng.uniform(0, 3)
            self.kill_core(at_s, self.rng.choice((0.3, 1.0, 4.0)))
            self.stop_hosts(at_s + self.rng.uniform(-2, 4), count, 3.0)
        cut_s = start_s + self.rng.uniform(0, 20)
        self.cut_hosts(cut_s, count, self.rng.uniform(3, 9))

    def count_disturbed(self):
        """Return how many hosts are stopped or cut off at the same time at most."""
        return 2 * max(1, len(self.hosts) // 8)

    def _send(self):
        rate_per_s = COLD_PER_S * USED_SHARE
        running = [host for host in self.hosts if host.is_running]
        for host in self.rng.sample(running, len(running)):
            for endpoint, arrivals_s in self.arrivals_s.items():
                warm_ups = host.view.warm_ups
                if warm_ups.may_send(endpoint, rate_per_s, self.now_s):
                    warm_ups.record_request(endpoint, self.now_s)
                    arrivals_s.append(self.now_s)
        slack = sum(
            1 / host.view.fleet.total_hosts
            for host in running
            if host.known.is_confirmed
        )
        self.most_slack = max(self.most_slack, slack)

    def _update(self, host):
        if host.is_running:
            host.update(self.now_s)

    def _deliver(self, host, coordinator, action, *args):
        """Call `action` after a delay, unless the connection is gone by then."""
        ids = (host.generation, coordinator.generation)
        at_s = self.now_s + self.rng.uniform(*MESSAGE_S)
        self.schedule(at_s, self._receive, host, coordinator, ids, action, args)

    def _receive(self, host, coordinator, ids, action, args):
        if ids == (host.generation, coordinator.generation) and host.is_running:
            action(coordinator.name, *args)
            host.update(self.now_s)

    def _connect_all(self, host):
        for coordinator in self.coordinators:
            self._plan_connection(host, coordinator)

    def _plan_connection(self, host, coordinator):
        ids = (host.generation, coordinator.generation)
        at_s = max(self.now_s, host.cut_until_s) + self.rng.uniform(*CONNECT_S)
        self.schedule(at_s, self._connect, host, coordinator, ids)

    def _connect(self, host, coordinator, ids):
        is_same = ids == (host.generation, coordinator.generation)
        if not is_same or not coordinator.is_running or not host.is_running:
            return
        coordinator.hosts[host.name] = host.own
        published = tuple(coordinator.published.values())

        def replace(name):
            host.lists.replace(name, published, self.now_s)

        self._deliver(host, coordinator, replace)

    def _flush(self):
        for coordinator in self.coordinators:
            before, alive = coordinator.published, dict(coordinator.hosts)
            changed = tuple(alive[name] for name in alive if name not in before)
            removed = tuple(name for name in before if name not in alive)
            coordinator.published = alive
            if not changed and not removed:
                continue
            changes = EntryHostChanges(changed, removed)
            for host in self.hosts:
                if host.name in alive:
                    self._deliver(host, coordinator, host.lists.apply, changes)

    def _kill_coordinator(self, coordinator):
        coordinator.generation += 1
        coordinator.is_running = False
        coordinator.hosts, coordinator.published = {}, {}
        for host in self.hosts:
            self.schedule(
                self.now_s + self.rng.uniform(*MESSAGE_S), self._lose, host, coordinator
            )

    def _lose(self, host, coordinator):
        if coordinator.name in host.lists.coordinators:
            host.lists.drop(coordinator.name)
            host.update(self.now_s)

    def _start_coordinator(self, coordinator):
        coordinator.is_running = True
        for host in self.hosts:
            self._plan_connection(host, coordinator)

    def _cut(self, host, until_s):
        host.generation += 1
        host.cut_until_s = until_s
        for coordinator in self.coordinators:
            at_s = self.now_s + SILENCE_S
            self.schedule(at_s, self._lose, host, coordinator)
            self.schedule(at_s, self._forget, host, coordinator)
        self.schedule(until_s, self._connect_all, host)

    def _forget(self, host, coordinator):
        coordinator.hosts.pop(host.name, None)

    def _stop(self, host):
        host.generation += 1
        host.is_running = False
        for coordinator in self.coordinators:
            self._forget(host, coordinator)

    def _restart(self, host):
        host.generation += 1
        host.is_running = True
        host.forget_all()
        self._connect_all(host)


def count_most(times_s):
    """Return the most of some sorted times that lie within one second."""
    most, first = 0, 0
    for last, at_s in enumerate(times_s):
        while times_s[first] <= at_s - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
