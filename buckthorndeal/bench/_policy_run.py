"""One run of the policy benchmark.

Run as ``python -m buckthorndeal.bench._policy_run SPEC`` with a `RunSpec` as JSON;
prints the `RunMetrics` as JSON.
"""

import json
import sys

import curio
import msgspec
from absl import logging

from buckthorndeal.bench._engine import BenchEngine
from buckthorndeal.bench._policy_audit import RouteRecorder
from buckthorndeal.bench._policy_callers import Callers
from buckthorndeal.bench._policy_figures import RunMetrics, compute_metrics
from buckthorndeal.bench._policy_plan import RunSpec, create_plan
from buckthorndeal.bench._policy_world import Testbed

__all__ = ["run_policy"]

BYTES_PER_MB = 1e6


async def run_policy(spec: RunSpec) -> RunMetrics:
    """Run a deployment with its workload and faults, and return the metrics."""
    testbed = Testbed(spec)
    recorder = _record_routes(testbed)
    plan = create_plan(spec)
    callers = Callers(testbed)
    await testbed.start()
    try:
        await callers.start(plan)
        faults = await curio.spawn(testbed.run_faults, daemon=True)
        await callers.run(plan)
        await faults.join()
    finally:
        await callers.close()
        await testbed.close()
    engines = [
        backend.inner
        for backend in testbed.backends
        if isinstance(backend.inner, BenchEngine)
    ]
    engine_s = sum(engine.busy_s / engine.slots for engine in engines)
    return compute_metrics(
        callers.outcomes,
        recorder.hops,
        tuple(testbed.host_regions),
        testbed.audit.count_violations(recorder.hops),
        (engine_s, testbed.cross_region_bytes / BYTES_PER_MB),
        spec.duration_s,
        callers.lags_s,
    )


def _record_routes(testbed: Testbed) -> RouteRecorder:
    """Attach a recorder to the log of this process in place of its handlers."""
    recorder = RouteRecorder(testbed.host_regions)
    logger = logging.get_absl_logger()
    for handler in list(logger.handlers):
        logger.removeHandler(handler)
    logger.addHandler(recorder)
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    return recorder


def main(arguments: list[str]) -> None:
    """Run the spec in the first argument and print its metrics."""
    spec = msgspec.json.decode(arguments[0], type=RunSpec)
    metrics = curio.run(run_policy, spec)
    # json writes NaN as such, whereas msgspec would write null.
    print(json.dumps(msgspec.to_builtins(metrics)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
