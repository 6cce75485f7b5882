"""Plays workspaces, quotas and slow endpoints alongside faults of real processes.

By hand: ``python -m tests.soak_play SEED ...``.
"""

import collections
import contextlib
import json
import math
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import curio
from curio.errors import CancelledError

from buckthorndeal.http_client import create_http_pool
from buckthorndeal.quota import QuotaOptions
from buckthorndeal.quota._options import DRIFT_S, LEASE_S
from tests.client_play import HEARTBEAT, ClientOptions, create_parts
from tests.fleet_harness import REQUEST_ID
from tests.name_play import REQUESTS
from tests.raw_caller import read_answer
from tests.silence_play import SilencePlay, _is_answered
from tests.stop_play import Order
from tests.workspace_harness import APPLY_S, KEY, NAME

QUOTA = QuotaOptions(window_s=3.0, overage=0.1, slack=10.0)
COORDINATOR_REGIONS = ("a", "b", "c")
GATEWAYS = 3
# Far longer than any answer takes, so that only a missing one is found.
ANSWER_TIMEOUT_S = 30.0
STATUSES = (200, 401, 429, 502, 503, 504)
# These say that the request has not run and never will.
NOT_RUN_STATUSES = (401, 429, 503)
REMOVED_KEY = "k-acme-removed"
UNKNOWN_KEY = "k-unknown"
TOKENS = 50
LOWERED = "bell"
LOWERED_RATE = 4.0
WORKSPACES = {
    "acme": {"keys": ["k-acme"], "rate_per_s": 60.0, "home_regions": ["a"]},
    "bell": {"keys": ["k-bell"], "rate_per_s": 16.0},
    "corp": {
        "keys": ["k-corp"],
        "unit": "tokens",
        "default_tokens": TOKENS,
        "rate_per_s": 500.0,
        "burst": 500.0,
    },
}
# Callers per host and key, and the longest pause between two of their requests.
CALLERS = {
    "k-acme": (2, 0.3),
    "k-bell": (8, 0.1),
    "k-corp": (4, 0.1),
    REMOVED_KEY: (1, 0.2),
    UNKNOWN_KEY: (1, 0.5),
}
WORK_S = (0.01, 0.2)
SENT_KINDS = ("idempotent", "non_idempotent", "idempotent", "non_idempotent", "stream")
SLOW_S = 0.5
FAULTS = ("change", "slow", "kill_endpoint", "cut_endpoint", "kill", "freeze")
LAST_FAULT_S = 3.5
# What each process is told it may use; a crowd of this size takes all places of a port.
MEMORY_BYTES = 96_000_000
CROWD = 150
CROWD_S = 2.0
CROWD_MANNERS = ("small", "length", "head", "idle")
# What else is named to a coordinator, and at which port.
NAMED_PORTS = {"directory": "directory", "heartbeats": "api", "leaves": "api"}
RECONNECT_S = 0.1
RESTART_GAP_S = 0.25


@dataclass
class SoakOrder(Order):
    """An order with the key of its caller and the kind of its route."""

    kind: str = "idempotent"
    key: str = "k-acme"


@dataclass(frozen=True)
class Run:
    """An order that an endpoint has read."""

    order: SoakOrder
    read_s: float
    workspace: str | None
    region: str
    shows_key: bool


