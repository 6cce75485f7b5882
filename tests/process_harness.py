"""A deployment of processes on loopback, with endpoints in the test's process."""

import collections
import inspect
import itertools
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import curio
import msgspec

from buckthorndeal import operations
from buckthorndeal.authentication import hash_key
from buckthorndeal.errors import BuckthorndealError, RequestError, Verdict
from buckthorndeal.http_client import create_http_pool
from buckthorndeal.ledger import get_replica_host
from buckthorndeal.settings import PeerAddress
from buckthorndeal.standin import StandinSettings, create_standin
from buckthorndeal.standin._plain import StandinPlainService
from buckthorndeal.transport import create_socket_transport
from tests.control_harness import ROOT, find_ports

# Maximum time that a test waits for a state; not a limit of the product.
WAIT_S = 30.0
POLL_S = 0.05
ENTRY_REGIONS = {"e1": "r1", "e2": "r1", "e3": "r2", "e4": "r3"}
CONTROL_REGIONS = {"c1": "r1", "c2": "r2", "c3": "r3"}
HOSTS = {**CONTROL_REGIONS, **ENTRY_REGIONS}
WORKSPACES = {"w1": "r1", "w2": "r2", "w3": "r3"}
ENDPOINTS_PER_REGION = 2
# Long enough for a failure to happen while a booking is running.
SERVICE_S = 0.03
# Longer than `DRAIN_NOTICE_S`.
SLOW_SERVICE_S = 1.5
SLOW_PATH = "/book/slow"
DRAIN_NOTICE_S = 0.5
# A caller closes its connection after this time and resends through another host.
ATTEMPT_TIMEOUT_S = 3.0
TEAM_KEY = "team-key"
SECTIONS = {
    "platform": {
        "services": {
            "desk": {
                "kind": "plain",
                "default_deadline_s": 5,
                "non_idempotent": [{"method": "POST", "path_prefix": "/book"}],
            }
        },
        "regions": {
            region: {"home": f"home-{region}", "failure_domains": [f"{region}-1"]}
            for region in sorted(set(ENTRY_REGIONS.values()))
        },
    },
    "accounts": {
        "workspaces": {
            name: {
                "key_hashes": [hash_key(f"key-{name}")],
                "home_region": region,
                "requests_per_s": 10_000,
                "burst": 10_000,
                "concurrency": 1_000,
            }
            for name, region in WORKSPACES.items()
        }
    },
    "support": {},
    "teams": {
        "teams": {
            "all": {
                "key_hashes": [hash_key(TEAM_KEY)],
                "sections": ["teams", "platform", "accounts", "support"],
            }
        }
    },
}


class CountingService(StandinPlainService):
    """Counts executions by key when a request arrives, and responds after a pause."""

    def __init__(self, executions):
        super().__init__(slots=256)
        self.slow_lookups = 0
        self._executions = executions

    async def handle(self, request, responder):
        if request.path == "/cancel":
            await responder.respond_json(200, {})
            return
        is_slow = "slow" in request.path
        if request.method == "POST":
            key = msgspec.json.decode(request.body)["key"]
            self._executions[key] += 1
            body = {"key": key, "execution": self._executions[key]}
        else:
            body = {"path": request.path}
            self.slow_lookups += is_slow
        await curio.sleep(SLOW_SERVICE_S if is_slow else SERVICE_S)
        request_id = request.headers["buckthorndeal-request-id"]
        headers = [("buckthorndeal-request-id", request_id)]
        await responder.respond_json(200, body, headers)


