"""Tests of the estimated rates and service times."""

import unittest

from buckthorndeal.policy.estimates import create_estimates
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult


def _result(total_s=1.5, first_token_s=0.5, incarnation=1, outcome="succeeded"):
    return AttemptResult(
        endpoint="a",
        incarnation=incarnation,
        service="s",
        outcome=AttemptOutcome(outcome),
        total_s=total_s,
        first_token_s=first_token_s,
        prompt_tokens=1000,
        output_tokens=101,
        cached_tokens=0,
    )


class EstimatesTest(unittest.TestCase):
    def setUp(self):
        self.estimates = create_estimates()

    def _observe(self, count, **fields):
        for _ in range(count):
            self.estimates.observe(_result(**fields))

    def test_estimates_converge_to_observed_rates(self):
        """Guards against estimates that keep their initial values."""
        self._observe(100)
        estimate = self.estimates.get_estimate("a", "s")
        self.assertAlmostEqual(estimate.prefill_tokens_per_s, 2000, delta=200)
        self.assertAlmostEqual(estimate.decode_tokens_per_s, 100, delta=10)
        self.assertAlmostEqual(estimate.service_s, 1.5, delta=0.15)

    def test_outliers_move_estimates_little(self):
        """Guards against one stuck request that makes an endpoint look slow."""
        self._observe(100)
        self._observe(1, total_s=500.0, first_token_s=400.0)
        estimate = self.estimates.get_estimate("a", "s")
        self.assertAlmostEqual(estimate.service_s, 1.5, delta=0.2)
        self.assertGreater(estimate.prefill_tokens_per_s, 1700)

    def test_failures_do_not_change_estimates(self):
        """Guards against an endpoint that looks fast because it fails fast."""
        self._observe(20)
        before = self.estimates.get_estimate("a", "s")
        self._observe(50, total_s=0.001, outcome="broken")
        self.assertEqual(self.estimates.get_estimate("a", "s"), before)

    def test_unknown_endpoint_has_the_estimate_of_its_service(self):
        """Guards against a new endpoint that is scored with unrelated defaults."""
        self._observe(50)
        self.assertEqual(
            self.estimates.get_estimate("new", "s"),
            self.estimates.get_service_estimate("s"),
        )

    def test_old_incarnation_is_ignored(self):
        """Guards against late results of a process that was replaced."""
        self._observe(20, incarnation=2)
        before = self.estimates.get_estimate("a", "s")
        self._observe(20, total_s=9.0, incarnation=1)
        self.assertEqual(self.estimates.get_estimate("a", "s"), before)


if __name__ == "__main__":
    unittest.main()
