"""Task that tracks the coordinators, entry hosts and configuration of a gateway."""

from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod

import curio

from buckthorndeal.configuration import ConfigurationCodec
from buckthorndeal.fleet import (
    ClusterNotice,
    ConfigurationContent,
    ControlStatus,
    EntryHost,
    EntryHostChanges,
    EntryHosts,
    EntryState,
    EntryStatus,
    create_host_links,
)
from buckthorndeal.gateway._configuration_follower import (
    ApplyConfiguration,
    ConfigurationFollower,
)
from buckthorndeal.gateway._control_messages import (
    AddSeeds,
    AnnounceDrain,
    AskForOrigin,
    AskForQuota,
    InitialStateReceived,
    ListEntryHosts,
    ListEntryHostsByCoordinator,
    NoticeReceived,
    SetEndpointReach,
    SetState,
    ShareOrigins,
    TellCoordinators,
)
from buckthorndeal.gateway._coordinator_calls import announce_drain
from buckthorndeal.gateway._coordinator_reach import CoordinatorReach
from buckthorndeal.gateway._entry_hosts import EntryHostLists
from buckthorndeal.gateway._evacuations import NotedEvacuations
from buckthorndeal.gateway._fleet_messages import FleetChanged
from buckthorndeal.gateway._known_coordinators import KnownCoordinators
from buckthorndeal.gateway._known_hosts import KnownEntryHosts, describe_fleet
from buckthorndeal.gateway._origin_search import OriginSearcher
from buckthorndeal.gateway._origin_sender import OriginSender
from buckthorndeal.gateway._peer_messages import PeerMessageHandler
from buckthorndeal.gateway._quota_calls import QuotaCaller
from buckthorndeal.gateway._shared_messages import (
    CoordinatorsReached,
    DescribeSharedState,
)
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import (
    Envelope,
    Mailbox,
    create_mailbox,
    fail_unexpectedly,
    run_guarded,
)
from buckthorndeal.metrics import Metrics
from buckthorndeal.settings import GatewaySettings
from buckthorndeal.supervision import spawn_job
from buckthorndeal.transport import Transport
from buckthorndeal.wire import Message, derive_keys

# Shorter than the interval of link heartbeats, which are sent only on idle links.
STATUS_INTERVAL_S = 0.75
POLL_INTERVAL_S = 0.1
CONNECTED_POLL_INTERVAL_S = 0.5


