"""Explanation of a decision that is not made; read-only.

Answers an operator who asks why a request is refused, waits or goes elsewhere. The
outcome comes from a copy of the dispatcher, so no rule is written twice.
"""

import copy
import sys
from urllib.parse import parse_qsl

from buckthorndeal.configuration import Route, choose_service
from buckthorndeal.errors import RequestError
from buckthorndeal.explanation import (
    EndpointStatus,
    Explanation,
    Outcome,
    QuotaStatus,
    RegionReport,
)
from buckthorndeal.gateway._authentication import identify_caller
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._dispatcher import Dispatcher
from buckthorndeal.gateway._handler import NOT_READY_RETRY_S
from buckthorndeal.gateway._latency_limits import compute_latency_budget_s
from buckthorndeal.gateway._messages import (
    Call,
    Dispatch,
    ExplainDecision,
    Refusal,
)
from buckthorndeal.gateway._prompts import Prompt, PromptPart
from buckthorndeal.gateway._scoring import LocalChoice, RemoteChoice
from buckthorndeal.http_server import Request, Responder
from buckthorndeal.workspaces import Workspace

BAD_REQUEST = 400
# A request ranks behind all that wait.
LAST_ATTEMPT_ID = sys.maxsize
REQUEST_ID = "explanation"
PARAMETERS = frozenset(
    (
        "host",
        "path",
        "workspace",
        "tokens",
        "output_tokens",
        "prefix",
        "prefix_tokens",
        "service",
    )
)
MAX_TOKENS = 10_000_000


def explain(dispatcher: Dispatcher, call: Call, now_s: float) -> Explanation:
    """Return where a request would go now, and why; changes nothing.

    Parameters
    ----------
    dispatcher : Dispatcher
        Makes the decisions of this host.
    call : Call
        The request.
    now_s : float
        Clock reading.
    """
    dispatch = Dispatch(LAST_ATTEMPT_ID, call)
    quota = _describe_quota(dispatcher, call)
    preview = dispatcher.create_preview(dispatch, now_s, _take)
    endpoints = _describe_endpoints(preview, dispatch, now_s)
    regions = preview._remote.describe_regions(dispatch, now_s)
    max_wait_s = preview.admission.compute_max_wait_s(call, now_s)
    waiting = len(preview.admission.get(call.service).queue)
    decision = preview.submit(dispatch, now_s)
    if decision is None:
        reason = "units of its quota" if preview.quota.has_waiting else "room"
        outcome = Outcome("wait", reason=reason)
    else:
        outcome = _describe_outcome(decision)
    return Explanation(
        host=preview._host,
        region=preview._region,
        outcome=outcome,
        route=call.route.name,
        service=call.service,
        workspace=call.workspace.name if call.workspace is not None else None,
        home_regions=_describe_homes(call),
        budget_s=compute_latency_budget_s(call, now_s),
        max_wait_s=max_wait_s,
        path_lost=preview.reach.is_lost,
        waiting=waiting,
        quota=quota,
        endpoints=endpoints,
        regions=tuple(
            RegionReport(
                each.region,
                each.host,
                each.obstacle,
                each.age_s,
                each.wait_s,
                each.free_slots,
                each.sent,
                each.lent_requests,
            )
            for each in regions
        ),
    )


def _take(
    dispatch: Dispatch, choice: LocalChoice | RemoteChoice, now_s: float
) -> LocalChoice | RemoteChoice:
    """Return a choice in place of sending the request."""
    return choice


def _describe_outcome(decision: Refusal | LocalChoice | RemoteChoice) -> Outcome:
    if isinstance(decision, Refusal):
        return Outcome(
            "refusal",
            reason=decision.reason.value,
            predicted_s=decision.predicted_s,
            status=decision.reason.status,
            retry_after_s=decision.retry_after_s,
            cause=decision.cause.value if decision.cause is not None else None,
        )
    if isinstance(decision, LocalChoice):
        name = decision.load.name
        return Outcome("endpoint", name, predicted_s=decision.predicted_s)
    reason = "relay" if decision.is_relay else None
    if decision.reason is not None:
        reason = decision.reason.value
    return Outcome(
        "forward", decision.host, decision.region, reason, decision.predicted_s
    )


def _describe_endpoints(
    preview: Dispatcher, dispatch: Dispatch, now_s: float
) -> tuple[EndpointStatus, ...]:
    call, view, chooser = dispatch.call, preview.view, preview._local
    service = view.get_service(call.service)
    available = {
        load.name for load in view.list_available(call.service, call.version, now_s)
    }
    candidates = chooser.list_candidates(dispatch, now_s)
    scores = {
        score.load.name: score for score in chooser.score(dispatch, candidates, now_s)
    }
    described = []
    for load, condition in view.list_conditions(call.service, now_s):
        score = scores.get(load.name)
        excluded = None
        if score is not None:
            obstacle = chooser.find_obstacle(load, call, service, now_s)
            excluded = obstacle.value if obstacle is not None else None
        else:
            excluded = "ejected" if load.name in available else condition.value
        record = load.entry.record
        status = EndpointStatus(
            endpoint=load.name,
            failure_domain=record.failure_domain,
            condition=condition.value,
            excluded=excluded,
            predicted_s=score.predicted_s if score is not None else None,
            cost_s=score.endpoint_cost_s if score is not None else None,
            own=load.inflight,
            others=load.count_other_inflight(now_s),
            slots=record.slots,
            rate_limit_per_s=view.rate_shares.get_limit(record),
            rejections_per_s=view.rate_shares.get_rejection_limit(record),
        )
        described.append(status)
    return tuple(sorted(described, key=lambda each: each.endpoint))


