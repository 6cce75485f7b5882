"""Origins of this host's streams at coordinators: told, told again and asked for."""

import random
from collections.abc import Callable, Sequence
from dataclasses import replace

import curio

from buckthorndeal.fleet import FindOrigin, HostLinks, OriginUpdate, StreamOrigin
from buckthorndeal.gateway._coordinator_calls import ask_for_origin
from buckthorndeal.gateway._coordinator_reach import CoordinatorReach
from buckthorndeal.gateway._origin_holders import (
    REPEAT_DELAY_S,
    REPEAT_INTERVAL_S,
    OriginHolders,
    choose_holders,
    split_turns,
)
from buckthorndeal.gateway._shared_messages import ListOpenOrigins
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Envelope, Mailbox
from buckthorndeal.metrics import Metrics
from buckthorndeal.supervision import spawn_job

# Turns are apart by this part of the interval, up to the rest more.
MIN_JITTER = 0.5


class OriginTeller:
    """Gives the origins of streams to coordinators, which keep them in memory only.

    Parameters
    ----------
    own_host : str
        This host.
    links : HostLinks
        Links to the coordinators.
    dispatch : Mailbox
        Mailbox of the dispatch task, which knows the open streams.
    reach : CoordinatorReach
        Coordinators that have told this host all that they know.
    metrics : Metrics
        Metrics of the daemon.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        own_host: str,
        links: HostLinks,
        dispatch: Mailbox,
        reach: CoordinatorReach,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._own_host = own_host
        self._links = links
        self._dispatch = dispatch
        self._reach = reach
        self._metrics = metrics
        self._clock = clock
        self._holders = OriginHolders(own_host)

    async def share(
        self, origins: tuple[StreamOrigin, ...], nearest_first: Sequence[str]
    ) -> None:
        """Give the origins of new streams to the coordinators that keep them."""
        update = OriginUpdate(origins)
        for host in choose_holders(self._own_host, nearest_first):
            await spawn_job(self._links.deliver, host, update)

    async def update_holders(
        self, connections: dict[str, int], nearest_first: Sequence[str]
    ) -> None:
        """Tell holders that may lack them the origins of the streams still open."""
        self._reach.record_connections(connections, self._clock())
        for host in self._holders.update(connections, nearest_first):
            await spawn_job(self._tell_again, host, connections[host])

    async def search(
        self, query: FindOrigin, nearest_first: list[str], envelope: Envelope
    ) -> None:
        """Ask the coordinators for an origin; reply with an `OriginSearch`."""
        replies = await ask_for_origin(self._links, nearest_first, query)
        known = len(self._links.hosts)
        search = self._reach.conclude(replies, known)
        is_settled = self._reach.is_settled(self._clock())
        await envelope.reply(replace(search, is_settled=is_settled))

    async def _tell_again(self, host: str, connection: int) -> None:
        """Tell one holder in turns, as many hosts do so at the same time."""
        await self._pause(REPEAT_DELAY_S)
        origins = await self._dispatch.ask(ListOpenOrigins())
        told = 0
        for batch in split_turns(origins):
            while not await self._links.deliver(host, OriginUpdate(batch)):
                if not self._holders.is_current(host, connection):
                    break
            if not self._holders.is_current(host, connection):
                break
            told += len(batch)
            await self._pause(REPEAT_INTERVAL_S)
        if not origins:
            return
        self._metrics.count("stream_origins_told_again", told)
        log_event("origins_told_again", peer=host, open=len(origins), told=told)

    async def _pause(self, longest_s: float) -> None:
        await curio.sleep(longest_s * random.uniform(MIN_JITTER, 1.0))
