"""Silences endpoints beside real processes: they send, read and accept nothing.

By hand: ``python -m tests.silence_play FIRST_SEED COUNT NAME ...``.
"""

import collections
import contextlib
import json
import socket
import sys
import time
from dataclasses import dataclass, field

import curio
import msgspec

from buckthorndeal.http_server import HttpServer, create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import Listener, Transport
from buckthorndeal.transport._base import run_handler
from buckthorndeal.transport._descriptors import Descriptors
from buckthorndeal.transport._streams import create_socket_stream
from tests.change_play import KINDS, ChangePlay, _join_chunks
from tests.control_harness import find_ports
from tests.fleet_harness import REQUEST_ID, create_stream_events
from tests.play_command import parse_seeds, play_all
from tests.stop_play import DEADLINE_S

REGIONS = {"a": 4, "b": 2, "c": 1}
HOST_REGIONS = ("a", "a", "b", "c")
CALLERS = 60
EVENTS = 30
EVENT_S = 0.05
WORK_S = 0.2
OBJECTIVE_S = 0.8
MAX_PAUSE_S = 0.4
WHOLE_STREAM = create_stream_events(0, EVENTS - 1)
ACCEPT_POLL_S = 0.02
# Connections that fill the backlog of a socket that accepts nothing.
FILLERS = 3


@dataclass(frozen=True)
class SilenceOptions:
    """What falls silent, for how long, and what callers send.

    `scope` is the part of a region's endpoints that fall silent together, and
    `streams` the share of streams among the requests.
    """

    silence_s: tuple[float, float] = (1.9, 1.9)
    scope: float = 1.0
    accepts: bool = False
    changes: bool = False
    resumable: bool = True
    streams: float = 0.85
    seconds: float = 14.0


class _SilentTransport(Transport):
    """Transport whose listening sockets accept nothing while they are paused."""

    def __init__(self, inner):
        super().__init__(inner.memory)
        self._inner = inner
        self._socket = None
        self._fillers = []
        self.is_paused = False

    async def connect(self, address, port):
        return await self._inner.connect(address, port)

    async def open_datagrams(self, address, port):
        return await self._inner.open_datagrams(address, port)

    async def listen(self, address, port, handler):
        self._socket = curio.tcp_server_socket(
            address, port, backlog=1024, reuse_address=True
        )
        tasks = set()
        accept_task = await curio.spawn(self._accept, handler, tasks, daemon=True)
        return Listener(port, accept_task, tasks)

    async def pause(self):
        """Leave new connections unanswered: the backlog is full."""
        self.is_paused = True
        await curio.sleep(2 * ACCEPT_POLL_S)
        with self._socket.blocking() as listening:
            address = listening.getsockname()
            listening.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(address)
            self._fillers.append(filler)

    def resume(self):
        """Accept connections again."""
        with self._socket.blocking() as listening:
            listening.listen(1024)
        while self._fillers:
            self._fillers.pop().close()
        self.is_paused = False

    async def _accept(self, handler, tasks):
        async with self._socket:
            while True:
                if self.is_paused:
                    await curio.sleep(ACCEPT_POLL_S)
                    continue
                accepted = await curio.ignore_after(ACCEPT_POLL_S, self._socket.accept)
                if accepted is not None:
                    stream = create_socket_stream(accepted[0], Descriptors())
                    task = await curio.spawn(
                        run_handler, handler, stream, tasks, daemon=True
                    )
                    tasks.add(task)


@dataclass(eq=False)
class _Endpoint:
    """Endpoint that falls silent and goes on."""

    name: str
    region: str
    address: str
    port: int
    transport: _SilentTransport
    silent_until_s: float = 0.0
    server: HttpServer | None = None
    is_killed: bool = False

    async def kill(self):
        """End all connections, listen no more and send no heartbeats."""
        self.is_killed = True
        await self.server.abort()

    async def fall_silent(self, seconds, accepts):
        self.silent_until_s = time.monotonic() + seconds
        if not accepts:
            await self.transport.pause()
        await curio.sleep(self.silent_until_s - time.monotonic())
        if not accepts:
            self.transport.resume()

    async def speak(self):
        """Wait while the endpoint is silent."""
        while (left_s := self.silent_until_s - time.monotonic()) > 0:
            await curio.sleep(left_s)


