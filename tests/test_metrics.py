"""Tests of the metrics."""

import unittest

from buckthorndeal.metrics import create_metrics


class MetricsTest(unittest.TestCase):
    """Metrics as they are rendered for Prometheus."""

    def test_latencies_are_rendered_with_sum_and_count(self):
        """Guards against omitting latencies that are not yet in the histogram."""
        metrics = create_metrics()
        recorder = metrics.get_recorder("wait_seconds", service="llm")
        for _ in range(99):
            recorder.record(0.010)
        metrics.observe("wait_seconds", 2.0, service="llm")
        text = metrics.render()
        self.assertIn('wait_seconds_count{service="llm"} 100', text)
        self.assertIn('wait_seconds_sum{service="llm"} 2.99', text)
        self.assertRegex(text, r'quantile="0.5"} 0\.01\d*\n')
        self.assertRegex(text, r'quantile="0.999"} (1\.9|2)')

    def test_series_beyond_the_limit_are_not_kept(self):
        """Guards against labels from outside that exhaust memory."""
        metrics = create_metrics()
        for number in range(3_000):
            metrics.count("requests_total", service=f"s{number}")
            metrics.observe("wait_seconds", 0.1, service=f"s{number}")
        text = metrics.render()
        self.assertEqual(text.count("requests_total{"), 2_000)
        self.assertEqual(text.count("wait_seconds_count{"), 2_000)


if __name__ == "__main__":
    unittest.main()
