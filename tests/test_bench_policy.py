"""Tests of the policy benchmark: metrics, invariant checks and endpoints."""

import logging
import math
import random
import unittest

import curio
import msgspec

from buckthorndeal.bench import load_bounds
from buckthorndeal.bench._engine import BenchEngine, ObservedBackend
from buckthorndeal.bench._policy_audit import (
    Audit,
    CallRecord,
    Hop,
    RouteRecorder,
    count_loops,
)
from buckthorndeal.bench._policy_callers import is_own_answer, is_own_stream
from buckthorndeal.bench._policy_figures import (
    Outcome,
    RunMetrics,
    compute_cost,
    compute_metrics,
    compute_quantile,
    count_attempts,
)
from buckthorndeal.bench._policy_plan import (
    ANSWER_TOKENS,
    BOOKING,
    BOUND_SHARE,
    LOOKUP,
    MODEL,
    TOKEN_S,
    PlannedCall,
    RunSpec,
    create_plan,
)
from buckthorndeal.bench._policy_report import compare_runs
from buckthorndeal.bench._policy_world import compute_reduced_slots
from buckthorndeal.errors import RequestError
from buckthorndeal.logs import EXTRA_FIELD
from buckthorndeal.standin._engine import iter_tokens
from buckthorndeal.streams import END_DATA, Event


def create_call(kind=BOOKING, bound=False):
    return PlannedCall("call-1x", 0.0, kind, "a", "w", bound, path="/stock/call-1x")


def find_violations(call, results, arrivals, refusals=(), hops=()):
    audit = Audit()
    audit.call_records.append(CallRecord(call, list(results)))
    for endpoint, region in arrivals:
        audit.record_arrival(call.marker, endpoint, region)
    for endpoint in refusals:
        audit.record_refusal(call.marker, endpoint)
    found = audit.count_violations(list(hops))
    return {name for name, number in found.items() if number}


class AuditTest(unittest.TestCase):
    """Each check counts its violation, and nothing else."""

    def test_second_execution_of_a_booking_is_counted(self):
        """Guards against double bookings that the benchmark doesn't detect."""
        arrivals = [("e1", "a"), ("e2", "a")]
        self.assertEqual(
            find_violations(create_call(), ["whole"], arrivals), {"booked_twice"}
        )
        self.assertEqual(
            find_violations(create_call(LOOKUP), ["whole"], arrivals), set()
        )
        self.assertEqual(
            find_violations(create_call(), ["whole"], arrivals, ["e1"]), set()
        )

    def test_wrong_answer_is_counted(self):
        """Guards against undetected answers that belong to other callers."""
        results = ["whole", "wrong"]
        found = find_violations(create_call(), results, [("e1", "a")])
        self.assertEqual(found, {"wrong_answer"})

    def test_bound_request_in_another_region_is_counted(self):
        """Guards against undetected data that leaves the region it is bound to."""
        arrivals = [("e1", "a"), ("e9", "b")]
        call = create_call(MODEL, bound=True)
        self.assertEqual(find_violations(call, ["whole"], arrivals), {"bound_abroad"})
        self.assertEqual(
            find_violations(create_call(MODEL), ["whole"], arrivals), set()
        )

    def test_execution_after_not_run_is_counted(self):
        """Guards against refusals with verdict `not_run` of calls that have run."""
        call = create_call(MODEL)
        results = ["not_run"]
        self.assertEqual(
            find_violations(call, results, [("e1", "a")]), {"not_run_executed"}
        )
        self.assertEqual(find_violations(call, results, [("e1", "a")], ["e1"]), set())
        self.assertEqual(find_violations(call, results, []), set())
        self.assertEqual(
            find_violations(call, ["whole", "not_run"], [("e1", "a")]), set()
        )

    def test_second_visit_of_a_host_is_counted(self):
        """Guards against requests that loop between hosts."""
        hops = [
            Hop("h1", "a", "call", "t1", "h2"),
            Hop("h2", "a", "t1", "t2", "h1"),
            Hop("h1", "a", "t2", "t3", "e1"),
        ]
        self.assertEqual(count_loops(hops), 1)
        self.assertEqual(count_loops(hops[:2]), 0)

    def test_second_change_of_region_is_counted(self):
        """Guards against requests that are forwarded through several regions."""
        hops = [
            Hop("h1", "a", "call", "t1", "h2"),
            Hop("h2", "b", "t1", "t2", "h3"),
            Hop("h3", "c", "t2", "t3", "e1"),
        ]
        self.assertEqual(count_loops(hops), 1)
        self.assertEqual(count_loops(hops[:2]), 0)

    def test_retries_at_one_host_are_one_visit(self):
        """Guards against retries that are counted as loops."""
        hops = [Hop("h1", "a", "call", f"t{number}", "e1") for number in range(3)]
        self.assertEqual(count_loops(hops), 0)

    def test_route_decisions_are_read_from_the_log(self):
        """Guards against a check that never sees a decision."""
        recorder = RouteRecorder({"h1": "a"})
        fields = {"host": "h1", "request_id": "r", "attempt_id": "t", "chosen": "e1"}
        for name in ("route_decision", "request_end"):
            record = logging.LogRecord("x", logging.INFO, "", 0, name, (), None)
            setattr(record, EXTRA_FIELD, fields)
            recorder.emit(record)
        self.assertEqual(recorder.hops, [Hop("h1", "a", "r", "t", "e1")])


