"""Tests of gateways that lose their path to all endpoints."""

import itertools
import unittest

import curio

from buckthorndeal.errors import RequestError
from tests.fleet_harness import CALLER_PORT, REQUEST_ID, Fleet, run_fleet
from tests.path_harness import (
    HOST,
    LAST_EVENT,
    PLAY_S,
    RELAY,
    SLOW_WORK_S,
    THIRD,
    start_hosts,
)

# Share of the first attempts that has to be served, against those at other hosts.
MIN_SERVED_SHARE = 2 / 3
REQUESTS = 30
SPACING_S = 0.03
# Time for which nothing is asked of a host after its path is gone.
NOTICE_S = 4.5
# Time in which it uses its path again.
RETURN_S = 2.0


async def count_served(fleet, host, kind):
    """Send requests close together; return how many are answered with 200."""
    async with curio.TaskGroup() as group:
        for number in range(REQUESTS):
            target = f"/{kind}/{number}"
            await group.spawn(fleet.send_request, host, target)
            await curio.sleep(SPACING_S)
    return sum(status == 200 for status, _, _ in group.results)


class LostPathTest(unittest.TestCase):
    """Callers of a host without a path to endpoints are served through others."""

    def check_requests(self, manner, kind):
        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY))
                await transports[HOST].cut(manner)
                # Traffic shows the loss.
                await count_served(fleet, HOST, kind)
                await curio.sleep(NOTICE_S)
                served = await count_served(fleet, HOST, kind)
                others = await count_served(fleet, RELAY, kind)
                self.assertGreaterEqual(served, MIN_SERVED_SHARE * others, manner)
                transports[HOST].heal()
                await curio.sleep(RETURN_S)
                dispatcher = fleet.gateways[HOST]._dispatch._dispatcher
                self.assertFalse(dispatcher.reach.is_lost)
                self.assertEqual(await count_served(fleet, HOST, kind), REQUESTS)

        run_fleet(check)

    def test_callers_of_a_host_whose_connections_hang_are_served(self):
        self.check_requests("hang", "idempotent")

    def test_callers_of_a_host_whose_connections_are_reset_are_served(self):
        self.check_requests("reset", "non_idempotent")

    def test_callers_of_a_host_that_opens_no_connections_are_served(self):
        self.check_requests("refuse", "non_idempotent")

    def test_streams_go_on_through_another_host_when_the_path_is_lost(self):
        for manner in ("hang", "reset"):
            run_fleet(self.check_stream, manner)

    def test_request_under_way_is_answered_by_another_host(self):
        """Guards against a request that waits for a path that does not come back."""

        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY))
                task = await curio.spawn(fleet.send_request, HOST, "/idempotent/slow")
                await curio.sleep(PLAY_S)
                await transports[HOST].cut("hang")
                await fleet.send_request(HOST, "/idempotent/x")
                status, _, _ = await task.join()
                self.assertEqual(status, 200)

        run_fleet(check)

    def test_lookup_at_a_relay_that_loses_its_path_is_answered(self):
        """Guards against a request that waits for the path of another host."""

        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY, THIRD))
                await transports[HOST].cut("hang")
                await fleet.send_request(HOST, "/idempotent/x")
                await curio.sleep(NOTICE_S)
                relays = fleet.gateways[HOST]._dispatch._dispatcher.relays
                task = await curio.spawn(fleet.send_request, HOST, "/idempotent/slow")
                while not relays._sent:
                    await curio.sleep(0.01)
                (relay,) = relays._sent.values()
                await curio.sleep(SLOW_WORK_S / 4)
                await transports[relay].cut("hang")
                # A caller's attempt of a new request shows the loss of the path.
                await curio.spawn(
                    fleet.send_request, relay, "/idempotent/x", daemon=True
                )
                status, _, _ = await task.join()
                self.assertEqual(status, 200)

        run_fleet(check)

    async def check_stream(self, manner):
        async with Fleet() as fleet:
            transports = await start_hosts(fleet, (HOST, RELAY))
            task = await curio.spawn(read_events, fleet, HOST)
            await curio.sleep(1.0)
            await transports[HOST].cut(manner)
            # A caller's attempt of a new request shows the loss of the path.
            await fleet.send_request(HOST, "/idempotent/x")
            times_s = await task.join()
            self.assertEqual(len(times_s), LAST_EVENT, manner)
            gaps_s = [after - before for before, after in itertools.pairwise(times_s)]
            # Callers leave after two seconds without an event.
            self.assertLess(max(gaps_s), 2.0, manner)


async def read_events(fleet, host):
    """Return the clock readings at which the events of a stream have arrived."""
    pool = fleet.create_pool(host, CALLER_PORT)
    headers = [("host", "x.example"), (REQUEST_ID, "stream")]
    times_s = []
    try:
        async with pool.request("POST", "/stream/x", headers, b"x") as response:
            while part := await response.read_part():
                count = part.count(b"id: ")
                times_s.extend([await curio.clock()] * count)
    except RequestError:
        pass
    return times_s


if __name__ == "__main__":
    unittest.main()
