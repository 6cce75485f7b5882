"""Tests of the test runner: what it prints of a run."""

import os
import tempfile
import unittest

from tests.machine_pressure import (
    Pressure,
    format_pressure,
    parse_pressure,
    read_pressure,
)
from tests.parallel import ModuleResult, format_summary

PRESSURE_TEXT = (
    "some avg10=2.26 avg60=0.68 avg300=0.19 total=879715\n"
    "full avg10=2.14 avg60=0.65 avg300=0.18 total=844199\n"
)
BEFORE, AFTER = Pressure({"io": 1.0, "cpu": 2.0}), Pressure({"io": 4.5, "cpu": 2.25})


def create_result(module, count, failed=(), incomplete=False):
    return ModuleResult(module, count, failed, incomplete, "", 1.0, BEFORE, AFTER)


class SummaryTest(unittest.TestCase):
    """The last lines of a run name all that failed, as its middle may be cut."""

    def test_failed_tests_are_named_at_the_end(self):
        """Guards against a failure whose name is lost with the middle of the output."""
        results = [
            create_result("tests.test_a", 3, ("tests.test_a.A.test_x", "known")),
            create_result("tests.test_b", 0, (), True),
            create_result("tests.test_c", 4),
        ]
        lines = format_summary(results, {"known"})
        self.assertIn(
            "failed: tests.test_a.A.test_x (cpu 0.2 s, io 3.5 s waited)", lines
        )
        self.assertIn("known red: known", lines)
        self.assertIn(
            "did not finish: tests.test_b (cpu 0.2 s, io 3.5 s waited)", lines
        )
        self.assertEqual(lines[-1], "5 passed, 2 failed")


class PressureTest(unittest.TestCase):
    """Waits of the machine are read, or left out where they are not counted."""

    def test_text_of_the_kernel(self):
        self.assertEqual(parse_pressure(PRESSURE_TEXT), 0.879715)
        self.assertRaises(ValueError, parse_pressure, "full total=1\n")

    def test_files(self):
        """Guards against a runner that ends on a kernel without these files."""
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, "io")
            with open(path, "w", encoding="ascii") as file:
                file.write(PRESSURE_TEXT)
            read = read_pressure((("io", path), ("cpu", path + "-missing")))
        self.assertEqual(read, Pressure({"io": 0.879715}))
        self.assertEqual(format_pressure(read, read), "io 0.0 s waited")
        nothing = Pressure({})
        self.assertEqual(format_pressure(nothing, nothing), "waits not counted")


if __name__ == "__main__":
    unittest.main()
