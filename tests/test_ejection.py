"""Tests of outlier ejection."""

import unittest

from buckthorndeal.policy.ejection import BASE_EJECTION_S, create_ejection
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult


class EjectionTest(unittest.TestCase):
    def setUp(self):
        self.ejection = create_ejection()

    def _observe(self, name, outcome, now_s, total_s=0.1, population=6):
        outcome = AttemptOutcome(outcome)
        result = AttemptResult(name, 1, "s", outcome, total_s)
        self.ejection.observe(result, population, now_s)

    def _fail(self, name, now_s, population=6):
        for _ in range(3):
            self._observe(name, "broken", now_s, population=population)

    def _list_excluded(self, now_s):
        return self.ejection.list_excluded("s", now_s)

    def test_failing_endpoint_is_ejected_and_probed_once(self):
        """Guards against a burst of requests to an endpoint that just returned."""
        self._fail("a", 0.0)
        self.assertEqual(self._list_excluded(1.0), {"a"})
        probe_at_s = BASE_EJECTION_S + 0.1
        self.assertEqual(self._list_excluded(probe_at_s), frozenset())
        self.ejection.start_probe("s", "a", probe_at_s)
        self.assertEqual(self._list_excluded(probe_at_s), {"a"})
        self._observe("a", "succeeded", probe_at_s + 0.1)
        self.assertEqual(self._list_excluded(probe_at_s + 0.1), frozenset())

    def test_non_idempotent_call_is_no_probe(self):
        """Guards against losing a call that can't be retried to a failing endpoint."""
        self._fail("a", 0.0)
        excluded = self.ejection.list_excluded("s", 3.0, may_probe=False)
        self.assertEqual(excluded, {"a"})

    def test_failed_probe_lengthens_the_ejection(self):
        """Guards against a dead endpoint that gets a request every few seconds."""
        self._fail("a", 0.0)
        self.ejection.start_probe("s", "a", 2.1)
        self._observe("a", "connect_failed", 2.1)
        self.assertEqual(self._list_excluded(2.1 + BASE_EJECTION_S + 0.1), {"a"})
        self.assertEqual(
            self._list_excluded(2.1 + 2 * BASE_EJECTION_S + 0.1), frozenset()
        )

    def test_lost_probe_does_not_keep_an_endpoint_ejected(self):
        """Guards against an endpoint ejected for ever because a probe got no result."""
        self._fail("a", 0.0)
        self.ejection.start_probe("s", "a", 3.0)
        self.assertEqual(self._list_excluded(20.0), frozenset())

    def test_failures_of_a_lost_path_are_forgiven(self):
        """Guards against endpoints that stay ejected for a fault of this host."""
        self._fail("a", 0.0)
        self._fail("b", 1.0)
        self.ejection.forgive(0.5)
        self.assertEqual(self._list_excluded(1.1), {"a"})
        self._observe("b", "broken", 1.2)
        self.assertEqual(self._list_excluded(1.2), {"a"})

    def test_share_is_capped(self):
        """Guards against a common fault that ejects every endpoint."""
        for name in "abcdef":
            self._fail(name, 0.0)
        self.assertEqual(len(self._list_excluded(1.0)), 3)

    def test_only_endpoint_is_never_ejected(self):
        """Guards against a small region that refuses everything."""
        self._fail("a", 0.0, population=1)
        self.assertEqual(self._list_excluded(1.0), frozenset())

    def test_slow_endpoint_is_ejected(self):
        """Guards against an endpoint that answers, but far slower than the others."""
        for _ in range(20):
            for name in "bcde":
                self._observe(name, "succeeded", 0.0)
            self._observe("a", "succeeded", 0.0, total_s=2.0)
        self.assertEqual(self._list_excluded(0.0), {"a"})

    def test_refusals_are_no_failures(self):
        """Guards against ejecting endpoints that are only busy."""
        for _ in range(10):
            self._observe("a", "refused", 0.0)
        self.assertEqual(self._list_excluded(0.0), frozenset())


if __name__ == "__main__":
    unittest.main()
