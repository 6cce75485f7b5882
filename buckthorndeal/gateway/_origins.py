"""Lookup of the service and version that began a stream, here or at coordinators."""

from dataclasses import replace

import curio

from buckthorndeal.errors import RequestError
from buckthorndeal.fleet import FindOrigin, StreamOrigin, digest_stream
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._control_messages import AskForOrigin
from buckthorndeal.gateway._messages import (
    Call,
)
from buckthorndeal.gateway._shared_messages import FindStreamOrigin
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import MailboxError

# By then a host that has just started reaches the coordinators.
RETRY_S = 0.5
# While coordinators are told again what they have lost, they are asked again.
ASK_AGAIN_S = 0.4
ASK_AGAIN_LIMIT_S = 1.2


async def find_stream_origin(context: GatewayContext, call: Call) -> StreamOrigin:
    """Return the service and software version that have begun a stream.

    Raises
    ------
    RequestError
        With status 503 if they are not known and several may serve, or if the route
        does not lead to the service any more.
    """
    try:
        origin, source = await _look_up_origin(context, call)
    except MailboxError as error:
        raise RequestError(
            "internal", 503, str(error), retry_after_s=RETRY_S
        ) from error
    log_event(
        "stream_taken_up",
        request_id=call.request_id,
        resumes=call.resumes,
        after=call.resume_after,
        service=origin.service if origin is not None else None,
        chosen_service=call.service,
        version=origin.version if origin is not None else None,
        source=source,
    )
    if origin is None:
        raise RequestError(
            "stream_version_unknown",
            503,
            "the software version that began the stream is not known",
            retry_after_s=RETRY_S,
        )
    if origin.service != call.service:
        context.metrics.count("streams_kept_at_service")
    check_service(call, origin.service)
    return origin


def check_service(call: Call, service: str) -> None:
    """Refuse a stream whose service is not one of its route any more.

    Raises
    ------
    RequestError
        With status 503; this host may have an older configuration than others.
    """
    if not call.route.allows_service(service):
        raise RequestError(
            "service_not_routed",
            503,
            f"the route does not lead to service {service}, which began the stream",
            retry_after_s=RETRY_S,
        )


async def _look_up_origin(
    context: GatewayContext, call: Call
) -> tuple[StreamOrigin | None, str]:
    """Return the origin, or None, and where it was found or sought last.

    A coordinator that has just connected may have lost what it knew, and be told it
    again within a moment. A refusal would cost the caller one of few tries.
    """
    until_s = min(call.deadline_s, context.clock() + ASK_AGAIN_LIMIT_S) - ASK_AGAIN_S
    while True:
        origin, source, is_final = await _ask_once(context, call)
        if is_final or context.clock() >= until_s:
            return origin, source
        context.metrics.count("stream_origins_asked_again")
        await curio.sleep(ASK_AGAIN_S)


async def _ask_once(
    context: GatewayContext, call: Call
) -> tuple[StreamOrigin | None, str, bool]:
    """Return the origin or None, where it was sought, and whether that is final."""
    query = FindStreamOrigin(call.service, call.resumes)
    origin = await context.dispatch_mailbox.ask(query)
    if origin is not None:
        return origin, "here", True
    stream = digest_stream(call.resumes or "")
    search = await context.control_mailbox.ask(
        AskForOrigin(FindOrigin(stream, call.service))
    )
    if search.origin is not None:
        return search.origin, "coordinators", True
    if not search.majority:
        return None, "minority", search.is_settled
    query = replace(query, told=search.versions)
    origin = await context.dispatch_mailbox.ask(query)
    return origin, "majority", origin is not None or search.is_settled
