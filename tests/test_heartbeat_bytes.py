"""Tests of the bytes of heartbeats that gateways are sent."""

import unittest

from tests.heartbeat_bytes import measure_bytes, patch_decision

ENDPOINTS = 60


class HeartbeatBytesTest(unittest.TestCase):
    """Whole records go out for cold endpoints only."""

    def test_warm_endpoints_are_sent_by_name(self):
        """Guards against whole records for all endpoints, all of the time."""
        present = measure_bytes(ENDPOINTS, 0.0)
        with patch_decision():
            before = measure_bytes(ENDPOINTS, 0.0)
        self.assertEqual(present, before)

    def test_few_cold_endpoints_cost_little(self):
        warm = measure_bytes(ENDPOINTS, 0.0)
        self.assertGreater(measure_bytes(ENDPOINTS, 0.1), warm)
        self.assertLess(measure_bytes(ENDPOINTS, 0.1), 2 * warm)
        self.assertLess(measure_bytes(ENDPOINTS, 1.0), 8 * warm)


if __name__ == "__main__":
    unittest.main()
