"""Peer protocol without I/O: message encoding, framing and authentication.

A connection starts with an exchange of unauthenticated hellos, each with a nonce.
Every frame after that consists of a 4-byte big-endian payload length, a 16-byte MAC
and a MessagePack payload. A datagram consists of a MAC and a payload.

Keys are rotated in three steps, each of which has to reach all processes before the
next: ``[old, new]``, ``[new, old]``, ``[new]``.
"""

import hmac
from typing import Any, Union

import msgspec

from buckthorndeal._wire_keys import (
    MAC_BYTES,
    derive_keys,
    sign_parts,
    verify_parts,
)
from buckthorndeal.errors import DECODING_ERRORS, AuthenticationError, FrameError

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
NONCE_BYTES = 16
HELLO_MAGIC = b"BKD1"
HELLO_BYTES = len(HELLO_MAGIC) + NONCE_BYTES
MAX_FRAME_BYTES = 8_388_608
# The first frame contains only the host name. A small limit keeps unauthenticated
# peers from making this process buffer much data.
MAX_FIRST_FRAME_BYTES = 4_096
# Fits with its headers into an IPv6 packet of the minimum MTU of 1280 bytes.
MAX_DATAGRAM_BYTES = 1_200
# Maximum difference between a datagram's timestamp and the receiver's wall clock. It
# limits how long a captured datagram can be replayed to a process that has not yet
# received any datagram from that sender. The wall clocks of all hosts have to agree
# within it.
REPLAY_WINDOW_S = 30.0
# Senders up to this number are kept after the window, too.
MIN_SENDERS = 256

CLIENT = b"client"
SERVER = b"server"
DATAGRAM = b"datagram"


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of the messages of the peer protocol.

    A message is encoded as an array that starts with its tag, by default the class
    name. New fields are added at the end and with a default value, so that processes
    of different versions can communicate.
    """


class Codec:
    """Encodes and decodes a fixed set of message types.

    Parameters
    ----------
    message_types : tuple of type
        Subclasses of `Message`, each with its own tag.
    """

    def __init__(self, message_types: tuple[type[Message], ...]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Union[message_types])  # noqa: UP007

    def encode(self, message: Message) -> bytes:
        """Return `message` as MessagePack.

        Raises
        ------
        FrameError
            If a value cannot be encoded, such as a number beyond 64 bits.
        """
        try:
            return self._encoder.encode(message)
        except (OverflowError, ValueError) as error:
            raise FrameError(f"message cannot be encoded: {error}") from error

    def decode(self, payload: bytes | msgspec.Raw) -> Any:
        """Return the message in `payload`.

        Raises
        ------
        FrameError
            If the payload is not a message of one of the types.
        """
        try:
            return self._decoder.decode(payload)
        except DECODING_ERRORS as error:
            raise FrameError(f"malformed payload: {error}") from error


def create_codec(message_types: tuple[type[Message], ...]) -> Codec:
    """Return a codec for the union of `message_types`."""
    return Codec(tuple(message_types))


class Session:
    """Seals and opens the frames of one connection, at one end of it.

    Parameters
    ----------
    codec : Codec
        Codec of the payloads.
    keys : tuple of bytes
        Shared keys; the first one signs and all of them verify.
    role : bytes
        `CLIENT` at the end that opened the connection, `SERVER` at the other end.
    client_nonce, server_nonce : bytes
        Nonces of the two hellos.
    """

    def __init__(
        self,
        codec: Codec,
        keys: tuple[bytes, ...],
        role: bytes,
        client_nonce: bytes,
        server_nonce: bytes,
    ) -> None:
        self._codec = codec
        self._keys = keys
        nonces = client_nonce + server_nonce
        remote_role = SERVER if role == CLIENT else CLIENT
        self._send_prefix = role + nonces
        self._receive_prefix = remote_role + nonces
        self._send_sequence = 0
        self._receive_sequence = 0
        self._buffer = bytearray()

    def seal(self, message: Message) -> bytes:
        """Return the next outgoing frame.

        Raises
        ------
        FrameError
            If the message is too large for a frame. The session stays usable.
        """
        payload = self._codec.encode(message)
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(
                f"payload of {len(payload)} bytes exceeds {MAX_FRAME_BYTES} bytes"
            )
        mac = _compute_mac(
            self._keys[0], self._send_prefix, self._send_sequence, payload
        )
        self._send_sequence += 1
        return len(payload).to_bytes(LENGTH_BYTES, "big") + mac + payload

    def feed(self, data: bytes) -> list[Any]:
        """Add received bytes and return the messages that they complete.

        Raises
        ------
        FrameError
            If a frame is malformed or too large.
        AuthenticationError
            If a MAC is wrong. The connection must not be used any more.
        """
        self._buffer += data
        messages = []
        while (payload := self._take_payload()) is not None:
            messages.append(self._codec.decode(payload))
        return messages

    @property
    def incomplete_bytes(self) -> int:
        """Size of the frame of which only a part has been received, in bytes.

        It is 0 while the size is not known.
        """
        if len(self._buffer) < LENGTH_BYTES:
            return 0
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        return LENGTH_BYTES + MAC_BYTES + length

    def _take_payload(self) -> bytes | None:
        if len(self._buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        limit = MAX_FRAME_BYTES if self._receive_sequence else MAX_FIRST_FRAME_BYTES
        if length > limit:
            raise FrameError(f"frame of {length} bytes exceeds {limit} bytes")
        start = LENGTH_BYTES + MAC_BYTES
        if len(self._buffer) < start + length:
            return None
        mac = bytes(self._buffer[LENGTH_BYTES:start])
        payload = bytes(self._buffer[start : start + length])
        self._verify(mac, payload)
        del self._buffer[: start + length]
        self._receive_sequence += 1
        return payload

    def _verify(self, mac: bytes, payload: bytes) -> None:
        for key in self._keys:
            expected = _compute_mac(
                key, self._receive_prefix, self._receive_sequence, payload
            )
            if hmac.compare_digest(mac, expected):
                return
        raise AuthenticationError("frame has a wrong MAC")


def create_session(
    codec: Codec,
    keys: tuple[bytes, ...],
    role: bytes,
    client_nonce: bytes,
    server_nonce: bytes,
) -> Session:
    """Return the session of one end of a connection; see `Session`."""
    return Session(codec, keys, role, client_nonce, server_nonce)


def _compute_mac(key: bytes, prefix: bytes, sequence: int, payload: bytes) -> bytes:
    data = b"".join((prefix, sequence.to_bytes(8, "big"), payload))
    return hmac.digest(key, data, "sha256")[:MAC_BYTES]


def create_hello(nonce: bytes) -> bytes:
    """Return the hello with which each end starts, of `HELLO_BYTES` bytes.

    Parameters
    ----------
    nonce : bytes
        16 random bytes that are used only once.
    """
    return HELLO_MAGIC + nonce


def parse_hello(data: bytes) -> bytes:
    """Return the nonce of a hello.

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
    timestamp_us: int
    body: msgspec.Raw


