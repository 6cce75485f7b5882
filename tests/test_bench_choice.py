"""Focused load tests of the policy on an injected clock."""

import unittest

from buckthorndeal._bench_choice import Scenario, bench_choice

DURATION_S = 60.0


def _bench(**fields):
    return bench_choice(Scenario(duration_s=DURATION_S, **fields))


class ChoiceBenchTest(unittest.TestCase):
    def test_attempts_stay_within_bound_while_half_of_the_endpoints_fail(self):
        """Guards against retries that overload the endpoints that are left."""
        result = _bench(load=0.4, failing=3)
        self.assertLessEqual(result.attempts_per_request, 1.2)
        self.assertLess(result.refused_share, 0.05)

    def test_same_seed_gives_the_same_result(self):
        """Guards against tuning by noise."""
        self.assertEqual(_bench(load=0.7, seed=3), _bench(load=0.7, seed=3))


if __name__ == "__main__":
    unittest.main()
