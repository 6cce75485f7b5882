"""Play of an overloaded region: many hosts, engines and callers, without a network.

The engines prefill one prompt after another, decode more slowly the fuller they are,
and report their load late. Rates are those of one endpoint of the deployments K and R.
"""

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

from buckthorndeal.configuration import EngineDescription, ServiceDescription
from buckthorndeal.gateway._fleet_messages import FleetChanged
from buckthorndeal.gateway._messages import (
    Call,
    Dispatch,
    Grant,
    LoadReport,
)
from buckthorndeal.gateway._prompts import Prompt, PromptPart
from buckthorndeal.gateway._quota_gate import Admission, QuotaGate
from buckthorndeal.policy.views import AttemptOutcome
from buckthorndeal.workspaces import QuotaUnit, Workspace
from tests.dispatcher_harness import ROUTE, DispatcherHarness

TICK_S = 0.02
REPORT_DELAY_S = 0.15
HEARTBEAT_S = 1.0
WORKSPACES = 16
TEXTS = 40


@dataclass(frozen=True)
class Kind:
    """Kind of request of a deployment; its rate is that of one endpoint."""

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    objective_s: float
    deadline_s: float
    value: float
    late_value: float
    priority: int = 0


@dataclass(frozen=True)
class Deployment:
    """Kinds of request, engines and hosts of one region."""

    kinds: tuple[Kind, ...]
    slots: int
    step_s: float
    tokens_per_s: float
    kv_tokens: int
    engines: int
    hosts: int
    speeds: tuple[float, float] = (1.0, 1.0)
    slow_share: float = 0.0


K = Deployment(
    (
        Kind("long", 2.85, 6300, 2890, 50, 0.815, 4.077, 4.3, 0.51, 0),
        Kind("short", 4.2, 198, 628, 290, 1.507, 10.044, 1.3, 0.58, 2),
    ),
    24, 0.00303, 92_100.0, 351_124, 10, 4,
)  # fmt: skip
K16 = replace(
    K,
    slots=16,
    kinds=tuple(replace(kind, per_s=kind.per_s * 0.7) for kind in K.kinds),
)
R = Deployment(
    (
        Kind("long", 2.45, 6300, 2890, 54, 1.247, 5.196, 2.8, 0.85),
        Kind("short", 2.03, 198, 628, 294, 1.020, 15.304, 2.0, 0.59),
    ),
    64, 0.00434, 36_700.0, 275_287, 10, 10, (0.55, 1.2), 0.15,
)  # fmt: skip


class OpenGate(QuotaGate):
    """Admits all requests; the quotas of the play only weigh the workspaces."""

    def admit(self, dispatch):
        return Admission.ADMITTED


@dataclass(eq=False)
class Request:
    """Request of a caller, with what became of it."""

    kind: Kind
    workspace: Workspace
    text: str
    own_tokens: int
    output_tokens: int
    arrived_s: float
    hurried: bool
    leaves_s: float
    tries: int = 0
    first_s: float | None = None
    ended_s: float | None = None
    refusals_s: list = field(default_factory=list)

    @property
    def in_time(self):
        """Whether the first event came within the objective and the last one came."""
        if self.ended_s is None:
            return False
        return self.first_s - self.arrived_s <= self.kind.objective_s

    @property
    def value(self):
        """Value that the request has brought."""
        if self.ended_s is None:
            return 0.0
        return self.kind.value if self.in_time else self.kind.late_value


@dataclass(eq=False)
class Attempt:
    """Attempt at an engine."""

    request: Request
    host: object
    attempt_id: int
    urgency: int
    number: int
    uncached: int = 0
    memory: int = 0
    generation: int = 0
    first_s: float | None = None
    gone: bool = False


