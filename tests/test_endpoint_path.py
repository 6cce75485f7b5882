"""Tests of the check that tells a lost path from a fault of endpoints."""

import random
import unittest

from buckthorndeal.fleet import EndpointRecord, EndpointState
from buckthorndeal.gateway._endpoint_path import (
    CHECK_PAUSE_S,
    LOST_PROBE_INTERVAL_S,
    MAX_PROBES,
    PROBE_LIFETIME_S,
    RETURN_PROBE_INTERVAL_S,
    EndpointPath,
)


def create_record(name, service):
    state = EndpointState.READY
    return EndpointRecord(name, 1, 1, service, "a", "a-1", f"{name}:80", 6, state)


class EndpointPathTest(unittest.TestCase):
    """Endpoints ``d<n>`` of one service and ``m<n>`` of another."""

    def setUp(self):
        self.now_s = 100.0
        desks = [create_record(f"d{number}", "desk") for number in range(3)]
        models = [create_record(f"m{number}", "llm") for number in range(3)]
        self.alive = [*desks, *models]
        self.path = EndpointPath(random.Random(1), lambda now_s: list(self.alive))

    def probe(self, is_accepted):
        """Answer the probes that are due now; return their endpoints."""
        probes = self.path.take_probes(self.now_s)
        for record in probes:
            self.path.record_probe(record.endpoint, is_accepted(record), self.now_s)
        return [record.endpoint for record in probes]

    def lose_path(self):
        self.path.record_failure("d0", self.now_s)
        self.probe(lambda record: False)
        self.assertTrue(self.path.is_lost)

    def test_path_is_lost_if_no_other_endpoint_accepts(self):
        self.lose_path()

    def test_one_failing_endpoint_is_no_lost_path(self):
        self.path.record_failure("d0", self.now_s)
        probed = self.probe(lambda record: record.endpoint != "d0")
        self.assertLessEqual(len(probed), MAX_PROBES)
        self.assertNotIn("d0", probed)
        self.assertFalse(self.path.is_lost)

    def test_loss_of_a_whole_service_is_no_lost_path(self):
        for seed in range(20):
            self.path = EndpointPath(random.Random(seed), lambda now_s: self.alive)
            self.path.record_failure("d0", self.now_s)
            self.probe(lambda record: record.service != "desk")
            self.assertFalse(self.path.is_lost)

    def test_only_endpoint_cannot_show_a_lost_path(self):
        self.alive = self.alive[:1]
        self.path.record_failure("d0", self.now_s)
        self.assertEqual(self.probe(lambda record: False), [])
        self.assertFalse(self.path.is_lost)

    def test_failures_after_a_check_wait_for_the_next_one(self):
        self.path.record_failure("d0", self.now_s)
        self.probe(lambda record: True)
        self.path.record_failure("d0", self.now_s)
        self.assertEqual(self.probe(lambda record: True), [])
        self.now_s += CHECK_PAUSE_S
        self.path.record_failure("d0", self.now_s)
        self.assertTrue(self.probe(lambda record: True))

    def test_lost_path_returns_after_two_accepted_probes_in_a_row(self):
        self.lose_path()
        for accepted in (True, False, True):
            self.now_s += LOST_PROBE_INTERVAL_S
            self.assertEqual(len(self.probe(lambda record, a=accepted: a)), 1)
            self.assertTrue(self.path.is_lost)
        self.now_s += RETURN_PROBE_INTERVAL_S
        self.probe(lambda record: True)
        self.assertFalse(self.path.is_lost)

    def test_probes_without_a_result_count_as_failed(self):
        self.path.record_failure("d0", self.now_s)
        self.assertTrue(self.path.take_probes(self.now_s))
        self.now_s += PROBE_LIFETIME_S
        self.path.take_probes(self.now_s)
        self.assertTrue(self.path.is_lost)


if __name__ == "__main__":
    unittest.main()
