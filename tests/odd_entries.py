"""Odd reports of other writers, and a fleet whose daemons are watched."""

import json
import pathlib
import sys
from contextlib import asynccontextmanager

import curio

from buckthorndeal.coordinator import create_default_handlers
from tests.fleet_harness import REGIONS, Fleet, start_serving

sys.path.append(str(pathlib.Path(__file__).parent.parent / "platform"))

import controlapi

OTHER_GATEWAY = "10.1.0.8"
DEEP_NESTING = 100_000
# Longer than two intervals at which coordinators send what has changed.
FLUSHED_S = 0.6


async def respond(endpoint, request, responder):
    await endpoint.respond(request, responder)


def create_platform_handlers(service, lifetime_s):
    """Return the platform's handlers, which take reports of both formats."""
    api, directory = controlapi.create_handlers(service, REGIONS, lifetime_s)
    default_api, _ = create_default_handlers(service, lifetime_s)

    async def handle(request, responder):
        handler = default_api if request.path.startswith("/v1/") else api
        await handler(request, responder)

    return handle, directory


def create_report(**changes):
    """Return a status report in the platform's format, as JSON."""
    body = {
        "service": "s",
        "address": "10.1.9.77:80",
        "zone": "a-1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
        **changes,
    }
    return json.dumps(body).encode()


def create_default_report(**changes):
    """Return a heartbeat in the default format, as JSON."""
    body = {
        "incarnation": 1,
        "sequence": 1,
        "service": "s",
        "region": "a",
        "failure_domain": "a-1",
        "address": "10.1.9.77:80",
        "slots": 4,
        **changes,
    }
    return json.dumps(body).encode()


def nest(content, depth=DEEP_NESTING):
    """Return a JSON object with a deeply nested field added."""
    nested = b"[" * depth + b"]" * depth
    return content[:-1] + b',"odd":' + nested + b"}"


@asynccontextmanager
async def serve_watched():
    """Start a serving fleet with two gateways; yields it and the daemons that end."""
    async with Fleet(create_handlers=create_platform_handlers) as fleet:
        await start_serving(fleet, respond)
        await fleet.start_gateway(OTHER_GATEWAY)
        await fleet.wait_until_ready(OTHER_GATEWAY)
        ended = []
        watchers = [
            await curio.spawn(_record_end, host, daemon, ended, daemon=True)
            for host, daemon in [*fleet.coordinators.items(), *fleet.gateways.items()]
        ]
        try:
            yield fleet, ended
        finally:
            for watcher in watchers:
                await watcher.cancel()


async def _record_end(host, daemon, ended):
    try:
        await daemon.wait()
    except Exception as error:
        ended.append((host, repr(error)))
    else:
        ended.append((host, None))


async def report(fleet, content, endpoint="odd", host="10.1.0.1"):
    """Send a status report in the platform's format; return the status."""
    status, _ = await fleet.call_api(
        host, "POST", f"/instances/{endpoint}/heartbeat", content
    )
    return status


def list_endpoints(fleet, host):
    """Return the endpoints that a gateway may send requests to."""
    return set(fleet.gateways[host]._dispatch._dispatcher.view.loads)
