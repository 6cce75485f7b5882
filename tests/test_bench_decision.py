"""Tests of the decision benchmark."""

import unittest

from buckthorndeal.bench._decision import (
    MAX_DECISION_S,
    DecisionCost,
    DecisionResult,
    measure_decision_cost,
)


class DecisionBenchTest(unittest.TestCase):
    def test_every_number_of_candidates_is_measured(self):
        """Guards against a benchmark that stops measuring the target size."""
        result = measure_decision_cost(decisions=20)
        self.assertEqual([cost.candidates for cost in result.costs], [20, 120, 600])
        self.assertEqual(result.bound_s, MAX_DECISION_S)
        self.assertTrue(all(cost.cpu_s > 0 for cost in result.costs))

    def test_bound_is_applied(self):
        """Guards against a bound that passes whatever the measured costs."""
        low, high = DecisionCost(20, 0.0001), DecisionCost(600, 0.0009)
        for costs, scarce in (((low, high), low), ((low,), high)):
            result = DecisionResult(costs, scarce, 0.0, MAX_DECISION_S)
            self.assertFalse(result.is_within_bound)
        result = DecisionResult((low,), low, 0.0, MAX_DECISION_S)
        self.assertTrue(result.is_within_bound)


if __name__ == "__main__":
    unittest.main()
