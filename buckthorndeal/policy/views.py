"""Data classes of endpoints, regions, requests and route decisions."""

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
    """State of an endpoint as known to an entry host.

    Parameters
    ----------
    name : str
        Endpoint name, unique in the deployment.
    incarnation : int
        Increases each time the endpoint process starts.
    checks_fencing : bool
        Whether the endpoint refuses orders with an old fencing token.
    model_slots : int
        Number of models that can be loaded at once.
    slots : int
        Number of requests that the endpoint runs at once.
    running, queued : int
        Running and queued requests in the last load report.
    load_age_s : float
        Age of the last load report in seconds.
    own_inflight : int
        Requests of this host in flight at the endpoint.
    own_since_report : int
        Requests that this host has sent since the last load report, minus those
        of its requests that have ended since; may be negative.
    ready_since_s : float
        Monotonic time of the endpoint's announcement in seconds.
    state : str
        State in the endpoint state chart.
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
    """State of another region as known to an entry host.

    Parameters
    ----------
    region : str
        Region name.
    credits : int
        Unused spill credits granted by the region.
    wait_s : float
        Queueing delay reported by the region, in seconds.
    link_delay_s : float
        One-way delay of the link, in seconds.
    """

    region: str
    credits: int
    wait_s: float
    link_delay_s: float


@dataclass(slots=True)
class RouteRequest:
    """Properties of a request that decide its route.

    Parameters
    ----------
    model : str or None
        Model that the request needs; None for any endpoint of the service.
    idempotent : bool
        Whether the request may be sent again after a failure.
    prefix_hashes : tuple of int
        Hashes of the prompt's block-aligned prefixes, shortest first.
    prompt_tokens : int
        Length of the prompt in tokens.
    deadline_s : float
        Monotonic time of the deadline in seconds.
    bound : bool
        Whether the data must stay in `home_region`.
    hops : tuple of str
        Hosts that the request has passed; the first is the one that the caller
        connected to.
    crossed_region : bool
        Whether the request has already been forwarded to another region.
    excluded : frozenset of str
        Endpoints at which an earlier attempt of this request failed.
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
        Region to forward the request to.
    scores : dict of str to float
        Score of each compared candidate in weighted seconds; lower is better.
    reason : str
        Code of the reason for the choice or the refusal.
    retry_after_s : float or None
        For a refusal, seconds after which the caller may retry.
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
    """Result of one attempt at an endpoint.

    Parameters
    ----------
    total_s : float
        Time to the end of the attempt, in seconds.
    first_token_s : float or None
        Time to the first byte of the response, in seconds.
    cached_tokens : int or None
        Prompt tokens that the endpoint found in its prefix cache; None if it
        reported no number.
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
