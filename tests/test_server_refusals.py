"""Tests of refusals by an HTTP server whose callers are still sending."""

import unittest

import curio

from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import create_socket_transport
from tests.raw_caller import read_answer, read_response

PART = b"x" * 100_000
PARTS = 10
HEAD = f"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {len(PART) * PARTS}\r\n\r\n"


async def _echo(request, responder):
    await responder.respond(200, request.body)


class RefusalTest(unittest.TestCase):
    """A caller reads the refusal once it has sent its whole request."""

    def check_refusal(self, head, status, **limits):
        async def main():
            transport = create_socket_transport()
            server = create_http_server(_echo, Limits(**limits))
            await server.start(transport, "127.0.0.1", 0)
            kept = await transport.connect("127.0.0.1", server.port)
            await kept.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await read_answer(kept)
            stream = await transport.connect("127.0.0.1", server.port)
            await stream.sendall(head)
            for _ in range(PARTS):
                await stream.sendall(PART)
                await curio.sleep(0.01)
            answered, headers, _ = await read_response(stream)
            self.assertEqual((answered, headers["connection"]), (status, "close"))
            await kept.close()
            async with curio.timeout_after(5.0):
                while server.connection_count:
                    await curio.sleep(0.01)
            await stream.close()
            await server.close()

        curio.run(main)

    def test_caller_whose_body_is_too_large_reads_why(self):
        """Guards against a reset that takes the response with it."""
        self.check_refusal(HEAD.encode(), 413, max_body_bytes=1000)

    def test_caller_whose_head_is_too_large_reads_why(self):
        self.check_refusal(b"POST / HTTP/1.1\r\nhost: a\r\nx-more: ", 431)

    def test_caller_whose_head_is_malformed_reads_why(self):
        self.check_refusal(b"POST\r\n\r\n", 400)

    def test_caller_beyond_the_limit_of_connections_reads_why(self):
        self.check_refusal(HEAD.encode(), 503, max_connections=1)

    def test_tunnel_is_refused_before_it_runs(self):
        """Guards against a request that runs and gets no answer (LOST)."""
        runs = []

        async def handle(request, responder):
            runs.append(request.method)
            await responder.respond(200, b"done")

        async def main():
            transport = create_socket_transport()
            server = create_http_server(handle, Limits())
            await server.start(transport, "127.0.0.1", 0)
            stream = await transport.connect("127.0.0.1", server.port)
            await stream.sendall(b"CONNECT /a HTTP/1.1\r\nhost: a\r\n\r\n")
            status, headers, _ = await read_response(stream)
            self.assertEqual((status, headers["connection"]), (501, "close"))
            self.assertEqual(runs, [])
            await stream.close()
            await server.close()

        curio.run(main)


if __name__ == "__main__":
    unittest.main()
