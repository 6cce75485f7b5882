"""A small deployment of the programs of the deploy file on loopback addresses.

It plays the platform: it writes the settings files, starts the programs, restarts
those that end, and ends all of them. It uses the standard library only.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
PORTS = 12
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 6000,
    "ack_ms": 8000,
    "catch_up_s": 4,
    "drain_ms": 4000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 4000,
    "downgrade_slack_ms": 250,
    "max_stretch_ms": 10000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 54,
    "cold_overage": 1.5,
    "cold_slack": 3,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 800,
    "again_s": 10,
    "ttl_max_s": 5,
}
RESTART_DELAY_S = 0.3


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """Writes what happens into `record.txt` of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write a line with the time."""
        line = f"{self.now():8.3f} {text}"
        print(line, file=self._file, flush=True)


class Machine:
    """One machine, on which one program runs."""

    def __init__(self, name: str, role: str, ip: str, zone: str, region: str) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.region = region
        self.settings: pathlib.Path | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends = 0
        self.stopping = False
        self.watcher: asyncio.Task | None = None


class Deployment:
    """Coordinators and gateways on addresses of their own, with the same ports."""

    def __init__(
        self,
        record: Record,
        zones: dict[str, str],
        cores: list[str],
        fronts: list[str],
        restart_delay_s: float = RESTART_DELAY_S,
    ) -> None:
        self.record = record
        self.zones = zones
        self.restart_delay_s = restart_delay_s
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.net = net
        self.cores = [
            Machine(f"core-{i}", "coordinator", f"{net}.{10 + i}", zone, zones[zone])
            for i, zone in enumerate(cores, 1)
        ]
        self.fronts = [
            Machine(f"front-{i}", "gateway", f"{net}.{40 + i}", zone, zones[zone])
            for i, zone in enumerate(fronts, 1)
        ]
        self.port = self._find_ports()
        self.front_port = self.port + PORTS
        self.ready_port = self.port + PORTS + 1
        self.control_port = self.port + PORTS + 2
        self.directory_port = self.port + PORTS + 3
        self.server_port = self.port + PORTS + 4
        for machine in self.machines:
            self._write_settings(machine, bootstrap=True)

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.cores, *self.fronts]

    def _find_ports(self) -> int:
        for _ in range(50):
            first = random.randrange(20_000, 30_000)
            try:
                for machine in self.machines:
                    for port in range(first, first + PORTS + 8):
                        with socket.socket() as probe:
                            probe.bind((machine.ip, port))
            except OSError:
                continue
            return first
        raise CannotRun("no free ports")

    def _write_settings(self, machine: Machine, bootstrap: bool) -> None:
        is_core = machine.role == "coordinator"
        lines = [
            f'node_name = "{machine.name}"',
            f'role = "{machine.role}"',
            f'machine_class = "{"core" if is_core else "front"}"',
            f"serves = {json.dumps(DEPLOY['roles'][machine.role]['serves'])}",
            f'ip = "{machine.ip}"',
            f'zone = "{machine.zone}"',
            f'region = "{machine.region}"',
            f"internal_ports = [{self.port}, {self.port + PORTS - 1}]",
            "seeds = "
            + json.dumps([f"{c.ip}:{self.control_port}" for c in self.cores[:3]]),
            f"bootstrap = {str(bootstrap).lower()}",
            f"loss_counted = {str(is_core).lower()}",
            'discovery = "registry"',
            'entry = "directory"',
            "heartbeat_ms = 1200",
            'config_mode = "highest"',
        ]
        if is_core:
            data = self.folder / machine.name
            data.mkdir(exist_ok=True)
            lines.append(f'data_dir = "{data}"')
        lines.append("[zones]")
        lines += [f'{zone} = "{region}"' for zone, region in self.zones.items()]
        lines.append("[listen]")
        if is_core:
            lines.append(f'control = "{machine.ip}:{self.control_port}"')
            lines.append(f'directory = "{machine.ip}:{self.directory_port}"')
        else:
            lines.append(f'front = "{machine.ip}:{self.front_port}"')
            lines.append(f'ready = "{machine.ip}:{self.ready_port}"')
        lines += [
            "[limits]",
            "cpu_share = 0.8",
            "cores = 2",
            "memory_mb = 430",
            "max_fds = 6150",
            "link_mbps = 1500.0",
            f"disk_mb = {128 if is_core else 0}",
            "[fault_tolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 1",
            "[bounds]",
        ]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        machine.settings = self.folder / f"{machine.name}.toml"
        machine.settings.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Start all programs."""
        for machine in self.machines:
            await self._start(machine)

    async def _start(self, machine: Machine) -> None:
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BUCKTHORNDEAL_NODE_FILE"] = str(machine.settings)
        output = (self.folder / f"{machine.name}.log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            *DEPLOY["roles"][machine.role]["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        output.close()
        self.record.write(f"{machine.name} started at {machine.ip}")
        machine.watcher = asyncio.create_task(self._watch(machine, machine.process))

    async def _watch(
        self, machine: Machine, process: asyncio.subprocess.Process
    ) -> None:
        status = await process.wait()
        if machine.stopping:
            return
        machine.own_ends += 1
        self.record.write(f"{machine.name} ended by itself, exit status {status}")
        await asyncio.sleep(self.restart_delay_s)
        self._write_settings(machine, bootstrap=False)
        await self._start(machine)

    def signal(self, machine: Machine, number: int) -> None:
        """Send a signal to the program of a machine."""
        self.record.write(f"{machine.name} gets {signal.Signals(number).name}")
        machine.process.send_signal(number)

    def read_log(self, machine: Machine) -> str:
        """Return what a program has written."""
        return (self.folder / f"{machine.name}.log").read_text(errors="replace")

    async def close(self) -> None:
        """End all programs and remove their files."""
        for machine in self.machines:
            machine.stopping = True
            if machine.process is not None and machine.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                await machine.process.wait()
        if os.environ.get("KEEP") == "1":
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, within_s: float = 25.0) -> None:
        """Wait until every gateway says that it is ready."""
        until = time.monotonic() + within_s
        for machine in self.fronts:
            while True:
                answer = await call(
                    machine.ip, self.ready_port, "GET", "/readiness", timeout_s=1.0
                )
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("all gateways are ready")


