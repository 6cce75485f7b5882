"""Coordinator daemon: connects the replica, the fleet task and the servers."""

import os
import random
import time
from collections.abc import Callable

import curio

from buckthorndeal.configuration import ConfigurationCodec, ConfigurationError
from buckthorndeal.connections import CALLER_SHARE, HOST_SHARE, INTERNAL_SHARE
from buckthorndeal.consensus import (
    ConsensusFrame,
    DescribeReplica,
    Location,
    ReplicaDescription,
    ReplicaId,
    ReplicaOptions,
    create_replica,
)
from buckthorndeal.consensus.bootstrap import choose_membership, is_empty
from buckthorndeal.consensus.logstore import LogStore, create_disk_log_store
from buckthorndeal.coordinator._api import classify_body
from buckthorndeal.coordinator._body_limits import ClassifyBody, create_body_limit
from buckthorndeal.coordinator._clock import read_clock
from buckthorndeal.coordinator._departure_store import create_disk_departure_store
from buckthorndeal.coordinator._fleet_calls import call_fleet
from buckthorndeal.coordinator._fleet_messages import (
    ClusterStateChanged,
    ControlStatusReceived,
    EntryStatusReceived,
    HomeRegionsChanged,
)
from buckthorndeal.coordinator._fleet_task import FleetTask
from buckthorndeal.coordinator._quarantine_store import (
    create_disk_quarantine_store,
)
from buckthorndeal.coordinator._quota_desk import QuotaDesk
from buckthorndeal.coordinator._replica import ReplicaTask
from buckthorndeal.coordinator._requests import ClusterState, ReadConfiguration
from buckthorndeal.coordinator._service import (
    CoordinatorService,
    create_configuration_content,
)
from buckthorndeal.coordinator._version_store import create_disk_version_store
from buckthorndeal.coordinator._voting import create_voting_policy, record_locations
from buckthorndeal.errors import PeerError, Verdict
from buckthorndeal.fleet import (
    FLEET_CODEC,
    LINK_OPTIONS,
    ControlHost,
    ControlStatus,
    EntryStatus,
    FetchConfiguration,
    QuotaRequest,
    count_home_routes,
    create_host_links,
)
from buckthorndeal.http_server import (
    BodyLimit,
    Handler,
    HttpServer,
    close_servers,
    create_http_server,
    refuse_body,
)
from buckthorndeal.logs import log_event
from buckthorndeal.metrics import create_metrics, serve_metrics
from buckthorndeal.peers import Channel, create_peer_server
from buckthorndeal.processmetrics import watch_process
from buckthorndeal.replication import ConsensusReceived
from buckthorndeal.settings import Address, CoordinatorSettings
from buckthorndeal.statemachine import create_statemachine
from buckthorndeal.transport import Transport
from buckthorndeal.wire import Message, derive_keys

STORE_DIRECTORY = "log"
DRAIN_POLL_INTERVAL_S = 0.05
# A consensus round across regions takes 160 ms, and a disk sync up to about 100 ms.
ELECTION_TIMEOUT_S = 0.9
HEARTBEAT_INTERVAL_S = 0.3
JOIN_INTERVAL_S = 0.4
GAUGES = {
    "configuration_version": "Version of the configuration in force.",
    "voters": "Hosts that vote on changes.",
    "voters_planned": "Voters below which no host that stops gives up its vote.",
    "term": "Term of the replicated log.",
    "leads": "1 on the leader of the replicated log, 0 on the others.",
    "endpoints": "Endpoints known.",
    "entry_hosts": "Entry hosts with an open connection.",
    "coordinators": "Other coordinators heard from of late.",
}

CreateHandlers = Callable[[CoordinatorService, float], tuple[Handler, Handler]]


