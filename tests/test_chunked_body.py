"""Tests of chunked bodies on a server: their decoding, and what they may cost."""

import random
import unittest

import curio
import h11

from buckthorndeal._chunked_body import (
    MAX_LINE_BYTES,
    ChunkFramingError,
    create_chunk_decoder,
)
from buckthorndeal._http_incomplete import create_incomplete_requests
from buckthorndeal._http_protocol import create_protocol
from buckthorndeal.errors import WireError
from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import create_memory_transport
from tests.raw_caller import read_answer

HEAD = b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
NEXT = b"GET /b HTTP/1.1\r\nhost: x\r\n\r\n"
ADDRESS = "127.0.0.1"
ANSWER_TIMEOUT_S = 30.0


def create_chunks(content, sizes):
    """Return content in chunks of the given sizes, the last of which is repeated."""
    data = bytearray()
    position = 0
    for size in sizes:
        part = content[position : position + size]
        if not part:
            break
        data += b"%x\r\n%b\r\n" % (len(part), part)
        position += size
    while part := content[position : position + sizes[-1]]:
        data += b"%x\r\n%b\r\n" % (len(part), part)
        position += sizes[-1]
    return bytes(data)


def read_all(protocol, pieces):
    """Return method, body and trailer of each request, or the error's class and status.

    `pieces` are received one after the other.
    """
    seen = []
    body = b""
    pieces = list(pieces)
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError as error:
            return [*seen, ("error", error.error_status_hint)]
        if event is h11.NEED_DATA:
            if not pieces:
                return [*seen, ("waits", body)]
            protocol.receive_data(pieces.pop(0))
        elif isinstance(event, h11.Request):
            seen.append(("request", event.method, event.target))
            body = b""
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            seen.append(("end", body, list(event.headers)))
            protocol.send(h11.Response(status_code=204, headers=[]))
            protocol.send(h11.EndOfMessage())
            if protocol.their_state is not h11.DONE:
                return seen
            protocol.start_next_cycle()
        else:
            return [*seen, ("ended",)]


class DecoderTest(unittest.TestCase):
    """The decoder returns what was sent, whatever the chunks and the reads are like."""

    def check(self, data, content, step):
        decoder = create_chunk_decoder(1 << 20, 16)
        received = bytearray()
        parts = []
        for start in range(0, len(data), step):
            received += data[start : start + step]
            while part := decoder.decode(received):
                parts.append(part)
        self.assertEqual(b"".join(parts), content)
        self.assertTrue(decoder.is_ended)
        return decoder, received

    def test_sizes_and_reads(self):
        """Guards against bytes that are lost or repeated between the fast paths."""
        rng = random.Random(1)
        content = rng.randbytes(9_000)
        for sizes in ([1], [1] * 9 + [2], [64], [65], [1] * 3_000 + [2] * 20 + [700]):
            data = create_chunks(content, sizes) + b"0\r\n"
            for step in (1, 2, 5, 4_096, 1 << 20):
                with self.subTest(sizes=sizes[-1], step=step):
                    self.check(data, content, step)

    def test_random_sizes(self):
        """Guards against the same in sequences that nobody has thought of."""
        for seed in range(40):
            rng = random.Random(f"chunks-{seed}")
            content = rng.randbytes(3_000)
            sizes = []
            while sum(sizes) < len(content):
                sizes += [rng.choice((1, 2, 3, 64, 65))] * rng.choice((1, 7, 8, 40))
            data = create_chunks(content, sizes) + b"0\r\n" + NEXT
            with self.subTest(seed=seed):
                _, received = self.check(data, content, rng.randrange(1, 400))
                self.assertEqual(received, NEXT)

    def test_slices_are_bounded(self):
        """Guards against reads that keep the process busy for all of their chunks."""
        for sizes in ([1, 2] * 4_000, [1] * 8_000):
            decoder = create_chunk_decoder(1 << 20, 16)
            received = bytearray(create_chunks(b"x" * sum(sizes), sizes))
            decoder.decode(received)
            self.assertLess(decoder.chunk_count, 1_200)

    def test_malformed_framing(self):
        """Guards against framing that others read in a different way (smuggling)."""
        for data in (
            b"\r\n",
            b"x\r\n",
            b"-1\r\na\r\n",
            b"0x1\r\na\r\n",
            b"1\na\n\r\n",
            b" 1\r\na\r\n",
            b"1\r\nab\r\n",
            b"1\r\na\n\n",
            b"1_0\r\n",
            b"+1\r\na\r\n",
            b"1;a\rb\r\na\r\n",
            b"1;a\nb\r\na\r\n",
            b"00000000000000001\r\na\r\n",
            b"1\r\na\r1\r\na\r\n",
        ):
            for prefix in (b"", b"1\r\na\r\n" * 3, b"1\r\na\r\n" * 50):
                with self.subTest(data=data, prefix=len(prefix)):
                    decoder = create_chunk_decoder(1 << 20, 16)
                    received = bytearray(prefix + data)
                    with self.assertRaises(WireError):
                        while decoder.decode(received):
                            pass

    def test_framing_is_bounded(self):
        """Guards against extensions that are never counted."""
        decoder = create_chunk_decoder(1_000, 16)
        with self.assertRaises(ChunkFramingError):
            for _ in range(20):
                decoder.decode(bytearray(b"1;%b\r\na\r\n" % (b"a" * 100)))
        decoder = create_chunk_decoder(1_000, 16)
        with self.assertRaises(ChunkFramingError):
            decoder.decode(bytearray(b"1;" + b"a" * MAX_LINE_BYTES))


