"""Tests of the prefix-cache map."""

import unittest

from buckthorndeal.policy.affinity import CacheEvent, create_affinity

PREFIXES = tuple(range(100, 110))


def _event(sequence, created_s, stored=(), incarnation=1, **more):
    return CacheEvent("a", incarnation, sequence, created_s, stored, **more)


class AffinityTest(unittest.TestCase):
    def setUp(self):
        self.map = create_affinity(block_tokens=10)

    def _estimate(self, now_s):
        return self.map.estimate_cached_tokens(PREFIXES, now_s).get("a", 0.0)

    def test_longest_stored_prefix_is_counted(self):
        """Guards against counting the whole prompt when part of it is cached."""
        self.map.apply(_event(1, 0.0, PREFIXES[:4]), 0.0)
        self.assertAlmostEqual(self._estimate(0.0), 40.0)

    def test_confidence_decays_faster_with_late_events(self):
        """Guards against trusting old entries of an endpoint that reports late."""
        self.map.apply(_event(1, 0.0, PREFIXES), 0.0)
        on_time = self._estimate(60.0)
        late = create_affinity(block_tokens=10)
        late.apply(_event(1, 0.0, PREFIXES), 10.0)
        delayed = late.estimate_cached_tokens(PREFIXES, 60.0)["a"]
        self.assertLess(on_time, 100.0)
        self.assertLess(delayed, on_time)

    def test_gap_lowers_confidence_until_it_is_filled(self):
        """Guards against trusting prefixes whose removal may have been missed."""
        self.map.apply(_event(1, 0.0, PREFIXES), 0.0)
        before = self._estimate(1.0)
        self.map.apply(_event(3, 1.0), 1.0)
        self.assertLess(self._estimate(1.0), 0.5 * before)
        self.map.apply(_event(2, 0.5, removed=PREFIXES[5:]), 1.0)
        self.assertAlmostEqual(self._estimate(1.0), before / 2, delta=3.0)

    def test_gap_too_long_to_track_stays_open(self):
        """Guards against unbounded memory, and full confidence, after a long gap."""
        self.map.apply(_event(1, 0.0, PREFIXES), 0.0)
        self.map.apply(_event(10_000_000, 1.0), 1.0)
        self.map.apply(_event(9_999_999, 0.9), 1.0)
        self.assertLess(self._estimate(1.0), 50.0)

    def test_late_removal_does_not_undo_a_newer_request(self):
        """Guards against a late event that removes what was stored after it."""
        self.map.record_request("a", 1, PREFIXES, 5.0)
        self.map.apply(_event(1, 4.0, removed=PREFIXES), 6.0)
        self.assertGreater(self._estimate(6.0), 80.0)

    def test_new_incarnation_forgets_the_old_cache(self):
        """Guards against expecting an old process's cache at its successor."""
        self.map.apply(_event(1, 0.0, PREFIXES), 0.0)
        self.map.apply(_event(1, 1.0, incarnation=2), 1.0)
        self.assertEqual(self._estimate(1.0), 0.0)
        self.map.apply(_event(2, 1.0, PREFIXES, incarnation=1), 1.0)
        self.assertEqual(self._estimate(1.0), 0.0)

    def test_forgotten_endpoint_returns_with_an_empty_cache(self):
        """Guards against old entries that count again for an endpoint of that name."""
        self.map.record_request("a", 1, PREFIXES, 0.0)
        self.map.forget("a")
        self.map.record_request("a", 1, PREFIXES[:1], 1.0)
        self.assertLessEqual(self._estimate(1.0), 10.0)

    def test_memory_is_bounded(self):
        """Guards against a map that grows with every prompt."""
        bounded = create_affinity(max_entries=100)
        for number in range(1000):
            bounded.record_request(f"e{number % 50}", 1, (number % 7, number), 0.0)
        self.assertLessEqual(bounded.entries, 100)


if __name__ == "__main__":
    unittest.main()
