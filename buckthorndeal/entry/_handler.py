"""HTTP handlers for callers, forwarded requests and operators."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from urllib.parse import parse_qs

import curio

from buckthorndeal.authentication import Identity
from buckthorndeal.entry._attempts import REQUEST_ID_HEADER, VERDICT_HEADER
from buckthorndeal.entry._calls import NonIdempotentRunner, run_unary
from buckthorndeal.entry._claims import Claims, get_claim_key
from buckthorndeal.entry._context import EntryContext
from buckthorndeal.entry._endpoint_handler import (
    ENDPOINT_MESSAGES,
    handle_endpoint_message,
)
from buckthorndeal.entry._messages import (
    Admit,
    Call,
    ChooseRoute,
    EndpointResponse,
    GetDocument,
    GetGauges,
    ListEndpoints,
    ListHosts,
    ListRegionHosts,
    Progress,
    Release,
)
from buckthorndeal.entry._parse import (
    CHAT_PATH,
    SERVICE_PREFIX,
    identify,
    parse_call,
    read_forwarding,
    read_request_id,
)
from buckthorndeal.entry._relay import StreamRelay
from buckthorndeal.entry._routes import create_route_request
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.forwarding import ForwardedRequest, ReplayGuard
from buckthorndeal.http_server import Request, Responder
from buckthorndeal.logs import log_event
from buckthorndeal.metrics import CONTENT_TYPE
from buckthorndeal.policy.routing import may_spill


class EntryHandler:
    """Handles the HTTP requests of one entry host.

    Parameters
    ----------
    context : EntryContext
        Shared context of the entry host.
    claims : Claims
        Claims of idempotency keys.
    non_idempotent_runner : NonIdempotentRunner
        Runs non-idempotent calls.
    is_ready : callable
        Returns whether the host accepts new callers.
    """

    def __init__(
        self,
        context: EntryContext,
        claims: Claims,
        non_idempotent_runner: NonIdempotentRunner,
        is_ready: Callable[[], bool],
    ) -> None:
        self._context = context
        self._replay_guard = ReplayGuard()
        self._claims = claims
        self._non_idempotent_runner = non_idempotent_runner
        self._is_ready = is_ready
        self._routes: dict[str, Callable[..., Awaitable[None]]] = {
            "/healthz": self._handle_health,
            "/readyz": self._handle_ready,
            "/metrics": self._handle_metrics,
            "/v1/entry-hosts": self._handle_hosts,
            "/v1/models": self._handle_models,
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle one request and send the response."""
        path = request.path
        if path == CHAT_PATH or path.startswith(SERVICE_PREFIX):
            await self._handle_call(request, responder)
        elif path in ENDPOINT_MESSAGES:
            await handle_endpoint_message(self._context, request, responder)
        elif path in self._routes:
            if request.method != "GET":
                raise RequestError(
                    "method_not_allowed",
                    405,
                    f"{request.method} is not allowed: use GET",
                )
            await self._routes[path](request, responder)
        else:
            raise RequestError("not_found", 404, "no such path")

    async def _handle_health(self, request: Request, responder: Responder) -> None:
        await responder.respond_json(200, {"status": "ok"})

    async def _handle_ready(self, request: Request, responder: Responder) -> None:
        if not self._is_ready():
            raise RequestError("draining", 503, "the host is starting or draining")
        await responder.respond_json(200, {"status": "ready"})

    async def _handle_metrics(self, request: Request, responder: Responder) -> None:
        metrics = self._context.metrics
        endpoints = await self._context.router_mailbox.ask(ListEndpoints())
        metrics.set_gauge("endpoints", len(endpoints))
        metrics.set_gauge("bookings_running", self._non_idempotent_runner.running)
        gauges = await self._context.router_mailbox.ask(GetGauges())
        for service, count in gauges.waiting.items():
            metrics.set_gauge("queue_length", count, service=service)
        for service, count in gauges.ejected.items():
            metrics.set_gauge("ejected_endpoints", count, service=service)
        await responder.respond(200, metrics.render().encode(), CONTENT_TYPE)

    async def _handle_hosts(self, request: Request, responder: Responder) -> None:
        query = parse_qs(request.target.partition("?")[2])
        region = query.get("region", [self._context.region])[0]
        document = await self._context.document_mailbox.ask(GetDocument())
        drained = document.support.drained_hosts
        directory = await self._context.router_mailbox.ask(ListHosts(region, drained))
        hosts = [
            {
                "host": record.host,
                "region": record.region,
                "address": record.address,
                "port": record.port,
            }
            for record in directory.hosts
        ]
        body = {"hosts": hosts, "lifetime_s": directory.lifetime_s}
        await responder.respond_json(200, body)

    async def _handle_models(self, request: Request, responder: Responder) -> None:
        document = await self._context.document_mailbox.ask(GetDocument())
        document.authenticator.authenticate(request.headers.get("authorization"))
        models = [
            {"id": model, "object": "model", "owned_by": name}
            for name, service in document.platform.services.items()
            for model in service.models
        ]
        await responder.respond_json(200, {"object": "list", "data": models})

    async def _handle_call(self, request: Request, responder: Responder) -> None:
        context = self._context
        started_s = context.now()
        progress = Progress()
        request_id = context.create_id()
        service = "unknown"
        error: RequestError | None = None
        status = "cancelled"
        try:
            forwarded = read_forwarding(
                request, context.peer_keys, self._replay_guard, context.wall_time()
            )
            request_id = read_request_id(request, lambda: request_id)
            document = await context.document_mailbox.ask(GetDocument())
            identity = identify(request, forwarded, document)
            await self._check_data_residency(identity)
            call = parse_call(
                request, request_id, identity, forwarded, document, started_s
            )
            service = call.service_name
            error = await self._run_call(call, forwarded, progress, responder)
            status = "ok" if error is None else error.code
        except RequestError as caught:
            error, status = caught, caught.code
            if responder.started:
                raise
            await respond_error(responder, caught, request_id)
        finally:
            self._record_request_end(
                request_id, service, status, progress, started_s, error
            )

    def _record_request_end(
        self,
        request_id: str,
        service: str,
        status: str,
        progress: Progress,
        started_s: float,
        error: RequestError | None,
    ) -> None:
        context = self._context
        total_s = context.now() - started_s
        verdict = error.verdict if error is not None else progress.verdict
        if status == "ok":
            # A recorded response is returned without a dispatch in this request.
            verdict = Verdict.RAN
        context.metrics.count("requests_total", service=service, outcome=status)
        if error is not None and verdict is Verdict.NOT_RUN:
            context.metrics.count("refusals_total", service=service, reason=error.code)
        context.metrics.observe("request_seconds", total_s, service=service)
        log_event(
            "request_end",
            host=context.host,
            request_id=request_id,
            service=service,
            outcome=status,
            state=progress.state,
            verdict=verdict.value,
            total_s=round(total_s, 4),
        )

    async def _check_data_residency(self, identity: Identity) -> None:
        """Refuse data bound to another region, before the body is decoded."""
        workspace = identity.workspace
        if not workspace.bound or workspace.home_region == self._context.region:
            return
        hosts = await self._context.router_mailbox.ask(
            ListRegionHosts(workspace.home_region)
        )
        names = ", ".join(
            f"{record.host} ({record.address}:{record.port})" for record in hosts
        )
        raise RequestError(
            "wrong_region",
            421,
            f"data of this workspace stays in {workspace.home_region}; "
            f"use {names or 'an entry host there'}",
        )

    async def _run_call(
        self,
        call: Call,
        forwarded: ForwardedRequest | None,
        progress: Progress,
        responder: Responder,
    ) -> RequestError | None:
        try:
            return await self._run_admitted(call, forwarded, progress, responder)
        except RequestError as error:
            progress.advance_if_allowed(_get_end_event(progress))
            if call.idempotent or error.verdict is not Verdict.NOT_RUN:
                raise
            if not self._claims.may_have_run(get_claim_key(call)):
                raise
            # The verdict covers this request only; an earlier one may have run.
            raise RequestError(
                error.code,
                error.status,
                f"{error.message}; an earlier request with this key may have run",
                Verdict.MAY_HAVE_RUN,
                error.retry_after_s,
            ) from error

    async def _run_admitted(
        self,
        call: Call,
        forwarded: ForwardedRequest | None,
        progress: Progress,
        responder: Responder,
    ) -> RequestError | None:
        ticket_id = self._context.create_id()
        try:
            route = await self._context.router_mailbox.ask(
                _create_admit(ticket_id, call, forwarded)
            )
            if route is not None:
                call = replace(call, route=route)
            progress.advance("admit")
            call = self._context.prompt_hasher.annotate(call)
            return await self._dispatch_call(call, progress, responder)
        finally:
            async with curio.disable_cancellation():
                await self._context.router_mailbox.send(Release(ticket_id))

    async def _dispatch_call(
        self, call: Call, progress: Progress, responder: Responder
    ) -> RequestError | None:
        if call.stream:
            relay = StreamRelay(self._context, call, progress, responder)
            error = await relay.run()
            progress.advance_if_allowed("finish" if error is None else "fail")
            return error
        if call.idempotent:
            response = await run_unary(self._context, call, progress)
        else:
            response = await self._non_idempotent_runner.run(call, progress)
        progress.advance_if_allowed("finish")
        await _send_response(responder, response, call.request_id)
        return None


