"""Tests of the division of quotas, and of the charges at a gateway."""

import itertools
import math
import random
import unittest
from types import SimpleNamespace

import curio

from buckthorndeal.errors import FrameError
from buckthorndeal.fleet import FLEET_CODEC, OriginReply, QuotaGrants, QuotaRequest
from buckthorndeal.gateway._control_messages import AskForQuota
from buckthorndeal.gateway._daemon import Gateway
from buckthorndeal.gateway._messages import Forward, Grant, Refusal, RefusalReason
from buckthorndeal.gateway._quota_gate import QuotaGate
from buckthorndeal.gateway._quota_requests import QuotaRequests
from buckthorndeal.mailbox import create_mailbox
from buckthorndeal.metrics import create_metrics
from buckthorndeal.quota import (
    LEASE_S,
    MAX_WAIT_S,
    Charge,
    QuotaDemand,
    QuotaOptions,
    QuotaWait,
    create_plan,
    create_quota_granter,
    create_quota_leases,
    create_quota_options,
)
from buckthorndeal.settings import QuotaSettings
from buckthorndeal.wire import create_codec
from buckthorndeal.workspaces import QuotaUnit, Workspace
from tests.dispatcher_harness import DispatcherHarness, create_prompt

OPTIONS = QuotaOptions(8.0, 0.1, 110_000.0)
START_S = LEASE_S + 0.1
LARGE = 9_190


def create_workspace(rate=100_000.0, burst=0.0, name="w", unit=QuotaUnit.TOKENS):
    return Workspace(name, unit=unit, rate_per_s=rate, burst=burst)


def create_pair(workspace, now_s=0.0, options=OPTIONS):
    """Return a leader with a full pool, and the leases of a host."""
    granter = create_quota_granter(options)
    granter.set_workspaces([workspace], now_s)
    granter.start_leading(1, now_s - 100.0)
    leases = create_quota_leases(options, random.Random(1))
    leases.set_workspaces([workspace])
    return granter, leases


def exchange(granter, leases, now_s, delay_s=0.0, host=("h", 1)):
    """Send the next request and apply its reply; return the demands and amounts."""
    built = leases.build_request(now_s)
    if built is None:
        return (), ()
    sequence, _, demands = built
    amounts = granter.request(host, *built, now_s)
    leases.apply_grants(granter.term, sequence, amounts, now_s + delay_s)
    return demands, amounts


class PlanTest(unittest.TestCase):
    def test_parts_stay_within_the_bound(self):
        """Guards against parts that are counted twice."""
        rates = (1e-6, 1.0, 300.0, 70_000.0, 1e6, 1e12, 1e300)
        bursts = (0.0, 5.0, 50_000.0, 1e300, math.inf, math.nan)
        options = [
            QuotaOptions(*each)
            for each in itertools.product((1.0, 8.0, 60.0), (0.0, 0.1, 2.0), (0.0, 1e5))
        ]
        for rate, burst, each in itertools.product(rates, bursts, options):
            plan = create_plan(create_workspace(rate, burst), each)
            rate_used = min(rate, 2.0**53)
            burst_used = 0.0 if math.isnan(burst) else min(burst, 2.0**53)
            total = plan.rate_per_s * each.window_s + plan.capacity + plan.start
            total += plan.fallback_rate_per_s * each.window_s + plan.fallback_capacity
            bound = each.compute_bound(rate_used, burst_used)
            with self.subTest(rate=rate, burst=burst, options=each):
                self.assertGreaterEqual(plan.capacity, 0.0)
                self.assertGreaterEqual(plan.rate_per_s, 0.5 * rate_used)
                self.assertLessEqual(total, bound * (1 + 1e-9))

    def test_large_requests_fit_into_the_capacity_of_a_small_quota(self):
        plan = create_plan(create_workspace(100.0), OPTIONS)
        self.assertGreater(0.7 * plan.capacity, 2 * LARGE)

    def test_odd_settings_become_usable_options(self):
        """Guards against a platform's file with a window of 0 or a negative slack."""
        settings = QuotaSettings(window_s=0.0, overage=-3.0, slack=-1e9)
        plan = create_plan(create_workspace(), create_quota_options(settings))
        self.assertGreater(plan.rate_per_s, 0.0)
        self.assertGreater(plan.capacity, 0.0)


