"""Tests of the structured logs."""

import json
import logging
import os
import subprocess
import sys
import tempfile
import unittest

from buckthorndeal import logs


def create_record(event, routine=False, **fields):
    record = logging.LogRecord("absl", logging.INFO, "", 0, event, (), None)
    setattr(record, logs.EXTRA_FIELD, fields)
    setattr(record, logs.ROUTINE_FIELD, routine)
    return record


class BoundedHandlerTest(unittest.TestCase):
    """The volume is bounded, and routine lines are dropped before failures."""

    def setUp(self):
        self.now_s = 0.0
        self.read_fd, write_fd = os.pipe()
        os.set_blocking(write_fd, False)
        os.set_blocking(self.read_fd, False)
        self.addCleanup(os.close, self.read_fd)
        self.addCleanup(os.close, write_fd)
        self.handler = logs.BoundedHandler(
            logs.LineWriter(write_fd), lambda: self.now_s
        )
        self.handler.setFormatter(logs.JsonFormatter("h1"))

    def read(self):
        data = b""
        while True:
            try:
                data += os.read(self.read_fd, 1 << 20)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]
            self.handler._writer.flush()

    def test_routine_lines_are_dropped_first(self):
        for number in range(2000):
            self.handler.emit(create_record("request_ended", True, number=number))
        self.handler.emit(create_record("request_failed", request_id="q"))
        lines = self.read()
        limit = logs.ROUTINE_LINES_PER_S * logs.BURST_S
        self.assertEqual(len(lines), limit + 1)
        self.assertEqual(lines[-1]["request_id"], "q")

    def test_lines_of_requests_leave_room_for_those_of_the_host(self):
        """Guards against a crowd whose refusals hide what the host does about it."""
        for number in range(2000):
            record = create_record("request_ended", request_id=f"r{number}")
            self.handler.emit(record)
        self.handler.emit(create_record("connections_short", port=1))
        lines = self.read()
        limit = logs.REQUEST_LINES_PER_S * logs.BURST_S
        self.assertEqual(len(lines), limit + 1)
        self.assertEqual(lines[-1]["event"], "connections_short")

    def test_lines_of_the_host_may_use_both_budgets(self):
        """Guards against lost lines of a host that learns of many endpoints at once."""
        for number in range(2000):
            self.handler.emit(create_record("endpoint_changed", number=number))
        per_s = logs.REQUEST_LINES_PER_S + logs.HOST_LINES_PER_S
        self.assertEqual(len(self.read()), per_s * logs.BURST_S)

    def test_dropped_lines_are_counted(self):
        for _ in range(1000):
            self.handler.emit(create_record("request_ended", True))
        self.read()
        self.now_s = logs.DROPPED_LINES_INTERVAL_S
        self.handler.emit(create_record("other"))
        report = self.read()[-1]
        self.assertEqual(report["event"], logs.DROPPED_LINES_EVENT)
        dropped = 1000 - logs.ROUTINE_LINES_PER_S * logs.BURST_S
        self.assertEqual(report["counts"], {"request_ended": dropped})

    def test_blocked_reader(self):
        """Guards against a daemon that blocks on the reader of its log."""
        for number in range(20_000):
            self.now_s += 0.01
            self.handler.emit(create_record("event", text="x" * 200, number=number))
        lines = self.read()
        self.assertLess(len(lines), 20_000)
        self.assertEqual([line["number"] for line in lines], list(range(len(lines))))

    def test_reader_that_is_gone(self):
        os.close(self.read_fd)
        self.read_fd = os.open(os.devnull, os.O_RDONLY)
        self.handler.emit(create_record("event"))


class FileTest(unittest.TestCase):
    """Guards against log lines that overwrite other output in a regular file."""

    def test_shared_file(self):
        script = (
            "import sys; from buckthorndeal.logs import *; configure_logging('h');"
            "log_event('first'); print('a trace', file=sys.stderr, flush=True);"
            "log_event('last')"
        )
        with tempfile.TemporaryFile() as file:
            command = [sys.executable, "-c", script]
            subprocess.run(command, stdout=file, stderr=file, check=True)
            file.seek(0)
            lines = file.read().decode().splitlines()
        self.assertEqual(len(lines), 3)
        self.assertEqual(lines[1], "a trace")
        self.assertEqual(json.loads(lines[2])["event"], "last")


class FormatterTest(unittest.TestCase):
    """A line is one JSON object, whatever values the fields have."""

    def test_fields(self):
        record = create_record("e", value={"a": 1}, text="two\nlines", odd=object())
        line = logs.JsonFormatter("h1").format(record)
        self.assertNotIn("\n", line)
        self.assertEqual(json.loads(line)["value"], {"a": 1})

    def test_long_field_is_shortened(self):
        """Guards against ids of the size of a head that fill the buffer of lines."""
        usual = "i" * logs.MAX_FIELD_CHARACTERS
        record = create_record("e", request_id="r" * 15_000, usual=usual)
        line = logs.JsonFormatter("h1").format(record)
        self.assertLess(len(line), 3 * logs.MAX_FIELD_CHARACTERS)
        fields = json.loads(line)
        self.assertTrue(fields["request_id"].startswith("r" * 1_000))
        self.assertIn("15000 characters", fields["request_id"])
        self.assertEqual(fields["usual"], usual)
