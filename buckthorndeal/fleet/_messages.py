"""Messages between control hosts and entry hosts about the fleet."""

import enum

import msgspec

from buckthorndeal.consensus import (
    ConsensusFrame,
    DescribeReplica,
    ReplicaDescription,
)
from buckthorndeal.wire import Message, create_codec


class EndpointState(enum.Enum):
    """Life cycle of an endpoint, as its heartbeats tell it."""

    READY = "r"
    DRAINING = "d"
    LEFT = "l"


class EntryState(enum.Enum):
    """Whether an entry host takes new callers.

    A draining host still serves those that come; a closing one ends.
    """

    READY = "r"
    DRAINING = "d"
    CLOSING = "c"


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one heartbeat says of an endpoint.

    Parameters
    ----------
    endpoint : str
        Id, which a restarted endpoint may keep.
    incarnation : int
        Start of the process in Unix milliseconds.
    sequence : int
        Number of the heartbeat within the incarnation.
    address : str
        ``IP:port``.
    slots : int
        Requests that run at once.
    cold_s : float
        Time for which the endpoint stays cold, from the heartbeat on.
    leaves_in_s : float or None
        Time until the endpoint is taken away, if it is told.
    """

    endpoint: str
    incarnation: int
    sequence: int
    service: str
    region: str
    failure_domain: str
    address: str
    slots: int
    state: EndpointState
    cold_s: float = 0.0
    leaves_in_s: float | None = None


class EntryHost(msgspec.Struct, frozen=True, array_like=True):
    """An entry host: where callers and other entry hosts reach it."""

    host: str
    region: str
    failure_domain: str
    caller_address: str
    state: EntryState


class ControlHost(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A control host and the address of its interface for endpoints."""

    host: str
    region: str
    failure_domain: str
    api_address: str


class EntryStatus(Message, tag="es"):
    """Heartbeat of an entry host to a control host."""

    entry: EntryHost
    index: int
    version: int | None


class EntryHosts(Message, tag="eh"):
    """All entry hosts that a control host knows to be alive."""

    entries: tuple[EntryHost, ...]


class ControlStatus(Message, tag="cs"):
    """Heartbeat between control hosts; also tells entry hosts of them."""

    hosts: tuple[ControlHost, ...]


class ClusterNotice(Message, tag="cn"):
    """State of the replicated log at `index` that entry hosts act on."""

    index: int
    version: int | None
    evacuated: tuple[str, ...]


class EndpointHeartbeats(Message, tag="en"):
    """Heartbeats that a control host has received; `alive` repeats known ones.

    `alive` names endpoints whose last record still holds, to save bytes.
    """

    records: tuple[EndpointRecord, ...]
    alive: tuple[str, ...] = ()


class RelayEndpoint(Message, tag="re"):
    """Call: pass a record that must reach every entry host of its region."""

    record: EndpointRecord


class Acknowledged(Message, tag="ok"):
    """Reply: the message was received and handled."""


class FetchConfiguration(Message, tag="fc"):
    """Call: content of the configuration, of `version` or newer."""

    version: int


class ConfigurationContent(Message, tag="cc"):
    """Reply: compressed configuration; `version` is None if there is none."""

    version: int | None
    content: bytes


class ProposeConfiguration(Message, tag="pc"):
    """Call to the leader: put a validated configuration in force."""

    version: int
    content: bytes


class ConfigurationReply(Message, tag="cr"):
    """Reply: version in force after the proposal was committed."""

    version: int


class ProposeEvacuation(Message, tag="pe"):
    """Call to the leader: start or end an evacuation."""

    failure_domain: str
    active: bool


class EvacuationReply(Message, tag="er"):
    """Reply: the change of the evacuation is committed."""


class LeaveCluster(Message, tag="lc"):
    """Call to the leader: the sender stops and gives its vote back."""

    host: str


class ReadCommittedConfiguration(Message, tag="rc"):
    """Call to the leader: read the newest committed configuration."""


class Unavailable(Message, tag="un"):
    """Reply: the call cannot be answered now."""

    reason: str


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one service in a region.

    Parameters
    ----------
    wait_s : float
        Expected wait of one more request at the best endpoint.
    free : int
        Requests that the region takes from others until the next message.
    """

    service: str
    wait_s: float
    free: int


class RegionLoad(Message, tag="rl"):
    """Load of a region, sent between entry hosts of different regions."""

    region: str
    services: tuple[ServiceLoad, ...]


FLEET_CODEC = create_codec(
    (
        ConsensusFrame,
        DescribeReplica,
        ReplicaDescription,
        EntryStatus,
        EntryHosts,
        ControlStatus,
        ClusterNotice,
        EndpointHeartbeats,
        RelayEndpoint,
        Acknowledged,
        FetchConfiguration,
        ConfigurationContent,
        ProposeConfiguration,
        ConfigurationReply,
        ProposeEvacuation,
        EvacuationReply,
        LeaveCluster,
        ReadCommittedConfiguration,
        Unavailable,
        RegionLoad,
    )
)
