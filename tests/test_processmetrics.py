"""Tests of the metrics of the process itself."""

import unittest

import curio

from buckthorndeal.metrics import create_metrics
from buckthorndeal.processmetrics import watch_process


class WatchTest(unittest.TestCase):
    """The metrics show a blocked event loop, memory in use and dropped log lines."""

    def test_blocked_loop_is_visible(self):
        now_s = [0.0]

        def read_clock():
            now_s[0] += 5.0
            return now_s[0]

        async def test():
            metrics = create_metrics()
            task = await curio.spawn(watch_process, metrics, read_clock)
            await curio.sleep(1.2)
            await task.cancel()
            return metrics

        metrics = curio.run(test)
        recorder = metrics.get_recorder("loop_lag_seconds")
        self.assertAlmostEqual(recorder.sum_s, 4.0)
        self.assertGreater(metrics.get_value("memory_bytes"), 1_000_000)
        self.assertIn("buckthorndeal_log_lines_left_out", metrics.render())