@dataclass
class SoakPlay(SilencePlay):
    """Three coordinators, three gateways and seven endpoints of three regions."""

    answer_timeout_s: float = ANSWER_TIMEOUT_S
    arrivals: list[Run] = field(default_factory=list)
    slow: set[str] = field(default_factory=set)
    ended: list[str] = field(default_factory=list)
    unserved: list[str] = field(default_factory=list)
    changed_s: float | None = None
    is_over: bool = False
    # How often the process of each host was started.
    start_counts: collections.Counter = field(default_factory=collections.Counter)
    # Held by whoever ends a process and starts it again.
    process_lock: curio.Lock = field(default_factory=curio.Lock)

    def __post_init__(self):
        super().__post_init__()
        net = self.coordinator.rpartition(".")[0]
        self.coordinators = [f"{net}.{1 + n}" for n in range(len(COORDINATOR_REGIONS))]
        self.api_host = self.coordinators[0]
        self.hosts = self.hosts[:GATEWAYS]
        self.by_id = {}
        rng = self.rng
        self.times_s = {fault: rng.uniform(0.5, LAST_FAULT_S) for fault in FAULTS}
        self.kills_leader = rng.random() < 0.5
        self.killed_gateway = rng.choice(self.hosts)
        self.frozen = rng.choice(self.hosts + self.coordinators)
        self.freeze_s = rng.uniform(1.0, 2.5)
        # Of its own, so that the other faults of a seed stay as they are.
        crowd_rng = random.Random(f"crowd-{self.seed}")
        self.times_s["crowd"] = crowd_rng.uniform(0.5, LAST_FAULT_S)
        self.crowded = crowd_rng.choice(self.hosts + self.coordinators)
        self.crowd_manner = crowd_rng.choice(CROWD_MANNERS)
        # What the crowd of a coordinator names, besides; drawn last, as above.
        self.named = crowd_rng.choice(tuple(NAMED_PORTS))
        self.times_s["restart"] = crowd_rng.uniform(0.5, LAST_FAULT_S)
        # One endpoint of the home region stays sound.
        self.targets = rng.sample(self.endpoints[:-1], 3)

    # What is checked

    def list_violations(self):
        """Return the broken rules, one text each."""
        is_changed = self.changed_s is not None
        return [
            *([] if is_changed else ["no change was acknowledged"]),
            *self._check_answers(),
            *self._check_runs(),
            *self._check_removed_key(),
            *self._check_quotas(),
            *self._check_votes(),
            *(f"{host} ended by itself" for host in self.ended),
            *(f"not served at the end: {text}" for text in self.unserved),
        ]

    def _check_votes(self):
        """Check that no coordinator gives up a vote; one of three may lose its disk."""
        return [
            f"a vote was given up: {line}"
            for host in self.coordinators
            for line in self.logs[host].splitlines()
            if '"host_leaves"' in line and '"removed":true' in line
        ]

    def _check_answers(self):
        for order in self.orders:
            runs = self.runs[order.order_id]
            if order.status is None:
                if order.failure == "TaskTimeout":
                    yield f"{order} has no answer"
            elif order.status not in STATUSES:
                yield f"{order} has an unexpected status"
            elif order.status in NOT_RUN_STATUSES and runs:
                yield f"{order} was refused and ran {runs} times"
            elif order.status == 200 and not _is_answered(order):
                yield f"{order} has an incomplete answer"
            if order.kind == "non_idempotent" and runs > 1:
                yield f"{order} ran {runs} times"
            known = order.key not in (UNKNOWN_KEY, REMOVED_KEY)
            if order.status == 401 and known:
                yield f"{order} has a valid key and was refused"
            if order.key == UNKNOWN_KEY and runs:
                yield f"{order} has an unknown key and ran"

    def _check_runs(self):
        for run in self.arrivals:
            name = _get_workspace(run.order.key)
            if run.shows_key:
                yield f"{run} shows a key"
            if run.workspace != name:
                yield f"{run} has the wrong workspace"
            homes = WORKSPACES.get(name, {}).get("home_regions")
            if homes and run.region not in homes:
                yield f"{run} is outside the home regions"

    def _check_removed_key(self):
        """Check that no host accepts the key once it has refused it."""
        refused_s = self._find_refusals()
        if len(refused_s) < len(self.hosts):
            yield "the removed key was not refused by all hosts"
        for order in self.orders:
            is_late = order.sent_s > refused_s.get(order.host, order.sent_s)
            if order.key == REMOVED_KEY and is_late and self.runs[order.order_id]:
                yield f"{order} ran with a removed key"

    def _check_quotas(self):
        # Grants of the former quota may be valid for this long.
        binds_s = self._get_in_force_s() + LEASE_S + DRIFT_S
        for name, fields in WORKSPACES.items():
            limits = [(fields["rate_per_s"], 0.0)]
            if name == LOWERED:
                limits.append((LOWERED_RATE, binds_s))
            for rate, since_s in limits:
                used = self.count_most(name, since_s)
                bound = QUOTA.compute_bound(rate, fields.get("burst", 0.0))
                if used > bound:
                    yield f"{name} used {used} of {bound} units in a window"

    def count_most(self, name, since_s=0.0):
        """Return the most units that surely fell into one window.

        These are the requests that were sent and read by an endpoint within it, so
        that a pause of the callers' process brings no more units into a window.
        """
        runs = sorted(
            (run.order.sent_s, run.read_s)
            for run in self.arrivals
            if run.workspace == name and run.order.sent_s >= since_s
        )
        units = TOKENS if "unit" in WORKSPACES[name] else 1
        return units * max(
            (
                sum(read_s <= start_s + QUOTA.window_s for _, read_s in runs[first:])
                for first, (start_s, _) in enumerate(runs)
            ),
            default=0,
        )

    def count_late_runs(self):
        """Return the runs with the removed key that were sent 4 s after its removal.

        A host that is frozen at that time, or lacks the processor, may be late.
        """
        if self.changed_s is None:
            return 0
        late_s = self.changed_s + APPLY_S
        return sum(
            run.order.key == REMOVED_KEY and run.order.sent_s > late_s
            for run in self.arrivals
        )

    def _find_refusals(self):
        """Return when each host is first known to have refused the removed key."""
        refused_s = {}
        for order in self.orders:
            if order.key == REMOVED_KEY and order.status == 401:
                known_s = refused_s.get(order.host, order.ended_s)
                refused_s[order.host] = min(known_s, order.ended_s)
        return refused_s

    def _get_in_force_s(self):
        """Return when the changed configuration is known to be in force everywhere.

        It is infinite if the change was not acknowledged.
        """
        if self.changed_s is None:
            return math.inf
        seen_s = max(self._find_refusals().values(), default=0.0)
        return max(self.changed_s + APPLY_S, seen_s)

    # Callers

    async def _change_and_call(self):
        async with curio.TaskGroup() as group:
            for host in self.hosts:
                for key, (count, pause_s) in CALLERS.items():
                    for _ in range(count):
                        await group.spawn(self._call, host, key, pause_s)
            await group.spawn(self._disturb)
        for error in group.exceptions:
            # The others are cancelled by the first failure.
            if not isinstance(error, (CancelledError, type(None))):
                raise error
        await self._check_end()

    async def _call(self, host, key, pause_s):
        """Send one order after the other, most of them on a kept connection."""
        stream = None
        while not self.is_over:
            await curio.sleep(self.rng.uniform(0.0, pause_s))
            if stream is None:
                try:
                    stream = await self._open(host)
                except OSError:
                    continue
            order = self._create_order(host, self.rng.choice(WORK_S))
            order.key = key
            order.kind = self.rng.choice(SENT_KINDS)
            order.is_stream = order.kind == "stream"
            await self._send_on(stream, order)
            if order.status is None or order.ends_connection:
                await stream.close()
                stream = None
        if stream is not None:
            await stream.close()

    async def _check_end(self):
        """Note which processes have ended, and who is not served by some host."""
        for host in self.hosts:
            for name, fields in WORKSPACES.items():
                try:
                    await self._wait_until_served(host, fields["keys"][0])
                except AssertionError:
                    self.unserved.append(f"{name} by {host}")
        self.ended += [
            host
            for host, process in self.processes.items()
            if process.poll() is not None
        ]

    async def _wait_until_served(self, host, key="k-acme"):
        async def is_served():
            try:
                stream = await self._open(host)
            except OSError:
                return False
            order = self._create_order(host, 0.0)
            order.key = key
            await self._send_on(stream, order)
            await stream.close()
            return order.status == 200

        await self._wait_until(is_served, f"{host} serves {key}")

    def _create_order(self, host, work_s):
        order = SoakOrder(f"o{len(self.orders)}", host, work_s)
        self.orders.append(order)
        self.by_id[order.order_id] = order
        return order

    def _get_kind(self, order):
        return order.kind

    def _list_header_lines(self, order):
        # A caller can't choose its workspace.
        return [f"{KEY}: {order.key}", f"{NAME}: forged"]

    async def _run_at(self, endpoint, request, responder):
        order = self.by_id[request.headers[REQUEST_ID]]
        received = f"{request.path} {request.headers} {request.body}"
        self.arrivals.append(
            Run(
                order,
                time.monotonic(),
                request.headers.get(NAME),
                endpoint.region,
                any(key in received for key in CALLERS),
            )
        )
        if endpoint.name in self.slow:
            await curio.sleep(SLOW_S)
        await super()._run_at(endpoint, request, responder)

    # Changes and faults

    async def _disturb(self):
        begun_s = time.monotonic()
        actions = {
            "change": self._remove_key_and_lower_quota,
            "slow": self._slow_endpoint,
            "kill_endpoint": self.targets[1].kill,
            "cut_endpoint": self._cut_endpoint,
            "kill": self._kill_process,
            "freeze": self._freeze_process,
            "crowd": self._crowd_process,
            "restart": self._restart_coordinators,
        }
        async with curio.TaskGroup() as group:
            for name, action in actions.items():
                await group.spawn(_run_at_time, begun_s + self.times_s[name], action)
        for error in group.exceptions:
            if error is not None:
                raise error

        async def is_in_force():
            return len(self._find_refusals()) == len(self.hosts)

        if self.changed_s is None:
            self.is_over = True
            return
        # Without it, `list_violations` names the fault.
        with contextlib.suppress(AssertionError):
            await self._wait_until(is_in_force, "the removed key is refused")
        # One whole window and a part of the next one under the lower quota.
        end_s = self._get_in_force_s() + LEASE_S + DRIFT_S + 1.2 * QUOTA.window_s
        await curio.sleep(max(0.0, end_s - time.monotonic()))
        self.is_over = True

    async def _remove_key_and_lower_quota(self):
        self.version += 1
        content = self._create_configuration()
        # Without an acknowledgement, `list_violations` names the fault.
        with contextlib.suppress(AssertionError):
            await self._wait_until(
                lambda: self._call_api("PUT", "/v1/configuration", content), "changed"
            )
            self.changed_s = time.monotonic()

    async def _slow_endpoint(self):
        self.slow.add(self.targets[0].name)

    async def _cut_endpoint(self):
        """Let nothing pass between the hosts and an endpoint."""
        await self.targets[2].fall_silent(1.5, accepts=False)

    async def _kill_process(self):
        host = self._find_leader() if self.kills_leader else self.killed_gateway
        async with self.process_lock:
            process = self.processes[host]
            if process.poll() is not None:
                self.ended.append(host)
            process.kill()
            process.wait()
            await curio.sleep(1.0)
            kind = "coordinator" if host in self.coordinators else "gateway"
            self._start_process(kind, host)

    async def _restart_coordinators(self):
        """Stop the coordinators in turn, and start each again at once."""
        for host in self.coordinators:
            async with self.process_lock:
                await self._wait_until_started(host)
                process = self.processes[host]
                process.send_signal(signal.SIGTERM)
                while process.poll() is None:
                    await curio.sleep(0.05)
                if process.returncode:
                    self.ended.append(host)
                self._start_process("coordinator", host)
            await curio.sleep(RESTART_GAP_S)

    def _start_process(self, kind, host):
        super()._start_process(kind, host)
        self.start_counts[host] += 1

    async def _wait_until_started(self, host):
        """Wait until the present process of a coordinator handles signals."""

        async def has_started():
            log = (self.directory / f"{host}.log").read_text(errors="replace")
            return log.count('"coordinator_started"') >= self.start_counts[host]

        await self._wait_until(has_started, f"{host} has started")

    async def _freeze_process(self):
        self.processes[self.frozen].send_signal(signal.SIGSTOP)
        await curio.sleep(self.freeze_s)
        self.processes[self.frozen].send_signal(signal.SIGCONT)

    async def _crowd_process(self):
        """Let clients that do not behave call one process."""
        port = "api" if self.crowded in self.coordinators else "listen"
        clients = ClientOptions("", (port,), self.crowd_manner, HEARTBEAT)
        async with curio.TaskGroup() as group:
            for _ in range(CROWD):
                await group.spawn(
                    curio.ignore_after, CROWD_S, self._misbehave, clients, port
                )
            if self.crowded in self.coordinators:
                await group.spawn(curio.ignore_after, CROWD_S, self._name_things)

    async def _name_things(self):
        """Send whole requests, each of which names what no other has named."""
        port = self.ports[NAMED_PORTS[self.named]]
        number = 0
        while True:
            try:
                stream = await self.transport.connect(self.crowded, port)
                while True:
                    number += 1
                    await stream.sendall(REQUESTS[self.named](number))
                    await read_answer(stream)
            except (OSError, EOFError):
                # It was refused, or the process does not run.
                await curio.sleep(RECONNECT_S)

    async def _misbehave(self, clients, port):
        """Send what never becomes a whole request, and stay."""
        try:
            stream = await self.transport.connect(self.crowded, self.ports[port])
        except OSError:
            return
        try:
            for part in create_parts(clients, port):
                await stream.sendall(part)
            await curio.sleep(CROWD_S)
        except OSError:
            # It was refused.
            return
        finally:
            await stream.close()

    def _find_leader(self):
        """Return the coordinator that has last logged that it leads."""
        terms = {}
        for host in self.coordinators:
            for line in (self.directory / f"{host}.log").read_text().splitlines():
                if '"control_role"' in line and '"role":"leader"' in line:
                    terms[host] = json.loads(line)["term"]
        return max(terms, key=terms.get)

    # Processes

    def _create_configuration(self):
        body = json.loads(super()._create_configuration())
        is_changed = self.version > 1
        workspaces = {name: {"name": name, **WORKSPACES[name]} for name in WORKSPACES}
        if is_changed:
            workspaces[LOWERED]["rate_per_s"] = LOWERED_RATE
        else:
            keys = workspaces["acme"]["keys"]
            workspaces["acme"]["keys"] = [*keys, REMOVED_KEY]
        body["workspaces"] = list(workspaces.values())
        return json.dumps(body).encode()

    async def _call_api(self, method, path, body):
        """Call a coordinator, and the next one after a failure."""
        pool = create_http_pool(
            self.transport, self.api_host, self.ports["api"], max_connections=1
        )
        try:
            async with curio.timeout_after(2.0):
                status, _, _ = await pool.fetch(method, path, [], body)
            if status == 200:
                return True
        except (Exception, curio.TaskTimeout):
            pass
        finally:
            await pool.close()
        following = self.coordinators.index(self.api_host) + 1
        self.api_host = self.coordinators[following % len(self.coordinators)]
        return False

    def _create_settings(self, kind, host):
        settings = super()._create_settings(kind, host)
        settings["memory_bytes"] = MEMORY_BYTES
        settings["quota"] = {
            "window_s": QUOTA.window_s,
            "overage": QUOTA.overage,
            "slack": QUOTA.slack,
        }
        if kind == "coordinator":
            region = COORDINATOR_REGIONS[self.coordinators.index(host)]
            settings |= {"region": region, "failure_domain": f"{region}-1"}
        return settings


