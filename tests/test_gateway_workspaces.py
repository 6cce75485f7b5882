"""Tests of workspaces over coordinators, gateways and endpoints."""

import contextlib
import json
import logging
import unittest
from unittest import mock

import curio

from buckthorndeal.gateway import _handler
from buckthorndeal.logs import EXTRA_FIELD
from tests.fleet_harness import (
    CALLER_PORT,
    GATEWAY,
    REQUEST_ID,
    Fleet,
    create_configuration,
    create_stream_events,
    run_fleet,
)

OTHER = "10.2.0.9"
COORDINATOR = "10.1.0.1"
KEY = "buckthorndeal-key"
NAME = "buckthorndeal-workspace"
ACME = {"name": "acme", "keys": ["k-acme"]}
BELL = {"name": "bell", "keys": ["k-bell"]}
# A configuration is in force within this time, on a host that is in touch.
APPLY_S = 4.0


def encode(version, *workspaces, **changes):
    """Return a configuration; routes under ``/open/`` allow anonymous callers."""
    body = json.loads(create_configuration(version, **changes))
    opened = {**body["routes"][0], "name": "open", "path_prefix": "/open/"}
    body["routes"].append({**opened, "allows_anonymous": True})
    body["workspaces"] = workspaces
    return json.dumps(body).encode()


async def respond(endpoint, request, responder):
    await endpoint.respond(request, responder)


async def send(fleet, host, key, target="/idempotent/", headers=()):
    """Send a request with a key; return the status."""
    status, _, _ = await send_in_full(fleet, host, key, target, headers)
    return status


async def send_in_full(fleet, host, key, target="/idempotent/", headers=()):
    given = [*headers] if key is None else [(KEY, key), *headers]
    return await fleet.send_request(host, target, given)


async def wait_for_status(fleet, host, key, status, target="/idempotent/x/ready"):
    while await send(fleet, host, key, target) != status:
        await curio.sleep(0.05)


async def start(fleet, *workspaces, domain="a-1", hosts=(GATEWAY,), **changes):
    """Start a deployment with one endpoint; wait until all hosts serve ``acme``."""
    await fleet.start_coordinators()
    await fleet.put_configuration(COORDINATOR, encode(1, *workspaces, **changes))
    for host in hosts:
        await fleet.start_gateway(host)
    await fleet.start_endpoint("e0", domain, respond)
    for host in hosts:
        await wait_for_status(fleet, host, "k-acme", 200)
    await curio.sleep(0.6)


@contextlib.contextmanager
def hold_back_configurations(gateway):
    """Keep a gateway at its configuration, as one that is out of touch."""
    held = []

    async def hold(configuration):
        held.append(configuration)

    with mock.patch.object(gateway._control, "_apply_configuration", hold):
        yield held


class AuthenticationTest(unittest.TestCase):
    """A request needs a key of the configuration unless its route needs none."""

    def test_keys_and_statuses(self):
        """Guards against running a request without a known key, at each kind of route.

        An unknown route is told first, as only a route says whether it needs a key.
        """

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME, BELL)
                requests = fleet.endpoints["e0"].requests
                for target in ("/idempotent/", "/non_idempotent/", "/stream/"):
                    for key in (None, "", "k-other"):
                        self.assertEqual(await send(fleet, GATEWAY, key, target), 401)
                self.assertEqual(await send(fleet, GATEWAY, "k-other", "/open/"), 401)
                self.assertEqual(requests, [])
                self.assertEqual(await send(fleet, GATEWAY, None, "/nothing/"), 404)
                self.assertEqual(await send(fleet, GATEWAY, "k-acme"), 200)
                self.assertEqual(await send(fleet, GATEWAY, "k-bell", "/open/"), 200)
                self.assertEqual(await send(fleet, GATEWAY, None, "/open/"), 200)
                names = [request.headers.get(NAME) for request in requests]
                self.assertEqual(names, ["acme", "bell", None])

        run_fleet(test)

    def test_refusal_says_that_nothing_has_run(self):
        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME)
                answer = await send_in_full(fleet, GATEWAY, "k-other")
                status, headers, body = answer
                self.assertEqual(status, 401)
                self.assertEqual(headers["buckthorndeal-verdict"], "not_run")
                self.assertEqual(json.loads(body)["error"]["code"], "unauthorized")

        run_fleet(test)

    def test_endpoint_gets_the_name_and_never_the_key(self):
        """Guards against a leaked key, and against a caller that names itself."""

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME)
                forged = [(NAME, "bell"), ("authorization", "Bearer own")]
                await send(fleet, GATEWAY, "k-acme", headers=forged)
                await send(fleet, GATEWAY, None, "/open/", headers=forged)
                first, second = fleet.endpoints["e0"].requests
                self.assertEqual(first.headers[NAME], "acme")
                self.assertNotIn(NAME, second.headers)
                for request in (first, second):
                    self.assertEqual(request.headers["authorization"], "Bearer own")
                    self.assertNotIn("k-acme", str(request.headers))

        run_fleet(test)

    def test_configuration_without_workspaces(self):
        """Guards against a change for deployments that have no workspaces."""

        async def test():
            async with Fleet() as fleet:
                await start(fleet)
                headers = [(NAME, "forged"), ("authorization", "Bearer x")]
                for key in (None, "any"):
                    status = await send(fleet, GATEWAY, key, headers=headers)
                    self.assertEqual(status, 200)
                for request in fleet.endpoints["e0"].requests:
                    self.assertEqual(request.headers["authorization"], "Bearer x")
                    self.assertNotIn(NAME, request.headers)
                    self.assertNotIn(KEY, request.headers)
                metrics = fleet.gateways[GATEWAY].metrics.render()
                self.assertNotIn("workspace_requests{", metrics)

        run_fleet(test)

    def test_host_without_a_configuration(self):
        """Guards against telling a caller that its key is wrong after a restart."""

        async def test():
            async with Fleet() as fleet:
                await fleet.start_gateway(GATEWAY)
                for key in (None, "k-acme"):
                    answer = await send_in_full(fleet, GATEWAY, key)
                    status, headers, _ = answer
                    self.assertEqual(status, 503)
                    self.assertIn("retry-after", headers)

        run_fleet(test)

    def test_logs_and_metrics(self):
        """Guards against keys in logs, and requests whose workspace nobody sees."""

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME)
                with self.assertLogs("absl", logging.DEBUG) as logs:
                    await send(fleet, GATEWAY, "k-acme")
                    await send(fleet, GATEWAY, "k-other")
                    await curio.sleep(0.1)
                fields = [getattr(each, EXTRA_FIELD, {}) for each in logs.records]
                ended = [
                    (each["workspace"], each["outcome"])
                    for each in fields
                    if "outcome" in each and "workspace" in each
                ]
                self.assertIn((None, "unauthorized"), ended)
                written = str(fields) + str(logs.output)
                rendered = fleet.gateways[GATEWAY].metrics.render()
                for text in (written, rendered):
                    self.assertNotIn("k-acme", text)
                    self.assertNotIn("k-other", text)
                series = 'workspace_requests{outcome="answered",workspace="acme"}'
                self.assertIn(series, rendered)

        run_fleet(test)


