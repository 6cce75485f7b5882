"""Benchmark `relay`: throughput and latency of one entry host process."""

import pathlib
import tempfile
import time
from functools import partial

import curio
import msgspec

from buckthorndeal.bench import Measurement
from buckthorndeal.bench._process import (
    DaemonProcess,
    find_free_port,
    start_daemon,
    start_module,
    wait_until_served,
)
from buckthorndeal.bench._relay_load import HEADERS, KEY, CallerReport
from buckthorndeal.errors import BuckthorndealError
from buckthorndeal.http_client import HttpPool, create_http_pool
from buckthorndeal.keys import hash_key
from buckthorndeal.transport import create_socket_transport

__all__ = ["measure_relay"]

LOAD_MODULE = "buckthorndeal.bench._relay_load"
# The endpoints send a token every 30 ms, so 100 streams make 3,333 tokens/s: 10% more
# than the mean of one node at the target size, 3,030 tokens/s.
MEAN_STREAMS = 100
HIGH_LOAD_FACTOR = 4
LOAD_PROCESSES = 4
STREAMS_PER_CALLER = 1
UNARY_CALLERS = 8
UNARY_CALLS_PER_CALLER = 150
LATENCY_CALLS = 300
START_TIMEOUT_S = 10.0
LOAD_TIMEOUT_S = 60.0
POLL_S = 0.05
HEARTBEAT_S = 0.5
LOOKUP_PATH = "/stock/item"
LOOKUP_TARGET = f"/services/desk{LOOKUP_PATH}"


def _write_files(directory: pathlib.Path, entry_port: int) -> pathlib.Path:
    sections = {
        "platform": {
            "services": {
                "engine": {"kind": "model", "models": ["bench"]},
                "desk": {"kind": "plain"},
            },
            "regions": {"here": {"home": "here", "failure_domains": ["here-a"]}},
        },
        "accounts": {
            "workspaces": {
                "bench": {
                    "key_hashes": [hash_key(KEY)],
                    "home_region": "here",
                    "requests_per_s": 100_000,
                    "burst": 100_000,
                    "concurrency": 10_000,
                }
            }
        },
        "support": {},
    }
    for name, section in sections.items():
        (directory / f"{name}.jsonc").write_bytes(msgspec.json.encode(section))
    settings = {
        "host": "bench-entry",
        "region": "here",
        "failure_domain": "here-a",
        "listen": {"port": entry_port},
        "peer_listen": {"port": find_free_port()},
        "control_hosts": [{"host": "bench-control", "port": find_free_port()}],
        "peer_keys": ["00" * 16],
        "document_directory": str(directory),
        "drain_notice_s": 0.1,
    }
    file = directory / "entry.jsonc"
    file.write_bytes(msgspec.json.encode(settings))
    return file


async def _announce(pool: HttpPool, ports: list[int]) -> None:
    for service in ("engine", "desk"):
        for number, port in enumerate(ports):
            body = {
                "name": f"{service}-{number}",
                "incarnation": 1,
                "service": service,
                "region": "here",
                "failure_domain": "here-a",
                "address": "127.0.0.1",
                "port": port,
                "models": ["bench"] if service == "engine" else [],
                "slots": 1000,
                "checks_fencing": True,
            }
            await _post_report(pool, "announce", body)


async def _post_report(pool: HttpPool, kind: str, body: dict) -> int:
    status, _, answer = await pool.fetch(
        "POST", f"/v1/endpoints/{kind}", [], msgspec.json.encode(body)
    )
    if status not in (200, 409):
        raise BuckthorndealError(
            f"entry host refused {kind} of endpoint {body['name']!r} "
            f"with status {status}: {answer!r}"
        )
    return status


async def _send_heartbeats(pool: HttpPool, ports: list[int]) -> None:
    while True:
        await curio.sleep(HEARTBEAT_S)
        for service in ("engine", "desk"):
            for number in range(len(ports)):
                body = {"name": f"{service}-{number}", "incarnation": 1}
                body |= {"running": 0, "queued": 0}
                if await _post_report(pool, "heartbeat", body) == 409:
                    await _announce(pool, ports)


async def _fetch_readiness(pool: HttpPool) -> int:
    return (await pool.fetch("GET", "/readyz", []))[0]


async def _call_unary(pool: HttpPool, failures: list[int]) -> None:
    for _ in range(UNARY_CALLS_PER_CALLER):
        status, _, _ = await pool.fetch("GET", LOOKUP_TARGET, HEADERS)
        if status != 200:
            failures.append(status)


async def _run_unary(port: int) -> int:
    failures: list[int] = []
    pool = create_http_pool(create_socket_transport(), "127.0.0.1", port, UNARY_CALLERS)
    async with curio.TaskGroup() as group:
        for _ in range(UNARY_CALLERS):
            await group.spawn(_call_unary, pool, failures)
    await pool.close()
    return len(failures)


