"""Tests of the memory that a gateway holds for the responses of endpoints."""

import gc
import time
import unittest

import curio

from buckthorndeal.gateway._events import RawEvent
from buckthorndeal.memory import MemoryAccount, Use
from tests.cut_transport import CutTransport
from tests.fleet_harness import (
    CALLER_PORT,
    GATEWAY,
    REQUEST_ID,
    Fleet,
    create_configuration,
    create_stream_events,
    run_fleet,
)
from tests.raw_endpoint import (
    RawEndpoint,
    create_chunk,
    create_response,
    create_stream_head,
)
from tests.test_misbehaving_endpoints import MisbehaviourCase

MIB = 1 << 20
CAPACITY_BYTES = 8 * MIB
# Largest response, a quarter of the capacity.
SHARE_BYTES = 2 * MIB
# Bytes that a connection of the memory transport holds between endpoint and gateway.
SENT_AHEAD_BYTES = 400_000
CALLERS = 24
ENDLESS = "endless"


class Meter:
    """Bytes that were sent over connections that the gateway has not closed yet."""

    def __init__(self):
        self.open_bytes = 0
        self.peak_bytes = 0
        self.requests = {}

    async def send(self, endpoint, stream, head, part, max_bytes=64 * MIB):
        """Send `head`, and then `part` until the gateway closes the connection."""
        self.requests[endpoint.name] = self.requests.get(endpoint.name, 0) + 1
        sent = 0
        try:
            data = head
            while sent < max_bytes:
                await stream.sendall(data)
                sent += len(data)
                self.open_bytes += len(data)
                self.peak_bytes = max(self.peak_bytes, self.open_bytes)
                data = part
            await stream.recv(1)
        finally:
            self.open_bytes -= sent


class ResponseMemoryCase(MisbehaviourCase):
    """Runs scenarios with raw endpoints and a gateway with a small account."""

    capacity_bytes = CAPACITY_BYTES
    # Failure domain of the endpoints.
    domain = "a-1"

    def run_scenario(self, scenario, *scripts, **changes):
        self.accounts = {}

        async def main():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                content = create_configuration(1, **changes)
                await fleet.put_configuration("10.1.0.1", content)
                account = await self.start_gateway(fleet, GATEWAY)
                for number, script in enumerate(scripts):
                    endpoint = RawEndpoint(fleet, f"e{number}", self.domain, script)
                    endpoint.fields["slots"] = 64
                    fleet.endpoints[endpoint.name] = endpoint
                    await endpoint.start()
                await fleet.wait_until_ready(GATEWAY)
                await curio.sleep(0.6)
                await scenario(fleet, account)
                await wait_until(lambda: account.held_bytes == 0)

        run_fleet(main)

    async def start_gateway(self, fleet, host):
        transport = CutTransport(fleet.transport, lambda address: False)
        account = MemoryAccount(self.capacity_bytes, time.monotonic)
        transport.memory = self.accounts[host] = account
        await fleet.start_gateway(host, transport=transport)
        return account


async def send_sound_answer(endpoint, stream, request_id):
    await stream.sendall(create_response(request_id, b"ok"))


async def send_stream(endpoint, stream, request_id):
    events = create_chunk(create_stream_events(0, 2)) + b"0\r\n\r\n"
    await stream.sendall(create_stream_head(request_id) + events)


async def open_caller(fleet, path, name, count=1):
    """Send requests and return the connection, of which nothing has been read.

    A response that fills the connection is taken at once; the next one is not.
    """
    stream = await fleet.transport.connect(GATEWAY, CALLER_PORT)
    head = f"POST {path} HTTP/1.1\r\nhost: x.example\r\n{REQUEST_ID}: {name}\r\n"
    await stream.sendall(f"{head}content-length: 1\r\n\r\nx".encode() * count)
    return stream


async def wait_until(is_true):
    while not is_true():
        await curio.sleep(0.02)


async def call(fleet, path, name, method="POST", host=GATEWAY):
    """Return status and body of a response; None for a connection that breaks off."""
    pool = fleet.create_pool(host, CALLER_PORT)
    headers = [("host", "x.example"), (REQUEST_ID, name)]
    try:
        status, _, body = await pool.fetch(method, path, headers, b"x")
    except Exception:
        return None
    return status, body