def _create_admit(
    ticket_id: str, call: Call, forwarded: ForwardedRequest | None
) -> Admit:
    borrower = ""
    if forwarded is not None and call.crossed and call.idempotent:
        borrower = forwarded.hops[-1]
    request = create_route_request(call)
    return Admit(
        ticket_id,
        call.identity,
        call.service_name,
        call.deadline_s,
        forwarded is not None,
        borrower,
        ChooseRoute("", request, call.document) if may_spill(request) else None,
    )


def _get_end_event(progress: Progress) -> str:
    return "refuse" if progress.verdict is Verdict.NOT_RUN else "fail"


async def _send_response(
    responder: Responder, response: EndpointResponse, request_id: str
) -> None:
    headers = [(REQUEST_ID_HEADER, request_id)]
    await responder.respond(
        response.status, response.body, response.content_type, headers
    )


async def respond_error(
    responder: Responder, error: RequestError, request_id: str | None = None
) -> None:
    """Respond with an error and its verdict, which other entry hosts read."""
    headers = [(VERDICT_HEADER, error.verdict.value)]
    if request_id is not None:
        headers.append((REQUEST_ID_HEADER, request_id))
    if error.retry_after_s is not None:
        headers.append(("retry-after", str(max(1, round(error.retry_after_s)))))
    await responder.respond_json(error.status, error.to_body(), headers)
