"""One entry host, composed of tasks that own their state and use mailboxes."""

import os
import random
import time
from collections.abc import Callable

import curio

from buckthorndeal.directory import create_directory
from buckthorndeal.document import Document, create_document
from buckthorndeal.entry._calls import NonIdempotentRunner
from buckthorndeal.entry._claims import create_claims
from buckthorndeal.entry._context import EntryContext
from buckthorndeal.entry._control import ControlLinks
from buckthorndeal.entry._document import (
    create_empty_view,
    create_view_from_document,
    run_document_task,
)
from buckthorndeal.entry._handler import EntryHandler, respond_error
from buckthorndeal.entry._ledger_views import ControlLedgerViews, LedgerViewSource
from buckthorndeal.entry._membership import (
    convert_record,
    create_entry_membership,
    create_member_record,
    forward_changes,
    wait_for_other_hosts,
)
from buckthorndeal.entry._messages import DocumentView, GetDocument, HostUpdate, Tick
from buckthorndeal.entry._metrics import create_entry_metrics
from buckthorndeal.entry._peers import PeerTask
from buckthorndeal.entry._placement import PlacementReporter
from buckthorndeal.entry._policy import RoutePolicy, create_policy
from buckthorndeal.entry._pools import ConnectionPools
from buckthorndeal.entry._prompts import create_prompt_hasher
from buckthorndeal.entry._regions import REGION_MESSAGES, SpillReceived
from buckthorndeal.entry._reports import (
    REPORT_MESSAGES,
    ReportRelay,
    ReportsReceived,
)
from buckthorndeal.entry._router import RouterState, run_router_task
from buckthorndeal.entry._store import DocumentStore
from buckthorndeal.entry._subscriber import SubscriberTask
from buckthorndeal.http_server import create_http_server
from buckthorndeal.ledger import LEDGER_MESSAGES
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox, create_mailbox
from buckthorndeal.membership import HostRecord as MemberRecord
from buckthorndeal.membership import MembershipService
from buckthorndeal.metrics import Metrics
from buckthorndeal.settings import EntrySettings
from buckthorndeal.supervision import spawn_loop
from buckthorndeal.transport import DatagramPort, Transport
from buckthorndeal.wire import Message

TICK_INTERVAL_S = 0.25
# Tick interval while requests are queued; a refusal is late by at most this time.
QUEUE_TICK_INTERVAL_S = 0.05
DRAIN_POLL_INTERVAL_S = 0.01
# Bounds the start-up wait for control hosts that do not reply.
SETTLE_TIMEOUT_S = 2.0
# Bounds the start-up wait for another member to become known.
JOIN_TIMEOUT_S = 1.0