class Answer:
    """An answer to a call."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return first, headers


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Return a complete answer, or None if there is none."""
    while True:
        found = await read_head(reader)
        if found is None:
            return None
        first, headers = found
        status = int(first.split()[1])
        if status >= 200:
            break
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                parts.append(data[:-2])
            body = b"".join(parts)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Answer(status, headers, body)


def format_request(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Answer | None:
    """Send a request on a new channel; None if there is no complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            sent = {"Host": f"{ip}:{port}", "Connection": "close", **(headers or {})}
            writer.write(format_request(method, path, sent, body))
            await writer.drain()
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders to the coordinators until one acknowledges them."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    async def order(self, path: str, body: bytes = b"", within_s: float = 8.0) -> str:
        """Send an order; return the name of the machine that acknowledged it."""
        deployment = self._deployment
        until = time.monotonic() + within_s
        turn = 0
        while time.monotonic() < until:
            machine = deployment.cores[turn % len(deployment.cores)]
            turn += 1
            answer = await call(
                machine.ip, deployment.control_port, "POST", path, body, timeout_s=1.0
            )
            if answer is not None and 200 <= answer.status < 300:
                deployment.record.write(f"{machine.name} acknowledged {path}")
                return machine.name
            await asyncio.sleep(0.1)
        raise CannotRun(f"no acknowledgement of {path}")

    async def configure(self, document: dict, within_s: float = 20.0) -> None:
        """Put a desired state."""
        await self.order("/config/put", json.dumps(document).encode(), within_s)