async def call_many(fleet, path, count, prefix):
    """Send requests at the same time; return their results."""
    names = [f"{prefix}-{number}" for number in range(count)]
    async with curio.TaskGroup(wait=all) as group:
        for name in names:
            await group.spawn(call, fleet, path, name)
    return group.results


class EndlessResponseTest(ResponseMemoryCase):
    """Responses without end hold no more than the account in all."""

    def check_endless(self, head, part, path, bad_endpoints=2):
        """Send endless and sound requests at the same time to two endpoints."""
        meter = Meter()

        async def script(endpoint, stream, request_id):
            is_bad = int(endpoint.name[1:]) < bad_endpoints
            if is_bad and request_id.startswith(ENDLESS):
                filled = head.replace(b"ID", request_id.encode())
                await meter.send(endpoint, stream, filled, part)
            elif path == "/stream/":
                await send_stream(endpoint, stream, request_id)
            else:
                await stream.sendall(create_response(request_id, b"x" * 8_192))

        async def scenario(fleet, account):
            endless = await curio.spawn(call_many, fleet, path, CALLERS, ENDLESS)
            statuses = []
            while not endless.terminated or len(statuses) < 5:
                result = await call(fleet, path, f"sound-{len(statuses)}")
                statuses.append(result and result[0])
                await curio.sleep(0.02)
            self.assertEqual(set(statuses), {200})
            self.assertLessEqual(account.peak_bytes, CAPACITY_BYTES)
            self.assertLess(
                meter.peak_bytes, CAPACITY_BYTES + CALLERS * SENT_AHEAD_BYTES
            )
            for result in await endless.join():
                self.assertNotIn(result and result[0], (429, 503))

        self.run_scenario(scenario, script, script)

    def test_bodies_of_all_endpoints(self):
        self.check_endless(
            create_stream_head("ID"), create_chunk(b"x" * 65_536), "/idempotent/"
        )

    def test_bodies_of_one_endpoint(self):
        self.check_endless(
            create_stream_head("ID"), create_chunk(b"x" * 65_536), "/idempotent/", 1
        )

    def test_bodies_that_end_with_their_connection(self):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: ID\r\n\r\n".encode()
        self.check_endless(head, b"x" * 65_536, "/idempotent/")

    def test_bodies_that_must_not_be_repeated(self):
        self.check_endless(
            create_stream_head("ID"), create_chunk(b"x" * 65_536), "/non_idempotent/"
        )

    def test_events(self):
        self.check_endless(
            create_stream_head("ID"), create_chunk(b"data: x" * 4_096), "/stream/"
        )

    def test_heads(self):
        self.check_endless(b"HTTP/1.1 200 OK\r\nx: ", b"x" * 1_000, "/idempotent/")


class NamedLengthTest(ResponseMemoryCase):
    """A length that is named is known before the first byte of the body."""

    def test_length_beyond_the_bound_is_given_up_at_the_head(self):
        """Guards against 16 MiB that are received of a body that is never passed on."""
        meter = Meter()

        async def script(endpoint, stream, request_id):
            head = create_response(request_id, b"")[:-5] + b"64000000000\r\n\r\n"
            await meter.send(endpoint, stream, head, b"x" * 65_536)

        async def scenario(fleet, account):
            status, _ = await call(fleet, "/non_idempotent/", ENDLESS)
            self.assertEqual(status, 502)
            self.assertLess(meter.peak_bytes, SENT_AHEAD_BYTES)

        self.run_scenario(scenario, script)

    def test_large_answers_wait_for_each_other(self):
        """Guards against half-read answers that take the room of each other."""
        body = b"y" * MIB

        async def script(endpoint, stream, request_id):
            response = create_response(request_id, body)
            for start in range(0, len(response), 100_000):
                await stream.sendall(response[start : start + 100_000])
                await curio.sleep(0.002)

        async def scenario(fleet, account):
            results = await call_many(fleet, "/non_idempotent/", 12, "large")
            self.assertEqual(results, [(200, body)] * 12)
            self.assertLessEqual(account.peak_bytes, SHARE_BYTES)

        self.run_scenario(scenario, script, timeout_s=20.0)

    def test_body_that_is_never_sent_gives_way(self):
        """Guards against sound answers that wait for a length that is only named."""
        body = b"y" * 300_000

        async def script(endpoint, stream, request_id):
            if request_id.startswith("stalled"):
                whole = create_response(request_id, b"x" * SHARE_BYTES)
                await stream.sendall(whole[:1_000])
                await stream.recv(1)
            else:
                await stream.sendall(create_response(request_id, body))

        async def scenario(fleet, account):
            path = "/non_idempotent/"
            stalled = await curio.spawn(call_many, fleet, path, 8, "stalled")
            await wait_until(lambda: account.held_bytes >= SHARE_BYTES)
            for number in range(10):
                started_s = time.monotonic()
                result = await call(fleet, path, f"sound-{number}")
                self.assertEqual(result, (200, body))
                self.assertLess(time.monotonic() - started_s, 2.0)
            for result in await stalled.join():
                self.assertIn(result[0], (502, 504))

        self.run_scenario(scenario, script, script, timeout_s=8.0)

    def test_response_to_head_names_the_length_of_no_body(self):
        async def script(endpoint, stream, request_id):
            head = create_response(request_id, b"")[:-5] + b"64000000000\r\n\r\n"
            await stream.sendall(head)

        async def scenario(fleet, account):
            result = await call(fleet, "/idempotent/", "head", "HEAD")
            self.assertEqual(result, (200, b""))

        self.run_scenario(scenario, script)


