"""Headers of an attempt, for an endpoint or for another entry host."""

from buckthorndeal.forwarding import ForwardedRequest, check_next_hop, sign_request
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._headers import remove_hop_by_hop
from buckthorndeal.gateway._messages import Call, Forward, Grant
from buckthorndeal.gateway.dialect import EndpointHints
from buckthorndeal.http_server import Request

# Between entry hosts: the software version at which a stream has to continue, and in a
# response the version of the endpoint that has sent it.
VERSION_HEADER = "buckthorndeal-version"
# Between entry hosts: the service that was chosen, as another host may have another
# configuration.
SERVICE_HEADER = "buckthorndeal-service"


def build_attempt_headers(
    context: GatewayContext,
    call: Call,
    request: Request,
    decision: Grant | Forward,
    attempt_id: int,
) -> list[tuple[str, str]]:
    """Return the headers of the request as this attempt sends it.

    Parameters
    ----------
    context : GatewayContext
        Clocks, keys and dialect of the gateway.
    call : Call
        What is asked for.
    request : Request
        Request of the caller.
    decision : Grant or Forward
        Where the attempt goes: an endpoint is given hints, an entry host a signed
        introduction.
    attempt_id : int
        Attempt that the introduction names.

    Returns
    -------
    list of tuple of str and str
        Names and values, with the time that is left.

    Raises
    ------
    RequestError
        If the request must not go to that entry host, which it has passed already.
    """
    remaining_s = max(0.001, call.deadline_s - context.clock())
    end_to_end = remove_hop_by_hop(request.headers)
    build_headers = context.dialect.build_headers
    if isinstance(decision, Grant):
        hints = EndpointHints(
            decision.record.endpoint,
            decision.urgency,
            decision.cache_source,
            call.workspace.name if call.workspace is not None else None,
        )
        return build_headers(end_to_end, remaining_s, hints, call.resume_after)
    headers = build_headers(end_to_end, remaining_s, None, call.resume_after)
    return [
        *headers,
        *_create_forwarding_headers(
            context, call, request, decision, attempt_id, remaining_s
        ),
    ]


def _create_forwarding_headers(
    context: GatewayContext,
    call: Call,
    request: Request,
    decision: Forward,
    attempt_id: int,
    remaining_s: float,
) -> list[tuple[str, str]]:
    hops = (*call.hops, context.host)
    check_next_hop(hops, call.crossed, context.region, decision.host, decision.region)
    forwarded = ForwardedRequest(
        origin=hops[0],
        hops=hops,
        crossed=call.crossed or not decision.is_relay,
        deadline_ms=int(remaining_s * 1000),
        request_id=f"{context.host}-{attempt_id}-{call.request_id}",
        sent_ms=int(context.wall_clock() * 1000),
        workspace=call.workspace.name if call.workspace is not None else "",
        content_type=request.headers.get("content-type", ""),
        idempotency_key=request.headers.get("idempotency-key", ""),
    )
    signed = sign_request(
        forwarded, request.method, request.target, request.body, context.keys[0]
    )
    already_present = {"content-type", "idempotency-key"}
    headers = [(name, value) for name, value in signed if name not in already_present]
    if call.version is not None:
        headers.append((VERSION_HEADER, call.version))
    if call.version is not None or len(call.route.services) > 1:
        headers.append((SERVICE_HEADER, call.service))
    return headers
