"""Tests of the memory that an HTTP server holds for requests."""

import gc
import unittest

import curio
import h11

from buckthorndeal.http_server import create_http_server
from buckthorndeal.memory import MemoryAccount
from buckthorndeal.settings import Limits
from buckthorndeal.transport import create_memory_transport, create_socket_transport
from tests.raw_caller import read_answer
from tests.raw_request import TIMEOUT_S, create_head, start_unfinished

ADDRESS = "127.0.0.1"
MIB = 1 << 20
CAPACITY_BYTES = 32 * MIB
BODY_BYTES = 4 * MIB
MANY = 120


class MemoryCase(unittest.TestCase):
    """Each test runs a server whose account has a small capacity."""

    create_transport = staticmethod(create_memory_transport)

    def run_with_server(self, scenario, capacity_bytes=CAPACITY_BYTES, **options):
        self.requests = []
        self.ran = []
        self.blocked = None

        async def main():
            self.blocked = curio.Event()
            limits = Limits(**options.pop("limits", {}))
            server = create_http_server(self.respond, limits, **options)
            self.transport = self.create_transport()
            self.account = MemoryAccount(capacity_bytes, lambda: 0.0)
            self.transport.memory = self.account
            await server.start(self.transport, ADDRESS, 0)
            self.server = server
            try:
                async with curio.timeout_after(60.0):
                    await scenario()
                    for request in self.requests:
                        await request.close()
                    await self.wait_until_released()
            finally:
                await server.close()

        curio.run(main)

    async def respond(self, request, responder):
        self.ran.append(request.path)
        if request.path == "/blocked":
            await self.blocked.wait()
        await responder.respond(200, b"%d" % len(request.body))

    async def start(self, count, length=BODY_BYTES, **head):
        started = await start_unfinished(
            self.transport, ADDRESS, self.server.port, count, length, **head
        )
        self.requests += started
        return started

    async def connect(self, data=b""):
        stream = await self.transport.connect(ADDRESS, self.server.port)
        await stream.sendall(data)
        return stream

    async def ask(self, data):
        stream = await self.connect(data)
        async with curio.timeout_after(TIMEOUT_S):
            answer = await read_answer(stream)
        await stream.close()
        return answer

    async def wait_until_released(self):
        while self.account.held_bytes or self.account._bookings:
            await curio.sleep(0.01)

    async def wait_until_held(self, size_bytes):
        while self.account.held_bytes < size_bytes:
            await curio.sleep(0.01)

    def check_refused(self, answer):
        status, body = answer
        self.assertEqual(status, 503)
        self.assertIn(b'"not_run"', body)
        self.assertIn(b'"memory_short"', body)
        self.assertIn(b"retry_after_s", body)


