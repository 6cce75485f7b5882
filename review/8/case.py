"""The core's processes are killed and back at once; later a gateway is killed."""

import asyncio
import os
import pathlib
import sys
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))

from plant import Machine, Plant, Record
from streamers import (
    MIN_TAKEN_UP,
    NOT_RUN,
    STABLE_S,
    STREAMS,
    ZONES,
    Stream,
    build_state,
    judge,
    start,
    take,
)

SERVICES = ("llm",)


async def kill_core(plant: Plant, cores: list[Machine], record: Record) -> None:
    """Kill all processes of the core at once, and start them again."""
    for machine in cores:
        machine.process.kill()
    for machine in cores:
        await asyncio.to_thread(plant.wait_ended, machine)
        plant.start(machine)
    record.note("all core processes were killed, and are started again")


async def play(plant: Plant, record: Record, trouble: bool) -> int:
    """Play the case; return the exit status."""
    state = build_state(1, {"service": "llm"}, SERVICES)
    scene = await start(plant, record, state, SERVICES)
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
        await kill_core(plant, scene.cores, record)
    await asyncio.sleep(STABLE_S + 1.0)
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
