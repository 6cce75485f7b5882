"""Tests of demand that moves between regions, without a network."""

import unittest
from dataclasses import replace

import msgspec

from buckthorndeal.fleet import ServiceLoad
from buckthorndeal.gateway._fleet_messages import (
    Borrower,
    RegionUpdate,
    SpareCapacity,
)
from buckthorndeal.gateway._messages import Forward, Grant, LoadReport, MoveReason
from buckthorndeal.gateway._region_lending import BORROWER_LIFETIME_S, RegionLending
from buckthorndeal.gateway._regions import LOAD_LIFETIME_S, MIN_PREFIX_TOKENS
from tests.dispatcher_harness import ROUTE, DispatcherHarness, create_prompt

FREE = LoadReport(0, 0, 64, 1.0)
FULL = LoadReport(64, 40, 64, 1.0)


class RegionLendingTest(unittest.TestCase):
    """What a region lends is divided among the hosts that ask."""

    def test_herd_gets_no_more_than_there_is(self):
        """Guards against each of many hosts taking the whole as its own."""
        spare = SpareCapacity(200, 100_000)
        for regions, hosts in ((1, 2), (2, 24), (2, 120)):
            lending = RegionLending()
            for _ in range(3):
                parts = [
                    lending.lend(
                        spare, Borrower(f"r{region}", hosts), 9_000 * (1 - region), 1.0
                    )
                    for region in range(regions)
                    for _ in range(hosts)
                ]
            tokens = sum(part.tokens for part in parts)
            with self.subTest(regions=regions, hosts=hosts):
                self.assertLessEqual(tokens, spare.tokens * 1.05)
                self.assertGreaterEqual(tokens, spare.tokens * 0.9)

    def test_region_in_need_gets_most(self):
        """Guards against parts for regions that need nothing."""
        lending = RegionLending()
        for now_s in (1.0, 1.4, 1.8):
            idle = lending.lend(SpareCapacity(100, 50_000), Borrower("b", 4), 0, now_s)
            needy = lending.lend(
                SpareCapacity(100, 50_000), Borrower("c", 4), 9_000, now_s
            )
        self.assertGreater(needy.tokens, 2 * idle.tokens)

    def test_silent_region_frees_its_part(self):
        """Guards against capacity that is kept for a region that is cut off."""
        lending = RegionLending()
        spare = SpareCapacity(100, 50_000)
        for region in ("b", "c"):
            lending.lend(spare, Borrower(region, 1), 50_000, 1.0)
        later_s = 1.0 + BORROWER_LIFETIME_S + 0.1
        part = lending.lend(spare, Borrower("b", 1), 50_000, later_s)
        self.assertEqual(part.tokens, spare.tokens)

    def test_full_region_lends_nothing(self):
        """Guards against work that is exchanged between full regions."""
        part = RegionLending().lend(SpareCapacity(0, 0), Borrower("b", 1), 10, 1.0)
        self.assertEqual(part, SpareCapacity(0, 0))


