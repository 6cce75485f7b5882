"""Tests of regions whose hosts all lose their path to the endpoints for a while."""

import unittest

import curio

from tests.fleet_harness import Fleet, create_stream_events, run_fleet
from tests.path_harness import HOST, LAST_EVENT, PLAY_S, RELAY, answer, start_hosts

SILENCE_S = 1.9
# Between the time after which a stream may continue elsewhere, and its whole limit.
LONG_SILENCE_S = 2.6


class SilentRegionTest(unittest.TestCase):
    """Nothing is given up on a lost path before it is taken over elsewhere."""

    def play(self, target, others=0, silence_s=SILENCE_S, noticing=(HOST, RELAY)):
        """Cut two hosts off for a while; return the answer to a request of that time.

        `others` is the number of endpoints of another service that are still reached,
        and `noticing` are the hosts that notice the cut at once.
        """
        result = {}

        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY))
                for number in range(others):
                    name = f"other{number}"
                    await fleet.start_endpoint(name, "a-1", answer, service="t")
                reached = {fleet.endpoints[f"other{each}"] for each in range(others)}
                cut_off = set(fleet.endpoints.values()) - reached
                addresses = {endpoint.address for endpoint in cut_off}
                await curio.sleep(1.0)
                task = await curio.spawn(fleet.send_request, HOST, target)
                await curio.sleep(PLAY_S)
                for transport in transports.values():
                    transport._is_cut_off = addresses.__contains__
                    await transport.cut("hang")
                for host in noticing:
                    # A caller's attempt of a new request shows the loss of the path.
                    await curio.spawn(
                        fleet.send_request, host, "/idempotent/x", daemon=True
                    )
                await curio.sleep(silence_s)
                result["lost"] = [
                    gateway._dispatch._dispatcher.reach.is_lost
                    for gateway in fleet.gateways.values()
                ]
                for transport in transports.values():
                    transport.heal()
                try:
                    result["answer"] = await task.join()
                except curio.TaskError as error:
                    result["answer"] = error.__cause__

        run_fleet(check)
        return result

    def test_relayed_stream_goes_on_when_the_relay_hears_no_endpoint(self):
        """Guards against a relay that ends what nobody else can go on with (LOST)."""
        result = {}

        async def lose_path(fleet, host, transport):
            await transport.cut("hang")
            await curio.spawn(fleet.send_request, host, "/idempotent/x", daemon=True)
            reach = fleet.gateways[host]._dispatch._dispatcher.reach
            while not reach.is_lost:
                await curio.sleep(0.05)
            await curio.sleep(SILENCE_S / 2)

        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY))
                await lose_path(fleet, HOST, transports[HOST])
                task = await curio.spawn(fleet.send_request, HOST, "/stream/x")
                await curio.sleep(PLAY_S)
                await lose_path(fleet, RELAY, transports[RELAY])
                transports[RELAY].heal()
                try:
                    result["answer"] = await task.join()
                except curio.TaskError as error:
                    result["answer"] = error.__cause__

        run_fleet(check)
        self.check_stream(result)

    def check_stream(self, result):
        self.assertIsInstance(result["answer"], tuple, result)
        self.assertEqual(result["answer"][2], create_stream_events(1, LAST_EVENT))

    def test_stream_goes_on_when_no_host_reaches_an_endpoint(self):
        """Guards against a stream that is ended before its silence is over (LOST)."""
        result = self.play("/stream/x")
        self.assertEqual(result["lost"], [True, True])
        self.check_stream(result)

    def test_request_is_answered_when_its_endpoint_goes_on(self):
        """Guards against a request that is ended while nobody else takes it (LOST)."""
        result = self.play("/idempotent/slow")
        self.assertEqual(result["lost"], [True, True])
        self.assertEqual(result["answer"][0], 200, result)

    def test_stream_goes_on_when_the_relay_cannot_connect(self):
        """Guards against a relay that is believed before it reaches an endpoint."""
        self.check_stream(self.play("/stream/x", noticing=(HOST,)))

    def test_stream_goes_on_when_other_endpoints_accept_no_connection(self):
        """Guards against a grant that is taken for a connection (LOST)."""
        result = self.play("/stream/x", others=3, silence_s=LONG_SILENCE_S)
        self.assertEqual(result["lost"], [False, False])
        self.check_stream(result)


if __name__ == "__main__":
    unittest.main()
