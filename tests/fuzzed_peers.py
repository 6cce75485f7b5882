"""Decoders of messages of peers, with valid input, for the fuzz test."""

import pathlib
import sys

import msgspec

from buckthorndeal import forwarding
from buckthorndeal._peer_messages import LINK_CODEC, Call, Introduction, Notice
from buckthorndeal.control._messages import CONTROL_CODEC, Subscribe
from buckthorndeal.errors import (
    AuthenticationError,
    WireError,
)
from buckthorndeal.fleet._endpoint_record import EndpointRecord, EndpointState
from buckthorndeal.fleet._messages import FLEET_CODEC, EndpointHeartbeats
from buckthorndeal.membership._messages import MEMBERSHIP_MESSAGES, Fetch, Ping
from buckthorndeal.wire import (
    CLIENT,
    DATAGRAM,
    SERVER,
    Codec,
    _compute_mac,
    create_codec,
    create_datagram_codec,
    create_session,
    parse_hello,
)
from tests.decoder_fuzz import Decoder

sys.path.append(str(pathlib.Path(__file__).parent.parent / "platform"))


KEYS = (b"k" * 32,)
WALL_S = 1.7e9


def create_peer_decoders():
    heartbeats = _encode_heartbeats()
    membership = create_codec(MEMBERSHIP_MESSAGES)
    codecs = {
        "link": (LINK_CODEC, (Call(1, msgspec.Raw(heartbeats)), Introduction("a"))),
        "fleet": (FLEET_CODEC, (FLEET_CODEC.decode(heartbeats),)),
        "control": (CONTROL_CODEC, (Subscribe(1),)),
        "membership": (membership, (Ping(1, "a"), Fetch(("a", "b")))),
    }
    decoders = [
        Decoder(
            f"codec of {name}",
            codec.decode,
            (WireError,),
            tuple(codec.encode(message) for message in messages),
        )
        for name, (codec, messages) in codecs.items()
    ]
    datagrams = create_datagram_codec(membership, KEYS, "a")
    return [
        *decoders,
        Decoder("hello", parse_hello, (WireError,), (b"BKD1" + bytes(16),)),
        Decoder("session", _feed_session, (WireError,), (_seal_frames(),)),
        Decoder(
            "session, signed",
            _feed_signed,
            (WireError,),
            (LINK_CODEC.encode(Notice(msgspec.Raw(heartbeats))),),
        ),
        Decoder(
            "datagram",
            lambda data: _open_datagram(membership, data),
            (WireError,),
            (datagrams.seal(Ping(1, "b"), WALL_S),),
        ),
        Decoder(
            "datagram, signed",
            lambda data: _open_signed_datagram(membership, data),
            (WireError,),
            (msgspec.msgpack.encode(("a", int(WALL_S * 1e6), Ping(1, "b"))),),
        ),
        Decoder(
            "forwarding headers",
            _verify_forwarded,
            (AuthenticationError,),
            (b"5000,1700000000000,h1",),
        ),
    ]


def _encode_heartbeats():
    record = EndpointRecord(
        "e", 1, 2, "s", "a", "a-1", "10.0.0.1:80", 4, EndpointState.READY
    )
    return FLEET_CODEC.encode(EndpointHeartbeats((record,)))


def _create_session(role):
    return create_session(LINK_CODEC, KEYS, role, b"c" * 16, b"s" * 16)


def _seal_frames():
    client = _create_session(CLIENT)
    messages = (Introduction("a"), Notice(msgspec.Raw(b"\xc0")))
    return b"".join(client.seal(message) for message in messages)


def _feed_session(data):
    server = _create_session(SERVER)
    for start in range(0, len(data), 100):
        server.feed(data[start : start + 100])


class _RawCodec(Codec):
    """Codec whose messages are bytes already."""

    def __init__(self):
        pass

    def encode(self, message):
        return message


def _feed_signed(data):
    """Feed a frame with a valid MAC, as a faulty peer sends it."""
    client = create_session(_RawCodec(), KEYS, CLIENT, b"c" * 16, b"s" * 16)
    for message in _create_session(SERVER).feed(client.seal(data)):
        FLEET_CODEC.decode(message.body)


def _open_datagram(codec, data):
    create_datagram_codec(codec, KEYS, "b").open(data, WALL_S)


def _open_signed_datagram(codec, data):
    mac = _compute_mac(KEYS[0], DATAGRAM, 0, data)
    _open_datagram(codec, mac + data)


def _verify_forwarded(data):
    """Verify the numbers of forwarding headers that are signed."""
    deadline, _, rest = data.decode("latin-1").partition(",")
    sent, _, origin = rest.partition(",")
    names = forwarding.SIGNED_HEADERS
    headers = dict.fromkeys(names, origin) | {
        "buckthorndeal-deadline-ms": deadline,
        "buckthorndeal-sent-ms": sent,
    }
    mac = forwarding._compute_mac(headers, "POST", "/", b"", KEYS[0])
    headers[forwarding.MAC_HEADER] = mac
    forwarding.verify_request(headers, "POST", "/", b"", KEYS)
