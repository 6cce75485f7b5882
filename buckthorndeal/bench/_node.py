"""Benchmarks `decision` and `membership`: cost of routing and membership per node."""

from buckthorndeal.bench import Measurement
from buckthorndeal.bench._decision import measure_decision_cost
from buckthorndeal.bench._membership import MembershipResult
from buckthorndeal.bench._membership import (
    measure_membership as measure_membership_sizes,
)

__all__ = ["measure_decision", "measure_membership"]


def measure_decision() -> list[Measurement]:
    """Measure the CPU time of a route decision for each number of candidates."""
    result = measure_decision_cost()
    measurements = [
        Measurement(f"decision.cpu_s_at_{cost.candidates}", cost.cpu_s, "s")
        for cost in result.costs
    ]
    scarce = result.scarce
    return [
        *measurements,
        Measurement(f"decision.scarce_cpu_s_at_{scarce.candidates}", scarce.cpu_s, "s"),
        Measurement("decision.slope_s", result.slope_s, "s/candidate"),
    ]


def measure_membership() -> list[Measurement]:
    """Measure traffic, CPU time and failure detection for each cluster size."""
    return [
        measurement
        for result in measure_membership_sizes()
        for measurement in _create_measurements(result)
    ]


def _create_measurements(result: MembershipResult) -> list[Measurement]:
    prefix = f"membership.{result.members}"
    return [
        Measurement(f"{prefix}.bytes_per_s", result.bytes_per_s, "B/s"),
        Measurement(f"{prefix}.cpu_share", result.cpu_share, "ratio"),
        Measurement(f"{prefix}.remote_share", result.remote_share, "ratio"),
        Measurement(
            f"{prefix}.crash_out_of_use_s", max(result.crash_out_of_use_s), "s"
        ),
        Measurement(f"{prefix}.crash_dead_s", max(result.crash_dead_s), "s"),
        Measurement(f"{prefix}.leave_s", result.leave_s, "s"),
    ]
