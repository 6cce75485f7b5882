"""Relays endpoint reports between the entry hosts of a region.

An endpoint reports to a few hosts, its registrars. They forward its reports to the
hosts that follow it, that is, send requests to it. Loads are sent in batches; a drain
or leave is sent to every host of the region immediately.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from buckthorndeal.entry._messages import ListEndpoints, ListRegionHosts
from buckthorndeal.entry._peers import SendToPeer
from buckthorndeal.mailbox import Mailbox, create_mailbox
from buckthorndeal.policy.views import EndpointView
from buckthorndeal.registry import (
    EXPIRY_S,
    Announcement,
    CacheReport,
    DrainNotice,
    Heartbeat,
    LeaveNotice,
    Refused,
)
from buckthorndeal.subsetting import assign_subsets
from buckthorndeal.wire import Message

BATCH_INTERVAL_S = 0.2
# Number of endpoints that a host follows. No region has as many at present, so every
# host follows all endpoints of its region.
FOLLOWED_ENDPOINTS = 64
# All hosts must compute the same assignment of endpoints to followers, so each host
# sends the names of the endpoints that report to it to the others. The retention time
# tolerates two lost notices.
NAMES_INTERVAL_S = 20.0
NAME_RETENTION_S = 50.0


class EndpointAnnounced(Message, tag="a"):
    """Description of an announced endpoint."""

    name: str
    incarnation: int
    service: str
    region: str
    failure_domain: str
    address: str
    port: int
    models: tuple[str, ...]
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    slots: int
    model_slots: int
    checks_fencing: bool


class EndpointLoad(Message, tag="h"):
    """Load of an endpoint."""

    name: str
    incarnation: int
    running: int
    queued: int
    models: tuple[str, ...] | None
    versions: tuple[str, ...] | None = None
    cache: tuple[CacheReport, ...] = ()


class EndpointDrained(Message, tag="d"):
    """The endpoint takes no new requests."""

    name: str
    incarnation: int


class EndpointLeft(Message, tag="l"):
    """The endpoint has stopped."""

    name: str
    incarnation: int


Report = EndpointAnnounced | EndpointLoad | EndpointDrained | EndpointLeft


class EndpointReports(Message):
    """Notice: reports of endpoints to the sender, oldest first."""

    reports: tuple[Report, ...]


class FetchEndpoints(Message):
    """Notice: requests the descriptions of endpoints that the sender does not know."""

    names: tuple[str, ...]


class EndpointNames(Message):
    """Notice: names of the endpoints that report to the sender."""

    names: tuple[str, ...]


REPORT_MESSAGES = (EndpointReports, FetchEndpoints, EndpointNames)
REPORT_TYPES: dict[type, type] = {
    Announcement: EndpointAnnounced,
    Heartbeat: EndpointLoad,
    DrainNotice: EndpointDrained,
    LeaveNotice: EndpointLeft,
}
REGISTRY_TYPES = {
    report: registry_type for registry_type, report in REPORT_TYPES.items()
}
URGENT_TYPES = (EndpointDrained, EndpointLeft)


@dataclass(frozen=True)
class EndpointReported:
    """Tells the relay task of a message that an endpoint sent to this host."""

    message: Announcement | Heartbeat | DrainNotice | LeaveNotice


@dataclass(frozen=True)
class ReportsReceived:
    """Tells the relay task of a message from another entry host."""

    message: EndpointReports | FetchEndpoints | EndpointNames
    host: str


class ReportRelay:
    """Relay task: owns the reports that are waiting to be sent.

    Parameters
    ----------
    host, region : str
        Name and region of this host.
    router : Mailbox
        Mailbox of the router task.
    peers : Mailbox
        Mailbox of the peer task.
    now : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        host: str,
        region: str,
        router: Mailbox,
        peers: Mailbox,
        now: Callable[[], float],
    ) -> None:
        self.mailbox = create_mailbox()
        self._host = host
        self._region = region
        self._router = router
        self._peers = peers
        self._now = now
        self._pending_reports: dict[tuple[str, type], Report] = {}
        self._flush_due_s = 0.0
        # Time of the last report of each endpoint of this host, and of the last notice
        # that named an endpoint of the region.
        self._own_endpoints: dict[str, float] = {}
        self._known_endpoints: dict[str, float] = {}
        self._names_due_s = 0.0
        self._cached_subsets: tuple[tuple, dict[str, tuple[str, ...]]] = ((), {})

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            envelope = await self._receive()
            if envelope is not None:
                await self._handle(envelope.message)
            if self._pending_reports and self._now() >= self._flush_due_s:
                await self._flush()

    async def _receive(self) -> object:
        if not self._pending_reports:
            return await self.mailbox.receive()
        return await self.mailbox.receive_within(self._flush_due_s - self._now())

    async def _handle(self, message: object) -> None:
        if isinstance(message, EndpointReported):
            self._queue_report(_create_report(message.message))
            self._update_own_endpoint(message.message)
        elif isinstance(message.message, FetchEndpoints):
            await self._send_descriptions(message.message, message.host)
        elif isinstance(message.message, EndpointNames):
            await self._update_known_endpoints(message.message, message.host)
        else:
            await self._apply(message.message, message.host)

    def _queue_report(self, report: Report) -> None:
        if not self._pending_reports:
            self._flush_due_s = self._now() + BATCH_INTERVAL_S
        if isinstance(report, URGENT_TYPES):
            self._flush_due_s = self._now()
        key = (report.name, type(report))
        self._pending_reports.pop(key, None)
        self._pending_reports[key] = report

    def _update_own_endpoint(
        self, message: Announcement | Heartbeat | DrainNotice | LeaveNotice
    ) -> None:
        now_s = self._now()
        if isinstance(message, LeaveNotice):
            self._own_endpoints.pop(message.name, None)
            self._known_endpoints.pop(message.name, None)
            return
        if message.name not in self._own_endpoints:
            self._names_due_s = now_s
        self._own_endpoints[message.name] = now_s

    async def _update_known_endpoints(self, message: EndpointNames, host: str) -> None:
        if await self._is_host_of_region(host):
            self._known_endpoints |= dict.fromkeys(message.names, self._now())

    async def _send_names(self, hosts: list[str]) -> None:
        now_s = self._now()
        self._names_due_s = now_s + NAMES_INTERVAL_S
        names = EndpointNames(tuple(self._own_endpoints))
        for host in hosts:
            if host != self._host:
                await self._peers.send(SendToPeer(host, names))

    def _drop_old_names(self) -> None:
        now_s = self._now()
        for seen_times, retention_s in (
            (self._own_endpoints, EXPIRY_S),
            (self._known_endpoints, NAME_RETENTION_S),
        ):
            for name in [
                each for each in seen_times if now_s - seen_times[each] > retention_s
            ]:
                del seen_times[name]

    async def _flush(self) -> None:
        reports, self._pending_reports = list(self._pending_reports.values()), {}
        records = await self._router.ask(ListRegionHosts(self._region))
        hosts = [record.host for record in records if record.state != "lost"]
        self._drop_old_names()
        if self._own_endpoints and self._now() >= self._names_due_s:
            await self._send_names(hosts)
        views = await self._router.ask(ListEndpoints())
        names = (
            {view.name for view in views}
            | {*self._own_endpoints}
            | {*self._known_endpoints}
        )
        subsets = self._compute_subsets({*hosts, self._host}, names)
        for host in hosts:
            followed = set(subsets[host])
            selected = tuple(
                report
                for report in reports
                if report.name in followed or isinstance(report, URGENT_TYPES)
            )
            if selected and host != self._host:
                await self._peers.send(SendToPeer(host, EndpointReports(selected)))

    def _compute_subsets(
        self, hosts: set[str], names: set[str]
    ) -> dict[str, tuple[str, ...]]:
        key = (frozenset(hosts), frozenset(names))
        if self._cached_subsets[0] != key:
            self._cached_subsets = key, assign_subsets(hosts, names, FOLLOWED_ENDPOINTS)
        return self._cached_subsets[1]

    async def _apply(self, message: EndpointReports, host: str) -> None:
        if not await self._is_host_of_region(host):
            return
        unknown = []
        for report in message.reports:
            if isinstance(report, EndpointLeft):
                self._known_endpoints.pop(report.name, None)
            registry_type = REGISTRY_TYPES[type(report)]
            registry_message = registry_type(**msgspec.structs.asdict(report))
            outcome = await self._router.ask(registry_message)
            if isinstance(outcome, Refused) and isinstance(report, EndpointLoad):
                unknown.append(report.name)
        if unknown:
            await self._peers.send(SendToPeer(host, FetchEndpoints(tuple(unknown))))

    async def _is_host_of_region(self, host: str) -> bool:
        records = await self._router.ask(ListRegionHosts(self._region))
        return host in [record.host for record in records]

    async def _send_descriptions(self, message: FetchEndpoints, host: str) -> None:
        views = await self._router.ask(ListEndpoints())
        reports = tuple(
            _create_announcement(view)
            for view in views
            if view.name in message.names and view.state == "ready"
        )
        if reports and await self._is_host_of_region(host):
            await self._peers.send(SendToPeer(host, EndpointReports(reports)))


def _create_report(message: msgspec.Struct) -> Report:
    return REPORT_TYPES[type(message)](**msgspec.structs.asdict(message))


def _create_announcement(view: EndpointView) -> EndpointAnnounced:
    names = EndpointAnnounced.__struct_fields__
    return EndpointAnnounced(*(getattr(view, name) for name in names))
