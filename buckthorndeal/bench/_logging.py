"""Benchmark `logging`: CPU time that logging adds to each request of a gateway."""

import logging as stdlib_logging
import os
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager

import curio
import msgspec
from absl import logging

from buckthorndeal.bench import Measurement
from buckthorndeal.bench._process import wait_until_served
from buckthorndeal.coordinator import create_coordinator, create_default_handlers
from buckthorndeal.gateway import create_gateway
from buckthorndeal.gateway.dialect import create_default_dialect
from buckthorndeal.http_client import HttpPool, create_http_pool
from buckthorndeal.http_server import Request, Responder, create_http_server
from buckthorndeal.logs import configure_logging
from buckthorndeal.routeformat import create_route_format
from buckthorndeal.settings import Address, CoordinatorSettings, GatewaySettings, Limits
from buckthorndeal.transport import Transport, create_memory_transport

__all__ = ["measure_logging"]

COORDINATOR, GATEWAY, ENDPOINT = "10.1.0.1", "10.1.0.9", "10.1.9.1"
PEER_PORT, FORWARD_PORT, API_PORT, CALLER_PORT = 7000, 7001, 8000, 9000
KEY = "00" * 16
REGIONS = {"a-1": "a"}
EVENTS = 30
EVENT = b"id: %d\ndata: token\n\n"
# Rounds of the three cases alternate, so that a change of the machine's speed affects
# all of them.
ROUNDS = 3
REQUESTS_PER_ROUND = 100
# Keeps the rate below the budget of routine log lines, so that no line is dropped.
REQUEST_INTERVAL_S = 0.02
START_TIMEOUT_S = 20.0


def _create_configuration() -> bytes:
    route = {
        "name": "stream",
        "host": "bench",
        "path_prefix": "/",
        "kind": "stream",
        "timeout_s": 10.0,
        "latency_objective_s": 5.0,
        "priority": 0,
        "services": [{"service": "s", "weight": 1}],
        "max_attempts": 2,
        "resumable": True,
    }
    service = {"name": "s", "health_path": "/h", "max_connections": 64}
    body = {"version": 1, "routes": [route], "services": [service]}
    return msgspec.json.encode(body)


async def _serve(request: Request, responder: Responder) -> None:
    given = {"buckthorndeal-call-id": request.headers.get("buckthorndeal-call-id", "")}
    headers = [*given.items(), ("content-type", "text/event-stream")]
    await responder.start(200, headers)
    for number in range(EVENTS):
        await responder.send(EVENT % number)
    await responder.finish()


async def _call_gateway(pool: HttpPool, number: int) -> int:
    headers = [("host", "bench"), ("buckthorndeal-call-id", f"q{number}")]
    status, _, _ = await pool.fetch("POST", "/x", headers, b"x" * 1000)
    return status


async def _measure_round(pool: HttpPool) -> float:
    """Return the CPU seconds per request, including those of caller and endpoint."""
    cpu_s = 0.0
    for number in range(REQUESTS_PER_ROUND):
        started_s = time.process_time()
        await _call_gateway(pool, number)
        cpu_s += time.process_time() - started_s
        await curio.sleep(REQUEST_INTERVAL_S)
    return cpu_s / REQUESTS_PER_ROUND


@contextmanager
def _disable_logs() -> Iterator[None]:
    logger = logging.get_absl_logger()
    level = logger.level
    logger.setLevel(stdlib_logging.CRITICAL)
    try:
        yield
    finally:
        logger.setLevel(level)


async def _send_heartbeat(pool: HttpPool) -> int:
    body = {
        "incarnation": 1,
        "sequence": time.monotonic_ns(),
        "service": "s",
        "region": "a",
        "failure_domain": "a-1",
        "address": f"{ENDPOINT}:80",
        "slots": 64,
    }
    target = "/v1/endpoints/e/heartbeat"
    status, _, _ = await pool.fetch("POST", target, [], msgspec.json.encode(body))
    return status


async def _send_heartbeats(pool: HttpPool) -> None:
    while True:
        await _send_heartbeat(pool)
        await curio.sleep(1.0)


