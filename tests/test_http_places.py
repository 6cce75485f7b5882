"""Tests of a full HTTP server, whose callers do not behave."""

import unittest

import curio

from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import create_memory_transport, create_socket_transport
from tests.raw_caller import read_answer

ADDRESS = "127.0.0.1"
PLACES = 4
# Longer than the times for which a connection keeps its place in any case.
ATTEMPTS = 40
PAUSE_S = 0.2
TIMEOUT_S = 60.0
LARGE = b"x" * (16 << 20)
GET = b"GET /%b HTTP/1.1\r\nhost: x\r\n\r\n"


class FullServerTest(unittest.TestCase):
    """Each test takes all places of a server, and asks it for something."""

    def run_with_server(self, scenario, transport=None, **limits):
        async def main():
            options = {"max_connections": PLACES, **limits}
            server = create_http_server(self.respond, Limits(**options))
            self.transport = transport or create_memory_transport()
            await server.start(self.transport, ADDRESS, 0)
            self.server = server
            try:
                async with curio.timeout_after(TIMEOUT_S):
                    await scenario()
            finally:
                await server.close()

        curio.run(main)

    async def respond(self, request, responder):
        await responder.respond(200, LARGE if request.path == "/large" else b"")

    async def connect(self, data=b""):
        stream = await self.transport.connect(ADDRESS, self.server.port)
        await stream.sendall(data)
        return stream

    async def ask(self):
        """Return the statuses of a request that is repeated until it is served."""
        statuses = []
        while 200 not in statuses and len(statuses) < ATTEMPTS:
            await curio.sleep(PAUSE_S)
            stream = await self.connect(GET % b"")
            statuses.append((await read_answer(stream))[0])
            await stream.close()
        return statuses

    def read_counter(self, name):
        return self.transport.read_counters()[name]

    def check_crowd(self, data, *arguments, **limits):
        async def scenario():
            self.crowd = [await self.connect(data) for _ in range(PLACES)]
            statuses = await self.ask()
            self.assertEqual(statuses[0], 503)
            self.assertEqual(statuses[-1], 200)

        self.run_with_server(scenario, *arguments, **limits)

    def test_connections_without_a_request_make_room(self):
        """Guards against callers that connect, send nothing and take all places."""
        self.check_crowd(b"")
        self.assertGreater(self.read_counter("connections_closed_for_others"), 0)
        self.assertGreater(self.read_counter("connections_refused"), 0)

    def test_heads_without_end_make_room(self):
        """Guards against heads that take all places until their time is over."""
        self.check_crowd(b"GET / HTTP/1.1\r\nhost: ", header_timeout_s=TIMEOUT_S)

    def test_responses_that_are_not_read_make_room(self):
        """Guards against callers that read nothing and keep their places."""
        self.check_crowd(GET % b"large", create_socket_transport())
        self.assertGreater(self.read_counter("connections_closed_for_others"), 0)

    def test_response_that_is_not_read_ends(self):
        """Guards against responses that are kept for ever as nobody reads them."""

        async def scenario():
            stream = await self.connect(GET % b"large")
            while not self.server.active_requests:
                await curio.sleep(PAUSE_S)
            while self.server.active_requests:
                await curio.sleep(PAUSE_S)
            await stream.close()

        self.run_with_server(scenario, create_socket_transport(), send_pause_s=1.0)
        self.assertEqual(self.read_counter("connections_closed_for_others"), 1)

    def test_response_that_is_read_slowly_goes_on(self):
        """Guards against an end of responses whose callers take some of them."""

        async def scenario():
            stream = await self.connect(GET % b"large")
            received = 0
            # The pauses add up to more than the limit of one.
            for _ in range(15):
                await curio.sleep(PAUSE_S)
                received += len(await stream.recv(1 << 20))
            while received <= len(LARGE):
                part = await stream.recv(1 << 20)
                self.assertTrue(part)
                received += len(part)
            await stream.close()

        self.run_with_server(scenario, create_socket_transport(), send_pause_s=1.0)
        self.assertEqual(self.read_counter("connections_closed_for_others"), 0)

    def test_used_connections_stay_while_unused_ones_can_go(self):
        """Guards against newcomers that take the places of callers that keep theirs."""

        async def scenario():
            kept = await self.connect(GET % b"")
            await read_answer(kept)
            for _ in range(PLACES - 1):
                await self.connect()
            self.assertEqual((await self.ask())[-1], 200)
            await kept.sendall(GET % b"")
            self.assertEqual((await read_answer(kept))[0], 200)

        self.run_with_server(scenario)


if __name__ == "__main__":
    unittest.main()