class GranterTest(unittest.TestCase):
    def test_only_a_leader_grants(self):
        granter = create_quota_granter(OPTIONS)
        granter.set_workspaces([create_workspace()], 0.0)
        demand = QuotaDemand("w", need=1000, least=1000)
        self.assertIsNone(granter.request(("h", 1), 1, 0, [demand], 5.0))
        granter.start_leading(3, 5.0)
        self.assertEqual(granter.request(("h", 1), 1, 0, [demand], 5.0), (1000,))
        granter.stop_leading()
        self.assertIsNone(granter.request(("h", 1), 2, 1, [demand], 6.0))

    def test_request_that_arrives_late_or_twice_is_ignored(self):
        """Guards against a report that makes units of a later grant free again."""
        granter, _ = create_pair(create_workspace())
        demand = QuotaDemand("w", need=1000, least=1000)
        self.assertIsNotNone(granter.request(("h", 1), 5, 0, [demand], 1.0))
        self.assertIsNone(granter.request(("h", 1), 5, 0, [demand], 1.1))
        self.assertIsNone(granter.request(("h", 1), 4, 0, [demand], 1.1))
        self.assertIsNotNone(granter.request(("h", 2), 1, 0, [demand], 1.1))

    def test_new_leader_grants_little_while_older_grants_are_valid(self):
        """Guards against two leaders that both grant the whole capacity."""
        workspace = create_workspace()
        plan = create_plan(workspace, OPTIONS)
        granter, _ = create_pair(workspace)
        granter.start_leading(2, 50.0)
        granted = 0
        now_s = 50.0
        for number in itertools.count(1):
            now_s = 50.0 + 0.05 * number
            if now_s >= 50.0 + START_S:
                break
            demand = QuotaDemand("w", need=20_000, least=1)
            granted += granter.request((f"h{number}", 1), 1, 0, [demand], now_s)[0]
        self.assertGreater(granted, 0)
        self.assertLessEqual(granted, 0.3 * plan.capacity + 1)

    def test_units_of_a_silent_host_are_used_until_they_expire(self):
        """Guards against units that are granted again while a frozen host has them."""
        granter, leases = create_pair(create_workspace(1_000.0))
        leases.try_acquire(create_workspace(1_000.0), LARGE, 0.0)
        exchange(granter, leases, 0.0)
        _, held, _ = granter.describe(START_S - 0.01)["w"]
        self.assertGreaterEqual(held, LARGE)
        _, held, _ = granter.describe(START_S + 0.01)["w"]
        self.assertEqual(held, 0.0)

    def test_grant_of_a_lost_reply_is_free_again(self):
        workspace = create_workspace(1_000.0)
        granter, leases = create_pair(workspace)
        leases.try_acquire(workspace, LARGE, 0.0)
        built = leases.build_request(0.0)
        granter.request(("h", 1), *built, 0.0)
        free, _, _ = granter.describe(0.0)["w"]
        leases.record_failure(0.5)
        leases.try_acquire(workspace, 1_000, 0.5)
        built = leases.build_request(0.5)
        granter.request(("h", 1), *built, 0.5)
        after, held, _ = granter.describe(0.5)["w"]
        self.assertGreater(after, free)
        self.assertLess(held, LARGE)

    def test_lower_quota_binds_at_once(self):
        granter, _ = create_pair(create_workspace(1e6))
        demand = QuotaDemand("w", need=200_000, least=1)
        self.assertEqual(granter.request(("h", 1), 1, 0, [demand], 1.0), (200_000,))
        granter.set_workspaces([create_workspace(1_000.0)], 1.1)
        self.assertEqual(granter.request(("g", 1), 1, 0, [demand], 1.2), (0,))

    def test_unknown_workspace_gets_nothing_and_unlimited_all(self):
        granter, _ = create_pair(create_workspace(0.0))
        demands = [QuotaDemand("w", need=7), QuotaDemand("gone", need=7)]
        self.assertEqual(granter.request(("h", 1), 1, 0, demands, 1.0), (7, 0))

    def test_odd_demands_grant_nothing_that_is_not_there(self):
        """Guards against numbers of another build that break the sums."""
        granter, _ = create_pair(create_workspace())
        plan = create_plan(create_workspace(), OPTIONS)
        for sequence, value in enumerate((-(2**63), -1, 2**63 - 1, 2**64 - 1), 1):
            demand = QuotaDemand("w", 0, value, value, value, 0, value)
            (amount,) = granter.request(("h", 1), sequence, 0, [demand], 1.0)
            self.assertGreaterEqual(amount, 0)
            self.assertLessEqual(amount, plan.capacity)

    def test_shares_follow_demand_when_units_lack(self):
        """Guards against a host that gets all because it asks first."""
        granter, _ = create_pair(create_workspace())
        granted = {"big": 0, "small": 0}
        for number in range(1, 200):
            now_s = number * 0.1
            for name, need in (("big", 40_000), ("small", 10_000)):
                demand = QuotaDemand("w", 0, need, 1, 0, 0, 10 * need)
                amounts = granter.request(
                    (name, 1), number, number - 1, [demand], now_s
                )
                if now_s > 5.0:
                    granted[name] += amounts[0]
        part = granted["small"] / sum(granted.values())
        self.assertGreater(part, 0.15)
        self.assertLess(part, 0.3)


