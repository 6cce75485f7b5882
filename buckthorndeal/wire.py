"""Peer protocol without I/O: typed messages, framing and authentication.

A connection starts with a plain exchange of hellos that carry a nonce each. Every
frame after that is a 4-byte big-endian payload length, a 16-byte MAC and a
MessagePack payload. Datagrams are a MAC and a payload.

Keys are rotated in three steps, each rolled out to all processes before the next:
``[old, new]``, ``[new, old]``, ``[new]``.
"""

import hashlib
import hmac
from typing import Any, Union

import msgspec

from buckthorndeal.errors import AuthenticationError, FrameError

__all__ = [
    "CLIENT",
    "HELLO_BYTES",
    "MAX_DATAGRAM_BYTES",
    "MAX_FRAME_BYTES",
    "NONCE_BYTES",
    "SERVER",
    "Codec",
    "DatagramCodec",
    "Message",
    "Session",
    "create_codec",
    "create_datagram_codec",
    "create_hello",
    "create_session",
    "derive_keys",
    "parse_hello",
    "sign_parts",
    "verify_parts",
]

LENGTH_BYTES = 4
MAC_BYTES = 16
NONCE_BYTES = 16
HELLO_MAGIC = b"BKD1"
HELLO_BYTES = len(HELLO_MAGIC) + NONCE_BYTES
MAX_FRAME_BYTES = 8_388_608
# The first frame only names the host. A small limit keeps unauthenticated peers
# from reserving memory.
MAX_FIRST_FRAME_BYTES = 4_096
# Fits into an IPv6 packet of the minimum MTU of 1280 bytes with its headers.
MAX_DATAGRAM_BYTES = 1_200
# Bounds how long a captured datagram is useful against a process that has not
# heard from its sender. Hosts' wall clocks have to agree within it.
REPLAY_WINDOW_S = 30.0

