"""Tests of requests that a host has accepted when the configuration changes."""

import unittest

from buckthorndeal.gateway._messages import Grant
from buckthorndeal.policy.views import AttemptOutcome
from tests.dispatcher_harness import ENGINE, DispatcherHarness


class DroppedServiceTest(unittest.TestCase):
    """What a host has accepted keeps the service that it was accepted under."""

    def setUp(self):
        self.harness = DispatcherHarness(endpoints=1, service="desk", slots=1)
        self.view = self.harness.view

    def drop_service(self):
        self.view.set_services({"llm": ENGINE})

    def test_waiting_request_is_served(self):
        """Guards against requests that wait for nothing until they are refused."""
        harness = self.harness
        for _ in range(2):
            self.assertIsInstance(harness.submit(), Grant)
        self.assertIsNone(harness.submit())
        self.drop_service()
        harness.now_s += 0.05
        harness.finish(1)
        ((attempt_id, decision),) = harness.dispatcher.decide_waiting(harness.now_s)
        self.assertEqual(attempt_id, 3)
        self.assertIsInstance(decision, Grant)

    def test_broken_request_is_repeated(self):
        harness = self.harness
        for _ in range(10):
            harness.dispatcher.record_request("desk", harness.now_s)
        self.assertIsInstance(harness.submit(), Grant)
        self.drop_service()
        harness.finish(1, AttemptOutcome.BROKEN)
        self.assertIsInstance(harness.submit(is_retry=True), Grant)

    def test_service_is_forgotten_with_its_endpoints(self):
        harness = self.harness
        self.drop_service()
        self.assertIsNotNone(self.view.get_service("desk"))
        for _ in range(20):
            harness.now_s += 1.0
            harness.service = "llm"
            harness.send_heartbeats(["e9"])
        harness.dispatcher.expire_endpoints(10.0, harness.now_s)
        self.assertIsNone(self.view.get_service("desk"))

    def test_service_that_comes_back_is_the_newer_one(self):
        self.drop_service()
        self.view.set_services({"desk": ENGINE})
        self.assertIs(self.view.get_service("desk"), ENGINE)


if __name__ == "__main__":
    unittest.main()
