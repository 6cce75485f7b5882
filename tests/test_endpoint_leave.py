"""Tests of leaves that reach a coordinator which does not know the endpoint."""

import unittest

import curio
import msgspec

from tests.fleet_harness import GATEWAY, Fleet, run_fleet, start_serving

OTHER_COORDINATOR = "10.3.0.1"
LATE_GATEWAY = "10.1.0.10"
NOTICE_S = 1.0
# Times longer than a leave may take to reach all entry hosts.
SPREAD_S = 0.6
REQUESTS = 10


async def respond(endpoint, request, responder):
    await endpoint.respond(request, responder)


class LeaveTest(unittest.TestCase):
    """A leave that is acknowledged holds at all entry hosts."""

    def test_leave_at_another_coordinator_is_not_acknowledged_and_lost(self):
        """Guards against requests at an endpoint whose leave was acknowledged."""
        run_fleet(self.leave, 1, 0)

    def test_leave_of_an_earlier_incarnation_does_not_shut_out_the_next(self):
        """Guards against a late leave that ends a restarted endpoint."""
        run_fleet(self.leave, 0, REQUESTS)

    async def leave(self, incarnation, expected):
        async with Fleet() as fleet:
            await start_serving(fleet, respond)
            endpoint = fleet.endpoints["e0"]
            body = msgspec.json.encode({"incarnation": incarnation})
            status, _ = await fleet.call_api(
                OTHER_COORDINATOR, "POST", "/v1/endpoints/e0/leave", body
            )
            self.assertEqual(status, 200)
            await curio.sleep(SPREAD_S)
            known = len(endpoint.requests)
            for number in range(REQUESTS):
                await fleet.send_request(GATEWAY, f"/idempotent/{number}")
            self.assertEqual(len(endpoint.requests) - known, expected)


class NoticeTest(unittest.TestCase):
    """A notice to leave runs out at the same time for all hosts."""

    def test_notice_does_not_begin_anew_at_a_host_that_connects_later(self):
        """Guards against requests at an endpoint whose time has run out."""
        run_fleet(self.connect_after_the_notice)

    async def connect_after_the_notice(self):
        async with Fleet() as fleet:
            await start_serving(fleet, respond, endpoints=2)
            endpoint = fleet.endpoints["e1"]
            endpoint.state["leaves_in_s"] = NOTICE_S
            await endpoint.send_heartbeat()
            await endpoint.fall_silent()
            await curio.sleep(NOTICE_S + 0.2)
            await fleet.start_gateway(LATE_GATEWAY)
            await fleet.wait_until_ready(LATE_GATEWAY)
            for number in range(REQUESTS):
                await fleet.send_request(LATE_GATEWAY, f"/idempotent/{number}")
            self.assertEqual(endpoint.requests, [])
            self.assertEqual(len(fleet.endpoints["e0"].requests), REQUESTS)


if __name__ == "__main__":
    unittest.main()
