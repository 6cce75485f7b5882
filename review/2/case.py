"""Status reports of another writer, with a number that is out of range."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from client import Client
from deployment import Deployment, Operator, Record, call
from play import run_case
from server import HEARTBEAT_S, Server, describe_state

SERVICE = "order-app"
LENGTH_S = 30.0
OUT_OF_RANGE = 10**20


async def play(record: Record, trouble: bool) -> list[str]:
    """Let another writer report beside two sound servers, and count what ends."""
    deployment = Deployment(record, {"zone-a": "region-a"}, ["zone-a"] * 3, ["zone-a"])
    servers = [
        Server(deployment, f"i-{i}", SERVICE, f"{deployment.net}.{100 + i}", "zone-a")
        for i in (1, 2)
    ]
    writer = None
    try:
        await deployment.start()
        for server in servers:
            await server.start()
        await Operator(deployment).configure(describe_state(7, SERVICE))
        await deployment.wait_ready()
        await asyncio.sleep(2.0)
        if trouble:
            writer = asyncio.create_task(report(deployment))
        client = Client(deployment, deployment.fronts[0])
        until_s = record.now() + LENGTH_S
        while record.now() < until_s:
            await client.send()
            await asyncio.sleep(0.5)
        client.close()
    finally:
        if writer is not None:
            writer.cancel()
        for server in servers:
            await server.close()
        await deployment.close()
    return judge(deployment)


async def report(deployment: Deployment) -> None:
    """Send status reports, each to the next of the nodes that serve them."""
    turn = 0
    sequence = 0
    while True:
        sequence += 1
        body = {
            "service": "another-service",
            "address": f"{deployment.net}.120:{deployment.server_port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": OUT_OF_RANGE,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": 1,
        }
        content = json.dumps(body).encode()
        for _ in deployment.cores:
            machine = deployment.cores[turn % len(deployment.cores)]
            node = (machine.ip, deployment.control_port)
            path = "/instances/other-writer/heartbeat"
            answer = await call(*node, "POST", path, content)
            status = answer.status if answer is not None else None
            deployment.record.write(
                f"another writer reports at {machine.name}: {status}"
            )
            turn += 1
            if status == 200:
                break
        await asyncio.sleep(HEARTBEAT_S)


def judge(deployment: Deployment) -> list[str]:
    """Return the core machines whose processes ended by themselves, if too many."""
    ended = {machine.name: machine.own_ends for machine in deployment.cores}
    often = [name for name, count in ended.items() if count >= 3]
    if 2 * len(often) < len(deployment.cores):
        deployment.record.write(f"ends of processes by themselves: {ended}")
        return []
    return [f"Fault: processes of the core ended by themselves: {ended}"]


if __name__ == "__main__":
    run_case(__file__, play)
