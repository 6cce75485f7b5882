"""Tests of the shares of hosts in the rate limits that endpoints name."""

import math
import unittest

from buckthorndeal.configuration import RequestKind
from buckthorndeal.fleet import EndpointRecord, EndpointState, create_rate_limit_table
from buckthorndeal.gateway._endpoint_condition import EndpointCondition
from buckthorndeal.gateway._messages import (
    EndpointNotice,
    Grant,
    Refusal,
)
from buckthorndeal.gateway._messages import (
    RefusalReason as Reason,
)
from buckthorndeal.gateway._rate_shares import RateShares
from buckthorndeal.gateway.dialect import read_rate_limit
from tests.dispatcher_harness import ROUTE, DispatcherHarness

RECORD = EndpointRecord(
    "e0", 1, 1, "llm", "a", "a-1", "10.0.0.1:80", 64, EndpointState.READY
)


def create_shares(count):
    names = [f"h{number}" for number in range(count)]
    hosts = [RateShares(name) for name in names]
    for host in hosts:
        host.set_hosts(names)
    return hosts


def name_limit(hosts, per_s, now_s):
    """Let one host learn of a limit, and tell the others."""
    hosts[0].record_named(RECORD, per_s, now_s)
    limits = hosts[0].take_outgoing()
    for host in hosts[1:]:
        host.receive(limits, now_s)


class RateShareTest(unittest.TestCase):
    """The shares of all hosts add up to less than the limit."""

    def count_requests(self, hosts, from_s, to_s):
        count = 0
        for step in range(int((to_s - from_s) / 0.01)):
            now_s = from_s + step * 0.01
            for host in hosts:
                if host.get_wait_s(RECORD, now_s) == 0:
                    host.record_request(RECORD, now_s)
                    count += 1
        return count

    def test_shares_add_up_to_no_more_than_the_limit(self):
        for per_s in (0.5, 1.0, 3.0, 20.0):
            for count in (1, 2, 4, 24, 76):
                hosts = create_shares(count)
                name_limit(hosts, per_s, 100.0)
                sent = self.count_requests(hosts, 100.0, 120.0)
                self.assertLessEqual(sent, 20.0 * per_s + 4)
                self.assertGreater(sent, 20.0 * per_s * 0.5)

    def test_host_without_a_share_sends_nothing(self):
        hosts = create_shares(24)
        name_limit(hosts, 1.0, 100.0)
        waits_s = [host.get_wait_s(RECORD, 200.0) for host in hosts]
        self.assertEqual(sum(wait_s == 0 for wait_s in waits_s), 3)
        self.assertEqual(sum(math.isinf(wait_s) for wait_s in waits_s), 21)

    def test_limit_of_zero_is_tried_now_and_then(self):
        hosts = create_shares(4)
        name_limit(hosts, 0.0, 100.0)
        self.assertLessEqual(self.count_requests(hosts, 100.0, 200.0), 10)
        self.assertGreater(self.count_requests(hosts, 200.0, 300.0), 0)

    def test_limit_ends_when_a_response_names_none(self):
        hosts = create_shares(4)
        name_limit(hosts, 1.0, 100.0)
        name_limit(hosts, None, 101.0)
        for host in hosts:
            self.assertEqual(host.get_wait_s(RECORD, 101.0), 0.0)

    def test_older_report_does_not_replace_a_newer_one(self):
        host, other = create_shares(2)
        host.record_named(RECORD, 1.0, 100.0)
        old = host.take_outgoing()
        host.record_named(RECORD, None, 101.0)
        other.receive(host.take_outgoing(), 101.1)
        other.receive(old, 101.2)
        self.assertIsNone(other.get_limit(RECORD))

    def test_limit_of_another_incarnation_does_not_hold(self):
        (host,) = create_shares(1)
        host.record_named(RECORD, 1.0, 100.0)
        restarted = EndpointRecord(
            "e0", 2, 1, "llm", "a", "a-1", "10.0.0.1:80", 64, EndpointState.READY
        )
        self.assertEqual(host.get_wait_s(restarted, 100.0), 0.0)

    def test_reports_are_bounded_and_expire(self):
        table = create_rate_limit_table()
        (host,) = create_shares(1)
        for incarnation in range(2000):
            record = EndpointRecord(
                "e0", incarnation, 1, "s", "a", "a-1", "", 1, EndpointState.READY
            )
            host.record_named(record, 1.0, 100.0)
        table.merge(host.take_outgoing(), 100.0)
        self.assertLessEqual(len(table.export()), 1024)
        table.expire(1000.0)
        self.assertEqual(table.export(), ())


