"""Tests of the fair shares of workspaces."""

import unittest

from buckthorndeal.policy.fairness import MAX_ACCOUNTS, MEMORY_S, create_fair_shares


class FairSharesTest(unittest.TestCase):
    """A workspace yields once it has been served much more than its share."""

    def setUp(self):
        self.shares = create_fair_shares()
        self.now_s = 100.0

    def serve(self, **tokens):
        for name, count in tokens.items():
            self.shares.record(name, 1.0, count, self.now_s)

    def is_excessive(self, name):
        self.now_s += 0.5
        return self.shares.is_excessive(name, self.now_s)

    def test_busy_workspace_is_found(self):
        """Guards against one workspace that takes the room of all others."""
        self.serve(a=7_500, b=1_000, c=1_000)
        self.assertTrue(self.is_excessive("a"))
        self.assertFalse(self.is_excessive("b"))

    def test_only_workspace_has_nobody_to_yield_to(self):
        """Guards against a limit on what nobody else wants."""
        self.serve(a=1_000_000)
        self.assertFalse(self.is_excessive("a"))

    def test_weights(self):
        """Guards against a large customer that yields at its usual load."""
        self.shares.record("large", 10.0, 10_000, self.now_s)
        for number in range(4):
            self.shares.record(f"small{number}", 1.0, 1_000, self.now_s)
        self.assertFalse(self.is_excessive("large"))
        self.assertAlmostEqual(self.shares.compute_excess("large", self.now_s), 1.0)

    def test_served_work_is_forgotten(self):
        """Guards against a workspace that pays for a burst long after it."""
        self.serve(a=7_500, b=1_000, c=1_000)
        self.assertTrue(self.is_excessive("a"))
        for _ in range(20):
            self.now_s += MEMORY_S / 4
            self.serve(a=1_000, b=1_000, c=1_000)
        self.assertFalse(self.is_excessive("a"))

    def test_unknown_workspace(self):
        self.serve(a=10, b=10)
        self.assertEqual(self.shares.compute_excess("new", self.now_s), 0.0)

    def test_idle_workspaces_are_forgotten_while_all_are_listed(self):
        """Guards against a log line of contended room that ends in an error."""
        self.serve(a=7_500, b=1_000, c=1_000)
        self.now_s += 100 * MEMORY_S
        self.serve(a=1_000)
        self.assertEqual(self.shares.list_excesses(self.now_s, 1), [("a", 0.0)])
        self.assertEqual(len(self.shares), 1)

    def test_accounts_are_bounded(self):
        """Guards against memory that grows with the number of workspaces."""
        self.serve(busy=1_000_000)
        for number in range(3 * MAX_ACCOUNTS):
            self.shares.record(f"w{number}", 1.0, 10, self.now_s)
        self.assertLessEqual(len(self.shares), MAX_ACCOUNTS)
        self.assertTrue(self.is_excessive("busy"))

    def test_idle_workspaces_lower_nobodys_share(self):
        """Guards against shares that are kept for workspaces without requests."""
        for number in range(100):
            self.shares.record(f"w{number}", 1.0, 2, self.now_s)
        self.now_s += 20 * MEMORY_S
        self.serve(a=1_000, b=1_000)
        self.assertFalse(self.is_excessive("a"))


if __name__ == "__main__":
    unittest.main()