class ProtocolTest(unittest.TestCase):
    """The server's protocol reads what h11 alone reads."""

    def check(self, data):
        for step in (1, 3, 16, len(data)):
            pieces = [data[start : start + step] for start in range(0, len(data), step)]
            for ended in ([], [b""]):
                with self.subTest(data=data, step=step, ended=bool(ended)):
                    own = read_all(create_protocol(Limits()), pieces + ended)
                    expected = read_all(h11.Connection(h11.SERVER), pieces + ended)
                    self.assertEqual(own, expected)

    def test_requests(self):
        """Guards against requests that begin or end elsewhere than h11 sees them."""
        length = b"POST /l HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello"
        for data in (
            NEXT,
            NEXT + NEXT,
            length + NEXT + length,
            HEAD + END,
            HEAD + b"5\r\nhello\r\n" + END + NEXT,
            HEAD + b"1\r\na\r\n" * 30 + END + HEAD + b"2\r\nab\r\n" + END + length,
            HEAD + b"1;q=1\r\na\r\n0;z\r\nx-trailer: 1\r\n\r\n" + NEXT,
            HEAD + b"1\r\na\r\n0\r\n\n" + NEXT,
            HEAD + b"1\r\na\r\n0\r\nx\r\n\r\n" + NEXT,
            HEAD + b"1\r\na\r\n0\r\n",
            HEAD + b"1\r\na",
            HEAD + b"1\r\na\r\n0\r\n\r",
            HEAD + b"zz\r\na\r\n" + END,
            HEAD + b"2\r\na\r\n" + END + NEXT,
            b"\r\n" + NEXT,
            b"\r",
            b"\n",
            b"POST /a HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n" + END,
            NEXT.replace(b"\r\n", b"\n"),
            HEAD.replace(b"chunked", b"gzip, chunked") + END,
            length.replace(b"5", b"5, 5"),
            length.replace(b"5", b"5, 6"),
        ):
            self.check(data)

    def test_header_lines_are_bounded(self):
        """Guards against heads and trailers of thousands of lines, parsed at once."""
        limits = Limits(max_header_lines=10)
        lines = b"a: b\r\n" * 10
        for data in (NEXT[:-2] + lines + b"\r\n", HEAD + b"0\r\n" + lines + b"\r\n"):
            for step in (7, len(data)):
                pieces = [
                    data[start : start + step] for start in range(0, len(data), step)
                ]
                seen = read_all(create_protocol(limits), pieces)
                self.assertEqual(seen[-1], ("error", 431))

    def test_long_head_in_one_read(self):
        """Guards against a limit that holds only for heads in several reads."""
        data = NEXT[:-2] + b"a: " + b"b" * 20_000 + b"\r\n\r\n"
        self.assertEqual(read_all(create_protocol(Limits()), [data]), [("error", 431)])


