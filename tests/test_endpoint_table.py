"""Tests of the number of endpoints that a table and its messages can have."""

import unittest

import msgspec

from buckthorndeal.coordinator._heartbeat_batch import split_heartbeats
from buckthorndeal.fleet import (
    EndpointHeartbeats,
    EndpointRecord,
    EndpointState,
    create_endpoint_table,
)
from buckthorndeal.fleet._endpoints import MAX_ENDPOINTS
from buckthorndeal.fleet._record_checks import MAX_NAME_CHARS
from buckthorndeal.wire import MAX_FRAME_BYTES


def create_record(number):
    """Return a record of an endpoint at an address of its own."""
    address = f"10.0.{number >> 8}.{number & 255}:80"
    return EndpointRecord(
        f"e{number}", 1, 1, "s", "a", "a-1", address, 8, EndpointState.READY
    )


class EndpointTableTest(unittest.TestCase):
    """Endpoints, whose ids are chosen by who reports them, are bounded."""

    def test_further_endpoints_are_not_added(self):
        """Guards against a table that grows with each id that is invented."""
        table = create_endpoint_table()
        for number in range(2 * MAX_ENDPOINTS):
            table.update(create_record(number), 0.0)
        self.assertEqual(len(table.list_all()), MAX_ENDPOINTS)
        self.assertIsNotNone(table.update(create_record(0), 0.0))


class RemainingTimesTest(unittest.TestCase):
    """Times that run down are told as what is left of them."""

    def test_record_that_is_sent_later_tells_what_is_left(self):
        """Guards against a notice to leave that begins anew at a host that connects."""
        table = create_endpoint_table()
        record = msgspec.structs.replace(create_record(0), cold_s=3.0, leaves_in_s=2.0)
        table.update(record, 10.0)
        (entry,) = table.list_all()
        left = entry.describe(11.5)
        self.assertEqual((left.cold_s, left.leaves_in_s), (1.5, 0.5))
        over = entry.describe(15.0)
        self.assertEqual((over.cold_s, over.leaves_in_s), (0.0, 0.0))
        self.assertEqual((left.age_s, over.age_s), (1.5, 5.0))
        named = {"cold_s": 3.0, "leaves_in_s": 2.0, "age_s": 0.0}
        self.assertEqual(msgspec.structs.replace(over, **named), record)

    def test_record_that_is_sent_later_is_no_new_heartbeat(self):
        """Guards against an old heartbeat that counts as heard when it is told."""
        table = create_endpoint_table()
        old = msgspec.structs.replace(create_record(0), age_s=5.0)
        table.update(old, 10.0)
        self.assertEqual(table.get(old.endpoint).last_heartbeat_s, 5.0)
        table.touch(old.endpoint, 11.0)
        table.update(old, 12.0)
        self.assertEqual(table.get(old.endpoint).last_heartbeat_s, 11.0)


class HeartbeatMessagesTest(unittest.TestCase):
    """A coordinator that knows many endpoints can tell entry hosts of all of them."""

    def test_records_of_any_names_fit_into_frames(self):
        """Guards against a link that breaks off while it sends the initial state."""
        name = "\N{BELL}" * MAX_NAME_CHARS
        fields = (1, 1, name, name, name, "10.0.0.1:80", 8, EndpointState.READY)
        records = tuple(
            EndpointRecord(f"{n}{name}"[:MAX_NAME_CHARS], *fields, version=name)
            for n in range(MAX_ENDPOINTS)
        )
        alive = tuple(record.endpoint for record in records)
        sent = EndpointHeartbeats(records, alive, ends_initial_state=True)
        messages = split_heartbeats(sent)
        for message in messages:
            self.assertLess(len(msgspec.msgpack.encode(message)), MAX_FRAME_BYTES)
        received = [each for message in messages for each in message.records]
        self.assertEqual(received, list(records))
        self.assertEqual(messages[-1].alive, alive)
        ends = [message.ends_initial_state for message in messages]
        self.assertEqual(ends.count(True), 1)
        self.assertTrue(ends[-1])


if __name__ == "__main__":
    unittest.main()
