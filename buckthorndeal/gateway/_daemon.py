"""Gateway daemon: servers, tasks, drain and shutdown of an entry host."""

import random
import time
from collections.abc import Callable, Iterable, Mapping

import curio

from buckthorndeal.configuration import (
    Configuration,
    ConfigurationCodec,
    create_route_table,
)
from buckthorndeal.connections import HOST_SHARE, INTERNAL_SHARE
from buckthorndeal.explanation import EXPLANATION_PATH
from buckthorndeal.fleet import (
    EntryHost,
    EntryState,
    QuotaRequest,
    StreamOrigin,
    count_home_routes,
    count_home_workspaces,
    is_advertised,
)
from buckthorndeal.gateway._contact import EndpointContact
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._control import ControlTask
from buckthorndeal.gateway._control_messages import (
    AddSeeds,
    AskForQuota,
    ListEntryHostsByCoordinator,
    SetEndpointReach,
    SetState,
    ShareOrigins,
    TellCoordinators,
)
from buckthorndeal.gateway._dispatch_effects import DispatchEffects
from buckthorndeal.gateway._dispatch_options import create_dispatch_options
from buckthorndeal.gateway._dispatch_task import DispatchTask
from buckthorndeal.gateway._dispatcher import Dispatcher
from buckthorndeal.gateway._drain import Drain
from buckthorndeal.gateway._explanation import ExplanationHandler
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._handler import GatewayHandler
from buckthorndeal.gateway._health import HealthClient
from buckthorndeal.gateway._pools import create_pools
from buckthorndeal.gateway._quota_gate import QuotaGate
from buckthorndeal.gateway._region_links import RegionLoadTask
from buckthorndeal.gateway._server_limits import create_caller_limits, extend_for_hosts
from buckthorndeal.gateway.dialect import Dialect
from buckthorndeal.http_server import (
    Handler,
    HttpServer,
    Request,
    Responder,
    close_servers,
    create_http_server,
    refuse_body,
)
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import run_guarded
from buckthorndeal.metrics import create_metrics, serve_metrics
from buckthorndeal.policy.ejection import create_ejection
from buckthorndeal.processmetrics import watch_process
from buckthorndeal.quota import create_quota_leases, create_quota_options
from buckthorndeal.settings import Address, GatewaySettings, Limits
from buckthorndeal.supervision import spawn_job
from buckthorndeal.transport import Transport
from buckthorndeal.wire import Message, derive_keys

DRAIN_POLL_INTERVAL_S = 0.05
# Longer, because each check goes through the directory of each coordinator.
REPLACEMENT_POLL_INTERVAL_S = 0.2
POOL_CLEANUP_INTERVAL_S = 10.0


