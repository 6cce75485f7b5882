"""Tests of the adapter to the users' platform and of its boundaries."""

import json
import os
import pathlib
import re
import subprocess
import sys
import unittest
from unittest import mock

import curio
import h11

from buckthorndeal.configuration import ConfigurationError, RequestKind
from buckthorndeal.errors import RequestError
from buckthorndeal.fleet import EndpointState
from buckthorndeal.gateway.dialect import EndpointHints
from buckthorndeal.http_server import Request, Responder
from buckthorndeal.workspaces import QuotaUnit

ROOT = pathlib.Path(__file__).parent.parent
ADAPTER = ROOT / "platform"
sys.path.append(str(ADAPTER))

import controlapi  # noqa: E402
import headnames  # noqa: E402
import nodefile  # noqa: E402
import routecodec  # noqa: E402

# Names of the platform that may occur only in the adapter.
WIRE_NAMES = re.compile(
    r"x-(server-stamp|expect-instance|not-executed|server-load|cold-ms|kv-backup"
    r"|prompt-prefix|deadline-ms|token-count|cache-hold|pin-ms|request-urgency"
    r"|credential|tenant)"
    r"|kv-from|kv-fetch|node_file|target_latency_ms|gap_aim_ms|max_attempts_"
    r"|api_keys|plain_tokens|allow_anonymous"
    r"|path_prefix_|heartbeat_ms|cold_remaining_ms|internal_ports|loss_counted",
    re.IGNORECASE,
)
MAX_ADAPTER_LINES = 1_500

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "Ficu.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 800,
            "priority": 1,
            "split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 400,
            "home_regions": ["gulf"],
        }
    ],
    "services": [
        {
            "name": "s1",
            "health_path": "/health",
            "max_connections": 370,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 3.0,
            "cold_per_s": 2.9,
            "engine": {"slots": 64, "kv_capacity_tokens": 9000, "moves": True},
        },
        {"name": "s2", "max_connections": 110},
    ],
    "limits": {"max_body_bytes": 99, "idle_timeout_ms": 15000},
}

NODE = """
node_name = "front-gulf-a-1"
ip = "10.1.0.35"
zone = "gulf-a"
region = "gulf"
internal_ports = [7660,7675]
seeds = ["10.1.0.37:8146","10.2.0.29:8146"]
bootstrap = true
unknown_field = 1
heartbeat_ms = 1200
data_dir = "/data/x"
[zones]
gulf-a = "gulf"
[listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
control = "10.1.0.35:8146"
directory = "10.1.0.35:8143"
[limits]
max_fds = 8200
memory_mb = 560
[bounds]
grace_s = 8
budget_slack = 58
quota_overage = 0.2
quota_slack = 110_000
"""


def encode(**changes):
    return json.dumps({**DOCUMENT, **changes}).encode()


class BoundaryTest(unittest.TestCase):
    """Only the adapter uses names of the platform, and the adapter stays small."""

    def test_names(self):
        for file in (ROOT / "buckthorndeal").rglob("*.py"):
            found = WIRE_NAMES.search(file.read_text(encoding="utf-8"))
            self.assertIsNone(found, f"{file}: {found}")

    def test_size(self):
        lines = sum(
            len(file.read_text(encoding="utf-8").splitlines())
            for file in ADAPTER.glob("*.py")
        )
        self.assertLess(lines, MAX_ADAPTER_LINES)

    def test_module_names_do_not_shadow_standard_library(self):
        names = {file.stem for file in ADAPTER.glob("*.py")}
        self.assertFalse(names & set(sys.stdlib_module_names))
        self.assertFalse((ADAPTER / "__init__.py").exists())


class LaunchTest(unittest.TestCase):
    """A program survives signals from its first moments on."""

    def test_reload_signal_while_modules_load_does_not_end_the_process(self):
        """Guards against a process that a reload ends before it serves."""
        script = (
            "import os, signal; import earlysignals; "
            "os.kill(os.getpid(), signal.SIGHUP); print('alive')"
        )
        result = subprocess.run(
            [sys.executable, "-c", script],
            cwd=ADAPTER,
            env={**os.environ, "PYTHONPATH": str(ADAPTER)},
            capture_output=True,
            check=False,
        )
        self.assertEqual((result.returncode, result.stdout), (0, b"alive\n"))


