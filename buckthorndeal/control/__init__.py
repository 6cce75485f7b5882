"""Control daemon: replicates document, leases and ledger views; places models."""

import os
import random
import secrets
import time
from collections.abc import Callable, Mapping

import curio

from buckthorndeal.consensus import (
    FixedSizePolicy,
    Membership,
    ReplicaId,
    ReplicaOptions,
    create_replica,
)
from buckthorndeal.consensus.bootstrap import choose_membership, is_empty
from buckthorndeal.consensus.logstore import (
    LogStore,
    create_disk_log_store,
    create_memory_log_store,
)
from buckthorndeal.control._api import ControlApi
from buckthorndeal.control._messages import (
    CONTROL_CODEC,
    ChangeView,
    DocumentContent,
    DocumentUpdate,
    EndpointReport,
    GetView,
    InForce,
    LeaderHint,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    PlacementReport,
    ReplicaDescription,
    SourceStatus,
    Subscribe,
    ViewReply,
    apply_document_notice,
)
from buckthorndeal.control._peers import PeerDispatcher
from buckthorndeal.control._placement import LEASE_NAME, PlacementTask, StopPlacement
from buckthorndeal.control._replica import ReplicaTask
from buckthorndeal.control._requests import DocumentChanged
from buckthorndeal.control._subscriptions import SubscriptionTask
from buckthorndeal.http_server import create_http_server
from buckthorndeal.leases import (
    LeaseOptions,
    create_lease_granter,
    create_lease_holder,
)
from buckthorndeal.logs import log_event
from buckthorndeal.peers import (
    LinkOptions,
    PeerLink,
    create_peer_link,
    create_peer_server,
)
from buckthorndeal.placement import PlacementOptions, create_planner
from buckthorndeal.settings import ControlSettings
from buckthorndeal.statemachine import create_statemachine
from buckthorndeal.transport import Transport
from buckthorndeal.wire import derive_keys

__all__ = [
    "CONTROL_CODEC",
    "ChangeView",
    "ControlDaemon",
    "DocumentContent",
    "DocumentUpdate",
    "EndpointReport",
    "GetView",
    "InForce",
    "LeaderHint",
    "LeaseRelease",
    "LeaseReply",
    "LeaseRequest",
    "PlacementReport",
    "SourceStatus",
    "Subscribe",
    "ViewReply",
    "apply_document_notice",
    "create_control",
]

STORE_DIRECTORY = "replica"
# Links reconnect within 0.5 s, so that a host that returns reaches the leader before
# the others start to wait for an election.
LINK_OPTIONS = LinkOptions(backoff_max_s=0.5)
DRAIN_POLL_INTERVAL_S = 0.05


