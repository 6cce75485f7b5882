"""Play of requests that crash engines, with many hosts and without a network."""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field, replace

from buckthorndeal.coordinator._evidence import EvidenceRelay
from buckthorndeal.coordinator._quarantine_store import (
    create_memory_quarantine_store,
)
from buckthorndeal.fleet import EndpointState
from buckthorndeal.gateway._fleet_messages import (
    FleetChanged,
)
from buckthorndeal.gateway._messages import (
    Grant,
    Refusal,
    RefusalReason,
)
from buckthorndeal.gateway._prompts import Prompt, PromptPart
from buckthorndeal.policy.views import AttemptOutcome
from buckthorndeal.quarantine import RequestContent
from tests.dispatcher_harness import ROUTE, DispatcherHarness

REGIONS = 3
MAX_ATTEMPTS = 2
# Seconds without a freeze or cut after which a host counts as in touch.
CALM_S = 6.0
CRASHES = 5
CRASH_DELAY_S = 0.05
HEARTBEAT_S = 1.0
POLL_S = 0.1
COORDINATORS = 3
FLUSH_S = 0.2
PROBE_S = 0.002
TEXTS = 40
CHAT = replace(ROUTE, timeout_s=12.0, latency_objective_s=1.5, max_attempts=2)


@dataclass(eq=False)
class PlayEngine:
    """Engine that runs many requests at once and crashes with the first crashing one.

    Parameters
    ----------
    number, region : int
        Position of the engine and its region.
    generation : int
        Number of its starts.
    """

    number: int
    region: int
    generation: int = 1
    keeps_name: bool = False
    up: bool = True
    sequence: int = 0
    started_s: float = -100.0
    running: dict = field(default_factory=dict)

    @property
    def name(self):
        if self.keeps_name:
            return f"e{self.number}"
        return f"e{self.number}-{self.generation}"

    @property
    def address(self):
        return f"10.0.{self.region}.{self.number}:80"


@dataclass(eq=False)
class PlayHost:
    """Entry host with its dispatcher, and its disturbances as (start, end) times."""

    name: str
    region: int
    harness: DispatcherHarness
    freezes: list = field(default_factory=list)
    cuts: list = field(default_factory=list)

    @property
    def guard(self):
        return self.harness.dispatcher.crash_guard

    def find_thaw_s(self, now_s):
        """Return the end of a freeze at `now_s`, or None."""
        return next((end for start, end in self.freezes if start <= now_s < end), None)

    def is_cut(self, now_s):
        return any(start <= now_s < end for start, end in self.cuts)

    def is_in_touch(self, now_s):
        spans = [*self.freezes, *self.cuts]
        return not any(start <= now_s < end + CALM_S for start, end in spans)


@dataclass(eq=False)
class PlayRequest:
    """Request of a caller."""

    crashing: bool
    prompt: Prompt
    content: RequestContent
    sent_s: float
    is_again: bool = False
    attempts: int = 0
    request_sent: bool = False
    excluded: frozenset = frozenset()
    begun_at_first: bool = False
    decision: object = None


@dataclass(eq=False)
class PlayCoordinator:
    """Coordinator that relays evidence; `lost_s` is when it ends for good."""

    relay: EvidenceRelay
    lost_s: float = math.inf
    reached: set = field(default_factory=set)


