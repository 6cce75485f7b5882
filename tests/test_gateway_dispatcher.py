"""Tests of the gateway's dispatcher, without a network."""

import random
import unittest
from dataclasses import replace

from buckthorndeal.configuration import (
    RequestKind,
)
from buckthorndeal.fleet import EndpointState, ServiceVersion
from buckthorndeal.gateway._fleet_messages import (
    FleetChanged,
    RegionUpdate,
)
from buckthorndeal.gateway._messages import (
    Forward,
    Grant,
    Refusal,
    RefusalReason,
)
from buckthorndeal.policy.views import AttemptOutcome
from tests.dispatcher_harness import ROUTE, DispatcherHarness, create_prompt


class EndpointChoiceTest(unittest.TestCase):
    """Requests go to endpoints with a short wait and a cached prompt prefix."""

    def test_shared_prefix_stays_at_one_endpoint(self):
        """At light load, two hosts send each prefix to the same single endpoint."""
        endpoints_by_prefix = {}
        for host in range(2):
            harness = DispatcherHarness()
            rng = random.Random(host)
            for number in range(300):
                prefix = rng.randrange(20)
                decision = harness.submit(create_prompt(prefix, number))
                endpoints_by_prefix.setdefault(prefix, set()).add(
                    decision.record.endpoint
                )
                harness.now_s += 0.2
                harness.send_heartbeats()
                harness.dispatcher.record_response_start(
                    harness.attempt_id, None, harness.now_s
                )
                harness.finish(harness.attempt_id)
        self.assertEqual([len(each) for each in endpoints_by_prefix.values()], [1] * 20)

    def test_hot_prefix_overflows(self):
        """A burst on one prefix spreads once the endpoint that owns it is busy."""
        harness = DispatcherHarness()
        chosen = [harness.submit(create_prompt(1, number)) for number in range(40)]
        names = {each.record.endpoint for each in chosen if isinstance(each, Grant)}
        self.assertEqual(len(names), 3)

    def test_overflow_fetches_from_the_prefix_owner(self):
        """Overflow requests fetch the prefix from its owner, which fetches nothing."""
        harness = DispatcherHarness()
        chosen = [harness.submit(create_prompt(1, number)) for number in range(40)]
        granted = [each for each in chosen if isinstance(each, Grant)]
        owner = granted[0].record
        for each in granted:
            expected = None if each.record == owner else owner.address
            self.assertEqual(each.cache_source, expected)

    def test_backlog_stays_within_the_objective(self):
        """At three times the capacity, requests that would be late are refused."""
        harness = DispatcherHarness(endpoints=1)
        decisions = [harness.submit(create_prompt(n, n)) for n in range(60)]
        granted = [each for each in decisions if isinstance(each, Grant)]
        refused = [each for each in decisions if isinstance(each, Refusal)]
        self.assertTrue(granted)
        self.assertTrue(refused)
        for each in granted:
            self.assertLessEqual(each.predicted_s, ROUTE.latency_objective_s)
        for each in refused:
            self.assertIs(each.reason, RefusalReason.OVERLOADED)
            self.assertGreater(each.retry_after_s, 0)

    def test_equal_endpoints_are_used_evenly(self):
        """Guards against all hosts sending to the same one of several free endpoints.

        Forty hosts with few requests each know too little to tell endpoints apart.
        """
        counts = dict.fromkeys(("e0", "e1", "e2"), 0)
        for seed in range(40):
            harness = DispatcherHarness(service="desk", slots=6)
            harness.dispatcher._rng = random.Random(seed)
            for _ in range(6):
                decision = harness.submit()
                counts[decision.record.endpoint] += 1
        self.assertLess(max(counts.values()), 1.25 * 80)

    def test_unknown_endpoint_is_used(self):
        """Guards against an endpoint that stays idle because nothing is known of it."""
        for latency_s in (0.01, 0.1):
            harness = DispatcherHarness(endpoints=2, service="desk", slots=6)
            names = []
            for _ in range(60):
                decision = harness.submit()
                names.append(decision.record.endpoint)
                harness.now_s += latency_s
                harness.dispatcher.record_response_start(
                    harness.attempt_id, None, harness.now_s
                )
                harness.finish(harness.attempt_id)
                harness.send_heartbeats()
            self.assertGreater(min(names.count("e0"), names.count("e1")), 15)

    def test_slow_endpoint_is_avoided_and_tried_again(self):
        harness = DispatcherHarness(endpoints=2, service="desk", slots=6)
        names = []
        for _ in range(240):
            decision = harness.submit()
            names.append(decision.record.endpoint)
            harness.now_s += 0.4 if decision.record.endpoint == "e0" else 0.05
            harness.dispatcher.record_response_start(
                harness.attempt_id, None, harness.now_s
            )
            harness.finish(harness.attempt_id)
            harness.send_heartbeats()
        self.assertLess(names.count("e0"), 40)
        self.assertIn("e0", names[120:])

    def test_priorities_at_engines(self):
        """Guards against preemption at engines whose few slots are often taken."""
        for slots, expected in ((16, None), (64, ROUTE.priority)):
            harness = DispatcherHarness(slots=slots)
            decision = harness.submit(create_prompt(1, 1))
            self.assertEqual(decision.urgency, expected)

    def test_draining_and_evacuated_endpoints(self):
        harness = DispatcherHarness()
        harness.send_heartbeats(["e0"], state=EndpointState.DRAINING)
        harness.send_heartbeats(["e1"], failure_domain="a-2")
        harness.view.set_fleet(
            FleetChanged(("h1",), 1, frozenset({"a-2"})), harness.now_s
        )
        for number in range(5):
            chosen = harness.submit(create_prompt(number, number))
            self.assertEqual(chosen.record.endpoint, "e2")

    def test_silent_endpoint(self):
        harness = DispatcherHarness()
        for _ in range(4):
            harness.now_s += 1
            harness.send_heartbeats(["e0", "e1"])
        names = {harness.submit(create_prompt(n, n)).record.endpoint for n in range(10)}
        self.assertEqual(names, {"e0", "e1"})

    def test_endpoints_are_used_without_any_heartbeats(self):
        """Guards against refusing all requests when only heartbeats are lost."""
        harness = DispatcherHarness()
        harness.now_s += 20
        self.assertIsInstance(harness.submit(create_prompt(1, 1)), Grant)

    def test_cold_endpoint_keeps_its_rate_limit_in_any_second(self):
        harness = DispatcherHarness(endpoints=1)
        times = []
        for _ in range(400):
            harness.now_s += 0.01
            harness.send_heartbeats(cold_s=3.0)
            if isinstance(harness.submit(create_prompt(1, 1)), Grant):
                times.append(harness.now_s)
        for start in times:
            within = [each for each in times if start <= each < start + 1]
            self.assertLessEqual(len(within), 3)
        self.assertGreater(len(times), 5)

    def test_only_one_host_warms_an_endpoint_up(self):
        granted = 0
        for host in ("h1", "h2", "h3"):
            harness = DispatcherHarness(endpoints=1, host=host)
            hosts = FleetChanged(("h1", "h2", "h3"), 3, frozenset())
            harness.view.set_fleet(hosts, harness.now_s - 10.0)
            harness.send_heartbeats(cold_s=3.0)
            granted += isinstance(harness.submit(create_prompt(1, 1)), Grant)
        self.assertEqual(granted, 1)


