"""Tests of the socket transport."""

import socket
import unittest

import curio

from buckthorndeal.transport import create_memory_transport, create_socket_transport


class SocketTransportTest(unittest.TestCase):
    """TCP connections over the loopback interface."""

    def test_connection_in_the_backlog_is_served_when_accepting_stops(self):
        """Guards against a drain that resets connections that are not accepted yet."""

        async def echo(stream):
            await stream.sendall(await stream.recv(100))

        async def main():
            listener = await create_socket_transport().listen("127.0.0.1", 0, echo)
            await curio.sleep(0.01)
            # The blocking calls keep the accept task from running in between.
            with socket.create_connection(("127.0.0.1", listener.port)) as client:
                client.sendall(b"hello")
                await listener.stop_accepting()
                while listener.connection_count:
                    await curio.sleep(0.001)
                client.settimeout(5)
                return client.recv(100)

        self.assertEqual(curio.run(main), b"hello")

    def test_accepting_stops_while_callers_keep_connecting(self):
        """Guards against a drain that lasts for as long as new callers come."""
        clients = []

        async def connect_again(stream):
            if len(clients) < 1000:
                clients.append(socket.create_connection(("127.0.0.1", listener.port)))

        async def main():
            nonlocal listener
            listener = await create_socket_transport().listen(
                "127.0.0.1", 0, connect_again
            )
            with socket.create_connection(("127.0.0.1", listener.port)):
                await listener.stop_accepting()
            accepted = len(clients)
            await listener.close()
            return accepted

        listener = None
        try:
            self.assertLess(curio.run(main), 100)
        finally:
            for client in clients:
                client.close()


class EndTest(unittest.TestCase):
    """One direction of a stream is ended; reading also by code that cannot wait."""

    def run_on_streams(self, scenario):
        """Run a scenario with both ends of a connection, of each transport."""

        async def main(transport):
            accepted = curio.Queue()
            ended = curio.Event()

            async def accept(stream):
                await accepted.put(stream)
                await ended.wait()

            listener = await transport.listen("127.0.0.1", 0, accept)
            near = await transport.connect("127.0.0.1", listener.port)
            try:
                async with curio.timeout_after(10.0):
                    await scenario(near, await accepted.get())
            finally:
                await near.close()
                await ended.set()
                await listener.close()

        for create in (create_memory_transport, create_socket_transport):
            with self.subTest(create.__name__):
                curio.run(main, create())

    def test_pending_read_returns_and_sending_goes_on(self):
        """Guards against a refusal that waits until its peer sends more."""

        async def scenario(near, far):
            read = await curio.spawn(far.recv, 100)
            await curio.sleep(0.05)
            far.end_reading()
            self.assertEqual(await read.join(), b"")
            await far.sendall(b"refused")
            self.assertEqual(await near.recv(100), b"refused")

        self.run_on_streams(scenario)

    def test_peer_sees_the_end_and_sends_on(self):
        async def scenario(near, far):
            await far.sendall(b"refused")
            await far.end_sending()
            self.assertEqual(await near.recv(100), b"refused")
            self.assertEqual(await near.recv(100), b"")
            await near.sendall(b"more")
            self.assertEqual(await far.recv(100), b"more")

        self.run_on_streams(scenario)

    def test_bytes_that_come_later_reset_nothing(self):
        """Guards against a refusal that is lost as its peer goes on sending."""

        async def scenario(near, far):
            far.end_reading()
            await far.sendall(b"refused")
            await near.sendall(b"more")
            await curio.sleep(0.05)
            await near.sendall(b"more")
            self.assertEqual(await near.recv(100), b"refused")
            self.assertEqual(await far.recv(4), b"more")

        self.run_on_streams(scenario)


if __name__ == "__main__":
    unittest.main()
