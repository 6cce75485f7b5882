"""Stops gateways as real processes while callers use connections that they keep.

By hand: ``python -m tests.stop_play FIRST_SEED COUNT``.
"""

import collections
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import curio
import msgspec

from buckthorndeal.http_client import create_http_pool
from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import create_socket_transport
from tests.control_harness import ROOT, find_ports
from tests.fleet_harness import (
    REQUEST_ID,
    create_configuration,
    create_stream_events,
)
from tests.play_command import parse_seeds, play_all
from tests.raw_caller import read_response

PORTS = ("listen", "ready_listen", "forward_listen", "peer_listen", "api", "directory")
# Maximum time that a play waits for a state; no requirement on the product.
WAIT_S = 40.0
DRAIN = {
    "drain_notice_s": 0.4,
    "drain_stream_s": 0.8,
    "drain_alone_s": 1.6,
    "drain_timeout_s": 2.4,
}
# Longest time after its signal at which a host must have exited.
GRACE_S = 4.0
DEADLINE_S = 8.0
STREAM_EVENTS = 10
# A host may begin its drain this much later than its signal is sent.
STREAM_SLACK_S = 0.1


@dataclass
class Order:
    """An order of a caller: when it was sent, and what its connection brought.

    `status` is None if the connection ended before a complete answer, with
    `failure`. `ends_connection` says whether the answer announced that its connection
    ends, and `idle_s` for how long the caller had not used it, None if never. The
    events of a stream are spread over `work_s`.
    """

    order_id: str
    host: str
    work_s: float
    is_stream: bool = False
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int | None = None
    body: bytes = b""
    ends_connection: bool = False
    idle_s: float | None = None
    failure: str = ""


@dataclass
class StopOptions:
    """What a play does to the hosts and what its callers send.

    `gap_s` is the time between the stops of the two hosts, `kept` the number of idle
    connections to each host when it is stopped, and `signals` are sent to each host
    one after the other, 0.1 s apart. `streams` is the share of the kept connections
    that are used for a stream.
    """

    gap_s: float = 0.3
    kept: int = 250
    work_s: tuple[float, ...] = (0.02,)
    homes: tuple[str, ...] = ("a",)
    signals: tuple[int, ...] = (signal.SIGTERM,)
    stopped: int = 2
    new_connections_s: float = 0.02
    streams: float = 0.0