class UnfinishedBodyTest(MemoryCase):
    """Bodies that stay unfinished hold no more than the account."""

    def test_many_unfinished_bodies_stay_within_the_account(self):
        """Guards against a process that ends as callers do not finish (LOST)."""

        async def scenario():
            requests = await self.start(MANY)
            for request in requests:
                await request._task.join()
            await curio.sleep(0.1)
            self.assertLessEqual(self.account.peak_bytes, CAPACITY_BYTES)
            self.assertEqual(
                await self.ask(create_head("/small", 10_000) + b"s" * 10_000),
                (200, b"10000"),
            )
            answers = [await request.finish() for request in requests]
            served = [each for each in answers if each[0] == 200]
            self.assertGreaterEqual(len(served), 4)
            self.assertLess(len(served) * BODY_BYTES, CAPACITY_BYTES)
            for answer in answers:
                if answer[0] != 200:
                    self.check_refused(answer)
            self.assertEqual(self.ran, ["/small"] + ["/a"] * len(served))

        self.run_with_server(scenario)

    def test_cut_request_is_told_at_once(self):
        """Guards against a cut request that waits for its body timeout."""
        length = BODY_BYTES - 100_000

        async def scenario():
            large = await self.start(4)
            await self.wait_until_held(4 * (BODY_BYTES - 1))
            answer = await self.ask(create_head("/b", length) + b"s" * length)
            self.assertEqual(answer, (200, b"%d" % length))
            await curio.sleep(0.1)
            cut = [each for each in large if each.answer is not None]
            self.assertEqual(len(cut), 1)
            self.check_refused(cut[0].answer)
            self.assertEqual(self.ran, ["/b"])

        self.run_with_server(
            scenario, capacity_bytes=26 * MIB, limits={"body_timeout_s": 600.0}
        )

    def test_body_without_a_length_is_refused_when_there_is_no_room(self):
        async def scenario():
            await self.start(1, 5 * MIB)
            await self.wait_until_held(4 * MIB)
            stream = await self.connect(create_head(length=None))
            part = b"100000\r\n" + b"b" * MIB + b"\r\n"
            sender = await curio.spawn(self.send_parts, stream, part)
            self.check_refused(await read_answer(stream))
            await sender.cancel()
            await stream.close()
            self.assertEqual(self.ran, [])

        self.run_with_server(
            scenario, limits={"max_body_bytes": 64 * MIB}, capacity_bytes=26 * MIB
        )

    async def send_parts(self, stream, part):
        try:
            while True:
                await stream.sendall(part)
        except OSError:
            return

    def test_incomplete_heads_are_bounded(self):
        """Guards against heads that are held without a bound of their sum."""
        head = create_head(headers=["x-more: " + "m" * 60_000])[:-4]

        async def scenario():
            streams = []
            for _ in range(300):
                stream = await self.connect(head)
                await curio.sleep(0)
                await stream.sendall(b"n")
                streams.append(stream)
            await curio.sleep(0.1)
            self.assertLessEqual(self.account.peak_bytes, 8 * MIB)
            self.assertGreater(self.account.peak_bytes, 2 * MIB)
            refused = [each for each in streams if each.is_readable()]
            self.assertGreater(len(refused), 100)
            for stream in refused:
                self.check_refused(await read_answer(stream))
            for stream in streams:
                await stream.close()

        self.run_with_server(
            scenario,
            capacity_bytes=8 * MIB,
            limits={"max_header_bytes": 100_000, "header_timeout_s": 600.0},
        )

    def test_many_tiny_chunks_cost_what_they_carry(self):
        """Guards against parts that take many times the room of their bytes."""

        async def scenario():
            body = b"1\r\nb\r\n" * 20_000 + b"0\r\n\r\n"
            answer = await self.ask(create_head(length=None) + body)
            self.assertEqual(answer, (200, b"20000"))
            self.assertLess(self.account.peak_bytes, 100_000)

        self.run_with_server(scenario)