class LeasesTest(unittest.TestCase):
    def setUp(self):
        self.workspace = create_workspace()
        self.granter, self.leases = create_pair(self.workspace)

    def acquire(self, units, now_s, is_new=True):
        return self.leases.try_acquire(self.workspace, units, now_s, is_new)

    def test_first_request_waits_for_the_reply_and_is_served(self):
        taken = self.acquire(LARGE, 0.0)
        self.assertIsInstance(taken, QuotaWait)
        self.assertTrue(taken.may_wait)
        self.assertTrue(self.leases.is_request_due(0.0))
        exchange(self.granter, self.leases, 0.0)
        self.assertIsInstance(self.acquire(LARGE, 0.01, is_new=False), Charge)

    def test_later_request_takes_no_units_of_one_that_waits(self):
        """Guards against large requests that small ones overtake again and again."""
        self.acquire(LARGE, 0.0)
        exchange(self.granter, self.leases, 0.0)
        self.assertIsInstance(self.acquire(826, 0.01), QuotaWait)
        self.assertIsInstance(self.acquire(LARGE, 0.01, is_new=False), Charge)

    def test_expired_grant_is_not_used(self):
        """Guards against a frozen host that goes on with an old grant."""
        self.acquire(LARGE, 0.0)
        exchange(self.granter, self.leases, 0.0)
        self.assertIsInstance(
            self.acquire(LARGE, LEASE_S + 0.001, is_new=False), QuotaWait
        )

    def test_reply_after_a_suspension_is_not_used(self):
        self.acquire(LARGE, 0.0)
        exchange(self.granter, self.leases, 0.0, delay_s=LEASE_S)
        self.assertIsInstance(self.acquire(LARGE, LEASE_S, is_new=False), QuotaWait)

    def test_reply_of_a_former_leader_or_another_request_is_ignored(self):
        self.acquire(LARGE, 0.0)
        sequence, _, _ = self.leases.build_request(0.0)
        self.assertFalse(self.leases.apply_grants(1, sequence + 1, (LARGE,), 0.1))
        self.assertFalse(self.leases.apply_grants(1, sequence, (LARGE, LARGE), 0.1))
        self.assertTrue(self.leases.apply_grants(2, sequence, (LARGE,), 0.1))
        self.acquire(LARGE, 0.2)
        sequence, _, _ = self.leases.build_request(0.2)
        self.assertFalse(self.leases.apply_grants(1, sequence, (LARGE,), 0.3))

    def test_reserved_units_count_as_held_and_expire(self):
        """Guards against a request that waits for an endpoint beyond its grant."""
        self.acquire(LARGE, 0.0)
        exchange(self.granter, self.leases, 0.0)
        charge = self.acquire(LARGE, 0.1, is_new=False)
        self.leases.reserve(charge)
        demands, _ = exchange(self.granter, self.leases, 0.8)
        self.assertGreaterEqual(demands[0].held, LARGE)
        self.assertTrue(self.leases.settle(charge, 0.9))
        charge.is_reserved = False
        self.leases.reserve(charge)
        self.assertFalse(self.leases.settle(charge, 0.8 + LEASE_S + 0.01))

    def test_refund_is_used_again_or_returned(self):
        self.acquire(LARGE, 0.0)
        exchange(self.granter, self.leases, 0.0)
        charge = self.acquire(LARGE, 0.1, is_new=False)
        self.leases.refund(charge, 0.2)
        charge = self.acquire(LARGE, 0.3)
        self.assertIsInstance(charge, Charge)
        exchange(self.granter, self.leases, 0.4)
        self.leases.refund(charge, 0.5)
        demands, _ = exchange(self.granter, self.leases, 0.6)
        self.assertEqual(demands[0].returned, LARGE)

    def test_refund_of_an_expired_grant_brings_nothing(self):
        self.acquire(LARGE, 0.0)
        exchange(self.granter, self.leases, 0.0)
        charge = self.acquire(LARGE, 0.1, is_new=False)
        self.acquire(1, LEASE_S + 1.0)
        self.leases.refund(charge, LEASE_S + 1.0)
        self.assertIsInstance(self.acquire(LARGE, LEASE_S + 1.1), QuotaWait)

    def test_refusal_is_at_once_after_a_grant_below_the_need(self):
        self.acquire(LARGE, 0.0)
        sequence, _, _ = self.leases.build_request(0.0)
        self.leases.apply_grants(1, sequence, (0,), 0.1)
        taken = self.acquire(LARGE, 0.2)
        self.assertFalse(taken.may_wait)
        self.assertGreater(taken.retry_s, 0.0)

    def test_without_a_leader_hosts_keep_to_their_fallback_shares(self):
        """Guards against hosts that are cut off and use the quota several times."""
        workspace = create_workspace(1_000.0, unit=QuotaUnit.REQUESTS)
        options = QuotaOptions()
        plan = create_plan(workspace, options)
        used = 0
        for number in range(10):
            leases = create_quota_leases(options, random.Random(number))
            leases.set_hosts(10)
            leases.set_workspaces([workspace])
            for step in range(2000):
                taken = leases.try_acquire(workspace, 1, step * 0.004)
                used += isinstance(taken, Charge)
                leases.record_failure(step * 0.004)
        self.assertGreater(used, 0)
        most = plan.fallback_rate_per_s * 8.0 + plan.fallback_capacity
        self.assertLessEqual(used, most)

    def test_request_without_reply_is_given_up(self):
        self.acquire(LARGE, 0.0)
        self.leases.build_request(0.0)
        self.assertFalse(self.leases.is_request_due(0.9))
        self.acquire(LARGE, 1.1)
        self.assertTrue(self.leases.is_request_due(1.2))

    def test_odd_units_are_refused(self):
        for units in (-1, 10**400, 2**53 + 1, math.nan, math.inf):
            taken = self.acquire(units, 0.0)
            self.assertIsInstance(taken, QuotaWait)
            self.assertFalse(taken.may_wait)
        self.assertIsInstance(self.acquire(0, 0.0), Charge)

    def test_odd_quotas_are_charged_or_refused(self):
        for rate in (1e-300, 5e-324, 1e300):
            workspace = create_workspace(rate, burst=math.nan)
            granter, leases = create_pair(workspace)
            leases.try_acquire(workspace, LARGE, 0.0)
            exchange(granter, leases, 0.0)
            taken = leases.try_acquire(workspace, LARGE, 0.1, is_new=False)
            self.assertIsInstance(taken, Charge | QuotaWait)


