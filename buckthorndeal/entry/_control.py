"""Connections of the entry host to the control hosts."""

from collections.abc import Awaitable, Callable

from buckthorndeal.control._messages import CONTROL_CODEC, LeaderHint
from buckthorndeal.errors import PeerError
from buckthorndeal.peers import Channel, LinkOptions, PeerLink, create_peer_link
from buckthorndeal.settings import EntrySettings
from buckthorndeal.transport import Transport
from buckthorndeal.wire import Message, derive_keys

# A document change must be active within 3 s, even if a link has just been lost.
LINK_OPTIONS = LinkOptions(connect_timeout_s=1.5, backoff_max_s=0.5)
CALL_TIMEOUT_S = 1.5

NoticeHandler = Callable[[Message, str], Awaitable[None]]


class ControlLinks:
    """Links to all control hosts by name.

    Parameters
    ----------
    settings : EntrySettings
        Settings of this host.
    transport : Transport
        Opens connections.
    receive : callable
        Coroutine function called with a notice and the control host that sent it.
    """

    def __init__(
        self, settings: EntrySettings, transport: Transport, receive: NoticeHandler
    ) -> None:
        self._receive = receive
        self._leader = settings.control_hosts[0].host
        self.links: dict[str, PeerLink] = {
            each.host: create_peer_link(
                transport,
                each.address,
                each.port,
                CONTROL_CODEC,
                derive_keys(settings.peer_keys),
                settings.host,
                self._handle,
                expected_host=each.host,
                options=LINK_OPTIONS,
            )
            for each in settings.control_hosts
        }

    async def start(self) -> None:
        """Start connecting to every control host."""
        for link in self.links.values():
            await link.start()

    async def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            await link.close()

    async def call_leader(self, message: Message) -> Message | None:
        """Return the leader's reply to `message`; None if it is unreachable.

        Tries the last known leader first and follows the leader hints in replies.
        """
        names = list(self.links)
        names.sort(key=lambda name: name != self._leader)
        tried: set[str] = set()
        while names:
            name = names.pop(0)
            if name in tried or not self.links[name].connected:
                continue
            tried.add(name)
            reply = await self.call(name, message)
            if isinstance(reply, LeaderHint):
                names = [reply.leader, *names] if reply.leader in self.links else names
            elif reply is not None:
                self._leader = name
                return reply
        return None

    async def call(self, name: str, message: Message) -> Message | None:
        """Return the reply of a control host; None if the call fails."""
        try:
            return await self.links[name].call(message, CALL_TIMEOUT_S)
        except PeerError:
            return None

    async def _handle(self, message: Message, channel: Channel) -> None:
        await self._receive(message, channel.host)