class AnswerTest(unittest.TestCase):
    """Recognition of a complete answer to the caller's own request."""

    def create_events(self, prompt="p"):
        tokens = list(iter_answer_tokens(prompt))
        data = [
            msgspec.json.encode({"choices": [{"delta": {"content": token}}]}).decode()
            for token in tokens
        ]
        return [
            Event(f"r:{index}", text) for index, text in enumerate([*data, END_DATA])
        ]

    def test_stream_must_be_own_and_whole(self):
        """Guards against missing or reordered tokens, and tokens of other requests."""
        events = self.create_events()
        swapped = [events[1], events[0], *events[2:]]
        self.assertTrue(is_own_stream(events, "p", "r"))
        for wrong in (events[:-1], events[1:], swapped, self.create_events("q"), []):
            self.assertFalse(is_own_stream(wrong, "p", "r"))
        self.assertFalse(is_own_stream(events, "p", "other"))

    def test_plain_answer_must_be_own(self):
        """Guards against swapped lookups and bookings."""
        own = msgspec.json.encode({"booked": {"for": "call-1x"}})
        other = msgspec.json.encode({"booked": {"for": "call-2x"}})
        self.assertTrue(is_own_answer(create_call(), 201, own))
        self.assertFalse(is_own_answer(create_call(), 201, other))
        lookup = msgspec.json.encode({"item": "call-2x", "in_stock": 1})
        self.assertFalse(is_own_answer(create_call(LOOKUP), 200, lookup))


def iter_answer_tokens(prompt):
    return (
        token
        for token, _ in zip(iter_tokens(prompt), range(ANSWER_TOKENS), strict=False)
    )


class FiguresTest(unittest.TestCase):
    """Metrics of a run."""

    def test_quantile_is_the_nearest_rank(self):
        """Guards against quantiles that are off by one rank."""
        values = list(range(100, 0, -1))
        self.assertEqual(compute_quantile(values, 0.5), 50)
        self.assertEqual(compute_quantile(values, 0.99), 99)
        self.assertEqual(compute_quantile([7.0], 0.99), 7.0)
        self.assertTrue(math.isnan(compute_quantile([], 0.5)))

    def test_cost_includes_traffic_at_its_price(self):
        """Guards against traffic between regions that is not part of the cost."""
        self.assertAlmostEqual(compute_cost(10.0, 1000.0, 2), (10.0 + 144.0) / 2)

    def test_attempts_leave_out_forwarding(self):
        """Guards against forwarded requests that are counted as retries."""
        hops = [
            Hop("h1", "a", "call", "t1", "h2"),
            Hop("h2", "b", "t1", "t2", "e1"),
            Hop("h2", "b", "t1", "t3", "e2"),
            Hop("h1", "a", "call-2", "t4", None),
        ]
        self.assertEqual(count_attempts(hops, ("h1", "h2")), (2, 1))

    def test_refused_calls_are_no_goodput(self):
        """Guards against fast refusals that are counted as fast answers."""
        outcomes = [
            Outcome(MODEL, 0.0, "a", "ok", 0.2, 0.5, abroad=True),
            Outcome(MODEL, 0.0, "a", "overloaded", None, 0.01),
            Outcome(BOOKING, 0.0, "a", "ok", None, 0.1),
        ]
        metrics = compute_metrics(outcomes, [], (), {}, (3.0, 0.0), 10.0, [0.0])
        self.assertEqual(metrics.goodput_per_s, 0.1)
        self.assertEqual(metrics.first_s, (0.2, 0.2, 0.2))
        self.assertEqual(metrics.refusals, {"model:overloaded": 1})
        self.assertEqual(metrics.abroad_share, 0.5)
        self.assertEqual(metrics.cost_s, 3.0)

    def test_ratio_is_to_the_best_baseline(self):
        """Guards against a comparison with a weak baseline only."""
        runs = {
            "ours": create_metrics(0.6, 1.0, 0.1),
            "random": create_metrics(1.2, 0.5, 0.0),
            "least_load": create_metrics(0.5, 2.0, 0.3),
        }
        found = compare_runs("p", runs, ["random", "least_load"])
        values = {item.name: item.value for item in found}
        self.assertAlmostEqual(values["p.first_p99_ratio"], 0.6 / 0.5)
        self.assertAlmostEqual(values["p.cost_ratio"], 1.0 / 0.5)
        self.assertAlmostEqual(values["p.abroad_excess"], 0.1 - 0.3)


