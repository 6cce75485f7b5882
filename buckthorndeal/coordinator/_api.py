"""Default HTTP API of a coordinator, for endpoints, operators and callers."""

import urllib.parse

import msgspec

from buckthorndeal.configuration import ConfigurationError
from buckthorndeal.coordinator._body_limits import BodyKind
from buckthorndeal.coordinator._service import CoordinatorService
from buckthorndeal.errors import DECODING_ERRORS, RequestError
from buckthorndeal.fleet import EndpointRecord, EndpointState, InvalidRecordError
from buckthorndeal.http_server import Handler, Request, Responder

RETRY_AFTER_S = 0.5


class HeartbeatBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an endpoint's heartbeat; `EndpointRecord` describes the fields."""

    incarnation: int
    sequence: int
    service: str
    region: str
    failure_domain: str
    address: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0
    leaves_in_s: float | None = None
    version: str = ""


class LeaveBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of the notice that an endpoint shuts down."""

    incarnation: int


class CoordinatorApi:
    """Translates HTTP requests into calls of a `CoordinatorService`.

    Parameters
    ----------
    service : CoordinatorService
        Service of this coordinator.
    lifetime_s : float
        Seconds for which callers may cache a directory response.
    """

    def __init__(self, service: CoordinatorService, lifetime_s: float) -> None:
        self._service = service
        self._lifetime_s = lifetime_s

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle a request of an endpoint or an operator.

        Raises
        ------
        RequestError
            With status 400 if the body or the configuration is invalid, 404 if the
            path is unknown or no configuration is stored, and 503 if the request
            cannot be acknowledged.
        """
        try:
            await self._handle(request, responder)
        except DECODING_ERRORS as error:
            message = f"malformed body: {error}"
            raise RequestError("bad_request", 400, message) from error
        except InvalidRecordError as error:
            raise RequestError("bad_request", 400, str(error)) from error
        except ConfigurationError as error:
            raise RequestError("invalid_configuration", 400, str(error)) from error

    async def handle_directory(self, request: Request, responder: Responder) -> None:
        """Handle a request for the entry hosts that a caller should use."""
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        entries = await self._service.choose_entry_hosts(
            query.get("name", ""),
            query.get("region", ""),
            query.get("failure_domain", ""),
        )
        hosts = [entry.caller_address for entry in entries]
        body = {"hosts": hosts, "lifetime_s": self._lifetime_s}
        await responder.respond_json(200, body)

    async def _handle(self, request: Request, responder: Responder) -> None:
        service = self._service
        match (request.method, *request.path.strip("/").split("/")):
            case ("POST", "v1", "endpoints", endpoint, "heartbeat"):
                body = msgspec.json.decode(request.body, type=HeartbeatBody)
                accepted = await service.report_heartbeat(
                    _create_record(endpoint, body)
                )
                await _acknowledge(accepted, responder)
            case ("POST", "v1", "endpoints", endpoint, "leave"):
                body = msgspec.json.decode(request.body, type=LeaveBody)
                accepted = await service.report_leave(endpoint, body.incarnation)
                await _acknowledge(accepted, responder)
            case ("PUT", "v1", "configuration"):
                version = await service.put_configuration(request.body)
                await responder.respond_json(200, {"version": version})
            case ("GET", "v1", "configuration"):
                await self._get_configuration(responder)
            case ("PUT" | "DELETE" as method, "v1", "evacuations", domain):
                await service.change_evacuation(domain, method == "PUT")
                await responder.respond_json(200, {})
            case _:
                raise RequestError("not_found", 404, "unknown path")

    async def _get_configuration(self, responder: Responder) -> None:
        content = await self._service.get_configuration()
        if content is None:
            raise RequestError(
                "no_configuration", 404, "no configuration has been stored yet"
            )
        await responder.respond(200, content)


def _create_record(endpoint: str, body: HeartbeatBody) -> EndpointRecord:
    return EndpointRecord(
        endpoint,
        body.incarnation,
        body.sequence,
        body.service,
        body.region,
        body.failure_domain,
        body.address,
        body.slots,
        EndpointState.DRAINING if body.draining else EndpointState.READY,
        body.cold_s,
        body.leaves_in_s,
        body.version,
    )


async def _acknowledge(accepted: bool, responder: Responder) -> None:
    if not accepted:
        raise RequestError(
            "unavailable",
            503,
            "the report did not reach enough coordinators",
            retry_after_s=RETRY_AFTER_S,
        )
    await responder.respond_json(200, {})


def classify_body(method: str, path: str) -> BodyKind:
    """Return what the body of a request to the API may be."""
    match (method, *path.strip("/").split("/")):
        case ("PUT", "v1", "configuration"):
            return BodyKind.CONFIGURATION
        case ("PUT" | "DELETE", "v1", "evacuations", _):
            return BodyKind.COMMAND
        case ("GET", *_):
            return BodyKind.NONE
        case _:
            return BodyKind.REPORT


def create_default_handlers(
    service: CoordinatorService, lifetime_s: float
) -> tuple[Handler, Handler]:
    """Return the HTTP handlers of the API and of the directory.

    Parameters
    ----------
    service : CoordinatorService
        Service of this coordinator.
    lifetime_s : float
        Seconds for which callers may cache a directory response.
    """
    api = CoordinatorApi(service, lifetime_s)
    return api.handle, api.handle_directory