class Deployment:
    """Control hosts and entry hosts as processes; endpoints in this process."""

    def __init__(self, directory):
        self.directory = Path(directory)
        ports = iter(find_ports(2 * len(HOSTS)))
        self.http_ports = {host: next(ports) for host in HOSTS}
        self.peer_ports = {host: next(ports) for host in HOSTS}
        self.processes = {}
        self.transport = create_socket_transport()
        self.executions = collections.Counter()
        self.standins = []
        self._probes = itertools.count()
        document = self.directory / "document"
        document.mkdir()
        for name, content in SECTIONS.items():
            (document / f"{name}.jsonc").write_text(json.dumps(content))

    @property
    def slow_lookups(self):
        """Number of slow lookups that have reached an endpoint."""
        return sum(standin.backend.slow_lookups for standin in self.standins)

    def write_settings(self, host):
        is_control = host in CONTROL_REGIONS
        controls = [
            {"host": each, "port": self.peer_ports[each]} for each in CONTROL_REGIONS
        ]
        settings = {
            "host": host,
            "region": HOSTS[host],
            "failure_domain": f"{HOSTS[host]}-1",
            "listen": {"port": self.http_ports[host]},
            "peer_listen": {"port": self.peer_ports[host]},
            "peer_keys": ["00112233445566778899aabbccddeeff"],
            "data_directory": str(self.directory / host),
        }
        if is_control:
            settings |= {"voters": controls, "initial_document": "document"}
        else:
            seeds = [{"port": self.peer_ports[each]} for each in ENTRY_REGIONS]
            settings |= {
                "control_hosts": controls,
                "seeds": seeds,
                "drain_notice_s": DRAIN_NOTICE_S,
            }
        file = self.directory / f"{host}.jsonc"
        file.write_text(json.dumps(settings))
        return file

    def start_process(self, host):
        kind = "control" if host in CONTROL_REGIONS else "entry"
        module = f"buckthorndeal.command_{kind}"
        file = self.write_settings(host)
        with open(self.directory / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, "-m", module, f"--config={file}"],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )

    def signal(self, host, number):
        self.processes[host].send_signal(number)

    def kill(self, host):
        process = self.processes.pop(host)
        process.kill()
        process.wait()

    async def wait_for_exit(self, host):
        process = self.processes[host]
        await self.wait_until(lambda: process.poll() is not None, f"end of {host}")
        return self.processes.pop(host).returncode

    async def start(self):
        for host in HOSTS:
            self.start_process(host)
        for host in ENTRY_REGIONS:
            await self.wait_until_ready(host)
        for region in sorted(set(ENTRY_REGIONS.values())):
            hosts = [each for each in ENTRY_REGIONS if ENTRY_REGIONS[each] == region]
            addresses = tuple(("127.0.0.1", self.http_ports[each]) for each in hosts)
            for number in range(ENDPOINTS_PER_REGION):
                settings = StandinSettings(
                    f"{region}-desk-{number}", "desk", region, f"{region}-1", addresses
                )
                service = CountingService(self.executions)
                standin = create_standin(settings, service, self.transport)
                self.standins.append(standin)
                await standin.start()
        await self.wait_for_full_view()
        await self.wait_until_served(ENTRY_REGIONS)

    async def restart_stopped_hosts(self):
        """Restart or resume stopped hosts, and wait until all hosts serve."""
        for host in HOSTS:
            if host not in self.processes or self.processes[host].poll() is not None:
                self.start_process(host)
            self.signal(host, signal.SIGCONT)
        await self.wait_until_served(ENTRY_REGIONS)
        await self.wait_for_full_view()

    async def close(self):
        for standin in self.standins:
            await standin.close()
        for host in tuple(self.processes):
            self.kill(host)

    async def wait_until(self, check, what):
        """Poll a function or coroutine function until it returns a true value."""
        deadline_s = time.monotonic() + WAIT_S
        while time.monotonic() < deadline_s:
            value = check()
            if inspect.isawaitable(value):
                value = await value
            if value:
                return value
            await curio.sleep(POLL_S)
        raise AssertionError(f"not within {WAIT_S} s: {what}")

    async def fetch(self, host, method, target, headers=(), body=b""):
        """Send one request on a new connection; return status and body."""
        pool = create_http_pool(self.transport, "127.0.0.1", self.http_ports[host], 1)
        try:
            async with curio.timeout_after(ATTEMPT_TIMEOUT_S):
                status, _, answer = await pool.fetch(
                    method, target, list(headers), body
                )
            return status, answer
        except curio.TaskTimeout:
            raise RequestError(
                "timeout",
                504,
                f"no response within {ATTEMPT_TIMEOUT_S} s",
                Verdict.MAY_HAVE_RUN,
            ) from None
        finally:
            await pool.close()

    async def book(self, host, workspace, key, path="/book"):
        headers = [
            ("authorization", f"Bearer key-{workspace}"),
            ("idempotency-key", key),
        ]
        body = msgspec.json.encode({"key": key})
        return await self.fetch(host, "POST", f"/services/desk{path}", headers, body)

    async def look_up(self, host, workspace, item="item"):
        headers = [("authorization", f"Bearer key-{workspace}")]
        return await self.fetch(host, "GET", f"/services/desk/{item}", headers)

    async def read_status(self):
        """Return the status that the control leader reports, or None."""
        addresses = tuple(
            PeerAddress(host=host, port=self.http_ports[host])
            for host in CONTROL_REGIONS
        )
        client = operations.create_control_client(
            self.transport, addresses, TEAM_KEY, ATTEMPT_TIMEOUT_S
        )
        try:
            statuses = await operations.list_status(client)
        except (BuckthorndealError, OSError):
            return None
        finally:
            await client.close()
        leaders = [each for each in statuses.values() if each and each.members]
        return max(leaders, key=lambda each: each.term, default=None)

    async def find_leader(self):
        status = await self.wait_until(self.read_status, "a control leader")
        return status.host

    async def read_view(self):
        """Return primary and backup of the claims of r1, the region with two hosts."""
        status = await self.read_status()
        for view in status.views if status else ():
            if view.region == "r1" and view.primary:
                return get_replica_host(view.primary), view.backup and get_replica_host(
                    view.backup
                )
        return None

    async def wait_for_full_view(self):
        """Wait until r1 has a primary and a backup, and return both."""

        async def read():
            view = await self.read_view()
            return view if view and view[1] else None

        return await self.wait_until(read, "primary and backup")

    def require_running(self, host):
        """Fail with the end of the host's log if its process has ended by itself."""
        status = self.processes[host].poll()
        if status is not None:
            log = (self.directory / f"{host}.log").read_text()
            raise AssertionError(f"{host} ended with status {status}: {log[-500:]}")

    async def wait_until_ready(self, host):
        async def is_ready():
            self.require_running(host)
            try:
                return (await self.fetch(host, "GET", "/readyz"))[0] == 200
            except RequestError:
                return False

        await self.wait_until(is_ready, f"{host} is ready")

    async def wait_until_served(self, hosts):
        """Wait until each host serves lookups and bookings of all workspaces."""
        async with curio.TaskGroup() as group:
            for host, workspace in itertools.product(hosts, WORKSPACES):
                await group.spawn(self._wait_until_host_serves, host, workspace)
        raise_failure(group)

    async def _wait_until_host_serves(self, host, workspace):
        async def is_served():
            key = f"probe-{next(self._probes)}"
            try:
                looked_up = await self.look_up(host, workspace)
                booked = await self.book(host, workspace, key)
            except RequestError:
                return False
            return looked_up[0] == 200 and booked[0] == 200

        await self.wait_until(is_served, f"{host} serves {workspace}")


def raise_failure(group):
    """Raise the first error of a finished task group, which does not raise it."""
    for error in group.exceptions:
        if error is not None:
            raise error