class Gateway:
    """Gateway process of one entry host.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of this host.
    transport : Transport
        Opens and accepts all connections.
    codec : ConfigurationCodec
        Decodes the operator's configuration.
    dialect : Dialect
        Header names of callers and endpoints.
    ready_path : str
        URL path of the readiness check.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        transport: Transport,
        codec: ConfigurationCodec,
        dialect: Dialect,
        ready_path: str,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._ready_path = ready_path
        self._clock = clock
        self._draining = False
        self.metrics = create_metrics()
        self.metrics.describe(
            "configuration_version", "gauge", "Version of the configuration in force."
        )
        host = settings.peer_listen.address
        view = FleetView(host)
        dispatcher = Dispatcher(
            host,
            settings.region,
            view,
            create_dispatch_options(settings),
            create_ejection(),
            random.Random(),
            QuotaGate(create_quota_leases(create_quota_options(settings.quota))),
        )
        contact = EndpointContact()
        self._pools = create_pools(transport, settings.forward_listen.port)
        health = HealthClient(self._pools, dialect, clock)
        self._dispatch = DispatchTask(
            dispatcher,
            self.metrics,
            clock,
            contact,
            DispatchEffects(
                self._tell_coordinators,
                self._share_origins,
                self._pools.accepts_connection,
                health.check,
                self._report_endpoint_reach,
                self._replace_silent_attempts,
                self._request_quota,
            ),
        )
        self._control = ControlTask(
            settings,
            transport,
            codec,
            self._dispatch.mailbox,
            self._apply_configuration,
            self.metrics,
            clock,
        )
        self._regions = RegionLoadTask(
            settings,
            transport,
            self._control.mailbox,
            self._dispatch.mailbox,
            self.metrics,
            clock,
        )
        self._context = GatewayContext(
            host=host,
            region=settings.region,
            keys=derive_keys(settings.peer_keys),
            dialect=dialect,
            dispatch_mailbox=self._dispatch.mailbox,
            control_mailbox=self._control.mailbox,
            pools=self._pools,
            metrics=self.metrics,
            clock=clock,
            wall_clock=time.time,
            recent_splits=view.stream_versions.recent_splits,
            contact=contact,
        )
        self._home_route_counts: Mapping[str, Mapping[str, int]] = {}
        handler = GatewayHandler(self._context)
        initial = Limits(max_connections=settings.max_connections)
        self._caller_server = create_http_server(
            handler.handle_caller, initial, handler.respond_error
        )
        self._forward_server = create_http_server(
            handler.handle_forwarded,
            initial,
            handler.respond_error,
            places_share=HOST_SHARE,
        )
        self._servers = [self._caller_server, self._forward_server]
        # Readiness check and metrics.
        self._internal_servers: list[HttpServer] = []
        self._tasks = curio.TaskGroup(wait=any)

    async def start(self) -> None:
        """Start the tasks and listen on all ports."""
        settings = self._settings
        await self._regions.start()
        for task in (self._dispatch, self._control, self._regions):
            await self._tasks.spawn(task.run)
        await self._tasks.spawn(self._close_unused_pools)
        await self._tasks.spawn(
            watch_process, self.metrics, self._clock, self._transport
        )
        for server, listen in (
            (self._caller_server, settings.listen),
            (self._forward_server, settings.forward_listen),
        ):
            await server.start(self._transport, listen.address, listen.port)
        await self._serve_internal(self._handle_readiness, settings.ready_listen)
        if settings.metrics_listen is not None:
            handler = self._create_metrics_handler()
            await self._serve_internal(handler, settings.metrics_listen)
        log_event("gateway_started", region=settings.region)

    async def wait(self) -> None:
        """Wait until a task ends, which is an error, and raise its exception."""
        task = await self._tasks.next_done()
        if task.exception is not None:
            raise task.exception

    async def drain(self) -> None:
        """Announce the shutdown, then return once the running requests have ended.

        Callers with an older response of the directory are served during
        ``drain_notice_s``, and up to ``drain_alone_s`` while no other host serves
        them. New streams are refused sooner, after ``drain_stream_s`` at the latest,
        because they might not end before the process does. So is each other request
        that is expected to take longer than what is left.
        """
        settings = self._settings
        started_s = self._clock()
        self._draining = True
        drain = Drain(started_s + settings.drain_timeout_s, random.Random())
        self._context.drain = drain
        await self._control.mailbox.send(SetState(EntryState.DRAINING))
        log_event("gateway_draining", active=self._count_active_requests())
        for server in self._servers:
            server.announce_drain()
        await curio.sleep(settings.drain_notice_s)
        await self._wait_for_replacement(started_s + settings.drain_stream_s)
        drain.refuses_streams = True
        self._regions.refuse_requests()
        await self._wait_for_replacement(started_s + settings.drain_alone_s)
        await self._control.mailbox.send(SetState(EntryState.CLOSING))
        for server in self._servers:
            await server.drain()
        if not await self._wait_for_requests(drain.stop_s):
            log_event("gateway_drain_overdue", active=self._count_active_requests())
        log_event(
            "gateway_stopped",
            active=self._count_active_requests(),
            connections=sum(server.connection_count for server in self._servers),
        )

    async def _wait_for_replacement(self, until_s: float) -> None:
        """Wait until no request with home regions depends on this host.

        Gives up once the clock reads `until_s`.
        """
        left_s = until_s - self._clock()
        if left_s > 0:
            await curio.ignore_after(left_s, self._poll_for_replacement)

    async def _poll_for_replacement(self) -> None:
        logged = False
        while True:
            # Remote coordinators learn of a replacement later than near ones.
            directories = await self._control.mailbox.ask(ListEntryHostsByCoordinator())
            if self._context.drain is not None:
                self._context.drain.has_other_host = self._has_other_host(directories)
            if not any(
                is_advertised(self._context.host, entries, self._home_route_counts)
                for entries in set(directories)
            ):
                return
            if not logged:
                log_event("gateway_drain_alone", coordinators=len(directories))
            logged = True
            await curio.sleep(REPLACEMENT_POLL_INTERVAL_S)

    def _has_other_host(self, directories: Iterable[Iterable[EntryHost]]) -> bool:
        """Return whether any coordinator knows another host that still accepts."""
        return any(
            entry.host != self._context.host
            and entry.region == self._context.region
            and entry.state is not EntryState.CLOSING
            for entries in directories
            for entry in entries
        )

    async def _wait_for_requests(self, until_s: float) -> bool:
        """Wait until no request is running; return False on timeout."""
        while self._count_active_requests():
            if self._clock() > until_s:
                return False
            await curio.sleep(DRAIN_POLL_INTERVAL_S)
        return True

    async def reload(self, settings: GatewaySettings) -> None:
        """Add the seeds of reloaded settings; other changes need a restart."""
        await self._control.mailbox.send(AddSeeds(settings.seeds))

    async def close(self) -> None:
        """Stop all servers and tasks and close all connections."""
        await close_servers([*self._servers, *self._internal_servers])
        log_event("gateway_connections_closed")
        await self._tasks.cancel_remaining()
        await self._pools.close()

    def _count_active_requests(self) -> int:
        return sum(server.active_requests for server in self._servers)

    async def _serve_internal(self, handler: Handler, listen: Address) -> None:
        server = create_http_server(
            handler,
            Limits(),
            uses_reserve=True,
            limit_body=refuse_body,
            places_share=INTERNAL_SHARE,
        )
        await server.start(self._transport, listen.address, listen.port)
        self._internal_servers.append(server)

    async def _tell_coordinators(self, message: Message) -> None:
        await self._control.mailbox.send(TellCoordinators(message))

    async def _share_origins(self, origins: tuple[StreamOrigin, ...]) -> None:
        await self._control.mailbox.send(ShareOrigins(origins))

    async def _request_quota(self, request: QuotaRequest) -> None:
        # The dispatch task must not wait for the control task, which asks it in turn.
        await spawn_job(self._control.mailbox.send, AskForQuota(request))

    async def _report_endpoint_reach(self, reaches_endpoints: bool) -> None:
        if not reaches_endpoints:
            await self._pools.close_idle_endpoints()
        await self._control.mailbox.send(SetEndpointReach(reaches_endpoints))

    async def _replace_silent_attempts(
        self, hosts: tuple[str | None, ...], now_s: float
    ) -> int:
        return await self._context.open_attempts.replace_silent(hosts, now_s)

    async def _close_unused_pools(self) -> None:
        while True:
            await curio.sleep(POOL_CLEANUP_INTERVAL_S)
            close = self._pools.close_unused
            await run_guarded(self.metrics, close, self._clock())

    async def _apply_configuration(self, configuration: Configuration) -> None:
        """Activate a newer configuration."""
        routes = create_route_table(configuration)
        self._dispatch.set_services(routes.services)
        self._dispatch.set_routes(configuration.routes)
        self._dispatch.set_workspaces(configuration.workspaces)
        self._context.routes = routes
        self._home_route_counts = {
            **count_home_routes(configuration),
            **count_home_workspaces(configuration),
        }
        self.metrics.set_gauge("configuration_version", configuration.version)
        limits = create_caller_limits(
            configuration.limits, self._settings.max_connections
        )
        self._caller_server.set_limits(limits)
        self._forward_server.set_limits(extend_for_hosts(limits))

    def _create_metrics_handler(self) -> Handler:
        """Return the handler of the metrics address, which also explains decisions."""
        metrics = serve_metrics(self.metrics)
        explanations = ExplanationHandler(self._context)

        async def handle(request: Request, responder: Responder) -> None:
            is_metrics = request.path != EXPLANATION_PATH
            respond = metrics if is_metrics else explanations.handle
            await respond(request, responder)

        return handle

    async def _handle_readiness(self, request: Request, responder: Responder) -> None:
        if request.path != self._ready_path:
            await responder.respond_json(404, {"error": "unknown path"})
            return
        ready = not self._draining and self._context.routes is not None
        await responder.respond_json(200 if ready else 503, {"ready": ready})


def create_gateway(
    settings: GatewaySettings,
    transport: Transport,
    codec: ConfigurationCodec,
    dialect: Dialect,
    ready_path: str = "/readyz",
    clock: Callable[[], float] = time.monotonic,
) -> Gateway:
    """Return a gateway that is not started yet."""
    return Gateway(settings, transport, codec, dialect, ready_path, clock)
