"""Tests of the retry budgets."""

import random
import unittest

from buckthorndeal.policy.budget import create_budget


class BudgetTest(unittest.TestCase):
    def test_attempts_stay_within_bound_at_any_time(self):
        """Guards against a retry storm while half of the endpoints fail."""
        rng = random.Random(1)
        budget = create_budget()
        attempts = 0
        for number in range(1, 5000):
            budget.record_request(f"w{rng.randrange(10)}", 0.0)
            attempts += 1
            while rng.random() < 0.5 and budget.try_spend(f"w{rng.randrange(10)}", 0.0):
                attempts += 1
            self.assertLessEqual(attempts, 1.2 * number + 1e-9)
        self.assertGreater(attempts, 1.15 * 4999)

    def test_workspace_cannot_use_the_others_retries(self):
        """Guards against one failing workspace that uses up the host's budget."""
        budget = create_budget()
        for _ in range(100):
            budget.record_request("quiet", 0.0)
        budget.record_request("failing", 0.0)
        self.assertFalse(budget.try_spend("failing", 0.0))
        self.assertTrue(budget.try_spend("quiet", 0.0))

    def test_saved_retries_are_capped(self):
        """Guards against a burst of retries after a long quiet time."""
        budget = create_budget()
        for _ in range(10_000):
            budget.record_request("w", 0.0)
        taken = sum(budget.try_spend("w", 0.0) for _ in range(2000))
        self.assertEqual(taken, 20)


if __name__ == "__main__":
    unittest.main()
