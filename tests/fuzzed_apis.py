"""Decoders of requests to the APIs, with valid input, for the fuzz test."""

import json
import pathlib
import sys
import types

import msgspec

from buckthorndeal import _operations_client, operations
from buckthorndeal.control import _api as control_api
from buckthorndeal.control import _models as control_models
from buckthorndeal.coordinator import create_default_handlers
from buckthorndeal.coordinator._service import CoordinatorService
from buckthorndeal.entry._endpoint_handler import handle_endpoint_message
from buckthorndeal.entry._parse import _parse_chat
from buckthorndeal.errors import (
    RequestError,
)
from buckthorndeal.http_server import Request
from buckthorndeal.routeformat import create_route_format
from tests.decoder_fuzz import Decoder
from tests.fleet_harness import create_configuration

sys.path.append(str(pathlib.Path(__file__).parent.parent / "platform"))

import controlapi
import routecodec

HEARTBEAT = {
    "incarnation": 1,
    "sequence": 2,
    "region": "a",
    "failure_domain": "a-1",
    "address": "10.0.0.1:80",
    "service": "s",
    "slots": 4,
    "cold_s": 1.5,
}
PLATFORM_HEARTBEAT = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "gulf-a",
    "slots": 64,
    "state": "ready",
    "sequence": 4,
    "cold_remaining_ms": 1500,
    "born": 1700000000000,
    "remaining_ms": 2000,
}
PLATFORM_DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "x.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 800,
            "split": [{"service": "s1", "weight": 90}],
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "s1", "max_connections": 64}],
}


class _Responder:
    """Responder that sends nothing."""

    async def respond(self, *response):
        del response

    async def respond_json(self, *response):
        del response


class _Fleet:
    """Mailbox of a fleet task that accepts everything."""

    async def ask(self, message):
        msgspec.msgpack.encode(getattr(message, "record", None))
        return True


def _create_service(codec):
    service = CoordinatorService(codec, None, _Fleet())

    async def ask_leader(*messages):
        return types.SimpleNamespace(version=1)

    async def choose(*location):
        return None

    async def choose_hosts(*place):
        return []

    service._ask_leader = ask_leader
    service.choose_entry_hosts = choose_hosts
    service.choose_registrar = choose
    return service


def _create_requests(handlers, prefix, method, path):
    """Return a function that lets a handler of an API handle a body."""

    async def handle(data):
        await handlers[0](Request(method, prefix + path, {}, data), _Responder())

    return handle


def create_api_decoders():
    own = create_default_handlers(_create_service(create_route_format()), 0.5)
    platform = controlapi.create_handlers(
        _create_service(routecodec.DocumentCodec()), {"gulf-a": "gulf"}, 0.5
    )
    heartbeat = json.dumps(HEARTBEAT).encode()
    document = json.dumps(PLATFORM_DOCUMENT).encode()
    errors = (RequestError,)
    return [
        Decoder(
            "heartbeat",
            _create_requests(own, "/v1/endpoints/e/", "POST", "heartbeat"),
            errors,
            (heartbeat,),
        ),
        Decoder(
            "leave",
            _create_requests(own, "/v1/endpoints/e/", "POST", "leave"),
            errors,
            (b'{"incarnation": 1}',),
        ),
        Decoder(
            "configuration put",
            _create_requests(own, "/v1/", "PUT", "configuration"),
            errors,
            (create_configuration(),),
        ),
        Decoder(
            "paths",
            lambda data: _handle_path(own, data),
            errors,
            (b"/v1/endpoints/e/heartbeat", b"/v1/evacuations/a-1?name=x&region=a"),
        ),
        Decoder(
            "heartbeat of the platform",
            _create_requests(platform, "/instances/i/", "POST", "heartbeat"),
            (),
            (json.dumps(PLATFORM_HEARTBEAT).encode(),),
        ),
        Decoder(
            "leave of the platform",
            _create_requests(platform, "/instances/i/", "POST", "leave"),
            (),
            (b'{"born": 1700000000000}',),
        ),
        Decoder(
            "configuration put of the platform",
            _create_requests(platform, "/config/", "POST", "put"),
            (),
            (document,),
        ),
        Decoder(
            "paths of the platform",
            lambda data: _handle_path(platform, data),
            (),
            (
                b"/instances/i/heartbeat",
                b"/evacuation/gulf-a/start",
                b"/resolve?name=a",
            ),
        ),
        Decoder(
            "body of the control API",
            lambda data: control_api._decode_body(data, control_models.ChangeBody),
            errors,
            (b'{"base_revision": 1, "change_id": "a", "text": "{}"}',),
        ),
        Decoder(
            "error of the control API",
            _operations_client.decode_error,
            (),
            (b'{"error": {"code": "a", "message": "b"}}',),
        ),
        Decoder(
            "response of the control API",
            lambda data: operations._decode((200, data), control_models.DocumentBody),
            errors,
            (b'{"revision": 1, "sections": []}',),
        ),
        Decoder(
            "message of an endpoint",
            _handle_endpoint_message,
            errors,
            (b'{"name": "e", "region": "b"}',),
        ),
        Decoder("chat", _parse_chat_body, errors, (b'{"model": "m", "stream": true}',)),
    ]


async def _handle_path(handlers, data):
    target = data.decode("latin-1")
    for handler in handlers:
        for method in ("POST", "PUT", "GET"):
            await handler(Request(method, target, {}, b"{}"), _Responder())


async def _handle_endpoint_message(data):
    """Handle a message, which is refused as its region is another one."""
    context = types.SimpleNamespace(region="a")
    request = Request("POST", "/v1/endpoints/announce", {}, data)
    await handle_endpoint_message(context, request, _Responder())


def _parse_chat_body(data):
    platform = types.SimpleNamespace(services={})
    document = types.SimpleNamespace(platform=platform)
    _parse_chat(Request("POST", "/", {}, data), document)
