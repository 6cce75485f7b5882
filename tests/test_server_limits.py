"""Tests of an HTTP server whose limits change while connections are kept."""

import time
import unittest

import curio

from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import create_socket_transport
from tests.raw_caller import read_answer

REQUEST = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"


async def _echo(request, responder):
    await responder.respond(200, request.body or request.path.encode())


class KeptConnectionTest(unittest.TestCase):
    """New limits hold for kept connections too, and cut off no request."""

    def run_on_kept_connection(self, scenario, **limits):
        """Run a scenario on a connection that has carried one request."""

        async def main():
            transport = create_socket_transport()
            server = create_http_server(_echo, Limits(**limits))
            await server.start(transport, "127.0.0.1", 0)
            try:
                stream = await transport.connect("127.0.0.1", server.port)
                await stream.sendall(REQUEST)
                self.assertEqual(await read_answer(stream), (200, b"/a"))
                # The server waits for the next request by then.
                await curio.sleep(0.1)
                await scenario(server, stream)
                await stream.close()
            finally:
                await server.close()

        curio.run(main)

    def test_longer_idle_timeout_holds_for_an_idle_connection(self):
        """Guards against closing a connection that its caller may still use (LOST)."""

        async def scenario(server, stream):
            server.set_limits(Limits(idle_timeout_s=5.0))
            await curio.sleep(0.8)
            await stream.sendall(REQUEST)
            self.assertEqual(await read_answer(stream), (200, b"/a"))

        self.run_on_kept_connection(scenario, idle_timeout_s=0.4)

    def test_request_that_arrives_with_the_end_of_the_idle_timeout(self):
        async def scenario(server, stream):
            await stream.sendall(REQUEST)
            # Both have happened by the time that the server runs again.
            time.sleep(0.4)
            self.assertEqual(await read_answer(stream), (200, b"/a"))

        self.run_on_kept_connection(scenario, idle_timeout_s=0.2)

    def test_shorter_idle_timeout_holds_from_the_next_request_on(self):
        async def scenario(server, stream):
            server.set_limits(Limits(idle_timeout_s=0.2))
            await stream.sendall(REQUEST)
            self.assertEqual(await read_answer(stream), (200, b"/a"))
            async with curio.timeout_after(3.0):
                self.assertEqual(await stream.recv(100), b"")

        self.run_on_kept_connection(scenario, idle_timeout_s=60.0)

    def test_larger_header_bound_holds_for_a_kept_connection(self):
        """Guards against refusing a proper request by an older bound (DENIED)."""
        head = REQUEST[:-2] + b"x-more: " + b"m" * 20_000

        async def scenario(server, stream):
            server.set_limits(Limits(max_header_bytes=40_000))
            await stream.sendall(head)
            await curio.sleep(0.1)
            await stream.sendall(b"\r\n\r\n")
            self.assertEqual(await read_answer(stream), (200, b"/a"))

        self.run_on_kept_connection(scenario, max_header_bytes=10_000)


if __name__ == "__main__":
    unittest.main()
