"""Task that owns the soft state of endpoints, entry hosts and coordinators."""

from collections.abc import Callable, Mapping
from functools import singledispatchmethod

from buckthorndeal.coordinator._coordinator_table import CoordinatorTable
from buckthorndeal.coordinator._departure_relay import DepartureRelay
from buckthorndeal.coordinator._departure_store import DepartureStore
from buckthorndeal.coordinator._departures import create_departures
from buckthorndeal.coordinator._directory_log import DirectoryLog
from buckthorndeal.coordinator._endpoint_changes import log_endpoint_change
from buckthorndeal.coordinator._endpoint_heartbeats import (
    create_initial_heartbeats,
    merge_heartbeat,
)
from buckthorndeal.coordinator._entry_notices import (
    create_cluster_notice,
    send_heartbeats,
    send_host_changes,
    send_notice,
    send_shared_news,
    send_shared_state,
)
from buckthorndeal.coordinator._entry_table import EntryTable, KnownEntryHost
from buckthorndeal.coordinator._fleet_messages import (
    ChooseEntryHosts,
    ChooseRegistrar,
    ClusterStateChanged,
    ControlStatusReceived,
    EntryStatusReceived,
    HeartbeatReceived,
    HomeRegionsChanged,
    LeaveReceived,
    RelayedLeaveReceived,
    RelayedRecordReceived,
)
from buckthorndeal.coordinator._heartbeat_batch import HeartbeatBatch
from buckthorndeal.coordinator._quarantine_store import QuarantineStore
from buckthorndeal.coordinator._requests import ClusterState
from buckthorndeal.coordinator._shared_requests import (
    SharedStateRequest,
    handle_shared_request,
)
from buckthorndeal.coordinator._shared_state import SharedState
from buckthorndeal.coordinator._taken_back import TakenBackDomains
from buckthorndeal.coordinator._version_store import VersionStore
from buckthorndeal.fleet import (
    ClusterNotice,
    ControlHost,
    ControlStatus,
    EndpointRecord,
    EndpointState,
    HostLinks,
    RelayLeave,
    choose_entry_hosts,
    create_endpoint_table,
)
from buckthorndeal.limitreports import create_limit_report
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import (
    Envelope,
    create_mailbox,
    fail_unexpectedly,
    run_guarded,
)
from buckthorndeal.metrics import Metrics

FLUSH_INTERVAL_S = 0.2
STATUS_INTERVAL_S = 1.0


