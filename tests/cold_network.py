"""Connections between the hosts of the plays of cold endpoints; simulated clock."""

import heapq
import itertools
import math
import random

from buckthorndeal.gateway._backlog import MAX_WAIT_S
from tests.cold_hosts import PlayCoordinator, PlayGateway

FLUSH_S = 0.2
STATUS_S = 0.75
EXPIRE_S = 1.0
# Delays of a message, of a new connection, and until a silent one is noticed.
MESSAGE_S = (0.001, 0.1)
CONNECT_S = (0.05, 1.2)
SILENCE_S = 2.0
# In this time a process that runs again reads what has waited for it.
WAKE_S = 0.02
# Time from the start of a coordinator until it has caught up with the log.
CATCH_UP_S = (0.1, 1.0)
COMMIT_S = (0.005, 0.05)


class ColdNetwork:
    """Gateways and coordinators that are lost, cut off and stopped for a time.

    Parameters
    ----------
    gateways, coordinators : int
        Numbers of hosts.
    seed : int
        Seed of all draws.
    """

    def __init__(self, gateways, coordinators, seed):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self._events = []
        self._numbers = itertools.count()
        # Messages of one connection arrive in order.
        self._last_s = {}
        # What all coordinators agree on.
        self.index, self.evacuated = 1, frozenset()
        self.coordinators = [
            PlayCoordinator(f"c{number}", self.now_s) for number in range(coordinators)
        ]
        self.gateways = [
            PlayGateway(f"h{number:02}", coordinators) for number in range(gateways)
        ]
        for gateway in self.gateways:
            self._connect_all(gateway)

    def schedule(self, at_s, action, *args):
        """Plan a call of `action`."""
        heapq.heappush(self._events, (at_s, next(self._numbers), action, args))

    def repeat(self, offset_s, interval_s, until_s, action, *args):
        """Plan calls of `action` at an interval."""
        at_s = self.now_s + offset_s
        while at_s < until_s:
            self.schedule(at_s, action, *args)
            at_s += interval_s

    def run(self, until_s):
        """Run all that is planned until then."""
        for coordinator in self.coordinators:
            offset_s = self.rng.uniform(0, FLUSH_S)
            self.repeat(offset_s, FLUSH_S, until_s, self._flush, coordinator)
        for gateway in self.gateways:
            offset_s = self.rng.uniform(0, STATUS_S)
            self.repeat(offset_s, STATUS_S, until_s, self._update, gateway)
            self.repeat(offset_s, EXPIRE_S, until_s, self._expire, gateway)
        while self._events and self._events[0][0] < until_s:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)

    def has_majority(self):
        """Return whether the coordinators can decide."""
        running = sum(each.is_running for each in self.coordinators)
        return 2 * running > len(self.coordinators)

    def commit(self, evacuated):
        """Let the coordinators agree on what is evacuated."""
        self.index += 1
        self.evacuated = frozenset(evacuated)
        for coordinator in self.coordinators:
            if coordinator.is_running:
                at_s = self.now_s + self.rng.uniform(*COMMIT_S)
                ids = coordinator.generation
                self.schedule(at_s, self._catch_up, coordinator, ids)

    def kill_coordinator(self, coordinator, down_s):
        """End a coordinator, and start it again without what it knew."""
        if not coordinator.is_running:
            return
        coordinator.generation += 1
        coordinator.is_running = False
        coordinator.forget_all(self.now_s)
        for gateway in self.gateways:
            at_s = self.now_s + self.rng.uniform(*MESSAGE_S)
            self.schedule(at_s, self._lose, gateway, coordinator.name)
        self.schedule(self.now_s + down_s, self._start_coordinator, coordinator)

    def cut(self, gateway, for_s):
        """Cut a gateway off from all coordinators, but from no endpoint."""
        if not gateway.is_running or gateway.is_frozen(self.now_s):
            return
        gateway.note(f"cut off at {self.now_s:.2f} for {for_s:.2f}")
        gateway.generation += 1
        if self.now_s >= gateway.cut_until_s and gateway.connected:
            gateway.lost_s = self.now_s
        gateway.cut_until_s = max(gateway.cut_until_s, self.now_s + for_s)
        for coordinator in self.coordinators:
            at_s = self.now_s + SILENCE_S
            self.schedule(at_s, self._forget, gateway, coordinator)
            self.schedule(at_s, self._lose, gateway, coordinator.name)
        self.schedule(gateway.cut_until_s, self._connect_all, gateway)

    def freeze(self, gateway, for_s):
        """Stop a process for a time, in which what it is sent waits unread."""
        if not gateway.is_running or gateway.is_frozen(self.now_s):
            return
        gateway.frozen_until_s = self.now_s + for_s
        gateway.absences.insert(0, (self.now_s, gateway.frozen_until_s))
        gateway.note(f"frozen at {self.now_s:.2f} for {for_s:.2f}")
        process = gateway.process
        if for_s > SILENCE_S:
            self.schedule(self.now_s + SILENCE_S, self._drop_frozen, gateway, process)
        self.schedule(gateway.frozen_until_s, self._wake, gateway, process)

    def stop(self, gateway, down_s):
        """End a gateway, and start it again without what it knew."""
        if not gateway.is_running:
            return
        gateway.generation += 1
        gateway.is_running = False
        gateway.absences.append((self.now_s, math.inf))
        gateway.frozen_until_s = 0.0
        for coordinator in self.coordinators:
            self._forget(gateway, coordinator)
        self.schedule(self.now_s + down_s, self._start_gateway, gateway)

    def tell_all(self, coordinator, messages):
        """Send messages to all gateways that are connected to a coordinator."""
        for gateway in list(coordinator.gateways.values()):
            for message in messages:
                self._send(gateway, coordinator, message)

    def _flush(self, coordinator):
        if coordinator.is_running:
            self.tell_all(coordinator, coordinator.flush(self.now_s))

    def _catch_up(self, coordinator, generation):
        is_same = coordinator.generation == generation and coordinator.is_running
        if is_same and coordinator.index < self.index:
            coordinator.index = self.index
            coordinator.set_evacuated(self.evacuated, self.now_s)
            self.tell_all(coordinator, [coordinator.create_notice(self.now_s)])

    def _send(self, gateway, coordinator, message):
        ids = (gateway.generation, coordinator.generation)
        pair = (gateway.name, coordinator.name)
        at_s = self.now_s + self.rng.uniform(*MESSAGE_S)
        at_s = self._last_s[pair] = max(at_s, self._last_s.get(pair, 0.0))
        self.schedule(at_s, self._arrive, gateway, coordinator, ids, message)

    def _arrive(self, gateway, coordinator, ids, message):
        if ids != (gateway.generation, coordinator.generation):
            return
        if gateway.is_frozen(self.now_s):
            gateway.unread.append((coordinator.name, message))
        elif gateway.is_running:
            gateway.receive(message, coordinator.name, self.now_s)

    def _wake(self, gateway, process):
        """Let a process run again: requests and messages are read in any order."""
        if gateway.process != process or not gateway.is_running:
            return
        gateway.note(f"woke at {self.now_s:.2f}")
        # A part of the time may fall into a wait, which hides it.
        began_s, ended_s = gateway.absences[0]
        gateway.stopped_s = ended_s - began_s - MAX_WAIT_S
        by_coordinator = {}
        for name, message in gateway.unread:
            by_coordinator.setdefault(name, []).append(message)
        gateway.unread.clear()
        for name, messages in by_coordinator.items():
            at_s = self.now_s + self.rng.uniform(0, WAKE_S)
            self.schedule(at_s, self._read, gateway, process, name, messages)
        for coordinator in self.coordinators:
            if coordinator.name not in gateway.connected:
                at_s = self.now_s + WAKE_S
                self.schedule(at_s, self._lose, gateway, coordinator.name)
                self._plan_connection(gateway, coordinator)
        self.resume_load(gateway)

    def resume_load(self, gateway):
        """Send what callers have sent to a process that was stopped."""

    def _read(self, gateway, process, coordinator, messages):
        if gateway.process == process and gateway.is_running:
            for message in messages:
                gateway.receive(message, coordinator, self.now_s)

    def _drop_frozen(self, gateway, process):
        if gateway.process != process or not gateway.is_frozen(self.now_s):
            return
        for coordinator in self.coordinators:
            self._forget(gateway, coordinator)

    def _connect_all(self, gateway):
        for coordinator in self.coordinators:
            self._plan_connection(gateway, coordinator)

    def _plan_connection(self, gateway, coordinator):
        ids = (gateway.generation, coordinator.generation)
        at_s = max(self.now_s, gateway.cut_until_s) + self.rng.uniform(*CONNECT_S)
        self.schedule(at_s, self._connect, gateway, coordinator, ids)

    def _connect(self, gateway, coordinator, ids):
        is_same = ids == (gateway.generation, coordinator.generation)
        if not is_same or not coordinator.is_running or not gateway.is_running:
            return
        if coordinator.name in gateway.connected:
            return
        if gateway.is_frozen(self.now_s):
            at_s = gateway.frozen_until_s + self.rng.uniform(*CONNECT_S)
            self.schedule(at_s, self._connect, gateway, coordinator, ids)
            return
        if not gateway.connected:
            gateway.reached_s = self.now_s + 1.5 * MESSAGE_S[1]
        gateway.connected[coordinator.name] = self.now_s
        for message in coordinator.connect(gateway, self.now_s):
            self._send(gateway, coordinator, message)
        self.note_connection(gateway, coordinator)

    def note_connection(self, gateway, coordinator):
        """Take note that a gateway has connected to a coordinator."""

    def _forget(self, gateway, coordinator):
        """End a connection; the gateway may not have noticed it."""
        coordinator.gateways.pop(gateway.name, None)
        if gateway.connected.pop(coordinator.name, None) is not None:
            if not gateway.connected and self.now_s >= gateway.cut_until_s:
                gateway.lost_s = self.now_s

    def _lose(self, gateway, name):
        """Let a gateway notice that a connection has ended."""
        if not gateway.is_running:
            return
        coordinator = next(each for each in self.coordinators if each.name == name)
        if coordinator.gateways.get(gateway.name) is gateway:
            return
        self._forget(gateway, coordinator)
        if not gateway.is_frozen(self.now_s):
            gateway.lose(name, self.now_s)

    def _start_coordinator(self, coordinator):
        coordinator.is_running = True
        coordinator.forget_all(self.now_s)
        at_s = self.now_s + self.rng.uniform(*CATCH_UP_S)
        self.schedule(at_s, self._catch_up, coordinator, coordinator.generation)
        for gateway in self.gateways:
            self._plan_connection(gateway, coordinator)

    def _start_gateway(self, gateway):
        gateway.generation += 1
        gateway.process += 1
        gateway.is_running = True
        gateway.note(f"started at {self.now_s:.2f}")
        gateway.reached_s = gateway.lost_s = self.now_s
        gateway.forget_all()
        self._connect_all(gateway)

    def _update(self, gateway):
        if gateway.is_running and not gateway.is_frozen(self.now_s):
            gateway.update(self.now_s)

    def _expire(self, gateway):
        if gateway.is_running and not gateway.is_frozen(self.now_s):
            gateway.expire(self.now_s)
