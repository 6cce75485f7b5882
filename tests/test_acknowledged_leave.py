"""Tests that an acknowledged drain or leave outlives the coordinators that know it."""

import unittest
from unittest import mock

import curio
import msgspec

from buckthorndeal.coordinator import _relay
from buckthorndeal.coordinator._state_store import DiskStateStore
from tests.fleet_harness import GATEWAY, Fleet, run_fleet, start_serving

COORDINATORS = ("10.1.0.1", "10.2.0.1", "10.3.0.1")
# Times longer than a heartbeat takes to reach all entry hosts.
SPREAD_S = 0.6
REQUESTS = 10
# Nothing is acknowledged before the voters are known, and late on a busy machine.
ACKNOWLEDGE_LIMIT_S = 10.0


async def respond(endpoint, request, responder):
    await endpoint.respond(request, responder)


async def fail_to_call(links, host, message):
    return False


class DepartureTest(unittest.TestCase):
    """Requests and heartbeats after a drain or leave was acknowledged."""

    async def start(self, fleet):
        """Start all, and return an endpoint that sends no more heartbeats itself."""
        await start_serving(fleet, respond)
        endpoint = fleet.endpoints["e0"]
        await endpoint._task.cancel()
        return endpoint

    async def leave(self, fleet, host, incarnation=1):
        """Report a leave until it is acknowledged, as endpoints do."""
        body = msgspec.json.encode({"incarnation": incarnation})
        status = 503
        async with curio.timeout_after(ACKNOWLEDGE_LIMIT_S):
            while status == 503:
                status, _ = await fleet.call_api(
                    host, "POST", "/v1/endpoints/e0/leave", body
                )
        self.assertEqual(status, 200)

    async def drain(self, endpoint, host):
        endpoint.state = {"draining": True}
        async with curio.timeout_after(ACKNOWLEDGE_LIMIT_S):
            while not await endpoint.send_heartbeat(host):
                await curio.sleep(0.1)
        endpoint.state = {}

    async def restart(self, fleet, hosts):
        """Restart coordinators and the entry host at once."""
        await fleet.gateways.pop(GATEWAY).close()
        for host in hosts:
            await fleet.stop_coordinator(host)
        for host in hosts:
            await fleet.start_coordinator(host)
        await fleet.start_gateway(GATEWAY)

    async def deliver_late(self, endpoint, host):
        """Deliver a heartbeat that was sent before the departure."""
        async with curio.timeout_after(ACKNOWLEDGE_LIMIT_S):
            while not await endpoint.send_heartbeat(host):
                await curio.sleep(0.1)
        await curio.sleep(SPREAD_S)

    async def check_no_requests(self, fleet, endpoint):
        known = len(endpoint.requests)
        for number in range(REQUESTS):
            await fleet.send_request(GATEWAY, f"/idempotent/{number}")
        self.assertEqual(len(endpoint.requests) - known, 0)

    def test_leave_holds_after_a_restart_of_all_hosts(self):
        """Guards against a late heartbeat that brings an endpoint back."""
        run_fleet(self.check_restart, "leave", COORDINATORS)

    def test_drain_holds_after_a_restart_of_all_hosts(self):
        """Guards against a late heartbeat that makes an endpoint ready again."""
        run_fleet(self.check_restart, "drain", COORDINATORS)

    def test_leave_holds_after_a_restart_of_its_coordinator(self):
        """Guards against a leave that only one coordinator knows."""
        run_fleet(self.check_restart, "leave", COORDINATORS[:1])

    async def check_restart(self, departure, restarted):
        async with Fleet() as fleet:
            endpoint = await self.start(fleet)
            if departure == "leave":
                await self.leave(fleet, COORDINATORS[0])
            else:
                await self.drain(endpoint, COORDINATORS[0])
            await self.restart(fleet, restarted)
            await self.deliver_late(endpoint, COORDINATORS[0])
            await self.check_no_requests(fleet, endpoint)

    def test_restarted_endpoint_serves_after_a_restart_of_all_hosts(self):
        """Guards against a departure that shuts out the next incarnation."""

        async def test():
            async with Fleet() as fleet:
                endpoint = await self.start(fleet)
                await self.leave(fleet, COORDINATORS[0])
                await self.restart(fleet, COORDINATORS)
                endpoint.incarnation = 2
                await self.deliver_late(endpoint, COORDINATORS[0])
                status, _, _ = await fleet.send_request(GATEWAY, "/idempotent/")
                self.assertEqual(status, 200)

        run_fleet(test)

    def test_leave_of_an_unknown_endpoint_holds(self):
        """Guards against a leave that is overtaken by the first heartbeat."""

        async def test():
            async with Fleet() as fleet:
                endpoint = await self.start(fleet)
                await self.leave(fleet, COORDINATORS[2], incarnation=2)
                endpoint.incarnation = 2
                await self.deliver_late(endpoint, COORDINATORS[1])
                await self.check_no_requests(fleet, endpoint)

        run_fleet(test)

    def test_drain_that_no_majority_has_is_not_acknowledged_when_repeated(self):
        """Guards against a second heartbeat that is acknowledged without a relay."""

        async def test():
            async with Fleet() as fleet:
                endpoint = await self.start(fleet)
                endpoint.state = {"draining": True}
                with mock.patch.object(_relay, "_call_host", fail_to_call):
                    for _ in range(3):
                        acknowledged = await endpoint.send_heartbeat(COORDINATORS[0])
                        self.assertFalse(acknowledged)
                self.assertTrue(await endpoint.send_heartbeat(COORDINATORS[0]))

        run_fleet(test)

    def test_drain_is_acknowledged_while_one_disk_refuses_writes(self):
        """Guards against an endpoint whose drain one full disk keeps from an ack."""

        async def test():
            async with Fleet() as fleet:
                endpoint = await self.start(fleet)
                directory = fleet.directories[COORDINATORS[0]].name
                save = DiskStateStore.save

                def refuse(store, records):
                    if store._directory == directory:
                        raise OSError("the disk is full")
                    save(store, records)

                with mock.patch.object(DiskStateStore, "save", refuse):
                    await self.drain(endpoint, COORDINATORS[0])

        run_fleet(test)


if __name__ == "__main__":
    unittest.main()
