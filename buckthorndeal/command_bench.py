"""The command `buckthorndeal-bench`: runs benchmarks and checks their bounds."""

import pathlib
import sys
from collections.abc import Callable

from absl import app, flags

from buckthorndeal.bench import Measurement, check_bounds, load_bounds
from buckthorndeal.bench._control import measure_control
from buckthorndeal.bench._logging import measure_logging
from buckthorndeal.bench._node import measure_decision, measure_membership
from buckthorndeal.bench._policy import measure_policy
from buckthorndeal.bench._relay import measure_relay
from buckthorndeal.bench._state import measure_state
from buckthorndeal.reports import format_measurements, write_json

__all__ = ["run"]

FLAGS = flags.FLAGS
BENCHMARKS: dict[str, Callable[[pathlib.Path | None], list[Measurement]]] = {
    "decision": lambda _: measure_decision(),
    "state": lambda _: measure_state(),
    "membership": lambda _: measure_membership(),
    "relay": lambda _: measure_relay(),
    "logging": lambda _: measure_logging(),
    "control": lambda _: measure_control(),
    "policy": measure_policy,
}
USAGE_STATUS = 2


def run_benchmark(name: str, report_directory: str | None) -> bool:
    """Run one benchmark and print its measurements.

    Parameters
    ----------
    name : str
        Name of the benchmark.
    report_directory : str or None
        Directory for the report; None writes no report.

    Returns
    -------
    bool
        Whether all measurements are within their bounds.
    """
    directory = None if report_directory is None else pathlib.Path(report_directory)
    measurements = BENCHMARKS[name](directory)
    print(f"{name}:\n{format_measurements(measurements)}")
    if directory is not None:
        write_json(directory / f"{name}.json", measurements)
    violations = check_bounds(measurements, load_bounds(), f"{name}.")
    for violation in violations:
        print(f"outside its bound: {violation}")
    return not violations


def main(arguments: list[str]) -> int:
    """Run the benchmarks that the arguments name; `all` or no name runs each."""
    names = arguments[1:] or ["all"]
    if names == ["all"]:
        names = list(BENCHMARKS)
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(f"unknown benchmark {unknown[0]!r}; known: {', '.join(BENCHMARKS)}")
        return USAGE_STATUS
    results = [run_benchmark(name, FLAGS.report) for name in names]
    return 0 if all(results) else 1


def run() -> None:
    """Parse the flags and run the command."""
    flags.DEFINE_string("report", None, "Directory for the reports.")
    app.run(main)


if __name__ == "__main__":
    sys.exit(run())
