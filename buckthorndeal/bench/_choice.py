"""Simulation of routing policies over a few fake endpoints on an injected clock."""

import random
from dataclasses import dataclass, field

from buckthorndeal.bench._fake_fleet import BLOCK_TOKENS, EventClock, FakeEndpoint
from buckthorndeal.bench._fake_host import FakeHost, FakeRequest, HostSettings
from buckthorndeal.policy.affinity import CacheEvent
from buckthorndeal.policy.views import RouteRequest
from buckthorndeal.sections import Weights

__all__ = ["ChoiceResult", "Scenario", "measure_choice"]

REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = (0.5, 2.0)
EVENT_LAG_S = (0.1, 2.0)
EVENT_LOSS = 0.02
SHARED_BLOCKS = 24
UNIQUE_BLOCKS = 4
PREFIX_GROUPS = 60
WORKSPACES = 12
MEAN_OUTPUT_TOKENS = 60
# 60 output tokens take 1.5 s at 40 tokens/s, the decode rate in a full batch;
# the prefill of 1,792 tokens, about half of them cached, takes 0.25 s.
NOMINAL_SERVICE_S = 1.75
DEADLINE_S = 8.0
WARMUP_S = 20.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of one simulation run.

    Parameters
    ----------
    strategy : str
        Routing strategy.
    load : float
        Arrival rate as a multiple of the nominal capacity.
    endpoints, slots, hosts : int
        Numbers of endpoints, of slots per endpoint, and of entry hosts.
    failing : int
        Number of endpoints that fail every request.
    duration_s : float
        Simulated time of the arrivals after the warm-up, in seconds.
    admission_factor : float
        Requests that all hosts together admit for each slot.
    skew : float
        Share of the requests that arrive at the first host; the others arrive
        at hosts chosen at random.
    weights : Weights
        Weights of the routing score.
    seed : int
        Seed of the arrivals and of all other random choices.
    """

    strategy: str = "ours"
    load: float = 1.0
    endpoints: int = 6
    slots: int = 8
    hosts: int = 4
    failing: int = 0
    duration_s: float = 100.0
    admission_factor: float = 1.25
    skew: float = 0.0
    weights: Weights = field(default_factory=Weights)
    seed: int = 1


@dataclass(frozen=True, slots=True)
class ChoiceResult:
    """Results of one run, without the warm-up.

    Parameters
    ----------
    p50_s, p95_s, p99_s : float
        Quantiles of the time to the first token of the answered requests.
    cost_s : float
        Slot-seconds per answered request.
    refused_share : float
        Share of the requests that were refused or failed.
    goodput_per_s : float
        Requests per second that were answered in full within the deadline.
    attempts_per_request : float
        Attempts at endpoints per admitted request.
    slowest_refusal_s : float
        Longest time from arrival to a refusal.
    """

    scenario: Scenario
    requests: int
    p50_s: float
    p95_s: float
    p99_s: float
    cost_s: float
    refused_share: float
    goodput_per_s: float
    attempts_per_request: float
    slowest_refusal_s: float


class _Simulation:
    """Endpoints, hosts and arrivals of one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        # A generator of their own gives every strategy the same arrivals.
        self._arrival_rng = random.Random(scenario.seed)
        self._rng = random.Random(scenario.seed + 1000)
        self._clock = EventClock()
        self._requests: list[FakeRequest] = []
        self._endpoints = {
            f"e{number}": FakeEndpoint(
                f"e{number}",
                scenario.slots,
                self._clock,
                self._rng,
                self._publish_event,
                fails=number < scenario.failing,
            )
            for number in range(scenario.endpoints)
        }
        total = scenario.endpoints * scenario.slots
        self._arrivals_per_s = scenario.load * total / NOMINAL_SERVICE_S
        capacity = max(1, round(total * scenario.admission_factor / scenario.hosts))
        settings = HostSettings(
            scenario.strategy,
            capacity,
            round(total * scenario.admission_factor),
            scenario.hosts - 1,
            scenario.weights,
        )
        self._hosts = [
            FakeHost(
                settings,
                self._endpoints,
                self._clock,
                random.Random(self._rng.random()),
            )
            for _ in range(scenario.hosts)
        ]

    def run(self) -> list[FakeRequest]:
        """Run the simulation and return the requests that arrived after the warm-up."""
        for endpoint in self._endpoints.values():
            self._clock.call_later(self._rng.random(), self._report, endpoint)
        self._clock.call_later(0.0, self._arrive)
        end_s = WARMUP_S + self._scenario.duration_s
        self._clock.run(end_s + DEADLINE_S * 4)
        return [
            request
            for request in self._requests
            if WARMUP_S <= request.arrived_s < end_s
        ]

    def _arrive(self) -> None:
        now_s = self._clock.now_s
        if now_s >= WARMUP_S + self._scenario.duration_s:
            return
        request = self._create_request(len(self._requests))
        self._requests.append(request)
        self._choose_host().submit(request)
        self._clock.call_later(
            self._arrival_rng.expovariate(self._arrivals_per_s), self._arrive
        )

    def _choose_host(self) -> FakeHost:
        if self._arrival_rng.random() < self._scenario.skew:
            return self._hosts[0]
        return self._arrival_rng.choice(self._hosts)

    def _create_request(self, number: int) -> FakeRequest:
        # Squaring makes low groups more frequent, as a few prefixes are popular.
        group = int(PREFIX_GROUPS * self._arrival_rng.random() ** 2)
        shared = tuple(group * 1000 + block for block in range(SHARED_BLOCKS))
        unique = tuple(10**6 + number * 10 + block for block in range(UNIQUE_BLOCKS))
        tokens = (SHARED_BLOCKS + UNIQUE_BLOCKS) * BLOCK_TOKENS
        now_s = self._clock.now_s
        route = RouteRequest(
            f"r{number}",
            f"w{self._arrival_rng.randrange(WORKSPACES)}",
            "model",
            None,
            now_s + DEADLINE_S,
            "home",
            prefix_hashes=shared + unique,
            prompt_tokens=tokens,
        )
        output = 1 + int(self._arrival_rng.gammavariate(2.0, MEAN_OUTPUT_TOKENS / 2))
        return FakeRequest(route, output, now_s)

    def _report(self, endpoint: FakeEndpoint) -> None:
        report = endpoint.report()
        lag_s = self._rng.uniform(*REPORT_LAG_S)
        for host in self._hosts:
            self._clock.call_later(lag_s, host.receive_report, report)
        self._clock.call_later(REPORT_INTERVAL_S, self._report, endpoint)

    def _publish_event(self, event: CacheEvent) -> None:
        for host in self._hosts:
            if self._rng.random() >= EVENT_LOSS:
                lag_s = self._rng.uniform(*EVENT_LAG_S)
                self._clock.call_later(lag_s, self._deliver_event, host, event)

    def _deliver_event(self, host: FakeHost, event: CacheEvent) -> None:
        host.router.affinity.apply(event, self._clock.now_s)


