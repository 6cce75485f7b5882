"""Tests of the socket transport."""

import socket
import unittest

import curio

from buckthorndeal.transport import create_socket_transport


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


if __name__ == "__main__":
    unittest.main()