@dataclass
class StopPlay:
    """One coordinator, two gateways of one region as processes, and an endpoint."""

    seed: object
    options: StopOptions
    orders: list[Order] = field(default_factory=list)
    runs: collections.Counter = field(default_factory=collections.Counter)
    stopped_s: dict[str, float] = field(default_factory=dict)
    exited_s: dict[str, float] = field(default_factory=dict)
    answer_timeout_s: float = DEADLINE_S + 1.0

    def __post_init__(self):
        self.rng = random.Random(f"stop-{self.seed}")
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.coordinator = f"{net}.1"
        self.coordinators = [self.coordinator]
        self.hosts = [f"{net}.{10 + number}" for number in range(2)]
        self.endpoint = f"{net}.100"
        self.ports = dict(zip(PORTS, find_ports(len(PORTS)), strict=True))
        self.endpoint_port = find_ports(1)[0]
        self.transport = create_socket_transport()
        self.processes = {}

    def play(self):
        """Run the play; return the orders that ran and ended without an answer."""
        with tempfile.TemporaryDirectory() as directory:
            self.directory = Path(directory)
            try:
                curio.run(self._play)
            finally:
                self.logs = {
                    file.stem: file.read_text(errors="replace")
                    for file in sorted(self.directory.glob("*.log"))
                }
                self.log = "".join(self.logs.get(host, "") for host in self.hosts)
                for process in self.processes.values():
                    process.kill()
                    process.wait()
        return self.list_lost()

    def list_lost(self):
        """Return the orders that an endpoint was given and that got no answer.

        A stream that was sent in time may be cut off when its host stops.
        """
        return [
            order
            for order in self.orders
            if order.status is None
            and self.runs[order.order_id]
            and not self.is_excused(order)
        ]

    def is_excused(self, order):
        """Return whether an order is a stream of which the host could not see the end.

        It was sent before new streams are refused, and ended when the host stopped.
        """
        end_s = order.ended_s - self.stopped_s.get(order.host, order.ended_s)
        return (
            order.is_stream
            and self.get_signal_age_s(order) <= DRAIN["drain_stream_s"] + STREAM_SLACK_S
            and end_s >= DRAIN["drain_timeout_s"]
        )

    def get_signal_age_s(self, order):
        """Return the time from the first signal of its host to an order."""
        return order.sent_s - self.stopped_s.get(order.host, 0.0)

    def list_untrue(self):
        """Return the orders that were told ``not run`` and ran, or ran twice."""
        return [
            order
            for order in self.orders
            if self.runs[order.order_id] > 1
            or (order.status == 503 and self.runs[order.order_id])
        ]

    async def _play(self):
        server = create_http_server(self._run_order, Limits(max_connections=4096))
        await server.start(self.transport, self.endpoint, self.endpoint_port)
        heartbeats = None
        try:
            self._start_process("coordinator", self.coordinator)
            for host in self.hosts:
                self._start_process("gateway", host)
            await self._configure()
            heartbeats = await curio.spawn(self._send_heartbeats, daemon=True)
            for host in self.hosts:
                await self._wait_until_served(host)
            await self._stop_hosts()
        finally:
            if heartbeats is not None:
                await heartbeats.cancel()
            await server.close()

    async def _stop_hosts(self):
        callers = curio.TaskGroup()
        kept = [
            (host, await self._open(host))
            for host in self.hosts
            for _ in range(self.options.kept)
        ]
        for host, stream in kept:
            # One order on each connection, so that the caller has kept it.
            await self._send_on(stream, self._create_order(host, 0.0))
        signals = {}
        begun_s = time.monotonic()
        for number, host in enumerate(self.hosts[: self.options.stopped]):
            signals[host] = begun_s + number * self.options.gap_s
            await callers.spawn(self._stop_host, host, signals[host])
        last_s = max(signals.values()) + DRAIN["drain_timeout_s"] + 0.2
        for host, stream in kept:
            first_s = signals.get(host, begun_s)
            at_s = self.rng.uniform(first_s, last_s)
            await callers.spawn(self._use_kept, host, stream, at_s)
        for host in self.hosts:
            await callers.spawn(self._use_new_connections, callers, host, last_s)
        await callers.join()
        for error in callers.exceptions:
            if error is not None:
                raise error

    async def _stop_host(self, host, at_s):
        await curio.sleep(max(0.0, at_s - time.monotonic()))
        process = self.processes[host]
        self.stopped_s[host] = time.monotonic()
        for number in self.options.signals:
            process.send_signal(number)
            await curio.sleep(0.1)
        while process.poll() is None:
            if time.monotonic() - self.stopped_s[host] > GRACE_S:
                process.kill()
            await curio.sleep(0.01)
        self.exited_s[host] = time.monotonic()

    async def _use_kept(self, host, stream, at_s):
        await curio.sleep(max(0.0, at_s - time.monotonic()))
        work_s = self.rng.choice(self.options.work_s)
        order = self._create_order(host, work_s)
        order.is_stream = self.rng.random() < self.options.streams
        await self._send_on(stream, order)
        await stream.close()

    async def _use_new_connections(self, callers, host, until_s):
        """Open a connection from time to time, and send an order a little later."""
        while time.monotonic() < until_s:
            await curio.sleep(self.options.new_connections_s)
            try:
                stream = await self._open(host)
            except OSError:
                continue
            await callers.spawn(self._use_kept, host, stream, time.monotonic() + 0.03)

    def _create_order(self, host, work_s):
        order = Order(f"o{len(self.orders)}", host, work_s)
        self.orders.append(order)
        return order

    async def _open(self, host):
        return await self.transport.connect(host, self.ports["listen"])

    async def _send_on(self, stream, order):
        body = b"order"
        lines = [
            f"POST /{self._get_kind(order)}/{order.work_s} HTTP/1.1",
            "Host: x.example",
            f"{REQUEST_ID}: {order.order_id}",
            f"content-length: {len(body)}",
            *self._list_header_lines(order),
        ]
        head = "\r\n".join([*lines, "", ""])
        order.sent_s = time.monotonic()
        try:
            async with curio.timeout_after(self.answer_timeout_s):
                await stream.sendall(head.encode() + body)
                order.status, headers, order.body = await read_response(stream)
            order.ends_connection = headers.get("connection") == "close"
        except (OSError, EOFError, curio.TaskTimeout) as error:
            order.status = None
            order.failure = type(error).__name__
        order.ended_s = time.monotonic()

    def _get_kind(self, order):
        return "stream" if order.is_stream else "non_idempotent"

    def _list_header_lines(self, order):
        """Return further lines of the head of an order."""
        del order
        return []

    async def _run_order(self, request, responder):
        order_id = request.headers[REQUEST_ID]
        self.runs[order_id] += 1
        work_s = float(request.path.rpartition("/")[2])
        if request.path.startswith("/stream/"):
            await _stream_events(responder, order_id, work_s)
            return
        await curio.sleep(work_s)
        await responder.respond_whole(200, [(REQUEST_ID, order_id)], b"done")

    def _create_settings(self, kind, host):
        address = {name: {"address": host, "port": self.ports[name]} for name in PORTS}
        settings = {
            "host": host,
            "region": "a",
            "failure_domain": "a-1",
            "peer_listen": address["peer_listen"],
            "seeds": [
                {"address": each, "port": self.ports["peer_listen"]}
                for each in self.coordinators
            ],
            "peer_keys": ["00112233445566778899aabbccddeeff"],
        }
        if kind == "coordinator":
            settings |= {
                "api_listen": address["api"],
                "directory_listen": address["directory"],
                "regions": {"a-1": "a"},
                "bootstrap": True,
                "data_directory": str(self.directory / f"data-{host}"),
            }
        else:
            names = ("listen", "ready_listen", "forward_listen")
            settings |= {name: address[name] for name in names} | DRAIN
        return settings

    def _start_process(self, kind, host):
        command, variables = self._prepare_process(kind, host)
        with open(self.directory / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(ROOT), **variables},
            )

    def _prepare_process(self, kind, host):
        """Write the settings; return the command and variables of a process."""
        settings = self._create_settings(kind, host)
        file = self.directory / f"{host}.jsonc"
        file.write_text(json.dumps(settings))
        module = f"buckthorndeal.command_{kind}"
        return [sys.executable, "-m", module, f"--config={file}"], {}

    async def _configure(self):
        content = create_configuration(
            1, home_regions=list(self.options.homes), timeout_s=DEADLINE_S
        )
        await self._wait_until(
            lambda: self._call_api("PUT", "/v1/configuration", content), "configured"
        )

    async def _call_api(self, method, path, body):
        pool = create_http_pool(
            self.transport, self.coordinator, self.ports["api"], max_connections=1
        )
        try:
            async with curio.timeout_after(2.0):
                status, _, _ = await pool.fetch(method, path, [], body)
            return status == 200
        except (Exception, curio.TaskTimeout):
            return False
        finally:
            await pool.close()

    async def _send_heartbeats(self):
        sequence = 0
        while True:
            sequence += 1
            path, body = self._create_heartbeat(sequence)
            await self._call_api("POST", path, body)
            await curio.sleep(0.4)

    def _create_heartbeat(self, sequence):
        """Return path and body of a heartbeat of the endpoint."""
        body = {
            "incarnation": 1,
            "sequence": sequence,
            "region": "a",
            "failure_domain": "a-1",
            "address": f"{self.endpoint}:{self.endpoint_port}",
            "service": "s",
            "slots": 256,
        }
        return "/v1/endpoints/e1/heartbeat", msgspec.json.encode(body)

    async def _wait_until_served(self, host):
        async def is_served():
            try:
                stream = await self._open(host)
            except OSError:
                return False
            order = self._create_order(host, 0.0)
            await self._send_on(stream, order)
            await stream.close()
            return order.status == 200

        await self._wait_until(is_served, f"{host} serves")

    async def _wait_until(self, check, what):
        until_s = time.monotonic() + WAIT_S
        while time.monotonic() < until_s:
            if await check():
                return
            await curio.sleep(0.1)
        raise AssertionError(f"not within {WAIT_S} s: {what}")


