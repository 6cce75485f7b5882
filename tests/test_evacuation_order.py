"""Tests that an order on an evacuation has no effect after a later one."""

import unittest

import curio

from buckthorndeal.errors import FrameError, PeerError, Verdict
from buckthorndeal.fleet import ProposeEvacuation, ReadLogPosition
from tests.fleet_harness import GATEWAY, Fleet, run_fleet, start_serving

COORDINATORS = ("10.1.0.1", "10.2.0.1", "10.3.0.1")
# Times longer than a change takes to reach all entry hosts.
SPREAD_S = 0.6
TARGET = "/v1/evacuations/a-1"


def leads(fleet, host):
    return fleet.coordinators[host].metrics.get_value("leads") == 1


async def respond(endpoint, request, responder):
    await endpoint.respond(request, responder)


class HeldUpOrderTest(unittest.TestCase):
    """A coordinator's call to the leader arrives after its caller has given up."""

    def hold_up(self, links):
        """Hold up the next order; return the event that lets it arrive."""
        call = links.call
        released = curio.Event()

        async def arrive_late(*args):
            await released.wait()
            await call(*args)

        async def hold_first(host, message, timeout_s):
            if not isinstance(message, ProposeEvacuation):
                return await call(host, message, timeout_s)
            links.call = call
            await curio.spawn(arrive_late, host, message, timeout_s, daemon=True)
            raise PeerError("no reply", Verdict.MAY_HAVE_RUN)

        links.call = hold_first
        return released

    async def order(self, fleet, host, method):
        status = 503
        while status == 503:
            status, _ = await fleet.call_api(host, method, TARGET)
        self.assertEqual(status, 200)

    async def check(self, held, orders, expected):
        """Hold up an order, give others, let it arrive, and send a request."""
        async with Fleet() as fleet:
            await start_serving(fleet, respond)
            leader = max(COORDINATORS, key=lambda host: leads(fleet, host))
            follower, other = (each for each in COORDINATORS if each != leader)
            if held == "DELETE":
                await self.order(fleet, leader, "PUT")
            released = self.hold_up(fleet.coordinators[follower]._links)
            status, _ = await fleet.call_api(follower, held, TARGET)
            self.assertEqual(status, 503)
            for number, method in enumerate(orders):
                await self.order(fleet, (leader, other)[number % 2], method)
            await released.set()
            await curio.sleep(SPREAD_S)
            status, _, _ = await fleet.send_request(GATEWAY, "/idempotent/")
            self.assertEqual(status, expected)

    def test_start_does_not_undo_a_later_end(self):
        """Guards against a failure domain that nobody evacuates and nobody uses."""
        run_fleet(self.check, "PUT", ("PUT", "DELETE"), 200)

    def test_end_does_not_undo_a_later_start(self):
        """Guards against requests to an evacuated failure domain."""
        run_fleet(self.check, "DELETE", ("DELETE", "PUT"), 503)

    def test_leader_of_an_older_build_takes_orders_of_a_follower(self):
        """Guards against orders that fail until a release is through."""

        async def scenario():
            async with Fleet() as fleet:
                await start_serving(fleet, respond)
                leader = max(COORDINATORS, key=lambda host: leads(fleet, host))
                service = fleet.coordinators[leader].service
                handle_call = service.handle_call

                async def handle_known_call(message):
                    if isinstance(message, ReadLogPosition):
                        raise FrameError("malformed payload: unknown tag")
                    return await handle_call(message)

                service.handle_call = handle_known_call
                follower = next(host for host in COORDINATORS if host != leader)
                status, _ = await fleet.call_api(follower, "PUT", TARGET)
                self.assertEqual(status, 200)

        run_fleet(scenario)

    def test_orders_through_a_follower_are_obeyed_in_turn(self):
        """Guards against an order that counts as outdated, though it is the last."""

        async def test():
            async with Fleet() as fleet:
                await start_serving(fleet, respond)
                for number in range(6):
                    host = COORDINATORS[number % len(COORDINATORS)]
                    for method, expected in (("PUT", 503), ("DELETE", 200)):
                        status, _ = await fleet.call_api(host, method, TARGET)
                        self.assertEqual(status, 200)
                        await curio.sleep(SPREAD_S)
                        status, _, _ = await fleet.send_request(GATEWAY, "/idempotent/")
                        self.assertEqual(status, expected)

        run_fleet(test)


if __name__ == "__main__":
    unittest.main()