@dataclass
class SilencePlay(ChangePlay):
    """One coordinator, four gateways in three regions, and seven endpoints."""

    options: SilenceOptions = field(default_factory=SilenceOptions)

    def __post_init__(self):
        super().__post_init__()
        net = self.coordinator.rpartition(".")[0]
        self.hosts = [f"{net}.{10 + number}" for number in range(len(HOST_REGIONS))]
        regions = [name for name, count in REGIONS.items() for _ in range(count)]
        ports = find_ports(len(regions))
        self.endpoints = [
            _Endpoint(
                f"e{number}",
                region,
                f"{net}.{100 + number}",
                ports[number],
                _SilentTransport(self.transport),
            )
            for number, region in enumerate(regions)
        ]

    def list_cut_off(self):
        """Return the orders that ended without a whole answer or a true refusal."""
        return [order for order in self.orders[self.first :] if not _is_answered(order)]

    def list_untrue(self):
        """Return the refused orders that ran, and the unsafe ones that ran twice."""
        return [
            order
            for order in self.orders
            if (order.status == 503 and self.runs[order.order_id])
            or (
                not (order.is_stream and self.options.resumable)
                and self.runs[order.order_id] > 1
            )
        ]

    def count_lost_paths(self):
        """Return how often a host has taken its path for lost."""
        return self.log.count('"endpoint_path_lost"')

    async def _play(self):
        heartbeats = None
        try:
            for endpoint in self.endpoints:
                server = create_http_server(
                    lambda *given, endpoint=endpoint: self._run_at(endpoint, *given),
                    Limits(max_connections=4096),
                )
                await server.start(endpoint.transport, endpoint.address, endpoint.port)
                endpoint.server = server
            for host in self.coordinators:
                self._start_process("coordinator", host)
            for host in self.hosts:
                self._start_process("gateway", host)
            await self._configure()
            heartbeats = await curio.spawn(self._send_heartbeats, daemon=True)
            for host in self.hosts:
                await self._wait_until_served(host)
            await curio.sleep(2.0)
            self.first = len(self.orders)
            await self._change_and_call()
        finally:
            if heartbeats is not None:
                await heartbeats.cancel()
            for endpoint in self.endpoints:
                if endpoint.server is not None and not endpoint.is_killed:
                    await endpoint.server.close()

    async def _change_and_call(self):
        until_s = time.monotonic() + self.options.seconds
        async with curio.TaskGroup() as group:
            for number in range(CALLERS):
                host = self.hosts[number % len(self.hosts)]
                await group.spawn(self._call, host, until_s)
            await group.spawn(self._silence, until_s)
            if self.options.changes:
                await group.spawn(self._change, until_s)

    async def _call(self, host, until_s):
        """Send one order after the other on a connection that is kept."""
        stream = None
        while time.monotonic() < until_s:
            if stream is None:
                stream = await self._open(host)
            order = self._create_order(host, WORK_S)
            order.is_stream = self.rng.random() < self.options.streams
            await self._send_on(stream, order)
            if order.status is None:
                await stream.close()
                stream = None
            await curio.sleep(self.rng.uniform(0.0, 0.1))
        if stream is not None:
            await stream.close()

    async def _change(self, until_s):
        while time.monotonic() < until_s:
            self.version += 1
            content = self._create_configuration()
            await self._call_api("PUT", "/v1/configuration", content)
            await curio.sleep(0.4)

    async def _silence(self, until_s):
        longest_s = self.options.silence_s[1]
        while time.monotonic() + longest_s + 1.0 < until_s:
            await curio.sleep(self.rng.uniform(1.0, 1.5))
            self.silences += 1
            silence_s = self.rng.uniform(*self.options.silence_s)
            region = self.rng.choice("aaab")
            chosen = [each for each in self.endpoints if each.region == region]
            count = max(1, round(self.options.scope * len(chosen)))
            async with curio.TaskGroup() as group:
                for endpoint in self.rng.sample(chosen, count):
                    accepts = self.options.accepts
                    await group.spawn(endpoint.fall_silent, silence_s, accepts)
            await curio.sleep(max(0.0, silence_s - 1.0))

    def _create_configuration(self):
        """Return the next configuration, in which objective and attempts differ."""
        rng = self.rng
        changed = self.version > 1
        routes = [
            {
                "name": kind,
                "host": "x.example",
                "path_prefix": f"/{kind}/",
                "kind": kind,
                "timeout_s": DEADLINE_S,
                "latency_objective_s": rng.choice((0.7, 0.8)) if changed else 0.8,
                "max_pause_s": MAX_PAUSE_S if kind == "stream" else 0.0,
                "priority": 0,
                "services": [{"service": "s", "weight": 1}],
                "max_attempts": self._choose_attempts(kind, changed),
                "resumable": kind == "stream" and self.options.resumable,
            }
            for kind in KINDS
        ]
        services = [{"name": "s", "health_path": "/h", "max_connections": 400}]
        body = {"version": self.version, "routes": routes, "services": services}
        return json.dumps(body).encode()

    def _choose_attempts(self, kind, changed):
        if kind == "non_idempotent" or (
            kind == "stream" and not self.options.resumable
        ):
            return 1
        return self.rng.choice((2, 3)) if changed else 2

    async def _send_heartbeats(self):
        sequence = 0
        while True:
            sequence += 1
            for endpoint in self.endpoints:
                if endpoint.is_killed:
                    continue
                body = {
                    "incarnation": 1,
                    "sequence": sequence,
                    "region": endpoint.region,
                    "failure_domain": f"{endpoint.region}-1",
                    "address": f"{endpoint.address}:{endpoint.port}",
                    "service": "s",
                    "slots": 64,
                    "version": "v1",
                }
                await self._call_api(
                    "POST",
                    f"/v1/endpoints/{endpoint.name}/heartbeat",
                    msgspec.json.encode(body),
                )
            await curio.sleep(0.4)

    async def _run_at(self, endpoint, request, responder):
        await endpoint.speak()
        order_id = request.headers[REQUEST_ID]
        self.runs[order_id] += 1
        if not request.path.startswith("/stream/"):
            await curio.sleep(WORK_S)
            await endpoint.speak()
            await responder.respond_whole(200, [(REQUEST_ID, order_id)], b"done")
            return
        first = int(request.headers.get("last-event-id", -1)) + 1
        await responder.start(200, [(REQUEST_ID, order_id)])
        for number in range(first, EVENTS):
            await endpoint.speak()
            await responder.send(create_stream_events(number, number))
            await curio.sleep(EVENT_S)
        await responder.finish()

    def _create_settings(self, kind, host):
        settings = super()._create_settings(kind, host)
        if kind == "coordinator":
            settings["regions"] = {f"{region}-1": region for region in REGIONS}
        else:
            region = HOST_REGIONS[self.hosts.index(host)]
            settings |= {"region": region, "failure_domain": f"{region}-1"}
        return settings


