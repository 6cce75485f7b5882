"""Tests of the memory that daemons hold for requests."""

import json
import unittest

import curio
import msgspec

from buckthorndeal._http_incomplete import create_incomplete_requests
from buckthorndeal._http_protocol import create_protocol
from buckthorndeal._http_reading import FREE_CHUNKS, RequestReader
from buckthorndeal.connections import create_connection_limits
from buckthorndeal.memory import SMALL_BYTES, MemoryAccount
from buckthorndeal.settings import Limits
from tests.fleet_harness import (
    API_PORT,
    CALLER_PORT,
    DIRECTORY_PORT,
    FORWARD_PORT,
    GATEWAY,
    READY_PORT,
    REQUEST_ID,
    Fleet,
    create_configuration,
    run_fleet,
    start_serving,
)
from tests.odd_entries import controlapi
from tests.raw_caller import read_answer
from tests.raw_request import create_head, start_unfinished

MIB = 1 << 20
CAPACITY_BYTES = 32 * MIB
BODY_BYTES = 4 * MIB
MANY = 120
COORDINATOR = "10.1.0.1"
CHUNKED_HEAD = b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
TIMEOUT_S = 20.0


async def respond(endpoint, request, responder):
    await endpoint.respond(request, responder)


class SilentStream:
    """Stream of a caller that sends nothing more."""

    async def recv(self, max_bytes):
        await curio.sleep(TIMEOUT_S)


class WaitingBodyTest(unittest.TestCase):
    """A body that waits for its turn is in the account with all that was read."""

    def test_undecoded_bytes_are_booked(self):
        """Guards against undecoded bytes of many bodies that count nowhere."""
        incomplete = create_incomplete_requests()
        account = MemoryAccount(CAPACITY_BYTES, lambda: 0.0)
        windows = create_connection_limits().windows
        reader = RequestReader(SilentStream(), account, incomplete, windows)
        protocol = create_protocol(Limits())
        # Of chunks in several sizes, no more than a slice is decoded at once.
        protocol.receive_data(CHUNKED_HEAD + b"1\r\nx\r\n2\r\nxx\r\n" * 10_000)

        async def main():
            async with incomplete._turns:
                task = await curio.spawn(reader.read, protocol, Limits(), daemon=True)
                while protocol.chunk_count <= FREE_CHUNKS:
                    await curio.sleep(0.01)
                held_bytes = account.held_bytes
                await task.cancel(blocking=False)
            return held_bytes

        held_bytes = curio.run(main)
        self.assertGreater(protocol.pending_bytes, SMALL_BYTES)
        self.assertGreater(held_bytes, protocol.pending_bytes)


class DaemonTest(unittest.TestCase):
    """Unfinished bodies at each port leave room for what is small."""

    def test_gateway_answers_beside_unfinished_bodies(self):
        """Guards against an entry host that ends as callers do not finish (LOST)."""
        run_fleet(self._test_gateway, CALLER_PORT)

    def test_gateway_answers_beside_unfinished_forwarded_bodies(self):
        run_fleet(self._test_gateway, FORWARD_PORT)

    async def _test_gateway(self, port):
        async with Fleet() as fleet:
            await start_serving(fleet, respond)
            account = self.limit_memory(fleet)
            headers = [f"{REQUEST_ID}: q-unfinished"]
            requests = await self.start(
                fleet, GATEWAY, port, path="/idempotent/a", headers=headers
            )
            status, _, _ = await fleet.send_request(GATEWAY, "/idempotent/b")
            self.assertEqual(status, 200)
            await self.check_refused(requests, account)
            counts = [len(each.requests) for each in fleet.endpoints.values()]
            self.assertEqual(sum(counts), 1)
            await self.check_released(requests, account)

    def test_coordinator_answers_beside_unfinished_configurations(self):
        """Guards against a coordinator that ends as operators do not finish (LOST)."""
        run_fleet(self._test_coordinator)

    async def _test_coordinator(self):
        async with Fleet() as fleet:
            await start_serving(fleet, respond)
            account = self.limit_memory(fleet)
            requests = await self.start(
                fleet, COORDINATOR, API_PORT, path="/v1/configuration", method="PUT"
            )
            endpoint = next(iter(fleet.endpoints.values()))
            self.assertTrue(await endpoint.send_heartbeat(COORDINATOR))
            content = create_configuration(2)
            status, _ = await fleet.put_configuration(COORDINATOR, content)
            self.assertEqual(status, 200)
            await self.check_refused(requests, account)
            self.assertEqual(await fleet.get_configuration(COORDINATOR), content)
            await self.check_released(requests, account)

    def test_ports_without_large_bodies_refuse_them_at_the_head(self):
        """Guards against reports that are held up to the limit of configurations."""
        run_fleet(self._test_heads)

    async def _test_heads(self):
        async with Fleet() as fleet:
            await start_serving(fleet, respond)
            account = self.limit_memory(fleet)
            for host, port, path in (
                (COORDINATOR, API_PORT, "/v1/endpoints/e/heartbeat"),
                (COORDINATOR, API_PORT, "/v1/endpoints/e/leave"),
                (COORDINATOR, DIRECTORY_PORT, "/"),
                (GATEWAY, READY_PORT, "/readyz"),
            ):
                with self.subTest(path):
                    requests = await start_unfinished(
                        fleet.transport, host, port, MANY, BODY_BYTES, path=path
                    )
                    for request in requests:
                        status, body = await request.wait_for_answer()
                        self.assertEqual(status, 413)
                        self.assertIn(b'"body_too_large"', body)
                    self.assertLess(account.peak_bytes, MIB)
                    await self.check_released(requests, account)

    def limit_memory(self, fleet):
        """Let the daemons use one account for connections that are opened later."""
        account = MemoryAccount(CAPACITY_BYTES, lambda: 0.0)
        fleet.transport.memory = account
        return account

    async def start(self, fleet, host, port, **head):
        requests = await start_unfinished(
            fleet.transport, host, port, MANY, BODY_BYTES, **head
        )
        for request in requests:
            await request._task.join()
        await curio.sleep(0.2)
        return requests

    async def check_refused(self, requests, account):
        self.assertLessEqual(account.peak_bytes, CAPACITY_BYTES)
        self.assertGreater(account.peak_bytes, CAPACITY_BYTES / 2)
        refused = [each for each in requests if each.answer is not None]
        self.assertGreater(len(refused), 100)
        self.assertLess(len(refused), MANY)
        for request in refused:
            status, body = request.answer
            self.assertEqual(status, 503)
            error = json.loads(body)["error"]
            self.assertEqual(error["code"], "memory_short")
            self.assertEqual(error["verdict"], "not_run")
            self.assertGreater(error["retry_after_s"], 0)

    async def check_released(self, requests, account):
        for request in requests:
            await request.close()
        while account.held_bytes:
            await curio.sleep(0.01)