class LimitedDispatchTest(unittest.TestCase):
    """Requests go past an endpoint that this host may not send to now."""

    def name_limits(self, harness, *names, per_s=1.0):
        for name in names:
            record = harness.view.loads[name].entry.record
            notice = EndpointNotice(record, False, None, None, per_s, True)
            harness.dispatcher.record_notice(notice, harness.now_s)

    def test_other_endpoints_take_what_the_limit_leaves_over(self):
        harness = DispatcherHarness(endpoints=2)
        self.name_limits(harness, "e0")
        for _ in range(20):
            decision = harness.submit()
            self.assertEqual(decision.record.endpoint, "e1")

    def test_request_that_no_endpoint_may_take_is_refused_at_once(self):
        harness = DispatcherHarness(endpoints=2)
        self.name_limits(harness, "e0", "e1")
        decision = harness.submit()
        self.assertIsInstance(decision, Refusal)
        self.assertIs(decision.reason, Reason.RATE_LIMITED)
        self.assertLess(decision.retry_after_s, 4.0)

    def test_request_waits_for_a_turn_that_is_near(self):
        harness = DispatcherHarness(endpoints=1)
        self.name_limits(harness, "e0", per_s=20.0)
        self.assertIsNone(harness.submit())
        harness.now_s += 0.1
        ((_, decision),) = harness.dispatcher.decide_waiting(harness.now_s)
        self.assertIsInstance(decision, Grant)

    def test_forwarded_and_repeated_requests_count(self):
        harness = DispatcherHarness(endpoints=1, retry_slack=1000.0)
        self.name_limits(harness, "e0")
        harness.now_s += 10.0
        granted = 0
        for number in range(40):
            harness.now_s += 0.1
            hops = ("h9",) if number % 2 else ()
            decision = harness.submit(hops=hops, is_retry=number % 3 == 0)
            granted += isinstance(decision, Grant)
            harness.finish(harness.attempt_id)
        self.assertLessEqual(granted, 5)

    def test_limited_endpoint_is_no_free_capacity_for_other_regions(self):
        harness = DispatcherHarness(endpoints=2)
        (_, free_slots) = harness.view.describe_loads(harness.now_s)["llm"]
        self.name_limits(harness, "e0")
        for _ in range(3):
            harness.now_s += 1.0
            harness.send_heartbeats()
            (_, left) = harness.view.describe_loads(harness.now_s)["llm"]
            self.assertEqual(left, free_slots / 2)
        self.name_limits(harness, "e1")
        harness.now_s += 3.0
        harness.send_heartbeats()
        self.assertNotIn("llm", harness.view.describe_loads(harness.now_s))

    def test_condition_tells_the_limit(self):
        harness = DispatcherHarness(endpoints=1)
        self.name_limits(harness, "e0")
        counts = harness.view.count_conditions("llm", harness.now_s)
        self.assertEqual(counts[EndpointCondition.RATE_LIMITED], 1)

    def test_plain_services_keep_limits_too(self):
        harness = DispatcherHarness(endpoints=2, service="desk")
        self.name_limits(harness, "e0")
        route = ROUTE.__class__(
            "d", "x", "/d/", RequestKind.IDEMPOTENT, 4.0, 0.8, 1, ROUTE.services
        )
        self.assertEqual(harness.submit(route=route).record.endpoint, "e1")


class HeaderTest(unittest.TestCase):
    """Malformed values name no limit."""

    def test_values(self):
        for value, expected in (
            ("1", 1.0),
            ("0.25", 0.25),
            (" 3.5 ", 3.5),
            ("0", 0.0),
            ("-1", None),
            ("1e9", None),
            ("inf", None),
            ("nan", None),
            ("", None),
        ):
            self.assertEqual(read_rate_limit({"x": value}, "x"), expected)
        self.assertIsNone(read_rate_limit({}, "x"))


if __name__ == "__main__":
    unittest.main()