class LenderChoiceTest(unittest.TestCase):
    """A host moves requests within what other regions lend to it."""

    def create_host(self, report=FULL, endpoints=3):
        """Return a host that has learned the load of its endpoints."""
        host = DispatcherHarness(endpoints=endpoints)
        for load in host.view.loads.values():
            for _ in range(20):
                load.record_report(report, host.now_s)
        return host

    def lend(self, host, region="b", requests=5, tokens=100_000, wait_s=0.05):
        loads = (ServiceLoad("llm", wait_s, 50, ("",), requests, tokens),)
        update = RegionUpdate.create(region, f"{region}1", loads)
        host.dispatcher.update_region(update, host.now_s)

    def test_moves_no_more_than_lent(self):
        """Guards against more requests than the other region takes well."""
        host = self.create_host()
        self.lend(host, requests=5)
        decisions = [host.submit(create_prompt(n, n)) for n in range(20)]
        moved = [each for each in decisions if isinstance(each, Forward)]
        self.assertEqual(len(moved), 5)
        self.assertIs(moved[0].reason, MoveReason.NO_ROOM)

    def test_tokens_bind(self):
        """Guards against prompts that engines with free slots can't prefill."""
        host = self.create_host()
        self.lend(host, requests=50, tokens=20_000)
        decisions = [host.submit(create_prompt(n, n)) for n in range(20)]
        moved = sum(isinstance(each, Forward) for each in decisions)
        self.assertEqual(moved, 20_000 // 7_300)

    def test_report_does_not_renew_what_is_under_way(self):
        """Guards against lending twice what the report does not include yet."""
        host = self.create_host()
        self.lend(host, requests=5)
        for number in range(5):
            host.submit(create_prompt(number, number))
        host.now_s += 0.1
        self.lend(host, requests=5)
        self.assertNotIsInstance(host.submit(create_prompt(9, 9)), Forward)
        host.now_s += 0.4
        self.lend(host, requests=5)
        self.assertIsInstance(host.submit(create_prompt(9, 9)), Forward)

    def test_nothing_is_exchanged_when_both_are_full(self):
        """Guards against full regions that send their requests to each other."""
        host = self.create_host()
        self.lend(host, requests=0, tokens=0)
        decisions = [host.submit(create_prompt(n, n)) for n in range(20)]
        self.assertFalse([each for each in decisions if isinstance(each, Forward)])

    def test_nothing_is_sent_after_the_lifetime_of_a_report(self):
        """Guards against requests to a region that is cut off."""
        host = self.create_host()
        self.lend(host)
        self.assertIsInstance(host.submit(create_prompt(1, 1)), Forward)
        host.now_s += LOAD_LIFETIME_S + 0.1
        for load in host.view.loads.values():
            load.record_report(FULL, host.now_s)
        self.assertNotIsInstance(host.submit(create_prompt(1, 2)), Forward)

    def test_stays_at_home_while_it_is_free(self):
        """Guards against round trips and bytes without need."""
        host = self.create_host(FREE)
        self.lend(host, wait_s=0.0)
        for number in range(3):
            self.assertIsInstance(host.submit(create_prompt(number, number)), Grant)

    def test_home_regions_hold(self):
        """Guards against requests of a home region that are moved out of it."""
        host = self.create_host()
        route = replace(ROUTE, home_regions=frozenset({"a"}))
        self.lend(host)
        for number in range(10):
            decision = host.submit(create_prompt(number, number), route=route)
            self.assertNotIsInstance(decision, Forward)

    def test_prefix_goes_to_one_region(self):
        """Guards against a prefix that is prefilled in each of the other regions.

        All hosts agree without a message.
        """
        targets = {}
        for _ in range(4):
            host = self.create_host(LoadReport(30, 3, 64, 1.0))
            for region in ("b", "c"):
                self.lend(host, region, requests=500, tokens=10**7, wait_s=0.0)
            for number in range(60):
                decision = host.submit(create_prompt(number % 12, number))
                if isinstance(decision, Forward) and decision.reason is (
                    MoveReason.FASTER
                ):
                    targets.setdefault(number % 12, set()).add(decision.region)
        self.assertGreater(create_prompt(1, 1).shared_prefix_tokens, MIN_PREFIX_TOKENS)
        self.assertGreater(len(targets), 3)
        self.assertEqual({len(each) for each in targets.values()}, {1})
        self.assertEqual(set.union(*targets.values()), {"b", "c"})

    def test_older_build_is_served_as_before(self):
        """Guards against a report of an older build that is misread."""
        old = msgspec.msgpack.encode(["llm", 0.05, 5, ["1"]])
        load = msgspec.msgpack.decode(old, type=ServiceLoad)
        update = RegionUpdate.create("b", "b1", (load,))
        self.assertEqual(update.lent, {})
        host = self.create_host()
        host.dispatcher.update_region(update, host.now_s)
        decision = host.submit(create_prompt(1, 1))
        self.assertIsInstance(decision, Forward)


if __name__ == "__main__":
    unittest.main()
