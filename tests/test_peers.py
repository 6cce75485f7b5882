"""Tests of peer links over sockets and in memory."""

import random
import unittest
from unittest import mock

import curio

from buckthorndeal.connections import MIN_HANDSHAKES, create_connection_limits
from buckthorndeal.errors import PeerError, Verdict
from buckthorndeal.memory import BASE_BYTES, create_memory_account
from buckthorndeal.peers import LinkOptions, create_peer_link, create_peer_server
from buckthorndeal.transport import (
    create_link_shape,
    create_memory_transport,
    create_shaped_transport,
    create_socket_transport,
)
from buckthorndeal.wire import Message, Session, create_codec

KEYS = (b"k" * 32,)
TIMEOUT_S = 20.0
OPTIONS = LinkOptions(
    heartbeat_s=0.02, silence_s=TIMEOUT_S, backoff_min_s=0.001, backoff_max_s=0.01
)
# Only for tests that tolerate a connection that is closed too early.
SHORT_SILENCE_OPTIONS = LinkOptions(
    heartbeat_s=0.02, silence_s=0.1, backoff_min_s=0.001, backoff_max_s=0.01
)


class Echo(Message):
    text: str


class Slow(Message):
    pass


CODEC = create_codec((Echo, Slow))


class PeerSystem:
    """A server at the place "b" and links to it from the place "a"."""

    def __init__(self, transport):
        self.shape = create_link_shape()
        self.client_transport = create_shaped_transport(transport, self.shape, "a")
        self.server_transport = create_shaped_transport(transport, self.shape, "b")
        self.received = []
        self.arrived = curio.Event()
        self.opened = []

    async def handle(self, message, channel):
        self.received.append((channel.host, message))
        await self.arrived.set()
        if isinstance(message, Slow):
            await curio.sleep(TIMEOUT_S)
        if message == Echo("fail"):
            raise ValueError("broken")
        if message == Echo("back"):
            return await channel.call(Echo("from server"), TIMEOUT_S)
        return message

    async def start_server(self, port=0):
        server = create_peer_server(self.handle, CODEC, KEYS, "server", OPTIONS)
        await server.start(self.server_transport, "127.0.0.1", port)
        self.opened.append(server)
        return server

    async def start_link(self, port, keys=KEYS, options=OPTIONS, **others):
        link = create_peer_link(
            self.client_transport,
            "127.0.0.1",
            port,
            CODEC,
            keys,
            "client",
            options=options,
            rng=random.Random(1),
            **others,
        )
        await link.start()
        self.opened.append(link)
        return link


async def call_until_answered(link, message):
    while True:
        try:
            return await link.call(message, TIMEOUT_S)
        except PeerError:
            await curio.sleep(0.001)


