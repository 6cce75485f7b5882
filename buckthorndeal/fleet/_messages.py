"""Messages between coordinators and entry hosts about the state of the fleet."""

import enum

import msgspec

from buckthorndeal.consensus import (
    ConsensusFrame,
    DescribeReplica,
    ReplicaDescription,
)
from buckthorndeal.fleet._endpoint_record import EndpointRecord
from buckthorndeal.fleet._quota_messages import (
    QuotaGrants,
    QuotaRedirect,
    QuotaRequest,
)
from buckthorndeal.fleet._rate_limits import RateLimit
from buckthorndeal.fleet._stream_origins import StreamOrigin
from buckthorndeal.fleet._versions import ServiceVersion
from buckthorndeal.quarantine import Evidence
from buckthorndeal.wire import Message, create_codec


class EntryState(enum.Enum):
    """Life cycle of an entry host.

    A draining host still serves callers but is not offered to new ones; a closing host
    accepts no new requests.
    """

    READY = "r"
    DRAINING = "d"
    CLOSING = "c"


class EntryHost(msgspec.Struct, frozen=True, array_like=True):
    """An entry host with its location, address for callers and state.

    Parameters
    ----------
    reaches_endpoints : bool
        Whether it reaches the endpoints of its region itself.
    """

    host: str
    region: str
    failure_domain: str
    caller_address: str
    state: EntryState
    reaches_endpoints: bool = True


