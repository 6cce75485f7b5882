"""Tests of what a process holds for the messages of its peers."""

import gc
import secrets
import time
import unittest

import curio
import msgspec

from buckthorndeal._peer_memory import ConnectionMemory
from buckthorndeal._peer_messages import LINK_CODEC, Call, Introduction
from buckthorndeal.errors import (
    MemoryShortageError,
    PeerError,
    PeerFailureError,
    Verdict,
)
from buckthorndeal.memory import MemoryAccount
from buckthorndeal.peers import LinkOptions, create_peer_link, create_peer_server
from buckthorndeal.transport import create_memory_transport
from buckthorndeal.wire import (
    CLIENT,
    HELLO_BYTES,
    Message,
    create_codec,
    create_hello,
    create_session,
    parse_hello,
)

KEYS = (b"k" * 32,)
MIB = 1 << 20
CAPACITY_BYTES = 4 * MIB
# A peer may hold half of the capacity: one body of this size, but not two.
BODY_BYTES = MIB + MIB // 2
CALLS = 6
PORT = 7_000
TIMEOUT_S = 20.0
OPTIONS = LinkOptions(
    heartbeat_s=0.02,
    silence_s=TIMEOUT_S,
    open_timeout_s=0.05,
    backoff_min_s=0.001,
    backoff_max_s=0.01,
)
SHORT_SILENCE_OPTIONS = LinkOptions(heartbeat_s=0.02, silence_s=0.1)


class Load(Message):
    data: bytes


class Fetch(Message):
    size: int


CODEC = create_codec((Load, Fetch))


class System:
    """A server with an account of its own, and links to it."""

    def __init__(self, options):
        self.transport = create_memory_transport()
        self.transport.memory = MemoryAccount(CAPACITY_BYTES, time.monotonic)
        self.link_transport = create_memory_transport()
        self.link_transport.memory = MemoryAccount(64 * MIB, time.monotonic)
        # The links reach the server, and have another account.
        self.link_transport.connect = self.transport.connect
        self.options = options
        self.account = self.transport.memory
        self.go_on = curio.Event()
        self.running = 0
        self.most_running = 0
        self.server = create_peer_server(self.handle, CODEC, KEYS, "server", options)

    async def handle(self, message, channel):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self.go_on.wait()
        finally:
            self.running -= 1
        if isinstance(message, Fetch):
            return Load(bytes(message.size))
        return Fetch(0)

    async def open_link(self, transport=None, options=OPTIONS, port=PORT):
        link = create_peer_link(
            transport or self.link_transport,
            "server",
            port,
            CODEC,
            KEYS,
            "client",
            options=options,
        )
        await link.start()
        return link

    async def open_session(self):
        """Return a connection after its handshake, and its session."""
        stream = await self.transport.connect("server", PORT)
        nonce = secrets.token_bytes(16)
        await stream.sendall(create_hello(nonce))
        server_nonce = parse_hello(await stream.recv(HELLO_BYTES))
        session = create_session(LINK_CODEC, KEYS, CLIENT, nonce, server_nonce)
        await stream.sendall(session.seal(Introduction("client")))
        return stream, session


def run(scenario, options=OPTIONS):
    async def main():
        system = System(options)
        await system.server.start(system.transport, "server", PORT)
        try:
            async with curio.timeout_after(TIMEOUT_S):
                await scenario(system)
        finally:
            await system.server.close()

    curio.run(main)


async def wait_until(check):
    while not check():
        await curio.sleep(0.005)


def count_large_calls():
    """Return the number of lists with a large call, which is not tracked itself."""
    return sum(
        isinstance(each, list) and any(map(is_large_call, each))
        for each in gc.get_objects()
    )


def is_large_call(message):
    return isinstance(message, Call) and len(message.body) >= MIB