async def _stream_events(responder, order_id, work_s):
    await responder.start(200, [(REQUEST_ID, order_id)])
    for number in range(STREAM_EVENTS):
        await responder.send(create_stream_events(number, number))
        await curio.sleep(work_s / STREAM_EVENTS)
    await responder.finish()


def describe(play):
    """Return one line on the end of a play."""
    statuses = collections.Counter(order.status for order in play.orders)
    lost = [
        f"{order.order_id} sent {play.get_signal_age_s(order):.3f} s after the signal, "
        f"work {order.work_s} s, closed after {order.ended_s - order.sent_s:.3f} s"
        for order in play.list_lost()
    ]
    ends = [
        f"{play.exited_s[host] - play.stopped_s[host]:.2f}" for host in play.stopped_s
    ]
    return (
        f"seed {play.seed}: exits after {', '.join(ends)} s, statuses "
        f"{dict(statuses)}, untrue {len(play.list_untrue())}, lost {len(lost)}: {lost}"
    )


SCENARIOS = {
    "short": StopOptions(),
    "long": StopOptions(kept=60, work_s=(0.02, 0.7), gap_s=0.2),
    "one": StopOptions(stopped=1),
    "signals": StopOptions(kept=60, signals=(signal.SIGTERM, signal.SIGTERM)),
    "streams": StopOptions(kept=120, work_s=(0.02, 0.7, 3.0), streams=0.5),
    "many": StopOptions(kept=1000, work_s=(10.0,), stopped=1, new_connections_s=0.1),
    "no-homes": StopOptions(homes=(), gap_s=0.5),
}


def main():
    """Play the scenarios named on the command line, or all."""
    seeds, names = parse_seeds(sys.argv[1:])
    plays = (
        StopPlay(f"{name}-{seed}", SCENARIOS[name])
        for seed in seeds
        for name in names or SCENARIOS
    )
    play_all(plays, describe)


if __name__ == "__main__":
    main()
