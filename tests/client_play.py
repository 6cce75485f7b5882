"""Plays crowds of clients that do not behave, at each port of both programs.

By hand: ``python -m tests.client_play NAME ...``.
"""

import collections
import json
import signal
import socket as stdlib_socket
import sys
import time
from dataclasses import dataclass, field

import curio
from curio import socket

from buckthorndeal.wire import LENGTH_BYTES, NONCE_BYTES, create_hello
from tests.control_harness import find_ports
from tests.crowd_play import CrowdOptions, CrowdPlay
from tests.fleet_harness import REQUEST_ID, create_configuration
from tests.play_command import play_all
from tests.process_use import ProcessUse, read_use
from tests.raw_caller import read_answer
from tests.stop_play import DEADLINE_S, StopOptions

# What each process is told it may use, and the bound of what it uses.
MEMORY_BYTES = 128_000_000
# Of what a process is told, this is for itself; each connection may cost 64 KiB of
# the rest.
OWN_BYTES = 64 << 20
MAX_DESCRIPTORS = (MEMORY_BYTES - OWN_BYTES) // 65_536
CROWD = 1_200
# How long the crowd may send, and stays afterwards.
SEND_S = 6.0
STAY_S = 1.0
SAMPLE_INTERVAL_S = 0.05
FREEZE_S = 3.0
CROWD_SEND_BUFFER_BYTES = 16_384
CROWD_RECEIVE_BUFFER_BYTES = 4_096
PART_BYTES = 65_536
PART = b"x" * PART_BYTES
ANSWER_BYTES = 200_000
EVENT_PAUSE_S = 0.001
ROUTES = 800
# A configuration of 1.2 MB, less than a third of the largest.
MANY_ROUTES = 5_000
GATEWAY_PORTS = (
    "listen",
    "forward_listen",
    "ready_listen",
    "metrics_listen",
    "peer_listen",
)
COORDINATOR_PORTS = ("api", "directory", "metrics_listen", "peer_listen")
HEARTBEAT = "POST /v1/endpoints/e1/heartbeat"
CONFIGURATION = "PUT /v1/configuration"
ORDER = "POST /idempotent/0.02"


@dataclass(frozen=True)
class ClientOptions:
    """What a crowd does.

    Parameters
    ----------
    target : str
        Process that it calls: "gateway", or "configuration" for the coordinator.
    ports : tuple of str
        Ports that it calls, in turn.
    manner : str
        What each of its connections sends; see `create_parts`.
    call : str
        Method and path of its requests.
    is_frozen : bool
        Whether the process is stopped while the crowd comes, and goes on afterwards.
    is_killed : bool
        Whether the process is killed and started again, and the crowd comes again.
    asks_meanwhile : bool
        Whether the ordinary request is sent while the crowd is there, through a gateway
        that has just been started again, and so has to reach the coordinator.
    routes : int
        Number of further routes in the configuration.
    """

    target: str
    ports: tuple[str, ...]
    manner: str
    call: str = ORDER
    is_frozen: bool = False
    is_killed: bool = False
    asks_meanwhile: bool = False
    routes: int = ROUTES