class RegionTest(unittest.TestCase):
    """Requests are forwarded if that is faster and home regions allow it."""

    def setUp(self):
        self.harness = DispatcherHarness(endpoints=1)
        update = RegionUpdate("b", "h9", {"llm": 0.05}, {"llm": 5})
        self.harness.dispatcher.update_region(update, self.harness.now_s)

    def fill(self, route=ROUTE, hops=()):
        harness = self.harness
        return [harness.submit(create_prompt(n, n), route, hops) for n in range(40)]

    def test_overflow_goes_to_the_other_region(self):
        decisions = self.fill()
        self.assertIsInstance(decisions[0], Grant)
        self.assertTrue([each for each in decisions if isinstance(each, Forward)])

    def test_request_is_forwarded_once(self):
        decisions = self.fill(hops=("h9",))
        self.assertFalse([each for each in decisions if isinstance(each, Forward)])

    def test_home_regions(self):
        local = replace(ROUTE, home_regions=frozenset("a"))
        decisions = self.fill(local)
        self.assertFalse([each for each in decisions if isinstance(each, Forward)])
        remote = replace(ROUTE, home_regions=frozenset("b"))
        self.assertIsInstance(self.harness.submit(None, remote), Forward)
        unreachable = replace(ROUTE, home_regions=frozenset("c"))
        refusal = self.harness.submit(None, unreachable)
        self.assertIs(refusal.reason, RefusalReason.HOME_UNREACHABLE)

    def test_fresh_host_waits_for_the_first_reports_of_home_regions(self):
        """Guards against refusing what a region that is not known yet would serve."""
        harness = DispatcherHarness(endpoints=1)
        harness.dispatcher.admission._started_s = None
        at_home = replace(ROUTE, home_regions=frozenset("b"))
        self.assertIsNone(harness.submit(None, at_home))
        waiting_id = harness.attempt_id
        # It does not keep requests waiting that run in this region.
        self.assertIsInstance(harness.submit(create_prompt(1, 1)), Grant)
        update = RegionUpdate("b", "h9", {"llm": 0.05}, {"llm": 5})
        harness.dispatcher.update_region(update, harness.now_s)
        decided = harness.dispatcher.decide_waiting(harness.now_s)
        self.assertEqual([attempt_id for attempt_id, _ in decided], [waiting_id])
        self.assertIsInstance(decided[0][1], Forward)

    def test_deadline_too_short_for_the_other_region(self):
        """Guards against forwarding a request that cannot meet its deadline."""
        short = replace(ROUTE, timeout_s=0.2, home_regions=frozenset("b"))
        self.assertIsInstance(self.harness.submit(None, short), Refusal)

    def test_stale_load_report_is_ignored(self):
        self.harness.now_s += 3
        self.harness.send_heartbeats()
        decisions = self.fill()
        self.assertFalse([each for each in decisions if isinstance(each, Forward)])


