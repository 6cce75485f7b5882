"""Tests of the bounds of benchmarks."""

import unittest

from buckthorndeal.bench import Bound, Measurement, check_bounds, load_bounds


class BoundsTest(unittest.TestCase):
    """Comparison of measurements with bounds."""

    def test_figure_outside_its_bound_is_a_violation(self):
        """Guards against a regression that passes the benchmark."""
        bounds = [Bound(name="relay.x", source="target", at_most=1.0)]
        inside = [Measurement("relay.x", 1.0, "s")]
        outside = [Measurement("relay.x", 1.1, "s")]
        self.assertEqual(check_bounds(inside, bounds, "relay."), [])
        self.assertEqual(len(check_bounds(outside, bounds, "relay.")), 1)

    def test_bound_without_a_measurement_is_a_violation(self):
        """Guards against a measurement that silently disappears."""
        bounds = [Bound(name="relay.x", source="target", at_most=1.0)]
        self.assertEqual(len(check_bounds([], bounds, "relay.")), 1)
        self.assertEqual(check_bounds([], bounds, "control."), [])

    def test_each_shipped_bound_limits_something(self):
        """Guards against a bound that every value satisfies."""
        for bound in load_bounds():
            with self.subTest(bound=bound.name):
                self.assertIsNot(bound.at_least is None, bound.at_most is None)


if __name__ == "__main__":
    unittest.main()