class RefusalTest(MemoryCase):
    """A request without room is refused, as one that was not run."""

    def test_length_that_can_never_fit_is_refused_at_the_head(self):
        """Guards against receiving a body that is refused in any case."""

        async def scenario():
            self.check_refused(await self.ask(create_head(length=3 * MIB)))
            self.assertEqual(self.account.peak_bytes, 0)

        self.run_with_server(scenario, capacity_bytes=8 * MIB)

    def test_refused_body_is_not_kept_while_its_rest_is_discarded(self):
        """Guards against buffers of refused requests that no account bounds."""

        async def scenario():
            # Other tests have left protocols.
            gc.collect()
            data = create_head(length=3 * MIB) + b"b" * 60_000
            streams = [await self.connect(data) for _ in range(100)]
            for stream in streams:
                self.check_refused(await read_answer(stream))
            protocols = [
                each for each in gc.get_objects() if isinstance(each, h11.Connection)
            ]
            buffered = sum(len(each.trailing_data[0]) for each in protocols)
            self.assertGreater(self.server._listener.connection_count, 50)
            self.assertLess(buffered, 10 * 60_000)
            for stream in streams:
                await stream.close()

        self.run_with_server(scenario, capacity_bytes=8 * MIB)

    def test_expectation_is_answered_after_room_was_found(self):
        async def scenario():
            head = create_head(length=3 * MIB, headers=["expect: 100-continue"])
            self.check_refused(await self.ask(head))
            stream = await self.connect(head.replace(b"3145728", b"3000"))
            self.assertTrue((await stream.recv(100)).startswith(b"HTTP/1.1 100 "))
            await stream.sendall(b"b" * 3_000)
            self.assertEqual(await read_answer(stream), (200, b"3000"))
            await stream.close()

        self.run_with_server(scenario, capacity_bytes=8 * MIB)

    def test_refusal_of_a_head_request_is_answered(self):
        """Guards against a closed connection in place of the answer."""

        async def scenario():
            stream = await self.connect(create_head(length=3 * MIB, method="HEAD"))
            answer = await stream.recv(4096)
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
            self.assertIn(b"\r\nretry-after: 1\r\n", answer.lower())
            self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)
            await stream.close()

        self.run_with_server(scenario, capacity_bytes=8 * MIB)

    def test_errors_have_the_form_of_the_server(self):
        """Guards against a refusal without the verdict that other hosts read."""

        async def respond_error(responder, error):
            headers = [("x-verdict", error.verdict.value)]
            await responder.respond_json(error.status, {}, headers)

        async def scenario():
            stream = await self.connect(create_head(length=3 * MIB))
            answer = (await stream.recv(4096)).lower()
            self.assertIn(b"x-verdict: not_run", answer)
            self.assertIn(b"connection: close", answer)
            await stream.close()

        self.run_with_server(
            scenario, capacity_bytes=8 * MIB, respond_error=respond_error
        )

    def test_limit_of_a_path_holds_before_the_body(self):
        def limit_body(method, path):
            return {"/report": 1_000, "/query": 0}.get(path)

        async def scenario():
            for path, length, status in (
                ("/report", 1_000, 200),
                ("/query", 0, 200),
                ("/other", 2_000, 200),
            ):
                data = create_head(path, length) + b"b" * length
                self.assertEqual((await self.ask(data))[0], status)
            for path, length in (("/report", 1_001), ("/query", 1)):
                status, body = await self.ask(create_head(path, length))
                self.assertEqual(status, 413)
                self.assertIn(b'"body_too_large"', body)
            chunks = b"3e9\r\n" + b"b" * 1_001 + b"\r\n0\r\n\r\n"
            status, _ = await self.ask(create_head("/report", None) + chunks)
            self.assertEqual(status, 413)

        self.run_with_server(scenario, limit_body=limit_body)


class ReleaseTest(MemoryCase):
    """What a request held is released, however it ends."""

    def test_body_is_held_until_the_response(self):
        async def scenario():
            head = create_head("/blocked", MIB)
            stream = await self.connect(head + b"b" * MIB)
            await self.wait_until_held(MIB)
            await curio.sleep(0.05)
            self.assertLess(self.account.held_bytes, 1.1 * MIB)
            await self.blocked.set()
            self.assertEqual(await read_answer(stream), (200, b"%d" % MIB))
            await self.wait_until_released()
            await stream.close()

        self.run_with_server(scenario)

    def test_running_request_is_never_cut(self):
        async def scenario():
            head = create_head("/blocked", 3 * MIB)
            streams = [await self.connect(head + b"b" * 3 * MIB) for _ in range(6)]
            await self.wait_until_held(18 * MIB)
            await self.start(20)
            await curio.sleep(0.3)
            self.assertLessEqual(self.account.peak_bytes, CAPACITY_BYTES)
            await self.blocked.set()
            for stream in streams:
                self.assertEqual((await read_answer(stream))[0], 200)
                await stream.close()

        self.run_with_server(scenario)

    def test_callers_that_leave_release_what_they_sent(self):
        async def scenario():
            requests = await self.start(4)
            await self.wait_until_held(4 * 4 * MIB - 100)
            stream = await self.connect(create_head("/blocked", MIB) + b"b" * MIB)
            await curio.sleep(0.05)
            for request in requests:
                await request.close()
            await stream.close()

        self.run_with_server(scenario)

    def test_close_releases_everything(self):
        async def scenario():
            await self.start(4)
            await self.connect(create_head("/blocked", MIB) + b"b" * MIB)
            await self.wait_until_held(4 * 4 * MIB)
            await self.server.close()

        self.run_with_server(scenario)

    def test_slow_body_releases_at_its_timeout(self):
        async def scenario():
            (request,) = await self.start(1)
            status, _ = await request.wait_for_answer()
            self.assertEqual(status, 408)

        self.run_with_server(scenario, limits={"body_timeout_s": 0.3})

    def test_refused_connections_release_what_they_sent(self):
        async def scenario():
            kept = await self.connect(create_head())
            self.assertEqual((await read_answer(kept))[0], 200)
            requests = await self.start(30, 50_000)
            for request in requests:
                status, body = await request.finish()
                self.assertEqual(status, 503)
                self.assertIn(b"too_many_connections", body)
            await kept.close()

        self.run_with_server(scenario, limits={"max_connections": 1})


