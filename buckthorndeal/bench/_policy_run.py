"""One run of the policy benchmark.

Run as ``python -m buckthorndeal.bench._policy_run SPEC`` with a `RunSpec` as JSON;
prints the `Figures` as JSON.
"""

import json
import sys

import curio
import msgspec
from absl import logging

from buckthorndeal.bench._engine import BenchEngine
from buckthorndeal.bench._policy_audit import RouteRecorder
from buckthorndeal.bench._policy_callers import Callers
from buckthorndeal.bench._policy_figures import Figures, compute_figures
from buckthorndeal.bench._policy_plan import RunSpec, create_plan
from buckthorndeal.bench._policy_world import World

__all__ = ["run_policy"]

BYTES_PER_MB = 1e6


async def run_policy(spec: RunSpec) -> Figures:
    """Run a deployment under its workload and return the figures."""
    world = World(spec)
    recorder = _record_routes(world)
    plan = create_plan(spec)
    callers = Callers(world)
    await world.start()
    try:
        await callers.start(plan)
        faults = await curio.spawn(world.run_faults, daemon=True)
        await callers.run(plan)
        await faults.join()
    finally:
        await callers.close()
        await world.close()
    engines = [work.work for work in world.works if isinstance(work.work, BenchEngine)]
    engine_s = sum(engine.busy_s / engine.slots for engine in engines)
    return compute_figures(
        callers.outcomes,
        recorder.hops,
        tuple(world.host_regions),
        world.audit.count_violations(recorder.hops),
        (engine_s, world.crossed_bytes / BYTES_PER_MB),
        spec.duration_s,
        callers.lags_s,
    )


def _record_routes(world: World) -> RouteRecorder:
    """Take the log records of this process in place of printing them."""
    recorder = RouteRecorder(world.host_regions)
    logger = logging.get_absl_logger()
    for handler in list(logger.handlers):
        logger.removeHandler(handler)
    logger.addHandler(recorder)
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    return recorder


def main(arguments: list[str]) -> None:
    """Run the spec in the arguments."""
    spec = msgspec.json.decode(arguments[0], type=RunSpec)
    figures = curio.run(run_policy, spec)
    # The standard library keeps NaN, which msgspec writes as null.
    print(json.dumps(msgspec.to_builtins(figures)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
