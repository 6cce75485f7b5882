"""Test harness that runs a cluster of control hosts as processes on loopback."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path

from buckthorndeal.operations import create_control_client
from buckthorndeal.settings import PeerAddress
from buckthorndeal.transport import create_socket_transport

ROOT = Path(__file__).parent.parent
DOCUMENT = ROOT / "examples" / "kelawar" / "document"
HOSTS = ("control-1", "control-2", "control-3", "control-4")
# Maximum time that a test waits for the cluster; no requirement on the product.
WAIT_S = 60.0
FIRST_PORT = 10_000
OUTGOING_PORTS_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def read_outgoing_ports():
    """Return the ephemeral ports, which the system gives to outgoing connections."""
    first, last = OUTGOING_PORTS_FILE.read_text().split()
    return range(int(first), int(last) + 1)


def find_ports(count):
    """Return free ports below the ephemeral range.

    Outgoing connections cannot take them before they are used.
    """
    candidates = list(range(FIRST_PORT, read_outgoing_ports().start))
    random.shuffle(candidates)
    ports = []
    with ExitStack() as stack:
        while len(ports) < count:
            port = candidates.pop()
            probe = stack.enter_context(socket.socket())
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                # Another program uses the port.
                continue
            ports.append(port)
    return ports


class Cluster:
    """Cluster of three voters and a learner, each a child process.

    Processes are only ended through their own handles.
    """

    def __init__(self, directory, promote_after_s=2.0):
        self.directory = Path(directory)
        ports = find_ports(2 * len(HOSTS))
        self.http_ports = dict(zip(HOSTS, ports[: len(HOSTS)], strict=True))
        self.peer_ports = dict(zip(HOSTS, ports[len(HOSTS) :], strict=True))
        self.promote_after_s = promote_after_s
        self.processes = {}
        self.logs = {}

    def write_settings(self, host):
        peers = [{"host": each, "port": self.peer_ports[each]} for each in HOSTS]
        settings = {
            "host": host,
            "region": "shah-alam",
            "failure_domain": "shah-alam-1",
            "listen": {"port": self.http_ports[host]},
            "peer_listen": {"port": self.peer_ports[host]},
            "voters": peers[:3],
            "learners": peers[3:],
            "peer_keys": ["00112233445566778899aabbccddeeff"],
            "data_directory": str(self.directory / host),
            "initial_document": str(DOCUMENT),
            "promote_after_s": self.promote_after_s,
        }
        file = self.directory / f"{host}.jsonc"
        file.write_text(json.dumps(settings))
        return file

    def start(self, *hosts):
        for host in hosts or HOSTS:
            file = self.write_settings(host)
            log = open(self.directory / f"{host}.log", "ab")
            with log:
                self.processes[host] = subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "buckthorndeal.command_control",
                        f"--config={file}",
                    ],
                    cwd=ROOT,
                    stdout=log,
                    stderr=log,
                    env={**os.environ, "PYTHONPATH": str(ROOT)},
                )

    def kill(self, *hosts):
        for host in hosts or tuple(self.processes):
            process = self.processes.pop(host)
            process.kill()
            process.wait()

    def terminate(self, host):
        process = self.processes.pop(host)
        process.send_signal(signal.SIGTERM)
        return process.wait(WAIT_S)

    def create_client(self, key="support-example-key", hosts=HOSTS, timeout_s=WAIT_S):
        addresses = tuple(
            PeerAddress(host=host, port=self.http_ports[host]) for host in hosts
        )
        transport = create_socket_transport()
        return create_control_client(transport, addresses, key, timeout_s)

    def read_log(self, host):
        return (self.directory / f"{host}.log").read_text()


def wait_until(condition, description):
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"not within {WAIT_S} s: {description}")
