"""Play of requests that come again and crash plain endpoints, without a network."""

import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from buckthorndeal.configuration import RequestKind, WeightedService
from buckthorndeal.gateway._fleet_messages import (
    RegionUpdate,
)
from buckthorndeal.gateway._messages import (
    Forward,
    Grant,
    Refusal,
    RefusalReason,
)
from buckthorndeal.policy.views import AttemptOutcome
from buckthorndeal.quarantine import RequestContent
from tests.crash_play import CALM_S, REGIONS, CrashPlay, PlayHost
from tests.dispatcher_harness import ROUTE, DispatcherHarness

SLOTS = 6
# Ends of endpoints under one request after which the rule counts.
COUNTED_ENDS = 3
REGION_DELAY_S = 0.08
HOST_DELAY_S = 0.002
REGION_REPORT_S = 0.4
DOWN_S = (3.0, 4.0)
WORK_S = (0.005, 0.03)
CRASH_S = (0.015, 0.1)
RETRY_S = (0.02, 0.4)
MAX_NOT_RUN_ATTEMPTS = 3
LOOKUP = replace(
    ROUTE,
    kind=RequestKind.IDEMPOTENT,
    timeout_s=3.0,
    latency_objective_s=0.4,
    priority=2,
    services=(WeightedService("desk", 1),),
    max_attempts=2,
)
BOOKING = replace(LOOKUP, kind=RequestKind.NON_IDEMPOTENT, max_attempts=1)
QUARANTINE_REASONS = frozenset(
    reason for reason in RefusalReason if "quarantined" in reason.value
)


@dataclass(eq=False)
class PlayCall:
    """Request of a caller, with the callers' own retries; `tries` counts both."""

    route: object
    content: RequestContent
    sent_s: float
    crashing: bool = False
    tries: int = 0
    outcome: str = "open"
    quarantined: bool = False
    held: bool = False


@dataclass(eq=False)
class Leg:
    """A request at one entry host; `origin` is the leg that has forwarded it."""

    host: PlayHost
    call: PlayCall
    generation: int
    request_id: str
    origin: object = None
    runs: int = 0
    not_run: int = 0
    excluded: frozenset = frozenset()
    ended: bool = False

    @property
    def max_runs(self):
        return 1 if self.origin else self.call.route.max_attempts

    @property
    def is_lost(self):
        """Whether the host was killed since."""
        return self.generation != self.host.generation


@dataclass(eq=False)
class RestartingHost(PlayHost):
    """Entry host that may be killed; `kills` has (start, end) times."""

    generation: int = 0
    kills: list = field(default_factory=list)

    def is_down(self, now_s):
        return any(start <= now_s < end for start, end in self.kills)

    def is_in_touch(self, now_s):
        spans = [*self.freezes, *self.cuts, *self.kills]
        return not any(start <= now_s < end + CALM_S for start, end in spans)


