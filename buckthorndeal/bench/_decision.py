"""CPU time of one route decision by the number of candidates."""

import random
import time
from dataclasses import dataclass

from buckthorndeal.policy._scoring import ScoreSettings
from buckthorndeal.policy.routing import Router, create_router
from buckthorndeal.policy.views import (
    AttemptOutcome,
    AttemptResult,
    EndpointView,
    RegionView,
    RouteRequest,
)
from buckthorndeal.sections import Weights

__all__ = [
    "MAX_DECISION_S",
    "DecisionCost",
    "DecisionResult",
    "measure_decision_cost",
]

# 1.2% of a core at 14.8 requests/s, the rate per node at the target size.
MAX_DECISION_S = 0.0008
CANDIDATES = (20, 120, 600)
DECISIONS = 2000
PREFIXES_PER_REQUEST = 48
SHARED_PREFIXES = 24
# Shares of the candidates that are not eligible: draining, or without the model.
DRAINING_SHARE = 0.1
OTHER_MODEL_SHARE = 0.2
# The most expensive case: random samples miss the few eligible candidates, so that
# all candidates are filtered.
SCARCE_DRAINING_SHARE = 0.98


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """CPU time per decision with one number of candidates."""

    candidates: int
    cpu_s: float


@dataclass(frozen=True, slots=True)
class DecisionResult:
    """Result of `measure_decision_cost`.

    Parameters
    ----------
    costs : tuple of DecisionCost
        Cost for each number of candidates.
    scarce : DecisionCost
        Cost with the largest number of candidates, nearly all of them not eligible.
    slope_s : float
        CPU seconds that each further candidate adds, by least squares.
    bound_s : float
        Upper bound of every cost, in CPU seconds.
    """

    costs: tuple[DecisionCost, ...]
    scarce: DecisionCost
    slope_s: float
    bound_s: float

    @property
    def is_within_bound(self) -> bool:
        """Whether every cost is within the bound."""
        costs = (*self.costs, self.scarce)
        return all(cost.cpu_s <= self.bound_s for cost in costs)


def measure_decision_cost(
    candidates: tuple[int, ...] = CANDIDATES,
    decisions: int = DECISIONS,
    seed: int = 1,
    strategy: str = "ours",
) -> DecisionResult:
    """Measure the CPU time of route decisions and of observing their results.

    Parameters
    ----------
    candidates : tuple of int, optional
        Numbers of candidates to measure with.
    decisions : int, optional
        Decisions for each number of candidates.
    seed : int, optional
        Seed of the workload and of the router's samples.
    strategy : str, optional
        Name of the routing strategy.

    Returns
    -------
    DecisionBench
        Costs, slope and bound.
    """
    costs = tuple(
        DecisionCost(count, _measure(count, decisions, seed, strategy, DRAINING_SHARE))
        for count in candidates
    )
    max_candidates = max(candidates)
    scarce_s = _measure(
        max_candidates, decisions, seed, strategy, SCARCE_DRAINING_SHARE
    )
    scarce = DecisionCost(max_candidates, scarce_s)
    return DecisionResult(costs, scarce, _compute_slope(costs), MAX_DECISION_S)


def _measure(
    count: int, decisions: int, seed: int, strategy: str, draining_share: float
) -> float:
    rng = random.Random(seed)
    views = [_create_view(number, rng, draining_share) for number in range(count)]
    router = create_router("home", rng, strategy)
    regions = [RegionView(f"r{number}", 3, 0.1, 0.08) for number in range(4)]
    requests = [_create_request(number, rng) for number in range(decisions)]
    _run(router, requests[: decisions // 10], views, regions)
    started_s = time.process_time()
    _run(router, requests, views, regions)
    return (time.process_time() - started_s) / decisions


def _run(
    router: Router,
    requests: list[RouteRequest],
    views: list[EndpointView],
    regions: list[RegionView],
) -> None:
    weights = Weights()
    for number, request in enumerate(requests):
        now_s = 1000.0 + number / 100
        decision = router.choose(request, views, regions, weights, now_s)
        if decision.endpoint is not None:
            router.observe(_create_result(decision.endpoint, number), now_s)


def _create_view(
    number: int, rng: random.Random, draining_share: float
) -> EndpointView:
    return EndpointView(
        f"endpoint-{number}",
        1,
        "model",
        "home",
        f"domain-{number % 4}",
        "127.0.0.1",
        9000,
        models=("m",) if rng.random() >= OTHER_MODEL_SHARE else ("n",),
        slots=8,
        running=rng.randrange(9),
        queued=rng.randrange(12),
        ready_since_s=1000.0 - ScoreSettings().slow_start_s * rng.random() * 10,
        state="ready" if rng.random() >= draining_share else "draining",
    )


def _create_request(number: int, rng: random.Random) -> RouteRequest:
    group = rng.randrange(200)
    shared = tuple(group * 1000 + block for block in range(SHARED_PREFIXES))
    own = tuple(
        1_000_000 + number * 1000 + block
        for block in range(PREFIXES_PER_REQUEST - SHARED_PREFIXES)
    )
    return RouteRequest(
        f"request-{number}",
        f"workspace-{rng.randrange(2000)}",
        "model",
        "m",
        2000.0,
        "home",
        prefix_hashes=shared + own,
        prompt_tokens=64 * PREFIXES_PER_REQUEST,
        bound=rng.random() < 0.39,
    )


def _create_result(view: EndpointView, number: int) -> AttemptResult:
    failed = number % 50 == 0
    outcome = AttemptOutcome.BROKEN if failed else AttemptOutcome.SUCCEEDED
    return AttemptResult(
        view.name, view.incarnation, view.service, outcome, 2.0, 0.4, 3072, 60, 1024
    )


def _compute_slope(costs: tuple[DecisionCost, ...]) -> float:
    mean_count = sum(cost.candidates for cost in costs) / len(costs)
    mean_s = sum(cost.cpu_s for cost in costs) / len(costs)
    spread = sum((cost.candidates - mean_count) ** 2 for cost in costs)
    if not spread:
        return 0.0
    return (
        sum((cost.candidates - mean_count) * (cost.cpu_s - mean_s) for cost in costs)
        / spread
    )