class Engine:
    """Engine of an endpoint, with slots, urgency and preemption."""

    def __init__(self, play, speed):
        self.play, self.speed = play, speed
        self.running, self.waiting, self.prefills = [], [], []
        self.texts = {}
        self.busy = None
        self.slow_until_s = 0.0
        self.snapshots = [(0.0, 0, 0, 1.0)]
        self.prefilled_again = 0

    def get_slowdown(self):
        """Return how long work takes on this machine at this moment."""
        return 2.5 if self.play.now_s < self.slow_until_s else 1.0

    def report(self):
        """Return the load as it was before the delay of reports."""
        now_s = self.play.now_s
        while len(self.snapshots) > 1 and (
            self.snapshots[1][0] <= now_s - REPORT_DELAY_S
        ):
            self.snapshots.pop(0)
        _, running, waiting, slowdown = self.snapshots[0]
        return LoadReport(running, waiting, self.play.site.slots, slowdown)

    def note(self):
        """Remember the load for reports."""
        queued = len(self.prefills) + (self.busy is not None)
        entry = (self.play.now_s, len(self.running), len(self.waiting) + queued)
        self.snapshots.append((*entry, self.get_slowdown()))

    def accept(self, attempt, source):
        """Accept an attempt; `source` may have its shared text."""
        request = attempt.request
        cached = request.text in self.texts
        cached = cached or (source is not None and request.text in source.texts)
        shared = request.kind.shared_tokens
        attempt.uncached = request.own_tokens + (0 if cached else shared)
        attempt.memory = shared + request.own_tokens + request.output_tokens
        self.texts.pop(request.text, None)
        self.texts[request.text] = shared
        while sum(self.texts.values()) > 0.4 * self.play.site.kv_tokens:
            del self.texts[next(iter(self.texts))]
        self.waiting.append(attempt)
        self.fill()

    def fill(self):
        """Give free slots to waiting attempts, by urgency; preempt less urgent ones."""
        site = self.play.site
        while self.waiting:
            first = min(self.waiting, key=lambda each: (each.urgency, each.number))
            memory = sum(each.memory for each in self.running) + first.memory
            full = len(self.running) >= site.slots or (
                self.running and memory > site.kv_tokens
            )
            if full:
                last = max(self.running, key=lambda each: (each.urgency, each.number))
                if last.urgency <= first.urgency:
                    break
                self.drop(last)
                last.uncached = last.request.own_tokens
                self.prefilled_again += last.uncached
                self.waiting.append(last)
            self.waiting.remove(first)
            self.running.append(first)
            self.prefills.append(first)
        self.start_prefill()
        self.note()

    def start_prefill(self):
        """Begin the next prefill if none is under way."""
        if self.busy is not None or not self.prefills:
            return
        attempt = min(self.prefills, key=lambda each: (each.urgency, each.number))
        self.prefills.remove(attempt)
        self.busy = attempt
        rate = self.play.site.tokens_per_s * self.speed / self.get_slowdown()
        # Decoding goes on beside, and takes a part of the engine.
        load = 1 + 0.5 * len(self.running) / self.play.site.slots
        seconds = attempt.uncached / rate * load + 0.02
        self.play.schedule(seconds, self.end_prefill, attempt, attempt.generation)

    def end_prefill(self, attempt, generation):
        if self.busy is attempt:
            self.busy = None
        if attempt.generation == generation and not attempt.gone:
            self.play.begin_response(attempt, self)
            site = self.play.site
            step_s = site.step_s / self.speed * self.get_slowdown()
            # Engines slow down long before they are full.
            step_s *= 1 + 1.5 * len(self.running) / site.slots
            seconds = step_s * attempt.request.output_tokens
            self.play.schedule(seconds, self.end, attempt, generation)
        self.start_prefill()

    def end(self, attempt, generation):
        if attempt.generation != generation or attempt.gone:
            return
        self.drop(attempt)
        self.play.end_response(attempt)
        self.fill()

    def drop(self, attempt):
        """Take an attempt out, wherever it is."""
        attempt.generation += 1
        for group in (self.running, self.waiting, self.prefills):
            if attempt in group:
                group.remove(attempt)
        # A prefill that is under way is finished first.

    def cancel(self, attempt):
        """End an attempt whose caller has gone."""
        attempt.gone = True
        self.drop(attempt)
        self.fill()


