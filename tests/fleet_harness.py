"""Test harness with coordinators, gateways and scripted endpoints in one process."""

import json
import tempfile
import time

import curio
import msgspec

from buckthorndeal.coordinator import create_coordinator, create_default_handlers
from buckthorndeal.gateway import create_gateway
from buckthorndeal.gateway.dialect import create_default_dialect
from buckthorndeal.http_client import create_http_pool
from buckthorndeal.http_server import create_http_server
from buckthorndeal.routeformat import create_route_format
from buckthorndeal.settings import Address, CoordinatorSettings, GatewaySettings, Limits
from buckthorndeal.transport import create_memory_transport

KEYS = ("00112233445566778899aabbccddeeff",)
PEER_PORT = 7000
FORWARD_PORT = 7001
API_PORT = 8000
DIRECTORY_PORT = 8001
CALLER_PORT = 9000
READY_PORT = 9001
ENDPOINT_PORT = 80
REGIONS = {"a-1": "a", "b-1": "b", "c-1": "c"}
# Far longer than any test takes on a busy machine.
HANG_TIMEOUT_S = 60
REQUEST_ID = "buckthorndeal-call-id"
HEALTH_PATH = "/h"
# Gateway of the tests that need only one.
GATEWAY = "10.1.0.9"


def create_configuration(version=1, **changes):
    """Return a configuration with one route of each kind, as JSON."""
    route = {
        "host": "x.example",
        "timeout_s": 5.0,
        "latency_objective_s": 1.0,
        "priority": 0,
        "services": [{"service": "s", "weight": 1}],
        **changes,
    }
    kinds = ("idempotent", "non_idempotent", "stream")
    routes = [
        {**route, "name": kind, "path_prefix": f"/{kind}/", "kind": kind}
        for kind in kinds
    ]
    for each in routes:
        attempts = changes.get("max_attempts", 2)
        each["max_attempts"] = 1 if each["kind"] == "non_idempotent" else attempts
        each["resumable"] = each["kind"] == "stream"
    services = [{"name": "s", "health_path": HEALTH_PATH, "max_connections": 64}]
    body = {"version": version, "routes": routes, "services": services}
    return json.dumps(body).encode()


class Fleet:
    """A deployment on a memory transport; hosts are named by their IP addresses."""

    def __init__(
        self,
        coordinators=("10.1.0.1", "10.2.0.1", "10.3.0.1"),
        create_handlers=create_default_handlers,
        **settings,
    ):
        self.transport = create_memory_transport()
        self.create_handlers = create_handlers
        # Further fields of the settings of coordinators.
        self.settings = settings
        self.seeds = tuple(
            Address(address=each, port=PEER_PORT) for each in coordinators
        )
        self.directories = {}
        self.coordinators = {}
        self.gateways = {}
        self.endpoints = {}
        self.pools = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        async with curio.disable_cancellation():
            for endpoint in self.endpoints.values():
                await endpoint.close()
            for daemon in [*self.gateways.values(), *self.coordinators.values()]:
                await daemon.close()
            for pool in self.pools:
                await pool.close()
            for directory in self.directories.values():
                directory.cleanup()

    async def start_coordinators(self):
        for seed in self.seeds:
            await self.start_coordinator(seed.address, bootstrap=True)

    async def start_coordinator(self, host, bootstrap=False):
        if host not in self.directories:
            self.directories[host] = tempfile.TemporaryDirectory()
        domain = list(REGIONS)[int(host.split(".")[1]) - 1]
        settings = CoordinatorSettings(
            host=host,
            region=REGIONS[domain],
            failure_domain=domain,
            peer_listen=Address(address=host, port=PEER_PORT),
            api_listen=Address(address=host, port=API_PORT),
            directory_listen=Address(address=host, port=DIRECTORY_PORT),
            seeds=self.seeds,
            regions=REGIONS,
            bootstrap=bootstrap,
            peer_keys=KEYS,
            data_directory=self.directories[host].name,
            **self.settings,
        )
        daemon = create_coordinator(
            settings, self.transport, create_route_format(), self.create_handlers
        )
        await daemon.start()
        self.coordinators[host] = daemon

    async def stop_coordinator(self, host, wipe=False):
        await self.coordinators.pop(host).close()
        if wipe:
            self.directories.pop(host).cleanup()

    async def start_gateway(self, host, dialect=None, transport=None, **fields):
        domain = list(REGIONS)[int(host.split(".")[1]) - 1]
        settings = GatewaySettings(
            host=host,
            region=REGIONS[domain],
            failure_domain=domain,
            listen=Address(address=host, port=CALLER_PORT),
            ready_listen=Address(address=host, port=READY_PORT),
            forward_listen=Address(address=host, port=FORWARD_PORT),
            peer_listen=Address(address=host, port=PEER_PORT),
            seeds=self.seeds,
            peer_keys=KEYS,
            **{"drain_notice_s": 0.2, "drain_timeout_s": 5.0, **fields},
        )
        gateway = create_gateway(
            settings,
            transport or self.transport,
            create_route_format(),
            dialect or create_default_dialect(),
        )
        await gateway.start()
        self.gateways[host] = gateway
        return gateway

    async def start_endpoint(self, name, domain, script, service="s", **fields):
        endpoint = Endpoint(self, name, domain, script, service, fields)
        await endpoint.start()
        self.endpoints[name] = endpoint
        return endpoint

    def create_pool(self, host, port):
        pool = create_http_pool(self.transport, host, port)
        self.pools.append(pool)
        return pool

    async def call_api(self, host, method, target, body=b""):
        status, _, answer = await self.create_pool(host, API_PORT).fetch(
            method, target, [], body
        )
        return status, answer

    async def put_configuration(self, host, content):
        """Send a configuration, retrying until it is accepted or rejected."""
        while True:
            status, answer = await self.call_api(
                host, "PUT", "/v1/configuration", content
            )
            if status != 503:
                return status, answer
            await curio.sleep(0.1)

    async def send_evacuation(self, host, method, domain):
        """Start or end an evacuation, retrying until it is acknowledged."""
        while True:
            target = f"/v1/evacuations/{domain}"
            status, _ = await self.call_api(host, method, target)
            if status == 200:
                return
            if status != 503:
                raise AssertionError(f"status {status}")
            await curio.sleep(0.1)

    async def get_configuration(self, host):
        """Return the configuration, retrying until a coordinator can confirm it."""
        while True:
            status, answer = await self.call_api(host, "GET", "/v1/configuration")
            if status != 503:
                return answer
            await curio.sleep(0.1)

    async def send_request(self, host, target, headers=(), method="POST", body=b"x"):
        """Send a caller's request to a gateway."""
        pool = self.create_pool(host, CALLER_PORT)
        given = [("host", "x.example"), (REQUEST_ID, "q1"), *headers]
        return await pool.fetch(method, target, given, body)

    async def wait_until_ready(self, host, path="/idempotent/ready"):
        """Wait until a gateway serves a request."""
        while True:
            status, _, _ = await self.send_request(
                host, path, [(REQUEST_ID + "-x", "warm")]
            )
            if status == 200:
                return
            await curio.sleep(0.05)


