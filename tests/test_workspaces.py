"""Tests of workspaces without a network: validation, identification, home regions."""

import json
import unittest
from dataclasses import replace

from buckthorndeal.configuration import (
    Configuration,
    ConfigurationError,
    RequestKind,
    Route,
    ServiceDescription,
    WeightedService,
    check_configuration,
    create_route_table,
)
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.forwarding import ForwardedRequest
from buckthorndeal.gateway._authentication import (
    MAX_LABELLED_WORKSPACES,
    WorkspaceMetrics,
    describe_caller,
    identify_caller,
    identify_forwarded,
)
from buckthorndeal.gateway._messages import Call
from buckthorndeal.gateway._prompts import Prompt
from buckthorndeal.gateway.dialect import RequestMetadata, create_default_dialect
from buckthorndeal.http_server import Request
from buckthorndeal.metrics import create_metrics
from buckthorndeal.quarantine import RequestContent
from buckthorndeal.routeformat import create_route_format
from buckthorndeal.workspaces import QuotaUnit, Workspace, create_workspace_table

SERVICE = ServiceDescription("s", "/h", 8)
ROUTE = Route(
    "r", "x", "/", RequestKind.IDEMPOTENT, 1.0, 0.5, 3, (WeightedService("s", 1.0),)
)
OPEN_ROUTE = replace(ROUTE, name="open", path_prefix="/open/", allows_anonymous=True)
ACME = Workspace("acme", ("k-acme", "k-acme-2"), home_regions=frozenset("a"))
BELL = Workspace("bell", ("k-bell",))
HOPS = ("h1",)


def create(*workspaces):
    return Configuration(1, (ROUTE, OPEN_ROUTE), (SERVICE,), workspaces=workspaces)


def create_forwarded(name):
    return ForwardedRequest("h1", HOPS, True, 900, "id-1", 1_000, name)


class CheckTest(unittest.TestCase):
    """An invalid workspace is refused before any host acts on it."""

    def get_error(self, *workspaces):
        with self.assertRaises(ConfigurationError) as caught:
            check_configuration(create(*workspaces))
        return caught.exception

    def test_valid(self):
        check_configuration(create(ACME, BELL, Workspace("none")))

    def test_duplicates(self):
        """Guards against a caller whose workspace depends on the order of entries."""
        error = self.get_error(ACME, replace(BELL, keys=("k-bell", "k-acme-2")))
        self.assertIn("acme", error.reason)
        self.get_error(ACME, replace(BELL, name="acme"))
        self.get_error(replace(BELL, keys=("k", "k")))

    def test_no_error_contains_a_key(self):
        """Guards against keys in logs and in what operators paste elsewhere."""
        secret = "secret-key"
        bad = (secret + " ", "é" + secret, secret + "\n", secret * 1_000)
        errors = [self.get_error(replace(BELL, keys=(key,))) for key in bad]
        errors.append(self.get_error(replace(BELL, keys=(secret, secret))))
        errors.append(
            self.get_error(replace(ACME, keys=(secret,)), replace(BELL, keys=(secret,)))
        )
        for error in errors:
            self.assertNotIn(secret, str(error))

    def test_empty_name_and_key(self):
        """Guards against callers without a key who are taken for a workspace."""
        self.get_error(replace(BELL, name=""))
        self.get_error(replace(BELL, keys=("",)))

    def test_name_that_no_header_can_carry(self):
        """Guards against a request that fails only once it is sent to an endpoint."""
        for name in ("a\r\nx: y", "café", " a", "a" * 257):
            with self.subTest(name[:8]):
                self.get_error(replace(BELL, name=name))

    def test_numbers(self):
        """Guards against a quota that is never or always reached."""
        infinite, odd = float("inf"), float("nan")
        for fields in (
            *({"rate_per_s": value} for value in (-1.0, infinite, odd, 1e300)),
            *({"burst": value} for value in (-1.0, infinite, odd)),
            {"default_tokens": -1},
            {"default_tokens": 2**60},
            {"priority": -1},
            {"priority": 2**60},
        ):
            with self.subTest(fields):
                self.get_error(replace(BELL, **fields))

    def test_rate_of_zero_is_no_limit(self):
        """Guards against a workspace that is shut out by the value for no limit."""
        check_configuration(create(BELL))
        self.assertFalse(BELL.is_limited)
        self.assertTrue(replace(BELL, rate_per_s=1.0).is_limited)

    def test_key_of_8_kib_and_10_000_workspaces(self):
        """Guards against bounds below what a deployment may need."""
        long_key = "k" * 8_192
        check_configuration(create(replace(BELL, keys=(long_key,))))
        many = tuple(
            Workspace(f"w{number}", (f"key-{number}",)) for number in range(10_000)
        )
        check_configuration(create(*many))
        table = create_workspace_table(many)
        self.assertEqual(table.find_by_key("key-9999").name, "w9999")
        self.assertEqual(table.find_by_name("w123").name, "w123")

    def test_repr_leaves_out_the_keys(self):
        """Guards against keys in a traceback or a log line of an unexpected error."""
        self.assertNotIn("k-acme", repr(create(ACME)))
        metadata = RequestMetadata("q", None, key="k-acme")
        self.assertNotIn("k-acme", repr(metadata))