def _is_answered(order):
    if order.status == 503:
        return True
    if order.status != 200:
        return False
    if not order.is_stream:
        return order.body == b"done"
    return _join_chunks(order.body) == WHOLE_STREAM


SCENARIOS = {
    "short": SilenceOptions(seconds=9.0),
    "region": SilenceOptions(),
    "shorter": SilenceOptions(silence_s=(1.2, 1.9)),
    "changes": SilenceOptions(silence_s=(1.2, 1.9), changes=True),
    "accepting": SilenceOptions(accepts=True),
    "half": SilenceOptions(scope=0.5),
    "whole": SilenceOptions(resumable=False),
    "mixed": SilenceOptions(silence_s=(1.2, 1.9), changes=True, streams=0.5),
}


def describe(play):
    """Return one line on what has come of the orders of a play."""
    orders = play.orders[play.first :]
    cut_off = play.list_cut_off()
    statuses = collections.Counter(order.status for order in orders)
    ended = [
        f"{order.order_id} {'stream' if order.is_stream else 'order'}: {order.status} "
        f"after {order.ended_s - order.sent_s:.3f} s, runs {play.runs[order.order_id]}"
        for order in cut_off
    ]
    return (
        f"seed {play.seed}: {len(orders)} orders, {play.version - 1} changes, "
        f"{play.silences} silences, {play.count_lost_paths()} lost paths, statuses "
        f"{dict(statuses)}, {len(play.list_untrue())} untrue, {len(ended)} cut off: "
        f"{ended[:5]}"
    )


def main():
    """Play the scenarios named on the command line, or all."""
    seeds, names = parse_seeds(sys.argv[1:])
    plays = (
        SilencePlay(f"{name}-{seed}", SCENARIOS[name])
        for seed in seeds
        for name in names or SCENARIOS
    )
    play_all(plays, describe)


if __name__ == "__main__":
    main()