async def _measure_latency(port: int, path: str) -> float:
    pool = create_http_pool(create_socket_transport(), "127.0.0.1", port, 1)
    times_s = []
    for _ in range(LATENCY_CALLS):
        start_s = time.perf_counter()
        await pool.fetch("GET", path, HEADERS)
        times_s.append(time.perf_counter() - start_s)
    await pool.close()
    return sorted(times_s)[len(times_s) // 2]


async def _run_streams(
    directory: pathlib.Path, port: int, streams: int
) -> CallerReport:
    count = streams // LOAD_PROCESSES
    arguments = ["callers", str(port), str(count), str(STREAMS_PER_CALLER)]
    files = [directory / f"callers-{number}.json" for number in range(LOAD_PROCESSES)]
    processes = [start_module(LOAD_MODULE, arguments, file) for file in files]
    try:
        async with curio.timeout_after(LOAD_TIMEOUT_S):
            while any(process.poll() is None for process in processes):
                await curio.sleep(POLL_S)
    finally:
        for process in processes:
            process.kill()
    total = CallerReport()
    for file in files:
        report = msgspec.json.decode(file.read_bytes(), type=CallerReport)
        total.tokens += report.tokens
        total.failures += report.failures
        total.gaps_s += report.gaps_s
    return total


async def _measure(
    process: DaemonProcess, directory: pathlib.Path, port: int, endpoint_port: int
) -> list[Measurement]:
    mean_load = await _run_streams(directory, port, MEAN_STREAMS)
    start_s = process.read_cpu_s()
    high_load = await _run_streams(directory, port, HIGH_LOAD_FACTOR * MEAN_STREAMS)
    streamed_s = process.read_cpu_s()
    unary_failures = await _run_unary(port)
    unary_s = process.read_cpu_s()
    direct_s = await _measure_latency(endpoint_port, LOOKUP_PATH)
    relayed_s = await _measure_latency(port, LOOKUP_TARGET)
    gaps_s = sorted(mean_load.gaps_s)
    calls = UNARY_CALLERS * UNARY_CALLS_PER_CALLER
    failures = mean_load.failures + high_load.failures + unary_failures
    return [
        Measurement(
            "relay.tokens_per_core_s",
            high_load.tokens / (streamed_s - start_s),
            "tokens/s",
        ),
        Measurement(
            "relay.requests_per_core_s", calls / (unary_s - streamed_s), "requests/s"
        ),
        Measurement("relay.token_gap_p95_s", gaps_s[int(0.95 * len(gaps_s))], "s"),
        Measurement("relay.latency_ratio", relayed_s / direct_s, "ratio"),
        Measurement("relay.added_latency_p50_s", relayed_s - direct_s, "s"),
        Measurement("relay.failures", failures, "count"),
        Measurement("relay.rss_mb", process.read_rss_mb(), "MB"),
    ]


async def _start_endpoints(
    directory: pathlib.Path,
) -> tuple[list[DaemonProcess], list[int]]:
    files = [directory / f"endpoint-{number}.txt" for number in range(LOAD_PROCESSES)]
    processes = [start_module(LOAD_MODULE, ["endpoint"], file) for file in files]
    async with curio.timeout_after(START_TIMEOUT_S):
        while not all(file.read_bytes().endswith(b"\n") for file in files):
            await curio.sleep(POLL_S)
    return processes, [int(file.read_bytes()) for file in files]


async def _run(directory: pathlib.Path) -> list[Measurement]:
    endpoints, ports = await _start_endpoints(directory)
    entry_port = find_free_port()
    settings_file = _write_files(directory, entry_port)
    process = start_daemon(
        "buckthorndeal.command_entry", settings_file, directory / "entry.log"
    )
    pool = create_http_pool(create_socket_transport(), "127.0.0.1", entry_port, 4)
    try:
        await wait_until_served(partial(_fetch_readiness, pool), START_TIMEOUT_S)
        await _announce(pool, ports)
        heartbeats = await curio.spawn(_send_heartbeats, pool, ports, daemon=True)
        measurements = await _measure(process, directory, entry_port, ports[0])
        await heartbeats.cancel()
    finally:
        await pool.close()
        process.stop()
        for endpoint in endpoints:
            endpoint.kill()
    return measurements


def measure_relay() -> list[Measurement]:
    """Measure an entry host process that relays streams and plain calls.

    Returns
    -------
    list of Measurement
        Tokens and requests per second of the process's CPU time, the gap between
        tokens with endpoints that send one every 30 ms, the latency of a lookup
        relative to a direct call, the failures, and the process's memory.

    Raises
    ------
    BuckthorndealError
        If the entry host refuses the announcement or a heartbeat of an endpoint.
    """
    with tempfile.TemporaryDirectory(prefix="buckthorndeal-bench-") as directory:
        return curio.run(_run, pathlib.Path(directory))