class DatagramCodec:
    """Seals and opens the datagrams of one process.

    A datagram carries a timestamp: the wall clock in microseconds, increased where
    necessary to be strictly monotonic. Receivers refuse a datagram whose timestamp is
    outside of `REPLAY_WINDOW_S` or not newer than the last one of its sender. A
    reordered datagram is therefore lost; users tolerate this like any other loss.

    Parameters
    ----------
    codec : Codec
        Codec of the bodies.
    keys : tuple of bytes
        Shared keys; the first one signs and all of them verify.
    host : str
        Name of this host, which sealed datagrams give as their sender.
    """

    def __init__(self, codec: Codec, keys: tuple[bytes, ...], host: str) -> None:
        self._codec = codec
        self._keys = keys
        self._host = host
        self._last_timestamp_us = 0
        self._last_received_timestamps_us: dict[str, int] = {}
        self._max_senders = MIN_SENDERS
        self._decoder = msgspec.msgpack.Decoder(_Datagram)

    def seal(self, message: Message, wall_s: float) -> bytes:
        """Return `message` as a datagram.

        Parameters
        ----------
        message : Message
            Body.
        wall_s : float
            Wall-clock time in seconds since the Unix epoch.

        Raises
        ------
        FrameError
            If the datagram would be larger than `MAX_DATAGRAM_BYTES`.
        """
        self._last_timestamp_us = max(self._last_timestamp_us + 1, int(wall_s * 1e6))
        body = msgspec.Raw(self._codec.encode(message))
        datagram = _Datagram(self._host, self._last_timestamp_us, body)
        payload = msgspec.msgpack.encode(datagram)
        if len(payload) + MAC_BYTES > MAX_DATAGRAM_BYTES:
            raise FrameError(
                f"payload of {len(payload)} bytes does not fit into a datagram of "
                f"{MAX_DATAGRAM_BYTES} bytes"
            )
        return _compute_mac(self._keys[0], DATAGRAM, 0, payload) + payload

    def open(self, data: bytes, wall_s: float) -> tuple[str, Any]:
        """Return the sender and the message of a datagram.

        Raises
        ------
        FrameError
            If the datagram is malformed or too large.
        AuthenticationError
            If the MAC is wrong, or the datagram is replayed, out of order or outside
            of the replay window.
        """
        if not MAC_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise FrameError(f"invalid datagram size of {len(data)} bytes")
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(self._is_mac_valid(key, mac, payload) for key in self._keys):
            raise AuthenticationError("datagram has a wrong MAC")
        try:
            datagram = self._decoder.decode(payload)
        except DECODING_ERRORS as error:
            raise FrameError(f"malformed datagram: {error}") from error
        self._check_timestamp(datagram, wall_s)
        return datagram.sender, self._codec.decode(datagram.body)

    def _is_mac_valid(self, key: bytes, mac: bytes, payload: bytes) -> bool:
        return hmac.compare_digest(mac, _compute_mac(key, DATAGRAM, 0, payload))

    def _check_timestamp(self, datagram: _Datagram, wall_s: float) -> None:
        skew_s = abs(wall_s - datagram.timestamp_us / 1e6)
        last_us = self._last_received_timestamps_us.get(datagram.sender, 0)
        if skew_s > REPLAY_WINDOW_S or datagram.timestamp_us <= last_us:
            raise AuthenticationError(
                f"datagram of {datagram.sender!r} is replayed, out of order or "
                f"not sent within {REPLAY_WINDOW_S:g} s"
            )
        self._last_received_timestamps_us[datagram.sender] = datagram.timestamp_us
        if len(self._last_received_timestamps_us) > self._max_senders:
            self._forget_senders(wall_s)

    def _forget_senders(self, wall_s: float) -> None:
        """Drop the senders of which any datagram that was received is too old."""
        oldest_us = (wall_s - 2 * REPLAY_WINDOW_S) * 1e6
        self._last_received_timestamps_us = {
            sender: timestamp_us
            for sender, timestamp_us in self._last_received_timestamps_us.items()
            if timestamp_us >= oldest_us
        }
        # Each check of all senders is paid for by as many new ones.
        kept = len(self._last_received_timestamps_us)
        self._max_senders = max(MIN_SENDERS, 2 * kept)


def create_datagram_codec(
    codec: Codec, keys: tuple[bytes, ...], host: str
) -> DatagramCodec:
    """Return the datagram codec of `host`; see `DatagramCodec`."""
    return DatagramCodec(codec, keys, host)
