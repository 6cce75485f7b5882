"""Seeded play of odd reports to coordinators that serve two gateways.

``python -m tests.odd_report_play FIRST COUNT`` plays `COUNT` seeds from `FIRST` on.
"""

import json
import random
import sys

import curio

from tests.fleet_harness import GATEWAY, run_fleet
from tests.odd_entries import (
    FLUSHED_S,
    OTHER_GATEWAY,
    create_default_report,
    create_report,
    list_endpoints,
    nest,
    respond,
    serve_watched,
)

REPORTS = 80
ODD_NUMBERS = (
    -1,
    0,
    1.5,
    2**31,
    2**53,
    2**63 - 1,
    2**63,
    2**64,
    10**20,
    -(10**20),
    10**400,
    float("nan"),
    float("inf"),
    -float("inf"),
    1e300,
)
ODD_VALUES = (
    None,
    True,
    "",
    "x",
    "\0",
    "\ud800",
    "\udc00\ud800",
    "\U0001f600",
    "x" * 300,
    "x" * 70_000,
    *ODD_NUMBERS,
    [],
    {},
    [[[[]]]],
    {"x": {"y": [1]}},
    "10.1.9.70:0",
    "10.1.9.70:70000",
    "10.1.9.70:-1",
    "10.1.9.70:" + "9" * 5_000,
    "host.example:80",
    "0.0.0.0:80",
    "::1:80",
    "draining",
    "left",
)
ODD_CONTENTS = (b"", b"\xff\x00", b"[", b"null", b"1", b"[" * 100_000, b'{"a":' * 9_000)


class PlayFailedError(Exception):
    """A task has ended, or a sound endpoint is no longer in use."""


def draw_content(rng, create):
    """Return an odd report, made from a sound one of a service that nobody uses."""
    kind = rng.random()
    if kind < 0.1:
        return rng.choice(ODD_CONTENTS)
    # Stale reports, and those of an address that another endpoint has, change nothing.
    address = f"10.1.{rng.randint(10, 250)}.{rng.randint(1, 250)}:80"
    report = json.loads(create(service="other", address=address))
    for name in rng.sample(sorted(report), rng.randint(1, 2)):
        if rng.random() < 0.15:
            del report[name]
        elif isinstance(report[name], int) and rng.random() < 0.7:
            report[name] = rng.choice(ODD_NUMBERS)
        else:
            report[name] = rng.choice(ODD_VALUES)
    content = json.dumps(report).encode()
    if kind < 0.2:
        return content[: rng.randrange(len(content))]
    if kind < 0.3 and report:
        return nest(content, rng.choice((3, 70, 900, 50_000)))
    return content


def draw_call(rng):
    """Return the path and body of a call of another writer."""
    endpoint = f"odd-{rng.randrange(1_000)}"
    if rng.random() < 0.1:
        return f"/instances/{endpoint}/leave", draw_content(rng, create_report)
    if rng.random() < 0.5:
        content = draw_content(rng, create_report)
        return f"/instances/{endpoint}/heartbeat", content
    content = draw_content(rng, create_default_report)
    return f"/v1/endpoints/{endpoint}/heartbeat", content


async def play(seed):
    """Send odd reports, and check what is left; return the number of each status."""
    rng = random.Random(seed)
    statuses = {}
    async with serve_watched() as (fleet, ended):
        hosts = list(fleet.coordinators)
        for _ in range(REPORTS):
            path, content = draw_call(rng)
            status, _ = await fleet.call_api(rng.choice(hosts), "POST", path, content)
            statuses[status] = statuses.get(status, 0) + 1
            if rng.random() < 0.1:
                await curio.sleep(rng.uniform(0.0, 0.3))
        await fleet.start_endpoint("new", "a-1", respond)
        await curio.sleep(FLUSHED_S)
        if ended:
            raise PlayFailedError(f"ended: {ended}")
        if not statuses.keys() <= {200, 400, 503}:
            raise PlayFailedError(f"statuses: {statuses}")
        for gateway in (GATEWAY, OTHER_GATEWAY):
            missing = {"e0", "new"} - list_endpoints(fleet, gateway)
            status, _, _ = await fleet.send_request(gateway, "/non_idempotent/x")
            if missing or status != 200:
                raise PlayFailedError(f"{gateway}: missing {missing}, got {status}")
    return statuses


def play_seed(seed):
    """Play one seed; return the number of each status."""
    statuses = {}

    async def run():
        statuses.update(await play(seed))

    run_fleet(run)
    return statuses


def main():
    first, count = (int(argument) for argument in sys.argv[1:])
    for seed in range(first, first + count):
        print(seed, dict(sorted(play_seed(seed).items())), flush=True)


if __name__ == "__main__":
    main()
