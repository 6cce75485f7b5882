"""The weights of a split route change; later a gateway is killed."""

import asyncio
import os
import pathlib
import sys
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))

from plant import BOUNDS, Plant, Record, order
from streamers import (
    MIN_TAKEN_UP,
    NOT_RUN,
    STREAMS,
    ZONES,
    Stream,
    build_state,
    judge,
    start,
    take,
)

SERVICES = ("llm-a", "llm-b")
APPLY_S = BOUNDS["config_apply_ms"] / 1000


def split(version: int, first: float, second: float) -> bytes:
    """Return a desired state with these weights of the two services."""
    weights = zip(SERVICES, (first, second), strict=True)
    parts = [{"service": name, "weight": weight} for name, weight in weights]
    return build_state(version, {"split": parts}, SERVICES)


async def play(plant: Plant, record: Record, trouble: bool) -> int:
    """Play the case; return the exit status."""
    scene = await start(plant, record, split(1, 90, 10), SERVICES)
    if scene is None:
        return NOT_RUN
    first, second = scene.gateways
    streams = [Stream(number) for number in range(STREAMS)]
    record.note(f"{STREAMS} streams begin at {first.name}")
    takers = [asyncio.create_task(take(each, first, second)) for each in streams]
    await asyncio.sleep(1.5)
    begun = [each for each in streams if each.events]
    record.note(f"{len(begun)} of them have had an event")
    if trouble:
        state = split(2, 10, 90)
        answer = await asyncio.to_thread(
            order, scene.cores, "POST", "/config/put", state
        )
        if answer is None or answer[1] != 200:
            record.note("version 2 was not acknowledged")
            return NOT_RUN
        record.note("version 2 is acknowledged, with the weights exchanged")
    await asyncio.sleep(APPLY_S + 1.0)
    broken_off = [each for each in begun if not each.complete]
    await asyncio.to_thread(plant.kill, first)
    record.note(f"{first.name} is killed, {len(broken_off)} streams are broken off")
    held = {each.number: len(each.events) for each in broken_off}
    # Those that begin now show whether new streams are served.
    fresh = [Stream(1000 + number) for number in range(MIN_TAKEN_UP)]
    takers += [asyncio.create_task(take(each, second, second)) for each in fresh]
    await asyncio.gather(*takers)
    await scene.stop()
    return judge(record, broken_off, held, fresh)


def main() -> int:
    """Run the case."""
    record = Record(pathlib.Path(__file__).parent)
    plant = Plant(ZONES)
    try:
        return asyncio.run(play(plant, record, os.environ.get("TROUBLE", "1") != "0"))
    except Exception:
        record.note(traceback.format_exc())
        return NOT_RUN
    finally:
        plant.close()
        record.close()


if __name__ == "__main__":
    sys.exit(main())
