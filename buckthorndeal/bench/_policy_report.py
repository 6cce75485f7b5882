"""Comparison of the runs of the policy benchmark: measurements, table and plots."""

import pathlib
from collections.abc import Callable, Sequence

import msgspec

from buckthorndeal.bench import Measurement
from buckthorndeal.bench._policy_audit import INVARIANTS
from buckthorndeal.bench._policy_figures import RunMetrics
from buckthorndeal.bench._policy_plan import DEPLOYMENTS
from buckthorndeal.reports import format_table, plot_bars, write_json

__all__ = ["create_measurements", "format_runs", "write_report"]

OURS = "ours"
HEADER = (
    "run",
    "first p50",
    "p95",
    "p99",
    "answer p50",
    "p95",
    "p99",
    "plain p99",
    "cost",
    "good/s",
    "answered",
    "abroad",
    "attempts",
    "lag p99",
    "refusals",
)
PLOTS: dict[str, tuple[str, Callable[[RunMetrics], float]]] = {
    "first_token_p95": ("s", lambda metrics: metrics.first_s[1]),
    "first_token_p99": ("s", lambda metrics: metrics.first_s[2]),
    "answer_p99": ("s", lambda metrics: metrics.answer_s[2]),
    "cost": ("engine-seconds per answer", lambda metrics: metrics.cost_s),
    "abroad_share": ("share", lambda metrics: metrics.abroad_share),
    "answered_share": ("share", lambda metrics: metrics.answered_share),
}


def create_measurements(
    metrics: dict[str, RunMetrics], scenarios: Sequence[str], strategies: Sequence[str]
) -> list[Measurement]:
    """Return the comparisons with the baselines, and the counts of violations.

    Parameters
    ----------
    metrics : dict of str to RunMetrics
        Metrics of all runs by ``deployment.scenario.strategy``.
    scenarios, strategies : sequence of str
        Compared scenarios and strategies.

    Returns
    -------
    list of Measurement
        Ratios, differences, times and counts.
    """
    measurements = []
    baselines = [strategy for strategy in strategies if strategy != OURS]
    for deployment in DEPLOYMENTS:
        for scenario in scenarios:
            runs = {
                strategy: metrics[f"{deployment}.{scenario}.{strategy}"]
                for strategy in strategies
            }
            measurements += compare_runs(
                f"policy.{deployment}.{scenario}", runs, baselines
            )
        measurements += _measure_overload(f"policy.{deployment}", deployment, metrics)
    return [*measurements, *count_all_violations(metrics)]


def compare_runs(
    prefix: str, runs: dict[str, RunMetrics], baselines: Sequence[str]
) -> list[Measurement]:
    """Return the measurements of our strategy relative to the best baseline."""
    ours = runs[OURS]
    if not baselines:
        return [Measurement(f"{prefix}.first_p95_s", ours.first_s[1], "s")]
    others = [runs[name] for name in baselines]
    first_s = min(other.first_s[2] for other in others)
    cost_s = min(other.cost_s for other in others)
    excess = ours.abroad_share - runs["least_load"].abroad_share
    return [
        Measurement(f"{prefix}.first_p99_ratio", ours.first_s[2] / first_s, "ratio"),
        Measurement(f"{prefix}.first_p95_s", ours.first_s[1], "s"),
        Measurement(f"{prefix}.cost_ratio", ours.cost_s / cost_s, "ratio"),
        Measurement(f"{prefix}.abroad_excess", excess, "share"),
    ]


def _measure_overload(
    prefix: str, deployment: str, metrics: dict[str, RunMetrics]
) -> list[Measurement]:
    capacity = metrics[f"{deployment}.capacity.{OURS}"].goodput_per_s
    triple = metrics[f"{deployment}.triple_capacity.{OURS}"].goodput_per_s
    failing = metrics[f"{deployment}.half_failing.{OURS}"]
    return [
        Measurement(f"{prefix}.goodput_ratio", triple / capacity, "ratio"),
        Measurement(
            f"{prefix}.attempts_per_request", failing.attempts_per_request, "ratio"
        ),
    ]


def count_all_violations(metrics: dict[str, RunMetrics]) -> list[Measurement]:
    """Return the total violations of each invariant in all runs."""
    return [
        Measurement(
            f"policy.violations.{name}",
            sum(run_metrics.violations[name] for run_metrics in metrics.values()),
            "count",
        )
        for name in INVARIANTS
    ]


def format_runs(metrics: dict[str, RunMetrics]) -> str:
    """Return a table with one row for each run."""
    return format_table(
        HEADER,
        [
            _create_row(name, run_metrics)
            for name, run_metrics in sorted(metrics.items())
        ],
    )


def _create_row(name: str, metrics: RunMetrics) -> tuple[object, ...]:
    refusals = [f"{reason}={count}" for reason, count in metrics.refusals.items()]
    measurements = [
        f"{name}={count}" for name, count in metrics.violations.items() if count
    ]
    return (
        name,
        *(round(value, 3) for value in metrics.first_s),
        *(round(value, 3) for value in metrics.answer_s),
        round(metrics.plain_s[2], 3),
        round(metrics.cost_s, 4),
        round(metrics.goodput_per_s, 2),
        round(metrics.answered_share, 3),
        round(metrics.abroad_share, 3),
        round(metrics.attempts_per_request, 3),
        round(metrics.lag_p99_s, 3),
        " ".join([*refusals, *measurements]),
    )


def write_report(
    metrics: dict[str, RunMetrics],
    scenarios: Sequence[str],
    strategies: Sequence[str],
    directory: pathlib.Path | None,
) -> None:
    """Print the table of runs; if a directory is given, write metrics and plots."""
    print(format_runs(metrics))
    if directory is None:
        return
    runs = {
        name: msgspec.to_builtins(run_metrics) for name, run_metrics in metrics.items()
    }
    write_json(directory / "policy-runs.json", runs)
    for deployment in DEPLOYMENTS:
        for plot, (unit, read) in PLOTS.items():
            series = {
                strategy: [
                    read(metrics[f"{deployment}.{scenario}.{strategy}"])
                    for scenario in scenarios
                ]
                for strategy in strategies
            }
            file = directory / f"policy-{deployment}-{plot}.png"
            plot_bars(file, f"{deployment}: {plot}", unit, scenarios, series)