class FleetTask:
    """Tracks the fleet by heartbeats, forwards changes and chooses entry hosts.

    Changes of endpoints go to the entry hosts of their region.

    Parameters
    ----------
    own : ControlHost
        The coordinator on this host.
    links : HostLinks
        Links to the other coordinators.
    endpoint_silence_s : float
        Seconds without heartbeats after which an endpoint is removed.
    clock : callable
        Returns monotonic seconds.
    metrics : Metrics
        Metrics of the coordinator.
    quarantine_store : QuarantineStore
        Keeps decisions on crashing requests.
    version_store : VersionStore
        Keeps the software versions that serve.
    departure_store : DepartureStore
        Keeps the drains and leaves of endpoints.
    """

    def __init__(
        self,
        own: ControlHost,
        links: HostLinks,
        endpoint_silence_s: float,
        clock: Callable[[], float],
        metrics: Metrics,
        quarantine_store: QuarantineStore,
        version_store: VersionStore,
        departure_store: DepartureStore,
    ) -> None:
        self.mailbox = create_mailbox()
        self._own = own
        self._links = links
        self._endpoint_silence_s = endpoint_silence_s
        self._clock = clock
        self._metrics = metrics
        self._shared = SharedState(quarantine_store, clock(), version_store)
        self._endpoints = create_endpoint_table()
        self._entries = EntryTable()
        self._departures = create_departures(departure_store, clock())
        self._departure_relay = DepartureRelay(
            own.host, links, self._entries, self._departures
        )
        self._coordinators = CoordinatorTable(own)
        self._cluster: ClusterState | None = None
        self._taken_back = TakenBackDomains()
        self._home_counts: Mapping[str, Mapping[str, int]] = {}
        self._directory_log = DirectoryLog()
        self._refusals = create_limit_report(
            metrics,
            "endpoints_refused",
            "endpoint_refused",
            "Heartbeats of endpoints beyond the limit.",
            clock,
        )
        self._heartbeats = HeartbeatBatch(clock())
        self._flush_due_s = clock()
        self._status_due_s = clock()

    async def run(self) -> None:
        """Handle messages and timers until cancelled."""
        while True:
            delay_s = self._flush_due_s - self._clock()
            envelope = await self.mailbox.receive_within(delay_s)
            if envelope is not None:
                try:
                    await self._handle(envelope.message, envelope)
                except Exception as error:
                    await fail_unexpectedly(envelope, error, self._metrics)
            now_s = self._clock()
            if now_s >= self._flush_due_s:
                self._flush_due_s = now_s + FLUSH_INTERVAL_S
                await run_guarded(self._metrics, self._flush, now_s)
            if now_s >= self._status_due_s:
                self._status_due_s = now_s + STATUS_INTERVAL_S
                await run_guarded(self._metrics, self._send_status, now_s)

    async def close(self) -> None:
        """Wait until no file is written any more, after the end of `run`."""
        await self._departures.close()

    @singledispatchmethod
    async def _handle(self, message: object, envelope: Envelope) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    async def _(self, message: HeartbeatReceived, envelope: Envelope) -> None:
        now_s = self._clock()
        if not self._endpoints.has_room(message.record.endpoint):
            self._report_refusal(message.record)
            await envelope.reply(False)
            return
        self._shared.record_heartbeat(message.record, now_s)
        record = self._departures.apply(message.record)
        known = self._endpoints.get(record.endpoint)
        heartbeat = merge_heartbeat(record, self._endpoints, self._heartbeats, now_s)
        unconfirmed = self._departures.is_unconfirmed(
            record.endpoint, record.incarnation
        )
        if heartbeat is None:
            log_event(
                "heartbeat_out_of_date",
                endpoint=record.endpoint,
                incarnation=record.incarnation,
                sequence=record.sequence,
            )
            if unconfirmed and known is not None:
                await self._relay_and_acknowledge(known.record, envelope)
            else:
                await envelope.reply(True)
            return
        merged = heartbeat.record
        if merged.state is EndpointState.READY:
            await envelope.reply(self._may_acknowledge(merged.region))
        elif heartbeat.is_change or unconfirmed:
            await self._relay_and_acknowledge(merged, envelope)
        else:
            self._departures.record_state(merged, self._clock())
            await envelope.reply(self._reaches_majority())

    @_handle.register
    async def _(self, message: LeaveReceived, envelope: Envelope) -> None:
        now_s = self._clock()
        endpoint, incarnation = message.endpoint, message.incarnation
        known = self._endpoints.get(endpoint)
        if known is None:
            log_event("leave_of_unknown_endpoint", endpoint=endpoint)
            await self._relay_leave(endpoint, incarnation, envelope)
            return
        before = known.record
        if not self._endpoints.mark_left(endpoint, incarnation, now_s):
            log_event("leave_out_of_date", endpoint=endpoint)
            await envelope.reply(self._reaches_majority())
            return
        record = known.record
        if before.state is not EndpointState.LEFT:
            log_endpoint_change(record, before)
        if incarnation is not None and incarnation > record.incarnation:
            await self._relay_leave(endpoint, incarnation, envelope)
        else:
            await self._relay_and_acknowledge(record, envelope)

    @_handle.register
    async def _(self, message: RelayedRecordReceived, envelope: Envelope) -> None:
        record = self._departures.apply(message.record)
        if record.state is not EndpointState.READY:
            self._departures.record_state(record, self._clock())
        merged = self._endpoints.update(record, self._clock())
        if merged is not None:
            self._heartbeats.record_change(merged)
            await self._flush_endpoints(self._clock())
        await self._departure_relay.confirm(envelope)

    @_handle.register
    async def _(self, message: RelayedLeaveReceived, envelope: Envelope) -> None:
        known = self._endpoints.get(message.endpoint)
        self._departures.record_leave(
            message.endpoint, message.incarnation, known, self._clock()
        )
        self._endpoints.mark_left(message.endpoint, message.incarnation, self._clock())
        leave = RelayLeave(message.endpoint, message.incarnation)
        await self._departure_relay.pass_on(leave)
        await self._departure_relay.confirm(envelope)

    @_handle.register
    async def _(self, message: SharedStateRequest, envelope: Envelope) -> None:
        reply = handle_shared_request(message, self._shared, self._clock())
        await envelope.reply(reply)

    @_handle.register
    async def _(self, message: EntryStatusReceived, envelope: Envelope) -> None:
        host = message.status.entry
        entry = self._entries.get(host.host)
        if entry is None or entry.channel is not message.channel:
            entry = self._entries.add(host, message.channel, self._clock())
            log_event("entry_host_connected", peer=host.host, state=host.state.name)
        if entry.host.state is not host.state:
            log_event("entry_host_changed", peer=host.host, state=host.state.name)
        entry.host = host
        entry.last_heartbeat_s = self._clock()
        if entry.initialized_channel is not message.channel:
            entry.initialized_channel = message.channel
            await self._send_initial_state(entry)

    @_handle.register
    async def _(self, message: ControlStatusReceived, envelope: Envelope) -> None:
        status = message.status
        self._shared.receive_versions(status.versions, self._clock())
        self._coordinators.update(message.host, status.hosts, self._clock())
        await self._links.ensure(each.host for each in status.hosts)

    @_handle.register
    async def _(self, message: ClusterStateChanged, envelope: Envelope) -> None:
        state = message.state
        evacuated = self._cluster.evacuated if self._cluster else frozenset()
        self._taken_back.update(evacuated, state.evacuated, state.index, self._clock())
        self._cluster = state
        self._departure_relay.voters = message.state.voters
        await self._links.ensure(message.state.members)
        notice = self._create_cluster_notice()
        for entry in self._entries:
            await send_notice(entry, notice)

    @_handle.register
    async def _(self, message: ChooseEntryHosts, envelope: Envelope) -> None:
        candidates = self._entries.list_liveness(self._clock())
        chosen = choose_entry_hosts(
            candidates,
            message.region,
            message.failure_domain,
            self._home_counts.get(message.name.lower()),
        )
        self._directory_log.record(message, chosen, len(self._entries))
        await envelope.reply(chosen)

    @_handle.register
    async def _(self, message: HomeRegionsChanged, envelope: Envelope) -> None:
        self._home_counts = message.home_counts
        log_event(
            "homes_changed",
            names=len(message.home_counts),
        )

    @_handle.register
    async def _(self, message: ChooseRegistrar, envelope: Envelope) -> None:
        chosen = self._coordinators.choose_registrar(
            message.region, message.failure_domain, self._clock()
        )
        await envelope.reply(chosen)

    def _report_refusal(self, record: EndpointRecord) -> None:
        self._refusals.record(
            endpoint=record.endpoint,
            service=record.service,
            address=record.address,
            known=len(self._endpoints.list_all()),
        )

    @property
    def _voters(self) -> tuple[str, ...]:
        return self._cluster.voters if self._cluster else ()

    def _reaches_majority(self) -> bool:
        return self._coordinators.reaches_majority(self._voters, self._clock())

    def _may_acknowledge(self, region: str) -> bool:
        """Return whether heartbeats of a region that arrive here reach entry hosts.

        This holds if an entry host of the region is connected or a majority of the
        voters is alive.
        """
        reached = any(
            entry.channel.connected and entry.host.region == region
            for entry in self._entries
        )
        return reached or self._reaches_majority()

    async def _relay_and_acknowledge(
        self, record: EndpointRecord, envelope: Envelope
    ) -> None:
        """Relay a drain or leave, and acknowledge it once a majority has it."""
        self._departures.record_state(record, self._clock())
        if self._voters:
            # The relay tells the entry hosts.
            self._heartbeats.drop_change(record.endpoint)
        await self._departure_relay.relay_record(record, envelope)

    async def _relay_leave(
        self, endpoint: str, incarnation: int | None, envelope: Envelope
    ) -> None:
        """Relay a leave of an incarnation of which there is no record."""
        known = self._endpoints.get(endpoint)
        self._departures.record_leave(endpoint, incarnation, known, self._clock())
        leave = RelayLeave(endpoint, incarnation)
        await self._departure_relay.relay_leave(leave, envelope)

    def _create_cluster_notice(self) -> ClusterNotice:
        taken_back = self._taken_back.list_recent(self._clock())
        return create_cluster_notice(self._cluster, taken_back)

    async def _send_initial_state(self, entry: KnownEntryHost) -> None:
        entry.sent_coordinators = self._coordinators.list_with_self(self._clock())
        await send_notice(entry, ControlStatus(entry.sent_coordinators))
        await send_notice(entry, self._create_cluster_notice())
        await send_notice(entry, self._entries.create_published_list())
        # Before the endpoints, at which requests are sent as soon as they are known.
        await send_shared_state(entry, self._shared.export(self._clock()))
        last = create_initial_heartbeats(
            self._endpoints, entry.host.region, self._clock()
        )
        await send_heartbeats(entry, last)

    async def _flush(self, now_s: float) -> None:
        """Remove silent endpoints and send the changes since the last flush."""
        for record in self._endpoints.expire(self._endpoint_silence_s, now_s):
            log_event("endpoint_silent", endpoint=record.endpoint)
        self._departures.expire(now_s)
        await self._flush_endpoints(now_s)
        await send_host_changes(
            self._entries,
            self._entries.take_changes(now_s),
            self._coordinators.list_with_self(now_s),
        )
        await self._flush_shared_state(now_s)

    async def _flush_shared_state(self, now_s: float) -> None:
        """Send what is new to the entry hosts concerned and all coordinators."""
        await self._shared.save()
        news = self._shared.take_new(now_s)
        if not news:
            return
        if news.versions:
            # Other coordinators learn of versions by the status.
            self._status_due_s = now_s
        await send_shared_news(self._entries, self._links, news)

    async def _flush_endpoints(self, now_s: float) -> None:
        """Send the heartbeats since the last flush to entry hosts, by region."""
        messages = self._heartbeats.take(now_s)
        for entry in self._entries:
            message = messages.get(entry.host.region)
            if message is not None:
                await send_heartbeats(entry, message)

    async def _send_status(self, now_s: float) -> None:
        status = ControlStatus(
            self._coordinators.list_with_self(now_s),
            self._shared.export_versions(now_s),
        )
        for host in self._links.list_connected():
            await self._links.send(host, status)
        self._entries.remove_expired(now_s)
        self._shared.expire(now_s)
        members = self._cluster.members if self._cluster else ()
        self._coordinators.remove_expired(members, now_s)
        self._record_gauges(now_s)

    def _record_gauges(self, now_s: float) -> None:
        connected = sum(each.connected for each in self._entries.list_liveness(now_s))
        for name, value in (
            ("endpoints", len(self._endpoints.list_all())),
            ("entry_hosts", connected),
            ("coordinators", len(self._coordinators.list_alive(now_s))),
            ("directory_decisions_left_out", self._directory_log.left_out_count),
        ):
            self._metrics.set_gauge(name, value)