class ConfigurationChangeTest(unittest.TestCase):
    """Keys come and go with configurations, also on connections that are kept."""

    def test_key_is_removed_while_a_connection_and_a_stream_go_on(self):
        """Guards against a key that holds as long as its connection is kept.

        What is running goes on under the version under which it was accepted.
        """

        async def script(endpoint, request, responder):
            await endpoint.start_stream(request, responder)
            await responder.send(create_stream_events(0, 1))
            await endpoint.fleet.may_end.wait()
            await responder.send(create_stream_events(2, 3))
            await responder.finish()

        async def test():
            async with Fleet() as fleet:
                fleet.may_end = curio.Event()
                await start(fleet, ACME, BELL)
                fleet.endpoints["e0"].script = script
                kept = fleet.create_pool(GATEWAY, CALLER_PORT)
                head = [("host", "x.example"), (REQUEST_ID, "q1"), (KEY, "k-acme")]
                target = "/idempotent/x/ready"
                status, _, _ = await kept.fetch("POST", target, head, b"")
                self.assertEqual(status, 200)
                pool = fleet.create_pool(GATEWAY, CALLER_PORT)
                async with pool.request("POST", "/stream/", head, b"") as response:
                    received = await response.read_part()
                    removed = encode(2, {**ACME, "keys": ["k-new"]}, BELL)
                    await fleet.put_configuration(COORDINATOR, removed)
                    async with curio.timeout_after(APPLY_S):
                        while status == 200:
                            status, _, _ = await kept.fetch("POST", target, head, b"")
                    self.assertEqual(status, 401)
                    await fleet.may_end.set()
                    while part := await response.read_part():
                        received += part
                self.assertEqual(received, create_stream_events(0, 3))
                self.assertEqual(await send(fleet, GATEWAY, "k-new", target), 200)
                self.assertEqual(await send(fleet, GATEWAY, "k-bell", target), 200)

        run_fleet(test)

    def test_resent_and_invalid_configurations(self):
        """Guards against an operator who cannot tell whether a change is stored."""

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME)
                for _ in range(2):
                    status, answer = await fleet.put_configuration(
                        COORDINATOR, encode(1, ACME)
                    )
                    self.assertEqual(status, 200, answer)
                twice = encode(2, ACME, {**BELL, "keys": ["k-acme"]})
                status, answer = await fleet.put_configuration(COORDINATOR, twice)
                self.assertEqual(status, 400)
                self.assertNotIn(b"k-acme", answer)
                self.assertEqual(await send(fleet, GATEWAY, "k-acme"), 200)

        run_fleet(test)

    def test_10_000_workspaces_and_a_key_of_8_kib(self):
        """Guards against a configuration that is acknowledged and never in force."""

        async def test():
            async with Fleet() as fleet:
                await start(fleet, ACME)
                many = [
                    {"name": f"w{number}", "keys": [f"{number}-{'k' * 40}"]}
                    for number in range(10_000)
                ]
                long_key = "k" * 8_192
                many.append({"name": "long", "keys": [long_key]})
                status, answer = await fleet.put_configuration(
                    COORDINATOR, encode(2, *many)
                )
                self.assertEqual(status, 200, answer)
                last_key = many[9_999]["keys"][0]
                await wait_for_status(fleet, GATEWAY, last_key, 200)
                self.assertEqual(await send(fleet, GATEWAY, long_key), 200)
                self.assertEqual(await send(fleet, GATEWAY, long_key[:-1]), 401)
                self.assertEqual(await send(fleet, GATEWAY, "k-acme"), 401)
                request = fleet.endpoints["e0"].requests[-1]
                self.assertEqual(request.headers[NAME], "long")

        run_fleet(test)


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
                handler = fleet.gateways[OTHER]._forward_server
                received = []
                original = handler._handler

                async def record(request, responder):
                    received.append(request.headers)
                    await original(request, responder)

                with mock.patch.object(handler, "_handler", record):
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
