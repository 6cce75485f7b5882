"""Tests of what a coordinator passes on of a heartbeat, and logs."""

import unittest
from unittest import mock

import msgspec

from buckthorndeal.coordinator import _endpoint_changes
from buckthorndeal.coordinator._endpoint_changes import (
    has_remaining_time,
    is_logged_change,
    is_state_change,
    log_endpoint_change,
)
from buckthorndeal.fleet import EndpointRecord, EndpointState, create_endpoint_table

RECORD = EndpointRecord(
    "e1", 1, 1, "s", "a", "a-1", "10.1.9.1:80", 8, EndpointState.READY
)


class EndpointChangesTest(unittest.TestCase):
    """Only what still holds without a new record is passed on by name."""

    def test_time_that_runs_down_is_never_passed_on_by_name(self):
        """Guards against a cold time, or a notice to leave, that hosts hear once."""
        self.assertFalse(has_remaining_time(RECORD))
        for changes in ({"cold_s": 0.1}, {"leaves_in_s": 2.0}, {"leaves_in_s": 0.0}):
            record = msgspec.structs.replace(RECORD, **changes)
            self.assertTrue(has_remaining_time(record), changes)

    def test_end_of_a_time_is_a_change(self):
        cold = msgspec.structs.replace(RECORD, cold_s=0.1)
        self.assertTrue(is_state_change(cold, RECORD))
        leaving = msgspec.structs.replace(RECORD, leaves_in_s=2.0)
        self.assertTrue(is_state_change(leaving, RECORD))

    def test_each_field_but_the_number_is_compared(self):
        """Guards against a field of a record that hosts never hear of again."""
        changes = {
            "incarnation": 2,
            "service": "t",
            "region": "b",
            "failure_domain": "a-2",
            "address": "10.1.9.1:81",
            "slots": 9,
            "state": EndpointState.DRAINING,
            "cold_s": 1.0,
            "leaves_in_s": 1.0,
            "version": "v2",
        }
        names = {field.name for field in msgspec.structs.fields(EndpointRecord)}
        progress = {"sequence": 2, "age_s": 1.0}
        self.assertEqual(names - {"endpoint", *progress}, set(changes))
        for name, value in changes.items():
            record = msgspec.structs.replace(RECORD, sequence=2, **{name: value})
            self.assertTrue(is_state_change(RECORD, record), name)
        self.assertFalse(
            is_state_change(RECORD, msgspec.structs.replace(RECORD, **progress))
        )


class LoggedChangeTest(unittest.TestCase):
    """A line for each cold time and notice, but none for each heartbeat of it."""

    def count_lines(self, *heartbeats):
        """Return how many lines heartbeats give: times, and changes of the record."""
        table, lines = create_endpoint_table(), 0
        with mock.patch.object(_endpoint_changes, "log_event") as log_event:
            for sequence, (now_s, changes) in enumerate(heartbeats, 1):
                known = table.get("e1")
                record = msgspec.structs.replace(RECORD, sequence=sequence, **changes)
                merged = table.update(record, now_s)
                if known is None or is_logged_change(known, table.get("e1")):
                    log_endpoint_change(merged, known.record if known else None)
            lines = log_event.call_count
        return lines

    def test_cold_time_gives_a_line_at_its_begin_and_at_its_end(self):
        """Guards against a line for each heartbeat of a cold endpoint."""
        heartbeats = [(0.0, {"cold_s": 3.0}), (1.2, {"cold_s": 1.9}), (3.1, {})]
        self.assertEqual(self.count_lines(*heartbeats), 2)

    def test_second_cold_time_gives_a_line(self):
        """Guards against logs that do not show that an endpoint is cold once more."""
        heartbeats = [(0.0, {"cold_s": 3.0}), (1.2, {"cold_s": 3.0})]
        self.assertEqual(self.count_lines(*heartbeats), 2)

    def test_shortened_notice_gives_a_line(self):
        heartbeats = [(0.0, {"leaves_in_s": 9.0}), (1.2, {"leaves_in_s": 2.0})]
        self.assertEqual(self.count_lines(*heartbeats), 2)
        heartbeats = [(0.0, {"leaves_in_s": 9.0}), (1.2, {"leaves_in_s": 7.9})]
        self.assertEqual(self.count_lines(*heartbeats), 1)


if __name__ == "__main__":
    unittest.main()