class ServerTest(unittest.TestCase):
    """A server takes turns between the callers."""

    def run_with_server(self, scenario, **limits):
        self.bodies = []

        async def respond(request, responder):
            self.bodies.append(request.body)
            await responder.respond(200, b"%d" % len(request.body))

        async def main():
            transport = create_memory_transport()
            server = create_http_server(respond, Limits(**limits))
            await server.start(transport, ADDRESS, 0)
            self.transport, self.port = transport, server.port
            self.incomplete = server._incomplete
            try:
                async with curio.timeout_after(ANSWER_TIMEOUT_S):
                    await scenario()
            finally:
                await server.close()

        curio.run(main)

    async def ask(self, data):
        stream = await self.transport.connect(ADDRESS, self.port)
        try:
            await stream.sendall(data)
            return await read_answer(stream)
        finally:
            await stream.close()

    def test_other_tasks_run_between_the_chunks(self):
        """Guards against a read of 64 KiB that is decoded without a turn for others."""
        turns = 0

        async def count():
            nonlocal turns
            while True:
                await curio.sleep(0)
                turns += 1

        async def scenario():
            nonlocal turns
            counter = await curio.spawn(count, daemon=True)
            content = b"x" * 30_000
            data = HEAD + create_chunks(content, [1, 2] * 10_000) + END
            stream = await self.transport.connect(ADDRESS, self.port)
            turns = 0
            await stream.sendall(data)
            self.assertEqual(await read_answer(stream), (200, b"30000"))
            self.assertGreater(turns, 30)
            await counter.cancel()
            await stream.close()

        self.run_with_server(scenario)

    def test_body_in_chunks_of_one_byte_is_served(self):
        """Guards against limits that a single caller meets in calm."""

        async def scenario():
            content = random.Random(1).randbytes(300_000)
            data = HEAD + create_chunks(content, [1]) + END
            self.assertEqual(await self.ask(data), (200, b"300000"))
            self.assertEqual(self.bodies, [content])

        self.run_with_server(scenario)

    def test_endless_extension_is_refused(self):
        """Guards against a body of a few bytes that takes any number of them."""

        async def scenario():
            status, body = await self.ask(HEAD + b"1;%b\r\na\r\n" % (b"a" * 4_000) * 30)
            self.assertEqual(status, 413)
            self.assertIn(b'"not_run"', body)
            self.assertEqual(self.bodies, [])

        self.run_with_server(scenario)

    def test_body_that_stands_still_is_refused(self):
        """Guards against bodies that stop short and keep their connection."""

        async def scenario():
            status, body = await self.ask(HEAD + b"1\r\na\r\n")
            self.assertEqual(status, 408)
            self.assertIn(b'"not_run"', body)
            self.assertEqual(self.bodies, [])

        self.run_with_server(scenario, body_pause_s=0.2)

    def test_silent_body_gives_its_place_to_others(self):
        """Guards against unfinished bodies that take all connections."""

        async def scenario():
            streams = [
                await self.transport.connect(ADDRESS, self.port) for _ in range(4)
            ]
            for stream in streams:
                await stream.sendall(HEAD + b"1\r\na\r\n")
            status = 503
            while status == 503:
                await curio.sleep(0.1)
                status, _ = await self.ask(NEXT)
            self.assertEqual(status, 200)
            # The first two were silent for the longest time.
            for stream in streams[:2]:
                status, body = await read_answer(stream)
                self.assertEqual(status, 503)
                self.assertIn(b'"not_run"', body)
                self.assertIn(b'"too_many_incomplete"', body)
            for stream in streams[2:]:
                await stream.sendall(END)
                self.assertEqual(await read_answer(stream), (200, b"1"))
            for stream in streams:
                await stream.close()
            self.assertEqual(self.bodies, [b"", b"a", b"a"])

        self.run_with_server(scenario, max_connections=4)

    async def send_and_wait_for_turn(self, pause_s):
        """Return a connection whose body waits for its turn, after a pause before."""
        stream = await self.transport.connect(ADDRESS, self.port)
        await stream.sendall(HEAD)
        await curio.sleep(pause_s)
        await stream.sendall(create_chunks(b"x" * 10_000, [1]) + END)
        return stream

    def test_body_that_waits_for_its_turn_is_not_silent(self):
        """Guards against a 503 for silence that the server has caused."""

        async def scenario():
            async with self.incomplete._turns:
                honest = await self.send_and_wait_for_turn(0.1)
                await curio.sleep(0.1)
                silent = await self.transport.connect(ADDRESS, self.port)
                await silent.sendall(HEAD + b"1\r\na\r\n")
                status = 503
                while status == 503:
                    await curio.sleep(0.1)
                    status, _ = await self.ask(NEXT)
                self.assertEqual(status, 200)
            self.assertEqual(await read_answer(honest), (200, b"10000"))
            status, body = await read_answer(silent)
            self.assertEqual(status, 503)
            self.assertIn(b'"too_many_incomplete"', body)
            for stream in (honest, silent):
                await stream.close()

        self.run_with_server(scenario, max_connections=2)

    def test_body_timeout_leaves_out_the_wait_for_a_turn(self):
        """Guards against a 408 for time that other bodies have taken."""

        async def scenario():
            async with self.incomplete._turns:
                stream = await self.send_and_wait_for_turn(1.2)
                await curio.sleep(1.4)
            self.assertEqual(await read_answer(stream), (200, b"10000"))
            await stream.close()

        self.run_with_server(scenario, body_timeout_s=2.0)

    def test_waits_for_turns_are_bounded(self):
        """Guards against bodies that keep their connections while turns are short."""

        async def scenario():
            async with self.incomplete._turns:
                stream = await self.send_and_wait_for_turn(0.0)
                status, body = await read_answer(stream)
            self.assertEqual(status, 503)
            self.assertIn(b'"not_run"', body)
            self.assertIn(b'"too_many_incomplete"', body)
            self.assertEqual(self.bodies, [])
            await stream.close()

        self.run_with_server(scenario, body_timeout_s=0.3)

    def test_trickling_bodies_do_not_keep_all_connections(self):
        """Guards against callers that send a byte just before they count as silent."""

        async def trickle(stream):
            try:
                while True:
                    await stream.sendall(b"1\r\na\r\n")
                    await curio.sleep(0.3)
            except OSError:
                pass

        async def scenario():
            streams = [
                await self.transport.connect(ADDRESS, self.port) for _ in range(4)
            ]
            tasks = []
            for stream in streams:
                await stream.sendall(HEAD)
                tasks.append(await curio.spawn(trickle, stream, daemon=True))
            statuses = []
            async with curio.ignore_after(8.0):
                while 200 not in statuses:
                    await curio.sleep(0.1)
                    statuses.append((await self.ask(NEXT))[0])
            for task in tasks:
                await task.cancel()
            for stream in streams:
                await stream.close()
            self.assertIn(200, statuses)

        self.run_with_server(scenario, max_connections=4)


