"""Tests of the queue of a service at a gateway, and of corrected predictions."""

import unittest
from dataclasses import replace

from buckthorndeal.gateway._calibration import MAX_FACTOR, Calibration
from buckthorndeal.gateway._messages import Call, Dispatch, Refusal, RefusalReason
from buckthorndeal.gateway._queue import (
    CHANGE_INTERVAL_S,
    MAX_MISSES,
    MAX_OVERTAKES,
    MAX_PASSES,
    PASS_INTERVAL_S,
    PassTimer,
    WaitingQueue,
    WaitingRequest,
    drain,
)
from tests.dispatcher_harness import ROUTE, create_prompt

NOW_S = 100.0


class QueueHarness:
    """Queue whose requests are served or not, as a test says."""

    def __init__(self):
        self.queue = WaitingQueue()
        self.attempt_id = 0

    def add(self, priority=0, due_s=NOW_S + 1, yields=False, tokens=1000):
        self.attempt_id += 1
        route = replace(ROUTE, priority=priority)
        prompt = create_prompt(1, self.attempt_id, tokens)
        call = Call("q", route, "llm", NOW_S, NOW_S + 4, prompt)
        dispatch = Dispatch(self.attempt_id, call)
        waiting = WaitingRequest(dispatch, NOW_S, due_s, yields)
        self.queue.add(waiting)
        return waiting

    def serve(self, limit_tokens=1e9, count=1, may_overtake=True):
        """Serve up to `count` requests below a size; return all that were tried."""
        served, tried = [], []

        def decide(waiting, ahead, may_try):
            if may_try:
                tried.append(waiting)
                fits = waiting.required_tokens <= limit_tokens
                if fits and len(served) < count:
                    served.append(waiting)
                    return "grant"
            return None

        drain(self.queue, NOW_S, decide, lambda call: True, lambda call: may_overtake)
        return served, tried


class RankTest(unittest.TestCase):
    """Room goes to those whose callers get most from it."""

    def setUp(self):
        self.harness = QueueHarness()

    def check_order(self, *expected):
        self.assertEqual(self.harness.queue.list_by_rank(NOW_S), list(expected))

    def test_late_requests_come_after_those_in_time(self):
        """Guards against late requests that make others late."""
        late = self.harness.add(priority=0, due_s=NOW_S - 0.1)
        in_time = self.harness.add(priority=2)
        self.check_order(in_time, late)

    def test_order_within_a_priority(self):
        busy = self.harness.add(yields=True, due_s=NOW_S + 0.1)
        later = self.harness.add(due_s=NOW_S + 0.9)
        sooner = self.harness.add(due_s=NOW_S + 0.5)
        urgent = self.harness.add(priority=-1)
        self.check_order(urgent, sooner, later, busy)

    def test_less_urgent_class_gets_a_turn(self):
        """Guards against a kind of request that starves behind a more urgent one."""
        patient = self.harness.add(priority=2)
        for served in range(MAX_PASSES):
            urgent = self.harness.add(priority=0)
            self.assertEqual(self.harness.serve()[0], [urgent], served)
        self.harness.add(priority=0)
        self.assertEqual(self.harness.serve()[0], [patient])

    def test_turn_goes_to_another_request_of_the_class(self):
        """Guards against a class whose callers leave before their turn comes."""
        for _ in range(MAX_PASSES):
            impatient = self.harness.add(priority=2)
            self.harness.add(priority=0)
            self.harness.serve()
            self.harness.queue.remove(impatient.dispatch.attempt_id)
        self.harness.add(priority=0)
        patient = self.harness.add(priority=2)
        self.assertEqual(self.harness.serve()[0], [patient])


