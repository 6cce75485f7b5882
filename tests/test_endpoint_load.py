"""Tests of the load of an endpoint with a learned pace, as one host sees it."""

import unittest
from unittest import mock

from buckthorndeal.gateway import _pace_log
from buckthorndeal.gateway._load_limit import EndpointLimits
from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._messages import (
    Call,
    Grant,
    LoadReport,
)
from buckthorndeal.gateway._pace_log import PaceLog
from buckthorndeal.gateway._pace_report import MAX_GAUGES, MAX_LINES
from buckthorndeal.gateway._stream_pace import StreamPace
from buckthorndeal.metrics import create_metrics
from buckthorndeal.policy.views import AttemptOutcome
from tests.dispatcher_harness import ENGINE, ROUTE, DispatcherHarness, create_prompt

SLOTS = 64


class LearnedLoadTest(unittest.TestCase):
    """Host that knows engines by their reports and responses."""

    def setUp(self):
        self.harness = DispatcherHarness(endpoints=3, slots=SLOTS)
        self.loads = self.harness.view.loads
        self.load = self.loads["e0"]

    @property
    def now_s(self):
        return self.harness.now_s

    def report(self, running=0, waiting=0, slowdown=1.0, name="e0", slots=SLOTS):
        report = LoadReport(running, waiting, slots, slowdown)
        self.loads[name].record_report(report, self.now_s)

    def send(self, seconds=0.2, is_failure=False, **report):
        """Send a request and let it be answered; return its endpoint."""
        decision = self.harness.submit(create_prompt(1, self.harness.attempt_id))
        self.assertIsInstance(decision, Grant)
        self.harness.now_s += seconds
        figures = {"running": 1, "waiting": 0, "slots": SLOTS, "slowdown": 1.0}
        self.harness.dispatcher.record_response_start(
            self.harness.attempt_id,
            LoadReport(**{**figures, **report}),
            self.now_s,
            is_failure,
        )
        self.harness.finish(self.harness.attempt_id)
        return decision.record.endpoint

    def create_call(self, prompt=None):
        now_s = self.now_s
        return Call("q", ROUTE, "llm", now_s, now_s + ROUTE.timeout_s, prompt)

    def test_service_without_slowdown_learns_no_pace(self):
        """Guards against other decisions for services that never asked for them."""
        for _ in range(20):
            self.send(slowdown=None)
        self.assertFalse(self.load.pace.is_active)
        for load in self.loads.values():
            self.assertIsNone(load.learning.limits)
        speed = self.load.prefill_speed
        predicted_s = self.load.predict_first_response_s(
            self.create_call(create_prompt(1, 1)), 1000, self.now_s
        )
        self.assertEqual(predicted_s, speed.predict(1000))

    def test_report_fades_into_the_mean(self):
        """Guards against an endpoint that looks idle once its report is old."""
        for name in self.loads:
            self.report(20, name=name)
        for name in self.loads:
            self.report(20, name=name)
        self.harness.now_s += 3.0
        others = self.load.count_other_inflight(self.now_s)
        self.assertGreater(others, 5)

    def test_impossible_report_is_ignored(self):
        """Guards against 10^9 running requests that make all endpoints look full."""
        for name in self.loads:
            self.report(4, name=name)
        self.report(10**9, 10**9, slots=0)
        for load in self.loads.values():
            self.assertLess(load.count_other_inflight(self.now_s), 5)
            self.assertGreater(load.count_free(ENGINE, self.now_s), 30)

    def test_prompt_above_the_memory_is_not_sent(self):
        """Guards against a false token count that spoils the averages of a host."""
        prompt = create_prompt(1, 1, 10**12)
        call = self.create_call(prompt)
        self.assertFalse(self.load.has_capacity(call, ENGINE, self.now_s))

    def test_free_requests(self):
        self.report(10)
        free = self.load.count_free(ENGINE, self.now_s)
        self.assertEqual(free, int(SLOTS * 0.8) - 10)
        self.report(2 * SLOTS)
        self.assertEqual(self.load.count_free(ENGINE, self.now_s), 0)

    def test_free_requests_in_a_slow_phase(self):
        """Guards against filling an endpoint whose machine is slow at the moment."""
        self.load.learning.limits = EndpointLimits(SLOTS, True)
        self.report(10)
        usual = self.load.count_free(ENGINE, self.now_s)
        self.report(10, slowdown=2.5)
        self.assertLess(self.load.count_free(ENGINE, self.now_s), 0.6 * usual)

    def test_free_requests_without_a_learned_pace(self):
        self.load.record_report(LoadReport(10, 0, SLOTS), self.now_s)
        free = self.load.count_free(ENGINE, self.now_s)
        self.assertEqual(free, int(SLOTS * 0.8) - 10)

    def test_slowdown_lengthens_predictions(self):
        call = self.create_call(create_prompt(1, 1))
        self.report()
        usual_s = self.load.predict_first_response_s(call, 1000, self.now_s)
        usual_total_s = self.load.predict_total_s(call, 1000, self.now_s)
        self.report(slowdown=2.5)
        slow_s = self.load.predict_first_response_s(call, 1000, self.now_s)
        self.assertGreater(slow_s, 1.7 * usual_s)
        slow_total_s = self.load.predict_total_s(call, 1000, self.now_s)
        self.assertGreater(slow_total_s, 1.7 * usual_total_s)
        self.assertGreater(usual_total_s, usual_s)

    def test_silence_lengthens_predictions(self):
        """Guards against requests that are sent to an endpoint that owes others."""
        self.report()
        call = self.create_call(create_prompt(1, 1))
        names = set()
        for number in range(12):
            decision = self.harness.submit(create_prompt(number, number))
            names.add(decision.record.endpoint)
        self.assertIn("e0", names)
        before_s = self.load.predict_first_response_s(call, 1000, self.now_s)
        self.harness.now_s += 3.0
        after_s = self.load.predict_first_response_s(call, 1000, self.now_s)
        self.assertGreater(after_s, before_s + 0.5)

    def test_errors_are_no_observations(self):
        """Guards against an endpoint that looks fast as it fails at once."""
        for name in self.loads:
            self.report(name=name)
        speeds = [each.prefill_speed.tokens_per_s for each in self.loads.values()]
        scale = self.load.pace.service.scale
        for _ in range(20):
            self.send(seconds=0.001, is_failure=True)
        after = [each.prefill_speed.tokens_per_s for each in self.loads.values()]
        self.assertEqual(after, speeds)
        self.assertEqual(self.load.pace.service.scale, scale)
        costs = [
            each.compute_failure_cost_s(self.now_s) for each in self.loads.values()
        ]
        self.assertGreater(max(costs), 0.1)

    def test_endpoint_recovers_from_failures(self):
        for name in self.loads:
            self.report(name=name)
        for _ in range(20):
            self.send(seconds=0.001, is_failure=True)
        self.harness.now_s += 11.0
        for load in self.loads.values():
            self.assertEqual(load.compute_failure_cost_s(self.now_s), 0.0)

    def test_departure_of_a_caller_is_no_quick_response(self):
        self.report()
        decision = self.harness.submit(create_prompt(1, 1))
        load = self.loads[decision.record.endpoint]
        self.harness.now_s += 0.001
        self.harness.finish(self.harness.attempt_id, AttemptOutcome.CANCELLED)
        self.assertEqual(load.pace.get_scale(self.now_s), 1.0)

    def test_cold_endpoint_waits_for_the_others(self):
        """Guards against an endpoint that looks free because it is not warm yet."""
        for name in self.loads:
            self.report(10, name=name)
        self.report(0)
        with mock.patch.object(
            EndpointLoad, "is_cold", lambda load, now_s: load.name == "e0"
        ):
            names = {self.send() for _ in range(20)}
        self.assertNotIn("e0", names)

    def test_owner_of_a_prefix_gets_its_requests(self):
        """Guards against a copy of each shared prefix at each endpoint."""
        for name in self.loads:
            self.report(name=name)
        names = set()
        for number in range(10):
            decision = self.harness.submit(create_prompt(7, number))
            names.add(decision.record.endpoint)
            self.harness.finish(self.harness.attempt_id)
        self.assertEqual(len(names), 1)

    def test_hosts_with_the_same_report_spread_their_requests(self):
        """Guards against many hosts that all choose the endpoint that looks free."""
        names = []
        for number in range(60):
            harness = DispatcherHarness(endpoints=8, slots=SLOTS, host=f"h{number}")
            harness.dispatcher._local._rng.seed(number)
            for index, load in enumerate(harness.view.loads.values()):
                report = LoadReport(10 + index % 2, 0, SLOTS, 1.0)
                load.record_report(report, harness.now_s)
            names.append(harness.submit().record.endpoint)
        most = max(names.count(name) for name in set(names))
        self.assertLess(most, 20)


