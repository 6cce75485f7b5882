"""Load play of many hosts and engines of unequal and changing speed.

Engines batch continuously: a step yields a token of each running request, and prefills
a chunk of the first prompt that waits. A step takes longer with each running request.
"""

import heapq
import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field, replace
from itertools import count

from buckthorndeal.configuration import RequestKind, Route, WeightedService
from buckthorndeal.gateway._fleet_messages import (
    FleetChanged,
)
from buckthorndeal.gateway._messages import (
    Grant,
    LoadReport,
)
from buckthorndeal.gateway._prompts import Prompt, PromptPart
from buckthorndeal.policy.views import AttemptOutcome
from tests.dispatcher_harness import DispatcherHarness

REPORT_DELAY_S = 0.15
SLOW_PHASE_S = 0.6
SLOW_SHARE = 0.15
SLOW_FACTOR = 2.5
CHUNK_TOKENS = 512
CACHED_TEXTS = 26
FETCH_S = 0.02
# Time after the last arrival in which requests end.
MAX_TAIL_S = 16.0


@dataclass(frozen=True)
class Kind:
    """A kind of request.

    Parameters
    ----------
    per_s : float
        Mean rate at one endpoint.
    tokens, shared_tokens : int
        Mean own tokens and shared tokens of the prompt; 0 for a plain request.
    events, event_tokens : int
        Events of the stream, and tokens in each.
    work_s : float
        Time that a plain request takes.
    """

    name: str
    per_s: float
    objective_s: float
    pause_s: float
    deadline_s: float
    tokens: int = 0
    shared_tokens: int = 0
    events: int = 1
    event_tokens: int = 6
    work_s: float = 0.0

    def create_route(self):
        """Return the route of these requests."""
        is_stream = self.tokens > 0
        kind = RequestKind.STREAM if is_stream else RequestKind.IDEMPOTENT
        service = WeightedService("llm" if is_stream else "desk", 1)
        return Route(
            self.name,
            "x",
            "/",
            kind,
            self.deadline_s,
            self.objective_s,
            0,
            (service,),
            max_pause_s=self.pause_s,
        )


R_KINDS = (
    Kind("long summary", 2.45, 1.247, 0.6, 5.2, 2890, 6300, 9),
    Kind("short answer", 2.03, 1.02, 0.6, 15.3, 628, 198, 49),
)
K_KINDS = (
    Kind("long review", 2.85, 0.815, 0.4, 4.1, 2890, 6300, 5, 10),
    Kind("short answer", 4.2, 1.507, 0.4, 10.0, 628, 198, 29, 10),
)
R_PLAIN_KINDS = (Kind("order", 18.5, 0.445, 0.0, 6.3, work_s=0.0225),)
K_PLAIN_KINDS = (Kind("posting", 26.4, 0.706, 0.0, 10.0, work_s=0.09),)


@dataclass(eq=False)
class Job:
    """A request at an engine."""

    kind: Kind
    host: DispatcherHarness
    attempt_id: int
    arrived_s: float
    left_tokens: float
    left_events_tokens: int
    first_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    ended: bool = False


@dataclass(eq=False)
class Machine:
    """An endpoint: an engine, or a plain server with slots.

    Parameters
    ----------
    speed : float
        Lasting speed, 1 for a usual machine.
    slots : int
        Requests that run at once.
    step_s, tokens_per_s : float
        Least time of a step and prefill speed of an engine.
    crowding : float
        A full machine takes 1 + crowding times as long for each request.
    """

    name: str
    speed: float
    slots: int
    step_s: float = 0.00434
    tokens_per_s: float = 36_700.0
    crowding: float = 2.0
    slow_until_s: float = 0.0
    reports: str = "true"
    fails: bool = False
    silent: bool = False
    texts: OrderedDict = field(default_factory=OrderedDict)
    prefills: list = field(default_factory=list)
    running: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    busy: bool = False
    history: list = field(default_factory=list)

    def get_slowdown(self, now_s):
        return SLOW_FACTOR if now_s < self.slow_until_s else 1.0

    def get_work_factor(self, now_s):
        """Return the time that work takes now, as a multiple of the least."""
        crowd = 1 + self.crowding * len(self.running) / self.slots
        return crowd * self.get_slowdown(now_s) / self.speed

    def note(self, now_s):
        """Keep the load for reports, which are late."""
        inside = len(self.running) + len(self.prefills)
        entry = (now_s, inside, len(self.waiting), self.get_slowdown(now_s))
        self.history.append(entry)

    def report(self, now_s):
        """Return the load as it was `REPORT_DELAY_S` ago."""
        if self.reports == "none":
            return None
        while len(self.history) > 1 and self.history[1][0] <= now_s - REPORT_DELAY_S:
            self.history.pop(0)
        _, inside, waiting, slowdown = self.history[0] if self.history else (0, 0, 0, 1)
        if self.reports == "full":
            return LoadReport(10**9, 10**9, 0, slowdown)
        if self.reports == "free":
            return LoadReport(0, 0, self.slots, 1.0)
        if self.reports == "three":
            return LoadReport(inside, waiting, self.slots)
        return LoadReport(inside, waiting, self.slots, slowdown)


