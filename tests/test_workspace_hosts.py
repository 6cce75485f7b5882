"""Tests of workspaces over several hosts, which may disagree on the configuration."""

import unittest
from unittest import mock

import curio

from buckthorndeal.gateway import _handler
from tests.fleet_harness import (
    GATEWAY,
    Fleet,
    run_fleet,
)
from tests.workspace_harness import (
    ACME,
    BELL,
    COORDINATOR,
    NAME,
    OTHER,
    encode,
    hold_back_configurations,
    respond,
    send,
    send_in_full,
    start,
    wait_for_status,
)


class SeveralHostsTest(unittest.TestCase):
    """A request keeps its workspace and its home regions from host to host."""

    HOSTS = (GATEWAY, OTHER)

    def test_name_travels_between_hosts(self):
        """Guards against a request that loses its workspace in another region."""

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME, domain="b-1", hosts=self.HOSTS)
                self.assertEqual(await send(fleet, GATEWAY, "k-acme"), 200)
                headers = fleet.endpoints["e0"].requests[-1].headers
                self.assertEqual(headers[NAME], "acme")
                self.assertNotIn("k-acme", str(headers))
                self.assertEqual(await send(fleet, GATEWAY, None, "/open/"), 200)
                headers = fleet.endpoints["e0"].requests[-1].headers
                self.assertNotIn(NAME, headers)

        run_fleet(test)

    def test_key_is_not_sent_to_the_next_host(self):
        """Guards against keys on links between hosts, of which there are many more."""

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME, domain="b-1", hosts=self.HOSTS)
                running = fleet.gateways[OTHER]._forward_server._running
                received = []
                original = running._handler

                async def record(request, responder):
                    received.append(request.headers)
                    await original(request, responder)

                with mock.patch.object(running, "_handler", record):
                    await send(fleet, GATEWAY, "k-acme", headers=[(NAME, "bell")])
                self.assertEqual(len(received), 1)
                self.assertEqual(received[0][NAME], "acme")
                self.assertNotIn("k-acme", str(received[0]))

        run_fleet(test)

    def test_home_regions_of_a_workspace(self):
        """Guards against a body outside the home regions, forwarded or not."""

        async def test():
            async with Fleet() as fleet:
                at_home = {**BELL, "home_regions": ["b"]}
                away = {"name": "away", "keys": ["k-away"], "home_regions": ["a"]}
                await start(fleet, ACME, at_home, away, domain="b-1", hosts=self.HOSTS)
                self.assertEqual(await send(fleet, GATEWAY, "k-bell"), 200)
                count = len(fleet.endpoints["e0"].requests)
                for host in self.HOSTS:
                    answer = await send_in_full(fleet, host, "k-away")
                    status, headers, _ = answer
                    self.assertEqual(status, 503)
                    self.assertEqual(headers["buckthorndeal-verdict"], "not_run")
                    self.assertIn("retry-after", headers)
                self.assertEqual(len(fleet.endpoints["e0"].requests), count)

        run_fleet(test)

    def test_receiving_host_with_an_older_configuration(self):
        """Guards against running what a host knows no homes of, and a lost region.

        The refusal of one workspace must not keep the requests of others from the
        region, as a host may stay at its version for long.
        """

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME, domain="b-1", hosts=self.HOSTS)
                other = fleet.gateways[OTHER]
                requests = fleet.endpoints["e0"].requests
                with hold_back_configurations(other) as held:
                    await fleet.put_configuration(COORDINATOR, encode(2, ACME, BELL))
                    await wait_for_status(fleet, GATEWAY, "k-bell", 503)
                    for _ in range(10):
                        answer = await send_in_full(fleet, GATEWAY, "k-bell")
                        status, headers, _ = answer
                        self.assertEqual(status, 503)
                        self.assertEqual(headers["buckthorndeal-verdict"], "not_run")
                        self.assertIn("retry-after", headers)
                        self.assertEqual(requests, [])
                        self.assertEqual(await send(fleet, GATEWAY, "k-acme"), 200)
                        requests.clear()
                    while not held:
                        await curio.sleep(0.05)
                await other._apply_configuration(held[-1])
                self.assertEqual(await send(fleet, GATEWAY, "k-bell"), 200)

        run_fleet(test)

    def test_sending_host_with_an_older_configuration(self):
        """Guards against the sender's homes, or its lack of keys, prevailing."""

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME, BELL, domain="b-1", hosts=self.HOSTS)
                requests = fleet.endpoints["e0"].requests
                with hold_back_configurations(fleet.gateways[GATEWAY]):
                    newer = encode(2, {**BELL, "home_regions": ["a"]})
                    await fleet.put_configuration(COORDINATOR, newer)
                    await wait_for_status(fleet, OTHER, "k-acme", 401)
                    for key in ("k-acme", "k-bell"):
                        self.assertEqual(await send(fleet, GATEWAY, key), 503)
                    self.assertEqual(requests, [])
                    self.assertEqual(await send(fleet, GATEWAY, None, "/open/"), 200)

        run_fleet(test)

    def test_sending_host_that_knows_no_workspaces(self):
        """Guards against a request without a key that an older version lets through."""

        async def test():
            async with Fleet() as fleet:
                await start(fleet, domain="b-1", hosts=self.HOSTS)
                with hold_back_configurations(fleet.gateways[GATEWAY]):
                    await fleet.put_configuration(COORDINATOR, encode(2, ACME))
                    await wait_for_status(fleet, OTHER, None, 401)
                    self.assertEqual(await send(fleet, GATEWAY, None), 503)
                    self.assertEqual(fleet.endpoints["e0"].requests, [])

        run_fleet(test)

    def test_home_regions_at_a_relay_within_the_region(self):
        """Guards against a relay that sends a request out of its home regions.

        The first host reaches no endpoint and passes requests on to the second one.
        """
        relay = "10.1.0.8"

        async def test():
            async with Fleet() as fleet:
                at_home = {**BELL, "home_regions": ["a"]}
                hosts = (GATEWAY, relay, OTHER)
                await start(fleet, ACME, at_home, hosts=hosts)
                await fleet.start_endpoint("e1", "b-1", respond)
                reach = type(fleet.gateways[GATEWAY]._dispatch._dispatcher.reach)
                own = fleet.gateways[GATEWAY]._dispatch._dispatcher.reach
                own.path.suspected_s = 0.0
                with mock.patch.object(
                    reach, "is_lost", property(lambda each: each is own)
                ):
                    await wait_for_status(fleet, GATEWAY, "k-bell", 200)
                    count = fleet.gateways[relay].metrics.get_value(
                        "requests", outcome="answered"
                    )
                    self.assertEqual(await send(fleet, GATEWAY, "k-bell"), 200)
                    self.assertEqual(
                        fleet.gateways[relay].metrics.get_value(
                            "requests", outcome="answered"
                        ),
                        count + 1,
                    )
                    name = fleet.endpoints["e0"].requests[-1].headers[NAME]
                    self.assertEqual(name, "bell")
                    await fleet.gateways.pop(relay).close()
                    for _ in range(10):
                        status = await send(fleet, GATEWAY, "k-bell")
                        self.assertEqual(status, 503)
                        await curio.sleep(0.1)
                self.assertEqual(fleet.endpoints["e1"].requests, [])
                # Its host would refuse what it must not have been sent.
                refused = fleet.gateways[OTHER].metrics.get_value(
                    "requests", outcome="home_elsewhere"
                )
                self.assertEqual(refused, 0)

        run_fleet(test)

    def test_last_host_of_the_home_region_drains(self):
        """Guards against a rolling restart that leaves a workspace without a host.

        The other host passes its requests on to the draining one until that has a
        replacement.
        """

        async def test():
            async with Fleet() as fleet:
                at_home = {**BELL, "home_regions": ["a"]}
                await start(fleet, ACME, at_home, hosts=self.HOSTS)
                await wait_for_status(fleet, OTHER, "k-bell", 200)
                drain_task = await curio.spawn(fleet.gateways[GATEWAY].drain)
                # Far longer than `drain_notice_s`.
                await curio.sleep(1)
                self.assertEqual(await send(fleet, OTHER, "k-bell"), 200)
                self.assertEqual(await send(fleet, GATEWAY, "k-bell"), 200)
                self.assertFalse(drain_task.terminated)
                await fleet.start_gateway("10.1.0.8")
                await drain_task.join()
                await wait_for_status(fleet, OTHER, "k-bell", 200)

        run_fleet(test)

    def test_request_has_one_name_at_all_hosts(self):
        """Guards against evidence on a crashing request that no other host can use."""
        digests = {}

        class RecordingExchange(_handler.Exchange):
            def __init__(self, context, call, request, responder):
                digests.setdefault(context.host, call.content.digest)
                super().__init__(context, call, request, responder)

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME, domain="b-1", hosts=self.HOSTS)
                with mock.patch.object(_handler, "Exchange", RecordingExchange):
                    await send(fleet, GATEWAY, "k-acme")

        run_fleet(test)
        self.assertEqual(set(digests), set(self.HOSTS))
        self.assertEqual(len(set(digests.values())), 1)


if __name__ == "__main__":
    unittest.main()