@dataclass
class ClientPlay(CrowdPlay):
    """One coordinator, one gateway, and a crowd that calls one of them."""

    clients: ClientOptions | None = None
    # By figure, its largest value; "total" is the largest sum at one moment.
    largest: collections.Counter = field(default_factory=collections.Counter)
    worst: ProcessUse = field(default_factory=ProcessUse)
    is_ended: bool = False
    memory_bytes: int = MEMORY_BYTES

    def __post_init__(self):
        self.crowd = CrowdOptions(self.clients.target, 0, 0)
        super().__post_init__()
        self.hosts = self.hosts[:1]
        self.ports["metrics_listen"] = find_ports(1)[0]
        self.is_over = False

    async def _stop_hosts(self):
        host = self._get_target()[0]
        sampler = await curio.spawn(self._sample, daemon=True)
        self.is_over = False
        if self.clients.is_frozen:
            self.processes[host].send_signal(signal.SIGSTOP)
        crowd = [
            await curio.spawn(self._call, number, daemon=True)
            for number in range(CROWD)
        ]
        try:
            if self.clients.is_frozen:
                await curio.sleep(FREEZE_S)
                self.processes[host].send_signal(signal.SIGCONT)
            if self.clients.is_killed:
                await curio.sleep(SEND_S / 3)
                self._restart(host)
            until_s = time.monotonic() + SEND_S
            while self.sent.total() < CROWD and time.monotonic() < until_s:
                await curio.sleep(SAMPLE_INTERVAL_S)
            await curio.sleep(STAY_S)
            if self.clients.asks_meanwhile:
                self._restart(self.hosts[0])
                await self._wait_until_served(self.hosts[0])
                await self._ask_ordinary()
        finally:
            self.is_over = True
            for task in crowd:
                await task.cancel(blocking=False)
            for task in crowd:
                await task.cancel()
        if not self.clients.asks_meanwhile:
            await self._ask_ordinary()
        await sampler.cancel()
        self.is_ended = self.processes[host].poll() is not None

    def _restart(self, host):
        process = self.processes[host]
        process.kill()
        process.wait()
        kind = "gateway" if host in self.hosts else "coordinator"
        self._start_process(kind, host)

    async def _sample(self):
        """Record what the process uses until cancelled."""
        host = self._get_target()[0]
        while True:
            use = read_use(self.processes[host].pid, host)
            if use.total_bytes > self.worst.total_bytes:
                self.worst = use
            self.largest["total"] = self.worst.total_bytes
            for name in ("unread_bytes", "untaken_bytes", "descriptors"):
                self.largest[name] = max(self.largest[name], getattr(use, name))
            await curio.sleep(SAMPLE_INTERVAL_S)

    async def _call(self, number):
        """Send what this connection of the crowd sends, and read nothing."""
        port = self.clients.ports[number % len(self.clients.ports)]
        address = (self._get_target()[0], self.ports[port])
        parts = create_parts(self.clients, port)
        is_first = True
        while is_first or (self.clients.is_killed and not self.is_over):
            await self._send_parts(address, parts, is_first)
            is_first = False
            await curio.sleep(SAMPLE_INTERVAL_S)

    async def _send_parts(self, address, parts, is_counted):
        sock = socket.socket()
        async with sock:
            for option, size in (
                (stdlib_socket.SO_SNDBUF, CROWD_SEND_BUFFER_BYTES),
                (stdlib_socket.SO_RCVBUF, CROWD_RECEIVE_BUFFER_BYTES),
            ):
                sock.setsockopt(stdlib_socket.SOL_SOCKET, option, size)
            try:
                async with curio.timeout_after(SEND_S):
                    await sock.connect(address)
                    for part in parts:
                        await sock.sendall(part)
                outcome = "complete"
            except curio.TaskTimeout:
                outcome = "unread"
            except OSError:
                outcome = "closed"
            self.sent[outcome] += is_counted
            # A connection that was lost is opened again after a restart.
            while outcome != "closed" and not self.is_over:
                await curio.sleep(10 * SAMPLE_INTERVAL_S)
                if self.clients.is_killed and await _is_lost(sock):
                    return

    def _create_settings(self, kind, host):
        settings = super()._create_settings(kind, host)
        # Only the memory limits what the process serves at once.
        settings.pop("max_connections", None)
        settings.pop("limits", None)
        listen = {"address": host, "port": self.ports["metrics_listen"]}
        memory = {"memory_bytes": self.memory_bytes}
        return {**settings, **memory, "metrics_listen": listen}

    async def _configure(self):
        """Configure a service that takes the whole crowd, and many routes."""
        body = json.loads(create_configuration(timeout_s=DEADLINE_S))
        body["services"][0]["max_connections"] = 2 * CROWD
        first = body["routes"][0]
        body["routes"] += [
            {**first, "name": f"r{number}", "path_prefix": f"/{number}/"}
            for number in range(self.clients.routes)
        ]
        content = json.dumps(body).encode()
        await self._wait_until(
            lambda: self._call_api("PUT", "/v1/configuration", content), "configured"
        )

    async def _run_order(self, request, responder):
        """Answer as the endpoint; the last part of the path says how."""
        headers = [(REQUEST_ID, request.headers[REQUEST_ID])]
        kind = request.path.rpartition("/")[2]
        if kind == "large":
            await responder.respond_whole(200, headers, PART * 3)
        elif kind == "endless":
            content = ("content-type", "text/event-stream")
            await responder.start(200, [*headers, content])
            event_id = 0
            while True:
                event_id += 1
                await responder.send(b"id: %d\ndata: %b\n\n" % (event_id, PART[:4096]))
                await curio.sleep(EVENT_PAUSE_S)
        else:
            await super()._run_order(request, responder)


async def _is_lost(sock):
    try:
        data = await curio.ignore_after(0.001, sock.recv, 1)
    except OSError:
        return True
    return data == b""


def create_parts(clients, port):
    """Return what a connection of the crowd sends, in parts.

    small, large, length : a body that lacks its end, in chunks of one byte, in chunks
        of 64 KiB, or with a length
    head : a head that does not end
    pipelined : a request that takes long, and many that follow
    unread : many requests, whose answers are not read
    idle : nothing
    frame : a frame without its end, of a host that has not introduced itself
    """
    if port == "peer_listen":
        hello = create_hello(bytes(NONCE_BYTES))
        return [hello + (4_000).to_bytes(LENGTH_BYTES, "big") + PART[:3_000]]
    head = f"{clients.call} HTTP/1.1\r\nhost: x.example\r\n{REQUEST_ID}: crowd\r\n"
    if port not in ("listen", "forward_listen", "api"):
        head = "GET /metrics HTTP/1.1\r\nhost: x.example\r\n"
    chunked = f"{head}transfer-encoding: chunked\r\n\r\n".encode()
    large = b"%x\r\n%b\r\n" % (PART_BYTES, PART)
    if clients.manner == "small":
        return [chunked, *[b"1\r\nx\r\n" * 10_000] * 6, b"0\r\n\r"]
    if clients.manner == "large":
        return [chunked, *[large] * 16, b"0\r\n\r"]
    if clients.manner == "length":
        return [f"{head}content-length: 1048577\r\n\r\n".encode(), *[PART] * 16]
    if clients.manner == "head":
        return [head.encode() + b"x-a: " + PART[:15_000]]
    if clients.manner == "idle":
        return []
    request = f"{head}content-length: 0\r\n\r\n".encode()
    if clients.manner == "pipelined":
        return [request.replace(b"0.02", b"7.0"), *[request * 500] * 8]
    if clients.manner == "unread":
        return [request * 50]
    raise ValueError(clients.manner)