def measure_choice(scenario: Scenario) -> ChoiceResult:
    """Simulate one scenario.

    Parameters
    ----------
    scenario : Scenario
        Strategy, load, endpoints, hosts and seed.

    Returns
    -------
    ChoiceResult
        Latencies, cost, goodput and refusals.
    """
    requests = _Simulation(scenario).run()
    answered = [request for request in requests if request.outcome == "answered"]
    answered_in_time = [
        request for request in answered if request.ended_s <= request.route.deadline_s
    ]
    refused = [request for request in requests if request.outcome != "answered"]
    first_token_times_s = sorted(
        request.answered_s - request.arrived_s for request in answered
    )
    admitted = [request for request in requests if request.attempts]
    attempts = sum(request.attempts for request in requests)
    return ChoiceResult(
        scenario,
        len(requests),
        _compute_quantile(first_token_times_s, 0.5),
        _compute_quantile(first_token_times_s, 0.95),
        _compute_quantile(first_token_times_s, 0.99),
        sum(request.busy_s for request in answered) / max(1, len(answered)),
        len(refused) / max(1, len(requests)),
        len(answered_in_time) / scenario.duration_s,
        attempts / max(1, len(admitted)),
        max((request.ended_s - request.arrived_s for request in refused), default=0.0),
    )


def _compute_quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]
