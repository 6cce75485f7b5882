"""Comparison of the policy benchmark's runs: measurements, tables and plots."""

import pathlib
from collections.abc import Callable, Sequence

import msgspec

from buckthorndeal.bench import Measurement
from buckthorndeal.bench._policy_audit import INVARIANTS
from buckthorndeal.bench._policy_figures import Figures
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
PLOTS: dict[str, tuple[str, Callable[[Figures], float]]] = {
    "first_token_p95": ("s", lambda figures: figures.first_s[1]),
    "first_token_p99": ("s", lambda figures: figures.first_s[2]),
    "answer_p99": ("s", lambda figures: figures.answer_s[2]),
    "cost": ("engine-seconds per answer", lambda figures: figures.cost_s),
    "abroad_share": ("share", lambda figures: figures.abroad_share),
    "answered_share": ("share", lambda figures: figures.answered_share),
}


def create_measurements(
    figures: dict[str, Figures], scenarios: Sequence[str], strategies: Sequence[str]
) -> list[Measurement]:
    """Return the comparisons with the baselines, and the counts.

    Parameters
    ----------
    figures : dict of str to Figures
        Figures of one invocation by ``deployment.scenario.strategy``.
    """
    found = []
    baselines = [strategy for strategy in strategies if strategy != OURS]
    for deployment in DEPLOYMENTS:
        for scenario in scenarios:
            runs = {
                strategy: figures[f"{deployment}.{scenario}.{strategy}"]
                for strategy in strategies
            }
            found += compare_runs(f"policy.{deployment}.{scenario}", runs, baselines)
        found += _measure_overload(f"policy.{deployment}", deployment, figures)
    return [*found, *count_all_violations(figures)]


def compare_runs(
    prefix: str, runs: dict[str, Figures], baselines: Sequence[str]
) -> list[Measurement]:
    """Return the figures of our strategy relative to the best baseline."""
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
    prefix: str, deployment: str, figures: dict[str, Figures]
) -> list[Measurement]:
    capacity = figures[f"{deployment}.capacity.{OURS}"].goodput_per_s
    triple = figures[f"{deployment}.triple_capacity.{OURS}"].goodput_per_s
    failing = figures[f"{deployment}.half_failing.{OURS}"]
    return [
        Measurement(f"{prefix}.goodput_ratio", triple / capacity, "ratio"),
        Measurement(
            f"{prefix}.attempts_per_request", failing.attempts_per_request, "ratio"
        ),
    ]


def count_all_violations(figures: dict[str, Figures]) -> list[Measurement]:
    """Return the violations of each invariant in all runs together."""
    return [
        Measurement(
            f"policy.violations.{name}",
            sum(item.violations[name] for item in figures.values()),
            "count",
        )
        for name in INVARIANTS
    ]


def format_runs(figures: dict[str, Figures]) -> str:
    """Return a table with one line for each run."""
    return format_table(
        HEADER, [_create_row(name, item) for name, item in sorted(figures.items())]
    )


def _create_row(name: str, figures: Figures) -> tuple[object, ...]:
    refusals = [f"{reason}={count}" for reason, count in figures.refusals.items()]
    found = [f"{name}={count}" for name, count in figures.violations.items() if count]
    return (
        name,
        *(round(value, 3) for value in figures.first_s),
        *(round(value, 3) for value in figures.answer_s),
        round(figures.plain_s[2], 3),
        round(figures.cost_s, 4),
        round(figures.goodput_per_s, 2),
        round(figures.answered_share, 3),
        round(figures.abroad_share, 3),
        round(figures.attempts_per_request, 3),
        round(figures.lag_p99_s, 3),
        " ".join([*refusals, *found]),
    )


def write_report(
    figures: dict[str, Figures],
    scenarios: Sequence[str],
    strategies: Sequence[str],
    directory: pathlib.Path | None,
) -> None:
    """Print the table; write the figures and the plots if there is a directory."""
    print(format_runs(figures))
    if directory is None:
        return
    runs = {name: msgspec.to_builtins(item) for name, item in figures.items()}
    write_json(directory / "policy-runs.json", runs)
    for deployment in DEPLOYMENTS:
        for plot, (unit, read) in PLOTS.items():
            series = {
                strategy: [
                    read(figures[f"{deployment}.{scenario}.{strategy}"])
                    for scenario in scenarios
                ]
                for strategy in strategies
            }
            file = directory / f"policy-{deployment}-{plot}.png"
            plot_bars(file, f"{deployment}: {plot}", unit, scenarios, series)
