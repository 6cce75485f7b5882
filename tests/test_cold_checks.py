"""Tests of health checks of endpoints that may be cold."""

import unittest

import curio
import msgspec

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.fleet import EndpointRecord, EndpointState
from buckthorndeal.gateway._cold_checks import CheckResult, ColdChecks
from buckthorndeal.gateway._cold_doubt import HEARTBEAT_DELAY_S
from buckthorndeal.gateway._fleet_messages import ColdCheck, FleetChanged
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._health import HealthClient
from buckthorndeal.gateway._pools import create_pools
from buckthorndeal.gateway._warm_ups import MAX_ASKING_HOSTS
from buckthorndeal.gateway.dialect import HealthMetadata, create_default_dialect
from buckthorndeal.subsetting import choose_owner, choose_owners
from buckthorndeal.transport import create_memory_transport

COLD_START_S = 3.0
RATE_PER_S = 2.4
SERVICE = ServiceDescription(
    "s", "/h", 64, cold_start_s=COLD_START_S, cold_rate_per_s=RATE_PER_S
)
RECORD = EndpointRecord(
    "e1", 1, 1, "s", "a", "a-1", "10.1.9.0:80", 8, EndpointState.READY
)
HOSTS = ("h1", "h2")
TAKEN_BACK_S = 12.0
WARM = HealthMetadata("e1", 0.0)


