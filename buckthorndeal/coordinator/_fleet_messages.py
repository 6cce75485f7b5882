"""Messages to the owner task of the soft state."""

from collections.abc import Mapping
from dataclasses import dataclass

from buckthorndeal.coordinator._requests import ClusterState
from buckthorndeal.fleet import ControlStatus, EndpointRecord, EntryStatus
from buckthorndeal.peers import Channel


@dataclass(frozen=True)
class HeartbeatReceived:
    """Ask: a heartbeat of an endpoint; True once it may be acknowledged."""

    record: EndpointRecord


@dataclass(frozen=True)
class LeaveReceived:
    """Ask: an endpoint leaves; True once it may be acknowledged."""

    endpoint: str
    incarnation: int | None


@dataclass(frozen=True)
class RecordRelayed:
    """Ask: take a record that another coordinator received."""

    record: EndpointRecord


@dataclass(frozen=True)
class EntryHeard:
    """Notice: heartbeat of an entry host."""

    channel: Channel
    status: EntryStatus


@dataclass(frozen=True)
class ControlHeard:
    """Notice: heartbeat of another coordinator."""

    host: str
    status: ControlStatus


@dataclass(frozen=True)
class ClusterChanged:
    """Notice: the replicated state has changed."""

    state: ClusterState


@dataclass(frozen=True)
class ChooseEntryHosts:
    """Ask: entry hosts for a caller of a host name."""

    name: str
    region: str
    failure_domain: str


@dataclass(frozen=True)
class HomesChanged:
    """Notice: for each host name, how many routes have a region as a home."""

    homes: Mapping[str, Mapping[str, int]]


@dataclass(frozen=True)
class ChooseRegistrar:
    """Ask: API address of the coordinator nearest to an endpoint, or None."""

    region: str
    failure_domain: str
