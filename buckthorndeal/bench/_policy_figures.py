"""Accounting of one run of the policy benchmark."""

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

# 2 USD for an accelerator hour and 0.08 USD for a GB between regions.
ENGINE_SECONDS_PER_CROSSED_MB = 0.144
OK = "ok"


@dataclass(slots=True)
class Outcome:
    """How a call ended, as its caller saw it.

    Parameters
    ----------
    reason : str
        ``ok``, or the code of the refusal or failure.
    first_s : float or None
        Time to the first token.
    total_s : float
        Time to the end of the answer.
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
    """Figures of one run.

    Parameters
    ----------
    first_s, answer_s, plain_s : tuple of float
        p50, p95 and p99 of the first token, of the whole model answer and of the
        answers of the plain service, in seconds.
    cost_s : float
        Engine-seconds per model answer, with the traffic between regions at its
        price.
    goodput_per_s : float
        Model answers in full within the deadline, per second.
    abroad_share : float
        Requests answered in another region, of all that were answered.
    refusals : dict of str to int
        Calls without an answer by reason.
    attempts_per_request : float
        Attempts at endpoints per request that was attempted.
    violations : dict of str to int
        Violations of each invariant.
    lag_p99_s : float
        How late the benchmark sent its calls; a large figure tells that the
        process was short of CPU time and its latencies are not valid.
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
    """Return the smallest value that `share` of all values don't exceed.

    NaN if there is no value.
    """
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def compute_cost(engine_s: float, crossed_mb: float, answers: int) -> float:
    """Return the cost in engine-seconds per answer."""
    total_s = engine_s + crossed_mb * ENGINE_SECONDS_PER_CROSSED_MB
    return total_s / answers if answers else math.nan


def count_attempts(hops: list[Hop], hosts: Sequence[str]) -> tuple[int, int]:
    """Return the attempts at endpoints and the requests that had any."""
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
    """Return the figures of a run.

    Parameters
    ----------
    usage : tuple of float
        Engine-seconds and MB between regions.
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