class DocumentCodecTest(unittest.TestCase):
    """A configuration document is converted to typed fields or rejected."""

    def setUp(self):
        self.codec = routecodec.DocumentCodec()

    def test_fields(self):
        configuration = self.codec.decode(encode())
        route = configuration.routes[0]
        self.assertIs(route.kind, RequestKind.STREAM)
        self.assertEqual(route.host, "ficu.example")
        self.assertEqual((route.timeout_s, route.latency_objective_s), (4.0, 0.8))
        self.assertTrue(route.retryable)
        self.assertEqual(route.home_regions, frozenset({"gulf"}))
        self.assertEqual(configuration.services[0].engine.kv_capacity_tokens, 9000)
        self.assertEqual(configuration.limits.idle_timeout_s, 15.0)

    def test_invalid(self):
        route = DOCUMENT["routes"][0]
        cases = {
            "truncated": encode()[:-20],
            "zero timeout": encode(routes=[{**route, "timeout_ms": 0}]),
            "duplicate host and path": encode(routes=[route, {**route, "name": "r2"}]),
            "unknown service": encode(
                routes=[{**route, "split": None, "service": "s9"}]
            ),
            "zero weight": encode(
                routes=[{**route, "split": [{"service": "s1", "weight": 0}]}]
            ),
            "unknown kind": encode(routes=[{**route, "kind": "odd"}]),
            "no service": encode(routes=[{**route, "split": None}]),
            "version of the wrong type": encode(version="7"),
        }
        for name, content in cases.items():
            with self.subTest(name), self.assertRaises(ConfigurationError):
                self.codec.decode(content)

    def decode_tenants(self, *tenants):
        return self.codec.decode(encode(tenants=tenants)).workspaces

    def test_tenants(self):
        """Guards against fields of a tenant that are read wrongly or not at all."""
        tenant = {
            "name": "acme",
            "api_keys": ["k1", "k2"],
            "priority": 2,
            "unit": "tokens",
            "plain_tokens": 700,
            "rate_per_s": 1200.5,
            "burst": 4000,
            "home_regions": ["gulf"],
            "later_field": 1,
        }
        first, second = self.decode_tenants(tenant, {"name": "bare"})
        self.assertEqual((first.name, first.keys), ("acme", ("k1", "k2")))
        self.assertEqual((first.priority, first.default_tokens), (2, 700))
        self.assertIs(first.unit, QuotaUnit.TOKENS)
        self.assertEqual((first.rate_per_s, first.burst), (1200.5, 4000))
        self.assertEqual(first.home_regions, frozenset({"gulf"}))
        self.assertIs(second.unit, QuotaUnit.REQUESTS)
        self.assertEqual((second.priority, second.burst), (None, 0))
        self.assertFalse(second.is_limited)

    def test_absent_and_empty_tenants(self):
        """Guards against asking for keys where there are no tenants."""
        for changes in ({}, {"tenants": None}, {"tenants": []}):
            self.assertEqual(self.codec.decode(encode(**changes)).workspaces, ())

    def test_fields_without_a_value(self):
        """Guards against refusing a document that writes absent fields as null."""
        names = ("priority", "unit", "plain_tokens", "rate_per_s", "burst")
        tenant = {"name": "a", "api_keys": ["k"], **dict.fromkeys(names)}
        (workspace,) = self.decode_tenants({**tenant, "home_regions": None})
        self.assertEqual(workspace.home_regions, frozenset())

    def test_invalid_tenants(self):
        """Guards against tenants that take effect although they contradict."""
        tenant = {"name": "a", "api_keys": ["k"]}
        cases = {
            "key of two": [tenant, {"name": "b", "api_keys": ["k"]}],
            "key given twice": [{"name": "a", "api_keys": ["k", "k"]}],
            "name of two": [tenant, {"name": "a", "api_keys": ["j"]}],
            "empty key": [{"name": "a", "api_keys": [""]}],
            "empty name": [{**tenant, "name": ""}],
            "no name": [{"api_keys": ["k"]}],
            "negative rate": [{**tenant, "rate_per_s": -0.5}],
            "infinite burst": [{**tenant, "burst": 1e308}],
            "negative priority": [{**tenant, "priority": -1}],
            "negative plain tokens": [{**tenant, "plain_tokens": -1}],
            "unknown unit": [{**tenant, "unit": "bytes"}],
            "key of the wrong type": [{**tenant, "api_keys": "k"}],
        }
        for name, tenants in cases.items():
            with self.subTest(name), self.assertRaises(ConfigurationError):
                self.decode_tenants(*tenants)

    def test_numbers_that_json_cannot_hold(self):
        """Guards against an infinite rate, which is no limit at all."""
        content = encode(tenants=[{"name": "a", "rate_per_s": 1.5}]).decode()
        for number in ("1e999", "NaN", "Infinity", "-1e999"):
            changed = content.replace("1.5", number).encode()
            with self.subTest(number), self.assertRaises(ConfigurationError):
                self.codec.decode(changed)

    def test_anonymous_callers(self):
        route = DOCUMENT["routes"][0]
        self.assertFalse(self.codec.decode(encode()).routes[0].allows_anonymous)
        opened = encode(routes=[{**route, "allow_anonymous": True}])
        self.assertTrue(self.codec.decode(opened).routes[0].allows_anonymous)