class PipelinedTest(MemoryCase):
    """Requests that follow a running one are held within the account."""

    def test_pipelined_requests_stay_within_the_account(self):
        """Guards against what is read ahead for many callers."""
        ahead = create_head("/b", 100_000) + b"b" * 100_000

        async def scenario():
            streams = [
                await self.connect(create_head("/blocked") + ahead) for _ in range(300)
            ]
            await curio.sleep(0.3)
            self.assertLessEqual(self.account.peak_bytes, 8 * MIB)
            await self.blocked.set()
            statuses = [await self.list_statuses(stream) for stream in streams]
            for each in statuses:
                self.assertIn(each, ([200, 200], [200, 503], [503]))
            self.assertGreater(statuses.count([200, 200]), 50)
            for stream in streams:
                await stream.close()

        self.run_with_server(scenario, capacity_bytes=8 * MIB)

    async def list_statuses(self, stream):
        """Return the statuses of two answers, or of one that ends the connection."""
        statuses = [(await read_answer(stream))[0]]
        if statuses == [200]:
            statuses.append((await read_answer(stream))[0])
        return statuses

    def test_pipelined_requests_are_served_and_released(self):
        async def scenario():
            for length in (0, 3_000, 30_000, 300_000):
                request = create_head("/a", length) + b"b" * length
                stream = await self.connect()
                sender = await curio.spawn(stream.sendall, request * 20)
                for _ in range(20):
                    answer = await read_answer(stream)
                    self.assertEqual(answer, (200, b"%d" % length))
                await sender.join()
                await stream.close()

        self.run_with_server(scenario)


class SocketTest(MemoryCase):
    """The same over sockets, where unread bytes reset a connection."""

    create_transport = staticmethod(create_socket_transport)

    def test_refusal_arrives_though_the_caller_sends_on(self):
        """Guards against a refusal that is lost as its connection is reset."""

        async def scenario():
            for length in (3 * MIB, 5 * MIB):
                stream = await self.connect(create_head(length=length))
                await stream.sendall(b"b" * length)
                # The caller reads only after it has sent everything.
                await curio.sleep(0.2)
                status, _ = await read_answer(stream)
                self.assertEqual(status, 503 if length == 3 * MIB else 413)
                await stream.close()

        self.run_with_server(scenario, capacity_bytes=8 * MIB)

    def test_cut_requests_are_told_though_they_send_on(self):
        async def scenario():
            requests = await self.start(60)
            await curio.sleep(0.5)
            answers = [await request.finish() for request in requests]
            self.assertGreaterEqual([each[0] for each in answers].count(200), 4)
            for answer in answers:
                if answer[0] != 200:
                    self.check_refused(answer)
            self.assertLessEqual(self.account.peak_bytes, CAPACITY_BYTES)

        self.run_with_server(scenario)


if __name__ == "__main__":
    unittest.main()