CLIENT = b"client"
SERVER = b"server"
DATAGRAM = b"datagram"


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of the messages of the peer protocol.

    Messages are encoded as arrays that start with the class name. New fields are
    added at the end with a default, so that processes of two versions understand
    each other.
    """


class Codec:
    """Encodes and decodes a closed set of message types.

    Parameters
    ----------
    message_types : tuple of type
        Subclasses of `Message`, each with its own tag.
    """

    def __init__(self, message_types: tuple[type[Message], ...]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Union[message_types])  # noqa: UP007

    def encode(self, message: Message) -> bytes:
        """Return `message` as MessagePack."""
        return self._encoder.encode(message)

    def decode(self, payload: bytes | msgspec.Raw) -> Any:
        """Return the message in `payload`.

        Raises
        ------
        FrameError
            If the payload is not a message of the set.
        """
        try:
            return self._decoder.decode(payload)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise FrameError(f"malformed payload: {error}") from error


def create_codec(message_types: tuple[type[Message], ...]) -> Codec:
    """Return a codec for the union of `message_types`."""
    return Codec(tuple(message_types))


class Session:
    """Frames of one connection, seen from one end.

    Parameters
    ----------
    codec : Codec
        Codec of the payloads.
    keys : tuple of bytes
        Shared keys; the first one signs and all of them verify.
    direction : bytes
        `CLIENT` at the end that connected and `SERVER` at the other end.
    client_nonce, server_nonce : bytes
        Nonces of the two hellos.
    """

    def __init__(
        self,
        codec: Codec,
        keys: tuple[bytes, ...],
        direction: bytes,
        client_nonce: bytes,
        server_nonce: bytes,
    ) -> None:
        self._codec = codec
        self._keys = keys
        nonces = client_nonce + server_nonce
        remote = SERVER if direction == CLIENT else CLIENT
        self._send_prefix = direction + nonces
        self._receive_prefix = remote + nonces
        self._sent = 0
        self._received = 0
        self._buffer = bytearray()

    def seal(self, message: Message) -> bytes:
        """Return the next outgoing frame.

        Raises
        ------
        FrameError
            If the message is larger than a frame; nothing is counted as sent.
        """
        payload = self._codec.encode(message)
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"payload of {len(payload)} bytes exceeds the limit")
        mac = _compute_mac(self._keys[0], self._send_prefix, self._sent, payload)
        self._sent += 1
        return len(payload).to_bytes(LENGTH_BYTES, "big") + mac + payload

    def feed(self, data: bytes) -> list[Any]:
        """Return the messages completed by `data`.

        Raises
        ------
        FrameError
            If a frame is malformed or too large.
        AuthenticationError
            If a MAC is wrong. The connection cannot be used any longer.
        """
        self._buffer += data
        messages = []
        while (payload := self._take_payload()) is not None:
            messages.append(self._codec.decode(payload))
        return messages

    def _take_payload(self) -> bytes | None:
        if len(self._buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        limit = MAX_FRAME_BYTES if self._received else MAX_FIRST_FRAME_BYTES
        if length > limit:
            raise FrameError(f"frame of {length} bytes exceeds {limit}")
        start = LENGTH_BYTES + MAC_BYTES
        if len(self._buffer) < start + length:
            return None
        mac = bytes(self._buffer[LENGTH_BYTES:start])
        payload = bytes(self._buffer[start : start + length])
        self._verify(mac, payload)
        del self._buffer[: start + length]
        self._received += 1
        return payload

    def _verify(self, mac: bytes, payload: bytes) -> None:
        for key in self._keys:
            expected = _compute_mac(key, self._receive_prefix, self._received, payload)
            if hmac.compare_digest(mac, expected):
                return
        raise AuthenticationError("frame with a wrong MAC")


def create_session(
    codec: Codec,
    keys: tuple[bytes, ...],
    direction: bytes,
    client_nonce: bytes,
    server_nonce: bytes,
) -> Session:
    """Return the frame state of one end of a connection."""
    return Session(codec, keys, direction, client_nonce, server_nonce)


def _compute_mac(key: bytes, prefix: bytes, sequence: int, payload: bytes) -> bytes:
    data = b"".join((prefix, sequence.to_bytes(8, "big"), payload))
    return hmac.digest(key, data, "sha256")[:MAC_BYTES]


def create_hello(nonce: bytes) -> bytes:
    """Return the first bytes of a connection, of `HELLO_BYTES` bytes.

    Parameters
    ----------
    nonce : bytes
        16 fresh random bytes.
    """
    return HELLO_MAGIC + nonce


def parse_hello(data: bytes) -> bytes:
    """Return the nonce in a hello.

    Raises
    ------
    FrameError
        If `data` is not a hello of this version.
    """
    if len(data) != HELLO_BYTES or not data.startswith(HELLO_MAGIC):
        raise FrameError("not a hello of the peer protocol")
    return data[len(HELLO_MAGIC) :]


class _Datagram(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    stamp_us: int
    body: msgspec.Raw


class DatagramCodec:
    """Seals and opens datagrams of one process.

    The stamp is the wall clock in microseconds, raised where needed so that it
    always increases. A receiver drops a stamp outside of `REPLAY_WINDOW_S`, and one
    that is not newer than the last one of the sender; a reordered datagram is thus
    lost, which its users tolerate as they tolerate loss.

    Parameters
    ----------
    codec : Codec
        Codec of the bodies.
    keys : tuple of bytes
        Shared keys; the first one signs and all of them verify.
    host : str
        Name of this host, the sender in sealed datagrams.
    """

    def __init__(self, codec: Codec, keys: tuple[bytes, ...], host: str) -> None:
        self._codec = codec
        self._keys = keys
        self._host = host
        self._last_stamp_us = 0
        self._last_received_us: dict[str, int] = {}
        self._decoder = msgspec.msgpack.Decoder(_Datagram)

    def seal(self, message: Message, wall_s: float) -> bytes:
        """Return `message` as a datagram.

        Parameters
        ----------
        message : Message
            Body.
        wall_s : float
            Seconds since the epoch.

        Raises
        ------
        FrameError
            If it does not fit into `MAX_DATAGRAM_BYTES`.
        """
        self._last_stamp_us = max(self._last_stamp_us + 1, int(wall_s * 1e6))
        body = msgspec.Raw(self._codec.encode(message))
        datagram = _Datagram(self._host, self._last_stamp_us, body)
        payload = msgspec.msgpack.encode(datagram)
        if len(payload) + MAC_BYTES > MAX_DATAGRAM_BYTES:
            raise FrameError(f"datagram of {len(payload)} bytes exceeds the limit")
        return _compute_mac(self._keys[0], DATAGRAM, 0, payload) + payload

    def open(self, data: bytes, wall_s: float) -> tuple[str, Any]:
        """Return the sender and the message of a datagram.

        Raises
        ------
        FrameError
            If the datagram is malformed or too large.
        AuthenticationError
            If the MAC is wrong or the datagram is replayed.
        """
        if not MAC_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise FrameError(f"datagram of {len(data)} bytes")
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(self._matches(key, mac, payload) for key in self._keys):
            raise AuthenticationError("datagram with a wrong MAC")
        try:
            datagram = self._decoder.decode(payload)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise FrameError(f"malformed datagram: {error}") from error
        self._check_stamp(datagram, wall_s)
        return datagram.sender, self._codec.decode(datagram.body)

    def _matches(self, key: bytes, mac: bytes, payload: bytes) -> bool:
        return hmac.compare_digest(mac, _compute_mac(key, DATAGRAM, 0, payload))

    def _check_stamp(self, datagram: _Datagram, wall_s: float) -> None:
        age_s = abs(wall_s - datagram.stamp_us / 1e6)
        last_us = self._last_received_us.get(datagram.sender, 0)
        if age_s > REPLAY_WINDOW_S or datagram.stamp_us <= last_us:
            raise AuthenticationError("datagram is replayed or out of order")
        self._last_received_us[datagram.sender] = datagram.stamp_us

    def forget_sender(self, sender: str) -> None:
        """Drop the replay state of a host that has left."""
        self._last_received_us.pop(sender, None)


def create_datagram_codec(
    codec: Codec, keys: tuple[bytes, ...], host: str
) -> DatagramCodec:
    """Return the datagram codec of `host`."""
    return DatagramCodec(codec, keys, host)


def derive_keys(key_texts: tuple[str, ...]) -> tuple[bytes, ...]:
    """Derive a 32-byte key from each shared key of the settings by SHA-256."""
    return tuple(hashlib.sha256(key.encode()).digest() for key in key_texts)


def sign_parts(keys: tuple[bytes, ...], parts: tuple[bytes, ...]) -> bytes:
    """Return a MAC over `parts`, each preceded by its length.

    Used for the headers of requests that are forwarded between hosts.
    """
    return _sign_parts(keys[0], parts)


def verify_parts(keys: tuple[bytes, ...], parts: tuple[bytes, ...], mac: bytes) -> None:
    """Check a MAC made by `sign_parts`.

    Raises
    ------
    AuthenticationError
        If none of the keys made the MAC.
    """
    for key in keys:
        if hmac.compare_digest(mac, _sign_parts(key, parts)):
            return
    raise AuthenticationError("message parts with a wrong MAC")


def _sign_parts(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    lengths = (len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(key, b"parts" + b"".join(lengths), "sha256")[:MAC_BYTES]
