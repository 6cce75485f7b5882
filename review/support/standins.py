"""Stand-ins for servers and clients, as the pages of the platform describe them."""

import asyncio
import contextlib
import hashlib
import itertools
import json
import time
from dataclasses import dataclass, field

from plant import CONTROL_PORT

MAX_HEAD_BYTES = 65_536
REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}


@dataclass
class Message:
    """Head and body of a request or a response; header names in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True


async def read_message(
    reader: asyncio.StreamReader, is_response: bool = False
) -> Message | None:
    """Read one message; None at the end of the channel before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(start, headers)
    if "chunked" in headers.get("transfer-encoding", ""):
        message.body = await _read_chunks(reader)
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif is_response:
        message.body = await reader.read()
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size:
            parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


@dataclass
class Run:
    """A request that a server has begun to work on."""

    request_id: str
    server: str
    service: str
    start: str
    headers: dict[str, str]
    body_digest: str
    begun_s: float
    ended_s: float | None = None
    cancelled: bool = False


def digest(content: bytes) -> str:
    """Return a short name for some bytes."""
    return hashlib.sha256(content).hexdigest()[:16]


class Server:
    """A server that registers, serves, and records what it runs.

    Parameters
    ----------
    endpoint, service, zone : str
        Its id, service and zone.
    address : str
        IP address to listen on.
    port : int
        Port to listen on.
    cores : list of str
        Addresses of the nodes that serve `control`.
    runs : list of Run
        Gets what it runs.
    work_s : float
        Time that a request takes; for a stream, the pause between events.
    slots : int
        Requests that it runs at once, as it reports.
    events : int
        Number of events of a stream.
    version : str
        Version of its software, which its events bear.
    report_after_s : float
        Time that its first status report is late.
    """

    def __init__(
        self,
        endpoint: str,
        service: str,
        zone: str,
        address: str,
        port: int,
        cores: list[str],
        runs: list[Run],
        work_s: float = 0.03,
        slots: int = 6,
        events: int = 20,
        version: str = "v1",
        report_after_s: float = 0.0,
    ) -> None:
        self.endpoint = endpoint
        self.service = service
        self.zone = zone
        self.address = address
        self.port = port
        self.cores = cores
        self.runs = runs
        self.work_s = work_s
        self.slots = slots
        self.events = events
        self.version = version
        self.report_after_s = report_after_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.connections: set[asyncio.StreamWriter] = set()
        self.acknowledged: list[tuple[float, str]] = []
        self.extra_headers: list[str] = []
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and report to the system."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, limit=MAX_HEAD_BYTES
        )
        self._beats = asyncio.create_task(self._beat())

    async def stop(self, abort: bool = True) -> None:
        """End, as after a crash; without `abort` open channels are closed."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self.connections):
            if abort:
                writer.transport.abort()
            else:
                writer.close()

    async def drain(self) -> bool:
        """Report that it drains; return whether that was acknowledged."""
        self.state = "draining"
        return await self.report()

    async def leave(self) -> bool:
        """Report that it leaves; return whether that was acknowledged."""
        body = json.dumps({"born": self.born}).encode()
        return await self._post(f"/instances/{self.endpoint}/leave", body)

    async def _beat(self) -> None:
        await asyncio.sleep(self.report_after_s)
        while True:
            await self.report()
            await asyncio.sleep(1.2)

    async def report(self) -> bool:
        """Send a status report; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        path = f"/instances/{self.endpoint}/heartbeat"
        return await self._post(path, json.dumps(body).encode())

    async def _post(self, path: str, body: bytes) -> bool:
        for core in self.cores:
            status = await post(core, CONTROL_PORT, path, body)
            if status is not None and 200 <= status < 300:
                self.acknowledged.append((time.monotonic(), path.rpartition("/")[2]))
                return True
        return False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self.answer(request, reader, writer)
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The channel has ended, or the stand-in ends.
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def begin(self, request: Message) -> Run:
        """Record that a request runs from now on."""
        run = Run(
            request.headers.get("x-request-id", ""),
            self.endpoint,
            self.service,
            request.start,
            request.headers,
            digest(request.body),
            time.monotonic(),
        )
        self.runs.append(run)
        return run

    def build_head(self, request: Message, status: int, *lines: str) -> bytes:
        """Return the head of a response."""
        head = [
            f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
            f"X-Request-Id: {request.headers.get('x-request-id', '')}",
            *self.extra_headers,
            *lines,
        ]
        return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1")

    async def refuse(
        self, request: Message, writer: asyncio.StreamWriter, status: int
    ) -> None:
        """Answer that the request has not run."""
        lines = ("X-Not-Executed: 1", "Content-Length: 0")
        writer.write(self.build_head(request, status, *lines))
        await writer.drain()

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        if request.start.startswith("GET /health "):
            lines = (f"X-Instance-Id: {self.endpoint}", "Content-Length: 0")
            writer.write(self.build_head(request, 200, *lines))
            await writer.drain()
            return
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.endpoint:
            await self.refuse(request, writer, 421)
            return
        run = self.begin(request)
        gone = asyncio.create_task(self._watch(reader))
        work = asyncio.create_task(self.work(request, writer))
        await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            run.cancelled = True
        run.ended_s = time.monotonic()
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await gone
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await work
        if run.cancelled:
            raise ConnectionResetError

    async def _watch(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof():
            await asyncio.sleep(0.01)
            if reader.exception() is not None:
                return

    async def work(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Do the work of a request and send its response."""
        stamp = f"X-Server-Stamp: {self.endpoint}.{next(_STAMPS)}"
        if "x-model" in request.headers:
            await self._stream(request, writer, stamp)
            return
        await asyncio.sleep(self.work_s)
        body = build_body(request)
        head = self.build_head(request, 200, stamp, f"Content-Length: {len(body)}")
        writer.write(head + body)
        await writer.drain()

    async def _stream(
        self, request: Message, writer: asyncio.StreamWriter, stamp: str
    ) -> None:
        lines = (
            stamp,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        writer.write(self.build_head(request, 200, *lines))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


_STAMPS = itertools.count(1)


def build_body(request: Message) -> bytes:
    """Return the body that every server gives for a request."""
    seed = f"{request.start} {request.headers.get('x-request-id', '')}"
    return (digest(seed.encode() + request.body) * 50).encode()


async def post(address: str, port: int, path: str, body: bytes) -> int | None:
    """Send a POST on a new channel; return the status, None without a response."""
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(address, port)
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {address}:{port}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            response = await read_message(reader, is_response=True)
            return int(response.start.split()[1]) if response else None
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


@dataclass
class Outcome:
    """What a client got for one attempt."""

    request_id: str
    sent_s: float
    ended_s: float = 0.0
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


async def send_once(
    address: str,
    port: int,
    head: str,
    body: bytes = b"",
    request_id: str = "",
    timeout_s: float = 5.0,
) -> Outcome:
    """Send one request on a new channel and read the whole response."""
    outcome = Outcome(request_id, time.monotonic())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            writer.write(head.encode("latin-1") + body)
            response = await read_message(reader, is_response=True)
            if response is not None:
                outcome.status = int(response.start.split()[1])
                outcome.headers = response.headers
                outcome.body = response.body
                outcome.complete = True
            else:
                outcome.error = "closed"
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError) as error:
        outcome.error = repr(error)
    finally:
        if writer is not None:
            writer.close()
    outcome.ended_s = time.monotonic()
    return outcome


def build_request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    lines: tuple[str, ...] = (),
    host: str = "h.example",
) -> str:
    """Return the head of a client's request."""
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        *lines,
    ]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head) + "\r\n\r\n"


def build_configuration(
    version: int, routes: list[dict], services: dict[str, dict]
) -> bytes:
    """Return a desired state; `routes` and `services` give what differs."""
    route_defaults = {
        "host": "h.example",
        "kind": "safe",
        "timeout_ms": 2500,
        "target_latency_ms": 500,
        "priority": 0,
        "max_attempts": 2,
        "sticky": False,
        "resumable": False,
        "home_regions": [],
    }
    service_defaults = {
        "health_path": "/health",
        "max_connections": 100,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }
    document = {
        "version": version,
        "routes": [{**route_defaults, **each} for each in routes],
        "services": [
            {"name": name, **service_defaults, **each}
            for name, each in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(document).encode()