class HeadDialectTest(unittest.TestCase):
    """Headers are parsed into typed fields; callers cannot set the gateway's."""

    def setUp(self):
        self.dialect = headnames.HeadDialect()

    def test_request(self):
        headers = {
            "x-request-id": "q",
            "x-deadline-ms": "4000",
            "last-event-id": "12",
            "resumes": "9c41",
            "x-model": "m",
            "x-token-count": "1460,80",
            "x-prompt-prefix": "5c1e:800, 91bd:410",
        }
        metadata = self.dialect.parse_request(Request("POST", "/", headers))
        self.assertEqual((metadata.timeout_s, metadata.resume_after), (4.0, 12))
        self.assertEqual(metadata.resumes, "9c41")
        self.assertEqual(
            (metadata.prompt.tokens, metadata.prompt.max_output_tokens), (1460, 80)
        )
        self.assertEqual(metadata.prompt.parts[1].tokens, 410)

    def test_malformed_request(self):
        for name, value in (
            ("x-deadline-ms", "-1"),
            ("last-event-id", "x"),
            ("x-token-count", "12"),
        ):
            headers = {"x-model": "m", "x-token-count": "1,2", name: value}
            with self.subTest(name), self.assertRaises(RequestError):
                self.dialect.parse_request(Request("POST", "/", headers))

    def test_gateway_headers_of_callers_are_dropped(self):
        headers = {"kv-from": "x", "x-cache-hold": "h", "x-own": "kept"}
        hints = EndpointHints("i-1", 3)
        sent = dict(self.dialect.build_headers(headers, 1.5, hints, None))
        self.assertEqual(
            sent,
            {"x-own": "kept", "x-deadline-ms": "1500", "x-expect-instance": "i-1"},
        )

    def test_key_and_name_of_the_workspace(self):
        """Guards against a key, or a forged name, that reaches an endpoint."""
        headers = {
            "x-credential": "k",
            "x-tenant": "forged",
            "authorization": "Bearer own",
        }
        metadata = self.dialect.parse_request(Request("POST", "/", headers))
        self.assertEqual((metadata.key, metadata.caller), ("k", "Bearer own"))
        cases = (
            (EndpointHints("i-1", None, workspace="acme"), "acme"),
            (EndpointHints("i-1", None), None),
            (None, None),
        )
        for hints, name in cases:
            sent = dict(self.dialect.build_headers(headers, 1.5, hints, None))
            self.assertEqual(sent.get("x-tenant"), name)
            self.assertNotIn("x-credential", sent)
            self.assertEqual(sent["authorization"], "Bearer own")

    def test_empty_key(self):
        """Guards against an empty header that counts as an unknown key."""
        for headers in ({}, {"x-credential": ""}):
            metadata = self.dialect.parse_request(Request("POST", "/", headers))
            self.assertIsNone(metadata.key)

    def test_cache_source_and_urgency(self):
        headers = {"x-model": "m", "kv-fetch": "10.9.9.9:80"}
        hints = EndpointHints("i-1", 3, "10.0.0.9:80")
        sent = dict(self.dialect.build_headers(headers, 1.5, hints, None))
        self.assertEqual(sent["kv-fetch"], "10.0.0.9:80")
        self.assertEqual(sent["x-request-urgency"], "3")

    def test_requests_without_priority(self):
        """A priority that a caller sends does not count either."""
        headers = {"x-model": "m", "x-request-urgency": "0"}
        hints = EndpointHints("i-1", None)
        sent = dict(self.dialect.build_headers(headers, 1.5, hints, None))
        self.assertNotIn("x-request-urgency", sent)

    def test_response(self):
        metadata = self.dialect.parse_response(
            503, {"x-not-executed": "1", "x-server-load": "3,1,8"}
        )
        self.assertTrue(metadata.not_run)
        self.assertFalse(metadata.authentic)
        self.assertEqual(metadata.load.waiting, 1)
        self.assertIsNone(self.dialect.parse_response(200, {"x-server-load": "3"}).load)

    def test_retry_after_has_fractions(self):
        self.assertEqual(self.dialect.format_retry_after(0.254), "0.26")

    def test_load_report_has_three_or_four_figures(self):
        """Guards against a report that is dropped because of a further figure."""
        load = self.parse_load("3,1,8")
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 8))
        self.assertIsNone(load.slowdown)
        load = self.parse_load("3, 1, 8, 250")
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 8))
        self.assertEqual(load.slowdown, 2.5)

    def test_malformed_load_report_is_logged_once(self):
        """Guards against a service whose reports are all dropped in silence."""
        values = ("3,1", "3,1,8,100,2", "1," * 1000, "-1,0,8,100", "1,0,8,nan", "")
        with mock.patch.object(headnames, "log_event") as log_event:
            for value in values:
                self.assertIsNone(self.parse_load(value), value[:20])
        log_event.assert_called_once()
        self.assertEqual(log_event.call_args.args, ("load_report_malformed",))

    def test_tokens_are_counted_without_a_model(self):
        """Guards against a quota that is evaded by leaving out the model."""
        for value, tokens in (("9000,100", 9100), ("9000", 9000), ("x", None)):
            request = Request("GET", "/", {"x-token-count": value}, b"")
            metadata = self.dialect.parse_request(request)
            self.assertEqual(metadata.tokens, tokens)
            self.assertIsNone(metadata.prompt)

    def test_missing_load_report_is_not_logged(self):
        """Guards against a log line for each response of a service without reports."""
        with mock.patch.object(headnames, "log_event") as log_event:
            self.assertIsNone(self.dialect.parse_response(200, {}).load)
        log_event.assert_not_called()

    def test_health_response(self):
        """Guards against a cold time that is read from a malformed value."""
        named = {"x-instance-id": "i-7f"}
        for value, cold_s in (("1280", 1.28), ("12.5", 0.0125), ("-1", None)):
            answer = self.dialect.parse_health({**named, "x-cold-ms": value})
            self.assertEqual((answer.endpoint, answer.cold_s), ("i-7f", cold_s))
        self.assertEqual(self.dialect.parse_health(named).cold_s, 0.0)
        self.assertIsNone(self.dialect.parse_health({}).endpoint)

    def parse_load(self, value):
        return self.dialect.parse_response(200, {"x-server-load": value}).load