class IncompleteRequestsTest(unittest.TestCase):
    """Which incomplete requests are refused."""

    def setUp(self):
        self.now_s = 0.0
        self.refused = []

    def create_request(self, name):
        class Request:
            def displace(_):
                self.refused.append(name)

        return Request()

    def test_longest_silent_request_goes_first(self):
        """Guards against callers that make progress being refused for silent ones."""
        incomplete = create_incomplete_requests(lambda: 2)
        incomplete._clock = lambda: self.now_s
        requests = [self.create_request(number) for number in range(3)]
        for request in requests[:2]:
            incomplete.record_wait(request)
        self.now_s = 5.0
        incomplete.record_wait(requests[0])
        self.assertEqual(self.refused, [])
        incomplete.record_wait(requests[2])
        self.assertEqual(self.refused, [1])
        # The others have made progress a moment ago.
        incomplete.free_places(is_full=True)
        self.assertEqual(self.refused, [1])
        self.now_s = 10.0
        incomplete.free_places()
        self.assertEqual(self.refused, [1])
        incomplete.free_places(is_full=True)
        self.assertEqual(self.refused, [1, 0])

    def test_slowest_request_goes_when_none_is_silent(self):
        """Guards against displacing callers in their grace or above the rate."""
        incomplete = create_incomplete_requests(lambda: 1)
        incomplete._clock = lambda: self.now_s
        requests = [self.create_request(number) for number in range(4)]
        sizes = [3_000, 2_000, 8_000, 0]
        for request in requests[:3]:
            incomplete.record_wait(request)
        self.now_s = 1.9
        for request in requests[:3]:
            incomplete.record_progress(request)
        for request, size in zip(requests, sizes, strict=True):
            incomplete.record_wait(request, size)
        self.assertFalse(incomplete.free_slow_place(2_000.0))
        self.now_s = 2.1
        # The last one has begun a moment ago.
        self.assertTrue(incomplete.free_slow_place(2_000.0))
        self.assertEqual(self.refused, [1])
        self.assertTrue(incomplete.free_slow_place(2_000.0))
        self.assertEqual(self.refused, [1, 0])
        self.assertFalse(incomplete.free_slow_place(2_000.0))
        self.assertEqual(self.refused, [1, 0])

    def test_slow_requests_keep_the_places(self):
        """Guards against displacing slow callers that take only their share."""
        incomplete = create_incomplete_requests(lambda: 1)
        incomplete._clock = lambda: self.now_s
        incomplete.record_wait(self.create_request(0))
        self.now_s = 5.0
        self.assertFalse(incomplete.free_slow_place(2_000.0))
        self.assertEqual(self.refused, [])

    def test_request_that_makes_progress_is_not_silent(self):
        """Guards against refusing requests that wait for the server."""
        incomplete = create_incomplete_requests(lambda: 1)
        incomplete._clock = lambda: self.now_s
        requests = [self.create_request(number) for number in range(2)]
        incomplete.record_wait(requests[0])
        incomplete.record_progress(requests[0])
        self.now_s = 0.5
        incomplete.record_wait(requests[1])
        self.assertEqual(len(incomplete), 2)
        self.now_s = 5.0
        incomplete.free_places()
        self.assertEqual(self.refused, [1])


if __name__ == "__main__":
    unittest.main()
