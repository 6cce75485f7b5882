"""Tests of a gateway with endpoints that break the protocol."""

import random
import time
import unittest

import curio

from buckthorndeal._event_buffer import MAX_EVENT_BYTES, EventBuffer
from buckthorndeal._http_connection import MAX_HEADER_BYTES
from buckthorndeal._http_response import MAX_RESPONSE_BYTES
from buckthorndeal.configuration import RequestKind
from buckthorndeal.errors import WireError
from buckthorndeal.gateway._events import EventSplitter
from buckthorndeal.gateway._stalls import compute_stall_limit_s
from buckthorndeal.streams import Event, create_cursor
from tests.dispatcher_harness import ROUTE
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

# Far longer than the gateway takes to give up on bytes without end.
ENOUGH_BYTES = 2 * MAX_RESPONSE_BYTES
# Bytes that a connection holds between endpoint and gateway.
SENT_AHEAD_BYTES = 1 << 20
LAST_EVENT = 5


async def send_without_end(endpoint, stream, head, part):
    """Send `head`, and then `part` until the gateway closes the connection."""
    await endpoint.send(stream, head)
    while endpoint.sent_bytes < ENOUGH_BYTES:
        await endpoint.send(stream, part)


async def send_whole_stream(endpoint, stream, request_id):
    events = create_chunk(create_stream_events(0, LAST_EVENT))
    await endpoint.send(stream, create_stream_head(request_id) + events + b"0\r\n\r\n")


class MisbehaviourCase(unittest.TestCase):
    """Runs scenarios with raw endpoints ``e0``, ``e1`` and so on."""

    def run_scenario(self, scenario, *scripts, **changes):
        async def main():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                content = create_configuration(1, **changes)
                await fleet.put_configuration("10.1.0.1", content)
                await fleet.start_gateway(GATEWAY)
                for number, script in enumerate(scripts):
                    endpoint = RawEndpoint(fleet, f"e{number}", "a-1", script)
                    fleet.endpoints[endpoint.name] = endpoint
                    await endpoint.start()
                await fleet.wait_until_ready(GATEWAY)
                await curio.sleep(0.6)
                await scenario(fleet)

        run_fleet(main)


