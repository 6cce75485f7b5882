"""Play of hosts that are out of step for seconds while a release goes on."""

import math

from buckthorndeal.policy.views import AttemptOutcome
from tests.version_play import VersionPlay

# How long a host stands still, and is cut off from all others.
HALT_S = (0.3, 5.0)
CUT_S = (1.0, 6.0)
# From the crash of an endpoint until it has started again.
DOWN_S = (0.2, 1.5)


class OutOfStepPlay(VersionPlay):
    """Plays streams at hosts that stand still or are cut off, unnoticed by callers.

    A host that goes on reads the requests that wait in its sockets before its news.
    """

    def halt_hosts(self, from_s, until_s):
        """Plan that a third of the hosts is out of step, from a drawn moment on."""
        for host in self.rng.sample(self.hosts, max(2, len(self.hosts) // 3)):
            at_s = self.now_s + self.rng.uniform(from_s, until_s)
            if self.rng.random() < 0.5:
                host.freezes.append((at_s, at_s + self.rng.uniform(*HALT_S)))
            else:
                host.cuts.append((at_s, at_s + self.rng.uniform(*CUT_S)))

    def add_endpoints(self, version, count, from_s, gap_s=0.2):
        """Plan endpoints of a version that start beside the others."""
        at_s = self.now_s + from_s
        for engine in self.engines[-count:]:
            self.versions[engine.number] = version
            engine.up = False
            self._schedule(at_s, self._restart, engine)
            at_s += gap_s

    def crash_to(self, version, count, from_s, gap_s=0.4):
        """Plan endpoints that crash and start again under their ids with a version."""
        at_s = self.now_s + from_s
        for engine in self.engines[:count]:
            engine.keeps_name = True
            self._schedule(at_s, self._crash_to, engine, version)
            at_s += gap_s

    def _crash_to(self, engine, version):
        self._crash_without_restart(engine)
        self.versions[engine.number] = version
        self._schedule(self.now_s + self.rng.uniform(*DOWN_S), self._restart, engine)

    def _crash_without_restart(self, engine):
        engine.up = False
        broken = list(engine.running.values())
        engine.running.clear()
        for leg, attempt_id in broken:
            if not leg.is_lost:
                self._deliver(leg.host, self._close_attempt, leg, attempt_id)

    def _close_attempt(self, leg, attempt_id):
        if not leg.is_lost:
            self._finish(leg.host, attempt_id, AttemptOutcome.BROKEN, True)
            self._fail_attempt(leg, ran=True)

    def _probe(self, host, record):
        super()._probe(host, record)
        if not self._is_accepted(host, record):
            host.harness.view.record_refusal(record, self.now_s)

    def _is_accepted(self, host, record):
        # What has started again at an address accepts connections for the former one.
        engine = self._find_named(record)
        return engine is not None and engine.up

    def _send_heartbeat(self, engine):
        if engine.up:
            super()._send_heartbeat(engine)

    def _list_open_hosts(self):
        return [host for host in self.hosts if not host.is_down(self.now_s)]

    def _deliver_request(self, host, action, leg):
        thaw_s = host.find_thaw_s(self.now_s)
        if thaw_s is None:
            action(leg)
        else:
            self._schedule(math.nextafter(thaw_s, -math.inf), action, leg)