async def _run_at_time(at_s, action):
    await curio.sleep(max(0.0, at_s - time.monotonic()))
    await action()


def _get_workspace(key):
    if key == REMOVED_KEY:
        return "acme"
    return next((name for name in WORKSPACES if key in WORKSPACES[name]["keys"]), None)


def describe(play):
    """Return one line on a play, and the first violations."""
    statuses = collections.Counter(order.status for order in play.orders)
    used = {name: play.count_most(name) for name in WORKSPACES}
    lowered = play.count_most(LOWERED, play._get_in_force_s() + LEASE_S + DRIFT_S)
    violations = play.list_violations()
    killed = "leader" if play.kills_leader else "gateway"
    frozen = "coordinator" if play.frozen in play.coordinators else "gateway"
    return (
        f"seed {play.seed}: killed a {killed}, froze a {frozen} for "
        f"{play.freeze_s:.1f} s, crowd ({play.crowd_manner}, {play.named}) at "
        f"{play.crowded}, {len(play.orders)} orders, statuses {dict(statuses)}, "
        f"{len(play.arrivals)} runs, most in a window {used}, {LOWERED} lowered "
        f"{lowered} of {QUOTA.compute_bound(LOWERED_RATE, 0.0):.1f}, "
        f"{play.count_late_runs()} runs with the removed key after {APPLY_S} s, "
        f"{len(violations)} violations: {violations[:5]}"
    )


def main():
    """Play the seeds named on the command line; return how many broke a rule."""
    failures = 0
    for seed in sys.argv[1:]:
        play = SoakPlay(seed)
        play.play()
        print(describe(play), flush=True)
        if play.list_violations():
            failures += 1
            print(f"seed {seed}: logs in {keep_logs(play)}", flush=True)
    return failures


def keep_logs(play):
    """Write the orders and the logs of a play to files; return their directory."""
    directory = Path(tempfile.mkdtemp(prefix=f"soak-{play.seed}-"))
    begun_s = min((order.sent_s for order in play.orders), default=0.0)
    lines = [
        f"{order.sent_s - begun_s:.3f} {order.ended_s - begun_s:.3f} {order}\n"
        for order in play.orders
    ]
    (directory / "orders.txt").write_text("".join(lines))
    for host, log in play.logs.items():
        (directory / f"{host}.log").write_text(log)
    return directory


if __name__ == "__main__":
    sys.exit(main() > 0)
