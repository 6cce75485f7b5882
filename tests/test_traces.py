"""Tests of request timelines."""

import json
import unittest

from buckthorndeal.traces import format_trace, read_lines, select_trace


def create_line(second, host, event, prefix="", **fields):
    time = f"2026-01-02T03:04:{second:06.3f}Z"
    return prefix + json.dumps({"time": time, "host": host, "event": event, **fields})


class TraceTest(unittest.TestCase):
    """A request is traced over its hosts, with their state changes meanwhile."""

    LINES = (
        create_line(1, "h1", "fleet_changed", total_hosts=3),
        create_line(9, "h1", "endpoint_changed", endpoint="e1"),
        create_line(10, "h1", "dispatch_decision", request_id="q", chosen="h2"),
        create_line(10.1, "h1", "dispatch_decision", request_id="other"),
        create_line(10.2, "h2", "request_ended", request_id="q", status=503),
        create_line(10.3, "h3", "endpoint_changed", endpoint="e2"),
        create_line(10.4, "h1", "request_ended", request_id="q", reason=None),
        create_line(11, "h1", "fleet_changed", total_hosts=2),
        "not a log line",
    )

    def test_lines_are_merged_by_time(self):
        lines = read_lines(reversed(self.LINES))
        trace = select_trace(lines, "q")
        self.assertEqual(
            [(line.host, line.event) for line in trace],
            [
                ("h1", "endpoint_changed"),
                ("h1", "dispatch_decision"),
                ("h2", "request_ended"),
                ("h1", "request_ended"),
            ],
        )

    def test_format(self):
        trace = select_trace(read_lines(self.LINES), "q")
        texts = format_trace(trace, "q")
        self.assertTrue(texts[0].startswith("  "))
        self.assertIn("> 11050.200 h2 request_ended status=503", texts)

    def test_bench_prefix(self):
        """The clock of a benchmark is common to all hosts; their own clocks differ."""
        line = create_line(10, "h1", "request_ended", " -3.2500 h1 ", request_id="q")
        self.assertEqual(read_lines([line])[0].time_s, -3.25)
