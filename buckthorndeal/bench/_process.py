"""Child processes of a benchmark, with their CPU time and memory."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable

import curio

from buckthorndeal.errors import RequestError

__all__ = [
    "DaemonProcess",
    "find_free_port",
    "start_daemon",
    "start_module",
    "wait_until_served",
]

STOP_TIMEOUT_S = 15.0
SERVED_POLL_S = 0.05
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class DaemonProcess:
    """Child process started by a benchmark.

    Parameters
    ----------
    process : subprocess.Popen
        The running process.
    """

    def __init__(self, process: subprocess.Popen) -> None:
        self._process = process

    def read_cpu_s(self) -> float:
        """Return user and system CPU time since the start, in seconds."""
        stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def read_rss_mb(self) -> float:
        """Return the resident memory in MB (10^6 bytes)."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) * 1024 / 1e6

    def poll(self) -> int | None:
        """Return the exit status, or None while the process runs."""
        return self._process.poll()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self._process.kill()
        self._process.wait()

    def stop(self) -> int:
        """Send SIGTERM, after a timeout SIGKILL, and return the exit status."""
        self._process.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode


def start_daemon(
    module: str, settings_file: pathlib.Path, log_file: pathlib.Path
) -> DaemonProcess:
    """Start ``python -m module --config settings_file``."""
    return start_module(module, [f"--config={settings_file}"], log_file)


def start_module(
    module: str, arguments: list[str], output_file: pathlib.Path
) -> DaemonProcess:
    """Start ``python -m module`` with its output redirected to a file."""
    with output_file.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
    return DaemonProcess(process)


def find_free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is currently free; another process may take it."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def wait_until_served(
    call: Callable[[], Awaitable[int]], timeout_s: float
) -> None:
    """Repeat a call until its status is 200.

    Parameters
    ----------
    call : callable
        Coroutine function that sends a request and returns the status.
    timeout_s : float
        Time limit in seconds.

    Raises
    ------
    curio.TaskTimeout
        If the call didn't succeed within the time limit.
    """
    async with curio.timeout_after(timeout_s):
        while True:
            try:
                if await call() == 200:
                    return
            except RequestError:
                # The server doesn't accept connections yet.
                pass
            await curio.sleep(SERVED_POLL_S)
