"""Tests of the buffers that the kernel keeps for connections."""

import os
import socket as stdlib_socket
import time
import unittest
from unittest import mock

import curio

from buckthorndeal.connections import NARROW_BUFFERS, WIDE_BUFFERS
from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import create_socket_transport
from buckthorndeal.transport._accepting import limit_buffers, listen_on_socket
from tests.process_use import count_descriptors
from tests.raw_caller import read_answer

ADDRESS = "127.0.0.1"
ACCEPTING_MODULE = "buckthorndeal.transport._accepting"
PART = b"x" * 65_536
# The time after which nothing more is expected to be taken.
FILL_S = 0.5
TIMEOUT_S = 30.0
BODY_BYTES = 4 << 20


def fill(sock):
    """Return the bytes that a connection takes while nobody reads them."""
    sock.setblocking(False)
    taken = 0
    until_s = time.monotonic() + FILL_S
    while time.monotonic() < until_s:
        try:
            taken += sock.send(PART)
        except BlockingIOError:
            time.sleep(0.01)
    return taken


def connect(port, send_bytes=4_096):
    """Return a connection that holds little itself."""
    sock = stdlib_socket.socket()
    sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_SNDBUF, send_bytes)
    sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_RCVBUF, 4_096)
    sock.connect((ADDRESS, port))
    return sock


class BuffersTest(unittest.TestCase):
    """What is not read or not taken is bounded for each connection."""

    def run_with_listener(self, handler, scenario):
        async def main():
            transport = create_socket_transport()
            listener = await transport.listen(ADDRESS, 0, handler)
            try:
                async with curio.timeout_after(TIMEOUT_S):
                    await scenario(listener.port)
            finally:
                await listener.close()

        curio.run(main)

    def test_buffers_are_set_before_the_first_connection_can_come(self):
        """Guards against a process that starts into a crowd with large buffers."""
        listening = []

        def record(sock, buffers):
            option = stdlib_socket.SO_ACCEPTCONN
            listening.append(sock.getsockopt(stdlib_socket.SOL_SOCKET, option))
            limit_buffers(sock, buffers)

        with mock.patch(f"{ACCEPTING_MODULE}.limit_buffers", record):
            curio.run(listen_on_socket(ADDRESS, 0, 8).close)
        self.assertEqual(listening, [0])

    def test_port_in_use_leaves_no_socket_open(self):
        """Guards against a descriptor for each attempt to listen."""
        sock = listen_on_socket(ADDRESS, 0, 8)
        before = count_descriptors(os.getpid())
        with self.assertRaises(OSError):
            listen_on_socket(ADDRESS, sock.getsockname()[1], 8)
        self.assertEqual(count_descriptors(os.getpid()), before)
        curio.run(sock.close)

    def test_connection_that_is_not_accepted_holds_little(self):
        """Guards against bytes of connections that wait in the backlog."""

        async def scenario(port):
            # Nothing is accepted meanwhile, as the only task does not wait.
            with connect(port) as sock:
                taken = fill(sock)
            self.assertGreater(taken, 0)
            self.assertLessEqual(taken, 3 * NARROW_BUFFERS.receive_bytes)

        self.run_with_listener(_wait, scenario)

    def test_peer_that_does_not_read_holds_little(self):
        """Guards against a send queue that the kernel lets grow."""
        sent = []

        async def send(stream):
            try:
                await stream.sendall(bytes(BODY_BYTES))
            finally:
                sent.append(stream.sent_bytes)

        async def scenario(port):
            with connect(port):
                await curio.sleep(FILL_S)
            while not sent:
                await curio.sleep(0.01)
            self.assertLessEqual(sent[0], 3 * NARROW_BUFFERS.send_bytes)

        self.run_with_listener(send, scenario)

    def test_large_body_gets_a_wide_buffer_until_it_is_complete(self):
        """Guards against uploads that a narrow buffer slows down on far links."""
        buffers = []

        async def handle(request, responder):
            buffers.append(dict(windows._received_s))
            await responder.respond(200, b"%d" % len(request.body))

        async def main():
            nonlocal windows
            transport = create_socket_transport()
            windows = transport.connections.windows
            server = create_http_server(handle, Limits())
            await server.start(transport, ADDRESS, 0)
            stream = await transport.connect(ADDRESS, server.port)
            head = f"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY_BYTES}\r\n"
            async with curio.timeout_after(TIMEOUT_S):
                await stream.sendall(head.encode() + b"\r\n" + bytes(BODY_BYTES))
                answer = await read_answer(stream)
                while len(windows):
                    await curio.sleep(0.01)
            await stream.close()
            await server.close()
            return answer

        windows = None
        self.assertEqual(curio.run(main), (200, b"%d" % BODY_BYTES))
        self.assertEqual(len(buffers[0]), 1)

    def test_widened_connection_holds_more(self):
        """Guards against a size that the kernel does not change any more."""
        taken = []

        async def widen(stream):
            stream.set_buffers(WIDE_BUFFERS)
            while await stream.recv(65_536):
                if len(taken) == 1:
                    await curio.sleep(2 * FILL_S)

        async def scenario(port):
            with connect(port, 1 << 20) as sock:
                sock.setblocking(False)
                received = 0
                # While it is read, the peer learns of the new size.
                while received < 1 << 20:
                    try:
                        received += sock.send(PART)
                    except BlockingIOError:
                        await curio.sleep(0.001)
                taken.append(received)
                await curio.sleep(0.1)
                taken.append(fill(sock))
            self.assertGreater(taken[1], 2 * NARROW_BUFFERS.receive_bytes)

        self.run_with_listener(widen, scenario)


async def _wait(stream):
    await stream.recv(1)


if __name__ == "__main__":
    unittest.main()