class StreamPaceTest(unittest.TestCase):
    """Events as far as they tell the pace."""

    def test_slow_caller_hides_the_pace(self):
        """Guards against callers that read slowly and make an endpoint look slow."""
        self.assertEqual(StreamPace(100.0, 30, 0.1).count_events(102.0), 30)
        self.assertEqual(StreamPace(100.0, 30, 1.0).count_events(102.0), 0)


class PaceLogTest(unittest.TestCase):
    """What operators see, for many endpoints."""

    def test_volume_is_bounded(self):
        """Guards against a line and series for each of 1,000 endpoints."""
        harness = DispatcherHarness(endpoints=1000, slots=SLOTS)
        for load in harness.view.loads.values():
            load.record_report(LoadReport(0, 0, SLOTS, 1.0), harness.now_s)
        for number in range(400):
            decision = harness.submit(create_prompt(number, number))
            attempt_id = harness.attempt_id
            if isinstance(decision, Grant):
                harness.dispatcher.record_response_start(
                    attempt_id, None, harness.now_s + 3.0
                )
        metrics = create_metrics()
        log = PaceLog(metrics)
        loads = harness.view.loads.values()
        with mock.patch.object(_pace_log, "log_event") as log_event:
            log.write(loads, harness.now_s + 3.0)
        self.assertGreater(log_event.call_count, 0)
        self.assertLessEqual(log_event.call_count, MAX_LINES)
        series = metrics.render().count("endpoint_scale{")
        self.assertGreater(series, 0)
        self.assertLessEqual(series, MAX_GAUGES)

    def test_service_without_a_learned_pace_is_not_shown(self):
        harness = DispatcherHarness(slots=SLOTS)
        metrics = create_metrics()
        with mock.patch.object(_pace_log, "log_event") as log_event:
            PaceLog(metrics).write(harness.view.loads.values(), harness.now_s)
        log_event.assert_not_called()
        self.assertNotIn("endpoint_scale{", metrics.render())


if __name__ == "__main__":
    unittest.main()
