"""A client: it sends requests over kept channels, each with an id of its own."""

import asyncio
import json
import random
import secrets

from deployment import (
    Answer,
    Deployment,
    Machine,
    call,
    format_request,
    read_answer,
)


async def resolve(deployment: Deployment, region: str, zone: str) -> list[Machine]:
    """Ask the directory for gateways, at up to three nodes, nearest first."""
    cores = sorted(
        deployment.cores, key=lambda each: (each.zone != zone, each.region != region)
    )
    path = f"/resolve?name=calls.example&region={region}&zone={zone}"
    for core in cores[:3]:
        answer = await call(core.ip, deployment.directory_port, "GET", path)
        if answer is not None and answer.status == 200:
            addresses = json.loads(answer.body)["addresses"]
            ips = {address.rpartition(":")[0] for address in addresses}
            return [each for each in deployment.fronts if each.ip in ips]
    return []


def choose_front(fronts: list[Machine], failed: set[str]) -> Machine | None:
    """Return one of the gateways at random, without those that have failed."""
    sound = [each for each in fronts if each.name not in failed]
    return random.choice(sound) if sound else None


class Client:
    """Sends requests to one gateway over one kept channel."""

    def __init__(self, deployment: Deployment, front: Machine) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.front = front
        self._channel: tuple | None = None
        # Request id, status (None without an answer) of each request.
        self.answers: list[tuple[str, int | None]] = []

    async def send(
        self,
        method: str = "POST",
        path: str = "/orders/1",
        deadline_ms: int = 5000,
        headers: dict[str, str] | None = None,
        body: bytes = b"order",
    ) -> tuple[str, Answer | None]:
        """Send a request; return its id and the answer, or None."""
        request_id = secrets.token_hex(8)
        sent = {
            "Host": "calls.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        answer = None
        self.record.write(f"client sends {method} {request_id} to {self.front.name}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                if self._channel is None:
                    self._channel = await asyncio.open_connection(
                        self.front.ip, self.deployment.front_port
                    )
                reader, writer = self._channel
                writer.write(format_request(method, path, sent, body))
                await writer.drain()
                answer = await read_answer(reader)
        except (OSError, TimeoutError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        status = answer.status if answer is not None else None
        self.answers.append((request_id, status))
        self.record.write(f"client gets {status} for {request_id}")
        return request_id, answer

    def close(self) -> None:
        """Close the channel."""
        if self._channel is not None:
            self._channel[1].close()
        self._channel = None