class RefusalFormTest(unittest.TestCase):
    """A refusal for lack of memory has the headers of the gateway's own."""

    def test_refusal_of_a_gateway_has_its_verdict(self):
        """Guards against another host that takes it for a request that ran."""
        run_fleet(self._test_refusal)

    async def _test_refusal(self):
        async with Fleet() as fleet:
            await start_serving(fleet, respond)
            fleet.transport.memory = MemoryAccount(8 * MIB, lambda: 0.0)
            for port in (CALLER_PORT, FORWARD_PORT):
                stream = await fleet.transport.connect(GATEWAY, port)
                await stream.sendall(create_head("/idempotent/a", BODY_BYTES))
                answer = (await stream.recv(4096)).lower()
                self.assertTrue(answer.startswith(b"http/1.1 503 "))
                self.assertIn(b"\r\nbuckthorndeal-verdict: not_run\r\n", answer)
                self.assertIn(b"\r\nretry-after: 1", answer)
                self.assertIn(b"\r\nconnection: close\r\n", answer)
                await stream.close()


class BodyLimitTest(unittest.TestCase):
    """What coordinators accept has room for all that may be sent."""

    def test_heartbeat_with_many_models_is_accepted(self):
        """Guards against endpoints that are dropped for all that they have."""
        run_fleet(self._test_heartbeat)

    async def _test_heartbeat(self):
        async with Fleet() as fleet:
            await fleet.start_coordinators()
            await fleet.put_configuration(COORDINATOR, create_configuration(1))
            stream = await fleet.transport.connect(COORDINATOR, API_PORT)
            body = msgspec.json.encode({"models": ["m" * 63] * 1_000})
            head = create_head("/v1/endpoints/e/heartbeat", len(body))
            await stream.sendall(head + body)
            # It was read, and has other fields than this format knows.
            self.assertEqual((await read_answer(stream))[0], 400)
            await stream.close()

    def test_limits_of_the_platform_fit_its_messages(self):
        for method, path, least, most in (
            ("POST", "/instances/i/heartbeat", 60_000, 300_000),
            ("POST", "/instances/i/leave", 1_000, 300_000),
            ("POST", "/evacuation/gulf-a/start", 1_000, 10_000),
            ("POST", "/evacuation/gulf-a/end", 1_000, 10_000),
            ("GET", "/config/get", 0, 0),
            ("POST", "/other", 0, 300_000),
        ):
            with self.subTest(path):
                limit = controlapi.classify_body(method, path).value
                self.assertTrue(least <= limit <= most, limit)
        self.assertIsNone(controlapi.classify_body("POST", "/config/put").value)


if __name__ == "__main__":
    unittest.main()