class QueueTest(unittest.TestCase):
    """Requests wait for a slot by priority, and for a limited time."""

    def create_harness(self):
        return DispatcherHarness(endpoints=1, service="desk", slots=3)

    def test_urgent_request_is_served_first(self):
        harness = self.create_harness()
        normal = replace(ROUTE, priority=2, kind=RequestKind.IDEMPOTENT)
        urgent = replace(normal, priority=0)
        running = []
        while isinstance(harness.submit(None, normal), Grant):
            running.append(harness.attempt_id)
        harness.submit(None, urgent)
        urgent_id = harness.attempt_id
        harness.finish(running[0])
        decided = harness.dispatcher.decide_waiting(harness.now_s)
        self.assertEqual([attempt_id for attempt_id, _ in decided], [urgent_id])

    def test_long_wait_ends_with_a_refusal(self):
        harness = self.create_harness()
        normal = replace(ROUTE, kind=RequestKind.IDEMPOTENT)
        while isinstance(harness.submit(None, normal), Grant):
            pass
        harness.now_s += normal.latency_objective_s / 3
        decided = harness.dispatcher.decide_waiting(harness.now_s)
        self.assertIsInstance(decided[0][1], Refusal)

    def test_wait_behind_more_urgent_requests_ends_too(self):
        """Guards against queueing less urgent requests until their callers give up."""
        harness = self.create_harness()
        normal = replace(ROUTE, priority=2, kind=RequestKind.IDEMPOTENT)
        urgent = replace(normal, priority=0)
        while isinstance(harness.submit(None, normal), Grant):
            pass
        waiting_id = harness.attempt_id
        harness.now_s += normal.latency_objective_s / 5
        harness.submit(None, urgent)
        harness.now_s += normal.latency_objective_s / 10
        decided = dict(harness.dispatcher.decide_waiting(harness.now_s))
        self.assertIsInstance(decided[waiting_id], Refusal)
        self.assertEqual(list(decided), [waiting_id])

    def test_full_queue_refuses_at_once(self):
        """At three times the capacity, no request waits for a slot it will not get."""
        harness = self.create_harness()
        normal = replace(ROUTE, kind=RequestKind.IDEMPOTENT)
        running, waiting, queued_at_s = [], set(), {}
        waits, refused_at_once = [], 0
        for step in range(2000):
            harness.now_s += 0.005
            if step % 20 == 0:
                harness.send_heartbeats()
            # Each slot is released after 50 ms: 80 requests per second.
            while running and running[0][0] <= harness.now_s - 0.05:
                harness.finish(running.pop(0)[1])
            for attempt_id, decision in harness.dispatcher.decide_waiting(
                harness.now_s
            ):
                waiting.discard(attempt_id)
                if isinstance(decision, Grant):
                    running.append((harness.now_s, attempt_id))
                else:
                    waits.append(harness.now_s - queued_at_s[attempt_id])
            decision = harness.submit(None, normal) if step % 5 else None
            if isinstance(decision, Grant):
                running.append((harness.now_s, harness.attempt_id))
            elif isinstance(decision, Refusal):
                refused_at_once += 1
            elif step % 5:
                waiting.add(harness.attempt_id)
                queued_at_s[harness.attempt_id] = harness.now_s
        self.assertGreater(refused_at_once, 10 * len(waits))

    def test_withdrawn_request_is_removed(self):
        harness = self.create_harness()
        while isinstance(harness.submit(None), Grant):
            pass
        harness.dispatcher.finish_attempt(harness.attempt_id, None, harness.now_s)
        self.assertFalse(harness.dispatcher.has_waiting)


