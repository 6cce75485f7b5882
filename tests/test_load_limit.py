"""Tests of the learned limits on the load of endpoints."""

import unittest

from buckthorndeal.gateway._load_limit import (
    RECOVERY_S,
    EndpointLimits,
    LoadLimit,
)

OBJECTIVE_S = 1.0


class LoadLimitTest(unittest.TestCase):
    """Limit between 4 and 50."""

    def setUp(self):
        self.limit = LoadLimit(4.0, 50.0)
        self.now_s = 100.0

    def record_late(self, load, times=1):
        for _ in range(times):
            self.now_s += 0.6
            self.limit.record_late(load, self.now_s)

    def get_value(self):
        return self.limit.get_value(self.now_s)

    def test_limit_falls_below_the_load_that_was_late(self):
        self.record_late(30.0)
        self.assertLess(self.get_value(), 30.0)

    def test_limit_follows_a_change_within_two_seconds(self):
        """Guards against an endpoint that stays overloaded for long."""
        for load in (40.0, 30.0, 20.0):
            self.record_late(load)
        self.assertLess(self.get_value(), 20.0)

    def test_responses_that_are_late_together_count_once(self):
        """Guards against a limit that one burst lowers to its bound."""
        for _ in range(20):
            self.limit.record_late(40.0, self.now_s)
        self.assertGreater(self.get_value(), 35.0)

    def test_limit_keeps_its_bounds(self):
        self.record_late(0.0, 50)
        self.assertEqual(self.get_value(), 4.0)
        for _ in range(100):
            self.now_s += 0.1
            self.limit.record_timely(50.0, self.now_s)
        self.assertEqual(self.get_value(), 50.0)

    def test_little_load_proves_nothing(self):
        """Guards against probing upwards on responses of an idle endpoint."""
        self.record_late(20.0)
        value = self.get_value()
        for _ in range(20):
            self.limit.record_timely(2.0, self.now_s)
        self.assertEqual(self.get_value(), value)

    def test_limit_rises_a_step_at_a_time(self):
        """Guards against a probe that fills an endpoint at once."""
        self.record_late(20.0)
        value = self.get_value()
        self.limit.record_timely(value, self.now_s)
        self.assertLess(self.get_value() - value, 3.0)
        self.assertGreater(self.get_value(), value)

    def test_limit_recovers_without_load(self):
        """Guards against a limit that stays low because nothing tests it."""
        self.record_late(10.0, 5)
        self.now_s += RECOVERY_S
        self.assertEqual(self.get_value(), 50.0)


class EndpointLimitsTest(unittest.TestCase):
    """Limits of an engine of 64 slots."""

    def setUp(self):
        self.limits = EndpointLimits(64, True)
        self.now_s = 100.0

    def record(self, latency_s, inflight=30.0, queued_tokens=0.0, alone_s=0.1):
        self.now_s += 0.6
        self.limits.record(
            inflight, queued_tokens, latency_s, alone_s, OBJECTIVE_S, self.now_s
        )

    def get_values(self):
        return (
            self.limits.requests.get_value(self.now_s),
            self.limits.queued_tokens.get_value(self.now_s),
        )

    def test_late_response_lowers_the_limit_on_requests(self):
        _, tokens = self.get_values()
        self.record(1.5)
        self.assertLess(self.get_values()[0], 30.0)
        self.assertEqual(self.get_values()[1], tokens)

    def test_long_queue_lowers_the_limit_on_tokens(self):
        requests, _ = self.get_values()
        self.record(1.5, inflight=2.0, queued_tokens=60_000.0)
        self.assertLess(self.get_values()[1], 60_000.0)
        self.assertEqual(self.get_values()[0], requests)

    def test_long_prompt_is_no_sign_of_overload(self):
        """Guards against a lower limit after a prompt that is late anywhere."""
        before = self.get_values()
        self.record(1.5, alone_s=1.4)
        self.assertEqual(self.get_values(), before)


if __name__ == "__main__":
    unittest.main()