def create_metrics(first_s, cost_s, abroad_share):
    return RunMetrics(
        calls=1,
        first_s=(first_s,) * 3,
        answer_s=(first_s,) * 3,
        plain_s=(0.0,) * 3,
        cost_s=cost_s,
        engine_s=0.0,
        crossed_mb=0.0,
        goodput_per_s=1.0,
        answered_share=1.0,
        abroad_share=abroad_share,
        refusals={},
        attempts_per_request=1.0,
        violations={},
        lag_p99_s=0.0,
    )


class PlanTest(unittest.TestCase):
    """Workload from a seed."""

    def test_strategies_get_the_same_calls(self):
        """Guards against comparisons of different workloads."""
        specs = [
            RunSpec(deployment="brazos", strategy=name, scenario="normal")
            for name in ("ours", "random")
        ]
        self.assertEqual(*map(create_plan, specs))

    def test_share_of_bound_calls(self):
        """Guards against a workload without calls that are bound to their region."""
        spec = RunSpec(
            deployment="kelawar", strategy="ours", scenario="normal", duration_s=100.0
        )
        plan = create_plan(spec)
        share = sum(call.bound for call in plan) / len(plan)
        self.assertAlmostEqual(share, BOUND_SHARE, delta=0.03)
        self.assertEqual({call.kind for call in plan}, {MODEL, LOOKUP, BOOKING})
        self.assertEqual(len({call.marker for call in plan}), len(plan))

    def test_region_at_a_tenth_keeps_a_tenth(self):
        """Guards against a fault that leaves a region more than a tenth."""

        class Region:
            engines = 3

        slots = [compute_reduced_slots(Region, 4, number) for number in range(3)]
        self.assertEqual(slots, [2, 0, 0])


class EndpointTest(unittest.TestCase):
    """Endpoints of the benchmark."""

    def test_tokens_take_longer_in_a_full_batch(self):
        """Guards against engines whose speed doesn't depend on their load."""
        engine = BenchEngine("m", 4, 10)
        engine.running = 1
        self.assertEqual(engine.get_token_s(), TOKEN_S)
        engine.running = 4
        self.assertGreater(engine.get_token_s(), TOKEN_S)

    def test_reported_load_lags(self):
        """Guards against load reports more current than those of real engines."""
        now_s = [0.0]
        engine = BenchEngine("m", 1, 10)
        backend = ObservedBackend(
            engine, "e", "a", Audit(), 0.5, random.Random(1), lambda: now_s[0]
        )
        backend._record_load(1)
        backend._record_load(1)
        self.assertEqual((backend.running, backend.queued), (0, 0))
        now_s[0] = 0.6
        self.assertEqual((backend.running, backend.queued), (1, 1))

    def test_refused_request_is_not_an_execution(self):
        """Guards against correct refusals that are counted as violations."""

        class Work:
            async def handle(self, request, responder):
                raise RequestError("queue_full", 429, "full")

            slots = 1

        class Request:
            path, target, body = "/x", "/x", b"call-1x"
            headers = {"buckthorndeal-request-id": "r"}

        class Responder:
            async def respond_json(self, status, body, headers):
                answers.append((status, headers))

        answers = []
        audit = Audit()
        backend = ObservedBackend(Work(), "e", "a", audit, 0.0, random.Random(1))
        curio.run(backend.handle, Request, Responder())
        self.assertEqual(answers, [(429, [("buckthorndeal-request-id", "r")])])
        self.assertEqual(audit.list_regions("call-1x"), ["a"])
        self.assertEqual(audit.count_executions("call-1x"), 0)


class PolicyBoundsTest(unittest.TestCase):
    """Bounds of the benchmark."""

    def test_every_violation_is_bounded(self):
        """Guards against an invariant that is counted but not checked."""
        bounds = {bound.name: bound for bound in load_bounds()}
        for name in Audit().count_violations([]):
            self.assertEqual(bounds[f"policy.violations.{name}"].at_most, 0)


if __name__ == "__main__":
    unittest.main()