class OlderBuildTest(unittest.TestCase):
    def test_message_to_an_older_build_is_a_call_that_fails_alone(self):
        """Guards against notifications with a tag that closes an older build's link."""
        older = create_codec((OriginReply,))
        request = QuotaRequest(1, 1, 0, (QuotaDemand("w", need=5),))
        with self.assertRaises(FrameError):
            older.decode(FLEET_CODEC.encode(request))
        for message in (request, QuotaGrants(1, 1, (5,))):
            self.assertEqual(FLEET_CODEC.decode(FLEET_CODEC.encode(message)), message)


class GateTest(unittest.TestCase):
    """The dispatcher with a gate on a simulated clock."""

    def setUp(self):
        self.workspace = create_workspace(rate=10_000.0)
        self.granter, self.leases = create_pair(self.workspace, 100.0)
        self.harness = DispatcherHarness()
        self.gate = QuotaGate(self.leases, lambda: self.harness.now_s)
        self.harness.dispatcher.quota = self.gate

    def submit(self, workspace=None, **fields):
        fields["call_fields"] = {"workspace": workspace or self.workspace}
        return self.harness.submit(create_prompt(1, 1), **fields)

    def grant(self):
        exchange(self.granter, self.leases, self.harness.now_s)

    def decide(self):
        return dict(self.harness.dispatcher.decide_waiting(self.harness.now_s))

    def test_request_waits_for_units_and_is_granted(self):
        self.assertIsNone(self.submit())
        self.assertTrue(self.harness.dispatcher.has_waiting)
        self.assertEqual(self.decide(), {})
        self.grant()
        self.assertIsInstance(self.decide()[1], Grant)
        self.assertFalse(self.harness.dispatcher.has_waiting)

    def test_excess_is_refused_with_429_and_not_run(self):
        self.submit()
        built = self.leases.build_request(self.harness.now_s)
        self.leases.apply_grants(1, built[0], (0,), self.harness.now_s)
        refusal = self.decide()[1]
        self.assertIs(refusal.reason, RefusalReason.QUOTA_EXCEEDED)
        self.assertEqual(refusal.reason.status, 429)
        self.assertGreater(refusal.retry_after_s, 0)
        self.assertIsInstance(self.submit(), Refusal)

    def test_wait_for_the_leader_ends(self):
        self.submit()
        self.harness.now_s += MAX_WAIT_S
        self.assertIsInstance(self.decide()[1], Refusal)
        self.assertFalse(self.harness.dispatcher.has_waiting)

    def test_caller_that_leaves_while_waiting_is_forgotten(self):
        self.submit()
        self.harness.dispatcher.finish_attempt(
            1, None, self.harness.now_s, was_sent=False
        )
        self.grant()
        self.assertEqual(self.decide(), {})

    def test_forwarded_request_is_charged_by_the_first_host_only(self):
        self.assertIsInstance(self.submit(hops=("h9",)), Grant)
        self.assertFalse(self.leases.is_limiting)

    def test_unlimited_workspace_and_anonymous_callers_are_not_charged(self):
        self.assertIsInstance(self.submit(create_workspace(0.0)), Grant)
        self.assertIsInstance(self.harness.submit(create_prompt(1, 1)), Grant)
        self.assertFalse(self.leases.is_limiting)

    def test_attempt_that_has_not_run_is_refunded(self):
        self.submit()
        self.grant()
        self.assertIsInstance(self.decide()[1], Grant)
        before = self.leases.describe(self.harness.now_s)["w"].held
        self.harness.dispatcher.finish_attempt(
            1, None, self.harness.now_s, not_run=True
        )
        after = self.leases.describe(self.harness.now_s)["w"].held
        self.assertEqual(after - before, 7350)

    def test_attempt_that_may_have_run_stays_charged(self):
        self.submit()
        self.grant()
        self.decide()
        before = self.leases.describe(self.harness.now_s)["w"].held
        self.harness.finish(1)
        self.assertEqual(self.leases.describe(self.harness.now_s)["w"].held, before)

    def test_workspace_made_unlimited_admits_those_that_wait(self):
        """Guards against 429 by the old limit for requests that wait at the change."""
        for table in ([create_workspace(0.0)], []):
            with self.subTest(table=table):
                self.setUp()
                self.gate.set_workspaces([self.workspace])
                self.assertIsNone(self.submit())
                self.gate.set_workspaces(table)
                self.assertIsInstance(self.decide()[1], Grant)
                self.assertFalse(self.leases.is_limiting)
                # A caller whose workspace was read before the change.
                self.assertIsInstance(self.submit(), Grant)
                self.assertFalse(self.leases.is_limiting)

    def test_quota_that_ends_and_returns_leaves_no_wait_below_zero(self):
        """Guards against units of a former lease that lessen the wait of the next."""
        self.gate.set_workspaces([self.workspace])
        self.assertIsNone(self.submit())
        self.gate.set_workspaces([])
        self.gate.set_workspaces([self.workspace])
        self.assertIsNone(self.submit())
        lease = self.leases._leases["w"]
        waiting = lease.waiting
        self.assertIsInstance(self.decide()[1], Grant)
        self.assertEqual(lease.waiting, waiting)

    def test_waiting_requests_are_not_looked_at_after_every_message(self):
        """Guards against 1 ms of processor time per message with 225 that wait."""
        looks = []
        try_acquire = self.leases.try_acquire
        self.submit()
        self.submit()
        self.leases.try_acquire = lambda *args, **fields: (
            looks.append(1) or try_acquire(*args, **fields)
        )
        for _ in range(100):
            self.assertEqual(self.decide(), {})
        self.assertEqual(len(looks), 2)
        self.harness.now_s += 0.021
        self.decide()
        self.assertEqual(len(looks), 4)

    def test_failure_ends_the_wait_at_once(self):
        """Guards against a look at waiting requests that misses a failed ask."""
        self.submit()
        self.leases.build_request(self.harness.now_s)
        self.assertEqual(self.decide(), {})
        self.leases.record_failure(self.harness.now_s)
        self.assertIsInstance(self.decide()[1], Refusal)

    def test_refund_serves_those_that_wait_at_once(self):
        """Guards against a look at waiting requests that misses a refund."""
        self.submit()
        self.grant()
        self.assertIsInstance(self.decide()[1], Grant)
        self.leases._leases["w"].free = 0.0
        self.assertIsNone(self.submit())
        self.assertEqual(self.decide(), {})
        self.harness.dispatcher.finish_attempt(
            1, None, self.harness.now_s, not_run=True
        )
        self.assertIsInstance(self.decide()[2], Grant)

    def test_refusal_for_another_reason_is_refunded(self):
        self.harness.names = []
        harness = DispatcherHarness(endpoints=0)
        harness.dispatcher.quota = self.gate
        call_fields = {"workspace": self.workspace}
        harness.submit(create_prompt(1, 1), call_fields=call_fields)
        self.grant()
        decided = dict(harness.dispatcher.decide_waiting(harness.now_s))
        self.assertIs(decided[1].reason, RefusalReason.NO_ENDPOINT)
        self.assertNotIsInstance(decided[1], Forward)
        self.assertEqual(self.leases.describe(harness.now_s)["w"].held, 7350)