class OverloadPlay:
    """Plays callers of one region, as a peak, a burst and one busy workspace come.

    Parameters
    ----------
    site : Deployment
        The deployment.
    load : float
        Factor of all rates.
    busy_factor : float
        Load of one workspace from 6 s to 12.5 s, relative to the usual.
    known : bool
        Whether the hosts know the endpoints at the start.
    """

    def __init__(self, site, seed=1, load=1.0, busy_factor=1.0, known=True, peak=2.5):
        self.site, self.load, self.busy_factor = site, load, busy_factor
        self.peak, self.known = peak, known
        self.rng = random.Random(seed)
        self.events, self.count = [], itertools.count()
        names = tuple(f"h{number}" for number in range(site.hosts))
        description = ServiceDescription(
            "llm", "/h", 610, 3.0, 2.6, EngineDescription(site.slots, site.kv_tokens)
        )
        self.hosts = []
        for number, name in enumerate(names):
            endpoints = site.engines if known else 0
            harness = DispatcherHarness(
                endpoints, slots=site.slots, host=name, predicts_always=True
            )
            harness.dispatcher.quota = OpenGate()
            harness.dispatcher._rng.seed(seed * 1000 + number)
            harness.view.set_services({"llm": description})
            harness.view.set_fleet(FleetChanged(names, len(names), frozenset()), 90.0)
            harness.waiting = {}
            harness.names = [f"e{n}" for n in range(site.engines)]
            if not known:
                forget_start(harness.dispatcher)
            self.hosts.append(harness)
        self.now_s = self.start_s = self.hosts[0].now_s
        low, high = site.speeds
        self.engines = [
            Engine(self, self.rng.uniform(low, high)) for _ in range(site.engines)
        ]
        self.routes = {
            kind.name: replace(
                ROUTE,
                name=kind.name,
                latency_objective_s=kind.objective_s,
                timeout_s=kind.deadline_s,
                priority=kind.priority,
            )
            for kind in site.kinds
        }
        self.weights = [1 / (n + 1) for n in range(WORKSPACES)]
        # Quotas are in proportion to the usual sizes.
        self.workspaces = [
            Workspace(f"w{n}", unit=QuotaUnit.TOKENS, rate_per_s=1e5 * weight)
            for n, weight in enumerate(self.weights)
        ]
        self.requests = []
        self.attempts = {}
        self.ended_unserved = 0
        self.idle_refusals = 0

    def schedule(self, delay_s, call, *fields):
        """Call a function later."""
        heapq.heappush(
            self.events, (self.now_s + delay_s, next(self.count), call, fields)
        )

    def get_factor(self, age_s):
        """Return the load at an age: a peak from 4 to 13 s, a burst from 7 to 10 s."""
        factor = self.peak if 4 <= age_s < 13 else 1.0
        return factor * (1.7 if 7 <= age_s < 10 and self.peak > 1 else 1.0)

    def play(self, seconds=18.0, drain_s=12.0):
        """Play callers for a time, then let their requests end."""
        self.until_s = self.now_s + seconds
        for kind in self.site.kinds:
            self.schedule(0.0, self.arrive, kind)
        self.schedule(0.0 if self.known else HEARTBEAT_S * 1.2, self.send_heartbeats)
        self.schedule(0.0, self.tick)
        if not self.known:
            for name in self.hosts[0].names:
                self.schedule(self.rng.uniform(0, 1.2), self.introduce, name)
        self.schedule(0.0, self.slow_down)
        while self.events and self.events[0][0] < self.until_s + drain_s:
            self.now_s, _, call, fields = heapq.heappop(self.events)
            call(*fields)
        return self

    def arrive(self, kind):
        age_s = self.now_s - self.start_s
        if self.now_s >= self.until_s:
            return
        factor = self.get_factor(age_s) * self.load
        weights = list(self.weights)
        if 6 <= age_s < 12.5:
            factor *= 1 + (self.busy_factor - 1) * weights[2] / sum(weights)
            weights[2] *= self.busy_factor
        rate = kind.per_s * self.site.engines * factor
        self.schedule(self.rng.expovariate(rate), self.arrive, kind)
        workspace = self.rng.choices(self.workspaces, weights)[0]
        # Lengths vary by more than their mean, as in the deployments.
        own = int(kind.own_tokens * self.rng.lognormvariate(-0.32, 0.8)) + 1
        output = int(kind.output_tokens * self.rng.uniform(0.6, 1.4)) + 1
        leaves_s = max(2.0, 4 * kind.objective_s)
        if self.rng.random() < 0.05:
            leaves_s = kind.objective_s / 2
        text = f"{kind.name}{int(TEXTS * self.rng.random() ** 2)}"
        hurried = self.rng.random() < 0.1
        request = Request(
            kind, workspace, text, own, output, self.now_s, hurried, leaves_s
        )
        self.requests.append(request)
        self.send(request)

    def send(self, request):
        kind = request.kind
        host = self.rng.choice(self.hosts)
        host.attempt_id += 1
        request.tries += 1
        tokens = kind.shared_tokens + request.own_tokens
        parts = (
            PromptPart(request.text, kind.shared_tokens),
            PromptPart(f"o{id(request)}", request.own_tokens),
        )
        prompt = Prompt("m", tokens, request.output_tokens, parts)
        call = Call(
            f"q{next(self.count)}",
            self.routes[kind.name],
            "llm",
            self.now_s,
            request.arrived_s + kind.deadline_s,
            prompt,
            workspace=request.workspace,
        )
        attempt = Attempt(request, host, host.attempt_id, 0, next(self.count))
        host.waiting[attempt.attempt_id] = (attempt, self.now_s)
        leaves_s = min(request.leaves_s, kind.deadline_s)
        self.schedule(max(0, request.arrived_s + leaves_s - self.now_s),
                      self.leave, attempt, False)  # fmt: skip
        self.schedule(max(0, request.arrived_s + kind.deadline_s - self.now_s),
                      self.leave, attempt, True)  # fmt: skip
        decision = host.dispatcher.submit(
            Dispatch(attempt.attempt_id, call), self.now_s
        )
        if decision is not None:
            self.apply(host, attempt.attempt_id, decision)
        self.decide(host)

    def decide(self, host):
        if host.dispatcher.has_waiting:
            decided = host.dispatcher.decide_waiting(self.now_s)
            for attempt_id, decision in decided:
                self.apply(host, attempt_id, decision)

    def apply(self, host, attempt_id, decision):
        attempt, sent_s = host.waiting.pop(attempt_id)
        request = attempt.request
        if isinstance(decision, Grant):
            engine = self.engines[int(decision.record.endpoint[1:])]
            source = None
            if decision.cache_source is not None:
                number = int(decision.cache_source.split(":")[0].split(".")[3])
                source = self.engines[number]
            attempt.urgency = 5 if decision.urgency is None else decision.urgency
            self.attempts[attempt] = engine
            engine.accept(attempt, source)
            return
        host.dispatcher.finish_attempt(attempt_id, None, self.now_s)
        request.refusals_s.append(self.now_s - sent_s)
        running = sum(len(each.running) for each in self.engines)
        waiting = any(each.waiting for each in self.engines)
        waiting = waiting or any(each.waiting for each in self.hosts)
        half = self.site.slots * self.site.engines / 2
        self.idle_refusals += running < half and not waiting
        left_s = request.arrived_s + request.kind.deadline_s - self.now_s
        if request.tries >= (3 if request.hurried else 2):
            return
        delay_s = 0.01 if request.hurried else decision.retry_after_s
        if delay_s <= left_s / 3:
            self.schedule(delay_s, self.send, request)

    def leave(self, attempt, at_deadline):
        """End an attempt whose caller leaves: without an event, or at the deadline."""
        if attempt.first_s is not None and not at_deadline:
            return
        host = attempt.host
        if host.waiting.pop(attempt.attempt_id, None) is not None:
            host.dispatcher.finish_attempt(attempt.attempt_id, None, self.now_s)
            self.ended_unserved += 1
        engine = self.attempts.pop(attempt, None)
        if engine is not None:
            engine.cancel(attempt)
            self.ended_unserved += 1
            host.dispatcher.finish_attempt(
                attempt.attempt_id, AttemptOutcome.CANCELLED, self.now_s
            )
            self.decide(host)

    def begin_response(self, attempt, engine):
        if attempt.first_s is None:
            attempt.first_s = self.now_s
            attempt.host.dispatcher.record_response_start(
                attempt.attempt_id, engine.report(), self.now_s
            )
        self.decide(attempt.host)

    def end_response(self, attempt):
        if self.attempts.pop(attempt, None) is None:
            return
        request = attempt.request
        request.first_s, request.ended_s = attempt.first_s, self.now_s
        attempt.host.dispatcher.finish_attempt(
            attempt.attempt_id,
            AttemptOutcome.SUCCEEDED,
            self.now_s,
            events=request.output_tokens,
        )
        self.decide(attempt.host)

    def introduce(self, name):
        """Make an endpoint known to all hosts, as after a restart of all hosts."""
        for host in self.hosts:
            host.now_s = self.now_s
            host.send_heartbeats([name])

    def send_heartbeats(self):
        for host in self.hosts:
            host.now_s = self.now_s
            host.send_heartbeats()
        self.schedule(HEARTBEAT_S, self.send_heartbeats)

    def slow_down(self):
        """Slow some engines down for a phase of 0.6 s."""
        for engine in self.engines:
            if self.rng.random() < self.site.slow_share:
                engine.slow_until_s = self.now_s + 0.6
        self.schedule(0.6, self.slow_down)

    def tick(self):
        for host in self.hosts:
            self.decide(host)
        self.schedule(TICK_S, self.tick)

    def describe(self, group=lambda request: request.kind.name):
        """Return counts and shares of the requests by group."""
        groups = defaultdict(list)
        for request in self.requests:
            groups[group(request)].append(request)
        return {name: Summary(groups[name]) for name in sorted(groups)}

    @property
    def value(self):
        """Share of the largest possible value that the callers have got."""
        most = sum(request.kind.value for request in self.requests)
        return sum(request.value for request in self.requests) / most

    @property
    def held(self):
        """Share of the refusals that came later than an eighth of the objective."""
        refusals = [
            wait_s > request.kind.objective_s / 8 + TICK_S
            for request in self.requests
            for wait_s in request.refusals_s
        ]
        return sum(refusals) / max(1, len(refusals))


