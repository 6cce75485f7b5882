"""Route configuration: typed models, validation and longest-prefix lookup.

An operator outside the system submits each configuration as a whole, and the higher
version replaces the lower one. The submitted text is stored unchanged; a
`ConfigurationCodec` decodes it into these models.
"""

import enum
import hashlib
import re
from dataclasses import dataclass, field
from typing import Protocol

from buckthorndeal._configuration_numbers import check_counts, check_durations
from buckthorndeal._workspace_checks import check_workspaces
from buckthorndeal.errors import ConfigurationError
from buckthorndeal.workspaces import Workspace, create_workspace_table

__all__ = [
    "CallerLimits",
    "Configuration",
    "ConfigurationCodec",
    "ConfigurationError",
    "EngineDescription",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServiceDescription",
    "WeightedService",
    "check_configuration",
    "check_nesting",
    "choose_service",
    "create_route_table",
]

HASH_BYTES = 8
MAX_NESTING = 64
# The replicated log and the messages between hosts hold 64 bits.
MAX_VERSION = 2**63 - 1
# A string or a comment is taken at once, also one that does not end.
_NESTING = re.compile(
    rb'"(?:[^"\\]++|\\.)*+"?|//[^\n]*+|/\*.*?(?:\*/|\Z)|[\[\]{}]', re.DOTALL
)
HASH_RANGE = 1 << (8 * HASH_BYTES)


class RequestKind(enum.Enum):
    """How a request may be retried.

    An idempotent request may run more than once, a non-idempotent one at most once.
    A stream may be retried only if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its relative weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests to one host name and path prefix are handled.

    Parameters
    ----------
    host : str
        Host name without a port, in lower case.
    path_prefix : str
        Begins and ends with a slash.
    kind : RequestKind
        How the requests may be retried.
    timeout_s : float
        Maximum time until the response is complete.
    latency_objective_s : float
        Target time to the response, or to the first event of a stream.
    priority : int
        0 is the most urgent.
    services : tuple of WeightedService
        Services that share the requests.
    max_attempts : int
        Maximum number of endpoints that one request may run at.
    resumable : bool
        Whether a stream may be resumed at another endpoint.
    max_pause_s : float
        Target for the longest pause between events of a stream.
    home_regions : frozenset of str
        Regions that may process the requests; empty for all regions.
    allows_anonymous : bool
        Whether callers need no key, although the configuration has workspaces.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    latency_objective_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int = 1
    resumable: bool = False
    max_pause_s: float = 0.0
    home_regions: frozenset[str] = frozenset()
    allows_anonymous: bool = False

    def allows_service(self, service: str) -> bool:
        """Return whether requests of this route may go to a service."""
        return any(
            each.service == service and each.weight > 0 for each in self.services
        )

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def may_run_in(self, region: str) -> bool:
        """Return whether requests of this route may be processed in `region`."""
        return not self.home_regions or region in self.home_regions


@dataclass(frozen=True, slots=True)
class EngineDescription:
    """Capacity of the inference engine at each endpoint of a service.

    Parameters
    ----------
    slots : int
        Requests that one endpoint runs concurrently.
    kv_capacity_tokens : int
        Tokens that fit into one endpoint's KV cache.
    """

    slots: int
    kv_capacity_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceDescription:
    """A service and the capacity of its endpoints.

    Parameters
    ----------
    name : str
        Name that routes use.
    health_path : str
        HTTP path of the endpoints' health check.
    max_connections : int
        Connections that one endpoint accepts from all callers together.
    cold_start_s : float
        Expected time for which an endpoint is cold after its start.
    cold_rate_per_s : float
        Maximum requests per second to a cold endpoint; 0 for no limit.
    engine : EngineDescription or None
        None for a service without an inference engine.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0
    engine: EngineDescription | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of callers' connections and requests; sizes in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the routes, services, limits and workspaces.

    Without workspaces, callers need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceDescription, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[Workspace, ...] = ()


class ConfigurationCodec(Protocol):
    """Decodes the text format that the operator uses."""

    def decode(self, content: bytes) -> Configuration:
        """Return a validated configuration; raise `ConfigurationError`."""


