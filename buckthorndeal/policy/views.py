"""Data classes shared by the registry, routing and the entry host."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "AttemptOutcome",
    "AttemptResult",
    "Decision",
    "EndpointView",
    "RegionView",
    "RouteRequest",
]


@dataclass(slots=True)
class EndpointView:
    """What an entry host knows of one endpoint.

    Parameters
    ----------
    name : str
        Endpoint name, unique in the deployment.
    incarnation : int
        Rises each time the endpoint process starts.
    model_slots : int
        Models that fit at once.
    slots : int
        Requests that the endpoint runs at once.
    running, queued : int
        Load of the last report.
    load_age_s : float
        Age of the last report in seconds.
    own_inflight : int
        Requests of this host that are at the endpoint now.
    own_since_report : int
        Requests that this host sent since the last report, less those of its
        requests that ended since; may be negative.
    ready_since_s : float
        Monotonic time of the announcement in seconds.
    state : str
        State of the endpoint chart.
    """

    name: str
    incarnation: int
    service: str
    region: str
    failure_domain: str
    address: str
    port: int
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    role: str = "serve"
    checks_fencing: bool = False
    model_slots: int = 1
    slots: int = 1
    running: int = 0
    queued: int = 0
    load_age_s: float = 0.0
    own_inflight: int = 0
    own_since_report: int = 0
    ready_since_s: float = 0.0
    state: str = "ready"


@dataclass(slots=True)
class RegionView:
    """What an entry host knows of another region.

    Parameters
    ----------
    region : str
        Region name.
    credits : int
        Unused spill credits granted by the region.
    wait_s : float
        Queueing delay that the region reports, in seconds.
    link_delay_s : float
        One-way delay of the link, in seconds.
    """

    region: str
    credits: int
    wait_s: float
    link_delay_s: float


@dataclass(slots=True)
class RouteRequest:
    """A request for a route.

    Parameters
    ----------
    prefix_hashes : tuple of int
        Hashes of the prompt's block-aligned prefixes, shortest first.
    prompt_tokens : int
        Length of the prompt in tokens.
    deadline_s : float
        Monotonic time of the deadline in seconds.
    bound : bool
        Whether the data must stay in `home_region`.
    hops : tuple of str
        Hosts passed, the first one being the host that the caller chose.
    crossed_region : bool
        Whether the request has already moved to another region.
    excluded : frozenset of str
        Endpoints that failed this request before.
    """

    request_id: str
    workspace: str
    service: str
    model: str | None
    deadline_s: float
    home_region: str
    bound: bool = False
    idempotent: bool = True
    prefix_hashes: tuple[int, ...] = ()
    prompt_tokens: int = 0
    priority: int = 5
    hops: tuple[str, ...] = ()
    crossed_region: bool = False
    excluded: frozenset[str] = frozenset()


@dataclass(slots=True)
class Decision:
    """A route decision; a refusal has neither endpoint nor region.

    Parameters
    ----------
    endpoint : EndpointView or None
        Local endpoint to use.
    region : str or None
        Region to forward to.
    scores : dict of str to float
        Score of each candidate in seconds; lower is better.
    reason : str
        Why it was chosen or refused.
    retry_after_s : float or None
        For a refusal, when to come back.
    """

    endpoint: EndpointView | None
    region: str | None
    scores: dict[str, float] = field(default_factory=dict)
    reason: str = ""
    retry_after_s: float | None = None


class AttemptOutcome(enum.Enum):
    """How one attempt at an endpoint ended."""

    SUCCEEDED = "succeeded"
    REFUSED = "refused"
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class AttemptResult:
    """The end of one attempt at an endpoint.

    Parameters
    ----------
    first_token_s : float or None
        Time to the first byte of the answer, in seconds.
    total_s : float
        Time to the end of the attempt, in seconds.
    """

    endpoint: str
    incarnation: int
    service: str
    outcome: AttemptOutcome
    total_s: float
    first_token_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    cached_tokens: int | None = None