def forget_start(dispatcher):
    """Make a dispatcher one of a host that has just started."""
    owner = getattr(dispatcher, "admission", dispatcher)
    owner._started_s = None


class Summary:
    """Shares of some requests."""

    def __init__(self, requests):
        self.total = len(requests)
        self.in_time = sum(each.in_time for each in requests) / self.total
        ended = sum(each.ended_s is not None for each in requests) / self.total
        self.late = ended - self.in_time
        self.value = sum(each.value for each in requests) / sum(
            each.kind.value for each in requests
        )

    def __repr__(self):
        return (
            f"n={self.total} in_time={self.in_time:.3f} late={self.late:.3f} "
            f"value={self.value:.3f}"
        )


def rank_by_size(request):
    """Return whether a request is among the largest tenth of its kind."""
    # The tenth largest value of the distribution of sizes.
    largest = request.own_tokens > 2.02 * request.kind.own_tokens
    return f"{request.kind.name} {'largest' if largest else 'others'}"


def print_play(play):
    """Print what callers got."""
    print(
        f"value={play.value:.4f} held={play.held:.3f} "
        f"unserved={play.ended_unserved} idle_refusals={play.idle_refusals}"
    )
    for name, summary in play.describe().items():
        print(" ", name, summary)
    for name, summary in play.describe(rank_by_size).items():
        if name.endswith("largest"):
            print(" ", name, summary)
    again = sum(engine.prefilled_again for engine in play.engines)
    shares = [each.value for each in play.describe(lambda r: r.workspace.name).values()]
    busy = play.describe(lambda r: str(r.workspace.name == "w2"))
    print(f"  workspaces {min(shares):.3f}..{max(shares):.3f} again={again} {busy}")


if __name__ == "__main__":
    import time

    for name, site in (("K", K), ("R", R)):
        for label, fields in (
            ("peak", {}),
            ("busy workspace", {"busy_factor": 7.5}),
            ("calm", {"peak": 1.0}),
        ):
            begun_s = time.process_time()
            for seed in (1, 2):
                print(name, label, seed, end=" ")
                print_play(OverloadPlay(site, seed=seed, **fields).play())
            print(f"  cpu {time.process_time() - begun_s:.1f} s")