class FaultyEndpointTest(ResponseMemoryCase):
    """An endpoint that sends beyond a bound is avoided; a shortage blames nobody."""

    def check_avoided(self, head, part, path):
        meter = Meter()

        async def script(endpoint, stream, request_id):
            if endpoint.name == "e0":
                filled = head.replace(b"ID", request_id.encode())
                await meter.send(endpoint, stream, filled, part)
            elif path == "/stream/":
                await send_stream(endpoint, stream, request_id)
            else:
                await send_sound_answer(endpoint, stream, request_id)

        async def scenario(fleet, account):
            for number in range(30):
                result = await call(fleet, path, f"q-{number}")
                self.assertEqual(result and result[0], 200)
            # Three failures eject it, and some are probes.
            self.assertLessEqual(meter.requests["e0"], 5)

        self.run_scenario(scenario, script, script)

    def test_endless_body(self):
        self.check_avoided(
            create_stream_head("ID"), create_chunk(b"x" * 65_536), "/idempotent/"
        )

    def test_endless_event(self):
        self.check_avoided(
            create_stream_head("ID"), create_chunk(b"data: x" * 4_096), "/stream/"
        )

    def test_endless_head(self):
        self.check_avoided(b"HTTP/1.1 200 OK\r\nx: ", b"x" * 1_000, "/idempotent/")

    def test_length_beyond_the_bound(self):
        head = create_response("ID", b"")[:-5] + b"64000000000\r\n\r\n"
        self.check_avoided(head, b"x" * 65_536, "/idempotent/")

    def test_many_endless_bodies_at_once(self):
        """Guards against bodies that cut each other before any reaches the bound."""
        meter = Meter()

        async def script(endpoint, stream, request_id):
            if endpoint.name == "e0":
                part = create_chunk(b"x" * 65_536)
                await meter.send(endpoint, stream, create_stream_head(request_id), part)
            else:
                await send_sound_answer(endpoint, stream, request_id)

        async def scenario(fleet, account):
            results = await call_many(fleet, "/idempotent/", CALLERS, "first")
            self.assertEqual({status for status, _ in results}, {200})
            before = meter.requests["e0"]
            results = await call_many(fleet, "/idempotent/", CALLERS, "second")
            self.assertEqual({status for status, _ in results}, {200})
            self.assertEqual(meter.requests["e0"], before)

        self.run_scenario(scenario, script, script)


