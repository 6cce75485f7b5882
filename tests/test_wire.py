"""Tests of the framing and authentication of the peer protocol."""

import itertools
import random
import unittest

from buckthorndeal.errors import AuthenticationError, FrameError, WireError
from buckthorndeal.wire import (
    CLIENT,
    MAX_FRAME_BYTES,
    SERVER,
    Message,
    create_codec,
    create_datagram_codec,
    create_hello,
    create_session,
    parse_hello,
    sign_parts,
    verify_parts,
)

OLD_KEY, NEW_KEY = b"o" * 32, b"n" * 32


class Note(Message):
    text: str
    number: int = 0


class Blob(Message):
    data: bytes


CODEC = create_codec((Note, Blob))


def create_pair(client_keys=(OLD_KEY,), server_keys=(OLD_KEY,), server_nonce=b"s" * 16):
    client = create_session(CODEC, client_keys, CLIENT, b"c" * 16, b"s" * 16)
    server = create_session(CODEC, server_keys, SERVER, b"c" * 16, server_nonce)
    return client, server


class SessionTest(unittest.TestCase):
    """Tests of the frames of a connection."""

    def test_frames_split_anywhere_are_reassembled(self):
        """Guards against a reader that expects a frame in each TCP segment."""
        client, server = create_pair()
        sent = [Note("a", 1), Blob(b"x" * 3000), Note("b")]
        data = b"".join(client.seal(message) for message in sent)
        received = [m for byte in data for m in server.feed(bytes([byte]))]
        self.assertEqual(received, sent)

    def test_corrupt_bytes_never_give_a_wrong_message(self):
        """Guards against a decoder that accepts corrupt data, crashes or hangs."""
        rng = random.Random(7)
        sent = [Note("hello", 12), Blob(b"abc"), Note("end", -1)]
        for _ in range(3000):
            client, server = create_pair()
            data = bytearray(b"".join(client.seal(message) for message in sent))
            for _ in range(rng.randint(1, 4)):
                _corrupt(data, rng)
            received = []
            try:
                received = server.feed(bytes(data))
            except WireError:
                continue
            self.assertEqual(received, sent[: len(received)])

    def test_authentic_garbage_is_a_frame_error(self):
        """Guards against an authenticated payload that crashes the decoder."""
        rng = random.Random(8)

        class Garbage:
            def encode(self, message):
                return message

        nested = b"\x91" * 3000
        for payload in [
            nested,
            *(rng.randbytes(rng.randint(0, 80)) for _ in range(500)),
        ]:
            client = create_session(Garbage(), (OLD_KEY,), CLIENT, b"c" * 16, b"s" * 16)
            _, server = create_pair()
            with self.assertRaises(FrameError):
                server.feed(client.seal(payload))

    def test_replayed_reordered_and_reflected_frames_are_refused(self):
        """Guards against a MAC that does not cover sequence, nonce and direction."""
        client, server = create_pair()
        first, second = client.seal(Note("a")), client.seal(Note("b"))
        with self.assertRaises(AuthenticationError):
            create_pair()[1].feed(second)
        server.feed(first)
        with self.assertRaises(AuthenticationError):
            server.feed(first)
        with self.assertRaises(AuthenticationError):
            client.feed(first)
        with self.assertRaises(AuthenticationError):
            create_pair(server_nonce=b"t" * 16)[1].feed(first)

    def test_keys_are_rotated_in_three_steps(self):
        """Guards against a rotation that disconnects processes with the old keys."""
        steps = [(OLD_KEY,), (OLD_KEY, NEW_KEY), (NEW_KEY, OLD_KEY), (NEW_KEY,)]
        for mine, theirs in itertools.pairwise(steps):
            client, server = create_pair(mine, theirs)
            self.assertEqual(server.feed(client.seal(Note("a"))), [Note("a")])
            self.assertEqual(client.feed(server.seal(Note("b"))), [Note("b")])
        client, server = create_pair(steps[0], steps[3])
        with self.assertRaises(AuthenticationError):
            server.feed(client.seal(Note("a")))

    def test_oversized_frames_are_refused_on_both_sides(self):
        """Guards against a length field that makes the receiver buffer too much."""
        client, server = create_pair()
        with self.assertRaises(FrameError):
            client.seal(Blob(b"x" * MAX_FRAME_BYTES))
        with self.assertRaises(FrameError):
            server.feed((1 << 31).to_bytes(4, "big"))
        _, server = create_pair()
        with self.assertRaises(FrameError):
            server.feed((5000).to_bytes(4, "big"))

    def test_hello_of_another_protocol_is_refused(self):
        """Guards against a link to a port with another protocol."""
        self.assertEqual(parse_hello(create_hello(b"n" * 16)), b"n" * 16)
        with self.assertRaises(FrameError):
            parse_hello(b"GET / HTTP/1.1\r\n\r\n\r\n"[:20])