class ReceivedTest(unittest.TestCase):
    """Tests of frames that are received."""

    def test_large_calls_wait_unread_while_there_is_no_room(self):
        """Guards against calls whose number is bounded, but not their bytes."""

        async def scenario(system):
            link = await system.open_link()
            group = curio.TaskGroup()
            for _ in range(CALLS):
                await group.spawn(link.call, Load(bytes(BODY_BYTES)), TIMEOUT_S)
            await wait_until(lambda: system.running)
            await curio.sleep(0.3)
            self.assertEqual(system.running, 1)
            self.assertGreaterEqual(system.account.held_bytes, BODY_BYTES)
            await system.go_on.set()
            await group.join()
            self.assertEqual(group.results, [Fetch(0)] * CALLS)
            self.assertEqual(system.most_running, 1)
            await wait_until(lambda: not system.account.held_bytes)
            await link.close()

        run(scenario)

    def test_small_calls_of_others_run_beside_large_ones(self):
        """Guards against a peer that keeps the others from being heard."""

        async def scenario(system):
            link = await system.open_link()
            other = await system.open_link()
            call = await curio.spawn(link.call, Load(bytes(BODY_BYTES)), TIMEOUT_S)
            await wait_until(lambda: system.running)
            small = await curio.spawn(other.call, Load(bytes(60_000)), TIMEOUT_S)
            await wait_until(lambda: system.running == 2)
            await system.go_on.set()
            await call.join()
            await small.join()
            await link.close()
            await other.close()

        run(scenario)

    def test_connection_is_lost_when_there_is_no_room_for_long(self):
        """Guards against a reader that waits for ever for room."""

        async def scenario(system):
            link = await system.open_link()
            group = curio.TaskGroup()
            for _ in range(2):
                await group.spawn(link.call, Load(bytes(BODY_BYTES)), TIMEOUT_S)
            errors = [task.exception async for task in group]
            self.assertEqual({type(error) for error in errors}, {PeerError})
            await wait_until(lambda: not system.account.held_bytes)
            await link.close()

        run(scenario, SHORT_SILENCE_OPTIONS)

    def test_frame_that_never_ends_gives_its_room_back(self):
        """Guards against a peer that sends a byte of a large frame now and then."""

        async def scenario(system):
            stream, _ = await system.open_session()
            await stream.sendall(BODY_BYTES.to_bytes(4, "big") + bytes(60_000))
            await wait_until(lambda: system.account.held_bytes > BODY_BYTES)
            sending = await curio.spawn(self.trickle, stream, daemon=True)
            await wait_until(lambda: not system.account.held_bytes)
            await wait_until(lambda: not system.server.connection_count)
            await sending.cancel()

        run(scenario, SHORT_SILENCE_OPTIONS)

    async def trickle(self, stream):
        try:
            while True:
                await stream.sendall(b"a")
                await curio.sleep(0.02)
        except OSError:
            pass

    def test_handled_call_is_not_kept_until_the_next_message(self):
        """Guards against a large message for each silent peer, which nothing bounds."""

        async def scenario(system):
            await system.go_on.set()
            stream, session = await system.open_session()
            body = msgspec.Raw(CODEC.encode(Load(bytes(MIB))))
            await stream.sendall(session.seal(Call(1, body)))
            await wait_until(lambda: system.account.peak_bytes >= MIB)
            await wait_until(lambda: system.account.held_bytes == 0)
            await curio.sleep(0.1)
            del body
            self.assertEqual(count_large_calls(), 0)
            await stream.close()

        run(scenario)

    def test_refused_message_is_forgotten(self):
        """Guards against a set that grows with each reply that is too large."""

        async def scenario(system):
            memory = ConnectionMemory(system.account, "client", None, TIMEOUT_S)
            with self.assertRaises(MemoryShortageError):
                await memory.book(3 * MIB)
            self.assertEqual(memory._bookings, set())

        run(scenario)

    def test_lost_connection_gives_all_room_back(self):
        """Guards against bookings of calls that were cancelled, and of half frames."""

        async def scenario(system):
            link = await system.open_link()
            call = await curio.spawn(link.call, Load(bytes(BODY_BYTES)), TIMEOUT_S)
            call.report_crash = False
            await wait_until(lambda: system.running)
            stream, _ = await system.open_session()
            await stream.sendall((100_000).to_bytes(4, "big") + bytes(50_000))
            await wait_until(lambda: system.account.held_bytes > BODY_BYTES + 100_000)
            await stream.close()
            await link.close()
            await call.wait()
            await wait_until(lambda: not system.account.held_bytes)

        run(scenario)

    def test_handler_that_times_out_gives_its_room_back(self):
        """Guards against calls that nobody answers and whose room is never free."""

        async def time_out(message, channel):
            raise curio.TaskTimeout(1.0)

        async def scenario(system):
            server = create_peer_server(time_out, CODEC, KEYS, "slow", OPTIONS)
            await server.start(system.transport, "server", PORT + 1)
            link = await system.open_link(port=PORT + 1)
            with self.assertRaises(PeerFailureError):
                await link.call(Load(bytes(BODY_BYTES)), 1.0)
            self.assertEqual(system.account.held_bytes, 0)
            await link.close()
            await server.close()

        run(scenario)


class SentTest(unittest.TestCase):
    """Tests of messages that are sent."""

    def test_queue_for_a_peer_is_bounded_in_bytes(self):
        """Guards against 1,000 queued messages of any size."""

        async def scenario(system):
            transport = system.transport
            link = await system.open_link(transport, port=PORT + 1)
            with self.assertRaises(PeerError) as caught:
                for _ in range(100):
                    await link.send(Load(bytes(MIB // 2)))
            self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
            self.assertGreater(transport.memory.held_bytes, MIB)
            await link.close()
            self.assertEqual(transport.memory.held_bytes, 0)

        run(scenario)

    def test_room_of_sent_messages_is_given_back(self):
        """Guards against bodies that are kept until the reply arrives."""

        async def scenario(system):
            link = await system.open_link()
            call = await curio.spawn(link.call, Load(bytes(BODY_BYTES)), TIMEOUT_S)
            await wait_until(lambda: system.running)
            await wait_until(lambda: not system.link_transport.memory.held_bytes)
            await system.go_on.set()
            await call.join()
            await link.close()

        run(scenario)

    def test_abandoned_call_gives_its_room_back(self):
        """Guards against a queue that is full of calls for which nobody waits."""

        async def scenario(system):
            link = await system.open_link(system.transport, port=PORT + 1)
            with self.assertRaises(PeerError):
                await link.call(Load(bytes(MIB)), 0.01)
            self.assertEqual(system.transport.memory.held_bytes, 0)
            await link.close()

        run(scenario)

    def test_large_reply_is_booked_until_it_is_sent(self):
        """Guards against replies that pile up for a peer that reads slowly."""

        async def scenario(system):
            await system.go_on.set()
            link = await system.open_link()
            reply = await link.call(Fetch(MIB), TIMEOUT_S)
            self.assertEqual(len(reply.data), MIB)
            self.assertGreaterEqual(system.account.peak_bytes, MIB)
            await wait_until(lambda: not system.account.held_bytes)
            await wait_until(lambda: not system.link_transport.memory.held_bytes)
            self.assertGreaterEqual(system.link_transport.memory.peak_bytes, MIB)
            with self.assertRaises(PeerError) as caught:
                await link.call(Fetch(3 * MIB), TIMEOUT_S)
            self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
            await link.close()

        run(scenario)


if __name__ == "__main__":
    unittest.main()
