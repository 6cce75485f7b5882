"""Messages to the task that owns the soft state of the fleet."""

from collections.abc import Mapping
from dataclasses import dataclass

from buckthorndeal.coordinator._requests import ClusterState
from buckthorndeal.fleet import (
    ControlStatus,
    EndpointRecord,
    EntryStatus,
)
from buckthorndeal.peers import Channel


@dataclass(frozen=True)
class HeartbeatReceived:
    """Request: merge an endpoint's heartbeat; replies whether to acknowledge it."""

    record: EndpointRecord


@dataclass(frozen=True)
class LeaveReceived:
    """Request: mark an endpoint as left; replies whether to acknowledge it."""

    endpoint: str
    incarnation: int | None


@dataclass(frozen=True)
class RelayedRecordReceived:
    """Request: merge an endpoint record that another coordinator relayed."""

    record: EndpointRecord


@dataclass(frozen=True)
class RelayedLeaveReceived:
    """Request: mark an endpoint as left of which another coordinator has no record."""

    endpoint: str
    incarnation: int | None


@dataclass(frozen=True)
class EntryStatusReceived:
    """Notification: an entry host sent a heartbeat."""

    channel: Channel
    status: EntryStatus


@dataclass(frozen=True)
class ControlStatusReceived:
    """Notification: another coordinator sent a heartbeat."""

    host: str
    status: ControlStatus


@dataclass(frozen=True)
class ClusterStateChanged:
    """Notification: the replicated state has changed."""

    state: ClusterState


@dataclass(frozen=True)
class ChooseEntryHosts:
    """Request: entry hosts for a caller of the host name `name`."""

    name: str
    region: str
    failure_domain: str


@dataclass(frozen=True)
class HomeRegionsChanged:
    """Notification: number of routes per host name and home region has changed."""

    home_counts: Mapping[str, Mapping[str, int]]


@dataclass(frozen=True)
class ChooseRegistrar:
    """Request: API address of the coordinator for an endpoint's heartbeats, or None."""

    region: str
    failure_domain: str