class RouteFormatTest(unittest.TestCase):
    """The project's own form of a configuration has workspaces, too."""

    def decode(self, **fields):
        body = {
            "version": 1,
            "workspaces": [{"name": "w", "keys": ["k"], **fields}],
        }
        return create_route_format().decode(json.dumps(body).encode()).workspaces[0]

    def test_fields(self):
        workspace = self.decode(
            unit="tokens", rate_per_s=5, burst=2.5, priority=2, home_regions=["a"]
        )
        self.assertIs(workspace.unit, QuotaUnit.TOKENS)
        self.assertEqual(workspace.home_regions, frozenset("a"))
        self.assertEqual((workspace.priority, workspace.burst), (2, 2.5))

    def test_invalid(self):
        """Guards against values that only the platform's codec refuses."""
        for fields in ({"unit": "bytes"}, {"rate_per_s": -1}, {"keys": [""]}):
            with self.subTest(fields), self.assertRaises(ConfigurationError):
                self.decode(**fields)


class IdentificationTest(unittest.TestCase):
    """A caller is identified by the configuration of the host that it reaches."""

    def setUp(self):
        self.table = create_route_table(create(ACME, BELL))

    def assert_unauthorized(self, route, key):
        with self.assertRaises(RequestError) as caught:
            identify_caller(self.table, route, key)
        error = caught.exception
        self.assertEqual((error.status, error.verdict), (401, Verdict.NOT_RUN))
        self.assertNotIn(str(key), str(error))

    def test_keys(self):
        self.assertIs(identify_caller(self.table, ROUTE, "k-acme-2"), ACME)
        self.assertIs(identify_caller(self.table, OPEN_ROUTE, "k-bell"), BELL)
        self.assertIsNone(identify_caller(self.table, OPEN_ROUTE, None))

    def test_missing_key(self):
        self.assert_unauthorized(ROUTE, None)

    def test_unknown_key(self):
        """Guards against running a request whose key no configuration ever had."""
        for key in ("k-other", "k-acm", "K-ACME", "acme", "é", "k" * 8_192):
            self.assert_unauthorized(ROUTE, key)
            self.assert_unauthorized(OPEN_ROUTE, key)

    def test_configuration_without_workspaces(self):
        """Guards against deployments without workspaces that suddenly need keys."""
        table = create_route_table(create())
        self.assertIsNone(identify_caller(table, ROUTE, None))
        self.assertIsNone(identify_caller(table, ROUTE, "any"))
        self.assertIsNone(identify_forwarded(table, ROUTE, create_forwarded("")))

    def test_forwarded(self):
        found = identify_forwarded(self.table, ROUTE, create_forwarded("bell"))
        self.assertIs(found, BELL)
        found = identify_forwarded(self.table, OPEN_ROUTE, create_forwarded(""))
        self.assertIsNone(found)

    def test_forwarded_by_a_host_with_another_configuration(self):
        """Guards against running a request whose home regions are not known."""
        without = create_route_table(create())
        for table, name in (
            (self.table, "new"),
            (self.table, ""),
            (without, "bell"),
        ):
            with self.subTest(name), self.assertRaises(RequestError) as caught:
                identify_forwarded(table, ROUTE, create_forwarded(name))
            error = caught.exception
            self.assertEqual((error.status, error.verdict), (421, Verdict.NOT_RUN))
            self.assertGreater(error.retry_after_s, 0)

    def test_caller_in_the_name_of_a_request(self):
        """Guards against a quarantine that one workspace brings upon another.

        The name has to be the same at the host that the caller has chosen, which has
        the key, and at the next one, which has not.
        """

        def digest(workspace, **fields):
            metadata = RequestMetadata("q", None, **fields)
            caller = describe_caller(workspace, metadata)
            return RequestContent("POST", "x", "/", caller, b"body").digest

        self.assertEqual(digest(ACME, key="k-acme"), digest(ACME))
        self.assertEqual(digest(ACME, key="k-acme-2"), digest(ACME, key="k-acme"))
        digests = {
            digest(None),
            digest(None, caller="acme"),
            digest(ACME),
            digest(BELL),
        }
        self.assertEqual(len(digests), 4)

    def test_without_workspaces_the_caller_is_named_as_before(self):
        """Guards against hosts of two builds that name one request differently."""
        metadata = RequestMetadata("q", None, caller="Bearer x", key="k")
        self.assertEqual(describe_caller(None, metadata), "Bearer x")


