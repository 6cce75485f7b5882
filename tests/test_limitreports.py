"""Tests of what operators see of limits that act, here of those by names."""

import json
import unittest
from unittest import mock

import curio

from buckthorndeal.gateway import create_prompt
from buckthorndeal.limitreports import create_limit_report
from buckthorndeal.metrics import create_metrics
from tests.fleet_harness import (
    REQUEST_ID,
    Fleet,
    create_configuration,
    run_fleet,
    start_serving,
)
from tests.test_gateway_quarantine import PARTS, PromptDialect

COORDINATOR = "10.1.0.1"
REPLICA_MODULE = "buckthorndeal.coordinator._replica"
DIALECT_MODULE = "tests.test_gateway_quarantine"
HEARTBEAT = {
    "incarnation": 1,
    "sequence": 1,
    "service": "s",
    "region": "a",
    "failure_domain": "a-1",
    "slots": 1,
}


class LimitReportTest(unittest.TestCase):
    """Each time counts, and few are logged."""

    def test_lines_are_bounded_and_counts_are_not(self):
        """Guards against a limit that hides other lines, or acts unseen."""
        metrics = create_metrics()
        report = create_limit_report(metrics, "things_refused", "thing_refused", "T")
        with self.assertLogs("absl") as logs:
            for number in range(100):
                report.record(thing=number)
        self.assertEqual(metrics.get_value("things_refused"), 100)
        self.assertLess(len(logs.output), 10)
        self.assertIn("things_refused 100", metrics.render())


class ReportedLimitsTest(unittest.TestCase):
    """Each limit by names from outside has a counter and an event."""

    def check(self, daemon, counter, logs, event):
        self.assertEqual(daemon.metrics.get_value(counter), 1)
        self.assertTrue(any(event in line for line in logs.output), logs.output)

    def test_refused_endpoint(self):
        """Guards against a new endpoint that is not used, and nobody knows why."""
        run_fleet(self.refuse_endpoint)

    async def refuse_endpoint(self):
        async with Fleet((COORDINATOR,)) as fleet:
            await fleet.start_coordinators()
            await fleet.put_configuration(COORDINATOR, create_configuration())
            coordinator = fleet.coordinators[COORDINATOR]
            coordinator._fleet._endpoints._max_endpoints = 1
            with self.assertLogs("absl") as logs:
                for number, expected in ((0, 200), (1, 503), (0, 200)):
                    body = {**HEARTBEAT, "address": f"10.0.0.{number}:80"}
                    status, _ = await fleet.call_api(
                        COORDINATOR,
                        "POST",
                        f"/v1/endpoints/e{number}/heartbeat",
                        json.dumps(body).encode(),
                    )
                    self.assertEqual(status, expected)
            self.check(coordinator, "endpoints_refused", logs, "endpoint_refused")

    def test_refused_evacuation(self):
        """Guards against an order that is refused without a trace."""
        run_fleet(self.refuse_evacuation)

    async def refuse_evacuation(self):
        async with Fleet((COORDINATOR,)) as fleet:
            await fleet.start_coordinators()
            await fleet.put_configuration(COORDINATOR, create_configuration())
            path = "/v1/evacuations/a-1"
            with mock.patch(f"{REPLICA_MODULE}.MAX_EVACUATIONS", 0):
                with self.assertLogs("absl") as logs:
                    status, _ = await fleet.call_api(COORDINATOR, "PUT", path)
            self.assertEqual(status, 503)
            coordinator = fleet.coordinators[COORDINATOR]
            self.check(coordinator, "evacuations_refused", logs, "evacuation_refused")

    def test_shortened_prompt(self):
        """Guards against prompts that are served less well, and nobody knows why."""
        run_fleet(self.shorten_prompt)

    async def shorten_prompt(self):
        async def respond(endpoint, request, responder):
            await endpoint.respond(request, responder)

        async with Fleet((COORDINATOR,)) as fleet:
            await start_serving(fleet, respond)
            gateway = await fleet.start_gateway("10.1.0.8", PromptDialect())
            await fleet.wait_until_ready("10.1.0.8")
            await curio.sleep(0.6)
            parts = ",".join(f"p{number}" for number in range(100))
            headers = [(REQUEST_ID, "long"), (PARTS, parts)]
            with mock.patch(f"{DIALECT_MODULE}.Prompt", create_prompt):
                with self.assertLogs("absl") as logs:
                    status, _, _ = await fleet.send_request(
                        "10.1.0.8", "/idempotent/x", headers
                    )
            self.assertEqual(status, 200)
            self.check(gateway, "prompts_shortened", logs, "prompt_shortened")


if __name__ == "__main__":
    unittest.main()