class ControlTask:
    """Keeps links to all coordinators and applies their notifications.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of this host.
    transport : Transport
        Opens connections.
    codec : ConfigurationCodec
        Decodes the operator's configuration.
    dispatch : Mailbox
        Mailbox of the dispatch task.
    apply_configuration : callable
        Activates a newer configuration on this host.
    metrics : Metrics
        Metrics of the daemon.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        transport: Transport,
        codec: ConfigurationCodec,
        dispatch: Mailbox,
        apply_configuration: ApplyConfiguration,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.mailbox = create_mailbox()
        self._settings = settings
        self._dispatch = dispatch
        self._metrics = metrics
        self._clock = clock
        self._own_address = settings.peer_listen.address
        self._links = create_host_links(
            transport,
            derive_keys(settings.peer_keys),
            self._own_address,
            settings.peer_listen.port,
            PeerMessageHandler(dispatch, self.mailbox).handle,
        )
        self._quota_caller = QuotaCaller(self._links, dispatch)
        self._entry_state = EntryState.READY
        self._reaches_endpoints = True
        self._coordinator_reach = CoordinatorReach()
        self._origin_sender = OriginSender(
            self._own_address, self._links, dispatch, metrics
        )
        self._origin_searcher = OriginSearcher(
            self._links, self._coordinator_reach, clock
        )
        # Number of the present connection to each connected coordinator.
        self._connected: dict[str, int] = {}
        self._coordinators = KnownCoordinators(settings.region, settings.failure_domain)
        self._entry_hosts = EntryHostLists()
        self._known_hosts = KnownEntryHosts(self._entry_hosts)
        self._configuration = ConfigurationFollower(
            self._links,
            self._coordinators,
            codec,
            apply_configuration,
            self.mailbox,
            clock,
        )
        self._evacuations = NotedEvacuations()
        self._fleet: FleetChanged | None = None
        self._status_due_s = clock()

    async def run(self) -> None:
        """Handle messages and timers until cancelled."""
        seeds = [seed.address for seed in self._settings.seeds]
        await self._links.ensure(seeds)
        try:
            await self._run()
        finally:
            async with curio.disable_cancellation():
                await self._links.close()

    async def _run(self) -> None:
        while True:
            envelope = await self.mailbox.receive_within(self._get_poll_interval_s())
            if envelope is not None:
                try:
                    await self._handle(envelope.message, envelope)
                except Exception as error:
                    await fail_unexpectedly(envelope, error, self._metrics)
            await run_guarded(self._metrics, self._update_connections)
            await run_guarded(self._metrics, self._fetch_if_newer)
            if self._clock() >= self._status_due_s:
                await run_guarded(self._metrics, self._send_status)

    def _get_poll_interval_s(self) -> float:
        """Return how soon connections are checked: sooner while any is missing."""
        if len(self._connected) < len(self._links.hosts):
            return POLL_INTERVAL_S
        return min(
            CONNECTED_POLL_INTERVAL_S, max(0.0, self._status_due_s - self._clock())
        )

    @singledispatchmethod
    async def _handle(self, message: object, envelope: Envelope) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    async def _(self, message: NoticeReceived, envelope: Envelope) -> None:
        await self._apply_notice(message.notice, message.host)

    @_handle.register
    async def _(self, message: InitialStateReceived, envelope: Envelope) -> None:
        self._coordinator_reach.record_told(message.host)
        await self._report_coordinator_reach()

    @_handle.register
    async def _(self, message: SetState, envelope: Envelope) -> None:
        self._entry_state = message.state
        await self._send_status()

    @_handle.register
    async def _(self, message: SetEndpointReach, envelope: Envelope) -> None:
        self._reaches_endpoints = message.reaches_endpoints
        await self._send_status()

    @_handle.register
    async def _(self, message: AddSeeds, envelope: Envelope) -> None:
        await self._links.ensure(seed.address for seed in message.seeds)

    @_handle.register
    async def _(self, message: AnnounceDrain, envelope: Envelope) -> None:
        hosts = self._list_nearest_first()
        args = (self._links, hosts, message.record)
        await spawn_job(announce_drain, *args)

    @_handle.register
    async def _(self, message: TellCoordinators, envelope: Envelope) -> None:
        for host in self._connected:
            await spawn_job(self._links.deliver, host, message.message)

    @_handle.register
    async def _(self, message: ShareOrigins, envelope: Envelope) -> None:
        await self._origin_sender.send_new(message.origins, self._list_nearest_first())

    @_handle.register
    async def _(self, message: AskForOrigin, envelope: Envelope) -> None:
        await spawn_job(
            self._origin_searcher.search,
            message.query,
            self._list_nearest_first(),
            envelope,
            on_failure=envelope.fail_unexpectedly,
        )

    @_handle.register
    async def _(self, message: AskForQuota, envelope: Envelope) -> None:
        hosts = self._list_nearest_first()
        await spawn_job(self._quota_caller.ask, hosts, message.request)

    def _list_nearest_first(self) -> list[str]:
        """Return the connected coordinators."""
        return sorted(self._connected, key=self._coordinators.get_distance)

    @_handle.register
    async def _(self, message: ListEntryHosts, envelope: Envelope) -> None:
        await envelope.reply(self._entry_hosts.list_all())

    @_handle.register
    async def _(self, message: ListEntryHostsByCoordinator, envelope: Envelope) -> None:
        await envelope.reply(self._entry_hosts.list_by_coordinator())

    @_handle.register
    async def _(self, message: ConfigurationContent, envelope: Envelope) -> None:
        await self._configuration.apply_content(message)
        await self._fetch_if_newer()

    @singledispatchmethod
    async def _apply_notice(self, message: Message, host: str) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_apply_notice.register
    async def _(self, message: ClusterNotice, host: str) -> None:
        if message.version is not None:
            self._configuration.announce(host, message.version)
        if self._evacuations.record(message, host, self._connected.keys()):
            await self._update_fleet()
        await self._fetch_if_newer()

    @_apply_notice.register
    async def _(self, message: ControlStatus, host: str) -> None:
        self._coordinators.update(message.hosts, self._clock())
        await self._links.ensure(control.host for control in message.hosts)

    @_apply_notice.register
    async def _(self, message: EntryHosts, host: str) -> None:
        self._entry_hosts.replace(host, message.entries, self._clock())
        await self._update_fleet()

    @_apply_notice.register
    async def _(self, message: EntryHostChanges, host: str) -> None:
        self._entry_hosts.apply(host, message)
        await self._update_fleet()

    async def _update_connections(self) -> None:
        """Handle coordinators that have connected or disconnected lately."""
        connected = self._links.list_connections()
        changed = connected != self._connected
        for host, number in connected.items():
            # A process that has started again may have been back before this check.
            if self._connected.get(host) != number:
                log_event("coordinator_connected", peer=host)
                await self._links.send(host, self._create_status())
                await spawn_job(self._deliver_shared_state, host)
        for host in self._connected.keys() - connected.keys():
            log_event("coordinator_lost", peer=host)
            self._entry_hosts.drop(host)
        self._connected = connected
        self._coordinator_reach.keep(connected)
        if changed:
            await self._update_origin_holders()
            await self._report_coordinator_reach()
            await self._update_fleet()
            await self._fetch_if_newer()

    async def _update_origin_holders(self) -> None:
        """Tell the coordinators that have come to keep origins, as one is nearer."""
        self._coordinator_reach.record_connections(self._connected, self._clock())
        nearest_first = self._list_nearest_first()
        await self._origin_sender.update_holders(self._connected, nearest_first)

    async def _deliver_shared_state(self, host: str) -> None:
        for message in await self._dispatch.ask(DescribeSharedState()):
            await self._links.deliver(host, message)

    async def _send_status(self) -> None:
        now_s = self._clock()
        self._status_due_s = now_s + STATUS_INTERVAL_S
        status = self._create_status()
        for host in self._links.list_connected():
            await self._links.send(host, status)
        await self._report_coordinator_reach()
        await self._update_origin_holders()
        await self._drop_lost_coordinators(now_s)
        await self._update_fleet()

    async def _report_coordinator_reach(self) -> None:
        majority = self._coordinator_reach.has_majority(len(self._links.hosts))
        await self._dispatch.send(CoordinatorsReached(majority))

    async def _drop_lost_coordinators(self, now_s: float) -> None:
        seeds = {seed.address for seed in self._settings.seeds}
        for host in self._links.hosts:
            silent = self._coordinators.is_silent(host, now_s)
            if silent and host not in self._connected and host not in seeds:
                await self._links.drop(host)

    def _describe_self(self) -> EntryHost:
        settings = self._settings
        return EntryHost(
            self._own_address,
            settings.region,
            settings.failure_domain,
            f"{settings.listen.address}:{settings.listen.port}",
            self._entry_state,
            self._reaches_endpoints,
        )

    def _create_status(self) -> EntryStatus:
        entry = self._describe_self()
        return EntryStatus(
            entry, self._evacuations.log_index, self._configuration.version
        )

    async def _update_fleet(self) -> None:
        now_s = self._clock()
        age_s = self._known_hosts.get_age_s(now_s)
        self._known_hosts.update(len(self._links.hosts), now_s)
        own = self._describe_self()
        evacuated = self._evacuations.evacuated
        fleet = replace(
            describe_fleet(self._known_hosts, own, evacuated),
            taken_back=self._evacuations.taken_back,
        )
        if fleet != self._fleet:
            self._fleet = fleet
            log_event(
                "fleet_changed",
                region_hosts=list(fleet.region_hosts),
                relay_hosts=list(fleet.relay_hosts),
                total_hosts=fleet.total_hosts,
                evacuated=sorted(evacuated),
                kept=list(self._known_hosts.kept),
                complete_ms_ago=None if age_s is None else round(age_s * 1000),
            )
            await self._dispatch.send(fleet)

    async def _fetch_if_newer(self) -> None:
        await self._configuration.fetch_if_newer(self._connected.keys())
