"""Tests of the writes in which messages with large bodies are sent."""

import unittest

import curio
import h11

from buckthorndeal._http_connection import (
    ClientConnection,
    create_protocol,
    send_request,
)
from buckthorndeal._http_responding import Responder
from buckthorndeal.memory import SMALL_BYTES, create_memory_account

LARGE = b"x" * (SMALL_BYTES + 1)
SMALL = b"x" * SMALL_BYTES


class Writes:
    """Stream that records what is sent over it."""

    def __init__(self):
        self.writes = []

    async def sendall(self, data):
        self.writes.append(data)


def respond(body, method="GET"):
    """Return the writes of a response."""
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(f"{method} / HTTP/1.1\r\nhost: a\r\n\r\n".encode())
    protocol.next_event()
    writes = Writes()
    responder = Responder(writes, protocol)
    responder.is_body_allowed = method != "HEAD"
    curio.run(responder.respond_whole, 200, [], body)
    return writes.writes


def request(body):
    """Return the writes of a request."""
    writes = Writes()
    connection = ClientConnection(
        writes, create_protocol(), create_memory_account(), "a:1"
    )
    curio.run(send_request, connection, "POST", "/", [("host", "a")], body)
    return writes.writes


class LargeBodyTest(unittest.TestCase):
    """Guards against a copy of each large body together with its head."""

    def check_writes(self, send):
        head, body = send(LARGE)
        self.assertIs(body, LARGE)
        self.assertIn(b"content-length: %d\r\n" % len(LARGE), head)
        (whole,) = send(SMALL)
        self.assertTrue(whole.endswith(b"\r\n\r\n" + SMALL))

    def test_response(self):
        self.check_writes(respond)

    def test_request(self):
        self.check_writes(request)

    def test_response_to_head(self):
        (head,) = respond(LARGE, "HEAD")
        self.assertTrue(head.endswith(b"\r\n\r\n"))


if __name__ == "__main__":
    unittest.main()
