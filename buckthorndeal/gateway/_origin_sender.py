"""Sending of the origins of this host's streams to the coordinators that keep them."""

import random
from collections.abc import Sequence

import curio

from buckthorndeal.fleet import HostLinks, OriginUpdate, StreamOrigin
from buckthorndeal.gateway._origin_holders import (
    REPEAT_DELAY_S,
    REPEAT_INTERVAL_S,
    OriginHolders,
    choose_holders,
    split_turns,
)
from buckthorndeal.gateway._shared_messages import ListOpenOrigins
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.metrics import Metrics
from buckthorndeal.supervision import spawn_job

# Turns are apart by this part of the interval, up to the rest more.
MIN_JITTER = 0.5


class OriginSender:
    """Sends the origins of streams to coordinators, which keep them in memory only.

    Parameters
    ----------
    own_host : str
        This host.
    links : HostLinks
        Links to the coordinators.
    dispatch : Mailbox
        Mailbox of the dispatch task, which knows the open streams.
    metrics : Metrics
        Metrics of the daemon.
    """

    def __init__(
        self, own_host: str, links: HostLinks, dispatch: Mailbox, metrics: Metrics
    ) -> None:
        self._own_host = own_host
        self._links = links
        self._dispatch = dispatch
        self._metrics = metrics
        self._holders = OriginHolders(own_host)

    async def send_new(
        self, origins: tuple[StreamOrigin, ...], nearest_first: Sequence[str]
    ) -> None:
        """Send the origins of new streams to the coordinators that keep them."""
        update = OriginUpdate(origins)
        for host in choose_holders(self._own_host, nearest_first):
            await spawn_job(self._links.deliver, host, update)

    async def update_holders(
        self, connections: dict[str, int], nearest_first: Sequence[str]
    ) -> None:
        """Send the origins of all open streams to holders that may lack them.

        Parameters
        ----------
        connections : dict of str to int
            Number of the present connection of each coordinator.
        nearest_first : sequence of str
            The same coordinators.
        """
        for host in self._holders.update(connections, nearest_first):
            await spawn_job(self._send_open, host, connections[host])

    async def _send_open(self, host: str, connection: int) -> None:
        """Send to one holder in turns, as many hosts do so at the same time."""
        await self._pause(REPEAT_DELAY_S)
        origins = await self._dispatch.ask(ListOpenOrigins())
        sent = 0
        for batch in split_turns(origins):
            while not await self._links.deliver(host, OriginUpdate(batch)):
                if not self._holders.is_current(host, connection):
                    break
            if not self._holders.is_current(host, connection):
                break
            sent += len(batch)
            await self._pause(REPEAT_INTERVAL_S)
        if not origins:
            return
        self._metrics.count("stream_origins_told_again", sent)
        log_event("origins_told_again", peer=host, open=len(origins), told=sent)

    async def _pause(self, longest_s: float) -> None:
        await curio.sleep(longest_s * random.uniform(MIN_JITTER, 1.0))
