"""Tests of what a gateway keeps of endpoints that are gone."""

import unittest

from buckthorndeal.fleet import EndpointRecord, EndpointState
from buckthorndeal.fleet._endpoints import TOMBSTONE_S
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.policy.views import AttemptOutcome
from tests.dispatcher_harness import DispatcherHarness

SILENCE_S = 3.5


def create_record(endpoint, number, service="s"):
    """Return a record of an endpoint at an address of its own."""
    address = f"10.0.0.{number}:80"
    return EndpointRecord(
        endpoint, 1, 1, service, "a", "a-1", address, 8, EndpointState.READY
    )


class FormerEndpointTest(unittest.TestCase):
    """A gateway forgets endpoints that are gone, and what only they have named."""

    def test_endpoint_that_leaves_gives_its_memory_back(self):
        """Guards against loads of former endpoints that a gateway keeps for ever."""
        view = FleetView("h1")
        for number in range(50):
            view.record_heartbeat(create_record(f"e{number}", number), 0.0)
            view.record_left(f"e{number}", None, 0.0)
        view.record_heartbeat(create_record("new", 60), TOMBSTONE_S + 1)
        removed = view.expire(SILENCE_S, TOMBSTONE_S + 1)
        self.assertEqual(len(removed), 50)
        self.assertEqual(list(view.loads), ["new"])

    def test_services_of_former_endpoints_are_forgotten(self):
        """Guards against services that invented endpoints name."""
        view = FleetView("h1")
        for number in range(50):
            record = create_record(f"e{number}", number, f"s{number}")
            view.record_heartbeat(record, 0.0)
        view.record_heartbeat(create_record("new", 60), SILENCE_S + 1)
        view.expire(SILENCE_S, SILENCE_S + 1)
        self.assertEqual(list(view._known_services._times), ["s"])
        self.assertEqual(view.stream_versions._unnamed, {"s"})

    def test_shares_of_former_endpoints_are_forgotten(self):
        """Guards against limits of endpoints that nobody asks for any more."""
        harness = DispatcherHarness(endpoints=2)
        dispatcher, view = harness.dispatcher, harness.view
        record = view.loads["e0"].entry.record
        view.rate_shares.record_named(record, None, harness.now_s, 2.0)
        dispatcher._slot_shares.record_rejection(record, harness.now_s)
        dispatcher._slot_shares.record_end(record, AttemptOutcome.BROKEN, harness.now_s)
        self.assertTrue(dispatcher._slot_shares._reduced)
        self.assertTrue(dispatcher._slot_shares._lingering)
        view.record_left("e0", None, harness.now_s)
        harness.now_s += TOMBSTONE_S + 1
        harness.send_heartbeats(["e1"])
        dispatcher.expire_endpoints(SILENCE_S, harness.now_s)
        self.assertEqual(dispatcher._slot_shares._reduced, {})
        self.assertEqual(dispatcher._slot_shares._lingering, {})


if __name__ == "__main__":
    unittest.main()
