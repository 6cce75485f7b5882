"""Authenticated, persistent links between processes."""

import random
import secrets

import curio

from buckthorndeal._peer_channel import Channel, Handler
from buckthorndeal._peer_messages import LINK_CODEC, Introduction, LinkOptions
from buckthorndeal.connections import PEER_BUFFERS, ConnectionLimits
from buckthorndeal.errors import AuthenticationError, PeerError, Verdict, WireError
from buckthorndeal.logs import log_event
from buckthorndeal.memory import MemoryAccount
from buckthorndeal.supervision import spawn_loop
from buckthorndeal.transport import Listener, Stream, Transport
from buckthorndeal.wire import (
    CLIENT,
    HELLO_BYTES,
    NONCE_BYTES,
    SERVER,
    Codec,
    Message,
    Session,
    create_hello,
    create_session,
    parse_hello,
)

__all__ = [
    "Channel",
    "Handler",
    "LinkOptions",
    "PeerLink",
    "PeerServer",
    "create_peer_link",
    "create_peer_server",
]

READ_BYTES = 4_096
MAX_CONNECTIONS = 2_048
# Longer than a round trip between regions, which a handshake takes.
MIN_HANDSHAKE_S = 0.25


class PeerServer:
    """Accepts links and calls a handler for each message.

    Parameters
    ----------
    handler : callable
        Coroutine function called with a message and the `Channel` that received
        it. `Channel.host` is the name of the peer; `Channel.call` and
        `Channel.send` send messages to it. The result is the reply to a call.
    codec : Codec
        Codec of the messages.
    keys : tuple of bytes
        Shared keys; the first one signs and all of them verify.
    host : str
        Name of this host.
    options : LinkOptions
        Timeouts and limits.
    """

    def __init__(
        self,
        handler: Handler,
        codec: Codec,
        keys: tuple[bytes, ...],
        host: str,
        options: LinkOptions,
    ) -> None:
        self._handler = handler
        self._codec = codec
        self._keys = keys
        self._host = host
        self._options = options
        self._account: MemoryAccount | None = None
        self._connections: ConnectionLimits | None = None
        self._listener: Listener | None = None
        # By connection, when its handshake began; the oldest comes first.
        self._handshakes: dict[Stream, float] = {}

    @property
    def port(self) -> int:
        """Bound port."""
        return self._listener.port

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return self._listener.connection_count

    async def start(self, transport: Transport, address: str, port: int) -> None:
        """Listen on `address` and `port`."""
        self._account = transport.memory
        self._connections = transport.connections
        self._listener = await transport.listen(address, port, self._serve_stream)

    async def close(self) -> None:
        """Stop listening and close all links."""
        await self._listener.close()

    async def _serve_stream(self, stream: Stream) -> None:
        if self._listener and self.connection_count > MAX_CONNECTIONS:
            return
        if not await self._has_room():
            return
        self._handshakes[stream] = await curio.clock()
        try:
            async with curio.timeout_after(self._options.connect_timeout_s):
                session, peer, early_messages = await self._accept_handshake(stream)
        except (WireError, curio.TaskTimeout) as error:
            log_event("peer_refused", reason=repr(error))
            return
        finally:
            self._handshakes.pop(stream, None)
        stream.set_buffers(PEER_BUFFERS)
        channel = Channel(self._codec, self._handler, self._options, self._account)
        channel.host = peer
        try:
            reason = await channel.serve(stream, session, early_messages)
        finally:
            async with curio.disable_cancellation():
                await channel.close()
        log_event("peer_gone", peer=peer, reason=reason)

    async def _has_room(self) -> bool:
        """Return whether another handshake may begin.

        If too many have begun, it takes the place of the oldest. A peer that was
        refused tries again.
        """
        limits = self._connections
        count = len(self._handshakes)
        if count < limits.max_handshakes:
            return True
        oldest, begun_s = next(iter(self._handshakes.items()))
        if await curio.clock() - begun_s < MIN_HANDSHAKE_S:
            limits.record_refusal(self.port, count, limits.max_handshakes)
            return False
        del self._handshakes[oldest]
        limits.record_close("handshake", self.port, count, limits.max_handshakes)
        await oldest.abort()
        return True

    async def _accept_handshake(
        self, stream: Stream
    ) -> tuple[Session, str, list[Message]]:
        client_nonce = parse_hello(await _read_hello(stream))
        server_nonce = secrets.token_bytes(NONCE_BYTES)
        await stream.sendall(create_hello(server_nonce))
        session = create_session(
            LINK_CODEC, self._keys, SERVER, client_nonce, server_nonce
        )
        peer, early_messages = await _read_introduction(stream, session)
        await stream.sendall(session.seal(Introduction(self._host)))
        return session, peer, early_messages


