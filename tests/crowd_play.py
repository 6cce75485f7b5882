"""Plays a crowd of callers whose chunked bodies stop just short of their end.

By hand: ``python -m tests.crowd_play NAME ...``.
"""

import collections
import sys
from dataclasses import dataclass, field

import curio

from buckthorndeal.errors import RequestError
from buckthorndeal.http_client import create_http_pool
from tests.fleet_harness import REQUEST_ID
from tests.play_command import play_all
from tests.process_use import count_descriptors, read_peak_bytes
from tests.stop_play import StopOptions, StopPlay

# What each process is told it may use, and the bound of its peak.
MEMORY_BYTES = 128_000_000
# Connections that each server serves at once, and those of the crowd.
PLACES = 24
CROWD = 40
# Descriptors that a process may have open for the crowd once all of it has sent.
MAX_CROWD_DESCRIPTORS = 16
BODY_TIMEOUT_S = 120.0
ORDINARY_ATTEMPTS = 5
ATTEMPT_TIMEOUT_S = 9.0
# Pauses that a refused caller makes, as its Retry-After says, and in which
# connections that were refused are closed.
PAUSE_S = 1.0
SEND_TIMEOUT_S = 20.0
SETTLE_PAUSES = 8
PART_BYTES = 65_536


@dataclass(frozen=True)
class CrowdOptions:
    """Whom the crowd calls, and the size in bytes of its bodies and their chunks."""

    target: str
    chunk_bytes: int
    body_bytes: int


@dataclass
class CrowdPlay(StopPlay):
    """One coordinator, two gateways, and a crowd that calls one of them."""

    crowd: CrowdOptions | None = None
    peaks: dict[str, int] = field(default_factory=dict)
    ended: list[str] = field(default_factory=list)
    # Statuses of the attempts of one ordinary request, None without an answer.
    attempts: list[int | None] = field(default_factory=list)
    crowd_descriptors: int = 0
    sent: collections.Counter = field(default_factory=collections.Counter)

    async def _stop_hosts(self):
        process = self._get_process()
        before = count_descriptors(process.pid)
        release = curio.Event()
        crowd = [
            await curio.spawn(self._call_unfinished, release, daemon=True)
            for _ in range(CROWD)
        ]
        try:
            while self.sent.total() < CROWD:
                await curio.sleep(0.05)
            await self._ask_ordinary()
            for _ in range(SETTLE_PAUSES):
                self.crowd_descriptors = count_descriptors(process.pid) - before
                if self.crowd_descriptors <= MAX_CROWD_DESCRIPTORS:
                    break
                await curio.sleep(PAUSE_S)
        finally:
            await release.set()
            for task in crowd:
                await task.join()
        self._read_peaks()

    async def _call_unfinished(self, release):
        """Send a body without the last byte of its end, and stay until the release."""
        address, port, path = self._get_target()
        method = "PUT" if path == "/v1/configuration" else "POST"
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: x.example\r\n"
            "transfer-encoding: chunked\r\n\r\n"
        )
        size = self.crowd.chunk_bytes
        chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
        per_part = max(1, PART_BYTES // len(chunk))
        outcome = "complete"
        stream = None
        try:
            stream = await self.transport.connect(address, port)
            async with curio.timeout_after(SEND_TIMEOUT_S):
                await stream.sendall(head.encode())
                left = self.crowd.body_bytes // size
                while left:
                    count = min(left, per_part)
                    await stream.sendall(chunk * count)
                    left -= count
                await stream.sendall(b"0\r\n\r")
        except curio.TaskTimeout:
            outcome = "unread"
        except OSError:
            outcome = "closed"
        self.sent[outcome] += 1
        await release.wait()
        if stream is not None:
            await stream.close()

    async def _ask_ordinary(self):
        """Send one request, which is repeated as often as it is refused."""
        for _ in range(ORDINARY_ATTEMPTS):
            self.attempts.append(await self._attempt())
            if self.attempts[-1] == 200:
                return
            await curio.sleep(PAUSE_S)

    async def _attempt(self):
        address, port, path = self._get_target()
        method, body = ("GET", b"") if address == self.coordinator else ("POST", b"a")
        if path.startswith("/v1/endpoints/"):
            path = "/v1/configuration"
        headers = [("host", "x.example"), *self._list_ordinary_headers()]
        pool = create_http_pool(self.transport, address, port, 1)
        try:
            async with curio.timeout_after(ATTEMPT_TIMEOUT_S):
                return (await pool.fetch(method, path, headers, body))[0]
        except (RequestError, OSError, curio.TaskTimeout):
            return None
        finally:
            await pool.close()

    def _list_ordinary_headers(self):
        return [(REQUEST_ID, "ordinary")]

    def _get_target(self):
        if self.crowd.target == "gateway":
            return self.hosts[0], self.ports["listen"], "/idempotent/0.02"
        paths = {
            "heartbeat": "/v1/endpoints/e1/heartbeat",
            "configuration": "/v1/configuration",
        }
        return self.coordinator, self.ports["api"], paths[self.crowd.target]

    def _get_process(self):
        return self.processes[self._get_target()[0]]

    def _create_settings(self, kind, host):
        settings = super()._create_settings(kind, host)
        settings["memory_bytes"] = MEMORY_BYTES
        if kind == "gateway":
            return {**settings, "max_connections": PLACES}
        limits = {"max_connections": PLACES, "body_timeout_s": BODY_TIMEOUT_S}
        return {**settings, "limits": limits}

    def _read_peaks(self):
        for host, process in self.processes.items():
            if process.poll() is not None:
                self.ended.append(host)
                continue
            self.peaks[host] = read_peak_bytes(process.pid)


def describe(play):
    """Return one line on the processes and on the ordinary request."""
    peaks = {host: f"{peak / 1e6:.0f} MB" for host, peak in play.peaks.items()}
    return (
        f"{play.crowd}: peaks {peaks}, ended {play.ended}, crowd {dict(play.sent)}, "
        f"descriptors for it {play.crowd_descriptors}, ordinary request "
        f"{play.attempts}"
    )


SCENARIOS = {
    "gateway-large": CrowdOptions("gateway", 16_384, 131_072),
    "gateway-small": CrowdOptions("gateway", 1, 100_000),
    "coordinator-large": CrowdOptions("configuration", 16_384, 131_072),
    "coordinator-small": CrowdOptions("configuration", 1, 100_000),
    "heartbeat-small": CrowdOptions("heartbeat", 1, 100_000),
}


def main():
    """Play the scenarios named on the command line, or all."""
    plays = (
        CrowdPlay(name, StopOptions(), crowd=SCENARIOS[name])
        for name in sys.argv[1:] or SCENARIOS
    )
    play_all(plays, describe)


if __name__ == "__main__":
    main()