class Endpoint:
    """Endpoint whose responses come from a script.

    `script` is a coroutine function called with the endpoint, a request and its
    responder. Requests for paths that end in ``/ready`` get an immediate response.
    """

    def __init__(self, fleet, name, domain, script, service, fields):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.script = script
        self.fields = {"service": service, **fields}
        self.address = f"10.{list(REGIONS).index(domain) + 1}.9.{len(fleet.endpoints)}"
        self.incarnation = 1
        self.sequence = 0
        self.requests = []
        self.cancelled = []
        self.state = {}
        self.cold_until_s = 0.0
        # Further headers of health responses.
        self.health_headers = []
        self._server = create_http_server(self._handle, Limits())
        self._task = None

    async def start(self, silent_s=0.0):
        await self._server.start(self.fleet.transport, self.address, ENDPOINT_PORT)
        self._task = await curio.spawn(self._send_heartbeats, silent_s, daemon=True)

    async def close(self):
        await self._task.cancel()
        await self._server.close()

    async def crash(self, down_s, silent_s=0.0):
        """Cut off all connections, and start again as a new incarnation.

        Its first heartbeat follows `silent_s` seconds after its start.
        """
        await self._task.cancel()
        await self._server.abort()
        await curio.sleep(down_s)
        self.incarnation += 1
        self.sequence = 0
        self._server = create_http_server(self._handle, Limits())
        await self.start(silent_s)

    async def send_heartbeat(self, host=None):
        """Send a heartbeat; return whether any coordinator acknowledged it."""
        self.sequence += 1
        body = {
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "region": REGIONS[self.domain],
            "failure_domain": self.domain,
            "address": f"{self.address}:{ENDPOINT_PORT}",
            "slots": 4,
            "cold_s": max(0.0, self.cold_until_s - time.monotonic()),
            **self.fields,
            **self.state,
        }
        for each in [host] if host else list(self.fleet.coordinators):
            status, _ = await self.fleet.call_api(
                each,
                "POST",
                f"/v1/endpoints/{self.name}/heartbeat",
                msgspec.json.encode(body),
            )
            if status == 200:
                return True
        return False

    async def fall_silent(self):
        """Send no further heartbeats."""
        await self._task.cancel()

    async def become_cold(self, cold_s):
        """Be cold from now on, and tell how long it lasts in each heartbeat."""
        self.cold_until_s = time.monotonic() + cold_s
        await self.send_heartbeat()

    async def _send_heartbeats(self, silent_s=0.0):
        await curio.sleep(silent_s)
        while True:
            await self.send_heartbeat()
            await curio.sleep(0.3)

    async def _handle(self, request, responder):
        if request.path.endswith("/ready"):
            await self.respond(request, responder)
            return
        self.requests.append(request)
        try:
            await self.script(self, request, responder)
        except curio.CancelledError:
            self.cancelled.append(request)
            raise

    async def respond(self, request, responder, status=200, body=b"ok", headers=()):
        given = [(REQUEST_ID, request.headers.get(REQUEST_ID, "")), *headers]
        if request.path == HEALTH_PATH:
            given += self.health_headers
        await responder.respond_whole(status, given, body)

    async def start_stream(self, request, responder):
        headers = [
            (REQUEST_ID, request.headers.get(REQUEST_ID, "")),
            ("content-type", "text/event-stream"),
        ]
        await responder.start(200, headers)


def create_stream_events(first, last):
    return b"".join(b"id: %d\ndata: t%d\n\n" % (i, i) for i in range(first, last + 1))


async def start_serving(fleet, script, endpoints=1, **changes):
    """Start coordinators, a gateway and endpoints; wait until they serve requests."""
    await fleet.start_coordinators()
    await fleet.put_configuration("10.1.0.1", create_configuration(1, **changes))
    await fleet.start_gateway(GATEWAY)
    for number in range(endpoints):
        await fleet.start_endpoint(f"e{number}", "a-1", script)
    await fleet.wait_until_ready(GATEWAY)
    await curio.sleep(0.6)


def run_fleet(function, *args):
    """Run a coroutine function with the timeout of a test."""

    async def main():
        async with curio.timeout_after(HANG_TIMEOUT_S):
            await function(*args)

    curio.run(main)
