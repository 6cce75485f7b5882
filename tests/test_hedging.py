"""Tests of hedging."""

import unittest

from buckthorndeal.policy.budget import create_budget
from buckthorndeal.policy.hedging import create_hedger
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult, RouteRequest
from buckthorndeal.sections import HedgePolicy, Weights

POLICY = HedgePolicy(enabled=True, after_s=0.5)
TAIL = Weights(cost=0.2, tail_latency=0.8)


def _request(**fields):
    return RouteRequest("r", "w", "s", None, 30.0, "home", **fields)


class HedgingTest(unittest.TestCase):
    def setUp(self):
        self.budget = create_budget()
        self.hedger = create_hedger(self.budget)

    def test_only_idempotent_calls_with_tail_weight_are_hedged(self):
        """Guards against calls that must run only once, and against needless cost."""
        get = self.hedger.get_delay
        self.assertEqual(get(_request(), TAIL, POLICY, 0.0), 0.5)
        self.assertIsNone(get(_request(idempotent=False), TAIL, POLICY, 0.0))
        cost = Weights(cost=0.8, tail_latency=0.2)
        self.assertIsNone(get(_request(), cost, POLICY, 0.0))
        self.assertIsNone(get(_request(), TAIL, HedgePolicy(), 0.0))
        self.assertIsNone(get(_request(), TAIL, POLICY, 29.9))

    def test_delay_follows_a_high_quantile_of_answer_times(self):
        """Guards against hedging most requests of a service that is slow."""
        for number in range(2000):
            first_byte_s = 3.0 if number % 10 == 0 else 1.0
            result = AttemptResult(
                "a", 1, "s", AttemptOutcome.SUCCEEDED, first_byte_s, first_byte_s
            )
            self.hedger.observe(result)
        self.assertGreater(self.hedger.get_delay(_request(), TAIL, POLICY, 0.0), 2.0)

    def test_hedge_takes_from_the_retry_budget(self):
        """Guards against hedges that are added to the allowed retries."""
        self.assertFalse(self.hedger.try_start(_request(), 1.0))
        for _ in range(5):
            self.budget.record_request("w", 0.0)
        self.assertTrue(self.hedger.try_start(_request(), 1.0))
        self.assertFalse(self.hedger.try_start(_request(), 1.0))


if __name__ == "__main__":
    unittest.main()
