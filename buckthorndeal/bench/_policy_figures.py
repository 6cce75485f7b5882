"""Metrics of one run of the policy benchmark."""

import collections
import math
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from buckthorndeal.bench._policy_audit import Hop, find_caller_request_id
from buckthorndeal.bench._policy_plan import MODEL

__all__ = [
    "Outcome",
    "RunMetrics",
    "compute_cost",
    "compute_metrics",
    "compute_quantile",
    "count_attempts",
]

# From 2 USD per accelerator hour and 0.08 USD per GB between regions.
ENGINE_SECONDS_PER_CROSSED_MB = 0.144
OK = "ok"


@dataclass(slots=True)
class Outcome:
    """Outcome of a call as observed by its caller.

    Parameters
    ----------
    kind, region : str
        Kind of the call, and region of its caller.
    at_s : float
        Time of the call after the start of the workload.
    reason : str
        ``ok``, or the code of the refusal or failure.
    first_s : float or None
        Seconds to the first token; None if there was none.
    total_s : float
        Seconds to the end of the answer.
    abroad : bool
        Whether an endpoint of another region answered.
    """

    kind: str
    at_s: float
    region: str
    reason: str = ""
    first_s: float | None = None
    total_s: float = 0.0
    abroad: bool = False


class RunMetrics(msgspec.Struct, kw_only=True):
    """Metrics of one run.

    Parameters
    ----------
    calls : int
        Number of calls.
    first_s, answer_s, plain_s : tuple of float
        p50, p95 and p99 of the time to the first token, to the end of a model
        answer, and to the end of a plain service's answer, in seconds.
    cost_s : float
        Engine-seconds per model answer, including the price of the traffic between
        regions.
    engine_s : float
        Engine-seconds used by all calls.
    crossed_mb : float
        Megabytes of traffic between regions.
    goodput_per_s : float
        Complete model answers within the deadline, per second.
    answered_share : float
        Share of the calls that were answered.
    abroad_share : float
        Share of the answered calls that another region answered.
    refusals : dict of str to int
        Number of calls without an answer, by kind and reason.
    attempts_per_request : float
        Attempts at endpoints per request that had any.
    violations : dict of str to int
        Number of violations of each invariant.
    lag_p99_s : float
        p99 of the delay between the planned and the actual time of a call. A large
        value means that the process was short of CPU time, which makes its
        latencies invalid.
    """

    calls: int
    first_s: tuple[float, float, float]
    answer_s: tuple[float, float, float]
    plain_s: tuple[float, float, float]
    cost_s: float
    engine_s: float
    crossed_mb: float
    goodput_per_s: float
    answered_share: float
    abroad_share: float
    refusals: dict[str, int]
    attempts_per_request: float
    violations: dict[str, int]
    lag_p99_s: float


def compute_quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile by nearest rank; NaN if there are no values.

    It is the smallest value that at least the given share of all values don't
    exceed.
    """
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def compute_cost(engine_s: float, crossed_mb: float, answers: int) -> float:
    """Return the cost of engines and traffic in engine-seconds per answer."""
    total_s = engine_s + crossed_mb * ENGINE_SECONDS_PER_CROSSED_MB
    return total_s / answers if answers else math.nan


def count_attempts(hops: list[Hop], hosts: Sequence[str]) -> tuple[int, int]:
    """Return the number of attempts at endpoints, and of requests that had any."""
    senders = {hop.attempt_id: hop for hop in hops}
    requests = collections.Counter(
        find_caller_request_id(hop, senders)
        for hop in hops
        if hop.chosen is not None and hop.chosen not in hosts
    )
    return requests.total(), len(requests)


def compute_metrics(
    outcomes: list[Outcome],
    hops: list[Hop],
    hosts: Sequence[str],
    violations: dict[str, int],
    usage: tuple[float, float],
    duration_s: float,
    lags_s: list[float],
) -> RunMetrics:
    """Return the metrics of a run.

    Parameters
    ----------
    outcomes : list of Outcome
        Outcomes of all calls.
    hops : list of Hop
        Route decisions of all entry hosts.
    hosts : sequence of str
        Names of the entry hosts.
    violations : dict of str to int
        Number of violations of each invariant.
    usage : tuple of float
        Engine-seconds, and MB of traffic between regions.
    duration_s : float
        Duration of the workload in seconds.
    lags_s : list of float
        Delay of each call after its planned time, in seconds.

    Returns
    -------
    RunMetrics
        Metrics of the run.
    """
    answered = [outcome for outcome in outcomes if outcome.reason == OK]
    models = [outcome for outcome in answered if outcome.kind == MODEL]
    plain = [outcome.total_s for outcome in answered if outcome.kind != MODEL]
    attempts, attempted = count_attempts(hops, hosts)
    refusals = collections.Counter(
        f"{outcome.kind}:{outcome.reason}"
        for outcome in outcomes
        if outcome.reason != OK
    )
    return RunMetrics(
        calls=len(outcomes),
        first_s=_list_quantiles([outcome.first_s for outcome in models]),
        answer_s=_list_quantiles([outcome.total_s for outcome in models]),
        plain_s=_list_quantiles(plain),
        cost_s=compute_cost(*usage, len(models)),
        engine_s=usage[0],
        crossed_mb=usage[1],
        goodput_per_s=len(models) / duration_s,
        answered_share=len(answered) / max(1, len(outcomes)),
        abroad_share=sum(outcome.abroad for outcome in answered)
        / max(1, len(answered)),
        refusals=dict(sorted(refusals.items())),
        attempts_per_request=attempts / max(1, attempted),
        violations=violations,
        lag_p99_s=compute_quantile(lags_s, 0.99),
    )


def _list_quantiles(values: list[float]) -> tuple[float, float, float]:
    return tuple(compute_quantile(values, share) for share in (0.5, 0.95, 0.99))
