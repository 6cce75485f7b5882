"""Links to the peer ports of other hosts."""

import random
from collections.abc import Iterable

import curio

from buckthorndeal.errors import PeerError, Verdict
from buckthorndeal.fleet._messages import FLEET_CODEC
from buckthorndeal.logs import log_event
from buckthorndeal.peers import Handler, LinkOptions, PeerLink, create_peer_link
from buckthorndeal.transport import Transport
from buckthorndeal.wire import Message

# The drain of an endpoint has to reach every entry host within seconds, so a connection
# is closed and reopened once two heartbeats of the peer are missing.
LINK_OPTIONS = LinkOptions(
    heartbeat_s=0.8,
    silence_s=2.0,
    connect_timeout_s=0.9,
    open_timeout_s=0.35,
    backoff_min_s=0.05,
    backoff_max_s=0.15,
)

DELIVERY_ATTEMPTS = 3
DELIVERY_TIMEOUT_S = 0.7
DELIVERY_RETRY_S = 0.3


class HostLinks:
    """Links to peers, by IP address, which also is the host name of a peer.

    Parameters
    ----------
    transport : Transport
        Opens the connections.
    keys : tuple of bytes
        Shared keys.
    own_address : str
        IP address of this host, to which no link is opened.
    port : int
        Peer port, which is the same on every host.
    handler : callable
        Called with each message that a peer sends over a link.
    """

    def __init__(
        self,
        transport: Transport,
        keys: tuple[bytes, ...],
        own_address: str,
        port: int,
        handler: Handler,
    ) -> None:
        self._transport = transport
        self._keys = keys
        self._own_address = own_address
        self._port = port
        self._handler = handler
        self._links: dict[str, PeerLink] = {}

    @property
    def hosts(self) -> tuple[str, ...]:
        """Hosts with a link, connected or not."""
        return tuple(self._links)

    def get(self, host: str) -> PeerLink | None:
        """Return the link to a host, or None."""
        return self._links.get(host)

    def list_connected(self) -> list[str]:
        """Return the hosts with a connected link."""
        return [host for host, link in self._links.items() if link.connected]

    def list_connections(self) -> dict[str, int]:
        """Return the number of the present connection to each connected host."""
        return {
            host: link.connection_number
            for host, link in self._links.items()
            if link.connected
        }

    async def ensure(self, hosts: Iterable[str]) -> None:
        """Create and start links to the other hosts that have none yet."""
        for host in hosts:
            if host == self._own_address or host in self._links:
                continue
            link = create_peer_link(
                self._transport,
                host,
                self._port,
                FLEET_CODEC,
                self._keys,
                self._own_address,
                self._handler,
                expected_host=host,
                options=LINK_OPTIONS,
                rng=random.Random(),
            )
            self._links[host] = link
            await link.start()
            log_event("link_added", peer=host)

    async def drop(self, host: str) -> None:
        """Close and remove the link to a host."""
        link = self._links.pop(host, None)
        if link is not None:
            await link.close()
            log_event("link_dropped", peer=host)

    async def send(self, host: str, message: Message) -> bool:
        """Send a notification; return False if the host is not connected."""
        link = self._links.get(host)
        if link is None or not link.connected:
            return False
        try:
            await link.send(message)
        except PeerError as error:
            log_event("notice_lost", peer=host, reason=str(error))
            return False
        return True

    async def call(self, host: str, message: Message, timeout_s: float) -> Message:
        """Send a query and return the reply.

        Raises
        ------
        PeerError
            If there is no link or no reply.
        """
        link = self._links.get(host)
        if link is None:
            raise PeerError(f"no link to host {host}", Verdict.NOT_RUN)
        return await link.call(message, timeout_s)

    async def deliver(self, host: str, message: Message) -> bool:
        """Send a message until the host confirms it, a few times at most.

        Returns
        -------
        bool
            Whether the host has confirmed it.
        """
        for _ in range(DELIVERY_ATTEMPTS):
            try:
                await self.call(host, message, DELIVERY_TIMEOUT_S)
                return True
            except PeerError as error:
                kind = type(message).__name__
                log_event("not_delivered", peer=host, kind=kind, reason=str(error))
                await curio.sleep(DELIVERY_RETRY_S)
        return False

    async def close(self) -> None:
        """Close all links."""
        for host in list(self._links):
            await self.drop(host)


def create_host_links(
    transport: Transport,
    keys: tuple[bytes, ...],
    own_address: str,
    port: int,
    handler: Handler,
) -> HostLinks:
    """Return an empty set of links."""
    return HostLinks(transport, keys, own_address, port, handler)