class RepeatPlay(CrashPlay):
    """Plays lookups and bookings, and lookups that crash each endpoint that runs them.

    Parameters
    ----------
    hosts, endpoints : int
        Numbers of entry hosts and endpoints; both are spread over three regions.
    seed : int
        Seed of all draws.
    """

    def __init__(self, hosts=24, endpoints=6, seed=1):
        super().__init__(hosts, endpoints, seed)
        self.hosts = [
            RestartingHost(each.name, each.region, each.harness) for each in self.hosts
        ]
        self.ends_by_content = defaultdict(list)
        self.arrivals_by_content = defaultdict(list)
        self.calls = []
        self.crashing_route = LOOKUP
        self._waiting = {}
        self._fleets = {each.name: each.harness.view.fleet for each in self.hosts}
        self._seeds = itertools.count(seed * 1000 + 500)

    def create_harness(self, name, seed, fleet):
        harness = DispatcherHarness(endpoints=0, service="desk", slots=SLOTS, host=name)
        harness.dispatcher._rng = random.Random(seed)
        harness.view.set_fleet(fleet, self.now_s)
        return harness

    def play_calls(self, seconds, sound_per_s, crashing, texts=200):
        """Play sound requests, and crashing ones.

        Parameters
        ----------
        crashing : list of (float, float, float)
            For each crashing request how often it comes in a second, and from when
            until when.
        texts : int
            Number of different lookups; the same ones come from many callers.
        """
        start_s = self.now_s
        self._plan_sound(start_s, start_s + seconds, sound_per_s, texts)
        for number, (per_s, from_s, until_s) in enumerate(crashing):
            content = create_content("GET", f"/lookups/crash{number}")
            self._plan_crashing(content, per_s, start_s + from_s, start_s + until_s)
        for step in range(int(seconds / REGION_REPORT_S)):
            self._schedule(start_s + step * REGION_REPORT_S, self._report_regions)
        for host in self.hosts:
            for down_s, up_s in host.kills:
                self._schedule(down_s, self._kill, host)
                self._schedule(up_s, self._start_again, host)
        self.play(seconds, 0, 0)

    def kill_hosts(self, seed):
        """Plan hosts that are killed and start again without what they knew."""
        rng = random.Random(seed)
        for host in rng.sample(self.hosts, max(1, len(self.hosts) // 8)):
            at_s = self.now_s + rng.uniform(5, 25)
            host.kills.append((at_s, at_s + rng.uniform(1, 3)))

    def count_excess_calls(self):
        """Return the most arrivals of one crashing request that the rule counts."""
        most = 0
        for content, ends_s in self.ends_by_content.items():
            if len(ends_s) < COUNTED_ENDS:
                continue
            from_s = ends_s[COUNTED_ENDS - 1] + CALM_S
            arrivals = self.arrivals_by_content[content]
            counted = sum(at_s > from_s and in_touch for at_s, in_touch in arrivals)
            most = max(most, counted)
        return most

    def count_quarantined_calls(self):
        """Return the sound requests that a quarantine has refused at least once."""
        return sum(each.quarantined for each in self.calls if not each.crashing)

    def count_held_calls(self):
        """Return the sound requests that were held back at a first attempt."""
        return sum(each.held for each in self.calls if not each.crashing)

    def measure_served(self, from_s, to_s):
        """Return the share of the sound requests that is served."""
        chosen = [
            each.outcome
            for each in self.calls
            if not each.crashing and from_s <= each.sent_s - 100.0 < to_s
        ]
        return Counter(chosen)["served"] / len(chosen)

    def _plan_sound(self, from_s, to_s, per_s, texts):
        at_s = from_s
        while (at_s := at_s + self.rng.expovariate(per_s)) < to_s:
            if self.rng.random() < 0.4:
                number = int(texts * self.rng.random() ** 2)
                content = create_content("GET", f"/lookups/{number}")
                call = PlayCall(LOOKUP, content, at_s)
            else:
                body = b"%d" % next(self._numbers)
                content = create_content("POST", "/bookings/", body)
                call = PlayCall(BOOKING, content, at_s)
            self._schedule(at_s, self._receive_call, call)

    def _plan_crashing(self, content, per_s, from_s, to_s):
        at_s = from_s
        while (at_s := at_s + self.rng.expovariate(per_s)) < to_s:
            call = PlayCall(self.crashing_route, content, at_s, crashing=True)
            self._schedule(at_s, self._receive_call, call)

    def _receive_call(self, call):
        if not call.tries:
            self.calls.append(call)
        call.tries += 1
        up = [
            host
            for host in self.hosts
            if host.find_thaw_s(self.now_s) is None and not host.is_down(self.now_s)
        ]
        host = self.rng.choice(up)
        request_id = f"{next(self._numbers)}"
        self._offer(Leg(host, call, host.generation, request_id))

    def _offer(self, leg):
        harness = leg.host.harness
        harness.now_s = self.now_s
        decision = harness.submit(
            None,
            leg.call.route,
            hops=(leg.origin.host.name,) if leg.origin else (),
            content=leg.call.content,
            request_id=leg.request_id,
            is_retry=leg.runs > 0,
            excluded=leg.excluded,
        )
        if decision is None:
            self._waiting[leg.host.name, harness.attempt_id] = leg
        else:
            self._act(leg, harness.attempt_id, decision)

    def _act(self, leg, attempt_id, decision):
        if isinstance(decision, Forward):
            leg.host.harness.finish(attempt_id, None)
            leg.excluded |= {decision.target}
            host = next(each for each in self.hosts if each.name == decision.host)
            forwarded = type(leg)(host, leg.call, host.generation, leg.request_id, leg)
            delay_s = compute_delay_s(leg.host, host)
            self._schedule(self.now_s + delay_s, self._arrive_leg, forwarded)
        elif isinstance(decision, Grant):
            leg.excluded |= {decision.record.endpoint}
            self._send_to_endpoint(leg, attempt_id, decision.record)
        elif isinstance(decision, Refusal):
            leg.host.harness.finish(attempt_id, None)
            if decision.reason in QUARANTINE_REASONS:
                leg.call.quarantined = True
            elif decision.reason is RefusalReason.REQUEST_SUSPECT and not leg.runs:
                leg.call.held = True
            self._end_leg(leg, "refused")

    def _arrive_leg(self, leg):
        if leg.is_lost or leg.host.is_down(self.now_s):
            self._end_leg(leg, "refused")
        else:
            self._deliver(leg.host, self._offer, leg)

    def _send_to_endpoint(self, leg, attempt_id, record):
        endpoint = self._find_engine(record)
        if endpoint is None or not endpoint.up:
            self._finish(leg.host, attempt_id, AttemptOutcome.CONNECT_FAILED)
            self._fail_attempt(leg, ran=False)
            return
        content = leg.call.content
        if leg.call.crashing:
            in_touch = leg.host.is_in_touch(self.now_s)
            self.arrivals_by_content[content].append((self.now_s, in_touch))
        key = (leg.host.name, leg.generation, attempt_id)
        endpoint.running[key] = (leg, attempt_id)
        generation = endpoint.generation
        if leg.call.crashing:
            at_s = self.now_s + self.rng.uniform(*CRASH_S)
            self._schedule(at_s, self._crash_under, endpoint, generation, content)
        else:
            at_s = self.now_s + self.rng.uniform(*WORK_S)
            self._schedule(at_s, self._answer, endpoint, generation, key)

    def _answer(self, endpoint, generation, key):
        if endpoint.generation != generation or key not in endpoint.running:
            return
        leg, attempt_id = endpoint.running.pop(key)
        if not leg.is_lost:
            self._deliver(leg.host, self._complete, leg, attempt_id)

    def _complete(self, leg, attempt_id):
        if leg.is_lost:
            return
        self._record_start(leg.host, attempt_id)
        self._finish(leg.host, attempt_id, AttemptOutcome.SUCCEEDED)
        self._end_leg(leg, "served")

    def _crash_under(self, endpoint, generation, content):
        if endpoint.generation == generation and endpoint.up:
            self.ends_by_content[content].append(self.now_s)
            self._crash(endpoint, generation, True)

    def _crash(self, endpoint, generation, by_request):
        if endpoint.generation != generation or not endpoint.up:
            return
        endpoint.up = False
        broken = list(endpoint.running.values())
        endpoint.running.clear()
        for leg, attempt_id in broken:
            if not leg.is_lost:
                self._deliver(leg.host, self._break_attempt, leg, attempt_id)
        self._schedule(self.now_s + self.rng.uniform(*DOWN_S), self._restart, endpoint)

    def _break_attempt(self, leg, attempt_id):
        if not leg.is_lost:
            self._finish(leg.host, attempt_id, AttemptOutcome.BROKEN, True)
            self._fail_attempt(leg, ran=True)

    def _fail_attempt(self, leg, ran):
        """Try again at this host if the route allows it, as an exchange does."""
        if ran:
            leg.runs += 1
            if not leg.call.route.retryable or leg.runs >= leg.max_runs:
                self._end_leg(leg, "failed")
                return
        else:
            leg.not_run += 1
            if leg.not_run >= MAX_NOT_RUN_ATTEMPTS:
                self._end_leg(leg, "failed" if leg.runs else "refused")
                return
        self._offer(leg)

    def _end_leg(self, leg, outcome):
        if leg.ended:
            return
        leg.ended = True
        if leg.origin is not None:
            at_s = self.now_s + compute_delay_s(leg.host, leg.origin.host)
            self._schedule(at_s, self._return_leg, leg.origin, outcome)
            return
        if outcome == "refused" and leg.runs:
            outcome = "failed"
        self._end_call(leg.call, outcome)

    def _return_leg(self, leg, outcome):
        if leg.is_lost:
            return
        if outcome == "served":
            self._end_leg(leg, outcome)
        else:
            self._fail_attempt(leg, ran=outcome == "failed")

    def _end_call(self, call, outcome):
        """Record an outcome, or let the caller try once more."""
        may_return = outcome == "refused" or call.route is LOOKUP
        if outcome != "served" and may_return and call.tries < 2:
            at_s = self.now_s + self.rng.uniform(*RETRY_S)
            self._schedule(at_s, self._receive_call, call)
        else:
            call.outcome = outcome

    def _poll(self, host):
        if host.is_down(self.now_s):
            return
        if host.find_thaw_s(self.now_s) is None:
            host.harness.now_s = self.now_s
            decided = host.harness.dispatcher.decide_waiting(self.now_s)
            for attempt_id, decision in decided:
                leg = self._waiting.pop((host.name, attempt_id))
                self._act(leg, attempt_id, decision)
        super()._poll(host)

    def _kill(self, host):
        host.generation += 1
        fleet = self._fleets[host.name]
        host.harness = self.create_harness(host.name, next(self._seeds), fleet)
        for coordinator in self.coordinators:
            coordinator.reached.discard(host.name)
        for key in [key for key in self._waiting if key[0] == host.name]:
            del self._waiting[key]
        for endpoint in self.engines:
            for key in [key for key in endpoint.running if key[0] == host.name]:
                leg, _ = endpoint.running[key]
                self._end_call(leg.call, "failed")

    def _start_again(self, host):
        for endpoint in self.engines:
            if endpoint.up:
                self._send_heartbeat(endpoint)

    def _report_regions(self):
        """Send each host the load of one host of each other region."""
        by_region = [
            [host for host in self.hosts if host.region == region]
            for region in range(REGIONS)
        ]
        for host in self.hosts:
            for region in range(REGIONS):
                partner = self.rng.choice(by_region[region])
                if region == host.region or partner.is_cut(self.now_s):
                    continue
                if not partner.is_down(self.now_s):
                    self._schedule(
                        self.now_s + REGION_DELAY_S, self._update_region, host, partner
                    )

    def _update_region(self, host, partner):
        if host.is_cut(self.now_s) or host.find_thaw_s(self.now_s) is not None:
            return
        loads = partner.harness.dispatcher.describe_region(self.now_s)
        update = RegionUpdate(
            f"region{partner.region}",
            partner.name,
            {each.service: each.wait_s for each in loads},
            {each.service: each.free for each in loads},
            {each.service: each.versions for each in loads},
        )
        host.harness.dispatcher.update_region(update, self.now_s)


def compute_delay_s(host, other):
    return HOST_DELAY_S if host.region == other.region else REGION_DELAY_S


def create_content(method, target, body=b""):
    return RequestContent(method, "x", target, "", body)