class ControlHost(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Host of a coordinator, with the address of its API for endpoints."""

    host: str
    region: str
    failure_domain: str
    api_address: str


class EntryStatus(Message, tag="es"):
    """Heartbeat of an entry host to a coordinator.

    Parameters
    ----------
    entry : EntryHost
        The sender.
    index : int
        Log index of the newest state that it has received.
    version : int or None
        Version of its active configuration; None before the first.
    """

    entry: EntryHost
    index: int
    version: int | None


class EntryHosts(Message, tag="eh"):
    """All entry hosts that a coordinator considers alive."""

    entries: tuple[EntryHost, ...]


class EntryHostChanges(Message, tag="ec"):
    """Changes since the last `EntryHosts` or `EntryHostChanges` of a connection.

    Parameters
    ----------
    changed : tuple of EntryHost
        Entry hosts that are new or whose record has changed.
    removed : tuple of str
        Entry hosts that are no longer alive.
    """

    changed: tuple[EntryHost, ...]
    removed: tuple[str, ...]


class ControlStatus(Message, tag="cs"):
    """Heartbeat between coordinators, which also announces them to entry hosts.

    Parameters
    ----------
    hosts : tuple of ControlHost
        Coordinators that are alive.
    versions : tuple of ServiceVersion
        Software versions of endpoints, between coordinators only.
    """

    hosts: tuple[ControlHost, ...]
    versions: tuple[ServiceVersion, ...] = ()


class TakenBackDomain(msgspec.Struct, frozen=True, array_like=True):
    """A failure domain whose evacuation had ended by a log index."""

    failure_domain: str
    index: int


class ClusterNotice(Message, tag="cn"):
    """Replicated state at log `index`: configuration version and evacuated domains.

    `pending` are domains whose evacuation the sender has stored, but does not know to
    be committed. `taken_back` are domains whose evacuation has ended lately.
    """

    index: int
    version: int | None
    evacuated: tuple[str, ...]
    pending: tuple[str, ...] = ()
    taken_back: tuple[TakenBackDomain, ...] = ()


class EndpointHeartbeats(Message, tag="en"):
    """Heartbeats that a coordinator has received.

    Parameters
    ----------
    records : tuple of EndpointRecord
        New or changed records.
    alive : tuple of str
        Endpoints whose last record still holds; sent by name to save bytes.
    versions : tuple of ServiceVersion
        Software versions of endpoints of all regions that are new or seen again.
    ends_initial_state : bool
        Whether the receiver has now been sent all that the coordinator knows.
    """

    records: tuple[EndpointRecord, ...]
    alive: tuple[str, ...] = ()
    versions: tuple[ServiceVersion, ...] = ()
    ends_initial_state: bool = False


class RelayEndpoint(Message, tag="re"):
    """Call: deliver a record that must reach every entry host of its region."""

    record: EndpointRecord


class RelayLeave(Message, tag="el"):
    """Call: an endpoint whose record the sender lacks has left.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    incarnation : int or None
        Incarnation that has left; None for any.
    """

    endpoint: str
    incarnation: int | None


class Acknowledged(Message, tag="ok"):
    """Reply: the message was received and handled."""


class EvidenceUpdate(Message, tag="ev"):
    """Call or notification: evidence on requests that crash endpoints."""

    evidence: Evidence


class RateLimitUpdate(Message, tag="ru"):
    """Call or notification: rate limits that endpoints name in their responses."""

    limits: tuple[RateLimit, ...]


class OriginUpdate(Message, tag="ou"):
    """Call: keep the origins of streams, for callers that take them up again."""

    origins: tuple[StreamOrigin, ...]


class FindOrigin(Message, tag="fo"):
    """Call: find the origin of a stream, and the versions that serve in its service."""

    stream: str
    service: str = ""


class OriginReply(Message, tag="or"):
    """Reply: origin of a stream, None if it is not known here.

    `versions` are those that serve in the service; None from older builds.
    """

    origin: StreamOrigin | None
    versions: tuple[ServiceVersion, ...] | None = None


class FetchConfiguration(Message, tag="fc"):
    """Call: fetch the configuration of `version` or a newer one."""

    version: int


class ConfigurationContent(Message, tag="cc"):
    """Reply: compressed configuration; `version` is None if there is none."""

    version: int | None
    content: bytes


class ProposeConfiguration(Message, tag="pc"):
    """Call to the leader: activate a validated configuration."""

    version: int
    content: bytes


class ConfigurationReply(Message, tag="cr"):
    """Reply: active version after the proposal was committed."""

    version: int


class ReadLogPosition(Message, tag="lq"):
    """Call to the leader: its term and the end of its log."""


class LogPosition(Message, tag="lp"):
    """Reply: term of the leader and last index of its log."""

    term: int
    index: int


class ProposeEvacuation(Message, tag="pe"):
    """Call to the leader: start or end an evacuation.

    It is refused if the leader has another term than `term`, or has got the opposite
    order on this failure domain after `index`. Senders of older builds leave both out.
    """

    failure_domain: str
    active: bool
    term: int | None = None
    index: int | None = None


class EvacuationReply(Message, tag="er"):
    """Reply: the change of the evacuation is committed."""


class LeaveCluster(Message, tag="lc"):
    """Call to the leader: remove the sender, which shuts down, from the voters."""

    host: str


class ReadCommittedConfiguration(Message, tag="rc"):
    """Call to the leader: read the newest committed configuration."""


class Unavailable(Message, tag="un"):
    """Reply: the call cannot be handled now."""

    reason: str


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one service in a region.

    Parameters
    ----------
    wait_s : float
        Predicted wait of one more request at the best endpoint.
    free : int
        Requests that the region accepts from other regions until the next report.
    versions : tuple of str
        Software versions that serve there.
    lent_requests : int
        Requests that the receiver may send until the next report; -1 if the region
        does not divide what it lends.
    lent_tokens : int
        Prompt tokens, to prefill, of these requests.
    wanted : int
        Prompt tokens that the sender would have liked to send to other regions since
        its last report.
    """

    service: str
    wait_s: float
    free: int
    versions: tuple[str, ...] = ()
    lent_requests: int = -1
    lent_tokens: int = 0
    wanted: int = 0


class RegionLoad(Message, tag="rl"):
    """Load report of a region, exchanged between entry hosts of different regions."""

    region: str
    services: tuple[ServiceLoad, ...]
    # Entry hosts of the region that share its endpoints; 0 from older builds.
    hosts: int = 0


FLEET_CODEC = create_codec(
    (
        ConsensusFrame,
        DescribeReplica,
        ReplicaDescription,
        EntryStatus,
        EntryHosts,
        EntryHostChanges,
        ControlStatus,
        ClusterNotice,
        EndpointHeartbeats,
        RelayEndpoint,
        RelayLeave,
        Acknowledged,
        FetchConfiguration,
        ConfigurationContent,
        ReadLogPosition,
        LogPosition,
        ProposeConfiguration,
        ConfigurationReply,
        ProposeEvacuation,
        EvacuationReply,
        LeaveCluster,
        ReadCommittedConfiguration,
        Unavailable,
        RegionLoad,
        EvidenceUpdate,
        RateLimitUpdate,
        OriginUpdate,
        FindOrigin,
        OriginReply,
        QuotaRequest,
        QuotaGrants,
        QuotaRedirect,
    )
)