class PassTest(unittest.TestCase):
    """A large request neither blocks the others nor is overtaken without end."""

    def setUp(self):
        self.harness = QueueHarness()

    def test_smaller_request_passes(self):
        """Guards against free room that is unused behind a request too large for it."""
        self.harness.add(tokens=50_000)
        small = self.harness.add(tokens=10)
        self.assertEqual(self.harness.serve(20_000)[0], [small])

    def test_strict_order_without_overtaking(self):
        """Guards against another order where nothing asks for predictions."""
        large = self.harness.add(tokens=50_000)
        small = self.harness.add(tokens=10)
        for _ in range(3 * MAX_OVERTAKES):
            served, tried = self.harness.serve(20_000, may_overtake=False)
            self.assertEqual((served, tried), ([], [large]))
        self.assertEqual(large.overtaken, 0)
        served, _ = self.harness.serve(count=2, may_overtake=False)
        self.assertEqual(served, [large, small])

    def test_no_turns_without_overtaking(self):
        """Guards against turns of less urgent requests where order is strict."""
        self.harness.add(priority=2)
        for _ in range(MAX_PASSES + 1):
            urgent = self.harness.add(priority=0)
            served, _ = self.harness.serve(may_overtake=False)
            self.assertEqual(served, [urgent])

    def test_large_request_is_overtaken_a_few_times(self):
        """Guards against a large request that starves behind small ones."""
        self.harness.add(tokens=50_000)
        overtakes = 0
        for _ in range(3 * MAX_OVERTAKES):
            self.harness.add(tokens=10)
            overtakes += len(self.harness.serve(20_000)[0])
        self.assertEqual(overtakes, MAX_OVERTAKES)

    def test_new_requests_overtake_a_few_times_too(self):
        """Guards against a waiting request whose room new ones take for ever."""
        queue = self.harness.queue
        self.harness.add(tokens=50_000)
        self.harness.serve(20_000)
        new = self.harness.add(due_s=NOW_S + 2, tokens=10)
        urgent = self.harness.add(priority=-1, tokens=10)
        for each in (new, urgent):
            queue.remove(each.dispatch.attempt_id)
        for _ in range(MAX_OVERTAKES):
            self.assertFalse(queue.is_reserved(new, NOW_S))
            queue.record_overtake(new, NOW_S)
        self.assertTrue(queue.is_reserved(new, NOW_S))
        self.assertFalse(queue.is_reserved(urgent, NOW_S))

    def test_equal_requests_are_not_tried_in_vain(self):
        """Guards against comparing all endpoints for each of many requests."""
        for _ in range(50):
            self.harness.add(tokens=1_000)
        _, tried = self.harness.serve(0)
        self.assertEqual(len(tried), 1)
        for number in range(20):
            self.harness.add(due_s=NOW_S + 2 + number, tokens=900 - 10 * number)
        _, tried = self.harness.serve(0)
        self.assertEqual(len(tried), MAX_MISSES)

    def test_refused_requests_count_as_neither_served_nor_ahead(self):
        refusal = Refusal(RefusalReason.OVERLOADED, 1.0)
        self.harness.add(priority=0)
        self.harness.add(priority=1)
        seen = []

        def decide(waiting, ahead, may_try):
            seen.append(ahead)
            return refusal

        decided = drain(
            self.harness.queue, NOW_S, decide, lambda call: True, lambda call: True
        )
        self.assertEqual(len(decided), 2)
        self.assertEqual(seen, [0, 0])
        self.assertFalse(self.harness.queue)


class PassTimerTest(unittest.TestCase):
    """Passes are rare enough for a slow processor, and soon after a change."""

    def test_passes(self):
        timer = PassTimer()
        self.assertTrue(timer.is_due(NOW_S))
        self.assertFalse(timer.is_due(NOW_S + 1.1 * CHANGE_INTERVAL_S))
        timer.record_change()
        self.assertTrue(timer.is_due(NOW_S + 1.1 * CHANGE_INTERVAL_S))
        self.assertTrue(
            timer.is_due(NOW_S + 1.1 * (CHANGE_INTERVAL_S + PASS_INTERVAL_S))
        )


class CalibrationTest(unittest.TestCase):
    """Predictions are corrected by what was observed."""

    def test_overdue_responses_count(self):
        """Guards against a backlog of other hosts that is seen once it has ended."""
        calibration = Calibration()
        for number in range(5):
            calibration.record_grant(number, f"e{number % 10}", 0.1, NOW_S)
        self.assertEqual(calibration.get_factor(NOW_S + 0.05), 1.0)
        self.assertGreater(calibration.get_factor(NOW_S + 0.5), 3.0)

    def test_correction_ends_and_is_bounded(self):
        """Guards against a host that refuses everything after one bad moment."""
        calibration = Calibration()
        for number in range(20):
            calibration.record_grant(number, f"e{number % 10}", 0.05, NOW_S)
            calibration.remove(number, NOW_S + 5.0)
        self.assertLessEqual(calibration.get_factor(NOW_S + 5.0), MAX_FACTOR)
        for number in range(40):
            calibration.record_grant(number, f"e{number % 10}", 0.1, NOW_S + 8.0)
            calibration.record_response_start(number, NOW_S + 8.1)
        self.assertLess(calibration.get_factor(NOW_S + 8.2), 2.0)

    def test_stopped_endpoint_says_little_of_the_others(self):
        """Guards against refusals at sound endpoints because one hangs."""
        calibration = Calibration()
        for number in range(100):
            calibration.record_grant(number, f"e{number % 10}", 0.1, NOW_S)
        for number in range(100):
            if number % 10:
                calibration.record_response_start(number, NOW_S + 0.1)
        self.assertLess(calibration.get_factor(NOW_S + 1.0), 1.5)

    def test_prompt_responses_do_not_lower_predictions(self):
        calibration = Calibration()
        calibration.record_grant(1, "e1", 0.5, NOW_S)
        calibration.record_response_start(1, NOW_S + 0.1)
        self.assertEqual(calibration.get_factor(NOW_S + 1.0), 1.0)

    def test_withdrawn_attempt_says_nothing(self):
        """Guards against callers that leave at once and lower what others get."""
        calibration = Calibration()
        for number in range(50):
            calibration.record_grant(number, f"e{number % 10}", 0.1, NOW_S)
            calibration.remove(number, NOW_S + 0.05)
        self.assertEqual(calibration.get_factor(NOW_S + 1.0), 1.0)


if __name__ == "__main__":
    unittest.main()
