"""Tests of gateways that were stopped for a time, and of what they then believe."""

import unittest

from buckthorndeal.fleet import EndpointRecord, EndpointState
from buckthorndeal.gateway._cold_doubt import HEARTBEAT_DELAY_S, UNREAD_S
from buckthorndeal.gateway._endpoint_condition import EndpointCondition
from buckthorndeal.gateway._endpoint_news import EndpointNews
from buckthorndeal.gateway._fleet_messages import FleetChanged, HeartbeatsReceived
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.metrics import Metrics
from tests.test_cold_doubt import COLD_START_S, SERVICE

RECORD = EndpointRecord(
    "e1", 1, 1, "s", "a", "a-1", "10.1.9.1:80", 8, EndpointState.READY
)


class StoppedHostTest(unittest.TestCase):
    """A host that was stopped reads what it has missed before it trusts the rest."""

    def setUp(self):
        self.view = FleetView("h1")
        self.view.set_services({"s": SERVICE})
        self.metrics = Metrics()
        self.news = EndpointNews(self.view, self.metrics)
        self.news.apply(HeartbeatsReceived((RECORD,)), 10.0)

    def get_condition(self, now_s):
        ((_, condition),) = self.view.list_conditions("s", now_s)
        return condition

    def test_host_that_was_stopped_does_not_flood_an_endpoint(self):
        """Guards against requests before unread heartbeats of a cold endpoint."""
        self.news.record_stop(1.0, 12.0)
        self.assertEqual(self.metrics.get_value("process_stops"), 1)
        self.assertIs(self.get_condition(12.0), EndpointCondition.COLD)
        self.news.apply(HeartbeatsReceived((), ("e1",)), 12.1)
        self.assertIs(self.get_condition(12.1), EndpointCondition.COLD)

    def test_warm_endpoint_is_used_soon_after_a_stop(self):
        """Guards against a stop that costs a host all endpoints for long."""
        self.news.record_stop(1.0, 12.0)
        self.assertIs(self.get_condition(12.1 + UNREAD_S), EndpointCondition.READY)

    def test_heartbeat_that_waited_unread_ends_no_doubt(self):
        """Guards against an old heartbeat that is read late and taken for a new one."""
        self.news.apply_fleet(FleetChanged(("h1",), 1, frozenset(["a-1"])), 10.1)
        self.news.apply_fleet(FleetChanged(("h1",), 1, frozenset()), 10.2)
        self.news.record_stop(HEARTBEAT_DELAY_S, 10.3 + HEARTBEAT_DELAY_S)
        self.news.apply(HeartbeatsReceived((), ("e1",)), 10.3 + HEARTBEAT_DELAY_S)
        doubted_s = max(10.2 + COLD_START_S, 10.3 + HEARTBEAT_DELAY_S + UNREAD_S)
        self.assertIs(self.get_condition(doubted_s - 0.1), EndpointCondition.COLD)
        self.assertIs(self.get_condition(doubted_s + 0.1), EndpointCondition.READY)


if __name__ == "__main__":
    unittest.main()