class PacePlay:
    """Plays requests of `hosts` entry hosts to shared machines.

    Parameters
    ----------
    kinds : tuple of Kind
        Kinds of requests, all of them with prompts or none.
    load : float
        Factor of the rates.
    speeds : tuple of float
        Least and largest speed.
    """

    def __init__(
        self,
        kinds=R_KINDS,
        hosts=24,
        machines=23,
        slots=64,
        load=1.0,
        seed=1,
        speeds=(0.55, 1.2),
        slow_phases=True,
        texts=176,
        **fields,
    ):
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.texts = texts
        self.text_prefix = ""
        self.load = load
        self.slow_phases = slow_phases
        self.is_plain = not kinds[0].tokens
        self.machines = {}
        for number in range(machines):
            speed = self.rng.uniform(*speeds)
            name = f"e{number}"
            self.machines[name] = Machine(name, speed, slots, **fields)
        names = tuple(f"h{number}" for number in range(hosts))
        self.hosts = []
        for number, name in enumerate(names):
            host = DispatcherHarness(
                endpoints=machines,
                slots=slots,
                host=name,
                service="desk" if self.is_plain else "llm",
            )
            rng = random.Random(seed * 1000 + number)
            host.dispatcher._rng = host.dispatcher._local._rng = rng
            host.view.set_fleet(FleetChanged(names, hosts, frozenset()), host.now_s)
            self.hosts.append(host)
        self.routes = {kind: kind.create_route() for kind in kinds}
        self.now_s = self.start_s = self.hosts[0].now_s
        self.events = []
        self.numbers = count()
        self.results = {kind.name: Counter() for kind in kinds}
        self.sent = Counter()
        self.fetched = self.prefilled = 0
        self.counts_from_s = self.start_s
        self.is_open = True
        self.open_jobs = 0

    def play(self, seconds, warm_up_s=2.0):
        """Send requests; those of the first seconds don't count."""
        self.counts_from_s = self.now_s + warm_up_s
        for kind in self.kinds:
            self._plan_arrival(kind)
        self._at(self.now_s, self._send_heartbeats)
        if self.slow_phases:
            for machine in self.machines.values():
                self._at(self.now_s + self._draw_sound_s(), self._slow_down, machine)
        self._run_until(self.now_s + seconds)
        self._run_to_end()
        return self

    def resume(self, seconds):
        """Send requests after those of `play` have ended."""
        self.is_open = True
        for kind in self.kinds:
            self._plan_arrival(kind)
        self._run_until(self.now_s + seconds)
        self._run_to_end()

    def clear_results(self):
        """Forget how the requests have ended so far."""
        for result in self.results.values():
            result.clear()

    def _run_to_end(self):
        self.is_open = False
        last_s = self.now_s + MAX_TAIL_S
        while self.open_jobs and self.now_s < last_s:
            self._run_until(self.now_s + 0.5)

    def change(self, **fields):
        """Change fields of all machines."""
        for machine in self.machines.values():
            for name, value in fields.items():
                setattr(machine, name, value)

    def get_share(self, kind=None):
        """Return the share of requests served in time, of one kind or of all."""
        totals = Counter()
        for name, result in self.results.items():
            if kind in (None, name):
                totals.update(result)
        total = totals.total()
        return totals["in time"] / total if total else 0.0

    def describe(self):
        """Return the results by kind."""
        parts = []
        for name, result in self.results.items():
            total = result.total()
            shares = ", ".join(
                f"{key} {result[key] / total:.3f}"
                for key in ("in time", "late", "pause", "vain", "refused", "failed")
                if result[key]
            )
            parts.append(f"{name}: {shares} of {total}")
        return "; ".join(parts)

    def _at(self, when_s, function, *arguments):
        heapq.heappush(self.events, (when_s, next(self.numbers), function, arguments))

    def _run_until(self, end_s):
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now_s = end_s

    def _draw_sound_s(self):
        return self.rng.expovariate(SLOW_SHARE / (SLOW_PHASE_S * (1 - SLOW_SHARE)))

    def _slow_down(self, machine):
        machine.slow_until_s = self.now_s + SLOW_PHASE_S
        machine.note(self.now_s)
        self._at(machine.slow_until_s + 1e-6, machine.note, machine.slow_until_s + 1e-6)
        next_s = self.now_s + SLOW_PHASE_S + self._draw_sound_s()
        self._at(next_s, self._slow_down, machine)

    def _send_heartbeats(self):
        for host in self.hosts:
            host.now_s = self.now_s
            host.send_heartbeats()
        self._at(self.now_s + 1.0, self._send_heartbeats)

    def _plan_arrival(self, kind):
        rate_per_s = kind.per_s * len(self.machines) * self.load
        when_s = self.now_s + self.rng.expovariate(rate_per_s)
        self._at(when_s, self._arrive, kind)

    def _arrive(self, kind):
        if not self.is_open:
            return
        self._plan_arrival(kind)
        self.open_jobs += 1
        host = self.rng.choice(self.hosts)
        host.now_s = self.now_s
        prompt = None
        text = self.rng.randrange(self.texts)
        if not self.is_plain:
            tokens = int(kind.tokens * self.rng.lognormvariate(-0.18, 0.6))
            parts = (
                PromptPart(f"{self.text_prefix}{kind.name}{text}", kind.shared_tokens),
                PromptPart(f"own{next(self.numbers)}", tokens),
            )
            output = kind.events * kind.event_tokens * 2
            prompt = Prompt("m", kind.shared_tokens + tokens, output, parts)
        decision = host.submit(prompt, route=self.routes[kind])
        waited = (kind, host, host.attempt_id, prompt, self.now_s)
        if decision is None:
            self._at(self.now_s + 0.02, self._decide_waiting, host)
            host.__dict__.setdefault("waited", {})[host.attempt_id] = waited
            return
        self._apply(decision, *waited)

    def _decide_waiting(self, host):
        host.now_s = self.now_s
        for attempt_id, decision in host.dispatcher.decide_waiting(self.now_s):
            self._apply(decision, *host.waited.pop(attempt_id))
        if host.dispatcher.has_waiting:
            self._at(self.now_s + 0.02, self._decide_waiting, host)

    def _apply(self, decision, kind, host, attempt_id, prompt, arrived_s):
        if not isinstance(decision, Grant):
            host.finish(attempt_id)
            self._count(kind, arrived_s, "refused")
            return
        machine = self.machines[decision.record.endpoint]
        self.sent[machine.name] += 1
        job = Job(kind, host, attempt_id, arrived_s, 0.0, 0)
        self._at(arrived_s + kind.deadline_s, self._leave, job, machine)
        if machine.silent:
            return
        if machine.fails:
            self._at(self.now_s + 0.005, self._fail, job, machine)
            return
        delay_s = 0.001
        if prompt is not None:
            shared, own = prompt.parts
            job.left_tokens = own.tokens
            job.left_events_tokens = kind.events * kind.event_tokens
            if shared.key in machine.texts:
                machine.texts.move_to_end(shared.key)
            else:
                source = self._find_machine(decision.cache_source)
                if source is not None and shared.key in source.texts:
                    delay_s += FETCH_S
                    self.fetched += shared.tokens
                else:
                    job.left_tokens += shared.tokens
                    self.prefilled += shared.tokens
                machine.texts[shared.key] = True
                if len(machine.texts) > CACHED_TEXTS:
                    machine.texts.popitem(last=False)
        self._at(self.now_s + delay_s, self._accept, job, machine)

    def _find_machine(self, address):
        if address is None:
            return None
        return self.machines["e" + address.split(":")[0].rsplit(".", 1)[1]]

    def _accept(self, job, machine):
        if job.ended:
            return
        if self.is_plain:
            machine.waiting.append(job)
            self._start_plain(machine)
            return
        if len(machine.running) + len(machine.prefills) < machine.slots:
            machine.prefills.append(job)
        else:
            machine.waiting.append(job)
        machine.note(self.now_s)
        if not machine.busy:
            self._plan_step(machine)

    def _start_plain(self, machine):
        while machine.waiting and len(machine.running) < machine.slots:
            job = machine.waiting.pop(0)
            machine.running.append(job)
            seconds = job.kind.work_s * machine.get_work_factor(self.now_s)
            self._at(self.now_s + seconds, self._end_plain, job, machine)
        machine.note(self.now_s)

    def _end_plain(self, job, machine):
        machine.running.remove(job)
        self._start_plain(machine)
        if not job.ended:
            self._start_response(job, machine)
            self._end(job, AttemptOutcome.SUCCEEDED)

    def _plan_step(self, machine):
        machine.busy = True
        chunk = (
            min(machine.prefills[0].left_tokens, CHUNK_TOKENS)
            if (machine.prefills)
            else 0
        )
        factor = machine.get_work_factor(self.now_s)
        prefill_factor = machine.get_slowdown(self.now_s) / machine.speed
        seconds = machine.step_s * factor
        seconds += chunk / machine.tokens_per_s * prefill_factor
        self._at(self.now_s + seconds, self._end_step, machine, chunk)

    def _end_step(self, machine, chunk):
        for job in machine.running[:]:
            job.left_events_tokens -= 1
            if job.left_events_tokens % job.kind.event_tokens == 0:
                pause_s = self.now_s - job.last_event_s
                job.longest_pause_s = max(job.longest_pause_s, pause_s)
                job.last_event_s = self.now_s
            if job.left_events_tokens <= 0:
                machine.running.remove(job)
                self._end(job, AttemptOutcome.SUCCEEDED)
        if machine.prefills and chunk:
            job = machine.prefills[0]
            job.left_tokens -= chunk
            if job.left_tokens <= 0:
                machine.prefills.pop(0)
                machine.running.append(job)
                job.left_events_tokens -= job.kind.event_tokens
                self._start_response(job, machine)
        while machine.waiting and (
            len(machine.running) + len(machine.prefills) < machine.slots
        ):
            machine.prefills.append(machine.waiting.pop(0))
        machine.note(self.now_s)
        machine.busy = bool(machine.running or machine.prefills)
        if machine.busy:
            self._plan_step(machine)

    def _start_response(self, job, machine):
        job.first_s = job.last_event_s = self.now_s
        job.host.now_s = self.now_s
        job.host.dispatcher.record_response_start(
            job.attempt_id, machine.report(self.now_s), self.now_s
        )

    def _fail(self, job, machine):
        if job.ended:
            return
        job.host.now_s = self.now_s
        job.host.dispatcher.record_response_start(
            job.attempt_id, machine.report(self.now_s), self.now_s, True
        )
        job.ended = True
        job.host.finish(job.attempt_id)
        self._count(job.kind, job.arrived_s, "failed")

    def _end(self, job, outcome):
        job.ended = True
        job.host.now_s = self.now_s
        events = 0 if self.is_plain else job.kind.events
        job.host.dispatcher.finish_attempt(
            job.attempt_id, outcome, self.now_s, events=events
        )
        if job.first_s - job.arrived_s > job.kind.objective_s:
            self._count(job.kind, job.arrived_s, "late")
        elif job.longest_pause_s > job.kind.pause_s:
            self._count(job.kind, job.arrived_s, "pause")
        else:
            self._count(job.kind, job.arrived_s, "in time")

    def _leave(self, job, machine):
        """End a request at the deadline of its caller."""
        if job.ended:
            return
        job.ended = True
        for jobs in (machine.prefills, machine.waiting):
            if job in jobs:
                jobs.remove(job)
        if not self.is_plain and job in machine.running:
            machine.running.remove(job)
        job.host.now_s = self.now_s
        job.host.finish(job.attempt_id, AttemptOutcome.CANCELLED)
        self._count(job.kind, job.arrived_s, "vain")

    def _count(self, kind, arrived_s, result):
        self.open_jobs -= 1
        if arrived_s >= self.counts_from_s:
            self.results[kind.name][result] += 1


def scale_kinds(kinds, factor):
    """Return kinds with other rates."""
    return tuple(replace(kind, per_s=kind.per_s * factor) for kind in kinds)
