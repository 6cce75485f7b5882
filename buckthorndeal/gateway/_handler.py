"""HTTP handlers for requests of callers and of other entry hosts."""

from dataclasses import dataclass, replace

import curio
from absl import logging

from buckthorndeal.configuration import RequestKind, Route, RouteTable, choose_service
from buckthorndeal.errors import AuthenticationError, RequestError
from buckthorndeal.forwarding import (
    ForwardedRequest,
    ReplayGuard,
    is_forwarded,
    verify_request,
)
from buckthorndeal.gateway._attempt import VERDICT_HEADER
from buckthorndeal.gateway._attempt_headers import SERVICE_HEADER, VERSION_HEADER
from buckthorndeal.gateway._authentication import (
    WorkspaceMetrics,
    check_home,
    describe_caller,
    identify_caller,
    identify_forwarded,
)
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._drain import Drain
from buckthorndeal.gateway._exchange import INTERNAL_RETRY_S, Exchange
from buckthorndeal.gateway._messages import (
    Call,
)
from buckthorndeal.gateway._origins import check_service
from buckthorndeal.gateway._progress import Progress
from buckthorndeal.gateway._waiting_notice import announce_waiting
from buckthorndeal.gateway.dialect import RequestMetadata
from buckthorndeal.http_server import Request, Responder, ServerClosing
from buckthorndeal.limitreports import create_limit_report
from buckthorndeal.logs import log_event, log_routine
from buckthorndeal.quarantine import RequestContent
from buckthorndeal.workspaces import Workspace

# A host that has just started receives the configuration within this time.
NOT_READY_RETRY_S = 0.5
STARTUP_WAIT_S = 0.4
STARTUP_POLL_S = 0.05


@dataclass(eq=False, slots=True)
class _Handling:
    """A request that is being handled, and what is known of it so far.

    Parameters
    ----------
    arrived_s : float
        Clock reading at arrival.
    workspace : Workspace or None
        Workspace of the caller; None if it is anonymous or not known yet.
    exchange : Exchange or None
        The exchange, once it has begun.
    error : RequestError or None
        Error with which the request has ended.
    completed : bool
        Whether the request has ended other than by a cancellation.
    """

    arrived_s: float
    request_id: str = ""
    workspace: Workspace | None = None
    exchange: Exchange | None = None
    error: RequestError | None = None
    completed: bool = False