class EndedRequestTest(ResponseMemoryCase):
    """Whatever ends a request, nothing is held for its response afterwards.

    `run_scenario` waits for that.
    """

    async def send_half(self, endpoint, stream, request_id):
        part = create_chunk(b"x" * 65_536) * 8
        await stream.sendall(create_stream_head(request_id) + part)
        await stream.recv(1)

    def test_caller_that_reads_slowly(self):
        body = b"z" * MIB

        async def script(endpoint, stream, request_id):
            await stream.sendall(create_response(request_id, body))

        async def scenario(fleet, account):
            caller = await open_caller(fleet, "/idempotent/", "slow", 2)
            endpoint = fleet.endpoints["e0"]
            await wait_until(lambda: endpoint.requests.count("slow") == 2)
            await wait_until(lambda: account.held_bytes == len(body))
            await curio.sleep(0.2)
            self.assertEqual(account.held_bytes, len(body))
            received = b""
            while len(received) < 2 * len(body):
                received += await caller.recv(65_536)
            self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
            await wait_until(lambda: account.held_bytes == 0)
            await caller.close()

        self.run_scenario(scenario, script)

    def test_caller_that_leaves_while_it_is_answered(self):
        async def script(endpoint, stream, request_id):
            await stream.sendall(create_response(request_id, b"z" * MIB))

        async def scenario(fleet, account):
            caller = await open_caller(fleet, "/idempotent/", "leaving", 2)
            endpoint = fleet.endpoints["e0"]
            await wait_until(lambda: endpoint.requests.count("leaving") == 2)
            await wait_until(lambda: account.held_bytes == MIB)
            await caller.close()

        self.run_scenario(scenario, script)

    def test_caller_that_leaves_before_the_answer_is_complete(self):
        async def scenario(fleet, account):
            caller = await open_caller(fleet, "/idempotent/", "leaving")
            await wait_until(lambda: account.held_bytes == 524_288)
            await caller.close()

        self.run_scenario(scenario, self.send_half)

    def test_deadline(self):
        async def scenario(fleet, account):
            status, _ = await call(fleet, "/non_idempotent/", "late")
            self.assertEqual(status, 504)
            self.assertGreater(account.peak_bytes, 500_000)

        self.run_scenario(scenario, self.send_half, timeout_s=0.6)

    def test_failed_response_that_is_kept_for_a_retry(self):
        async def script(endpoint, stream, request_id):
            if len(endpoint.fleet.endpoints["e1"].requests) == 0:
                await curio.sleep(0.01)
            response = create_response(request_id, b"f" * MIB, "500 Failed")
            await stream.sendall(response)

        async def scenario(fleet, account):
            result = await call(fleet, "/idempotent/", "failing")
            self.assertEqual(result, (500, b"f" * MIB))
            self.assertGreaterEqual(account.peak_bytes, 2 * MIB)

        self.run_scenario(scenario, script, script)

    def test_cut_response_of_a_silent_endpoint(self):
        """Guards against a caller that waits for a response that cannot come."""

        async def script(endpoint, stream, request_id):
            if request_id == "silent":
                await self.send_half(endpoint, stream, request_id)
            else:
                await send_sound_answer(endpoint, stream, request_id)

        async def scenario(fleet, account):
            silent = await curio.spawn(call, fleet, "/non_idempotent/", "silent")
            await wait_until(lambda: account.held_bytes == 524_288)
            others = [account.open(Use.REQUEST) for _ in range(16)]
            for each in others:
                each.settle()
                if account.cut_count == 0:
                    each.resize(400_000)
            started_s = time.monotonic()
            status, _ = await silent.join()
            self.assertEqual(status, 502)
            self.assertLess(time.monotonic() - started_s, 1.0)
            self.assertEqual(fleet.endpoints["e0"].requests.count("silent"), 1)
            for each in others:
                each.release()

        self.run_scenario(scenario, script, timeout_s=20.0)


