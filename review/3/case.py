"""A gateway is stopped that is alone in the home region of its callers."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from client import Client, choose_front, resolve
from deployment import BOUNDS, Deployment, Operator, Record
from play import run_case
from server import Server, describe_state

SERVICE = "order-app"
ZONES = {"zone-a": "region-a", "zone-b": "region-b"}
CLIENTS = 8
WORK_S = 2.5
DEADLINE_MS = 8000
# Requests that were sent later than this after the SIGTERM count in any case.
EXCUSED_S = 3.0


class Play:
    """One play of the case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(
            record, ZONES, ["zone-a", "zone-a", "zone-b"], ["zone-a", "zone-b"]
        )
        self.stop = asyncio.Event()
        self.term_s: float | None = None
        # Send time, end, request id and status of each request.
        self.sent: list[tuple[float, float, str, int | None]] = []

    async def send_orders(self) -> None:
        """Send one order after the other, each on a new channel."""
        deployment = self.deployment
        await asyncio.sleep(random.uniform(0.0, WORK_S))
        while not self.stop.is_set():
            fronts = await resolve(deployment, "region-a", "zone-a")
            front = choose_front(fronts, set())
            if front is None:
                await asyncio.sleep(0.3)
                continue
            client = Client(deployment, front)
            sent_s = self.record.now()
            request_id, answer = await client.send(deadline_ms=DEADLINE_MS)
            client.close()
            status = answer.status if answer is not None else None
            self.sent.append((sent_s, self.record.now(), request_id, status))
            await asyncio.sleep(0.2 if status is None or status >= 500 else 0.01)


async def play(record: Record, trouble: bool) -> list[str]:
    """Stop the gateway of the home region, and look for orders without an answer."""
    case = Play(record)
    deployment = case.deployment
    servers = [
        Server(
            deployment, f"i-{i}", SERVICE, f"{deployment.net}.{100 + i}", zone, WORK_S
        )
        for i, zone in enumerate(("zone-a", "zone-a", "zone-b"), 1)
    ]
    state = describe_state(7, SERVICE, timeout_ms=DEADLINE_MS)
    state["routes"][0]["home_regions"] = ["region-a"]
    state["routes"][0]["target_latency_ms"] = 4000
    try:
        await deployment.start()
        for server in servers:
            await server.start()
        await Operator(deployment).configure(state)
        await deployment.wait_ready()
        await asyncio.sleep(3.0)
        front = deployment.fronts[0]
        async with asyncio.TaskGroup() as group:
            for _ in range(CLIENTS):
                group.create_task(case.send_orders())
            await asyncio.sleep(2.0)
            case.term_s = record.now()
            if trouble:
                front.stopping = True
                deployment.signal(front, signal.SIGTERM)
            await asyncio.sleep(BOUNDS["grace_s"] + 1.0)
            record.write(f"{front.name} exit status {front.process.returncode}")
            case.stop.set()
    finally:
        for server in servers:
            await server.close()
        await deployment.close()
    return judge(case, servers)


def judge(case: Play, servers: list[Server]) -> list[str]:
    """Return the orders that reached a server and got no complete answer."""
    ran = {run_id for server in servers for _, run_id, _ in server.runs}
    broken = []
    for sent_s, ended_s, request_id, status in case.sent:
        since_s = sent_s - case.term_s
        if status is None and request_id in ran and since_s > EXCUSED_S:
            broken.append(
                f"LOST: {request_id}, sent {since_s:.2f} s after the SIGTERM, ran and "
                f"was cut off {ended_s - sent_s:.2f} s after it was sent"
            )
    return broken


if __name__ == "__main__":
    run_case(__file__, play)