class PeerCases:
    """Tests that are run over each transport."""

    def run_scenario(self, scenario):
        async def main():
            system = PeerSystem(self.create_transport())
            server = await system.start_server()
            async with curio.timeout_after(TIMEOUT_S):
                await scenario(system, server)
            for opened in system.opened:
                await opened.close()

        curio.run(main)

    def test_concurrent_calls_get_their_own_replies(self):
        """Guards against a reply that completes another call."""

        async def scenario(system, server):
            link = await system.start_link(server.port)
            texts = [str(i) for i in range(100)]
            tasks = [await curio.spawn(link.call, Echo(t), TIMEOUT_S) for t in texts]
            replies = [await task.join() for task in tasks]
            self.assertEqual(replies, [Echo(text) for text in texts])
            self.assertEqual((system.received[0][0], link.host), ("client", "server"))

        self.run_scenario(scenario)

    def test_notices_arrive_in_order_and_the_server_can_call_back(self):
        """Guards against reordering, and a link that works in one direction only."""

        async def scenario(system, server):
            async def answer(message, channel):
                return Echo(message.text + " answered")

            link = await system.start_link(server.port, handler=answer)
            for i in range(50):
                await link.send(Echo(str(i)))
            reply = await link.call(Echo("back"), TIMEOUT_S)
            self.assertEqual(reply, Echo("from server answered"))
            texts = [message.text for _, message in system.received]
            self.assertEqual(texts, [str(i) for i in range(50)] + ["back"])

        self.run_scenario(scenario)

    def test_link_opens_again_after_an_unexpected_error(self):
        """Guards against a host that is unreachable until the next start."""

        async def scenario(system, server):
            connect, calls = system.client_transport.connect, []

            async def connect_later(address, port):
                calls.append(1)
                if len(calls) == 1:
                    raise OverflowError("port must be 0-65535")
                return await connect(address, port)

            system.client_transport.connect = connect_later
            with self.assertLogs("absl", "ERROR"):
                link = await system.start_link(server.port)
                reply = await call_until_answered(link, Echo("a"))
            self.assertEqual(reply, Echo("a"))

        self.run_scenario(scenario)

    def test_connection_is_replaced_after_an_unexpected_error_of_its_reader(self):
        """Guards against a link that counts as connected and receives nothing."""

        async def scenario(system, server):
            link = await system.start_link(server.port)
            await call_until_answered(link, Echo("a"))
            feed, calls = Session.feed, []

            def feed_later(session, data):
                calls.append(1)
                if len(calls) == 1:
                    raise KeyError("unexpected")
                return feed(session, data)

            with (
                mock.patch.object(Session, "feed", feed_later),
                self.assertLogs("absl", "ERROR"),
            ):
                reply = await call_until_answered(link, Echo("b"))
            self.assertEqual(reply, Echo("b"))

        self.run_scenario(scenario)

    def test_wrong_key_gives_not_run(self):
        """Guards against a handler that is called by a peer without the key."""

        async def scenario(system, server):
            link = await system.start_link(server.port, keys=(b"x" * 32,))
            await self.assert_fails(link, Echo("a"), Verdict.NOT_RUN)
            self.assertEqual(system.received, [])

        self.run_scenario(scenario)

    def test_other_host_at_the_address_is_refused(self):
        """Guards against messages to another host that took over an address."""

        async def scenario(system, server):
            link = await system.start_link(server.port, expected_host="other")
            await self.assert_fails(link, Echo("a"), Verdict.NOT_RUN)

        self.run_scenario(scenario)

    def test_silent_connections_do_not_keep_a_host_out(self):
        """Guards against callers that connect to the peer port and send nothing."""

        async def scenario(system, server):
            transport = system.client_transport
            system.server_transport.connections = create_connection_limits(BASE_BYTES)
            server = await system.start_server()
            silent = [
                await transport.connect("127.0.0.1", server.port)
                for _ in range(2 * MIN_HANDSHAKES)
            ]
            link = await system.start_link(server.port)
            reply = await call_until_answered(link, Echo("hello"))
            self.assertEqual(reply, Echo("hello"))
            self.assertLessEqual(server.connection_count, MIN_HANDSHAKES + 1)
            for stream in silent:
                await stream.close()

        self.run_scenario(scenario)

    def test_handler_error_and_lost_server_may_have_run(self):
        """Guards against NOT_RUN for a call that reached the handler."""

        async def scenario(system, server):
            link = await system.start_link(server.port)
            with self.assertLogs(level="ERROR"):
                await self.assert_fails(link, Echo("fail"), Verdict.MAY_HAVE_RUN)
            system.arrived.clear()
            task = await curio.spawn(
                self.assert_fails, link, Slow(), Verdict.MAY_HAVE_RUN
            )
            await system.arrived.wait()
            await server.close()
            await task.join()
            await self.assert_fails(link, Echo("a"), Verdict.NOT_RUN)

        self.run_scenario(scenario)

    def test_link_reconnects_after_the_server_restarts(self):
        """Guards against a link that does not reconnect."""

        async def scenario(system, server):
            link = await system.start_link(server.port)
            await link.call(Echo("a"), TIMEOUT_S)
            await server.close()
            server = await system.start_server(server.port)
            self.assertEqual(await call_until_answered(link, Echo("b")), Echo("b"))

        self.run_scenario(scenario)

    def test_silent_partition_is_noticed_and_healed(self):
        """Guards against a link that waits for ever on a silent connection."""

        async def scenario(system, server):
            link = await system.start_link(server.port, options=SHORT_SILENCE_OPTIONS)
            await call_until_answered(link, Echo("a"))
            system.shape.partition({"a"}, {"b"})
            await self.assert_fails(link, Echo("b"), Verdict.MAY_HAVE_RUN)
            while link.connected:
                await curio.sleep(0.01)
            system.shape.heal_all()
            self.assertEqual(await call_until_answered(link, Echo("c")), Echo("c"))

        self.run_scenario(scenario)

    def test_time_out_tells_whether_the_call_was_sent(self):
        """Guards against a queued call that is sent after its timeout."""

        async def scenario(system, server):
            link = await system.start_link(server.port, options=SHORT_SILENCE_OPTIONS)
            await call_until_answered(link, Echo("a"))
            await self.assert_fails(link, Slow(), Verdict.MAY_HAVE_RUN, 0.5)
            system.shape.partition({"a"}, {"b"})
            while link.connected:
                await curio.sleep(0.01)
            await self.assert_fails(link, Echo("late"), Verdict.NOT_RUN, 0.05)
            system.shape.heal_all()
            await call_until_answered(link, Echo("next"))
            self.assertNotIn(("client", Echo("late")), system.received)

        self.run_scenario(scenario)

    def test_send_queue_is_bounded(self):
        """Guards against unbounded memory use while a peer is unreachable."""

        async def scenario(system, server):
            system.shape.partition({"a"}, {"b"})
            options = LinkOptions(max_queued=3)
            link = await system.start_link(server.port, options=options)
            for _ in range(3):
                await link.send(Echo("a"))
            await self.assert_fails(link, Echo("b"), Verdict.NOT_RUN)
            await link.close()
            await self.assert_fails(link, Echo("c"), Verdict.NOT_RUN)

        self.run_scenario(scenario)

    async def assert_fails(self, link, message, verdict, timeout_s=TIMEOUT_S):
        with self.assertRaises(PeerError) as caught:
            await link.call(message, timeout_s)
        self.assertIs(caught.exception.verdict, verdict)


class DeadHostTransport:
    """Transport to a host that is down: connecting never completes."""

    def __init__(self):
        self.attempts = 0
        self.memory = create_memory_account()

    async def connect(self, address, port):
        self.attempts += 1
        await curio.sleep(TIMEOUT_S)


class DeadHostTest(unittest.TestCase):
    """Guards against a link that stops reconnecting if a host does not answer."""

    def test_link_goes_on_trying(self):
        async def main():
            transport = DeadHostTransport()
            options = LinkOptions(
                connect_timeout_s=TIMEOUT_S,
                open_timeout_s=0.01,
                backoff_min_s=0.001,
                backoff_max_s=0.01,
            )
            link = create_peer_link(
                transport, "a", 1, CODEC, KEYS, "own", options=options
            )
            await link.start()
            while transport.attempts < 5:
                await curio.sleep(0.01)
            await link.close()

        curio.run(curio.timeout_after, TIMEOUT_S, main)


class SocketPeerTest(PeerCases, unittest.TestCase):
    """Tests over TCP sockets."""

    create_transport = staticmethod(create_socket_transport)


class MemoryPeerTest(PeerCases, unittest.TestCase):
    """Tests over the in-memory transport."""

    create_transport = staticmethod(create_memory_transport)


if __name__ == "__main__":
    unittest.main()