class CrashPlay:
    """Plays sound and crashing requests to hosts that share engines.

    Parameters
    ----------
    hosts, engines : int
        Numbers of entry hosts and engines; both are spread over three regions.
    seed : int
        Seed of all draws.
    """

    def __init__(self, hosts=24, engines=9, seed=1):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.crash_times_s = []
        self.requests = []
        self.crashing_arrivals = []
        self._events = []
        self._numbers = itertools.count()
        self.engines = [
            PlayEngine(number, number % REGIONS, keeps_name=number % 4 == 0)
            for number in range(engines)
        ]
        self.hosts = []
        names = [f"h{number}" for number in range(hosts)]
        for number, name in enumerate(names):
            region = number % REGIONS
            fleet = FleetChanged(
                tuple(names[region::REGIONS]), hosts, frozenset(), tuple(names)
            )
            harness = self.create_harness(name, seed * 1000 + number, fleet)
            self.hosts.append(PlayHost(name, region, harness))
        self.coordinators = [
            PlayCoordinator(EvidenceRelay(create_memory_quarantine_store(), self.now_s))
            for _ in range(COORDINATORS)
        ]
        self.sent_evidence = 0

    def create_harness(self, name, seed, fleet):
        harness = DispatcherHarness(endpoints=0, host=name)
        harness.dispatcher._rng = random.Random(seed)
        harness.view.set_fleet(fleet, self.now_s)
        return harness

    def play(self, seconds, sound_per_s, crashing_per_s, crashing_from_s=8.0):
        """Play requests; those that crash engines come from `crashing_from_s` on."""
        start_s = self.now_s
        for step in range(int(seconds / HEARTBEAT_S)):
            self._schedule(start_s + step * HEARTBEAT_S, self._send_heartbeats)
        for step in range(int(seconds / POLL_S)):
            at_s = start_s + step * POLL_S
            for host in self.hosts:
                self._schedule(at_s, self._poll, host)
            if step % round(FLUSH_S / POLL_S) == 0:
                for coordinator in self.coordinators:
                    self._schedule(at_s, self._flush, coordinator)
        self._plan_requests(start_s, start_s + seconds, sound_per_s, False)
        self._plan_requests(
            start_s + crashing_from_s, start_s + seconds, crashing_per_s, True
        )
        while self._events and self._events[0][0] < start_s + seconds:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)

    def crash_engines(self, interval_s, until_s):
        """Plan crashes of random engines, without relation to requests."""
        at_s = self.now_s + 5.0
        while at_s < self.now_s + until_s:
            self._schedule(at_s, self._crash_any)
            at_s += self.rng.expovariate(1 / interval_s)

    def crash_together(self, after_s, count):
        """Plan the crash of several engines at the same moment."""
        for engine in self.engines[:count]:
            self._schedule(self.now_s + after_s, self._crash_now, engine)

    def count_excess(self):
        """Return the crashing requests that reach engines too long after crashes."""
        if len(self.crash_times_s) < CRASHES:
            return 0
        from_s = self.crash_times_s[CRASHES - 1] + CALM_S
        return sum(
            sent_s > from_s and in_touch for sent_s, in_touch in self.crashing_arrivals
        )

    def count_quarantined_sound(self):
        """Return the sound requests that are refused because of their prompt."""
        reason = RefusalReason.PROMPT_QUARANTINED
        return sum(
            isinstance(each.decision, Refusal) and each.decision.reason is reason
            for each in self.requests
            if not each.crashing
        )

    def disturb(self, seed):
        """Plan the loss of a coordinator, and hosts that are frozen and cut off."""
        rng = random.Random(seed)
        start_s = self.now_s
        self.coordinators[0].lost_s = start_s + rng.uniform(5, 15)
        count = len(self.hosts) // 8
        for host in rng.sample(self.hosts, count):
            at_s = start_s + rng.uniform(5, 25)
            host.freezes.append((at_s, at_s + rng.uniform(2, 8)))
        for host in rng.sample(self.hosts, count):
            at_s = start_s + rng.uniform(5, 25)
            host.cuts.append((at_s, at_s + rng.uniform(5, 15)))

    def measure_begun(self, from_s, to_s):
        """Return the share of sound requests that begin at their first attempt."""
        chosen = [
            each
            for each in self.requests
            if not each.crashing and from_s <= each.sent_s - 100.0 < to_s
        ]
        return sum(each.begun_at_first for each in chosen) / len(chosen)

    def _schedule(self, at_s, action, *args):
        heapq.heappush(self._events, (at_s, next(self._numbers), action, args))

    def _plan_requests(self, from_s, to_s, per_s, crashing):
        at_s = from_s
        while per_s and (at_s := at_s + self.rng.expovariate(per_s)) < to_s:
            prompt = self.create_prompt(crashing)
            own = prompt.parts[-1]
            content = RequestContent("POST", "x", "/", "", own.key.encode())
            request = PlayRequest(crashing, prompt, content, at_s)
            self._schedule(at_s, self._receive, request)

    def create_prompt(self, crashing):
        text = self.rng.randrange(TEXTS)
        shared = [PromptPart("root", 200)]
        shared.append(PromptPart("crash" if crashing else f"text{text}", 400))
        if crashing:
            shared.append(PromptPart(f"text{text}", 400))
        own = PromptPart(f"own{next(self._numbers)}", 600)
        return Prompt("m", 1200 + 400 * crashing, 300, (*shared, own))

    def _receive(self, request):
        self.requests.append(request)
        awake = [host for host in self.hosts if host.find_thaw_s(self.now_s) is None]
        self._send(self.rng.choice(awake), request)

    def _send(self, host, request):
        harness = host.harness
        harness.now_s = self.now_s
        decision = harness.submit(
            request.prompt,
            CHAT,
            content=request.content,
            request_id=request.content.digest,
            is_retry=request.request_sent,
            excluded=request.excluded,
        )
        attempt_id = harness.attempt_id
        request.decision = decision
        if not isinstance(decision, Grant):
            harness.finish(attempt_id, None)
            return
        request.attempts += 1
        record = decision.record
        request.excluded |= {record.endpoint}
        engine = self._find_engine(record)
        if engine is None or not engine.up:
            self._schedule(self.now_s + 0.001, self._fail_connect, host, attempt_id)
            if request.attempts <= MAX_ATTEMPTS:
                self._schedule(self.now_s + 0.002, self._send, host, request)
            return
        self._arrive(engine, host, attempt_id, request)

    def _arrive(self, engine, host, attempt_id, request):
        request.request_sent = True
        if request.crashing:
            in_touch = host.is_in_touch(self.now_s)
            self.crashing_arrivals.append((self.now_s, in_touch))
        key = (host.name, attempt_id)
        engine.running[key] = (host, attempt_id, request)
        prefill_s = 0.03 + 0.005 * len(engine.running) + self.rng.random() * 0.1
        generation = engine.generation
        first_s = self.now_s + prefill_s
        if request.crashing:
            crash_s = first_s + CRASH_DELAY_S
            self._schedule(crash_s, self._crash, engine, generation, True)
            return
        self._schedule(first_s, self._begin, engine, generation, key)
        end_s = first_s + self.rng.uniform(0.5, 3.0)
        self._schedule(end_s, self._end, engine, generation, key)

    def _begin(self, engine, generation, key):
        if engine.generation != generation or key not in engine.running:
            return
        host, attempt_id, request = engine.running[key]
        request.begun_at_first = request.attempts == 1
        self._deliver(host, self._record_start, host, attempt_id)

    def _end(self, engine, generation, key):
        if engine.generation != generation or key not in engine.running:
            return
        host, attempt_id, _ = engine.running.pop(key)
        self._deliver(host, self._finish, host, attempt_id, AttemptOutcome.SUCCEEDED)

    def _crash_any(self):
        self._crash_now(self.rng.choice(self.engines))

    def _crash_now(self, engine):
        self._crash(engine, engine.generation, False)

    def _crash(self, engine, generation, by_request):
        if engine.generation != generation or not engine.up:
            return
        if by_request:
            self.crash_times_s.append(self.now_s)
        engine.up = False
        broken = list(engine.running.values())
        engine.running.clear()
        for host, attempt_id, request in broken:
            self._deliver(host, self._break, host, attempt_id, request)
        self._schedule(self.now_s + self.rng.uniform(3.0, 9.0), self._restart, engine)

    def _restart(self, engine):
        engine.generation += 1
        engine.up = True
        engine.sequence = 0
        engine.started_s = self.now_s
        self._send_heartbeat(engine)

    def _deliver(self, host, action, *args):
        """Run an action on a host at once, or when it goes on after a freeze."""
        thaw_s = host.find_thaw_s(self.now_s)
        if thaw_s is None:
            action(*args)
        else:
            self._schedule(thaw_s, action, *args)

    def _record_start(self, host, attempt_id):
        host.harness.dispatcher.record_response_start(attempt_id, None, self.now_s)

    def _finish(self, host, attempt_id, outcome, closed=False):
        host.harness.now_s = self.now_s
        host.harness.finish(attempt_id, outcome, closed)

    def _fail_connect(self, host, attempt_id):
        self._finish(host, attempt_id, AttemptOutcome.CONNECT_FAILED)

    def _break(self, host, attempt_id, request):
        self._finish(host, attempt_id, AttemptOutcome.BROKEN, True)
        begun = request.begun_at_first
        if request.attempts < MAX_ATTEMPTS and not begun:
            self._send(host, request)

    def _poll(self, host):
        """Take the news of a host: probe endpoints and send evidence."""
        if host.find_thaw_s(self.now_s) is not None:
            return
        news = host.guard.take_news(self.now_s)
        for record in news.probes:
            self._schedule(self.now_s + PROBE_S, self._probe, host, record)
        for record in host.harness.dispatcher.reach.take_probes(self.now_s):
            self._schedule(self.now_s + PROBE_S, self._probe_path, host, record)
        for coordinator in self.coordinators:
            name = host.name
            if self.now_s >= coordinator.lost_s or host.is_cut(self.now_s):
                coordinator.reached.discard(name)
                continue
            evidence = news.evidence
            if name not in coordinator.reached:
                coordinator.reached.add(name)
                evidence = host.guard.quarantine.export(self.now_s)
                known = coordinator.relay.export(self.now_s)
                self._schedule_receive(host, known)
            if evidence:
                delay_s = self.rng.uniform(0.002, 0.1)
                self._schedule(self.now_s + delay_s, self._relay, coordinator, evidence)

    def _relay(self, coordinator, evidence):
        if self.now_s < coordinator.lost_s:
            coordinator.relay.receive(evidence, self.now_s)

    def _flush(self, coordinator):
        new = coordinator.relay.take_new(self.now_s)
        if self.now_s >= coordinator.lost_s or not new:
            return
        for host in self.hosts:
            if host.name in coordinator.reached and not host.is_cut(self.now_s):
                self._schedule_receive(host, new)

    def _schedule_receive(self, host, evidence):
        self.sent_evidence += 1
        delay_s = self.rng.uniform(0.002, 0.1)
        self._schedule(self.now_s + delay_s, self._receive_evidence, host, evidence)

    def _receive_evidence(self, host, evidence):
        receive = host.guard.quarantine.receive
        self._deliver(host, lambda: receive(evidence, self.now_s))

    def _probe(self, host, record):
        accepted = self._is_accepted(host, record)
        host.guard.record_probe(record, accepted, self.now_s)

    def _probe_path(self, host, record):
        accepted = self._is_accepted(host, record)
        host.harness.dispatcher.reach.record_probe(record, accepted, self.now_s)

    def _is_accepted(self, host, record):
        """Return whether an endpoint accepts a connection of a host."""
        engine = self._find_engine(record)
        return engine is not None and engine.up

    def _find_engine(self, record):
        return next(
            (
                each
                for each in self.engines
                if (each.name, each.generation) == (record.endpoint, record.incarnation)
            ),
            None,
        )

    def _send_heartbeats(self):
        for engine in self.engines:
            if engine.up:
                self._send_heartbeat(engine)

    def _send_heartbeat(self, engine):
        engine.sequence += 1
        cold_s = max(0.0, engine.started_s + 3.0 - self.now_s)
        for host in self.hosts:
            if host.region != engine.region or host.is_cut(self.now_s):
                continue
            if host.find_thaw_s(self.now_s) is not None:
                continue
            host.harness.now_s = self.now_s
            host.harness.send_heartbeats(
                [engine.name],
                incarnation=engine.generation,
                sequence=engine.sequence,
                address=engine.address,
                cold_s=cold_s,
                state=EndpointState.READY,
            )
