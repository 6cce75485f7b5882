"""Crowds of callers whose chunked bodies never end, beside real processes."""

import unittest

from tests.crowd_play import (
    MAX_CROWD_DESCRIPTORS,
    MEMORY_BYTES,
    SCENARIOS,
    CrowdPlay,
    describe,
)
from tests.stop_play import StopOptions


class CrowdPlayTest(unittest.TestCase):
    """Callers that do not end their bodies take no process from the others."""

    def check(self, scenario):
        play = CrowdPlay(scenario, StopOptions(), crowd=SCENARIOS[scenario])
        play.play()
        text = describe(play)
        self.assertEqual(play.ended, [], text)
        self.assertEqual(len(play.peaks), 3, text)
        self.assertLessEqual(max(play.peaks.values()), MEMORY_BYTES, text)
        self.assertIn(200, play.attempts, text)
        self.assertLessEqual(play.crowd_descriptors, MAX_CROWD_DESCRIPTORS, text)

    def test_large_chunks_leave_a_gateway_to_others(self):
        """Guards against unfinished bodies that take all connections."""
        self.check("gateway-large")

    def test_chunks_of_one_byte_leave_a_gateway_to_others(self):
        """Guards against chunks that take all connections and the processor."""
        self.check("gateway-small")

    def test_large_chunks_leave_a_coordinator_to_others(self):
        """Guards against unfinished bodies that take all connections."""
        self.check("coordinator-large")

    def test_chunks_of_one_byte_leave_a_coordinator_to_others(self):
        """Guards against chunks that take all connections and the processor."""
        self.check("coordinator-small")

    def test_reports_in_chunks_of_one_byte_leave_a_coordinator_to_others(self):
        """Guards against small limits of bodies that do not bound their chunks."""
        self.check("heartbeat-small")


if __name__ == "__main__":
    unittest.main()
