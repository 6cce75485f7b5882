"""Tests of the selection of entry hosts for callers."""

import unittest

from buckthorndeal.configuration import (
    Configuration,
    RequestKind,
    Route,
    WeightedService,
)
from buckthorndeal.fleet import (
    EntryHost,
    EntryHostLiveness,
    EntryState,
    choose_entry_hosts,
    count_home_routes,
    is_advertised,
)


def create_host(
    host,
    region,
    domain,
    state=EntryState.READY,
    connected=True,
    silent_s=0.5,
    reaches_endpoints=True,
):
    entry = EntryHost(host, region, domain, f"{host}:80", state, reaches_endpoints)
    return EntryHostLiveness(entry, connected, silent_s)


class ChooseEntryHostsTest(unittest.TestCase):
    """Callers are directed to the nearest entry hosts that are alive."""

    def setUp(self):
        self.hosts = [
            create_host("a1", "a", "a-1"),
            create_host("a2", "a", "a-2"),
            create_host("b1", "b", "b-1"),
            create_host("c1", "c", "c-1"),
        ]

    def choose(self, region, domain="", homes=None):
        chosen = choose_entry_hosts(self.hosts, region, domain, homes)
        return [entry.host for entry in chosen]

    def replace(self, number, **fields):
        entry = self.hosts[number].entry
        self.hosts[number] = create_host(
            entry.host, entry.region, entry.failure_domain, **fields
        )

    def test_own_failure_domain(self):
        self.assertEqual(self.choose("a", "a-2"), ["a2"])

    def test_own_region(self):
        self.assertEqual(self.choose("a", "a-3"), ["a1", "a2"])

    def test_lost_and_draining_hosts(self):
        self.replace(0, connected=False)
        self.replace(1, state=EntryState.DRAINING)
        self.assertEqual(self.choose("a", "a-1"), ["b1", "c1"])

    def test_hosts_that_reach_endpoints_before_others_of_the_region(self):
        self.replace(0, reaches_endpoints=False)
        self.assertEqual(self.choose("a", "a-1"), ["a2"])

    def test_hosts_that_reach_no_endpoint_before_other_regions(self):
        self.replace(0, reaches_endpoints=False)
        self.replace(1, reaches_endpoints=False)
        self.assertEqual(self.choose("a", "a-1"), ["a1"])
        self.assertEqual(self.choose("a", "a-3"), ["a1", "a2"])

    def test_home_regions_before_others(self):
        self.replace(2, state=EntryState.DRAINING)
        self.assertEqual(self.choose("b", "b-1", {"a": 2, "b": 2}), ["a1", "a2"])

    def test_draining_home_region_before_ready_other_region(self):
        self.hosts[0] = create_host("a1", "a", "a-1", EntryState.DRAINING)
        self.hosts[1] = create_host("a2", "a", "a-2", EntryState.CLOSING)
        self.replace(2, state=EntryState.CLOSING)
        self.assertEqual(self.choose("b", "b-1", {"a": 2, "b": 2}), ["a1"])
        self.assertEqual(self.choose("b", "b-1"), ["c1"])

    def test_host_without_heartbeats(self):
        self.replace(2, silent_s=3.0)
        self.assertEqual(self.choose("b", "b-1"), ["a1", "a2", "c1"])

    def test_isolated_coordinator_uses_last_known_hosts(self):
        for number in range(4):
            self.replace(number, connected=False, silent_s=4.0)
        self.assertEqual(self.choose("b", "b-1"), ["b1"])


class CountHomeRoutesTest(unittest.TestCase):
    """Routes are counted per home region, so that a few test routes do not prevail."""

    def test_counts(self):
        def create(number, homes):
            return Route(
                f"r{number}",
                "x.example",
                f"/{number}/",
                RequestKind.IDEMPOTENT,
                1.0,
                1.0,
                0,
                (WeightedService("s", 1),),
                home_regions=frozenset(homes),
            )

        routes = (create(1, "ab"), create(2, "b"), create(3, ""), create(4, "a"))
        homes = count_home_routes(Configuration(1, routes))
        self.assertEqual(homes, {"x.example": {"a": 2, "b": 2}})


class IsAdvertisedTest(unittest.TestCase):
    """A draining host determines whether callers are still directed to it."""

    def is_advertised(self, *states, homes):
        regions = ("a", "a", "b")
        entries = [
            create_host(f"h{number}", regions[number], f"{regions[number]}-1", state)
            for number, state in enumerate(states)
        ]
        return is_advertised("h0", [host.entry for host in entries], homes)

    def test_last_host_of_the_home_regions(self):
        states = (EntryState.DRAINING, EntryState.CLOSING, EntryState.READY)
        self.assertTrue(self.is_advertised(*states, homes={"x": {"a": 1}}))

    def test_other_host_of_the_home_regions(self):
        states = (EntryState.DRAINING, EntryState.CLOSING, EntryState.READY)
        self.assertFalse(self.is_advertised(*states, homes={"x": {"a": 1, "b": 1}}))
        states = (EntryState.DRAINING, EntryState.READY, EntryState.READY)
        self.assertFalse(self.is_advertised(*states, homes={"x": {"a": 1}}))

    def test_no_home_regions(self):
        states = (EntryState.DRAINING, EntryState.CLOSING, EntryState.READY)
        self.assertFalse(self.is_advertised(*states, homes={}))
