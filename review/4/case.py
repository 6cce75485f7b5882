"""All programs of the core are killed while a server is cold."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from client import Client
from deployment import BOUNDS, Deployment, Operator, Record
from play import run_case
from server import Server, describe_state

SERVICE = "order-app"
# As in a region of the site, which has 24 gateways in three regions.
FRONTS = 8
CLIENTS_EACH = 2
COLD_S = 3.0
COLD_PER_S = 2.4


class ColdServer(Server):
    """Reports for some time that it is cold."""

    cold_until = 0.0

    def describe(self) -> dict:
        """Return the body of a status report."""
        left_s = max(0.0, self.cold_until - time.monotonic())
        return {**super().describe(), "cold_remaining_ms": int(left_s * 1000)}


async def play(record: Record, trouble: bool) -> list[str]:
    """Let the only server become cold, and kill the core's programs then."""
    deployment = Deployment(
        record, {"zone-a": "region-a"}, ["zone-a"] * 3, ["zone-a"] * FRONTS
    )
    server = ColdServer(
        deployment, "i-1", SERVICE, f"{deployment.net}.101", "zone-a", 0.03, 30
    )
    state = describe_state(7, SERVICE, kind="safe", attempts=1)
    state["services"][0]["cold_start_s"] = COLD_S
    state["services"][0]["cold_per_s"] = COLD_PER_S
    stop = asyncio.Event()
    sent: dict[str, float] = {}
    try:
        await deployment.start()
        await server.start()
        await Operator(deployment).configure(state)
        await deployment.wait_ready()
        await asyncio.sleep(3.0)
        async with asyncio.TaskGroup() as group:
            for front in deployment.fronts:
                for _ in range(CLIENTS_EACH):
                    client = Client(deployment, front)
                    group.create_task(send_requests(client, stop, sent))
            await asyncio.sleep(2.0)
            server.cold_until = time.monotonic() + COLD_S
            cold_from_s = record.now() + 0.5
            cold_to_s = record.now() + COLD_S
            record.write(f"{server.name} becomes cold")
            await server.report_once()
            await asyncio.sleep(0.5)
            if trouble:
                for machine in deployment.cores:
                    machine.own_ends -= 1
                    deployment.signal(machine, signal.SIGKILL)
            await asyncio.sleep(COLD_S)
            stop.set()
    finally:
        await server.close()
        await deployment.close()
    return judge(record, server, sent, cold_from_s, cold_to_s)


async def send_requests(
    client: Client, stop: asyncio.Event, sent: dict[str, float]
) -> None:
    """Send one request after the other."""
    while not stop.is_set():
        started_s = client.record.now()
        request_id, _ = await client.send("GET", body=b"")
        sent[request_id] = started_s
        await asyncio.sleep(0.1)
    client.close()


def judge(
    record: Record,
    server: Server,
    sent: dict[str, float],
    cold_from_s: float,
    cold_to_s: float,
) -> list[str]:
    """Return the second in which the cold server got most requests, if too many."""
    bound = COLD_PER_S * BOUNDS["cold_overage"] + BOUNDS["cold_slack"]
    arrivals = [
        (at_s, sent.get(run_id, at_s))
        for at_s, run_id, _ in server.runs
        if cold_from_s <= at_s <= cold_to_s
    ]
    most, when = 0, 0.0
    for start_s, _ in arrivals:
        count = sum(
            start_s <= at_s < start_s + 1.0 and sent_s >= start_s - 0.05
            for at_s, sent_s in arrivals
        )
        if count > most:
            most, when = count, start_s
    record.write(f"most requests in a second at the cold server: {most}, from {when}")
    if most <= bound:
        return []
    return [f"FAILBACK: {most} requests in the second from {when:.2f}, bound {bound}"]


if __name__ == "__main__":
    run_case(__file__, play)