def check_configuration(configuration: Configuration) -> None:
    """Check the routes and the workspaces of a configuration.

    Raises
    ------
    ConfigurationError
        If a route names an unknown service, has the same host name and path prefix
        as another route, a path prefix that does not begin and end with a slash, a
        negative weight or none above 0, or a timeout that is not positive; or if a
        number is infinite or out of bounds; or if a workspace is invalid, see
        `check_workspaces`.
    """
    _check_numbers(configuration)
    check_workspaces(configuration.workspaces)
    service_names = {service.name for service in configuration.services}
    seen: set[tuple[str, str]] = set()
    for route in configuration.routes:
        _check_route(route, service_names)
        key = (route.host, route.path_prefix)
        if key in seen:
            raise ConfigurationError(
                route.name,
                f"another route has host {route.host!r} "
                f"and path prefix {route.path_prefix!r}",
            )
        seen.add(key)


def _check_numbers(configuration: Configuration) -> None:
    if not 0 <= configuration.version <= MAX_VERSION:
        raise ConfigurationError("version", f"not from 0 to {MAX_VERSION}")
    limits = configuration.limits
    check_counts("limits", limits.max_header_bytes, limits.max_body_bytes)
    check_durations("limits", limits.header_timeout_s, limits.idle_timeout_s)
    for route in configuration.routes:
        check_counts(route.name, route.priority, route.max_attempts)
        check_counts(route.name, *(target.weight for target in route.services))
        check_durations(
            route.name, route.timeout_s, route.latency_objective_s, route.max_pause_s
        )
    for service in configuration.services:
        check_counts(service.name, service.max_connections, service.cold_rate_per_s)
        check_durations(service.name, service.cold_start_s)
        if service.engine is not None:
            engine = service.engine
            check_counts(service.name, engine.slots, engine.kv_capacity_tokens)


def _check_route(route: Route, service_names: set[str]) -> None:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ConfigurationError(
            route.name, f"path prefix {prefix!r} does not begin and end with a slash"
        )
    if route.timeout_s <= 0:
        raise ConfigurationError(route.name, "the timeout is not positive")
    for target in route.services:
        if target.service not in service_names:
            raise ConfigurationError(route.name, f"unknown service {target.service}")
        if target.weight < 0:
            raise ConfigurationError(
                route.name, f"the weight of service {target.service} is negative"
            )
    if sum(target.weight for target in route.services) <= 0:
        raise ConfigurationError(route.name, "no service has a positive weight")


def check_nesting(content: bytes) -> None:
    """Check that every task can decode a JSON document, whatever its stack.

    Raises
    ------
    ConfigurationError
        If it is nested more than `MAX_NESTING` deep.
    """
    depth = 0
    for match in _NESTING.finditer(content):
        if match[0] in (b"[", b"{"):
            depth += 1
        elif match[0] in (b"]", b"}"):
            depth -= 1
        if depth > MAX_NESTING:
            raise ConfigurationError("$", f"nested more than {MAX_NESTING} deep")


class RouteTable:
    """Finds the route of a request by its host name and path.

    Parameters
    ----------
    configuration : Configuration
        Valid configuration.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services = {each.name: each for each in configuration.services}
        self.workspaces = create_workspace_table(configuration.workspaces)
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Value of the Host header, with or without a port.
        path : str
            Path of the request, without the query.
        """
        prefixes = self._routes_by_host.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: Route, request_id: str) -> str:
    """Choose a service for a request by the weights of its route.

    The choice depends only on a hash of the request id, so that every host makes the
    same one.
    """
    if len(route.services) == 1:
        return route.services[0].service
    digest = hashlib.blake2b(request_id.encode(), digest_size=HASH_BYTES).digest()
    total = sum(target.weight for target in route.services)
    point = int.from_bytes(digest, "big") / HASH_RANGE * total
    for target in route.services:
        point -= target.weight
        if point < 0:
            return target.service
    return max(route.services, key=lambda target: target.weight).service


def create_route_table(configuration: Configuration) -> RouteTable:
    """Create the route table of a configuration."""
    return RouteTable(configuration)
