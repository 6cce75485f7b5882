"""Tests of the route configuration."""

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
    choose_service,
    create_route_table,
)
from buckthorndeal.routeformat import create_route_format
from buckthorndeal.workspaces import Workspace

SERVICE = ServiceDescription("s", "/health", 8)
ROUTE = Route(
    "r",
    "a.example",
    "/x/",
    RequestKind.IDEMPOTENT,
    1.0,
    0.5,
    0,
    (WeightedService("s", 1.0),),
)


def create(*routes):
    return Configuration(1, routes, (SERVICE,))


class CheckTest(unittest.TestCase):
    """An invalid configuration is rejected, so that it never takes effect."""

    def assert_invalid(self, *routes):
        with self.assertRaises(ConfigurationError):
            check_configuration(create(*routes))

    def test_valid(self):
        check_configuration(create(ROUTE, replace(ROUTE, path_prefix="/x/y/")))

    def test_unknown_service(self):
        self.assert_invalid(replace(ROUTE, services=(WeightedService("t", 1.0),)))

    def test_same_host_and_prefix(self):
        self.assert_invalid(ROUTE, replace(ROUTE, name="other"))

    def test_no_positive_weight(self):
        self.assert_invalid(replace(ROUTE, services=(WeightedService("s", 0.0),)))

    def test_timeout_not_positive(self):
        self.assert_invalid(replace(ROUTE, timeout_s=0.0))

    def test_workspaces_are_checked(self):
        """Guards against a key whose workspace depends on the order of entries."""
        workspaces = (Workspace("a", ("k",)), Workspace("b", ("k",)))
        configuration = replace(create(ROUTE), workspaces=workspaces)
        with self.assertRaises(ConfigurationError):
            check_configuration(configuration)

    def test_prefix_without_slash(self):
        self.assert_invalid(replace(ROUTE, path_prefix="/x"))


class RouteTableTest(unittest.TestCase):
    """A request matches the longest path prefix that ends with a slash."""

    def setUp(self):
        self.table = create_route_table(
            create(
                ROUTE,
                replace(ROUTE, name="deep", path_prefix="/x/y/"),
                replace(ROUTE, name="root", host="b.example", path_prefix="/"),
            )
        )

    def find(self, host, path):
        route = self.table.find(host, path)
        return route and route.name

    def test_longest_prefix(self):
        self.assertEqual(self.find("a.example", "/x/y/z"), "deep")
        self.assertEqual(self.find("a.example", "/x/yz"), "r")

    def test_prefix_ends_at_slash(self):
        self.assertIsNone(self.find("a.example", "/xy"))
        self.assertIsNone(self.find("a.example", "/x"))

    def test_host_with_port_and_case(self):
        self.assertEqual(self.find("A.example:80", "/x/"), "r")

    def test_unknown_host(self):
        self.assertIsNone(self.find("c.example", "/x/"))

    def test_root(self):
        self.assertEqual(self.find("b.example", "/anything"), "root")

    def test_workspaces_belong_to_the_same_version_as_routes(self):
        """Guards against a key of one version with a route of another."""
        workspaces = (Workspace("a", ("k",)),)
        table = create_route_table(replace(create(ROUTE), workspaces=workspaces))
        self.assertEqual(table.workspaces.find_by_key("k").name, "a")
        self.assertIsNone(self.table.workspaces.find_by_key("k"))
        self.assertFalse(self.table.workspaces)


class ChooseServiceTest(unittest.TestCase):
    """All hosts choose the same service for a request, in proportion to weights."""

    def test_weights(self):
        split = (WeightedService("s", 90), WeightedService("t", 10))
        route = replace(ROUTE, services=split)
        chosen = [choose_service(route, f"id-{number}") for number in range(2000)]
        self.assertAlmostEqual(chosen.count("t") / 2000, 0.1, delta=0.03)
        self.assertEqual(chosen[7], choose_service(route, "id-7"))

    def test_zero_weight_gets_nothing(self):
        split = (WeightedService("s", 0), WeightedService("t", 1))
        route = replace(ROUTE, services=split)
        chosen = {choose_service(route, f"id-{number}") for number in range(200)}
        self.assertEqual(chosen, {"t"})


class RouteFormatTest(unittest.TestCase):
    """The project's own format is JSON with comments, and is validated."""

    def test_reads_comments(self):
        text = b"""{
          "version": 3, // rises
          "routes": [{"name": "r", "host": "a.example", "path_prefix": "/",
            "kind": "stream", "timeout_s": 2, "latency_objective_s": 1,
            "priority": 0, "services": [{"service": "s", "weight": 1}]}],
          "services": [{"name": "s", "health_path": "/h", "max_connections": 4}]
        }"""
        configuration = create_route_format().decode(text)
        self.assertEqual(configuration.version, 3)
        self.assertIs(configuration.routes[0].kind, RequestKind.STREAM)

    def test_truncated(self):
        with self.assertRaises(ConfigurationError):
            create_route_format().decode(b'{"version": 3, "routes": [')

    def test_wrong_type(self):
        with self.assertRaises(ConfigurationError):
            create_route_format().decode(b'{"version": "x"}')