class NodeFileTest(unittest.TestCase):
    """The settings file is converted to settings of the daemons."""

    def setUp(self):
        import tomllib

        import msgspec

        self.node = msgspec.convert(tomllib.loads(NODE), nodefile.NodeFile)

    def test_gateway(self):
        settings = nodefile.create_gateway_settings(self.node)
        self.assertEqual(settings.listen.port, 8144)
        self.assertEqual(settings.seeds[1].address, "10.2.0.29")
        self.assertEqual(settings.seeds[1].port, settings.peer_listen.port)
        self.assertEqual(settings.retry_budget.slack, 58)
        self.assertLess(settings.drain_timeout_s, 8)

    def test_quota_is_the_same_for_both_programs(self):
        """Guards against a leader that divides another bound than hosts expect."""
        for create in (
            nodefile.create_gateway_settings,
            nodefile.create_coordinator_settings,
        ):
            quota = create(self.node).quota
            self.assertEqual(quota.window_s, 8.0)
            self.assertEqual(quota.overage, 0.2)
            self.assertEqual(quota.slack, 110_000)

    def test_sockets_stay_within_the_descriptors_of_the_platform(self):
        """Guards against limits of single listeners whose sum exceeds `max_fds`."""
        self.assertEqual(nodefile.get_max_descriptors(self.node), 8000)
        self.node.limits.max_fds = 0
        self.assertGreater(nodefile.get_max_descriptors(self.node), 100)

    def test_memory_of_a_process_is_passed_on(self):
        """Guards against an account of bytes that ignores the limit of the process."""
        self.assertEqual(nodefile.get_memory_bytes(self.node), 560_000_000)
        self.node.limits.memory_mb = None
        self.assertIsNone(nodefile.get_memory_bytes(self.node))

    def test_drain_of_a_host_without_a_replacement(self):
        """Guards against refusing callers before another host of the region is back.

        The other host may have stopped 4 s earlier. It is back after the whole grace
        period, 0.7 s to start and 0.5 s until callers learn of it. The last accepted
        request still has 1 s, and the last accepted stream half of the drain time.
        """
        settings = nodefile.create_gateway_settings(self.node)
        returned_s = self.node.bounds.grace_s + 0.7 + 0.5 - 4.0
        self.assertGreater(settings.drain_alone_s, returned_s)
        self.assertLess(settings.drain_alone_s, settings.drain_timeout_s - 1.0)
        self.assertLess(settings.drain_notice_s, settings.drain_stream_s)
        self.assertLess(settings.drain_stream_s, settings.drain_timeout_s / 2)

    def test_losses_that_coordinators_bear_are_passed_on(self):
        """Guards against voters whose number ignores how many disks may be lost."""
        self.node.fault_tolerance = nodefile.FaultTolerance(2, 1, 1)
        tolerance = nodefile.create_coordinator_settings(self.node).fault_tolerance
        self.assertEqual(tolerance.hosts, 2)
        self.assertEqual(tolerance.failure_domains, 1)
        self.assertEqual(tolerance.regions, 1)

    def test_coordinator(self):
        settings = nodefile.create_coordinator_settings(self.node)
        self.assertEqual(settings.api_listen.port, 8146)
        self.assertTrue(settings.bootstrap)
        self.assertEqual(settings.regions, {"gulf-a": "gulf"})


