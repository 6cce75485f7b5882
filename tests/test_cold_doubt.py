"""Tests of endpoints that may have become cold since their last heartbeat."""

import unittest
from dataclasses import replace

import msgspec

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.fleet import (
    ClusterNotice,
    EndpointRecord,
    EndpointState,
    TakenBackDomain,
    create_endpoint_table,
)
from buckthorndeal.gateway._cold_doubt import HEARTBEAT_DELAY_S
from buckthorndeal.gateway._endpoint_condition import EndpointCondition
from buckthorndeal.gateway._evacuations import NotedEvacuations
from buckthorndeal.gateway._fleet_messages import FleetChanged
from buckthorndeal.gateway._fleet_view import FleetView

COLD_START_S = 3.0
SERVICE = ServiceDescription(
    "s", "/h", 64, cold_start_s=COLD_START_S, cold_rate_per_s=2.4
)
DOMAINS = {"e1": "a-1", "e2": "a-2"}


def create_record(endpoint, sequence, **changes):
    """Return a heartbeat of an endpoint."""
    address = f"10.1.9.{list(DOMAINS).index(endpoint)}:80"
    fields = ("s", "a", DOMAINS[endpoint], address, 8, EndpointState.READY)
    return EndpointRecord(endpoint, 1, sequence, *fields, **changes)


class TakenBackTest(unittest.TestCase):
    """Endpoints of a domain count as cold until a later heartbeat tells."""

    def setUp(self):
        self.view = FleetView("h1")
        self.view.set_services({"s": SERVICE})
        for endpoint in DOMAINS:
            self.view.record_heartbeat(create_record(endpoint, 1), 10.0)
        self.set_evacuated(["a-1"], 10.1)
        for endpoint in DOMAINS:
            self.view.touch(endpoint, 11.0)
        self.set_evacuated([], 12.0)

    def set_evacuated(self, domains, now_s):
        message = FleetChanged(("h1",), 1, frozenset(domains))
        self.doubted = self.view.set_fleet(message, now_s)

    def get_condition(self, endpoint, now_s):
        conditions = {
            load.name: condition
            for load, condition in self.view.list_conditions("s", now_s)
        }
        return conditions[endpoint]

    def test_endpoint_counts_as_cold_until_it_is_heard(self):
        """Guards against a flood between the end of an evacuation and a heartbeat."""
        self.assertEqual(self.doubted, ["e1"])
        self.assertIs(self.get_condition("e1", 12.0), EndpointCondition.COLD)
        heard_s = 12.0 + HEARTBEAT_DELAY_S
        self.view.touch("e1", heard_s)
        self.assertIs(self.get_condition("e1", heard_s), EndpointCondition.READY)

    def test_heartbeat_that_was_under_way_does_not_confirm(self):
        """Guards against a heartbeat that was sent before the endpoint became cold."""
        heard_s = 12.0 + 0.9 * HEARTBEAT_DELAY_S
        self.view.touch("e1", heard_s)
        self.assertIs(self.get_condition("e1", heard_s), EndpointCondition.COLD)

    def test_heartbeat_that_is_told_again_does_not_confirm(self):
        """Guards against a coordinator that connects and tells an old heartbeat."""
        table = create_endpoint_table()
        table.update(create_record("e1", 2), 11.9)
        now_s = 12.1 + HEARTBEAT_DELAY_S
        self.view.record_heartbeat(table.get("e1").describe(now_s), now_s)
        self.assertIs(self.get_condition("e1", now_s), EndpointCondition.COLD)

    def test_name_of_an_endpoint_that_was_cold_does_not_confirm(self):
        """Guards against coordinators that name endpoints which are cold once more.

        Those of earlier builds do; others send the record of a cold endpoint.
        """
        self.set_evacuated(["a-1"], 12.1)
        cold = create_record("e1", 2, cold_s=2.0)
        self.view.record_heartbeat(cold, 12.2)
        self.set_evacuated([], 13.0)
        self.view.touch("e1", 13.1 + HEARTBEAT_DELAY_S)
        self.assertIs(self.get_condition("e1", 15.7), EndpointCondition.COLD)
        self.view.record_heartbeat(create_record("e1", 3), 15.7)
        self.assertIs(self.get_condition("e1", 15.8), EndpointCondition.READY)

    def test_doubt_ends_without_heartbeats(self):
        """Guards against a domain that stays at the cold rate for good."""
        self.view.touch("e1", 12.5)
        now_s = 12.0 + COLD_START_S
        self.assertIs(self.get_condition("e1", now_s - 0.1), EndpointCondition.COLD)
        self.assertIs(self.get_condition("e1", now_s + 0.1), EndpointCondition.READY)

    def test_heartbeat_that_says_cold_holds(self):
        cold = create_record("e1", 2, cold_s=2.0)
        self.view.record_heartbeat(cold, 13.5)
        self.assertIs(self.get_condition("e1", 15.4), EndpointCondition.COLD)

    def test_other_domains_are_used_as_before(self):
        self.assertIs(self.get_condition("e2", 12.0), EndpointCondition.READY)

    def test_restarted_endpoint_tells_itself(self):
        """Guards against a doubt that outlives the process that it is about."""
        record = msgspec.structs.replace(create_record("e1", 1), incarnation=2)
        self.view.record_heartbeat(record, 12.1)
        self.assertIs(self.get_condition("e1", 12.2), EndpointCondition.READY)

    def test_record_of_a_restarted_endpoint_that_is_told_again_does_not_confirm(self):
        """Guards against a host that was away while the endpoint started again."""
        record = create_record("e1", 5, age_s=2.0)
        record = msgspec.structs.replace(record, incarnation=2)
        self.view.record_heartbeat(record, 12.1)
        self.assertIs(self.get_condition("e1", 12.2), EndpointCondition.COLD)

    def test_longest_of_two_doubts_that_begin_together_holds(self):
        """Guards against a host that goes on and hears of an evacuation at once."""
        load = self.view.loads["e1"]
        load.cold_doubt.resume(13.0, 13.0)
        self.view.set_fleet(FleetChanged(("h1",), 1, frozenset(["a-1"])), 13.0)
        self.set_evacuated([], 13.0)
        self.assertIs(self.get_condition("e1", 13.9), EndpointCondition.COLD)


