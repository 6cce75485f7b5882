"""Messages to the dispatch task about endpoints, entry hosts and regions."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Self

from buckthorndeal.fleet import (
    EndpointRecord,
    ServiceLoad,
    ServiceVersion,
    TakenBackDomain,
)
from buckthorndeal.gateway.dialect import HealthMetadata


@dataclass(frozen=True, slots=True)
class HeartbeatsReceived:
    """Notification: a coordinator has relayed heartbeats of endpoints.

    Parameters
    ----------
    records : tuple of EndpointRecord
        New heartbeats.
    alive : tuple of str
        Endpoints whose last record still holds.
    versions : tuple of ServiceVersion
        Software versions of endpoints of all regions.
    """

    records: tuple[EndpointRecord, ...]
    alive: tuple[str, ...] = ()
    versions: tuple[ServiceVersion, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointLeft:
    """Request: an endpoint has left; None for any incarnation of it."""

    endpoint: str
    incarnation: int | None


@dataclass(frozen=True, slots=True)
class EndpointProbed:
    """Notification: whether an endpoint has accepted a connection."""

    record: EndpointRecord
    accepted: bool


@dataclass(frozen=True, slots=True)
class PathProbed:
    """Notification: whether an endpoint has accepted a connection of a path check."""

    record: EndpointRecord
    accepted: bool


@dataclass(frozen=True, slots=True)
class ColdCheck:
    """A health check of an endpoint that may be cold.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    path : str
        Path of the health check.
    max_connections : int
        Connections that this host may open to the endpoint.
    doubted_s : float
        Clock reading since which the endpoint may be cold.
    max_cold_s : float
        How long an endpoint of the service is cold.
    """

    record: EndpointRecord
    path: str
    max_connections: int
    doubted_s: float
    max_cold_s: float


@dataclass(frozen=True, slots=True)
class ColdCheckEnded:
    """Notification: answer to a health check; None if there was none in time."""

    check: ColdCheck
    answer: HealthMetadata | None


@dataclass(frozen=True, slots=True)
class RelayUnreachable:
    """Notification: an entry host of this region has accepted no connection."""

    host: str


@dataclass(frozen=True, slots=True)
class SpareCapacity:
    """What a region can do for others until the next report.

    Parameters
    ----------
    requests : int
        Requests that its endpoints take well.
    tokens : int
        Prompt tokens that they prefill without a long wait.
    """

    requests: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Borrower:
    """A host of another region that asks for a part of what this region lends.

    Parameters
    ----------
    region : str
        Its region.
    hosts : int
        Hosts of that region, which divide the part of the region.
    wanted : dict of str to int
        What the host wants, by service; see `ServiceLoad`.
    """

    region: str
    hosts: int
    wanted: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RegionUpdate:
    """Notification: load of another region.

    Parameters
    ----------
    host : str or None
        Entry host that reported it; None if no entry host of the region is reachable.
    waits_s : dict of str to float
        Expected wait of one more request in seconds, by service.
    free_slots : dict of str to int
        Requests that the region can take, by service.
    versions : dict of str to tuple of str
        Software versions that serve there, by service.
    lent : dict of str to SpareCapacity
        What this host may send there until the next report, by service; a service is
        missing if the region does not divide what it lends.
    """

    region: str
    host: str | None
    waits_s: dict[str, float] = field(default_factory=dict)
    free_slots: dict[str, int] = field(default_factory=dict)
    versions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    lent: dict[str, SpareCapacity] = field(default_factory=dict)

    @classmethod
    def create(cls, region: str, host: str, loads: Iterable[ServiceLoad]) -> Self:
        """Return the update for a report of a host."""
        loads = tuple(loads)
        return cls(
            region,
            host,
            {each.service: each.wait_s for each in loads},
            {each.service: each.free for each in loads},
            {each.service: each.versions for each in loads},
            {
                each.service: SpareCapacity(each.lent_requests, each.lent_tokens)
                for each in loads
                if each.lent_requests >= 0
            },
        )


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """Notification: entry hosts or evacuated failure domains have changed.

    Parameters
    ----------
    region_hosts : tuple of str
        Entry hosts of this region that share its endpoints: ready ones, and this host
        unless it drains beside them.
    total_hosts : int
        Number of entry hosts of all regions.
    evacuated : frozenset of str
        Evacuated failure domains.
    ready_hosts : tuple of str
        Ready entry hosts of all regions; none while this host is cut off.
    relay_hosts : tuple of str
        Other ready entry hosts of this region that reach its endpoints.
    cut_off_hosts : tuple of str
        Other entry hosts of all regions that reach no endpoints of theirs.
    is_confirmed : bool
        Whether this host has ever known all entry hosts.
    taken_back : frozenset of TakenBackDomain
        Failure domains whose evacuations this host may not have known; see
        `NotedEvacuations`.
    """

    region_hosts: tuple[str, ...]
    total_hosts: int
    evacuated: frozenset[str]
    ready_hosts: tuple[str, ...] = ()
    relay_hosts: tuple[str, ...] = ()
    is_confirmed: bool = True
    cut_off_hosts: tuple[str, ...] = ()
    taken_back: frozenset[TakenBackDomain] = frozenset()


@dataclass(frozen=True, slots=True)
class DescribeRegionLoad:
    """Query: `ServiceLoad` of each service of this region, for other regions.

    Parameters
    ----------
    borrower : Borrower or None
        Host of another region that is told its part of what this region lends; None
        for this host's own report, which tells what it wants.
    """

    borrower: Borrower | None = None
