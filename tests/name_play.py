"""Plays callers and endpoints that name ever more things in complete requests.

By hand: ``python -m tests.name_play NAME ...``.
"""

import json
import sys
import time
from dataclasses import dataclass

import curio

from tests.client_play import (
    SAMPLE_INTERVAL_S,
    ClientOptions,
    ClientPlay,
    describe,
)
from tests.platform_play import PlatformPlay
from tests.play_command import play_all
from tests.process_use import read_use
from tests.raw_caller import read_answer
from tests.stop_play import StopOptions

# What each process is told it may use, and the bound of what it uses.
MEMORY_BYTES = 96_000_000
SENDERS = 16
# Longest time that the requests may take; no requirement on the product.
NAMING_S = 600.0
# Fits into a head of 16 KiB with the other fields.
LONG_CHARS = 15_000
LONGEST_NAME_CHARS = 256
# A character that takes four bytes in memory and on the wire.
WIDE = "\N{BELL}"
PARTS_PER_REQUEST = 1_800


@dataclass
class NamePlay(ClientPlay):
    """Callers whose requests are complete, and name what no other has named."""

    memory_bytes: int = MEMORY_BYTES
    requests: int = 0

    async def _stop_hosts(self):
        sampler = await curio.spawn(self._sample, daemon=True)
        numbers = iter(range(self.requests))
        async with curio.TaskGroup() as group:
            for _ in range(SENDERS):
                await group.spawn(self._send_requests, numbers)
        await self._ask_ordinary()
        await sampler.cancel()
        self.is_ended = any(
            process.poll() is not None for process in self.processes.values()
        )

    async def _sample(self):
        """Record what the largest process uses until cancelled."""
        while True:
            for host, process in self.processes.items():
                use = read_use(process.pid, host)
                if use.total_bytes > self.worst.total_bytes:
                    self.worst = use
                    self.largest["total"] = use.total_bytes
                descriptors = max(self.largest["descriptors"], use.descriptors)
                self.largest["descriptors"] = descriptors
            await curio.sleep(SAMPLE_INTERVAL_S)

    async def _send_requests(self, numbers):
        """Send one request after the other, and count their statuses."""
        address = (self._get_target()[0], self.ports[self.clients.ports[0]])
        until_s = time.monotonic() + NAMING_S
        stream = None
        while time.monotonic() < until_s:
            number = next(numbers, None)
            if number is None:
                break
            try:
                async with curio.timeout_after(NAMING_S):
                    stream = stream or await self.transport.connect(*address)
                    await stream.sendall(REQUESTS[self.clients.manner](number))
                    self.sent[(await read_answer(stream))[0]] += 1
            except (OSError, EOFError, curio.TaskTimeout):
                self.sent["failed"] += 1
                if stream is not None:
                    await stream.close()
                stream = None
        if stream is not None:
            await stream.close()


@dataclass
class PlatformNamePlay(NamePlay, PlatformPlay):
    """The same with the programs of the platform's adapter, which read prompts."""


def create_directory_request(number):
    """Return a question to the directory under a name of its own."""
    name = f"n{number}-".ljust(LONG_CHARS, "x")
    return (
        f"GET /v1/entry-hosts?name={name}&region=r HTTP/1.1\r\nhost: x.example\r\n\r\n"
    ).encode()


def create_heartbeat_request(number):
    """Return a heartbeat of an endpoint of its own, which ends the one before.

    All have one address, so that each counts as the next endpoint there. Those before
    are kept for a while, as late heartbeats of them may still come.
    """
    body = {
        "incarnation": number,
        "sequence": 1,
        "region": "a",
        "failure_domain": "a-1",
        "address": "127.9.9.9:80",
        "service": f"s{number}-".ljust(LONGEST_NAME_CHARS, WIDE),
        "version": f"v{number}-".ljust(LONGEST_NAME_CHARS, WIDE),
        "slots": 1,
    }
    content = json.dumps(body).encode()
    endpoint = f"e{number}-".ljust(LONGEST_NAME_CHARS, "e")
    head = (
        f"POST /v1/endpoints/{endpoint}/heartbeat HTTP/1.1\r\nhost: x.example\r\n"
        f"content-length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


def create_leave_request(number):
    """Return the leave of an endpoint that does not exist."""
    endpoint = f"e{number}-".ljust(LONG_CHARS, "e")
    content = b'{"incarnation": 1}'
    head = (
        f"POST /v1/endpoints/{endpoint}/leave HTTP/1.1\r\nhost: x.example\r\n"
        f"content-length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


def create_evacuation_request(number):
    """Return an order to evacuate a failure domain that does not exist."""
    domain = f"d{number}-".ljust(LONG_CHARS, "d")
    return (
        f"PUT /v1/evacuations/{domain} HTTP/1.1\r\nhost: x.example\r\n"
        "content-length: 0\r\n\r\n"
    ).encode()


def create_parts_request(number):
    """Return a request whose prompt has many parts without a token."""
    parts = ",".join(f"{number:x}{part:04x}:0" for part in range(PARTS_PER_REQUEST))
    return _create_prompt_request(number, parts[:LONG_CHARS].rpartition(",")[0])


def create_key_request(number):
    """Return a request whose prompt has a shared part with a long name."""
    key = f"{number:x}".ljust(LONG_CHARS, "0")
    return _create_prompt_request(number, f"{key}:1,{number:x}:1")


def _create_prompt_request(number, parts):
    return (
        "POST /idempotent/0.0 HTTP/1.1\r\nhost: x.example\r\n"
        f"x-request-id: n{number}\r\nx-model: m\r\nx-token-count: 10,10\r\n"
        f"x-prompt-prefix: {parts}\r\ncontent-length: 0\r\n\r\n"
    ).encode()


REQUESTS = {
    "directory": create_directory_request,
    "heartbeats": create_heartbeat_request,
    "leaves": create_leave_request,
    "evacuations": create_evacuation_request,
    "parts": create_parts_request,
    "keys": create_key_request,
}
# By name: the kind of play, the process and the port that are called, and the number
# of requests. Most are enough for more than `MEMORY_BYTES` if all names are kept.
SCENARIOS = {
    "directory": (NamePlay, "configuration", "directory", 8_000),
    "heartbeats": (NamePlay, "configuration", "api", 20_000),
    "leaves": (NamePlay, "configuration", "api", 4_000),
    "evacuations": (NamePlay, "configuration", "api", 1_000),
    "parts": (PlatformNamePlay, "gateway", "listen", 1_000),
    "keys": (PlatformNamePlay, "gateway", "listen", 8_000),
}


def create_play(name):
    """Return the play of a scenario."""
    kind, target, port, requests = SCENARIOS[name]
    clients = ClientOptions(target, (port,), name)
    return kind(name, StopOptions(), clients=clients, requests=requests)


def main():
    """Play the scenarios named on the command line, or all."""
    play_all(map(create_play, sys.argv[1:] or SCENARIOS), describe)


if __name__ == "__main__":
    main()
