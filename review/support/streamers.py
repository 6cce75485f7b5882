"""Clients of streams, and a deployment with servers of two software versions."""

import asyncio
import os
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from plant import (
    BOUNDS,
    FRONT_PORT,
    READY_PORT,
    Machine,
    Plant,
    Record,
    call,
    order,
    wait_for,
)
from standins import Run, Server, build_configuration, build_request

ZONES = {"a1": "ra", "b1": "rb", "c1": "rc"}
CORES = ("a1", "b1", "c1", "a1", "b1")
VERSIONS = ("v1", "v1", "v2", "v2")
HELD, BROKEN, NOT_RUN = 0, 1, 2
STREAMS = 24
MIN_TAKEN_UP = 12
BUDGET_S = 15.0
EVENTS = 58
PAUSE_S = 0.24
TRIES = 3
STABLE_S = BOUNDS["stable_window_ms"] / 1000


@dataclass
class Stream:
    """A stream as its client sees it; `tries` are the ids of its attempts."""

    number: int
    begun_s: float = 0.0
    tries: list[str] = field(default_factory=list)
    events: list[tuple[int, str]] = field(default_factory=list)
    answers: list[str] = field(default_factory=list)
    first_try: str = ""
    complete: bool = False

    @property
    def versions(self) -> set[str]:
        """Software versions of the servers whose events it holds."""
        return {version for _, version in self.events}


async def attempt(stream: Stream, gateway: Machine) -> float | None:
    """Make one attempt; return the seconds of Retry-After if it is refused."""
    left_s = stream.begun_s + BUDGET_S - time.monotonic()
    request_id = f"{os.getpid():x}-{stream.number}-{len(stream.tries)}"
    stream.tries.append(request_id)
    lines = [
        "X-Model: m",
        "X-Token-Count: 700,290",
        f"X-Prompt-Prefix: aa01:300,{stream.number + 4096:x}:400",
    ]
    if stream.events:
        lines.append(f"Last-Event-Id: {stream.events[-1][0]}")
        lines.append(f"Resumes: {stream.first_try}")
    deadline_ms = int(left_s * 1000)
    head = build_request("POST", "/st/x", request_id, deadline_ms, b"", tuple(lines))
    writer = None
    try:
        async with asyncio.timeout(left_s):
            reader, writer = await asyncio.open_connection(gateway.address, FRONT_PORT)
            writer.write(head.encode())
            status, headers = await _read_head(reader)
            if status != 200:
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                stream.answers.append(f"{status} {body[:70].decode('latin-1')}")
                return float(headers.get("retry-after", 0.1))
            await _read_events(stream, request_id, reader)
            stream.complete = True
            stream.answers.append("complete")
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError) as error:
        stream.answers.append(type(error).__name__)
    finally:
        if writer is not None:
            writer.close()
    return None


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return int(head[0].split()[1]), headers


async def _read_events(
    stream: Stream, request_id: str, reader: asyncio.StreamReader
) -> None:
    """Read the chunks of a stream to its end, and take the events from them."""
    content = b""
    while size := int(await reader.readline(), 16):
        content += await reader.readexactly(size)
        await reader.readline()
        while b"\n\n" in content:
            event, _, content = content.partition(b"\n\n")
            lines = dict(line.split(": ", 1) for line in event.decode().split("\n"))
            if not stream.events:
                stream.first_try = request_id
            version = lines["data"].split()[0]
            stream.events.append((int(lines["id"]), version))
    await reader.readline()


async def take(stream: Stream, first: Machine, second: Machine) -> None:
    """Take a stream as a client does: at the second gateway once the first is gone."""
    stream.begun_s = time.monotonic()
    await attempt(stream, first)
    for _ in range(TRIES):
        if stream.complete or time.monotonic() > stream.begun_s + BUDGET_S - 0.5:
            return
        retry_s = await attempt(stream, second)
        await asyncio.sleep(retry_s or 0.1)


def is_ready(machine: Machine) -> bool:
    """Return whether a gateway says that it is ready."""
    answer = call(machine.address, READY_PORT, "GET", "/readiness")
    return answer is not None and answer[0] == 200


def build_state(version: int, target: dict, services: Sequence[str]) -> bytes:
    """Return a desired state with one route for streams.

    `target` is its service or its split.
    """
    route = {
        "name": "st",
        "path_prefix": "/st/",
        "kind": "streaming",
        "timeout_ms": int(BUDGET_S * 1000),
        "target_latency_ms": 1500,
        "gap_aim_ms": 400,
        "resumable": True,
        "sticky": True,
        **target,
    }
    engine = {"slots": 64, "kv_capacity_tokens": 232000}
    described = {name: {"max_connections": 360, "engine": engine} for name in services}
    return build_configuration(version, [route], described)


@dataclass
class Scene:
    """A deployment that serves streams through two gateways of one zone."""

    cores: list[Machine]
    gateways: list[Machine]
    servers: list[Server]

    async def stop(self) -> None:
        """End the servers."""
        for server in self.servers:
            await server.stop()


async def start(
    plant: Plant, record: Record, state: bytes, services: Sequence[str]
) -> Scene | None:
    """Start all, with two servers of each version in each service; None if it fails."""
    cores = [plant.add("core", zone) for zone in CORES]
    gateways = [plant.add("front", "a1") for _ in range(2)]
    for machine in (*cores, *gateways):
        plant.start(machine, bootstrap=True)
    if (
        await asyncio.to_thread(order, cores, "POST", "/config/put", state, 20.0)
        is None
    ):
        record.note("the desired state was not acknowledged")
        return None
    runs: list[Run] = []
    servers = []
    for service in services:
        for version in VERSIONS:
            number = len(servers)
            server = Server(
                f"i-{number}",
                service,
                "a1",
                f"{plant.network}.200",
                9000 + number,
                [each.address for each in cores],
                runs,
                PAUSE_S,
                64,
                EVENTS,
                version,
            )
            await server.start()
            servers.append(server)
    for machine in gateways:
        if not await asyncio.to_thread(wait_for, lambda m=machine: is_ready(m), 15.0):
            record.note(f"{machine.name} did not become ready")
            return None
    await asyncio.sleep(2 * STABLE_S)
    return Scene(cores, gateways, servers)


def judge(
    record: Record, broken_off: list[Stream], held: dict[int, int], fresh: list[Stream]
) -> int:
    """Apply the rule; return the exit status."""
    taken_up = [each for each in broken_off if len(each.tries) > 1]
    gone_on = [each for each in taken_up if len(each.events) > held[each.number]]
    for each in broken_off:
        record.note(
            f"stream {each.number}: {held[each.number]} events, then "
            f"{len(each.events) - held[each.number]} more, versions "
            f"{sorted(each.versions)}, answers {each.answers}"
        )
    new = [each for each in fresh if each.events]
    record.note(f"{len(new)} of {len(fresh)} new streams begin")
    record.note(f"{len(gone_on)} of {len(taken_up)} streams go on")
    if len(taken_up) < MIN_TAKEN_UP or not new:
        return NOT_RUN
    share, new_share = len(gone_on) / len(taken_up), len(new) / len(fresh)
    return BROKEN if share * 2 < new_share else HELD
