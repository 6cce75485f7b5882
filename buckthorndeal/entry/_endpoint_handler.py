"""Handler of the HTTP messages with which endpoints report to an entry host."""

import msgspec

from buckthorndeal.authentication import check_endpoint_key
from buckthorndeal.directory import HostRecord
from buckthorndeal.entry._context import EntryContext
from buckthorndeal.entry._messages import GetDocument, ListEndpoints, ListRegionHosts
from buckthorndeal.entry._reports import EndpointReported
from buckthorndeal.errors import DECODING_ERRORS, RequestError
from buckthorndeal.http_server import Request, Responder
from buckthorndeal.registry import (
    Accepted,
    Announcement,
    DrainNotice,
    Heartbeat,
    LeaveNotice,
)
from buckthorndeal.subsetting import choose_registrars

ENDPOINT_MESSAGES = {
    "/v1/endpoints/announce": Announcement,
    "/v1/endpoints/heartbeat": Heartbeat,
    "/v1/endpoints/drain": DrainNotice,
    "/v1/endpoints/leave": LeaveNotice,
}


async def handle_endpoint_message(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Handle a request whose path is one of `ENDPOINT_MESSAGES`.

    Raises
    ------
    RequestError
        If the message is malformed, not authorized or refused.
    """
    if request.method != "POST":
        raise RequestError(
            "method_not_allowed", 405, f"{request.method} is not allowed: use POST"
        )
    try:
        message = msgspec.json.decode(
            request.body, type=ENDPOINT_MESSAGES[request.path]
        )
    except DECODING_ERRORS as error:
        raise RequestError("bad_request", 400, str(error)) from error
    if isinstance(message, Announcement) and message.region != context.region:
        raise RequestError(
            "wrong_region",
            409,
            f"this host is in region {context.region!r}, "
            f"not in the endpoint's region {message.region!r}",
        )
    await _check_endpoint_key(context, message, request.headers.get("authorization"))
    outcome = await context.router_mailbox.ask(message)
    if not isinstance(outcome, Accepted):
        raise RequestError("refused", 409, outcome.reason)
    await context.report_mailbox.send(EndpointReported(message))
    hosts = await context.router_mailbox.ask(ListRegionHosts(context.region))
    registrars = [
        {"host": record.host, "address": record.address, "port": record.port}
        for record in _choose_registrars(message.name, hosts)
    ]
    await responder.respond_json(
        200, {"state": outcome.state, "registrars": registrars}
    )


async def _check_endpoint_key(
    context: EntryContext, message: object, header: str | None
) -> None:
    document = await context.document_mailbox.ask(GetDocument())
    views = await context.router_mailbox.ask(ListEndpoints())
    services = [view.service for view in views if view.name == message.name]
    if isinstance(message, Announcement):
        # An endpoint that changes its service needs a key that both accept.
        services.append(message.service)
    for service in services or [None]:
        check_endpoint_key(header, document.platform.services, service)


def _choose_registrars(endpoint: str, hosts: list[HostRecord]) -> list[HostRecord]:
    """Return the hosts of the region that the endpoint should report to.

    They are chosen among the alive hosts. If there is none, the endpoint keeps
    reporting to hosts that are draining or suspected.
    """
    alive = [record for record in hosts if record.state == "alive"]
    present = [record for record in hosts if record.state != "lost"]
    eligible = {record.host: record for record in alive or present}
    domains = {host: record.failure_domain for host, record in eligible.items()}
    return [eligible[host] for host in choose_registrars(endpoint, domains)]