class ColdCheckTest(unittest.TestCase):
    """A health response settles whether an endpoint that is taken back is cold."""

    def setUp(self):
        self.create(choose_owner("e1", HOSTS))

    def create(self, host, service=SERVICE, hosts=HOSTS):
        self.view = FleetView(host)
        self.checks = ColdChecks(self.view)
        self.view.set_services({"s": service})
        record = msgspec.structs.replace(RECORD, state=EndpointState.READY)
        self.view.record_heartbeat(record, 10.0)
        self.set_evacuated(["a-1"], 10.1, hosts)
        self.view.touch("e1", 11.0)
        self.set_evacuated([], TAKEN_BACK_S, hosts)

    def set_evacuated(self, domains, now_s, hosts=HOSTS):
        message = FleetChanged(hosts, 2, frozenset(domains))
        self.checks.begin(self.view.set_fleet(message, now_s))

    def is_cold(self, now_s):
        return self.view.loads["e1"].is_cold(now_s)

    def ask(self, now_s=TAKEN_BACK_S):
        (check,) = self.checks.take_due(now_s)
        return check

    def answer(self, answer, now_s=TAKEN_BACK_S + 0.1):
        return self.checks.record_answer(self.ask(), answer, now_s)

    def test_owner_asks_once(self):
        """Guards against a question at each step, and one that no bound counts."""
        check = self.ask()
        self.assertEqual((check.record.endpoint, check.path), ("e1", "/h"))
        self.assertEqual(self.checks.take_due(TAKEN_BACK_S + 2.0), [])
        may_send = self.view.warm_ups.may_send
        self.assertFalse(may_send("e1", RATE_PER_S, TAKEN_BACK_S + 0.1))

    def test_few_hosts_ask(self):
        """Guards against one question of each host to a cold endpoint."""
        hosts = tuple(f"h{number}" for number in range(1, 25))
        asked = []
        for host in hosts:
            self.create(host, hosts=hosts)
            due = self.checks.take_due(TAKEN_BACK_S)
            self.assertEqual(self.checks.is_pending, False)
            asked += [host] * len(due)
        self.assertEqual(len(asked), MAX_ASKING_HOSTS)
        self.assertIn(choose_owner("e1", hosts), asked)

    def test_new_owner_asks(self):
        """Guards against a doubt without a question as its owner stops."""
        hosts = tuple(f"h{number}" for number in range(1, 25))
        other = choose_owners("e1", hosts, MAX_ASKING_HOSTS + 1)[-1]
        self.create(other, hosts=hosts)
        self.assertEqual(self.checks.take_due(TAKEN_BACK_S + 0.05), [])
        self.set_evacuated([], TAKEN_BACK_S + 0.1, (other,))
        self.assertEqual(self.checks.take_due(TAKEN_BACK_S + 0.2), [])
        self.assertEqual(self.ask(TAKEN_BACK_S + 0.7).record.endpoint, "e1")

    def test_service_without_a_cold_rate_is_not_asked(self):
        unlimited = ServiceDescription("s", "/h", 64, cold_start_s=COLD_START_S)
        self.create(choose_owner("e1", HOSTS), unlimited)
        self.assertEqual(self.checks.take_due(TAKEN_BACK_S), [])

    def test_warm_endpoint_is_no_longer_in_doubt(self):
        """Guards against warm endpoints at the cold rate until a heartbeat comes."""
        self.assertIs(self.answer(WARM), CheckResult.WARM)
        self.assertFalse(self.is_cold(TAKEN_BACK_S + 0.1))
        self.assertFalse(self.checks.is_pending)

    def test_cold_endpoint_is_cold_for_as_long_as_it_says(self):
        """Guards against a late heartbeat from before the endpoint became cold."""
        result = self.answer(HealthMetadata("e1", 2.5), TAKEN_BACK_S + 0.4)
        self.assertIs(result, CheckResult.COLD)
        self.view.touch("e1", TAKEN_BACK_S + HEARTBEAT_DELAY_S)
        self.assertTrue(self.is_cold(TAKEN_BACK_S + 2.8))
        self.assertFalse(self.is_cold(TAKEN_BACK_S + 3.0))

    def test_settled_doubt_may_begin_anew(self):
        """Guards against a second evacuation that finds the endpoint settled."""
        self.answer(WARM)
        self.set_evacuated(["a-1"], TAKEN_BACK_S + 0.2)
        self.set_evacuated([], TAKEN_BACK_S + 0.3)
        self.assertTrue(self.is_cold(TAKEN_BACK_S + 0.3))
        self.view.touch("e1", TAKEN_BACK_S + 0.3 + HEARTBEAT_DELAY_S)
        self.assertFalse(self.is_cold(TAKEN_BACK_S + 0.4 + HEARTBEAT_DELAY_S))

    def test_shorter_cold_time_holds(self):
        self.assertIs(self.answer(HealthMetadata("e1", 0.5)), CheckResult.COLD)
        self.assertTrue(self.is_cold(TAKEN_BACK_S + 0.5))
        self.assertFalse(self.is_cold(TAKEN_BACK_S + 0.7))

    def test_other_ids_and_malformed_times_are_not_believed(self):
        """Guards against an answer that is not the endpoint's."""
        cases = (
            (HealthMetadata("e2", 0.0), CheckResult.FOREIGN),
            (HealthMetadata(None, 0.0), CheckResult.FOREIGN),
            (HealthMetadata("e1", None), CheckResult.MALFORMED),
            (HealthMetadata("e1", COLD_START_S + 0.1), CheckResult.TOO_LONG),
        )
        for answer, result in cases:
            with self.subTest(answer=answer):
                self.setUp()
                self.assertIs(self.answer(answer), result)
                self.assertTrue(self.is_cold(TAKEN_BACK_S + COLD_START_S - 0.1))
                self.assertEqual(self.checks.take_due(TAKEN_BACK_S + 1.0), [])

    def test_second_question_is_the_last(self):
        """Guards against questions without end to an endpoint that is cut off."""
        first, second = TAKEN_BACK_S + 0.5, TAKEN_BACK_S + 1.0
        self.assertIs(self.answer(None, first), CheckResult.NO_ANSWER)
        self.assertTrue(self.checks.is_pending)
        result = self.checks.record_answer(self.ask(first), None, second)
        self.assertIs(result, CheckResult.NO_ANSWER)
        self.assertEqual(self.checks.take_due(second), [])
        self.assertTrue(self.is_cold(second))

    def test_second_question_keeps_the_cold_rate(self):
        """Guards against a question right after a connection was refused."""
        self.answer(None, TAKEN_BACK_S + 0.01)
        self.assertEqual(self.checks.take_due(TAKEN_BACK_S + 0.02), [])
        self.assertTrue(self.checks.is_pending)

    def test_doubt_that_began_anew_is_not_settled(self):
        """Guards against the answer from before a second evacuation."""
        check = self.ask()
        self.set_evacuated(["a-1"], TAKEN_BACK_S + 0.1)
        self.set_evacuated([], TAKEN_BACK_S + 0.2)
        result = self.checks.record_answer(check, WARM, TAKEN_BACK_S + 0.3)
        self.assertIs(result, CheckResult.OUTDATED)
        self.assertTrue(self.is_cold(TAKEN_BACK_S + 0.3))
        self.assertEqual(self.ask(TAKEN_BACK_S + 0.7).doubted_s, TAKEN_BACK_S + 0.2)

    def test_restarted_endpoint_is_not_settled(self):
        """Guards against the answer of a process that is gone."""
        check = self.ask()
        restarted = msgspec.structs.replace(
            RECORD, state=EndpointState.READY, incarnation=2, cold_s=2.0
        )
        self.view.record_heartbeat(restarted, TAKEN_BACK_S + 0.1)
        result = self.checks.record_answer(check, WARM, TAKEN_BACK_S + 0.2)
        self.assertIs(result, CheckResult.OUTDATED)
        self.assertTrue(self.is_cold(TAKEN_BACK_S + 2.0))

    def test_evacuated_endpoint_is_not_asked(self):
        """Guards against a question to a domain that is to get nothing (EVAC)."""
        self.set_evacuated(["a-1"], TAKEN_BACK_S + 0.1)
        self.assertEqual(self.checks.take_due(TAKEN_BACK_S + 0.2), [])

    def test_heartbeat_makes_the_question_needless(self):
        self.view.touch("e1", TAKEN_BACK_S + HEARTBEAT_DELAY_S)
        self.assertEqual(self.checks.take_due(TAKEN_BACK_S + HEARTBEAT_DELAY_S), [])
        self.assertFalse(self.checks.is_pending)