def _describe_quota(dispatcher: Dispatcher, call: Call) -> QuotaStatus | None:
    workspace = call.workspace
    if workspace is None or not dispatcher.quota._is_limited(workspace):
        return None
    gate = dispatcher.quota.copy_for(workspace)
    state = gate.leases.describe(gate.clock()).get(workspace.name)
    return QuotaStatus(
        unit=workspace.unit.value,
        units=call.quota_units,
        held=state.held if state is not None else 0.0,
        demand_per_s=state.demand_per_s if state is not None else 0.0,
        granted_per_s=state.granted_per_s if state is not None else 0.0,
        rate_per_s=workspace.rate_per_s,
    )


def _describe_homes(call: Call) -> tuple[str, ...] | None:
    homes = [call.route.home_regions]
    if call.workspace is not None:
        homes.append(call.workspace.home_regions)
    bound = [each for each in homes if each]
    return tuple(sorted(frozenset.intersection(*bound))) if bound else None


class ExplanationHandler:
    """Responds to operators who ask where a request would go.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the handlers, which is only read.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond with an `Explanation` as JSON, or with an error and status 400."""
        try:
            parameters = _parse(request)
            explanation = await self._explain(parameters)
        except RequestError as error:
            await responder.respond_json(error.status, {"error": error.message})
            return
        await responder.respond_json(200, explanation)

    async def _explain(self, parameters: dict[str, str]) -> Explanation:
        context = self._context
        routes = context.routes
        if routes is None:
            return self._refuse(
                RequestError(
                    "not_ready",
                    503,
                    "no configuration has been received yet",
                    retry_after_s=NOT_READY_RETRY_S,
                )
            )
        route = routes.find(parameters["host"], parameters["path"])
        if route is None:
            return self._refuse(RequestError("not_found", 404, "no route matches"))
        name = parameters.get("workspace")
        if name is not None:
            workspace = routes.workspaces.find_by_name(name)
            if workspace is None:
                raise RequestError("invalid", BAD_REQUEST, "no workspace has this name")
        else:
            try:
                workspace = identify_caller(routes, route, None)
            except RequestError as error:
                return self._refuse(error)
        now_s = context.clock()
        call = _create_call(parameters, route, workspace, now_s)
        # Both keep track of the time, or draw a number, as they are asked.
        drain, durations = copy.deepcopy((context.drain, context.durations))
        if drain is not None:
            longest_s = durations.get_seconds(route.name, now_s)
            if not drain.accepts(route, False, call.deadline_s, longest_s, now_s):
                retry_s = drain.compute_retry_s(now_s)
                message = "this host is draining"
                return self._refuse(
                    RequestError("draining", 503, message, retry_after_s=retry_s)
                )
            call.deadline_s = min(call.deadline_s, drain.stop_s)
        return await context.dispatch_mailbox.ask(
            ExplainDecision(call, drain is not None)
        )

    def _refuse(self, error: RequestError) -> Explanation:
        """Return the explanation of a refusal before any decision on a target."""
        context = self._context
        outcome = Outcome(
            "refusal",
            reason=error.code,
            status=error.status,
            retry_after_s=error.retry_after_s,
        )
        return Explanation(
            context.host,
            context.region,
            outcome,
            draining=context.drain is not None,
        )


def _parse(request: Request) -> dict[str, str]:
    if request.method != "GET":
        raise RequestError("invalid", 405, "only GET is answered here")
    query = request.target.partition("?")[2]
    pairs = parse_qsl(query, keep_blank_values=True)
    parameters = dict(pairs)
    unknown = sorted(parameters.keys() - PARAMETERS)
    if unknown or len(parameters) < len(pairs):
        known = ", ".join(sorted(PARAMETERS))
        raise RequestError("invalid", BAD_REQUEST, f"known, each once: {known}")
    for name in ("host", "path"):
        if not parameters.get(name):
            raise RequestError("invalid", BAD_REQUEST, f"{name} is missing")
    return parameters


def _create_call(
    parameters: dict[str, str], route: Route, workspace: Workspace | None, now_s: float
) -> Call:
    names = [each.service for each in route.services]
    service = parameters.get("service") or choose_service(route, REQUEST_ID)
    if service not in names:
        message = f"the route has the services {', '.join(names)}"
        raise RequestError("invalid", BAD_REQUEST, message)
    return Call(
        request_id=REQUEST_ID,
        route=route,
        service=service,
        arrived_s=now_s,
        deadline_s=now_s + route.timeout_s,
        prompt=_create_prompt(parameters),
        workspace=workspace,
    )


def _create_prompt(parameters: dict[str, str]) -> Prompt | None:
    """Return a prompt of the given length; all but the prefix is private to it."""
    tokens = _parse_tokens(parameters, "tokens", 0)
    if not tokens:
        return None
    parts: tuple[PromptPart, ...] = ()
    prefix = parameters.get("prefix")
    if prefix:
        shared = min(tokens, _parse_tokens(parameters, "prefix_tokens", tokens))
        own = PromptPart(f"{prefix} {REQUEST_ID}", tokens - shared)
        parts = (PromptPart(prefix, shared), own)
    output = _parse_tokens(parameters, "output_tokens", 0)
    return Prompt("", tokens, output, parts)


def _parse_tokens(parameters: dict[str, str], name: str, default: int) -> int:
    text = parameters.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(MAX_TOKENS))):
        message = f"{name} must be an integer from 0 to {MAX_TOKENS}"
        raise RequestError("invalid", BAD_REQUEST, message)
    return min(int(text), MAX_TOKENS)
