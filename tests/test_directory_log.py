"""Tests of the log of answers that lead callers to another region."""

import unittest

from buckthorndeal.coordinator._directory_log import MAX_REMEMBERED, DirectoryLog
from buckthorndeal.coordinator._fleet_messages import ChooseEntryHosts
from buckthorndeal.fleet import EntryHost, EntryState

LONG_NAME = "x" * 15_000
ENTRY = EntryHost("h1", "a", "a-1", "10.1.0.9:9000", EntryState.READY)


class DirectoryLogTest(unittest.TestCase):
    """What is remembered of callers of other regions is bounded."""

    def setUp(self):
        self.now_s = 0.0
        self.log = DirectoryLog(lambda: self.now_s)

    def record(self, name):
        self.log.record(ChooseEntryHosts(name, "r", ""), [ENTRY], 1)

    def test_names_of_callers_are_forgotten(self):
        """Guards against a table that grows with each name that a caller invents."""
        for number in range(3 * MAX_REMEMBERED):
            self.now_s += 1.0
            with self.assertLogs("absl") as logs:
                self.record(f"{number}-{LONG_NAME}")
        self.assertLess(len(logs.output[0]), 2_000)
        self.assertLessEqual(len(self.log), MAX_REMEMBERED)

    def test_lines_are_bounded(self):
        """Guards against invented names that take the lines of other events."""
        with self.assertLogs("absl") as logs:
            for number in range(1_000):
                self.record(f"n{number}")
        self.assertLess(len(logs.output), 50)
        self.assertEqual(self.log.left_out_count, 1_000 - len(logs.output))

    def test_same_choice_is_logged_once(self):
        """Guards against a line for each question of a sound caller."""
        with self.assertLogs("absl") as logs:
            for _ in range(10):
                self.now_s += 1.0
                self.record("x.example")
        self.assertEqual(len(logs.output), 1)


if __name__ == "__main__":
    unittest.main()
