"""Processes of the deploy file on loopback addresses, for the cases of the review."""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAMS = {
    "core": "platform/run_coordinator.py",
    "front": "platform/run_gateway.py",
}
CONTROL_PORT = 8146
DIRECTORY_PORT = 8148
FRONT_PORT = 8144
READY_PORT = 8140
INTERNAL_PORTS = (7660, 7675)
POLL_S = 0.05


def choose_network() -> str:
    """Return the first three bytes of a loopback network that nobody listens on."""
    rng = random.SystemRandom()
    while True:
        network = f"127.{rng.randrange(16, 240)}.{rng.randrange(1, 250)}"
        ports = (CONTROL_PORT, FRONT_PORT, READY_PORT, INTERNAL_PORTS[0])
        if all(_is_free(f"{network}.1", port) for port in ports):
            return network


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


@dataclass
class Machine:
    """One machine, with the process that runs on it."""

    name: str
    kind: str
    address: str
    zone: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def log(self) -> pathlib.Path:
        """File with what its processes have written."""
        return self.folder / "log.jsonl"


@dataclass
class Plant:
    """A deployment; `zones` maps each zone to its region.

    Parameters
    ----------
    zones : dict of str to str
        Region of each zone.
    tolerated_machines : int
        Machines with a disk whose loss is to be borne.
    limits : dict
        Fields of the table `limits` of the settings, beside the defaults.
    """

    zones: dict[str, str]
    tolerated_machines: int = 1
    limits: dict[str, float] = field(default_factory=dict)
    contracts: tuple[str, ...] = ("base", "drain", "config", "recover")

    def __post_init__(self) -> None:
        self.network = choose_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.machines: dict[str, Machine] = {}
        self.seeds: list[str] = []
        self.started_s = time.monotonic()

    def add(self, kind: str, zone: str) -> Machine:
        """Add a machine that does not run yet; the first three cores are seeds."""
        number = len(self.machines) + 1
        address = f"{self.network}.{number}"
        name = f"{kind}-{zone}-{number}"
        folder = self.folder / name
        folder.mkdir()
        machine = Machine(name, kind, address, zone, folder)
        self.machines[name] = machine
        if kind == "core" and len(self.seeds) < 3:
            self.seeds.append(f"{address}:{CONTROL_PORT}")
        return machine

    def of_kind(self, kind: str) -> list[Machine]:
        """Return the machines of a kind."""
        return [each for each in self.machines.values() if each.kind == kind]

    def start(self, machine: Machine, bootstrap: bool = False) -> None:
        """Start the process of a machine with the command of the deploy file."""
        settings = machine.folder / "settings.toml"
        settings.write_text(self._write_settings(machine, bootstrap))
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BUCKTHORNDEAL_NODE_FILE": str(settings),
        }
        with machine.log.open("ab") as log:
            machine.process = subprocess.Popen(
                ["python3", PROGRAMS[machine.kind]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, machine: Machine, number: int) -> None:
        """Send a signal to the process of a machine."""
        if machine.process is not None and machine.process.poll() is None:
            machine.process.send_signal(number)

    def wait_ended(self, machine: Machine, timeout_s: float = 12.0) -> bool:
        """Wait for the end of a process; return whether it has ended."""
        if machine.process is None:
            return True
        with contextlib.suppress(subprocess.TimeoutExpired):
            machine.process.wait(timeout_s)
            return True
        return False

    def kill(self, machine: Machine) -> None:
        """Kill the process of a machine."""
        self.send_signal(machine, signal.SIGKILL)
        self.wait_ended(machine)

    def wipe(self, machine: Machine) -> None:
        """Empty the data folder of a machine that does not run."""
        shutil.rmtree(machine.folder / "data", ignore_errors=True)

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for machine in self.machines.values():
            self.send_signal(machine, signal.SIGKILL)
        for machine in self.machines.values():
            self.wait_ended(machine)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _write_settings(self, machine: Machine, bootstrap: bool) -> str:
        is_core = machine.kind == "core"
        listen = (
            {
                "control": f"{machine.address}:{CONTROL_PORT}",
                "directory": f"{machine.address}:{DIRECTORY_PORT}",
            }
            if is_core
            else {
                "front": f"{machine.address}:{FRONT_PORT}",
                "ready": f"{machine.address}:{READY_PORT}",
            }
        )
        limits = {
            "cpu_share": 0.645,
            "cores": 1,
            "memory_mb": 296 if is_core else 430,
            "max_fds": 4096 if is_core else 6150,
            "link_mbps": 1000.0,
            "disk_mb": 128 if is_core else 0,
            **self.limits,
        }
        head = {
            "node_name": machine.name,
            "role": "coordinator" if is_core else "gateway",
            "machine_class": machine.kind,
            "serves": ["control", "directory"] if is_core else ["front"],
            "ip": machine.address,
            "zone": machine.zone,
            "region": self.zones[machine.zone],
            "internal_ports": list(INTERNAL_PORTS),
            "seeds": self.seeds,
            "bootstrap": bootstrap,
            "loss_counted": is_core,
            "discovery": "registry",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "contracts": list(self.contracts),
            "config_mode": "highest",
        }
        if is_core:
            data = machine.folder / "data"
            data.mkdir(exist_ok=True)
            head["data_dir"] = str(data)
        tables = {
            "zones": self.zones,
            "listen": listen,
            "limits": limits,
            "fault_tolerance": {
                "machines": self.tolerated_machines,
                "zones": 1,
                "regions": 1,
            },
            "bounds": BOUNDS,
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in head.items()]
        for name, table in tables.items():
            lines.append(f"[{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        return "\n".join(lines) + "\n"


BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 6000,
    "ack_ms": 8000,
    "catch_up_s": 6,
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
    "recovery_s": 15,
    "pass_ms": 800,
    "again_s": 10,
    "ttl_max_s": 5,
}


def call(
    address: str,
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes] | None:
    """Send one request on a new channel; None without a complete response."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        return (
            response.status,
            {k.lower(): v for k, v in response.getheaders()},
            content,
        )
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def order(
    machines: list[Machine],
    method: str,
    path: str,
    body: bytes | None = None,
    within_s: float = 8.0,
) -> tuple[Machine, int, bytes] | None:
    """Send an order as the operator does, to one node after the other.

    Returns the node that gave the first clear response (2xx or 400), and the response;
    None if there was none.
    """
    due_s = time.monotonic() + within_s
    pause_s = 0.1
    while time.monotonic() < due_s:
        for machine in machines:
            answer = call(machine.address, CONTROL_PORT, method, path, body)
            if answer is not None and (answer[0] < 300 or answer[0] == 400):
                return machine, answer[0], answer[2]
        time.sleep(pause_s)
        pause_s = min(0.5, 2 * pause_s)
    return None


def wait_for(check, within_s: float) -> bool:  # noqa: ANN001
    """Return whether `check` becomes true in time."""
    due_s = time.monotonic() + within_s
    while time.monotonic() < due_s:
        if check():
            return True
        time.sleep(POLL_S)
    return bool(check())


def read_metric(machine: Machine, name: str) -> float | None:
    """Return a metric of a machine; None if it cannot be read."""
    port = INTERNAL_PORTS[0] + (3 if machine.kind == "core" else 2)
    answer = call(machine.address, port, "GET", "/metrics")
    if answer is None:
        return None
    for line in answer[2].decode().splitlines():
        label, _, value = line.rpartition(" ")
        if label.endswith(name) and not line.startswith("#"):
            return float(value)
    return None


class Record:
    """Writes what happened to `record.txt`, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self._started_s
        self._file.write(f"{elapsed_s:7.2f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
