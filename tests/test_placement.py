"""Tests of placement decisions and of placement with changing lease holders."""

import dataclasses
import heapq
import itertools
import random
import unittest
import unittest.mock

from buckthorndeal import statemachine as sm
from buckthorndeal.leases import (
    LeaseDenied,
    LeaseOptions,
    create_lease_granter,
    create_lease_holder,
)
from buckthorndeal.placement import (
    PlacementEndpoint,
    PlacementOptions,
    create_planner,
)
from buckthorndeal.sections import parse_section

TEXT = """{
  "services": {"llm": {"kind": "model", "models": ["a", "b"]}},
  "regions": {"r": {"home": "h", "failure_domains": ["d"]}},
  "placement": {
    "models": {"a": {"version": "1"}, "b": {"version": "1"}},
    "weight_store_loads_per_minute": 60
  }
}"""
PLATFORM = parse_section("platform", TEXT)
# Without a minimum, only the rule about last copies protects the last copy of a model.
NO_MIN_COPIES = parse_section(
    "platform", TEXT.replace('"version"', '"min_copies": 0, "version"')
)
OPTIONS = PlacementOptions(max_order_s=10.0, handover_s=6.3)


def _create_endpoint(name, *models, **values):
    loaded = tuple((model, "1") for model in models)
    return PlacementEndpoint(name, 1, "llm", "r", models=loaded, **values)


class PlannerTest(unittest.TestCase):
    """Single planning rounds with a given clock."""

    def setUp(self):
        self.planner = create_planner(OPTIONS)
        self.planner.start(1, 0.0)

    def plan(self, endpoints, now_s, demand=None, platform=PLATFORM):
        decisions = self.planner.plan(endpoints, demand or {}, platform, now_s)
        return [
            (decision.endpoint.name, decision.order.action, decision.order.model)
            for decision in decisions
        ]

    def test_one_order_for_each_endpoint_and_token(self):
        """Guards against repeated orders and bursts of loads from the weight store."""
        endpoints = [_create_endpoint("e1"), _create_endpoint("e2")]
        self.assertEqual(self.plan(endpoints, 0.5), [])
        self.assertEqual(self.plan(endpoints, 1.0), [("e1", "load", "a")])
        self.assertEqual(self.plan(endpoints, 1.5), [])
        self.assertEqual(self.plan(endpoints, 2.0), [("e2", "load", "b")])
        self.assertEqual(self.plan(endpoints, 9.0), [])

    def test_last_ready_copy_is_not_taken(self):
        """Guards against a region left without a model."""
        only_copy = [
            _create_endpoint("e1", "a"),
            _create_endpoint("e2", "a", ready=False),
        ]
        self.assertEqual(self.plan(only_copy, 5.0), [])
        pair = [_create_endpoint("e1", "a"), _create_endpoint("e2", "a")]
        self.assertEqual(self.plan(pair, 6.0), [("e1", "unload", "a")])
        self.assertEqual(self.plan(pair, 7.0), [])

    def test_old_version_is_replaced_one_by_one(self):
        """Guards against an upgrade that unloads all copies at once."""
        text = TEXT.replace('"version": "1"', '"version": "2", "min_copies": 2', 1)
        platform = parse_section(
            "platform", text.replace(', "b": {"version": "1"}', "")
        )
        first, second = _create_endpoint("e1", "a"), _create_endpoint("e2", "a")
        self.assertEqual(
            self.plan([first, second], 5.0, None, platform), [("e1", "unload", "a")]
        )
        first = _create_endpoint("e1")
        self.assertEqual(
            self.plan([first, second], 6.0, None, platform), [("e1", "load", "a")]
        )
        self.assertEqual(self.plan([first, second], 7.0, None, platform), [])
        first = dataclasses.replace(first, models=(("a", "2"),))
        self.assertEqual(
            self.plan([first, second], 8.0, None, platform), [("e2", "unload", "a")]
        )

    def test_steady_demand_moves_nothing(self):
        """Guards against adding and removing copies as the demand varies."""
        endpoints = [_create_endpoint(f"e{n}", "a", "b", model_slots=2) for n in (1, 2)]
        rng = random.Random(3)
        orders = []
        for second in range(1, 600):
            demand = {("r", "a"): rng.uniform(0.9, 1.5)}
            orders += self.plan(endpoints, float(second), demand)
        self.assertEqual(orders, [])

    def test_new_holder_waits_for_endpoints_that_ignore_fencing(self):
        """Guards against orders of two holders at one endpoint."""
        self.planner.start(2, 0.0)
        ignoring = [_create_endpoint("e1")]
        self.assertEqual(self.plan(ignoring, 16.2), [])
        self.assertEqual(self.plan(ignoring, 16.4), [("e1", "load", "a")])
        self.planner.start(3, 20.0)
        checking = [_create_endpoint("e1", checks_fencing=True)]
        self.assertEqual(self.plan(checking, 21.0), [("e1", "load", "a")])


class _Host:
    def __init__(self, name, clock_rate):
        self.name, self.clock_rate = name, clock_rate
        self.holder = create_lease_holder("p", name, LeaseOptions())
        self.planner = create_planner(OPTIONS)
        self.delay_s, self.isolated, self.leaderless = 0.2, False, False

    def read_clock(self, now_s):
        return 1000.0 + now_s * self.clock_rate