class RetryBudgetTest(unittest.TestCase):
    """All hosts together stay within the retry budget of a window."""

    def test_sum_over_hosts(self):
        hosts, requests, window_s = 4, 200, 10.0
        harnesses = [
            DispatcherHarness(
                retry_ratio=0.2, retry_slack=50.0, retry_window_s=window_s
            )
            for _ in range(hosts)
        ]
        retries = 0
        for harness in harnesses:
            names = tuple(f"h{n}" for n in range(hosts))
            harness.view.set_fleet(
                FleetChanged(names, hosts, frozenset()), harness.now_s
            )
            for number in range(requests):
                harness.dispatcher.record_request("llm", harness.now_s)
                decision = harness.submit(create_prompt(number, number), is_retry=True)
                harness.finish(harness.attempt_id)
                if isinstance(decision, Refusal):
                    self.assertIs(decision.reason, RefusalReason.RETRY_BUDGET)
                retries += isinstance(decision, Grant)
        self.assertLessEqual(retries, 0.2 * requests * hosts + 50)
        self.assertGreater(retries, 0.1 * requests * hosts)


class UnusedRetryTest(unittest.TestCase):
    """A replacement that reaches no endpoint takes nothing from the others."""

    def count_granted(self, was_sent):
        """Return how many retries of 60 are granted, if each ends at once."""
        harness = DispatcherHarness()
        granted = 0
        for number in range(60):
            decision = harness.submit(create_prompt(number, number), is_retry=True)
            granted += isinstance(decision, Grant)
            harness.dispatcher.finish_attempt(
                harness.attempt_id,
                AttemptOutcome.CANCELLED,
                harness.now_s,
                was_sent=was_sent,
            )
        return granted

    def test_retry_that_was_not_sent_is_given_back(self):
        """Guards against a budget that is spent by replacements nobody has used."""
        self.assertEqual(self.count_granted(False), 60)

    def test_retry_that_was_sent_is_counted(self):
        self.assertEqual(self.count_granted(True), 40)


class EjectionTest(unittest.TestCase):
    """Failing endpoints are ejected, but never all of them."""

    def test_failing_endpoint_is_avoided(self):
        harness = DispatcherHarness()
        failing = None
        for number in range(60):
            decision = harness.submit(create_prompt(number, number))
            name = decision.record.endpoint
            failing = failing or name
            is_failing = name == failing
            outcome = AttemptOutcome.BROKEN if is_failing else AttemptOutcome.SUCCEEDED
            harness.finish(harness.attempt_id, outcome)
        names = [
            harness.submit(create_prompt(n, n)).record.endpoint for n in range(100, 110)
        ]
        self.assertNotIn(failing, names)

    def test_last_endpoint_is_used_despite_failures(self):
        harness = DispatcherHarness(endpoints=1)
        for number in range(10):
            decision = harness.submit(create_prompt(number, number))
            self.assertIsInstance(decision, Grant)
            harness.finish(harness.attempt_id, AttemptOutcome.BROKEN)


class ServiceStateTest(unittest.TestCase):
    """The metrics show why endpoints are not used."""

    def test_conditions_of_endpoints(self):
        harness = DispatcherHarness(endpoints=7)
        harness.now_s += 10
        harness.send_heartbeats(["e0", "e1", "e2", "e3", "e5", "e6"])
        limited = harness.view.loads["e6"].entry.record
        harness.view.rate_shares.record_named(limited, 1.0, harness.now_s)
        paused = harness.view.loads["e5"].entry.record
        harness.view.record_pause(paused, 3.0, harness.now_s)
        harness.send_heartbeats(["e1"], state=EndpointState.DRAINING)
        harness.send_heartbeats(["e2"], cold_s=3.0)
        harness.send_heartbeats(["e3"], failure_domain="a-2")
        harness.view.set_fleet(
            FleetChanged(("h1",), 1, frozenset({"a-2"})), harness.now_s
        )
        state = harness.dispatcher.describe_service("llm", harness.now_s)
        counts = {each.value: count for each, count in state.endpoints.items()}
        conditions = ("ready", "cold", "silent", "evacuated", "leaving", "paused")
        expected = dict.fromkeys((*conditions, "rate_limited"), 1)
        self.assertEqual(counts, expected)

    def test_retries_and_waiting(self):
        harness = DispatcherHarness(
            endpoints=1, service="desk", slots=3, retry_slack=10.0
        )
        while isinstance(harness.submit(), Grant):
            pass
        state = harness.dispatcher.describe_service("desk", harness.now_s)
        self.assertEqual((state.waiting, state.retries), (1, 0))
        self.assertAlmostEqual(state.retries_allowed, 8.0)