class CallTest(unittest.TestCase):
    """A call goes by its workspace where that says more than the route."""

    def create(self, workspace, prompt=None):
        return Call("q", ROUTE, "s", 0.0, 1.0, prompt, workspace=workspace)

    def test_priority(self):
        """Guards against the priority of the route winning, also over the value 0."""
        self.assertEqual(self.create(None).priority, 3)
        self.assertEqual(self.create(BELL).priority, 3)
        for priority in (0, 7):
            workspace = replace(BELL, priority=priority)
            self.assertEqual(self.create(workspace).priority, priority)

    def test_units(self):
        """Guards against charging requests where tokens count, and the reverse."""
        prompt = Prompt("m", 1_000, 50)
        by_tokens = replace(BELL, unit=QuotaUnit.TOKENS, default_tokens=700)
        self.assertEqual(self.create(BELL, prompt).quota_units, 1)
        self.assertEqual(self.create(by_tokens, prompt).quota_units, 1_050)
        self.assertEqual(self.create(by_tokens).quota_units, 700)


class DialectTest(unittest.TestCase):
    """The default header names treat keys and names as the platform's do."""

    def test_key_and_name_of_the_workspace(self):
        """Guards against a key, or a forged name, that reaches an endpoint."""
        dialect = create_default_dialect()
        headers = {
            "buckthorndeal-key": "k-acme",
            "buckthorndeal-workspace": "forged",
            "authorization": "Bearer own",
        }
        metadata = dialect.parse_request(Request("POST", "/", headers))
        self.assertEqual((metadata.key, metadata.caller), ("k-acme", "Bearer own"))
        sent = dict(dialect.build_headers(headers, 1.0, None, None))
        self.assertEqual(set(sent), {"authorization", "buckthorndeal-timeout-ms"})
        self.assertIsNone(
            dialect.parse_request(Request("POST", "/", {"buckthorndeal-key": ""})).key
        )


class MetricsTest(unittest.TestCase):
    """Requests are counted by workspace in a bounded number of series."""

    def test_many_workspaces(self):
        """Guards against metrics that grow with the number of workspaces."""
        metrics = create_metrics()
        counts = WorkspaceMetrics(metrics)
        for number in range(10_000):
            counts.count(Workspace(f"w{number}"), "answered", None)
        rendered = metrics.render().count("workspace_requests{")
        self.assertEqual(rendered, MAX_LABELLED_WORKSPACES + 1)
        others = metrics.get_value(
            "workspace_requests", workspace="(other)", outcome="answered"
        )
        self.assertEqual(others, 10_000 - MAX_LABELLED_WORKSPACES)

    def test_outcomes(self):
        metrics = create_metrics()
        counts = WorkspaceMetrics(metrics)
        failed = RequestError("x", 502, "x", Verdict.MAY_HAVE_RUN)
        refused = RequestError("y", 503, "y")
        unauthorized = RequestError("unauthorized", 401, "z")
        counts.count(BELL, "x", failed)
        counts.count(BELL, "y", refused)
        counts.count(None, "unauthorized", unauthorized)
        for name, outcome in (
            ("bell", "failed"),
            ("bell", "refused"),
            ("(anonymous)", "unauthorized"),
        ):
            count = metrics.get_value(
                "workspace_requests", workspace=name, outcome=outcome
            )
            self.assertEqual(count, 1, outcome)


if __name__ == "__main__":
    unittest.main()
