"""Load of the relay benchmark: an endpoint with a fixed token rate, and callers.

Run as ``python -m buckthorndeal.bench._relay_load endpoint`` or
``... callers PORT COUNT STREAMS``: processes of their own, so that neither shares a
core with the measured entry host.
"""

import sys
import time
from dataclasses import dataclass, field

import curio
import msgspec

from buckthorndeal.http_client import HttpPool, create_http_pool
from buckthorndeal.http_server import Request, Responder, create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.streams import END_DATA, Event, format_event
from buckthorndeal.transport import create_socket_transport

__all__ = ["HEADERS", "KEY", "STREAM_TOKENS", "CallerReport"]

KEY = "bench-key"
HEADERS = [
    ("authorization", f"Bearer {KEY}"),
    ("content-type", "application/json"),
    ("buckthorndeal-deadline-ms", "60000"),
]
TOKEN_INTERVAL_S = 0.030
# 1M tokens/s divided by 4,900 requests/s, the rates at the target size.
STREAM_TOKENS = 204
TOKEN_DATA = '{"choices": [{"index": 0, "delta": {"content": "bell "}}]}'
LIFETIME_S = 120


@dataclass
class CallerReport:
    """Results of the callers of one process; token gaps in seconds."""

    tokens: int = 0
    failures: int = 0
    gaps_s: list[float] = field(default_factory=list)


async def _serve(request: Request, responder: Responder) -> None:
    request_id = request.headers.get("buckthorndeal-request-id", "direct")
    headers = [("buckthorndeal-request-id", request_id)]
    if not request.path.startswith("/v1/chat"):
        await responder.respond(200, b'{"stock": 3}', headers=headers)
        return
    headers.append(("content-type", "text/event-stream"))
    await responder.start(200, headers)
    for index in range(STREAM_TOKENS):
        event = Event(f"{request_id}:{index}", TOKEN_DATA)
        await responder.send(format_event(event))
        await curio.sleep(TOKEN_INTERVAL_S)
    end = Event(f"{request_id}:{STREAM_TOKENS}", END_DATA)
    await responder.send(format_event(end))
    await responder.finish()


async def _run_endpoint() -> None:
    server = create_http_server(_serve, Limits())
    await server.start(create_socket_transport(), "127.0.0.1", 0)
    print(server.port, flush=True)
    await curio.sleep(LIFETIME_S)


async def _read_stream(pool: HttpPool, report: CallerReport) -> None:
    body = msgspec.json.encode(
        {
            "model": "bench",
            "stream": True,
            "messages": [{"role": "user", "content": "catalogue page"}],
        }
    )
    path = "/v1/chat/completions"
    async with pool.request("POST", path, HEADERS, body) as response:
        last_s = None
        text = b""
        while part := await response.read_part():
            now_s = time.monotonic()
            if last_s is not None:
                report.gaps_s.append(now_s - last_s)
            last_s = now_s
            text += part
    tokens = text.count(b"bell ")
    report.tokens += tokens
    report.failures += tokens != STREAM_TOKENS


async def _run_caller(pool: HttpPool, report: CallerReport, streams: int) -> None:
    for _ in range(streams):
        await _read_stream(pool, report)


async def _run_callers(port: int, count: int, streams: int) -> None:
    report = CallerReport()
    pool = create_http_pool(create_socket_transport(), "127.0.0.1", port, count)
    async with curio.TaskGroup() as group:
        for _ in range(count):
            await group.spawn(_run_caller, pool, report, streams)
    await pool.close()
    print(msgspec.json.encode(report).decode(), flush=True)


def main(arguments: list[str]) -> None:
    """Run an endpoint or callers, as the arguments say."""
    if arguments[0] == "endpoint":
        curio.run(_run_endpoint)
    else:
        curio.run(_run_callers, *map(int, arguments[1:]))


if __name__ == "__main__":
    main(sys.argv[1:])