class ControlDaemon:
    """Runs the servers and owner tasks of one control host.

    Parameters
    ----------
    settings : ControlSettings
        Settings of this host.
    initial_texts : mapping of str to str
        Text of each section of the document that a new cluster starts with.
    transport : Transport
        Transport of all connections.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        settings: ControlSettings,
        initial_texts: Mapping[str, str],
        transport: Transport,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._initial_texts = initial_texts
        self._transport = transport
        self._clock = clock
        self._keys = derive_keys(settings.peer_keys)
        members = (*settings.voters, *settings.learners)
        self._links = {
            peer.host: create_peer_link(
                transport,
                peer.address,
                peer.port,
                CONTROL_CODEC,
                self._keys,
                settings.host,
                expected_host=peer.host,
                options=LINK_OPTIONS,
            )
            for peer in members
            if peer.host != settings.host
        }
        self._peer_dispatcher = PeerDispatcher(self._links, self._describe)
        self._store: LogStore | None = None
        self._started_links: list[PeerLink] = []
        self._tasks = curio.TaskGroup(wait=any)
        self._placement: PlacementTask | None = None
        self._subscriptions: SubscriptionTask | None = None
        self._api: ControlApi | None = None
        self._server = None
        self._peer_server = None

    @property
    def port(self) -> int:
        """Port on which the operator API listens."""
        return self._server.port

    async def start(self) -> None:
        """Open the store, connect to the other hosts and start the servers.

        Raises
        ------
        StoreError
            If the store is damaged or cannot be used.
        """
        settings = self._settings
        self._store = _open_store(settings.data_directory)
        self._peer_server = create_peer_server(
            self._peer_dispatcher.handle, CONTROL_CODEC, self._keys, settings.host
        )
        listen = settings.peer_listen
        await self._peer_server.start(self._transport, listen.address, listen.port)
        for link in self._links.values():
            await link.start()
            self._started_links.append(link)
        voters = [peer.host for peer in settings.voters]
        membership = await choose_membership(
            self._describe(), voters, list(self._links), self._links
        )
        await self._start_tasks(membership)
        self._server = create_http_server(self._api.handle, settings.limits)
        listen = settings.listen
        await self._server.start(self._transport, listen.address, listen.port)
        log_event("control_started", port=self.port)

    async def wait(self) -> None:
        """Wait until an owner task ends, which is an error; raise its exception."""
        task = await self._tasks.next_done()
        if task.exception is not None:
            raise task.exception

    async def drain(self) -> None:
        """Report not ready, release the placement lease, wait for open requests."""
        if self._server is None:
            return
        self._api.draining = True
        await self._placement.mailbox.ask(StopPlacement())
        await self._server.drain()
        while self._server.active_requests:
            await curio.sleep(DRAIN_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Stop the servers, links and tasks, and close the store."""
        if self._server is not None:
            await self._server.close()
        await self._tasks.cancel_remaining()
        for link in self._started_links:
            await link.close()
        if self._peer_server is not None:
            await self._peer_server.close()
        if self._store is not None:
            self._store.close()

    async def _start_tasks(self, membership: Membership | None) -> None:
        lease_options = LeaseOptions()
        replica = self._create_replica_task(membership, lease_options)
        subscriptions = SubscriptionTask(replica.mailbox, self._clock)
        self._subscriptions = subscriptions
        holder = f"{self._settings.host}#{secrets.token_hex(8)}"
        handover_s = lease_options.duration_s + lease_options.drift_bound_s
        self._placement = PlacementTask(
            create_lease_holder(LEASE_NAME, holder, lease_options),
            create_planner(PlacementOptions(handover_s=handover_s)),
            replica.mailbox,
            self._peer_dispatcher.acquire_lease,
            self._peer_dispatcher.release_lease,
            self._transport,
            self._clock,
        )
        self._peer_dispatcher.set_mailboxes(
            replica.mailbox, subscriptions.mailbox, self._placement.mailbox
        )
        self._api = ControlApi(
            self._settings.host, replica.mailbox, subscriptions.mailbox
        )
        for task in (replica, subscriptions, self._placement):
            await self._tasks.spawn(task.run)

    def _create_replica_task(
        self, membership: Membership | None, lease_options: LeaseOptions
    ) -> ReplicaTask:
        settings = self._settings
        hosts = [peer.host for peer in (*settings.voters, *settings.learners)]
        replica = create_replica(
            ReplicaId(settings.host, self._store.incarnation),
            self._store,
            random.Random(),
            ReplicaOptions(join_hosts=tuple(hosts)),
            membership,
            self._clock(),
        )
        return ReplicaTask(
            replica,
            create_statemachine(),
            create_lease_granter(lease_options),
            FixedSizePolicy(
                voter_count=len(settings.voters),
                promote_after_s=settings.promote_after_s,
            ),
            self._initial_texts,
            self._peer_dispatcher.send_frame,
            self._notify_subscriptions,
            self._clock,
            time.time,
        )

    async def _notify_subscriptions(self) -> None:
        await self._subscriptions.mailbox.send(DocumentChanged())

    def _describe(self) -> ReplicaDescription:
        empty = is_empty(self._store)
        return ReplicaDescription(self._settings.host, self._store.incarnation, empty)


def _open_store(data_directory: str | None) -> LogStore:
    rng = random.SystemRandom()
    if data_directory is None:
        return create_memory_log_store(rng)
    return create_disk_log_store(os.path.join(data_directory, STORE_DIRECTORY), rng)


def create_control(
    settings: ControlSettings,
    initial_texts: Mapping[str, str],
    transport: Transport,
    clock: Callable[[], float] = time.monotonic,
) -> ControlDaemon:
    """Return a control daemon that has not been started; see `ControlDaemon`."""
    return ControlDaemon(settings, initial_texts, transport, clock)