class GatewayHandler:
    """Handles requests of callers and of other entry hosts.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the handlers.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._replays = ReplayGuard()
        self._workspace_metrics = WorkspaceMetrics(context.metrics)
        self._long_prompts = create_limit_report(
            context.metrics,
            "prompts_shortened",
            "prompt_shortened",
            "Prompts whose last parts were joined.",
        )

    async def handle_caller(self, request: Request, responder: Responder) -> None:
        """Handle a request of a caller."""
        await self._handle(request, responder, None)

    async def handle_forwarded(self, request: Request, responder: Responder) -> None:
        """Handle a request that another entry host has forwarded."""
        try:
            forwarded = self._verify(request)
        except AuthenticationError as error:
            refused = RequestError("forbidden", 403, str(error))
            await self.respond_error(responder, refused)
            return
        await self._handle(request, responder, forwarded)

    def _verify(self, request: Request) -> ForwardedRequest:
        if not is_forwarded(request.headers):
            raise AuthenticationError("the forwarded request is not signed")
        forwarded = verify_request(
            request.headers,
            request.method,
            request.target,
            request.body,
            self._context.keys,
        )
        self._replays.check(forwarded, self._context.wall_clock())
        return forwarded

    async def _run(
        self, exchange: Exchange, responder: Responder, is_forwarded: bool
    ) -> None:
        if not is_forwarded:
            await exchange.run()
            return
        async with announce_waiting(
            responder, lambda: not exchange.progress.has_connected
        ):
            await exchange.run()

    async def _handle(
        self,
        request: Request,
        responder: Responder,
        forwarded: ForwardedRequest | None,
    ) -> None:
        handling = _Handling(self._context.clock())
        try:
            await self._answer(request, responder, forwarded, handling)
            handling.completed = True
        except RequestError as raised:
            handling.error = raised
            handling.completed = True
            if not responder.started:
                await self.respond_error(responder, raised)
        except ServerClosing:
            if responder.started or handling.exchange is None:
                raise
            handling.error = handling.exchange.create_stop_error()
            handling.completed = True
            await self.respond_error(responder, handling.error)
        except Exception as raised:
            if responder.started:
                raise
            logging.exception("handling of a request failed")
            handling.error = _create_internal_error(handling.exchange, raised)
            handling.completed = True
            await self.respond_error(responder, handling.error)
        finally:
            self._record_end(handling, responder)

    async def _answer(
        self,
        request: Request,
        responder: Responder,
        forwarded: ForwardedRequest | None,
        handling: _Handling,
    ) -> None:
        """Respond to a request; raise `RequestError` if it is refused or fails."""
        metadata = self._context.dialect.parse_request(request)
        handling.request_id = metadata.request_id
        self._report_long_prompt(metadata)
        # All that follows goes by this version of the configuration.
        routes = await self._get_routes()
        route = _find_route(routes, request)
        if forwarded is None:
            handling.workspace = identify_caller(routes, route, metadata.key)
        else:
            handling.workspace = identify_forwarded(routes, route, forwarded)
        call = self._create_call(request, metadata, forwarded, route, handling)
        if forwarded is not None:
            check_home(call, self._context.region)
            call = _keep_service(call, request)
        handling.exchange = Exchange(self._context, call, request, responder)
        await self._run(handling.exchange, responder, forwarded is not None)

    def _report_long_prompt(self, metadata: RequestMetadata) -> None:
        prompt = metadata.prompt
        if prompt is not None and prompt.joined_parts:
            self._long_prompts.record(
                request_id=metadata.request_id,
                joined=prompt.joined_parts,
                parts=len(prompt.parts),
            )

    def _record_end(self, handling: _Handling, responder: Responder) -> None:
        """Count and log the end of a request; a cancelled one has not completed."""
        arrived_s, error, exchange = (
            handling.arrived_s,
            handling.error,
            handling.exchange,
        )
        total_s = self._context.clock() - arrived_s
        outcome = "answered"
        if error is not None:
            outcome = error.code
        elif not handling.completed:
            outcome = "caller_gone" if responder.disconnected else "cut_off"
        progress = exchange.progress if exchange is not None else None
        self._context.metrics.count("requests", outcome=outcome)
        self._context.metrics.observe("request_seconds", total_s)
        if self._context.routes is not None and self._context.routes.workspaces:
            self._workspace_metrics.count(handling.workspace, outcome, error)
        if exchange is not None:
            self._observe_response_times(progress, arrived_s)
            if handling.completed and exchange.route.kind is not RequestKind.STREAM:
                self._context.durations.record(
                    exchange.route.name, total_s, arrived_s + total_s
                )
        write = log_event if outcome != "answered" else log_routine
        write(
            "request_ended",
            request_id=handling.request_id,
            workspace=handling.workspace.name if handling.workspace else None,
            outcome=outcome,
            status=error.status if error is not None else None,
            verdict=error.verdict.value if error is not None else None,
            reason=error.message if error is not None else None,
            begun=responder.started,
            runs=progress.runs if progress is not None else 0,
            events=progress.events if progress is not None else 0,
            first_ms=_round_first_response(progress, arrived_s),
            pause_ms=round(progress.longest_pause_s * 1000) if progress else 0,
            total_ms=round(total_s * 1000),
        )

    def _create_call(
        self,
        request: Request,
        metadata: RequestMetadata,
        forwarded: ForwardedRequest | None,
        route: Route,
        handling: _Handling,
    ) -> Call:
        timeout_s = route.timeout_s
        if metadata.timeout_s is not None:
            timeout_s = min(timeout_s, metadata.timeout_s)
        deadline_s = handling.arrived_s + timeout_s
        drain = self._context.drain
        if drain is not None:
            self._check_drain(drain, route, forwarded is not None, deadline_s)
            deadline_s = min(deadline_s, drain.stop_s)
        return Call(
            request_id=metadata.request_id,
            route=route,
            service=self._choose_service(route, metadata, handling.arrived_s),
            arrived_s=handling.arrived_s,
            deadline_s=deadline_s,
            prompt=metadata.prompt,
            resume_after=metadata.resume_after,
            hops=forwarded.hops if forwarded is not None else (),
            crossed=forwarded.crossed if forwarded is not None else False,
            content=_describe_content(request, metadata, handling.workspace),
            resumes=metadata.resumes,
            version=request.headers.get(VERSION_HEADER) if forwarded else None,
            workspace=handling.workspace,
            tokens=metadata.tokens,
        )

    def _choose_service(
        self, route: Route, metadata: RequestMetadata, now_s: float
    ) -> str:
        """Choose by the weights; a stream that is taken up began under former ones."""
        if metadata.resumes:
            splits = self._context.recent_splits
            return splits.find_service(route, metadata.resumes, now_s)
        return choose_service(route, metadata.request_id)

    def _check_drain(
        self, drain: Drain, route: Route, forwarded: bool, deadline_s: float
    ) -> None:
        """Raise `RequestError` if a request might outlast the drain of this host."""
        now_s = self._context.clock()
        longest_s = self._context.durations.get_seconds(route.name, now_s)
        if drain.accepts(route, forwarded, deadline_s, longest_s, now_s):
            return
        raise RequestError(
            "draining",
            503,
            "this host is draining",
            retry_after_s=drain.compute_retry_s(now_s),
        )

    async def _get_routes(self) -> RouteTable:
        """Return the active routes; wait for them on a host that has just started."""
        waited_s = 0.0
        while self._context.routes is None and waited_s < STARTUP_WAIT_S:
            await curio.sleep(STARTUP_POLL_S)
            waited_s += STARTUP_POLL_S
        if self._context.routes is None:
            raise RequestError(
                "not_ready",
                503,
                "no configuration has been received yet",
                retry_after_s=NOT_READY_RETRY_S,
            )
        return self._context.routes

    def _observe_response_times(self, progress: Progress, arrived_s: float) -> None:
        metrics = self._context.metrics
        if progress.first_response_s is not None:
            metrics.observe(
                "first_answer_seconds", progress.first_response_s - arrived_s
            )
            metrics.observe("longest_pause_seconds", progress.longest_pause_s)

    async def respond_error(self, responder: Responder, error: RequestError) -> None:
        """Respond with an error and its verdict, which other entry hosts read."""
        headers = [(VERDICT_HEADER, error.verdict.value)]
        if error.retry_after_s is not None:
            value = self._context.dialect.format_retry_after(error.retry_after_s)
            headers.append(("retry-after", value))
        await responder.respond_json(error.status, error.to_body(), headers)


def _keep_service(call: Call, request: Request) -> Call:
    """Return a forwarded call with the service that its first host has chosen.

    That host may have another configuration. A stream that has begun goes on at its
    service or not at all; other requests go to a service that this host allows.
    """
    service = request.headers.get(SERVICE_HEADER)
    if service is None:
        return call
    if call.version is not None:
        check_service(call, service)
    allowed = call.route.allows_service(service)
    return replace(call, service=service) if allowed else call


def _create_internal_error(exchange: Exchange | None, error: Exception) -> RequestError:
    message = f"internal error: {type(error).__name__}"
    if exchange is not None:
        return exchange.create_internal_error(message)
    return RequestError("internal", 503, message, retry_after_s=INTERNAL_RETRY_S)


def _find_route(routes: RouteTable, request: Request) -> Route:
    """Return the route of a request; it tells whether the caller needs a key."""
    route = routes.find(request.headers.get("host", ""), request.path)
    if route is None:
        raise RequestError("not_found", 404, "no route matches the host and path")
    return route


def _describe_content(
    request: Request, metadata: RequestMetadata, workspace: Workspace | None
) -> RequestContent:
    return RequestContent(
        request.method,
        request.headers.get("host", ""),
        request.target,
        describe_caller(workspace, metadata),
        request.body,
    )


def _round_first_response(progress: Progress | None, arrived_s: float) -> int | None:
    """Return the milliseconds until the response started, or None if it did not."""
    if progress is None or progress.first_response_s is None:
        return None
    return round((progress.first_response_s - arrived_s) * 1000)