class FakeService:
    """Records reported heartbeats and leaving endpoints."""

    def __init__(self):
        self.records = []
        self.acknowledges = True

    async def report_heartbeat(self, record):
        self.records.append(record)
        return self.acknowledges

    async def report_leave(self, endpoint, incarnation):
        self.records.append((endpoint, incarnation))
        return self.acknowledges

    async def choose_registrar(self, region, failure_domain):
        return "10.1.0.9:8146"

    async def choose_entry_hosts(self, name, region, failure_domain):
        return []


class BytesStream:
    """Collects the bytes that are sent."""

    def __init__(self):
        self.sent = b""

    async def sendall(self, data):
        self.sent += data


class ControlApiTest(unittest.TestCase):
    """Requests become calls of the coordinator; malformed ones are rejected."""

    HEARTBEAT = {
        "service": "s1",
        "address": "10.128.0.9:8080",
        "zone": "gulf-a",
        "version": "v1",
        "slots": 64,
        "state": "draining",
        "cold_remaining_ms": 1500,
        "sequence": 4,
        "born": 1700000000000,
        "remaining_ms": 2000,
    }

    def call(self, method, target, body=b"", service=None, directory=False):
        service = service or FakeService()
        handlers = controlapi.create_handlers(service, {"gulf-a": "gulf"}, 0.5)
        stream = BytesStream()
        connection = h11.Connection(h11.SERVER)
        connection.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        connection.next_event()
        request = Request(method, target, {}, body)
        handler = handlers[1] if directory else handlers[0]
        curio.run(handler, request, Responder(stream, connection))
        return int(stream.sent.split()[1]), stream.sent, service

    def test_heartbeat(self):
        body = json.dumps(self.HEARTBEAT).encode()
        status, sent, service = self.call("POST", "/instances/i-1/heartbeat", body)
        self.assertEqual(status, 200)
        self.assertIn(b'"heartbeat_address":"10.1.0.9:8146"', sent)
        record = service.records[0]
        self.assertIs(record.state, EndpointState.DRAINING)
        self.assertEqual((record.region, record.incarnation), ("gulf", 1700000000000))
        self.assertEqual((record.cold_s, record.leaves_in_s), (1.5, 2.0))
        self.assertEqual(record.version, "v1")

    def test_heartbeat_that_may_not_be_acknowledged(self):
        service = FakeService()
        service.acknowledges = False
        body = json.dumps(self.HEARTBEAT).encode()
        status, _, _ = self.call("POST", "/instances/i/heartbeat", body, service)
        self.assertEqual(status, 503)

    def test_malformed_heartbeats(self):
        for change in (
            {"state": "odd"},
            {"slots": "many"},
            {"zone": "nowhere"},
            {"address": "10.0.0.1"},
            {"sequence": None},
            {"version": 1},
        ):
            body = json.dumps({**self.HEARTBEAT, **change}).encode()
            with self.subTest(change):
                status, _, service = self.call("POST", "/instances/i/heartbeat", body)
                self.assertEqual((status, service.records), (400, []))
        status, _, _ = self.call("POST", "/instances/i/heartbeat", b"\xff\x00")
        self.assertEqual(status, 400)

    def test_leave_without_body(self):
        status, _, service = self.call("POST", "/instances/i-1/leave")
        self.assertEqual((status, service.records), (200, [("i-1", None)]))

    def test_directory_without_entry_hosts(self):
        status, _, _ = self.call("GET", "/resolve?name=x&region=gulf", directory=True)
        self.assertEqual(status, 503)

    def test_unknown_path(self):
        self.assertEqual(self.call("GET", "/other")[0], 404)