class Coordinator:
    """Coordinator with its replica of the log, its peer links and its HTTP servers.

    Parameters
    ----------
    settings : CoordinatorSettings
        Settings of this host.
    transport : Transport
        Transport of all connections.
    codec : ConfigurationCodec
        Decodes and validates the operator's configuration.
    create_handlers : callable
        Called with the service and the seconds for which a directory response may be
        cached; returns the HTTP handlers of the API and of the directory.
    clock : callable
        Returns monotonic seconds.
    classify_body : callable
        Called with the method and the path of a request to the API; returns the
        `BodyKind`, which limits the body before it is read.
    """

    def __init__(
        self,
        settings: CoordinatorSettings,
        transport: Transport,
        codec: ConfigurationCodec,
        create_handlers: CreateHandlers,
        clock: Callable[[], float],
        classify_body: ClassifyBody,
    ) -> None:
        self._settings = settings
        self._limit_body = create_body_limit(classify_body)
        self._transport = transport
        self._clock = clock
        self._codec = codec
        self._published_home_counts_version: int | None = None
        self._own_address = settings.peer_listen.address
        self._keys = derive_keys(settings.peer_keys)
        self._links = create_host_links(
            transport,
            self._keys,
            self._own_address,
            settings.peer_listen.port,
            self._handle,
        )
        api = settings.api_listen
        own = ControlHost(
            self._own_address,
            settings.region,
            settings.failure_domain,
            f"{api.address}:{api.port}",
        )
        self.metrics = create_metrics()
        self.metrics.describe_gauges(GAUGES)
        self._quotas = QuotaDesk(settings.quota, clock, self.metrics)
        self._fleet = FleetTask(
            own,
            self._links,
            settings.endpoint_silence_s,
            clock,
            self.metrics,
            create_disk_quarantine_store(settings.data_directory),
            create_disk_version_store(settings.data_directory),
            create_disk_departure_store(settings.data_directory),
        )
        self.service = CoordinatorService(codec, self._links, self._fleet.mailbox)
        self._create_handlers = create_handlers
        self._replica: ReplicaTask | None = None
        # Hosts that the replica asks for membership; shared with its options.
        self._join_hosts = [seed.address for seed in settings.seeds]
        # Locations of the coordinators; shared with the replica task.
        self._locations = {
            self._own_address: Location(settings.failure_domain, settings.region)
        }
        self._store: LogStore | None = None
        self._tasks = curio.TaskGroup(wait=any)
        self._servers: list[HttpServer] = []
        self._peer_server = create_peer_server(
            self._handle, FLEET_CODEC, self._keys, self._own_address, LINK_OPTIONS
        )

    async def start(self) -> None:
        """Open the store, link to the seeds and start all servers.

        Raises
        ------
        StoreError
            If the store is corrupted or cannot be opened.
        """
        settings = self._settings
        directory = os.path.join(settings.data_directory, STORE_DIRECTORY)
        self._store = create_disk_log_store(directory, random.SystemRandom())
        listen = settings.peer_listen
        await self._peer_server.start(self._transport, listen.address, listen.port)
        await self._links.ensure(seed.address for seed in settings.seeds)
        await self._tasks.spawn(self._fleet.run)
        await self._tasks.spawn(self._run_replica)
        await self._tasks.spawn(
            watch_process, self.metrics, time.monotonic, self._transport
        )
        api, directory_handler = self._create_handlers(
            self.service, self._settings.directory_lifetime_s
        )
        await self._serve(api, settings.api_listen, self._limit_body)
        await self._serve(
            directory_handler, settings.directory_listen, places_share=HOST_SHARE
        )
        if settings.metrics_listen is not None:
            handler = serve_metrics(self.metrics)
            await self._serve(
                handler,
                settings.metrics_listen,
                uses_reserve=True,
                places_share=INTERNAL_SHARE,
            )
        log_event("coordinator_started", incarnation=f"{self._store.incarnation:x}")

    async def wait(self) -> None:
        """Wait until a task ends, which is an error, and raise its exception if any."""
        task = await self._tasks.next_done()
        if task.exception is not None:
            raise task.exception

    async def drain(self) -> None:
        """Leave the cluster, stop accepting connections and finish active requests."""
        log_event("coordinator_draining")
        timeout_s = self._settings.drain_timeout_s
        async with curio.ignore_after(timeout_s) as timer:
            await self._leave_cluster()
            for server in self._servers:
                await server.drain()
            while any(server.active_requests for server in self._servers):
                await curio.sleep(DRAIN_POLL_INTERVAL_S)
        log_event("coordinator_stopped", overdue=timer.expired)

    async def _leave_cluster(self) -> None:
        """Give up the vote of this host, unless the other voters would be too few."""
        kept = self._replica.find_reason_to_vote() if self._replica else None
        if kept is None:
            await self.service.leave_cluster(self._own_address)
            return
        self.metrics.count("votes_kept", reason=kept.reason)
        log_event("vote_kept", reason=kept.reason, voters=kept.voters)

    async def reload(self, settings: CoordinatorSettings) -> None:
        """Apply the seeds of new settings; other changes need a restart."""
        seeds = tuple(seed.address for seed in settings.seeds)
        self._add_join_hosts(seeds)
        await self._links.ensure(seeds)

    async def close(self) -> None:
        """Stop all servers and tasks, and close the store."""
        await close_servers(self._servers)
        await self._tasks.cancel_remaining()
        await self._links.close()
        await self._peer_server.close()
        await self._fleet.close()
        if self._store is not None:
            self._store.close()

    async def _serve(
        self,
        handler: Handler,
        listen: Address,
        limit_body: BodyLimit = refuse_body,
        uses_reserve: bool = False,
        places_share: float = CALLER_SHARE,
    ) -> None:
        server = create_http_server(
            handler,
            self._settings.limits,
            uses_reserve=uses_reserve,
            limit_body=limit_body,
            places_share=places_share,
        )
        await server.start(self._transport, listen.address, listen.port)
        self._servers.append(server)

    async def _run_replica(self) -> None:
        settings = self._settings
        membership = None
        if settings.bootstrap:
            seeds = [seed.address for seed in settings.seeds]
            membership = await choose_membership(
                self._describe_replica(), seeds, self._links.hosts, self._links
            )
        identity = ReplicaId(self._own_address, self._store.incarnation)
        replica = create_replica(
            identity,
            self._store,
            random.Random(),
            ReplicaOptions(
                election_timeout_s=ELECTION_TIMEOUT_S,
                heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
                join_interval_s=JOIN_INTERVAL_S,
                join_hosts=self._join_hosts,
            ),
            membership,
            self._clock(),
        )
        task = ReplicaTask(
            replica,
            create_statemachine(),
            create_voting_policy(settings),
            self._send_frame,
            self._publish,
            self._clock,
            self.metrics,
            self._locations,
        )
        self._replica = task
        self.service.attach_replica(task.mailbox)
        await task.run()

    async def _send_frame(self, host: str, frame: ConsensusFrame) -> None:
        if self._links.get(host) is None:
            await self._links.ensure([host])
        await self._links.send(host, frame)

    async def _publish(self, state: ClusterState) -> None:
        self._add_join_hosts(state.members)
        await self._fleet.mailbox.send(ClusterStateChanged(state))
        await self._publish_home_counts(state.version)

    async def _publish_home_counts(self, version: int | None) -> None:
        """Send the home regions of a new configuration's routes to the fleet task."""
        if version is None or version == self._published_home_counts_version:
            return
        self._published_home_counts_version = version
        try:
            configuration = self._codec.decode(self._replica.read_content())
        except ConfigurationError as error:
            log_event("configuration_unreadable", version=version, reason=str(error))
            return
        self._quotas.set_workspaces(configuration.workspaces)
        home_counts = count_home_routes(configuration)
        await self._fleet.mailbox.send(HomeRegionsChanged(home_counts))

    def _add_join_hosts(self, hosts: tuple[str, ...]) -> None:
        for host in hosts:
            if host not in self._join_hosts:
                self._join_hosts.append(host)

    def _describe_replica(self) -> ReplicaDescription:
        return ReplicaDescription(
            self._own_address, self._store.incarnation, is_empty(self._store)
        )

    async def _handle(self, message: Message, channel: Channel) -> Message | None:
        if isinstance(message, ConsensusFrame):
            if self._replica is not None:
                received = ConsensusReceived(message.data, channel.host)
                await self._replica.mailbox.send(received)
            return None
        if isinstance(message, EntryStatus):
            await self._fleet.mailbox.send(EntryStatusReceived(channel, message))
            return None
        if isinstance(message, ControlStatus):
            self._add_join_hosts(tuple(host.host for host in message.hosts))
            record_locations(self._locations, message.hosts)
            await self._fleet.mailbox.send(ControlStatusReceived(channel.host, message))
            return None
        return await self._handle_call(message, channel.host)

    def _get_leadership(self) -> tuple[int | None, str | None]:
        return self._replica.get_leadership() if self._replica else (None, None)

    async def _handle_call(self, message: Message, host: str) -> Message:
        if isinstance(message, DescribeReplica):
            return self._describe_replica()
        if isinstance(message, FetchConfiguration):
            return await self._fetch_configuration()
        if isinstance(message, QuotaRequest):
            return self._quotas.handle(host, message, self._get_leadership())
        reply = await call_fleet(message, self._fleet.mailbox)
        if reply is None:
            reply = await self.service.handle_call(message)
        if reply is None:
            name = type(message).__name__
            raise PeerError(f"unexpected message {name}", Verdict.NOT_RUN)
        return reply

    async def _fetch_configuration(self) -> Message:
        if self._replica is None:
            return create_configuration_content(None)
        stored = await self._replica.mailbox.ask(ReadConfiguration(False))
        return create_configuration_content(stored)


def create_coordinator(
    settings: CoordinatorSettings,
    transport: Transport,
    codec: ConfigurationCodec,
    create_handlers: CreateHandlers,
    clock: Callable[[], float] = read_clock,
    classify_body: ClassifyBody = classify_body,
) -> Coordinator:
    """Return a coordinator that has not been started; see `Coordinator`."""
    return Coordinator(
        settings, transport, codec, create_handlers, clock, classify_body
    )
