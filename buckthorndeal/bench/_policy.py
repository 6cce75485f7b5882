"""Benchmark `policy`: routing strategies on real entry hosts under load and faults."""

import concurrent.futures
import json
import pathlib
import tempfile
import time

import msgspec

from buckthorndeal.bench import Measurement
from buckthorndeal.bench._policy_figures import RunMetrics
from buckthorndeal.bench._policy_plan import DEPLOYMENTS, RunSpec
from buckthorndeal.bench._policy_report import create_measurements, write_report
from buckthorndeal.bench._process import start_module
from buckthorndeal.errors import BuckthorndealError

__all__ = ["COMPARED_SCENARIOS", "STRATEGIES", "list_specs", "measure_policy"]

STRATEGIES = ("ours", "round_robin", "random", "least_load", "local_only")
COMPARED_SCENARIOS = (
    "normal",
    "endpoint_lost",
    "host_lost",
    "region_isolated",
    "region_tenth",
    "double_load",
    "tenth_and_host_lost",
)
OURS_ONLY_SCENARIOS = ("capacity", "triple_capacity", "half_failing")
RUN_MODULE = "buckthorndeal.bench._policy_run"
# Each run keeps most of a core busy; more concurrent runs would slow each other down.
PROCESSES = 6
RUN_TIMEOUT_S = 90.0
POLL_S = 0.1


def list_specs(seed: int) -> list[RunSpec]:
    """Return the runs of one invocation, those with the highest load first."""
    pairs = [(scenario, "ours") for scenario in OURS_ONLY_SCENARIOS]
    pairs += [
        (scenario, strategy)
        for scenario in COMPARED_SCENARIOS
        for strategy in STRATEGIES
    ]
    return [
        RunSpec(deployment=deployment, strategy=strategy, scenario=scenario, seed=seed)
        for scenario, strategy in pairs
        for deployment in DEPLOYMENTS
    ]


def run_spec(directory: pathlib.Path, spec: RunSpec) -> RunMetrics:
    """Run one spec in a child process and return its metrics.

    Raises
    ------
    BuckthorndealError
        If the process fails or exceeds `RUN_TIMEOUT_S`.
    """
    file = directory / f"{spec.name}.json"
    argument = msgspec.json.encode(spec).decode()
    process = start_module(RUN_MODULE, [argument], file)
    end_s = time.monotonic() + RUN_TIMEOUT_S
    while process.poll() is None and time.monotonic() < end_s:
        time.sleep(POLL_S)
    if process.poll() is None:
        process.kill()
    if process.poll() != 0:
        text = file.read_text(errors="replace")[-2000:]
        raise BuckthorndealError(
            f"run {spec.name!r} failed with exit status {process.poll()}: {text}"
        )
    # The metrics are the last line of output; warnings may precede them.
    metrics = json.loads(file.read_text().splitlines()[-1])
    return msgspec.convert(metrics, RunMetrics, strict=False)


def run_specs(specs: list[RunSpec]) -> dict[str, RunMetrics]:
    """Run all specs, at most `PROCESSES` at once; return their metrics by name."""
    with (
        tempfile.TemporaryDirectory(prefix="buckthorndeal-bench-") as directory,
        concurrent.futures.ThreadPoolExecutor(PROCESSES) as executor,
    ):
        path = pathlib.Path(directory)
        metrics = executor.map(lambda spec: run_spec(path, spec), specs)
        return {
            spec.name: run_metrics
            for spec, run_metrics in zip(specs, metrics, strict=True)
        }


def measure_policy(
    report_directory: pathlib.Path | None = None, seed: int = 1
) -> list[Measurement]:
    """Compare the strategies in every scenario and check the invariants.

    Parameters
    ----------
    report_directory : pathlib.Path, optional
        Directory for the metrics of each run and the plots.
    seed : int, optional
        Seed of the workload.

    Returns
    -------
    list of Measurement
        Comparisons between the strategies, and counts of invariant violations.

    Raises
    ------
    BuckthorndealError
        If a run fails.
    """
    metrics = run_specs(list_specs(seed))
    write_report(metrics, COMPARED_SCENARIOS, STRATEGIES, report_directory)
    return create_measurements(metrics, COMPARED_SCENARIOS, STRATEGIES)