class HealthMetadataTest(unittest.TestCase):
    """Values of a health response are validated as they are read."""

    def test_cold_times(self):
        """Guards against odd values that are read as warm, or as cold for ever."""
        dialect = create_default_dialect()
        cases = {
            None: 0.0,
            "0": 0.0,
            "1500": 1.5,
            " 1500.5 ": 1.5005,
            "600001": None,
            "999999999": None,
            "9" * 40: None,
            "-1": None,
            "1e3": None,
            "nan": None,
            "": None,
            "soon": None,
        }
        for value, cold_s in cases.items():
            headers = {"buckthorndeal-endpoint": "e1"}
            if value is not None:
                headers["buckthorndeal-cold-ms"] = value
            with self.subTest(value=value):
                expected = HealthMetadata("e1", cold_s)
                self.assertEqual(dialect.parse_health(headers), expected)

    def test_response_without_an_id(self):
        answer = create_default_dialect().parse_health({})
        self.assertEqual(answer, HealthMetadata(None, 0.0))


class HealthClientTest(unittest.TestCase):
    """An endpoint without an answer ends its check, and nothing else."""

    def test_refused_connection(self):
        """Guards against an error of the check that reaches the dispatch task."""

        async def main():
            pools = create_pools(create_memory_transport(), 1)
            client = HealthClient(pools, create_default_dialect(), lambda: 0.0)
            return await client.check(ColdCheck(RECORD, "/h", 2, 0.0, COLD_START_S))

        self.assertIsNone(curio.run(main))


if __name__ == "__main__":
    unittest.main()
