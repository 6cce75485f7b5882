"""Route configuration: typed models, validation and longest-prefix lookup.

A configuration is written by an outside operator as a whole and ordered by its
version. It is stored as the operator wrote it; a `ConfigurationCodec` turns the
stored text into these models.
"""

import enum
import hashlib
from dataclasses import dataclass, field
from typing import Protocol

from buckthorndeal.errors import BuckthorndealError

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
    "choose_service",
    "create_route_table",
]

HASH_BYTES = 8
HASH_RANGE = 1 << (8 * HASH_BYTES)


class ConfigurationError(BuckthorndealError):
    """A configuration is malformed or contradicts itself.

    Parameters
    ----------
    path : str
        Where in the configuration.
    reason : str
        What is wrong there.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class RequestKind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host name and path prefix.

    Parameters
    ----------
    host : str
        Host name without a port, in lower case.
    path_prefix : str
        Begins and ends with a slash.
    timeout_s : float
        Longest time until the final answer.
    latency_objective_s : float
        Wanted time to the answer, or to the first event of a stream.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Most endpoints that one request may be sent to.
    resumable : bool
        Whether a stream may go on at another endpoint.
    max_pause_s : float
        Longest wanted pause between events of a stream.
    home_regions : frozenset of str
        Regions that may process the requests; empty for all.
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

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def may_run_in(self, region: str) -> bool:
        """Return whether the home regions allow `region`."""
        return not self.home_regions or region in self.home_regions


@dataclass(frozen=True, slots=True)
class EngineDescription:
    """Model engine behind a service.

    Parameters
    ----------
    slots : int
        Requests that one endpoint runs at once.
    kv_capacity_tokens : int
        Tokens that fit into one endpoint's memory.
    """

    slots: int
    kv_capacity_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceDescription:
    """A service and what its endpoints bear.

    Parameters
    ----------
    max_connections : int
        Connections that one endpoint accepts from all callers together.
    cold_rate_per_s : float
        Requests per second that a cold endpoint bears; 0 for no limit.
    engine : EngineDescription or None
        None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0
    engine: EngineDescription | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send; sizes in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Routes, services and limits of one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceDescription, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)


class ConfigurationCodec(Protocol):
    """Reads the operator's format."""

    def decode(self, content: bytes) -> Configuration:
        """Return a validated configuration; raise `ConfigurationError`."""


def check_configuration(configuration: Configuration) -> None:
    """Check what the parts of a configuration say about each other.

    Raises
    ------
    ConfigurationError
        If a route names an unknown service, shares its place with another route,
        has no positive weight or no time.
    """
    known = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    for route in configuration.routes:
        _check_route(route, known)
        place = (route.host, route.path_prefix)
        if place in places:
            raise ConfigurationError(route.name, "another route has this place")
        places.add(place)


def _check_route(route: Route, known: set[str]) -> None:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ConfigurationError(route.name, "the prefix has no slash at an end")
    if route.timeout_s <= 0:
        raise ConfigurationError(route.name, "the timeout is not positive")
    for target in route.services:
        if target.service not in known:
            raise ConfigurationError(route.name, f"unknown service {target.service}")
        if target.weight < 0:
            raise ConfigurationError(route.name, "a weight is negative")
    if sum(target.weight for target in route.services) <= 0:
        raise ConfigurationError(route.name, "the weights add up to nothing")


class RouteTable:
    """Routes by host name and path prefix.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services = {each.name: each for each in configuration.services}
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Host header, with or without a port.
        path : str
            Path without the query.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def choose_service(route: Route, request_id: str) -> str:
    """Return the service of a request, by the weights of its route.

    The choice is a hash of the request id, so that every host makes the same one.
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
    """Return the lookup table of a configuration."""
    return RouteTable(configuration)
