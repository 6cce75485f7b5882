"""Task that exchanges load reports with entry hosts of other regions."""

import hashlib
import random
from collections.abc import Callable

import curio

from buckthorndeal.errors import PeerError, Verdict
from buckthorndeal.fleet import (
    FLEET_CODEC,
    LINK_OPTIONS,
    EntryHost,
    EntryState,
    RegionLoad,
    create_host_links,
)
from buckthorndeal.gateway._control_messages import ListEntryHosts
from buckthorndeal.gateway._fleet_messages import (
    Borrower,
    DescribeRegionLoad,
    RegionUpdate,
)
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox, run_guarded
from buckthorndeal.metrics import Metrics
from buckthorndeal.peers import Channel, create_peer_server
from buckthorndeal.settings import GatewaySettings
from buckthorndeal.supervision import spawn_job
from buckthorndeal.transport import Transport
from buckthorndeal.wire import Message, derive_keys

EXCHANGE_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 0.8
LINKS_PER_REGION = 2
_STATE_RANKS = {EntryState.READY: 0, EntryState.DRAINING: 1}


class RegionLoadTask:
    """Requests load reports from one entry host of each other region.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of this host.
    transport : Transport
        Opens connections.
    control : Mailbox
        Mailbox of the control task, which tracks the entry hosts.
    dispatch : Mailbox
        Mailbox of the dispatch task.
    metrics : Metrics
        Metrics of the daemon.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        transport: Transport,
        control: Mailbox,
        dispatch: Mailbox,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._control = control
        self._dispatch = dispatch
        self._metrics = metrics
        self._clock = clock
        self._own_address = settings.peer_listen.address
        keys = derive_keys(settings.peer_keys)
        self._links = create_host_links(
            transport,
            keys,
            self._own_address,
            settings.peer_listen.port,
            self._reject_message,
        )
        self._server = create_peer_server(
            self._handle_message, FLEET_CODEC, keys, self._own_address, LINK_OPTIONS
        )
        # Entry host of each other region that is asked for its load.
        self._partners: dict[str, str] = {}
        # Entry hosts of this region, which divide what other regions lend to it.
        self._region_hosts = 1
        self._rng = random.Random()
        self._refuses_requests = False

    async def start(self) -> None:
        """Listen for the entry hosts of other regions."""
        listen = self._settings.peer_listen
        await self._server.start(self._transport, listen.address, listen.port)

    def refuse_requests(self) -> None:
        """Report no capacity from now on, because this host drains."""
        self._refuses_requests = True

    async def run(self) -> None:
        """Exchange load reports until cancelled."""
        try:
            while True:
                await run_guarded(self._metrics, self._exchange_loads)
                await curio.sleep(EXCHANGE_INTERVAL_S * self._rng.uniform(0.9, 1.1))
        finally:
            async with curio.disable_cancellation():
                await self._links.close()
                await self._server.close()

    async def _exchange_loads(self) -> None:
        entries = await self._control.ask(ListEntryHosts())
        self._region_hosts = sum(
            each.region == self._settings.region for each in entries
        )
        regions = {each.region for each in entries} - {self._settings.region}
        for region in sorted(regions | set(self._partners)):
            hosts = [
                entry
                for entry in entries
                if entry.region == region and entry.state is not EntryState.CLOSING
            ]
            await self._exchange_with_region(region, hosts)

    async def _exchange_with_region(self, region: str, hosts: list[EntryHost]) -> None:
        """Request the load of a region, or report it as lost if none is connected."""
        # Two links per region, so that one remains after the loss of a host.
        ranked = self._rank_hosts(hosts)
        await self._links.ensure(ranked[:LINKS_PER_REGION])
        partner = self._choose_partner(ranked)
        if partner is None:
            if self._partners.pop(region, None) is not None:
                log_event("region_lost", region=region, known_hosts=len(hosts))
                await self._dispatch.send(RegionUpdate(region, None))
            return
        if self._partners.get(region) != partner:
            before = self._partners.get(region)
            self._partners[region] = partner
            log_event("region_partner", region=region, peer=partner, before=before)
        await spawn_job(self._request_load, region, partner)

    def _rank_hosts(self, hosts: list[EntryHost]) -> list[str]:
        """Return the hosts by state, ready ones first, then by a hash of both names.

        Those that reach no endpoint come last. The hash spreads the hosts of this
        region over those of the other one.
        """
        ranked = sorted(
            hosts,
            key=lambda each: (
                not each.reaches_endpoints,
                _STATE_RANKS[each.state],
                hashlib.blake2b(f"{self._own_address} {each.host}".encode()).digest(),
            ),
        )
        return [each.host for each in ranked]

    def _choose_partner(self, ranked: list[str]) -> str | None:
        """Return the first connected host, or None."""
        for host in ranked:
            link = self._links.get(host)
            if link is not None and link.connected:
                return host
        return None

    async def _request_load(self, region: str, partner: str) -> None:
        try:
            reply = await self._links.call(
                partner, await self._create_region_load(), CALL_TIMEOUT_S
            )
        except PeerError as error:
            log_event("region_load_missing", region=region, reason=str(error))
            return
        if isinstance(reply, RegionLoad):
            update = RegionUpdate.create(region, partner, reply.services)
            await self._dispatch.send(update)

    async def _create_region_load(self, borrower: Borrower | None = None) -> RegionLoad:
        """Return the load of this region, with the part that a borrower may use."""
        region = self._settings.region
        if self._refuses_requests:
            return RegionLoad(region, ())
        services = await self._dispatch.ask(DescribeRegionLoad(borrower))
        return RegionLoad(region, services, self._region_hosts)

    async def _handle_message(self, message: Message, channel: Channel) -> Message:
        if isinstance(message, RegionLoad):
            wanted = {each.service: each.wanted for each in message.services}
            borrower = Borrower(message.region, message.hosts, wanted)
            return await self._create_region_load(borrower)
        raise PeerError(f"unexpected {type(message).__name__}", Verdict.NOT_RUN)

    async def _reject_message(self, message: Message, channel: Channel) -> None:
        raise PeerError(f"unexpected {type(message).__name__}", Verdict.NOT_RUN)