class PassedOnEventTest(ResponseMemoryCase):
    """What is not booked any more is not held either."""

    def test_long_event_is_not_kept_until_the_next_one(self):
        """Guards against a long event for each silent stream, which nothing bounds."""
        event = b"id: 0\ndata: " + b"x" * (MIB // 2) + b"\n\n"

        async def script(endpoint, stream, request_id):
            head = create_stream_head(request_id)
            await stream.sendall(head + create_chunk(event))
            await stream.recv(1)

        async def scenario(fleet, account):
            caller = await open_caller(fleet, "/stream/", "q")
            received = 0
            while received < len(event):
                received += len(await caller.recv(65_536))
            await wait_until(lambda: account.held_bytes == 0)
            self.assertEqual(count_long_events(len(event)), 0)
            await caller.close()

        self.run_scenario(scenario, script)


def count_long_events(size_bytes):
    return sum(
        isinstance(each, RawEvent) and len(each.data) >= size_bytes
        for each in gc.get_objects()
    )


class ShortageTest(ResponseMemoryCase):
    """A shortage of the host is nobody else's fault."""

    def test_shortage_blames_no_endpoint_and_is_not_repeated(self):
        """Guards against repeats that need the same memory, and against ejections."""

        async def script(endpoint, stream, request_id):
            if request_id.startswith("cut"):
                part = create_chunk(b"x" * 65_536) * 8
                await stream.sendall(create_stream_head(request_id) + part)
                await stream.recv(1)
            else:
                await send_sound_answer(endpoint, stream, request_id)

        async def scenario(fleet, account):
            endpoints = fleet.endpoints.values()
            for number in range(8):
                name = f"cut-{number}"
                cut = await curio.spawn(call, fleet, "/idempotent/", name)
                await wait_until(lambda: account.held_bytes == 524_288)
                others = []
                while account.cut_count == number:
                    others.append(account.open(Use.REQUEST))
                    others[-1].settle()
                    others[-1].resize(400_000)
                status, _ = await cut.join()
                self.assertEqual(status, 502)
                sent = sum(each.requests.count(name) for each in endpoints)
                self.assertEqual(sent, 1)
                for each in others:
                    each.release()
            before = [len(each.requests) for each in endpoints]
            await call_many(fleet, "/idempotent/", 30, "sound")
            after = [len(each.requests) for each in endpoints]
            self.assertTrue(
                all(now > then for now, then in zip(after, before, strict=True))
            )

        self.run_scenario(scenario, script, script, timeout_s=20.0)


class ContinuedStreamTest(ResponseMemoryCase):
    """A stream that there is no room for goes on elsewhere without a gap."""

    # A quarter is less than one read.
    capacity_bytes = 48 * 1_024

    def test_events_beside_a_partial_event_are_not_lost(self):
        """Guards against events that count as passed on before there is room."""

        async def script(endpoint, stream, request_id):
            if endpoint.name == "e1":
                await send_stream(endpoint, stream, request_id)
                return
            events = create_stream_events(0, 1) + b"id: 2\ndata: " + b"x" * 16_000
            await stream.sendall(create_stream_head(request_id) + create_chunk(events))
            await stream.recv(1)

        async def scenario(fleet, account):
            while not fleet.endpoints["e0"].requests:
                result = await call(fleet, "/stream/", "q")
                self.assertEqual(result, (200, create_stream_events(0, 2)))

        self.run_scenario(scenario, script, script)


class RelayedResponseTest(ResponseMemoryCase):
    """A host that relays for another one has an account of its own."""

    RELAY = "10.2.0.9"

    def test_endless_bodies(self):
        meter = Meter()

        async def script(endpoint, stream, request_id):
            if request_id.startswith(ENDLESS):
                part = create_chunk(b"x" * 65_536)
                await meter.send(endpoint, stream, create_stream_head(request_id), part)
            else:
                await send_sound_answer(endpoint, stream, request_id)

        async def scenario(fleet, account):
            endless = await curio.spawn(
                call_many, fleet, "/idempotent/", CALLERS, ENDLESS
            )
            served = 0
            while not endless.terminated or served < 5:
                result = await call(fleet, "/idempotent/", f"sound-{served}")
                served += 1
                self.assertEqual(result, (200, b"ok"))
            await endless.join()
            relay_account = self.accounts[self.RELAY]
            self.assertGreater(relay_account.peak_bytes, MIB)
            self.assertLessEqual(relay_account.peak_bytes, CAPACITY_BYTES)
            self.assertLessEqual(account.peak_bytes, CAPACITY_BYTES)
            await wait_until(lambda: relay_account.held_bytes == 0)

        self.run_scenario(scenario, script, script)

    def test_large_answers(self):
        body = b"y" * MIB

        async def script(endpoint, stream, request_id):
            await stream.sendall(create_response(request_id, body))

        async def scenario(fleet, account):
            results = await call_many(fleet, "/idempotent/", 8, "large")
            self.assertEqual(results, [(200, body)] * 8)
            relay_account = self.accounts[self.RELAY]
            self.assertGreaterEqual(relay_account.peak_bytes, MIB)
            self.assertGreaterEqual(account.peak_bytes, MIB)
            await wait_until(lambda: relay_account.held_bytes == 0)

        self.run_scenario(scenario, script, timeout_s=20.0)

    async def start_gateway(self, fleet, host):
        await super().start_gateway(fleet, self.RELAY)
        return await super().start_gateway(fleet, host)

    domain = "b-1"


if __name__ == "__main__":
    unittest.main()
