"""Lookup of the software version that began a stream, here or at coordinators."""

from dataclasses import replace

import curio

from buckthorndeal.errors import RequestError
from buckthorndeal.fleet import FindOrigin, digest_stream
from buckthorndeal.gateway._context import GatewayContext
from buckthorndeal.gateway._control_messages import AskForOrigin
from buckthorndeal.gateway._messages import (
    Call,
)
from buckthorndeal.gateway._shared_messages import FindStreamVersion
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import MailboxError

# By then a host that has just started reaches the coordinators.
RETRY_S = 0.5
# While coordinators are told again what they have lost, they are asked again.
ASK_AGAIN_S = 0.4
ASK_AGAIN_LIMIT_S = 1.2


async def find_stream_version(context: GatewayContext, call: Call) -> str:
    """Return the software version at which a stream that is taken up has begun.

    Raises
    ------
    RequestError
        With status 503 if it is not known and several versions may serve.
    """
    try:
        version, source = await _look_up_version(context, call)
    except MailboxError as error:
        raise RequestError(
            "internal", 503, str(error), retry_after_s=RETRY_S
        ) from error
    log_event(
        "stream_taken_up",
        request_id=call.request_id,
        resumes=call.resumes,
        after=call.resume_after,
        version=version,
        source=source,
    )
    if version is None:
        raise RequestError(
            "stream_version_unknown",
            503,
            "the software version that began the stream is not known",
            retry_after_s=RETRY_S,
        )
    return version


async def _look_up_version(
    context: GatewayContext, call: Call
) -> tuple[str | None, str]:
    """Return the version, or None, and where it was found or sought last.

    A coordinator that has just connected may have lost what it knew, and be told it
    again within a moment. A refusal would cost the caller one of few tries.
    """
    until_s = min(call.deadline_s, context.clock() + ASK_AGAIN_LIMIT_S) - ASK_AGAIN_S
    while True:
        version, source, is_final = await _ask_once(context, call)
        if is_final or context.clock() >= until_s:
            return version, source
        context.metrics.count("stream_origins_asked_again")
        await curio.sleep(ASK_AGAIN_S)


async def _ask_once(
    context: GatewayContext, call: Call
) -> tuple[str | None, str, bool]:
    """Return the version or None, where it was sought, and whether that is final."""
    query = FindStreamVersion(call.service, call.resumes)
    version = await context.dispatch_mailbox.ask(query)
    if version is not None:
        return version, "here", True
    stream = digest_stream(call.resumes or "")
    search = await context.control_mailbox.ask(
        AskForOrigin(FindOrigin(stream, call.service))
    )
    if search.origin is not None:
        is_same_service = search.origin.service == call.service
        version = search.origin.version if is_same_service else None
        return version, "coordinators", True
    if not search.majority:
        return None, "minority", search.is_settled
    query = replace(query, told=search.versions)
    version = await context.dispatch_mailbox.ask(query)
    return version, "majority", version is not None or search.is_settled
