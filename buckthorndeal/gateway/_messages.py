"""Messages between the tasks of a gateway, and the types they carry."""

import enum
from dataclasses import dataclass

from buckthorndeal.configuration import Route
from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.gateway._prompts import Prompt
from buckthorndeal.policy.views import AttemptOutcome
from buckthorndeal.quarantine import RequestContent
from buckthorndeal.workspaces import QuotaUnit, Workspace


@dataclass(slots=True)
class Call:
    """Properties of a request that the dispatcher needs.

    Parameters
    ----------
    service : str
        Service chosen by the weights of the route.
    arrived_s, deadline_s : float
        Clock readings at arrival and at the deadline.
    resume_after : int or None
        Id of the last event of the stream that the caller has received.
    resumes : str or None
        Id of the request that brought the first event of that stream.
    hops : tuple of str
        Entry hosts that have forwarded the request; empty at the first one.
    crossed : bool
        Whether the request has crossed a region boundary.
    content : RequestContent or None
        What stays the same when the request comes again, if it is known.
    version : str or None
        Software version at which a stream has to continue; None if it has not begun.
    workspace : Workspace or None
        Workspace of the caller; None if the caller is anonymous.
    tokens : int or None
        Tokens that the request names, with or without a prompt.
    """

    request_id: str
    route: Route
    service: str
    arrived_s: float
    deadline_s: float
    prompt: Prompt | None = None
    resume_after: int | None = None
    hops: tuple[str, ...] = ()
    crossed: bool = False
    content: RequestContent | None = None
    resumes: str | None = None
    version: str | None = None
    workspace: Workspace | None = None
    tokens: int | None = None

    @property
    def priority(self) -> int:
        """Priority of the workspace, or else of the route; 0 is the most urgent."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def quota_units(self) -> int:
        """Units that the request takes of the quota of its workspace."""
        if self.workspace is None or self.workspace.unit is QuotaUnit.REQUESTS:
            return 1
        if self.tokens is not None:
            return self.tokens
        if self.prompt is None:
            return self.workspace.default_tokens
        return self.prompt.tokens + self.prompt.max_output_tokens

    def may_run_in(self, region: str) -> bool:
        """Return whether both the route and the workspace allow a region."""
        if self.workspace is not None and not self.workspace.may_run_in(region):
            return False
        return self.route.may_run_in(region)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reports in its responses.

    Parameters
    ----------
    running, waiting : int
        Requests that run and that wait for a slot.
    slots : int
        Requests that the endpoint runs at once.
    slowdown : float or None
        Time that work takes on its machine at this moment, as a multiple of the usual;
        None if the endpoint does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class Grant:
    """Decision: send the request to an endpoint of this region.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.
    urgency : int or None
        Priority at the endpoint, 0 for the most urgent; None if requests are equal.
    predicted_s : float
        Predicted time until the response starts.
    connection_limit : int
        Largest number of connections that this host opens to the endpoint.
    heartbeat_age_s : float
        Time since the last heartbeat.
    cache_source : str or None
        Address of another endpoint from which this one may fetch the cached shared
        prefix of the prompt.
    rate_limit : float or None
        Rate limit of the endpoint that is known, in requests per second.
    rejection_limit : float or None
        Number of requests per second that it is known to turn away before it fails.
    version : str or None
        Software version of the endpoint; None if it may have changed since its last
        heartbeat.
    cold_s : float
        Time for which the endpoint is known to be cold.
    """

    record: EndpointRecord
    urgency: int | None
    predicted_s: float
    connection_limit: int
    heartbeat_age_s: float = 0.0
    cache_source: str | None = None
    rate_limit: float | None = None
    rejection_limit: float | None = None
    version: str | None = None
    cold_s: float = 0.0


class MoveReason(enum.Enum):
    """Why a request is sent to another region."""

    # Home regions do not include this one.
    HOME = "home"
    # No endpoint of this region can be reached.
    UNREACHABLE = "unreachable"
    # No endpoint of this region has room.
    NO_ROOM = "no_room"
    # The other region responds clearly sooner.
    FASTER = "faster"


@dataclass(frozen=True, slots=True)
class Forward:
    """Decision: send the request to another entry host.

    Parameters
    ----------
    region : str
        Region of that host.
    host : str
        The host.
    predicted_s : float
        Predicted time until the response starts.
    is_relay : bool
        Whether it belongs to this region and uses the endpoints in this host's place.
    reason : MoveReason or None
        Why the request leaves this region; None if it does not.
    """

    region: str
    host: str
    predicted_s: float
    is_relay: bool = False
    reason: MoveReason | None = None

    @property
    def target(self) -> str:
        """Name under which a failed attempt is excluded: the host, or its region."""
        return self.host if self.is_relay else self.region


class OverloadCause(enum.Enum):
    """What an overload lacked for a request."""

    # The response would begin after the objective, and others want the room.
    BACKLOG = "backlog"
    # The response would end after the deadline of the caller.
    DEADLINE = "deadline"
    # Too many requests wait already.
    QUEUE = "queue"
    # No room came in time.
    WAIT = "wait"
    # Its workspace or priority yields to others that want the room.
    YIELDS = "yields"
    # Other hosts have shares in the endpoints, and have passed it on.
    SHARE = "share"


class RefusalReason(enum.Enum):
    """Reason for which a request is refused."""

    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_PAUSED = "endpoints_paused"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    RETRY_BUDGET = "retry_budget"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    REQUEST_SUSPECT = "request_suspect"
    HOME_UNREACHABLE = "home_unreachable"
    VERSION_NOT_SERVED = "version_not_served"
    ENDPOINTS_UNREACHABLE = "endpoints_unreachable"
    QUOTA_EXCEEDED = "quota_exceeded"

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return 429 if self is RefusalReason.QUOTA_EXCEEDED else 503


@dataclass(frozen=True, slots=True)
class Refusal:
    """Decision: refuse the request, which has not run in this attempt.

    Parameters
    ----------
    candidates : int
        Number of endpoints of this region that were considered.
    predicted_s : float or None
        Predicted time until the response starts at the best of them with capacity.
    key : str or None
        Quarantined or suspect key of the request.
    cause : OverloadCause or None
        What was lacking, if the reason is an overload.
    """

    reason: RefusalReason
    retry_after_s: float
    candidates: int = 0
    predicted_s: float | None = None
    key: str | None = None
    cause: OverloadCause | None = None


Decision = Grant | Forward | Refusal


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Query: choose the target of one attempt of a request.

    Parameters
    ----------
    attempt_id : int
        Id of the attempt on this host.
    is_retry : bool
        Whether an earlier attempt has sent bytes of the request.
    excluded : frozenset of str
        Endpoints and regions at which earlier attempts have failed.
    avoided : frozenset of str
        Endpoints that responded with an error; used only if there is no other.
    """

    attempt_id: int
    call: Call
    is_retry: bool = False
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """Notification: the response to an attempt has started.

    Parameters
    ----------
    attempt_id : int
        Id of the attempt on this host.
    load : LoadReport or None
        Load of the endpoint, if it reports it.
    has_events : bool
        Whether it has brought an event of a stream.
    is_failure : bool
        Whether its status is an error, which says nothing about the endpoint's speed.
    load_age_s : float
        Time since the load was received.
    """

    attempt_id: int
    load: LoadReport | None
    has_events: bool = False
    is_failure: bool = False
    load_age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """Query: apply what an endpoint has announced in the headers of a response.

    The reply is the changed record if this host first learns that the endpoint
    leaves, and None otherwise.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint, in the incarnation to which the request was sent.
    leaving : bool
        Whether the endpoint is about to stop.
    pause_s : float or None
        Time in seconds for which it wants no requests from this host.
    load : LoadReport or None
        Load of an endpoint that has not run the request.
    rate_limit : float or None
        Requests per second that it takes from all hosts together.
    is_rate_known : bool
        Whether the response tells the limits, or that there are none.
    rejection_limit : float or None
        Requests per second that it can turn away before it fails.
    """

    record: EndpointRecord
    leaving: bool
    pause_s: float | None
    load: LoadReport | None = None
    rate_limit: float | None = None
    is_rate_known: bool = False
    rejection_limit: float | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Notification: an attempt has ended or was withdrawn while it waited.

    Parameters
    ----------
    outcome : AttemptOutcome or None
        None for an attempt that was never granted.
    closed : bool
        Whether the endpoint has closed the connection during the response, or as its
        end.
    was_sent : bool
        Whether bytes of the request have been sent.
    events : int
        Number of events of a stream that it has brought; 0 if the caller has held
        them up, so that they do not tell the endpoint's pace.
    not_run : bool
        Whether the request certainly has not run, although bytes have been sent.
    """

    attempt_id: int
    outcome: AttemptOutcome | None
    closed: bool = False
    was_sent: bool = True
    events: int = 0
    not_run: bool = False


@dataclass(frozen=True, slots=True)
class ExplainDecision:
    """Query: `Explanation` of where a request would go now.

    Parameters
    ----------
    call : Call
        The request, which is not sent.
    is_draining : bool
        Whether this host drains.
    """

    call: Call
    is_draining: bool = False
