"""Tests of what a draining host accepts."""

import random
import unittest
from dataclasses import replace

from buckthorndeal.configuration import RequestKind, Route
from buckthorndeal.gateway._drain import RETRY_S, WINDOW_S, Drain, LongestDurations

STOP_S = 100.0
ROUTE = Route("r", "x.example", "/r/", RequestKind.NON_IDEMPOTENT, 8.0, 1.0, 0, ())
STREAM = replace(ROUTE, kind=RequestKind.STREAM)


class DrainTest(unittest.TestCase):
    """A draining host accepts what can be expected to end before it stops."""

    def setUp(self):
        self.drain = Drain(STOP_S, random.Random(1))

    def accepts(self, left_s, timeout_s, longest_s, route=ROUTE, forwarded=False):
        now_s = STOP_S - left_s
        return self.drain.accepts(route, forwarded, now_s + timeout_s, longest_s, now_s)

    def test_request_with_its_deadline_before_the_stop_is_accepted(self):
        self.assertTrue(self.accepts(5.0, 4.9, None))

    def test_request_of_unknown_duration_must_end_by_its_deadline(self):
        self.assertFalse(self.accepts(5.0, 5.1, None))

    def test_longest_duration_decides(self):
        self.assertTrue(self.accepts(2.0, 8.0, 1.2))
        self.assertFalse(self.accepts(2.0, 8.0, 1.3))

    def test_streams_and_forwarded_requests_are_refused_when_told_so(self):
        self.assertTrue(self.accepts(5.0, 8.0, None, STREAM))
        self.drain.refuses_streams = True
        self.assertFalse(self.accepts(5.0, 8.0, None, STREAM))
        self.assertFalse(self.accepts(5.0, 1.0, 0.1, forwarded=True))
        self.assertTrue(self.accepts(5.0, 1.0, 0.1))

    def test_caller_without_another_host_returns_after_the_restart(self):
        self.assertEqual(self.drain.compute_retry_s(STOP_S - 3.0), RETRY_S)
        self.drain.has_other_host = False
        self.assertGreater(self.drain.compute_retry_s(STOP_S - 3.0), 3.0)


class LongestDurationsTest(unittest.TestCase):
    """Durations are known for a limited time."""

    def test_longest_counts_until_it_is_too_old(self):
        durations = LongestDurations()
        durations.record("r", 2.0, 100.0)
        durations.record("r", 1.0, 101.0)
        self.assertEqual(durations.get_seconds("r", 100.0 + 0.9 * WINDOW_S), 2.0)
        durations.record("r", 1.0, 100.0 + 1.1 * WINDOW_S)
        self.assertEqual(durations.get_seconds("r", 100.0 + 1.2 * WINDOW_S), 2.0)
        self.assertEqual(durations.get_seconds("r", 100.0 + 2.2 * WINDOW_S), 1.0)
        self.assertIsNone(durations.get_seconds("r", 100.0 + 9 * WINDOW_S))
        self.assertIsNone(durations.get_seconds("other", 100.0))