class EntryHost:
    """One entry host.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    transport : Transport
        Opens and accepts connections.
    document_view : DocumentView or None
        Configuration sections to use until the control hosts deliver the
        document. With None, the host waits for the document before it serves.
    now : callable
        Monotonic clock in seconds.
    rng : random.Random
        Source of randomness for routing, directory, claims and membership.
    ledger_views : LedgerViewSource or None
        Source of the ledger views; None uses the control hosts.
    policy : RoutePolicy or None
        Routing policy of the router task; None creates one.

    Raises
    ------
    CorruptStoreError
        If the stored document or the claim store is damaged.
    """

    def __init__(
        self,
        settings: EntrySettings,
        transport: Transport,
        document_view: DocumentView | None,
        now: Callable[[], float],
        rng: random.Random,
        ledger_views: LedgerViewSource | None = None,
        policy: RoutePolicy | None = None,
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._document_view = document_view
        self._rng = rng
        self._policy = policy or create_policy(settings.region, rng, settings.strategy)
        self._tasks: list[curio.Task] = []
        self._critical_tasks = curio.TaskGroup()
        self._ready = False
        self._membership: MembershipService | None = None
        limits = settings.limits
        router_mailbox = create_mailbox()
        self._peer_task = PeerTask(settings, transport, self._create_peer_handlers())
        self._report_relay = ReportRelay(
            settings.host, settings.region, router_mailbox, self._peer_task.mailbox, now
        )
        self._context = EntryContext(
            host=settings.host,
            region=settings.region,
            incarnation=os.urandom(6).hex(),
            peer_keys=tuple(bytes.fromhex(key) for key in settings.peer_keys),
            router_mailbox=router_mailbox,
            report_mailbox=self._report_relay.mailbox,
            document_mailbox=create_mailbox(),
            pools=ConnectionPools(
                transport, settings.host, limits.max_connections_per_endpoint
            ),
            metrics=create_entry_metrics(),
            now=now,
            wall_time=time.time,
            prompt_hasher=create_prompt_hasher(),
        )
        self._links = ControlLinks(settings, transport, self._receive_notice)
        self._subscriber = self._create_subscriber()
        self.claims = create_claims(
            settings,
            ledger_views or ControlLedgerViews(self._links),
            self._peer_task.mailbox,
            router_mailbox,
            rng,
        )
        self._non_idempotent_runner = NonIdempotentRunner(self._context, self.claims)
        handler = EntryHandler(
            self._context, self.claims, self._non_idempotent_runner, lambda: self._ready
        )
        self._server = create_http_server(handler.handle, limits, respond_error)

    def _create_subscriber(self) -> SubscriberTask:
        directory = self._settings.data_directory
        store = DocumentStore(directory) if directory is not None else None
        document: Document | None = store.load() if store is not None else None
        if document is not None:
            self._document_view = create_view_from_document(document)
        return SubscriberTask(
            self._links,
            self._context.document_mailbox,
            store,
            document or create_document(),
            self._context.now,
        )

    async def _receive_notice(self, message: Message, host: str) -> None:
        await self._subscriber.receive(message, host)

    @property
    def port(self) -> int:
        """Bound port for callers and endpoints."""
        return self._server.port

    @property
    def peer_port(self) -> int:
        """Bound port for the other processes of the system."""
        return self._peer_task.port

    @property
    def router_mailbox(self) -> Mailbox:
        """Mailbox of the router task."""
        return self._context.router_mailbox

    @property
    def peer_mailbox(self) -> Mailbox:
        """Mailbox of the peer task."""
        return self._peer_task.mailbox

    @property
    def metrics(self) -> Metrics:
        """Metrics of this host."""
        return self._context.metrics

    @property
    def policy(self) -> RoutePolicy:
        """Routing policy; only the router task changes it."""
        return self._policy

    @property
    def document_mailbox(self) -> Mailbox:
        """Mailbox of the document task."""
        return self._context.document_mailbox

    def _create_peer_handlers(self) -> dict:
        async def handle_reports(message: Message, host: str) -> None:
            await self._report_relay.mailbox.send(ReportsReceived(message, host))

        async def handle_ledger(message: Message, host: str) -> None:
            await self.claims.receive(message, host)

        async def handle_spill(message: Message, host: str) -> None:
            await self._context.router_mailbox.send(SpillReceived(message, host))

        handlers = dict.fromkeys(REPORT_MESSAGES, handle_reports)
        handlers |= dict.fromkeys(REGION_MESSAGES, handle_spill)
        return handlers | dict.fromkeys(LEDGER_MESSAGES, handle_ledger)

    async def start(self) -> None:
        """Bind the ports, join the other hosts and start the tasks."""
        settings = self._settings
        datagrams = await self._peer_task.listen()
        await self._start_document()
        await self._server.start(
            self._transport, settings.listen.address, settings.listen.port
        )
        context = self._context
        state = RouterState(
            settings.host,
            settings.region,
            create_directory([], self._rng),
            self._policy,
            context.now,
        )
        self._tasks += [
            await spawn_loop(
                run_router_task,
                context.router_mailbox,
                state,
                self._peer_task.mailbox,
            ),
            await spawn_loop(
                _run_ticks, context.router_mailbox, context.document_mailbox
            ),
            await spawn_loop(self._peer_task.run),
            await spawn_loop(self._report_relay.run),
        ]
        reporter = PlacementReporter(
            settings.host, settings.region, context.router_mailbox, self._links
        )
        await self._critical_tasks.spawn(reporter.run)
        await self._join(datagrams)
        await self.claims.start(self._critical_tasks)
        self._ready = True
        log_event("entry_started", host=settings.host, port=self.port)

    async def _start_document(self) -> None:
        """Subscribe to the control hosts and wait for the newest document."""
        document_view = self._document_view or create_empty_view()
        # Not restarted, because the newest sections are its own.
        await self._critical_tasks.spawn(
            run_document_task,
            self._context.document_mailbox,
            document_view,
            self._settings.host,
        )
        await self._links.start()
        await self._critical_tasks.spawn(self._subscriber.run)
        await self._subscriber.wait_until_settled(SETTLE_TIMEOUT_S)
        if self._document_view is None:
            await self._subscriber.wait_for_document()

    async def wait(self) -> None:
        """Wait until a critical task ends, and raise its error."""
        task = await self._critical_tasks.next_done()
        raise task.exception or RuntimeError(f"task {task.name} has ended")

    async def _join(self, datagrams: DatagramPort) -> None:
        """Join the membership and wait for another member."""
        changes = create_mailbox()
        record = create_member_record(self._settings, self.peer_port, self.port)
        self._membership = create_entry_membership(
            self._settings, record, datagrams, changes, self._rng
        )
        listeners = (
            self._context.router_mailbox.send,
            self._peer_task.mailbox.send,
            self.claims.update_host,
        )
        task = await spawn_loop(forward_changes, changes, listeners)
        self._tasks.append(task)
        await self._update_own_record(record)
        await self._membership.start()
        if self._settings.seeds:
            # The ledger drops a backup that does not answer for a second.
            await wait_for_other_hosts(self._membership, JOIN_TIMEOUT_S)

    async def _update_own_record(self, record: MemberRecord) -> None:
        await self._context.router_mailbox.ask(HostUpdate(convert_record(record)))

    async def drain(self) -> None:
        """Leave the directory and wait until every running request has ended.

        A request ends at its deadline at the latest.
        If this host is the primary of the claim ledger, the backup takes over first.
        The host accepts connections during the notice time, because callers use a
        cached directory until its lifetime ends.
        """
        settings = self._settings
        self._ready = False
        log_event("drain_started", host=settings.host)
        await self._membership.drain()
        await self._update_own_record(self._membership.member.own)
        self._server.announce_drain()
        await self.claims.hand_over()
        await curio.sleep(settings.drain_notice_s)
        await self._server.drain()
        async with curio.ignore_after(settings.drain_timeout_s) as timer:
            await self._wait_until_idle()
        if timer.expired:
            log_event("drain_slow", host=settings.host, running=self.running_requests)
            await self._wait_until_idle()
        await self._membership.leave()
        log_event("drain_ended", host=settings.host)

    @property
    def running_requests(self) -> int:
        """Running HTTP requests and non-idempotent calls."""
        return self._server.active_requests + self._non_idempotent_runner.running

    async def _wait_until_idle(self) -> None:
        while self.running_requests:
            await curio.sleep(DRAIN_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Cancel running requests and stop the tasks."""
        self._ready = False
        await self._server.close()
        await self._non_idempotent_runner.close()
        await self._context.pools.close()
        if self._membership is not None:
            await self._membership.close()
        await self._critical_tasks.cancel_remaining()
        for task in self._tasks:
            await task.cancel()
        await self.claims.close()
        await self._links.close()
        await self._peer_task.close()


async def _run_ticks(router_mailbox: Mailbox, document_mailbox: Mailbox) -> None:
    is_waiting = False
    while True:
        await curio.sleep(QUEUE_TICK_INTERVAL_S if is_waiting else TICK_INTERVAL_S)
        is_waiting = await router_mailbox.ask(
            Tick(await document_mailbox.ask(GetDocument()))
        )