async def _start(transport: Transport, directory: str) -> list[object]:
    seeds = (Address(address=COORDINATOR, port=PEER_PORT),)
    coordinator = create_coordinator(
        CoordinatorSettings(
            host="coordinator",
            region="a",
            failure_domain="a-1",
            peer_listen=seeds[0],
            api_listen=Address(address=COORDINATOR, port=API_PORT),
            directory_listen=Address(address=COORDINATOR, port=API_PORT + 1),
            seeds=seeds,
            regions=REGIONS,
            bootstrap=True,
            peer_keys=(KEY,),
            data_directory=directory,
        ),
        transport,
        create_route_format(),
        create_default_handlers,
    )
    gateway = create_gateway(
        GatewaySettings(
            host="gateway",
            region="a",
            failure_domain="a-1",
            listen=Address(address=GATEWAY, port=CALLER_PORT),
            ready_listen=Address(address=GATEWAY, port=CALLER_PORT + 1),
            forward_listen=Address(address=GATEWAY, port=FORWARD_PORT),
            peer_listen=Address(address=GATEWAY, port=PEER_PORT),
            seeds=seeds,
            peer_keys=(KEY,),
        ),
        transport,
        create_route_format(),
        create_default_dialect(),
    )
    endpoint = create_http_server(_serve, Limits())
    await endpoint.start(transport, ENDPOINT, 80)
    await coordinator.start()
    await gateway.start()
    return [gateway, coordinator, endpoint]


async def _measure(directory: str) -> tuple[float, float, float]:
    """Return the CPU seconds per request without gateway, without and with logs."""
    transport = create_memory_transport()
    daemons = await _start(transport, directory)
    api = create_http_pool(transport, COORDINATOR, API_PORT)
    callers = create_http_pool(transport, GATEWAY, CALLER_PORT)
    direct = create_http_pool(transport, ENDPOINT, 80)

    async def put() -> int:
        target = "/v1/configuration"
        return (await api.fetch("PUT", target, [], _create_configuration()))[0]

    await wait_until_served(put, START_TIMEOUT_S)
    heartbeats = await curio.spawn(_send_heartbeats, api)
    await wait_until_served(lambda: _call_gateway(callers, 0), START_TIMEOUT_S)
    cpu_s = [0.0, 0.0, 0.0]
    for _ in range(ROUNDS):
        cpu_s[0] += await _measure_round(direct)
        with _disable_logs():
            cpu_s[1] += await _measure_round(callers)
        cpu_s[2] += await _measure_round(callers)
    await heartbeats.cancel()
    for resource in (*daemons, api, callers, direct):
        await resource.close()
    return tuple(total_s / ROUNDS for total_s in cpu_s)


def measure_logging() -> list[Measurement]:
    """Measure the CPU time per request of a gateway with and without logs.

    Caller, gateway and endpoint share a process, so the CPU time of a request that
    goes directly to the endpoint is subtracted from both.

    Returns
    -------
    list of Measurement
        Ratio of the CPU time with logs to that without, the CPU time without, and
        the log bytes per request.
    """
    handlers = list(stdlib_logging.getLogger().handlers)
    with tempfile.TemporaryDirectory() as directory:
        file = os.path.join(directory, "lines")
        fd = os.open(file, os.O_CREAT | os.O_WRONLY)
        try:
            configure_logging("gateway", fd)
            before = os.stat(file).st_size
            direct_s, unlogged_s, logged_s = curio.run(_measure, directory)
            written = os.stat(file).st_size - before
        finally:
            os.close(fd)
            stdlib_logging.getLogger().handlers = handlers
    ratio = (logged_s - direct_s) / (unlogged_s - direct_s)
    requests = ROUNDS * REQUESTS_PER_ROUND
    return [
        Measurement("logging.cpu_ratio", ratio, "ratio"),
        Measurement("logging.request_cpu_s", unlogged_s - direct_s, "s"),
        Measurement("logging.bytes_per_request", written / requests, "B"),
    ]
