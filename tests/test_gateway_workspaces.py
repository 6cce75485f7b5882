"""Tests of workspaces at one gateway, with coordinators and endpoints."""

import json
import logging
import unittest

import curio

from buckthorndeal.logs import EXTRA_FIELD
from tests.fleet_harness import (
    CALLER_PORT,
    GATEWAY,
    REQUEST_ID,
    Fleet,
    create_stream_events,
    run_fleet,
)
from tests.workspace_harness import (
    ACME,
    APPLY_S,
    BELL,
    COORDINATOR,
    KEY,
    NAME,
    encode,
    send,
    send_in_full,
    start,
    wait_for_status,
)


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


if __name__ == "__main__":
    unittest.main()
