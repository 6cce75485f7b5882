"""Messages to the dispatch task about endpoints, entry hosts and regions."""

from dataclasses import dataclass, field

from buckthorndeal.fleet import EndpointRecord, ServiceVersion


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
class RelayUnreachable:
    """Notification: an entry host of this region has accepted no connection."""

    host: str


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
    """

    region: str
    host: str | None
    waits_s: dict[str, float] = field(default_factory=dict)
    free_slots: dict[str, int] = field(default_factory=dict)
    versions: dict[str, tuple[str, ...]] = field(default_factory=dict)


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
    """

    region_hosts: tuple[str, ...]
    total_hosts: int
    evacuated: frozenset[str]
    ready_hosts: tuple[str, ...] = ()
    relay_hosts: tuple[str, ...] = ()
    is_confirmed: bool = True
    cut_off_hosts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DescribeRegionLoad:
    """Query: `ServiceLoad` of each service of this region, for other regions."""