class StartupTest(unittest.TestCase):
    """Only a host that has just started waits for the first heartbeats."""

    def test_host_that_has_served_refuses_at_once_when_all_endpoints_leave(self):
        harness = DispatcherHarness()
        harness.dispatcher.admission._started_s = None
        self.assertIsInstance(harness.submit(create_prompt(1, 1)), Grant)
        harness.now_s += 10.0
        harness.send_heartbeats(state=EndpointState.DRAINING)
        decision = harness.submit(create_prompt(1, 2))
        self.assertIsInstance(decision, Refusal)
        self.assertIs(decision.reason, RefusalReason.NO_ENDPOINT)

    def test_host_that_has_just_started_lets_requests_wait(self):
        harness = DispatcherHarness(endpoints=0)
        harness.dispatcher.admission._started_s = None
        self.assertIsNone(harness.submit(create_prompt(1, 1)))


class SoftwareVersionTest(unittest.TestCase):
    """A stream continues only at endpoints that are known to have its version."""

    def setUp(self):
        self.harness = DispatcherHarness(endpoints=2)
        self.harness.send_heartbeats(["e0"], incarnation=2, version="v1")
        self.harness.send_heartbeats(["e1"], incarnation=2, version="v2")

    def submit(self, version):
        return self.harness.submit(
            create_prompt(1, 1), call_fields={"version": version}
        )

    def test_stream_goes_to_an_endpoint_of_its_version(self):
        for version, endpoint in (("v1", "e0"), ("v2", "e1")):
            self.assertEqual(self.submit(version).record.endpoint, endpoint)

    def test_endpoint_without_recent_heartbeats_may_have_another_version(self):
        """It may have started again; other requests still go there."""
        self.harness.now_s += 10.0
        decision = self.submit("v1")
        self.assertIsInstance(decision, Refusal)
        self.assertIs(decision.reason, RefusalReason.VERSION_NOT_SERVED)
        decision = self.submit(None)
        self.assertIsInstance(decision, Grant)
        self.assertIsNone(decision.version)

    def test_texts_are_not_copied_from_another_version(self):
        granted = [self.harness.submit(create_prompt(1, n)) for n in range(40)]
        sources = {each.cache_source for each in granted if isinstance(each, Grant)}
        self.assertEqual(sources, {None})


class StreamVersionsTest(unittest.TestCase):
    """One version serves only if this host has just heard so."""

    def setUp(self):
        self.harness = DispatcherHarness(endpoints=1)
        self.harness.send_heartbeats(incarnation=2, version="v1")
        self.stream_versions = self.harness.view.stream_versions

    def is_uniform(self):
        return self.stream_versions.is_uniform("llm", self.harness.now_s)

    def test_host_that_was_suspended_knows_no_longer(self):
        self.stream_versions.set_reach(True, self.harness.now_s)
        self.assertTrue(self.is_uniform())
        self.harness.now_s += 4.0
        self.assertFalse(self.is_uniform())

    def test_host_without_a_majority_of_the_coordinators_does_not_know(self):
        self.assertFalse(self.is_uniform())
        self.stream_versions.set_reach(True, self.harness.now_s)
        self.stream_versions.set_reach(False, self.harness.now_s)
        self.assertFalse(self.is_uniform())

    def test_earlier_streams_are_told_once_a_second_version_appears(self):
        self.stream_versions.set_reach(True, self.harness.now_s)
        stream_versions, now_s = self.stream_versions, self.harness.now_s
        self.assertEqual(stream_versions.take_outgoing(now_s), ())
        route = replace(ROUTE, resumable=True)
        self.harness.submit(route=route, request_id="q")
        self.harness.dispatcher.record_first_event(self.harness.attempt_id, now_s)
        self.assertEqual(stream_versions.take_outgoing(now_s), ())
        stream_versions.receive((ServiceVersion("llm", "v2"),), now_s)
        (origin,) = stream_versions.take_outgoing(now_s)
        self.assertEqual((origin.service, origin.version), ("llm", "v1"))