class PeerLink:
    """Link to one process; a lost connection is opened again automatically.

    A message that is queued while the link is disconnected is sent after the next
    attempt to connect, or fails with `Verdict.NOT_RUN` if that attempt fails.

    Parameters
    ----------
    transport : Transport
        Transport to connect with.
    address : str
        Address of the peer.
    port : int
        Port of the peer.
    channel : Channel
        Channel that carries the messages.
    keys : tuple of bytes
        Shared keys; the first one signs and all of them verify.
    host : str
        Name of this host.
    expected_host : str or None
        Host name that the peer must have; None accepts any name.
    options : LinkOptions
        Timeouts and limits.
    rng : random.Random
        Source of the backoff jitter.
    """

    def __init__(
        self,
        transport: Transport,
        address: str,
        port: int,
        channel: Channel,
        keys: tuple[bytes, ...],
        host: str,
        expected_host: str | None,
        options: LinkOptions,
        rng: random.Random,
    ) -> None:
        self._transport = transport
        self._address = address
        self._port = port
        self._channel = channel
        self._keys = keys
        self._host = host
        self._expected_host = expected_host
        self._options = options
        self._rng = rng
        self._task: curio.Task | None = None
        self._connection_count = 0

    @property
    def connection_number(self) -> int:
        """Number of the latest connection; it rises each time one is opened."""
        return self._connection_count

    @property
    def connected(self) -> bool:
        """Whether the link is connected."""
        return self._channel.connected

    @property
    def host(self) -> str | None:
        """Name of the peer, or None before the first connection."""
        return self._channel.host

    async def start(self) -> None:
        """Start the task that owns the connection."""
        self._task = await spawn_loop(self._run)

    async def close(self) -> None:
        """Close the connection and fail all pending calls."""
        await self._task.cancel()
        await self._channel.close()

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Send `message` and return the reply; see `Channel.call`."""
        return await self._channel.call(message, timeout_s)

    async def send(self, message: Message) -> None:
        """Queue `message` without a reply; see `Channel.send`."""
        await self._channel.send(message)

    async def _run(self) -> None:
        failures = 0
        while True:
            reason = await self._connect_and_serve()
            if reason is None:
                failures = 0
            else:
                failures += 1
                await self._channel.fail_queued(f"cannot connect: {reason}")
            await curio.sleep(self._compute_backoff(failures))

    def _compute_backoff(self, failures: int) -> float:
        mean_s = self._options.backoff_min_s * 2 ** min(failures, 16)
        return min(mean_s, self._options.backoff_max_s) * self._rng.uniform(0.5, 1.5)

    async def _connect_and_serve(self) -> str | None:
        """Open a connection and use it until it is lost.

        Returns the error if it could not be opened, otherwise None.
        """
        stream = None
        try:
            try:
                async with curio.timeout_after(self._options.connect_timeout_s):
                    stream = await self._open()
                    stream.set_buffers(PEER_BUFFERS)
                    session, early_messages = await self._handshake(stream)
            except (OSError, WireError, curio.TaskTimeout) as error:
                return repr(error)
            self._connection_count += 1
            reason = await self._channel.serve(stream, session, early_messages)
            log_event("peer_lost", peer=self.host, reason=reason)
            return None
        finally:
            if stream is not None:
                async with curio.disable_cancellation():
                    await stream.close()

    async def _open(self) -> Stream:
        # The timeout is converted, because Curio does not let a TaskTimeout pass
        # through the timeout_after block of the caller.
        try:
            async with curio.timeout_after(self._options.open_timeout_s):
                return await self._transport.connect(self._address, self._port)
        except curio.TaskTimeout:
            raise ConnectionError(
                f"{self._address}:{self._port} does not answer"
            ) from None

    async def _handshake(self, stream: Stream) -> tuple[Session, list[Message]]:
        client_nonce = secrets.token_bytes(NONCE_BYTES)
        await stream.sendall(create_hello(client_nonce))
        server_nonce = parse_hello(await _read_hello(stream))
        session = create_session(
            LINK_CODEC, self._keys, CLIENT, client_nonce, server_nonce
        )
        await stream.sendall(session.seal(Introduction(self._host)))
        peer, early_messages = await _read_introduction(stream, session)
        if self._expected_host not in (None, peer):
            raise AuthenticationError(f"peer is {peer!r}, not {self._expected_host!r}")
        self._channel.host = peer
        return session, early_messages


async def _read_hello(stream: Stream) -> bytes:
    data = b""
    while len(data) < HELLO_BYTES:
        chunk = await stream.recv(HELLO_BYTES - len(data))
        if not chunk:
            raise ConnectionResetError("closed during the handshake")
        data += chunk
    return data


async def _read_introduction(
    stream: Stream, session: Session
) -> tuple[str, list[Message]]:
    messages: list[Message] = []
    while not messages:
        data = await stream.recv(READ_BYTES)
        if not data:
            raise ConnectionResetError("closed during the handshake")
        messages = session.feed(data)
    if not isinstance(messages[0], Introduction):
        raise AuthenticationError("the first frame is not an introduction")
    return messages[0].host, messages[1:]


def create_peer_server(
    handler: Handler,
    codec: Codec,
    keys: tuple[bytes, ...],
    host: str,
    options: LinkOptions | None = None,
) -> PeerServer:
    """Return a server that is not listening yet; see `PeerServer`."""
    return PeerServer(handler, codec, keys, host, options or LinkOptions())


def create_peer_link(
    transport: Transport,
    address: str,
    port: int,
    codec: Codec,
    keys: tuple[bytes, ...],
    host: str,
    handler: Handler | None = None,
    expected_host: str | None = None,
    options: LinkOptions | None = None,
    rng: random.Random | None = None,
) -> PeerLink:
    """Return a link that is not started yet; see `PeerLink`.

    `handler` receives the calls and notices that the peer sends over this link.
    """
    options = options or LinkOptions()
    channel = Channel(codec, handler or _refuse_call, options, transport.memory)
    return PeerLink(
        transport,
        address,
        port,
        channel,
        keys,
        host,
        expected_host,
        options,
        rng or random.Random(),
    )


async def _refuse_call(message: Message, channel: Channel) -> None:
    raise PeerError("no handler on this link", Verdict.NOT_RUN)