class StateTest(unittest.TestCase):
    def setUp(self):
        self.leases = create_quota_leases(OPTIONS, random.Random(1))
        self.metrics = create_metrics()
        gate = QuotaGate(self.leases, lambda: 100.0)
        self.requests = QuotaRequests(gate, self.metrics, None)

    def use(self, count):
        for number in range(count):
            workspace = create_workspace(name=f"w{number}")
            self.leases.try_acquire(workspace, 30, 100.0)
        self.requests.record_state()

    def count_series(self):
        lines = self.metrics.render().splitlines()
        return sum("quota_demand_units_per_s{" in line for line in lines)

    def test_gauges_of_a_forgotten_lease_are_removed(self):
        """Guards against gauges that show a removed workspace for ever."""
        self.use(2)
        self.assertEqual(self.count_series(), 2)
        self.leases.set_workspaces([])
        self.requests.record_state()
        self.assertEqual(self.count_series(), 0)

    def test_number_of_labelled_workspaces_is_limited(self):
        """Guards against a number of series that grows with the configuration."""
        self.use(70)
        self.assertEqual(self.count_series(), 65)
        name = "quota_demand_units_per_s"
        others = self.metrics.get_value(name, workspace="(other)")
        self.assertAlmostEqual(others, 6 * 10.0)


class EffectTest(unittest.TestCase):
    def test_request_does_not_wait_for_the_control_task(self):
        """Guards against dispatch and control tasks that wait for each other."""

        async def run():
            mailbox = create_mailbox(1)
            await mailbox.send("earlier")
            gateway = SimpleNamespace(_control=SimpleNamespace(mailbox=mailbox))
            request = QuotaRequest(1, 1, 0, ())
            async with curio.timeout_after(1):
                await Gateway._request_quota(gateway, request)
                await mailbox.receive()
                return (await mailbox.receive()).message

        self.assertEqual(curio.run(run), AskForQuota(QuotaRequest(1, 1, 0, ())))


if __name__ == "__main__":
    unittest.main()
