"""Decoders of HTTP and its headers, with valid input, for the fuzz test."""

import pathlib
import sys
import types

import h11

from buckthorndeal._event_buffer import EventBuffer
from buckthorndeal._http_connection import ClientConnection, create_protocol
from buckthorndeal._http_incomplete import create_incomplete_requests
from buckthorndeal._http_protocol import create_protocol as create_server_protocol
from buckthorndeal._http_reading import RequestReader
from buckthorndeal._http_response import read_head
from buckthorndeal.connections import create_connection_limits
from buckthorndeal.entry._calls import _read_usage
from buckthorndeal.errors import (
    RequestError,
    WireError,
)
from buckthorndeal.gateway._events import EventSplitter
from buckthorndeal.gateway.dialect import create_default_dialect
from buckthorndeal.http_server import Request
from buckthorndeal.memory import create_memory_account
from buckthorndeal.settings import (
    Limits,
)
from buckthorndeal.streams import create_cursor, create_event_parser
from tests.decoder_fuzz import Decoder

sys.path.append(str(pathlib.Path(__file__).parent.parent / "platform"))

import headnames

PIECE_BYTES = 4_096
REQUEST = (
    b"POST /a?x=1 HTTP/1.1\r\nHost: x\r\ncontent-length: 5\r\n"
    b"buckthorndeal-timeout-ms: 100\r\n\r\nhello"
)
CHUNKED = (
    b"POST / HTTP/1.1\r\nHost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    b"5;a=b\r\nhello\r\n0\r\nx: y\r\n\r\n"
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\nretry-after: 1.5\r\n"
    b"content-length: 5\r\nx-server-load: 1,2,3\r\n\r\nhello"
)
EVENTS = b'id: 1\ndata: {"a": 1}\n\nid: r:2\nevent: message\ndata: x\n\n: comment\n\n'


class _Stream:
    """Stream that gives bytes, and then its end."""

    def __init__(self, data):
        self._data = data

    def has_unsent(self):
        return False

    async def recv(self, max_bytes):
        size = min(max_bytes, PIECE_BYTES)
        data, self._data = self._data[:size], self._data[size:]
        return data

    async def sendall(self, data):
        del data

    def is_readable(self):
        return True

    def end_reading(self):
        self._data = b""

    async def abort(self):
        self._data = b""


def create_http_decoders():
    errors = (RequestError,)
    return [
        Decoder("HTTP request", _read_requests, errors, (REQUEST, CHUNKED)),
        Decoder("HTTP response", _read_response, errors, (RESPONSE,)),
        Decoder(
            "usage of a completion",
            _read_completion,
            (),
            (b'{"usage": {"prompt_tokens": 1, "completion_tokens": 2}}',),
        ),
        Decoder("request headers", _parse_request, errors, (b"12;1,2;k:4,l:5",)),
        Decoder("response headers", _parse_response, (), (b"1,2,3", b"1.5")),
        Decoder(
            "event buffer",
            lambda data: EventBuffer().feed(data),
            (WireError,),
            (EVENTS,),
        ),
        Decoder("events", _split_events, (WireError,), (EVENTS,)),
        Decoder("parsed events", _parse_events, (WireError,), (EVENTS,)),
    ]


async def _read_requests(data):
    stream = _Stream(data)
    limits = Limits(max_body_bytes=1 << 20)
    connection = create_server_protocol(limits)
    incomplete = create_incomplete_requests(lambda: 1)
    windows = create_connection_limits().windows
    reader = RequestReader(stream, create_memory_account(), incomplete, windows)
    while (request := await reader.read(connection, limits)) is not None:
        reader.release()
        _ = request.path
        if connection.their_state is not h11.DONE:
            return
        if connection.our_state is not h11.SEND_RESPONSE:
            return
        connection.send(
            h11.Response(status_code=200, headers=[("content-length", "0")])
        )
        connection.send(h11.EndOfMessage())
        if connection.our_state is not h11.DONE:
            return
        connection.start_next_cycle()


async def _read_response(data):
    protocol = create_protocol()
    protocol.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    protocol.send(h11.EndOfMessage())
    account = create_memory_account()
    response = await read_head(ClientConnection(_Stream(data), protocol, account, "x"))
    _parse_response_headers(response.status, response.headers)
    await response.read()


def _read_completion(data):
    _read_usage(types.SimpleNamespace(), types.SimpleNamespace(body=data))


def _parse_request(data):
    """Parse headers that give a time, token counts and parts of a prompt."""
    time, _, rest = data.decode("latin-1").partition(";")
    counts, _, parts = rest.partition(";")
    headers = {
        headnames.DEADLINE_MS: time,
        headnames.RESUME_AFTER: time,
        "buckthorndeal-timeout-ms": time,
        "last-event-id": time,
        headnames.TOKEN_COUNTS: counts,
        headnames.PROMPT_PARTS: parts,
        headnames.MODEL: "m",
    }
    for dialect in (create_default_dialect(), headnames.HeadDialect()):
        dialect.parse_request(Request("GET", "/", headers))


def _parse_response(data):
    value = data.decode("latin-1")
    names = (
        "retry-after",
        headnames.LOAD,
        headnames.RATE_LIMIT,
        headnames.REJECTION_LIMIT,
        headnames.COLD_MS,
        "buckthorndeal-cold-ms",
    )
    _parse_response_headers(503, dict.fromkeys(names, value))


def _parse_response_headers(status, headers):
    for dialect in (create_default_dialect(), headnames.HeadDialect()):
        dialect.parse_response(status, headers)
        dialect.parse_health(headers)


def _split_events(data):
    splitter = EventSplitter()
    for start in range(0, len(data), 7):
        splitter.feed(data[start : start + 7])


def _parse_events(data):
    parser = create_event_parser()
    cursor = create_cursor()
    for event in parser.feed(data):
        cursor.accept(event, "r")
