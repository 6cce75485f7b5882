"""A stand-in of a server of the platform: it reports itself and answers requests."""

import asyncio
import contextlib
import json
import time

from deployment import Deployment, call, read_head

HEARTBEAT_S = 1.2


class Server:
    """A sound server. `follow_up` may add what the pages allow a faulty one to send."""

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        service: str,
        ip: str,
        zone: str,
        work_s: float = 0.05,
        slots: int = 8,
    ) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        self.service = service
        self.ip = ip
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.address = f"{ip}:{deployment.server_port}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.reporting = True
        self.heartbeat_at: tuple[str, int] | None = None
        self.last_node: tuple[str, int] | None = None
        # Time, request id and method of each request that it began to work on.
        self.runs: list[tuple[float, str, str]] = []
        self.running = 0
        self._server: asyncio.Server | None = None
        self._reporter: asyncio.Task | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and begin to report."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.deployment.server_port
        )
        self._reporter = asyncio.create_task(self._report())

    async def close(self) -> None:
        """Stop at once."""
        if self._reporter is not None:
            self._reporter.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.close()

    def list_nodes(self) -> list[tuple[str, int]]:
        """Return the control addresses, those of the own zone first."""
        cores = sorted(
            self.deployment.cores, key=lambda each: (each.zone != self.zone, each.name)
        )
        return [(each.ip, self.deployment.control_port) for each in cores]

    def describe(self) -> dict:
        """Return the body of a status report."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _report(self) -> None:
        while True:
            if self.reporting:
                await self.report_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def report_once(self) -> bool:
        """Send a status report until a node acknowledges it; return whether one did."""
        body = json.dumps(self.describe()).encode()
        path = f"/instances/{self.name}/heartbeat"
        nodes = self.list_nodes()
        if self.heartbeat_at is not None:
            nodes.insert(0, self.heartbeat_at)
        for node in nodes:
            answer = await call(*node, "POST", path, body)
            if answer is None or not 200 <= answer.status < 300:
                if node == self.heartbeat_at:
                    self.heartbeat_at = None
                continue
            self.last_node = node
            named = json.loads(answer.body).get("heartbeat_address")
            if named:
                ip, _, port = named.rpartition(":")
                self.heartbeat_at = (ip, int(port))
            return True
        return False

    async def leave(self, nodes: list[tuple[str, int]]) -> tuple[str, int] | None:
        """Say that it leaves; return the node that acknowledged it."""
        self.reporting = False
        body = json.dumps({"born": self.born}).encode()
        for node in nodes:
            path = f"/instances/{self.name}/leave"
            answer = await call(*node, "POST", path, body)
            if answer is not None and 200 <= answer.status < 300:
                return node
        return None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        state: dict = {"late": b""}
        try:
            while await self._serve_one(reader, writer, state):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        state: dict,
    ) -> bool:
        found = await read_head(reader)
        if found is None:
            return False
        first, headers = found
        method, path, _ = first.split(" ", 2)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("x-request-id", "")
        if path == "/health":
            return await self._answer(writer, 200, request_id, b"")
        if headers.get("x-expect-instance", self.name) != self.name:
            return await self._answer(writer, 421, request_id, b"", not_run=True)
        if not request_id:
            return await self._answer(writer, 400, request_id, b"", not_run=True)
        if self.running >= self.slots:
            return await self._answer(writer, 503, request_id, b"", not_run=True)
        if state["late"]:
            # The extra answer comes late, where the next answer is expected.
            late, state["late"] = state["late"], b""
            self.record.write(f"{self.name} sends an extra answer before {request_id}")
            writer.write(late)
        self.runs.append((self.record.now(), request_id, method))
        self.record.write(f"{self.name} runs {method} {request_id}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        with contextlib.suppress(OSError):
            await self._answer(writer, 200, request_id, b"done " + body)
        state["late"] = self.follow_up(request_id)
        return True

    def follow_up(self, request_id: str) -> bytes:
        """Return an extra answer to a request; a sound server has none."""
        del request_id
        return b""

    def format_answer(
        self, status: int, request_id: str, body: bytes, not_run: bool = False
    ) -> bytes:
        """Return the bytes of an answer."""
        lines = [
            f"HTTP/1.1 {status} Answer",
            f"X-Server-Load: {self.running},0,{self.slots}",
            f"Content-Length: {len(body)}",
        ]
        if request_id:
            lines.append(f"X-Request-Id: {request_id}")
        if not_run:
            lines.append("X-Not-Executed: 1")
        else:
            lines.append(f"X-Server-Stamp: {self.name}.{request_id}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        not_run: bool = False,
    ) -> bool:
        writer.write(self.format_answer(status, request_id, body, not_run))
        await writer.drain()
        return True


def describe_state(
    version: int,
    service: str,
    kind: str = "unsafe",
    attempts: int = 2,
    timeout_ms: int = 5000,
    max_connections: int = 100,
) -> dict:
    """Return a desired state with one route to one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "calls.example",
                "path_prefix": "/orders/",
                "kind": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 500,
                "priority": 1,
                "service": service,
                "max_attempts": attempts,
                "sticky": False,
                "resumable": False,
                "gap_aim_ms": 0,
                "home_regions": [],
            }
        ],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_connections": max_connections,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