def describe(play):
    """Return one line on what the process used, and on the ordinary request."""
    figures = {
        name: f"{value / 1e6:.0f} MB" if name != "descriptors" else value
        for name, value in play.largest.items()
    }
    return (
        f"{play.seed}: largest {figures}, resident then "
        f"{play.worst.resident_bytes / 1e6:.0f} MB, ended {play.is_ended}, crowd "
        f"{dict(play.sent)}, ordinary request {play.attempts}"
    )


GATEWAY_SCENARIOS = {
    f"gateway-{name}": ClientOptions("gateway", ports, manner, **options)
    for name, ports, manner, options in (
        ("small", ("listen",), "small", {}),
        ("large", ("listen",), "large", {}),
        ("length", ("listen",), "length", {}),
        ("head", ("listen",), "head", {}),
        ("idle", ("listen",), "idle", {}),
        ("pipelined", ("listen",), "pipelined", {}),
        ("unread-answer", ("listen",), "unread", {"call": "POST /idempotent/large"}),
        ("unread-stream", ("listen",), "unread", {"call": "POST /stream/endless"}),
        ("forward", ("forward_listen",), "large", {}),
        ("ready", ("ready_listen",), "large", {}),
        ("metrics", ("metrics_listen",), "unread", {}),
        ("peer", ("peer_listen",), "frame", {}),
        ("frozen", ("listen",), "large", {"is_frozen": True}),
        ("frozen-ports", GATEWAY_PORTS, "large", {"is_frozen": True}),
        ("killed", ("listen",), "small", {"is_killed": True}),
    )
}
COORDINATOR_SCENARIOS = {
    f"coordinator-{name}": ClientOptions("configuration", ports, manner, **options)
    for name, ports, manner, options in (
        ("heartbeat", ("api",), "small", {"call": HEARTBEAT}),
        ("configuration", ("api",), "large", {"call": CONFIGURATION}),
        ("small", ("api",), "small", {"call": CONFIGURATION}),
        ("unread-answer", ("api",), "unread", {"call": "GET /v1/configuration"}),
        (
            "unread-configuration",
            ("api",),
            "unread",
            {"call": "GET /v1/configuration", "routes": MANY_ROUTES},
        ),
        ("directory", ("directory",), "pipelined", {}),
        ("peer", ("peer_listen",), "frame", {}),
        (
            "frozen-ports",
            COORDINATOR_PORTS,
            "large",
            {"call": CONFIGURATION, "is_frozen": True},
        ),
        ("killed", ("api",), "small", {"call": CONFIGURATION, "is_killed": True}),
        ("held-ports", COORDINATOR_PORTS, "idle", {"asks_meanwhile": True}),
    )
}
# What each process is told in the play of one caller in calm, as the smallest hosts
# of the platform are.
CALM_MEMORY_BYTES = 160_000_000
LARGEST_BODY_BYTES = 4 << 20
CALM_TIMEOUT_S = 60.0
SCENARIOS = {**GATEWAY_SCENARIOS, **COORDINATOR_SCENARIOS}


@dataclass
class CalmPlay(ClientPlay):
    """One caller sends the largest body in chunks of one byte, and nobody else."""

    status: int | None = None
    memory_bytes: int = CALM_MEMORY_BYTES

    async def _stop_hosts(self):
        stream = await self._open(self.hosts[0])
        head = f"{ORDER} HTTP/1.1\r\nhost: x.example\r\n{REQUEST_ID}: calm\r\n"
        async with curio.timeout_after(CALM_TIMEOUT_S):
            await stream.sendall(f"{head}transfer-encoding: chunked\r\n\r\n".encode())
            for _ in range(LARGEST_BODY_BYTES // PART_BYTES):
                await stream.sendall(b"1\r\nx\r\n" * PART_BYTES)
            await stream.sendall(b"0\r\n\r\n")
            self.status = (await read_answer(stream))[0]
        await stream.close()


def create_calm_play():
    """Return the play of one caller in calm."""
    return CalmPlay("calm", StopOptions(), clients=SCENARIOS["gateway-small"])


def create_play(name):
    """Return the play of a scenario."""
    return ClientPlay(name, StopOptions(), clients=SCENARIOS[name])


def main():
    """Play the scenarios named on the command line, or all."""
    play_all(map(create_play, sys.argv[1:] or SCENARIOS), describe)


if __name__ == "__main__":
    main()