class DatagramTest(unittest.TestCase):
    """Tests of datagrams."""

    def setUp(self):
        self.sender = create_datagram_codec(CODEC, (OLD_KEY,), "a")
        self.receiver = create_datagram_codec(CODEC, (NEW_KEY, OLD_KEY), "b")

    def test_round_trip_names_the_sender(self):
        """Guards against a datagram that is attributed to another host."""
        data = self.sender.seal(Note("x"), 100.0)
        self.assertEqual(self.receiver.open(data, 101.0), ("a", Note("x")))

    def test_replayed_and_old_datagrams_are_refused(self):
        """Guards against the replay of a captured datagram."""
        first = self.sender.seal(Note("x"), 100.0)
        second = self.sender.seal(Note("y"), 100.0)
        self.receiver.open(second, 100.0)
        for data, wall_s in ((second, 100.0), (first, 100.0)):
            with self.assertRaises(AuthenticationError):
                self.receiver.open(data, wall_s)
        with self.assertRaises(AuthenticationError):
            self.receiver.open(self.sender.seal(Note("z"), 100.0), 140.0)

    def test_senders_are_forgotten_after_the_replay_window(self):
        """Guards against a table that grows with each host that has ever sent."""
        first = create_datagram_codec(CODEC, (OLD_KEY,), "h0").seal(Note("x"), 0.0)
        for number in range(5_000):
            sender = create_datagram_codec(CODEC, (OLD_KEY,), f"h{number}")
            self.receiver.open(sender.seal(Note("x"), number), number)
        self.assertLess(len(self.receiver._last_received_timestamps_us), 500)
        with self.assertRaises(AuthenticationError):
            self.receiver.open(first, 5_000.0)

    def test_senders_within_the_replay_window_are_kept(self):
        """Guards against a datagram that is replayed as its sender was forgotten."""
        sealed = []
        for number in range(1_000):
            sender = create_datagram_codec(CODEC, (OLD_KEY,), f"h{number}")
            sealed.append(sender.seal(Note("x"), 100.0))
            self.receiver.open(sealed[-1], 100.0)
        for data in sealed:
            with self.assertRaises(AuthenticationError):
                self.receiver.open(data, 129.0)

    def test_corrupt_datagrams_are_refused(self):
        """Guards against a corrupt datagram that is accepted."""
        rng = random.Random(9)
        data = self.sender.seal(Note("hello", 5), 100.0)
        for _ in range(2000):
            corrupted = bytearray(data)
            _corrupt(corrupted, rng)
            if bytes(corrupted) != data:
                with self.assertRaises(WireError):
                    self.receiver.open(bytes(corrupted), 100.0)

    def test_oversized_datagram_is_refused(self):
        """Guards against datagrams that IP has to fragment."""
        with self.assertRaises(FrameError):
            self.sender.seal(Blob(b"x" * 1200), 100.0)


class PartsTest(unittest.TestCase):
    """Tests of MACs over several parts."""

    def test_parts_cannot_be_shifted(self):
        """Guards against a MAC that stays valid when bytes move between parts."""
        mac = sign_parts((OLD_KEY,), (b"GET", b"/a"))
        verify_parts((NEW_KEY, OLD_KEY), (b"GET", b"/a"), mac)
        with self.assertRaises(AuthenticationError):
            verify_parts((OLD_KEY,), (b"GET/", b"a"), mac)


def _corrupt(data, rng):
    position = rng.randrange(len(data)) if data else 0
    kind = rng.randrange(4)
    if kind == 0 and data:
        data[position] ^= 1 << rng.randrange(8)
    elif kind == 1:
        del data[position : position + rng.randint(1, 9)]
    elif kind == 2:
        data[position:position] = rng.randbytes(rng.randint(1, 9))
    else:
        del data[position:]


if __name__ == "__main__":
    unittest.main()
