"""Configurations and requests of the tests of workspaces over several processes."""

import contextlib
import json
from unittest import mock

import curio

from tests.fleet_harness import (
    GATEWAY,
    create_configuration,
)

OTHER = "10.2.0.9"
COORDINATOR = "10.1.0.1"
KEY = "buckthorndeal-key"
NAME = "buckthorndeal-workspace"
ACME = {"name": "acme", "keys": ["k-acme"]}
BELL = {"name": "bell", "keys": ["k-bell"]}
# A configuration is in force within this time, on a host that is in touch.
APPLY_S = 4.0


def encode(version, *workspaces, **changes):
    """Return a configuration; routes under ``/open/`` allow anonymous callers."""
    body = json.loads(create_configuration(version, **changes))
    opened = {**body["routes"][0], "name": "open", "path_prefix": "/open/"}
    body["routes"].append({**opened, "allows_anonymous": True})
    body["workspaces"] = workspaces
    return json.dumps(body).encode()


async def respond(endpoint, request, responder):
    await endpoint.respond(request, responder)


async def send(fleet, host, key, target="/idempotent/", headers=()):
    """Send a request with a key; return the status."""
    status, _, _ = await send_in_full(fleet, host, key, target, headers)
    return status


async def send_in_full(fleet, host, key, target="/idempotent/", headers=()):
    given = [*headers] if key is None else [(KEY, key), *headers]
    return await fleet.send_request(host, target, given)


async def wait_for_status(fleet, host, key, status, target="/idempotent/x/ready"):
    while await send(fleet, host, key, target) != status:
        await curio.sleep(0.05)


async def start(fleet, *workspaces, domain="a-1", hosts=(GATEWAY,), **changes):
    """Start a deployment with one endpoint; wait until all hosts serve ``acme``."""
    await fleet.start_coordinators()
    await fleet.put_configuration(COORDINATOR, encode(1, *workspaces, **changes))
    for host in hosts:
        await fleet.start_gateway(host)
    await fleet.start_endpoint("e0", domain, respond)
    for host in hosts:
        await wait_for_status(fleet, host, "k-acme", 200)
    await curio.sleep(0.6)


@contextlib.contextmanager
def hold_back_configurations(gateway):
    """Keep a gateway at its configuration, as one that is out of touch."""
    held = []

    async def hold(configuration):
        held.append(configuration)

    with mock.patch.object(gateway._control._configuration, "_apply", hold):
        yield held