class _Simulation:
    """Simulates three hosts, a lease granter and endpoints in virtual time."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.events, self.sequence = [], itertools.count()
        self.machine = sm.create_statemachine()
        self.granter = create_lease_granter()
        self.granter.start_leading(0.0)
        self.hosts = [_Host(f"h{n}", self.rng.uniform(0.98, 1.02)) for n in range(3)]
        self.endpoints = {
            f"e{n}": _create_endpoint(f"e{n}", "ab"[n % 2], checks_fencing=n < 3)
            for n in range(8)
        }
        self.reports = [dict(self.endpoints)] * 5
        self.fencing = dict.fromkeys(self.endpoints, 0)
        self.busy_until = dict.fromkeys(self.endpoints, (0.0, 0))
        self.executed, self.violations = [], []
        self.demand = {}

    def schedule(self, delay_s, action, *args):
        entry = (self.now_s + delay_s, next(self.sequence), action, args)
        heapq.heappush(self.events, entry)

    def send(self, host, action, *args):
        is_lost = host.isolated or (host.leaderless and action != self.execute)
        if not is_lost:
            self.schedule(self.rng.uniform(0.0, host.delay_s), action, *args)

    @unittest.mock.patch("buckthorndeal.placement._demand.SHRINK_AFTER_S", 1.0)
    def run(self, until_s):
        self.schedule(0.0, self.inject_faults)
        self.schedule(0.0, self.shift_demand, "a", "b")
        for host in self.hosts:
            self.schedule(0.0, self.step_host, host)
        while self.events and self.now_s < until_s:
            self.now_s, _, action, args = heapq.heappop(self.events)
            action(*args)

    def inject_faults(self):
        host = self.rng.choice(self.hosts)
        host.isolated = self.rng.random() < 0.3
        host.leaderless = self.rng.random() < 0.3
        host.delay_s = self.rng.choice((0.2, 0.2, 4.0))
        if self.rng.random() < 0.2:
            self.granter.start_leading(self.now_s)
        self.schedule(self.rng.uniform(1.0, 25.0), self.inject_faults)

    def shift_demand(self, high, low):
        """Move the demand from one model to the other."""
        self.demand = {("r", high): 6.2, ("r", low): 0.0}
        self.schedule(self.rng.uniform(10.0, 60.0), self.shift_demand, low, high)

    def step_host(self, host):
        self.reports = [*self.reports[1:], dict(self.endpoints)]
        clock_s = host.read_clock(self.now_s)
        if host.holder.is_request_due(clock_s):
            host.holder.record_request(clock_s)
            self.send(host, self.request_lease, host, clock_s)
        if host.holder.is_held(clock_s):
            views = self.rng.choice(self.reports).values()
            decisions = host.planner.plan(views, self.demand, NO_MIN_COPIES, clock_s)
            for decision in decisions:
                self.send(
                    host, self.execute, host, decision.endpoint.name, decision.order
                )
        self.schedule(self.rng.uniform(0.1, 0.5), self.step_host, host)

    def request_lease(self, host, sent_at_s):
        lease = self.machine.get_lease("p")
        command = self.granter.handle_request(lease, host.name, self.now_s)
        if isinstance(command, LeaseDenied):
            return
        index = self.machine.applied_index + 1
        answer = self.machine.apply(index, sm.encode_command(command))
        self.granter.record_applied("p", self.now_s)
        self.send(host, self.receive_answer, host, answer, sent_at_s)

    def receive_answer(self, host, answer, sent_at_s):
        if host.holder.handle_answer(answer, sent_at_s):
            clock_s = host.read_clock(self.now_s)
            host.planner.start(host.holder.fencing, clock_s)

    def execute(self, host, name, order):
        endpoint = self.endpoints[name]
        if endpoint.checks_fencing and order.fencing < self.fencing[name]:
            return
        busy_until_s, running = self.busy_until[name]
        if order.fencing < self.fencing[name] or (
            running < order.fencing and busy_until_s > self.now_s
        ):
            if not endpoint.checks_fencing:
                self.violations.append((self.now_s, name, order, "interleaved"))
        self.fencing[name] = order.fencing
        duration_s = self.rng.uniform(0.5, 4.0)
        self.busy_until[name] = (self.now_s + duration_s, order.fencing)
        self.executed.append(order)
        if order.action == "unload":
            self.unload(name, order)
        else:
            self.schedule(duration_s, self.load, name, order)

    def unload(self, name, order):
        holders = [
            holder
            for holder, endpoint in self.endpoints.items()
            if endpoint.has_model(order.model)
        ]
        if holders == [name]:
            self.violations.append((self.now_s, name, order, "last copy"))
        self.endpoints[name] = dataclasses.replace(self.endpoints[name], models=())

    def load(self, name, order):
        endpoint = self.endpoints[name]
        if endpoint.count_free_slots() > 0:
            models = ((order.model, order.version),)
            self.endpoints[name] = dataclasses.replace(endpoint, models=models)


class MovingLeaseTest(unittest.TestCase):
    """Seeded simulations with slow, isolated and returning lease holders."""

    def test_orders_never_interleave_and_last_copies_stay(self):
        """Guards against orders of two holders at once and lost last copies."""
        executed = lease_grants = 0
        for seed in range(15):
            simulation = _Simulation(seed)
            simulation.run(1500.0)
            self.assertEqual(simulation.violations, [], f"seed {seed}")
            executed += len(simulation.executed)
            lease_grants += simulation.machine.get_lease("p").fencing
        self.assertGreater(executed, 100)
        self.assertGreater(lease_grants, 100)


if __name__ == "__main__":
    unittest.main()
