"""Tests of the drains and leaves that a coordinator keeps."""

import unittest

import curio

from buckthorndeal.coordinator._departures import (
    MAX_DEPARTURES,
    RETENTION_S,
    create_departures,
)
from buckthorndeal.coordinator._state_store import MemoryStateStore
from buckthorndeal.fleet import EndpointRecord, EndpointState

DRAINING, LEFT, READY = EndpointState.DRAINING, EndpointState.LEFT, EndpointState.READY


class FailingStore(MemoryStateStore):
    """Store that refuses a number of saves."""

    def __init__(self, failures):
        super().__init__()
        self.failures = failures

    def save(self, records):
        if self.failures > 0:
            self.failures -= 1
            raise OSError("the disk is full")
        super().save(records)


def create_record(incarnation, state=READY):
    return EndpointRecord(
        endpoint="e",
        incarnation=incarnation,
        sequence=1,
        service="s",
        address="10.1.9.0:80",
        region="a",
        failure_domain="a-1",
        state=state,
        slots=1,
    )


class DepartureTest(unittest.TestCase):
    """Heartbeats after a drain or leave, and what is on disk."""

    def setUp(self):
        self.store = MemoryStateStore()
        self.departures = create_departures(self.store, 0.0)

    def apply(self, incarnation, state=READY):
        return self.departures.apply(create_record(incarnation, state)).state

    def test_state_by_incarnation(self):
        """Guards against a late heartbeat, and a leave that ends the next start."""
        self.departures.record("e", 2, DRAINING, 0.0)
        self.assertEqual(
            [self.apply(each) for each in (1, 2, 3)], [LEFT, DRAINING, READY]
        )
        self.departures.record("e", 2, LEFT, 0.0)
        self.departures.record("e", 2, DRAINING, 0.0)
        self.departures.record("e", 1, DRAINING, 0.0)
        self.assertEqual([self.apply(each) for each in (1, 2, 3)], [LEFT, LEFT, READY])

    def test_leave_that_arrives_after_a_drain(self):
        """Guards against a departure that hides a later one."""
        self.departures.record("e", 2, DRAINING, 0.0)
        self.assertIs(self.apply(2, LEFT), LEFT)

    def test_confirmation_holds_for_one_state(self):
        """Guards against a leave that counts as confirmed with the drain before it."""
        self.departures.record("e", 2, DRAINING, 0.0)
        self.assertTrue(self.departures.is_unconfirmed("e", 2))
        self.departures.record_confirmation(self.departures._known["e"].departure)
        self.assertFalse(self.departures.is_unconfirmed("e", 2))
        self.departures.record("e", 2, LEFT, 0.0)
        self.assertTrue(self.departures.is_unconfirmed("e", 2))

    def test_departures_expire(self):
        """Guards against a table that grows with each endpoint."""
        self.departures.record("e", 2, LEFT, 0.0)
        self.departures.record("e", 2, LEFT, 1.0)
        self.departures.expire(RETENTION_S)
        self.assertIs(self.apply(2), LEFT)
        self.departures.expire(RETENTION_S + 1.0)
        self.assertIs(self.apply(2), READY)

    def test_table_is_bounded(self):
        """Guards against a caller who reports leaves of any number of ids."""
        for number in range(MAX_DEPARTURES + 1):
            self.departures.record(f"e{number}", 1, LEFT, float(number))
        self.assertEqual(len(self.departures._known), MAX_DEPARTURES)
        self.assertNotIn("e0", self.departures._known)

    def test_what_counts_as_saved_is_on_disk(self):
        """Guards against an acknowledgement before the sync."""

        async def test():
            self.departures.record("e", 2, LEFT, 0.0)
            self.assertEqual(self.store.load(), ())
            first = await curio.spawn(self.departures.wait_saved)
            second = await curio.spawn(self.departures.wait_saved)
            self.assertTrue(await first.join())
            self.assertTrue(await second.join())
            restarted = create_departures(self.store, 0.0)
            self.assertIs(restarted.apply(create_record(2)).state, LEFT)

        curio.run(test)

    def test_save_is_repeated_within_the_timeout(self):
        """Guards against a departure that one refused write keeps from the disk."""

        async def test(failures, expected):
            departures = create_departures(FailingStore(failures), 0.0)
            departures.record("e", 2, LEFT, 0.0)
            self.assertIs(await departures.wait_saved(), expected)

        curio.run(test, 1, True)
        curio.run(test, 1000, False)


if __name__ == "__main__":
    unittest.main()
