"""Load tests of the routing policy by simulation on an injected clock."""

import functools
import unittest

from buckthorndeal.bench._choice import DEADLINE_S, Scenario, measure_choice

DURATION_S = 60.0


@functools.cache
def _measure(**fields):
    return measure_choice(Scenario(duration_s=DURATION_S, **fields))


class ChoiceBenchTest(unittest.TestCase):
    def test_attempts_stay_within_bound_while_half_of_the_endpoints_fail(self):
        """Guards against retries that overload the remaining endpoints."""
        result = _measure(load=0.4, failing=3)
        self.assertLessEqual(result.attempts_per_request, 1.2)
        self.assertLess(result.refused_share, 0.05)

    def test_goodput_holds_at_three_times_capacity(self):
        """Guards against an overload in which most answers miss their deadline."""
        at_capacity = _measure(load=1.0)
        overloaded = _measure(load=3.0)
        self.assertGreaterEqual(
            overloaded.goodput_per_s, 0.95 * at_capacity.goodput_per_s
        )

    def test_refusals_come_early_under_overload(self):
        """Guards against requests that are refused only shortly before the deadline."""
        self.assertLess(_measure(load=3.0).slowest_refusal_s, 0.3 * DEADLINE_S)

    def test_stale_reports_and_several_hosts(self):
        """Guards against hosts that choose the same endpoint, the least loaded."""
        ours = _measure(load=1.0)
        for strategy in ("round_robin", "random", "least_load"):
            other = _measure(load=1.0, strategy=strategy)
            self.assertLess(ours.p99_s, other.p99_s, strategy)
            self.assertLess(ours.cost_s, other.cost_s, strategy)

    def test_callers_at_one_host_use_the_others_share(self):
        """Guards against refusals when callers are unevenly spread over hosts."""
        self.assertLess(_measure(load=0.7, skew=0.6).refused_share, 0.02)

    def test_same_seed_gives_the_same_result(self):
        """Guards against tuning by results that vary from run to run."""
        scenario = Scenario(load=0.7, duration_s=10.0, seed=3)
        self.assertEqual(measure_choice(scenario), measure_choice(scenario))


if __name__ == "__main__":
    unittest.main()
