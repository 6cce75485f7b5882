"""Peer task: owns the links to the other entry hosts."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from buckthorndeal.directory import HostRecord
from buckthorndeal.entry._messages import HostUpdate
from buckthorndeal.errors import PeerError
from buckthorndeal.mailbox import create_mailbox
from buckthorndeal.membership._service import parse_address
from buckthorndeal.peers import (
    Channel,
    LinkOptions,
    PeerLink,
    PeerServer,
    create_peer_link,
    create_peer_server,
)
from buckthorndeal.settings import EntrySettings
from buckthorndeal.transport import DatagramPort, Transport
from buckthorndeal.wire import Codec, Message, create_codec, derive_keys

# A host must learn of a leave within 3 s, even if a link has to reconnect first.
LINK_OPTIONS = LinkOptions(connect_timeout_s=1.5, backoff_max_s=0.5)
# Number of ports tried until one is free for both links and datagrams.
PORT_ATTEMPTS = 8

MessageHandler = Callable[[Message, str], Awaitable[None]]


@dataclass(frozen=True)
class SendToPeer:
    """Tells the peer task to send a notice to an entry host.

    The notice is dropped if the host is unknown or unreachable, and, without
    `any_region`, if it is in another region.
    """

    host: str
    message: Message
    any_region: bool = False


class PeerTask:
    """Exchanges notices with other entry hosts.

    Parameters
    ----------
    settings : EntrySettings
        Settings of this host.
    transport : Transport
        Opens and accepts connections.
    handlers : dict of type to callable
        Coroutine function for each message type, called with the message and the
        name of the host that sent it.
    """

    def __init__(
        self,
        settings: EntrySettings,
        transport: Transport,
        handlers: dict[type[Message], MessageHandler],
    ) -> None:
        self.mailbox = create_mailbox()
        self._settings = settings
        self._transport = transport
        self._handlers = handlers
        self._codec: Codec = create_codec(tuple(handlers))
        self._keys = derive_keys(settings.peer_keys)
        self._records: dict[str, HostRecord] = {}
        # Address and link of each host that a notice was sent to.
        self._links: dict[str, tuple[str, PeerLink]] = {}
        self._server: PeerServer = create_peer_server(
            self._receive, self._codec, self._keys, settings.host, LINK_OPTIONS
        )

    @property
    def port(self) -> int:
        """Bound port for links and datagrams."""
        return self._server.port

    async def listen(self) -> DatagramPort:
        """Listen for links, and open the datagram port with the same number.

        Raises
        ------
        OSError
            If the port of the settings is in use, or if no port is free for both.
        """
        listen = self._settings.peer_listen
        for _ in range(PORT_ATTEMPTS):
            await self._server.start(self._transport, listen.address, listen.port)
            try:
                return await self._transport.open_datagrams(listen.address, self.port)
            except OSError:
                await self._server.close()
                if listen.port:
                    raise
        raise OSError(f"no port of {listen.address} is free for links and datagrams")

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for envelope in self.mailbox:
            message = envelope.message
            if isinstance(message, HostUpdate):
                await self._update_host(message.record)
            else:
                await self._send(message)

    async def close(self) -> None:
        """Close all links."""
        for _, link in self._links.values():
            await link.close()
        await self._server.close()

    async def _update_host(self, record: HostRecord) -> None:
        self._records[record.host] = record
        address, link = self._links.get(record.host, ("", None))
        is_stale = record.state == "lost" or record.peer_address != address
        if link is not None and is_stale:
            del self._links[record.host]
            await link.close()

    async def _send(self, message: SendToPeer) -> None:
        record = self._records.get(message.host)
        if record is None:
            return
        if record.region != self._settings.region and not message.any_region:
            return
        if record.state == "lost" or not record.peer_address:
            return
        if message.host not in self._links:
            self._links[message.host] = await self._open_link(record)
        try:
            await self._links[message.host][1].send(message.message)
        except PeerError:
            # Notices that must arrive are repeated by their sender.
            return

    async def _open_link(self, record: HostRecord) -> tuple[str, PeerLink]:
        address, port = parse_address(record.peer_address)
        link = create_peer_link(
            self._transport,
            address,
            port,
            self._codec,
            self._keys,
            self._settings.host,
            expected_host=record.host,
            options=LINK_OPTIONS,
        )
        await link.start()
        return record.peer_address, link

    async def _receive(self, message: Message, channel: Channel) -> None:
        await self._handlers[type(message)](message, channel.host)
