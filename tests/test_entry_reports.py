"""Tests of relaying endpoint reports between the entry hosts of a region."""

import curio

from tests.support import answer_with
from tests.system import System, SystemCase

PROPAGATION_BOUND_S = 3.0


async def wait_for_state(system, hosts, name, state):
    started_s = await curio.clock()
    for host in hosts:
        while (await system.list_endpoints(host)).get(name) != state:
            await curio.sleep(0.01)
    return await curio.clock() - started_s


class EntryReportsTest(SystemCase):
    """Reports to one host reach the other hosts of its region, and only these."""

    def test_drain_and_leave_reach_every_host_of_the_region(self):
        """Guards against new requests to an endpoint that is leaving."""

        async def scenario(system):
            await system.announce("e1", "a", answer_with(b"1"))
            times = [await wait_for_state(system, ("e1", "e2"), "a", "ready")]
            for kind, state in (("drain", "draining"), ("leave", None)):
                await system.send_endpoint_message("e1", kind, name="a")
                times.append(await wait_for_state(system, ("e1", "e2"), "a", state))
            status, _ = await system.announce("e2", "a", answer_with(b"1"))
            return times, status, await system.list_endpoints("e3")

        times, late_status, other_region = self.run_system(scenario)
        self.assertLess(max(times), PROPAGATION_BOUND_S)
        self.assertEqual(
            late_status, 409, "a late announcement of an endpoint that has left"
        )
        self.assertEqual(other_region, {})

    def test_left_endpoint_expires_at_a_host_behind_a_cut_link(self):
        """Guards against an endpoint that stays listed where its leave is lost."""

        async def scenario(system):
            await system.announce("e1", "a", answer_with(b"1"))
            await wait_for_state(system, ("e2",), "a", "ready")
            system.shape.partition({"e1"}, {"e2"})
            await system.send_endpoint_message("e1", "leave", name="a")
            return await wait_for_state(system, ("e2",), "a", None)

        # The leave does not arrive, but the endpoint is silent and expires.
        self.assertLess(self.run_system(scenario), PROPAGATION_BOUND_S + 0.5)

    def test_restarted_host_learns_the_endpoints_from_their_loads(self):
        """Guards against a host that never learns of endpoints announced earlier."""

        async def scenario(system):
            await system.announce("e1", "a", answer_with(b"1"))
            await system.stop_host("e2")
            await system.start_host("e2")
            while "e1" not in await system.list_hosts("e2"):
                await curio.sleep(0.01)
            while (await system.list_endpoints("e2")).get("a") != "ready":
                await system.send_endpoint_message(
                    "e1", "heartbeat", name="a", running=3
                )
                await curio.sleep(0.1)

        self.run_system(scenario, System({"e1": "r1", "e2": "r1"}))