class MissedEvacuationTest(unittest.TestCase):
    """A host that has not known an evacuation learns of its end."""

    def setUp(self):
        self.view = FleetView("h1")
        domain = frozenset([TakenBackDomain("a-1", 7)])
        self.message = FleetChanged(("h1",), 1, frozenset(), taken_back=domain)
        self.view.set_fleet(self.message, 10.0)

    def is_cold(self, now_s):
        return self.view.loads["e1"].is_cold(now_s)

    def record_heartbeat(self, now_s, sequence=1, **changes):
        self.view.record_heartbeat(create_record("e1", sequence, **changes), now_s)

    def test_endpoint_that_is_told_later_counts_as_cold(self):
        """Guards against a host that starts right after the end of an evacuation."""
        self.view.set_services({"s": SERVICE})
        self.record_heartbeat(10.1, age_s=1.0)
        self.assertTrue(self.is_cold(10.2))
        self.record_heartbeat(10.1 + HEARTBEAT_DELAY_S, 2)
        self.assertFalse(self.is_cold(10.2 + HEARTBEAT_DELAY_S))

    def test_service_may_be_told_last(self):
        """Guards against a host that learns of endpoints before its configuration."""
        self.record_heartbeat(10.1, age_s=1.0)
        self.view.set_services({"s": SERVICE})
        self.assertTrue(self.is_cold(10.2))
        self.assertFalse(self.is_cold(10.0 + COLD_START_S))

    def test_doubt_begins_once(self):
        """Guards against a doubt that each change of the fleet renews."""
        self.view.set_services({"s": SERVICE})
        self.record_heartbeat(10.1)
        self.view.set_fleet(replace(self.message, total_hosts=2), 12.0)
        self.assertFalse(self.is_cold(10.0 + COLD_START_S))


class NotedEvacuationsTest(unittest.TestCase):
    """A host tells ends of evacuations that it has missed from those it knows."""

    def setUp(self):
        self.evacuations = NotedEvacuations()

    def record(self, index, taken_back_index=None, evacuated=()):
        domains = ()
        if taken_back_index is not None:
            domains = (TakenBackDomain("a-1", taken_back_index),)
        notice = ClusterNotice(index, 1, evacuated, taken_back=domains)
        return self.evacuations.record(notice, "h2", {"h2"})

    def test_end_counts_though_another_coordinator_does_not_list_it(self):
        """Guards against a coordinator that has started again since the end."""
        self.assertFalse(self.record(9))
        self.assertTrue(self.record(9, 7))
        self.assertFalse(self.record(9, 7))

    def test_end_that_the_host_has_seen_is_not_missed(self):
        """Guards against a doubt that a coordinator which connects later renews."""
        self.record(6, evacuated=("a-1",))
        self.assertTrue(self.record(7))
        self.assertFalse(self.record(7, 7))

    def test_end_that_a_late_coordinator_lists_is_not_missed(self):
        """Guards against a doubt that a coordinator which is behind renews."""
        self.record(6, evacuated=("a-1",))
        for index in (7, 8, 9):
            self.record(index)
        self.assertFalse(self.record(9, 9))

    def test_end_after_notices_were_missed_counts(self):
        """Guards against a host that was cut off during the second evacuation."""
        self.record(6, evacuated=("a-1",))
        self.record(7)
        self.assertFalse(self.record(12))
        self.assertTrue(self.record(12, 11))

    def test_end_counts_once(self):
        self.assertTrue(self.record(7, 7))
        self.assertEqual(len(self.evacuations.taken_back), 1)
        self.assertFalse(self.record(7, 7))
        self.assertFalse(self.record(9, 7))
        self.assertTrue(self.record(11, 10))


if __name__ == "__main__":
    unittest.main()
