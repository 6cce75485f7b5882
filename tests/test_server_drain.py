"""Tests of connections whose callers were not told that they end."""

import time
import unittest

import curio

from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from buckthorndeal.transport import (
    create_memory_transport,
    create_socket_transport,
)
from tests.fleet_harness import run_fleet
from tests.raw_caller import read_answer

REQUEST = b"POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"


class Server:
    """Server that sends the head of a response, and the rest when told to.

    `may_return` holds up the handler after its response, so that the server reads what
    the caller sends next before it has ended the request.
    """

    def __init__(self, transport=None, **limits):
        self.started = curio.Event()
        self.may_finish = curio.Event()
        self.may_return = curio.Event()
        self.served = 0
        self.transport = transport or create_memory_transport()
        self.http = create_http_server(self._handle, Limits(**limits))

    async def _handle(self, request, responder):
        self.served += 1
        await responder.start(200, [("content-length", "4")])
        await self.started.set()
        await self.may_finish.wait()
        await responder.send(b"done")
        await responder.finish()
        await self.may_return.wait()

    async def open_connection(self):
        """Return a connection whose first response has begun."""
        address = "127.0.0.1"
        await self.http.start(self.transport, address, 0)
        stream = await self.transport.connect(address, self.http.port)
        await stream.sendall(REQUEST)
        await self.started.wait()
        return stream


async def run_others():
    """Let the other tasks run until all of them wait."""
    for _ in range(100):
        await curio.sleep(0)


async def receive_until_end(stream):
    """Return everything that comes on a connection until it ends."""
    received = b""
    while part := await stream.recv(65_536):
        received += part
    return received


class DrainTest(unittest.TestCase):
    """The end of a connection is announced in its last response."""

    def check_next_request(self, drain, is_read_early):
        """Send a request on a connection whose response began before a drain."""

        async def test():
            server = Server()
            stream = await server.open_connection()
            await drain(server.http)
            await server.may_finish.set()
            if not is_read_early:
                await server.may_return.set()
            self.assertEqual(await read_answer(stream), (200, b"done"))
            await run_others()
            await stream.sendall(REQUEST)
            await run_others()
            await server.may_return.set()
            answer = await receive_until_end(stream)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
            self.assertIn(b"connection: close", answer.lower())
            self.assertEqual(server.served, 2)
            await run_others()
            self.assertEqual(server.http.active_requests, 0)
            self.assertEqual(server.http.connection_count, 0)
            await server.http.close()

        run_fleet(test)

    def test_request_that_was_read_as_a_drain_began_is_answered(self):
        """Guards against dropping a request that was read beside a response (LOST)."""

        async def announce(http):
            http.announce_drain()

        self.check_next_request(announce, is_read_early=True)

    def test_request_after_a_drain_began_is_answered(self):
        """Guards against closing a connection that its caller may still use (LOST)."""

        async def announce(http):
            http.announce_drain()

        self.check_next_request(announce, is_read_early=False)

    def test_request_that_was_read_after_accepting_stopped_is_answered(self):
        async def drain(http):
            await http.drain()

        self.check_next_request(drain, is_read_early=True)
        self.check_next_request(drain, is_read_early=False)


class IdleTimeoutTest(unittest.TestCase):
    """A caller may use a connection for as long as it was told."""

    def test_shorter_idle_timeout_ends_no_connection_without_a_notice(self):
        """Guards against a connection that ends sooner than its caller knows (LOST)."""

        async def test():
            server = Server(idle_timeout_s=60.0)
            stream = await server.open_connection()
            server.http.set_limits(Limits(idle_timeout_s=0.1))
            await server.may_finish.set()
            await server.may_return.set()
            self.assertEqual(await read_answer(stream), (200, b"done"))
            await curio.sleep(0.3)
            await stream.sendall(REQUEST)
            answer = await receive_until_end(stream)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
            self.assertIn(b"connection: close", answer.lower())
            await server.http.close()

        run_fleet(test)

    def test_request_that_arrives_with_the_end_of_the_idle_timeout_is_answered(self):
        """Guards against a timeout that goes before a request that has arrived."""

        async def send_later(stream):
            await curio.sleep(0.05)
            await stream.sendall(REQUEST)

        async def test():
            server = Server(idle_timeout_s=0.1)
            stream = await server.open_connection()
            await server.may_finish.set()
            await server.may_return.set()
            self.assertEqual(await read_answer(stream), (200, b"done"))
            await run_others()
            await curio.spawn(send_later, stream, daemon=True)
            await run_others()
            # The request is sent after the timeout, and before the server runs again.
            time.sleep(0.2)
            self.assertEqual(await read_answer(stream), (200, b"done"))
            await server.http.close()

        run_fleet(test)


class CloseTest(unittest.TestCase):
    """A request that has arrived as the server closes is refused."""

    def check_refused(self, answer):
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        self.assertIn(b"connection: close", answer.lower())
        self.assertIn(b"not_run", answer)

    def test_request_that_was_read_as_the_server_closes_is_refused(self):
        """Guards against dropping a request that was read beside a response (LOST)."""

        async def test():
            server = Server()
            stream = await server.open_connection()
            await server.may_finish.set()
            self.assertEqual(await read_answer(stream), (200, b"done"))
            await stream.sendall(REQUEST)
            await run_others()
            close_task = await curio.spawn(server.http.close)
            await server.may_return.set()
            self.check_refused(await receive_until_end(stream))
            await close_task.join()
            self.assertEqual(server.served, 1)

        run_fleet(test)

    def test_request_that_arrives_on_an_idle_connection_is_refused(self):
        """Guards against a request that is unread as its connection is closed."""

        async def test(transport):
            server = Server(transport)
            stream = await server.open_connection()
            await server.may_finish.set()
            await server.may_return.set()
            self.assertEqual(await read_answer(stream), (200, b"done"))
            await run_others()
            await stream.sendall(REQUEST)
            await server.http.close()
            self.check_refused(await receive_until_end(stream))
            self.assertEqual(server.served, 1)

        for transport in (create_memory_transport(), create_socket_transport()):
            with self.subTest(transport=type(transport).__name__):
                run_fleet(test, transport)

    def test_idle_connection_ends_with_the_close(self):
        """Guards against a server that waits for callers which send nothing."""

        async def test():
            server = Server()
            stream = await server.open_connection()
            await server.may_finish.set()
            await server.may_return.set()
            await read_answer(stream)
            server.http.announce_drain()
            await run_others()
            self.assertEqual(server.http.active_requests, 0)
            await server.http.close()
            self.assertEqual(await stream.recv(100), b"")
            self.assertEqual(server.http.connection_count, 0)

        run_fleet(test)


if __name__ == "__main__":
    unittest.main()