class EndlessBytesTest(MisbehaviourCase):
    """Bytes that are no response and never end cost little, and are given up."""

    def check_given_up(
        self, head, part, path="/idempotent/", max_bytes=MAX_HEADER_BYTES
    ):
        """Check that the request ends early, and that others are served meanwhile."""

        async def script(endpoint, stream, request_id):
            if path == "/stream/" and endpoint.name == "e1":
                await send_whole_stream(endpoint, stream, request_id)
            elif endpoint.name == "e1":
                await endpoint.send(stream, create_response(request_id, b"ok"))
            else:
                filled = head.replace(b"ID", request_id.encode())
                await send_without_end(endpoint, stream, filled, part)

        async def scenario(fleet):
            bad = fleet.endpoints["e0"]
            while not bad.requests:
                status, _, _ = await fleet.send_request(GATEWAY, path)
                self.assertEqual(status, 200)
            sent_bytes = bad.sent_bytes / len(bad.requests)
            self.assertLess(sent_bytes, max_bytes + SENT_AHEAD_BYTES)

        self.run_scenario(scenario, script, script)

    def test_junk(self):
        self.check_given_up(b"", b"\x00junk" * 40)

    def test_head(self):
        self.check_given_up(b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n" * 20)

    def test_line(self):
        self.check_given_up(b"HTTP/1.1 200 OK\r\nx: ", b"x" * 200)

    def test_informational_responses(self):
        """Guards against a loop that serves nobody else while the bytes last."""
        self.check_given_up(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 8)

    def test_chunk_extension(self):
        head = create_stream_head("ID")
        self.check_given_up(head + b"5;x=", b"y" * 200)

    def test_event(self):
        self.check_given_up(
            create_stream_head("ID"),
            create_chunk(b"data: x" * 40),
            "/stream/",
            MAX_EVENT_BYTES,
        )

    def test_event_id(self):
        """Guards against an error of the conversion to a number."""
        event = create_chunk(b"id: " + b"9" * 5000 + b"\ndata: t\n\n")
        self.check_given_up(create_stream_head("ID"), event, "/stream/")

    def test_body(self):
        self.check_given_up(
            create_stream_head("ID"),
            create_chunk(b"x" * 65_536),
            max_bytes=MAX_RESPONSE_BYTES,
        )


class StallTest(MisbehaviourCase):
    """Stalled streams end or continue elsewhere, and slow ones are not cut."""

    def check_stall(self, part, endpoints, **changes):
        """Stall after two events; return status and body, and the time taken."""
        result = []

        async def script(endpoint, stream, request_id):
            if endpoint.fleet.endpoints["e1"].requests if endpoints > 1 else False:
                await send_whole_stream(endpoint, stream, request_id)
                return
            events = create_chunk(create_stream_events(0, 1))
            await endpoint.send(stream, create_stream_head(request_id) + events)
            while True:
                await curio.sleep(0.05)
                if part:
                    await endpoint.send(stream, part)

        async def scenario(fleet):
            started_s = time.monotonic()
            try:
                result.append(await fleet.send_request(GATEWAY, "/stream/"))
            except Exception as error:
                result.append(error)
            result.append(time.monotonic() - started_s)

        self.run_scenario(scenario, *[script] * endpoints, **changes)
        return result

    def test_comments_are_no_progress(self):
        error, seconds = self.check_stall(
            create_chunk(b": ping\n\n"), 1, timeout_s=30.0, latency_objective_s=0.1
        )
        self.assertIsInstance(error, Exception)
        self.assertLess(seconds, 10)

    def test_bytes_of_an_event_are_no_progress(self):
        error, seconds = self.check_stall(
            create_chunk(b"x"), 1, timeout_s=30.0, latency_objective_s=0.1
        )
        self.assertIsInstance(error, Exception)
        self.assertLess(seconds, 10)

    def test_slow_stream_is_not_cut(self):
        """Guards against cutting a stream that pauses for less than the limit."""

        async def script(endpoint, stream, request_id):
            await endpoint.send(stream, create_stream_head(request_id))
            for index in range(LAST_EVENT + 1):
                await curio.sleep(0.6)
                chunk = create_chunk(create_stream_events(index, index))
                await endpoint.send(stream, chunk)
            await endpoint.send(stream, b"0\r\n\r\n")

        async def scenario(fleet):
            status, _, body = await fleet.send_request(GATEWAY, "/stream/")
            self.assertEqual(status, 200)
            self.assertEqual(body, create_stream_events(0, LAST_EVENT))
            self.assertEqual(len(fleet.endpoints["e0"].requests), 1)

        changes = {"timeout_s": 30.0, "latency_objective_s": 0.1}
        self.run_scenario(scenario, script, **changes)

    def test_limits(self):
        route = ROUTE
        self.assertEqual(compute_stall_limit_s(route, False), 3.2)
        self.assertEqual(compute_stall_limit_s(route, True), 1.6)
        self.assertIs(route.kind, RequestKind.STREAM)


class LateCopyTest(MisbehaviourCase):
    """Bytes after a response never reach the next caller."""

    def check_next_caller(self, delay_s):
        """Send a second copy of the first response after `delay_s` seconds."""

        async def script(endpoint, stream, request_id):
            await endpoint.send(stream, create_response(request_id, b"first"))
            if len(endpoint.requests) == 1:
                await curio.sleep(delay_s)
                await endpoint.send(stream, create_response(request_id, b"copy"))

        async def scenario(fleet):
            pool = fleet.create_pool(GATEWAY, CALLER_PORT)
            for number, path in enumerate(("/idempotent/", "/non_idempotent/")):
                headers = [("host", "x.example"), (REQUEST_ID, f"q{number}")]
                status, answer, body = await pool.fetch("POST", path, headers, b"x")
                self.assertEqual((status, body), (200, b"first"))
                self.assertEqual(answer[REQUEST_ID], f"q{number}")
                await curio.sleep(0.1)

        self.run_scenario(scenario, script)

    def test_copy_right_behind(self):
        self.check_next_caller(0)

    def test_copy_on_an_idle_connection(self):
        self.check_next_caller(0.05)

    def test_copy_after_the_next_request(self):
        """The id tells that the response belongs to an earlier request."""

        async def script(endpoint, stream, request_id):
            earlier = endpoint.requests[-2] if len(endpoint.requests) == 2 else None
            if earlier is not None:
                await endpoint.send(stream, create_response(earlier, b"copy"))
            await endpoint.send(stream, create_response(request_id, b"own"))

        async def scenario(fleet):
            pool = fleet.create_pool(GATEWAY, CALLER_PORT)
            for number in range(4):
                headers = [("host", "x.example"), (REQUEST_ID, f"q{number}")]
                status, answer, body = await pool.fetch(
                    "POST", "/idempotent/", headers, b"x"
                )
                self.assertNotEqual(body, b"copy")
                if status == 200:
                    self.assertEqual(answer[REQUEST_ID], f"q{number}")

        self.run_scenario(scenario, script)


class BrokenResponseTest(MisbehaviourCase):
    """A response that breaks off never looks complete."""

    def check_incomplete(self, path, create_bytes):
        async def script(endpoint, stream, request_id):
            await endpoint.send(stream, create_bytes(request_id))
            await stream.close()

        async def scenario(fleet):
            try:
                status, _, _ = await fleet.send_request(GATEWAY, path)
            except Exception:
                return
            self.assertGreaterEqual(status, 500)

        self.run_scenario(scenario, script)

    def test_short_body(self):
        self.check_incomplete(
            "/non_idempotent/", lambda name: create_response(name, b"whole")[:-2]
        )

    def test_missing_last_chunk(self):
        self.check_incomplete(
            "/non_idempotent/",
            lambda name: create_stream_head(name) + create_chunk(b"half"),
        )

    def test_stream_without_last_chunk(self):
        self.check_incomplete(
            "/stream/",
            lambda name: (
                create_stream_head(name) + create_chunk(b"id: 0") + b"0\r\n\r\n"
            ),
        )

    def test_stream_without_a_length_that_ends_before_any_event(self):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: "
        self.check_incomplete("/stream/", lambda name: f"{head}{name}\r\n\r\n".encode())

    def test_stream_without_a_length_that_ends_inside_an_event(self):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: "
        self.check_incomplete(
            "/stream/", lambda name: f"{head}{name}\r\n\r\nid: 0\nda".encode()
        )

    def test_body_that_ends_with_its_connection(self):
        """Its end is the orderly end of the connection, which is not used again."""

        async def script(endpoint, stream, request_id):
            head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n\r\n"
            await endpoint.send(stream, head.encode() + b"whole")
            await stream.close()

        async def scenario(fleet):
            for _ in range(3):
                before = fleet.endpoints["e0"].connections
                answer = await fleet.send_request(GATEWAY, "/idempotent/")
                self.assertEqual((answer[0], answer[2]), (200, b"whole"))
                self.assertIn("content-length", answer[1])
            self.assertEqual(fleet.endpoints["e0"].connections, before + 1)

        self.run_scenario(scenario, script)


class EventBufferTest(unittest.TestCase):
    """Events are found however small the pieces are, in time linear in their size."""

    def test_pieces_do_not_change_the_events(self):
        """Guards against line ends that are split between two pieces."""
        for seed in range(300):
            rng = random.Random(f"events-{seed}")
            data = bytes(rng.choice(b"\r\n\nx\n") for _ in range(60))
            whole, pieces = EventBuffer(), EventBuffer()
            expected = whole.feed(data)
            events = []
            start = 0
            while start < len(data):
                end = start + rng.randrange(1, 5)
                events += pieces.feed(data[start:end])
                start = end
            with self.subTest(seed=seed):
                self.assertEqual(events, expected)
                self.assertEqual(pieces.pending_bytes, whole.pending_bytes)
                self.assertEqual(
                    pieces.is_at_event_boundary, whole.is_at_event_boundary
                )

    def test_long_event_in_small_pieces(self):
        """Guards against searching everything again at each piece."""
        splitter = EventSplitter()
        started_s = time.process_time()
        for _ in range(20_000):
            self.assertEqual(splitter.feed(b"data: x" * 2), [])
        self.assertLess(time.process_time() - started_s, 1.0)
        self.assertEqual(len(splitter.feed(b"\n\n")), 1)

    def test_line_breaks(self):
        for text in (b"a\n\nb\n\n", b"a\r\n\r\nb\r\n\r\n", b"a\n\r\nb\r\n\n"):
            for size in range(1, len(text)):
                buffer = EventBuffer()
                found = []
                for start in range(0, len(text), size):
                    found += buffer.feed(text[start : start + size])
                self.assertEqual([each.strip() for each in found], [b"a", b"b"])
                self.assertTrue(buffer.is_at_event_boundary)

    def test_limits(self):
        with self.assertRaises(WireError):
            EventBuffer().feed(b"x" * (MAX_EVENT_BYTES + 1))
        with self.assertRaises(WireError):
            create_cursor(0).accept(Event("r:" + "9" * 5000, "t"), "r")


if __name__ == "__main__":
    unittest.main()
