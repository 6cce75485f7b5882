"""Types that the tasks of a gateway exchange."""

import enum
from dataclasses import dataclass, field

from buckthorndeal.configuration import Route
from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.policy.views import AttemptOutcome


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    Parameters
    ----------
    key : str
        Identity of the part together with all parts before it.
    tokens : int
        Its length.
    """

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request asks of a model engine.

    Parameters
    ----------
    model : str
        Name of the model.
    tokens : int
        Length of the prompt.
    max_output_tokens : int
        Most tokens that may be generated.
    parts : tuple of PromptPart
        Parts in order; the last one belongs to the request or its session.
    """

    model: str
    tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_prefix_key(self) -> str | None:
        """Key of the longest leading text that other requests may share."""
        return self.parts[-2].key if len(self.parts) > 1 else None

    @property
    def shared_prefix_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])


@dataclass(slots=True)
class Call:
    """A caller's request, as far as decisions need it.

    Parameters
    ----------
    service : str
        Service chosen by the weights of the route.
    arrived_s, deadline_s : float
        Clock readings.
    resume_after : int or None
        Last event that the caller has received of a stream.
    hops : tuple of str
        Entry hosts that have passed the request on; empty at the first one.
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


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint tells in its answers."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class Grant:
    """Decision: send the request to an endpoint of this region.

    Parameters
    ----------
    cache_source : str or None
        Address of another endpoint, whose copy of the prompt's shared text this one
        may fetch.
    """

    record: EndpointRecord
    urgency: int
    predicted_s: float
    connection_limit: int
    heartbeat_age_s: float = 0.0
    cache_source: str | None = None


@dataclass(frozen=True, slots=True)
class Forward:
    """Decision: send the request to an entry host of another region."""

    region: str
    host: str
    predicted_s: float


class RefusalReason(enum.Enum):
    """Why a request cannot be served now."""

    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    RETRY_BUDGET = "retry_budget"
    HOME_UNREACHABLE = "home_unreachable"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Decision: refuse the request, which has not run in this attempt.

    Parameters
    ----------
    candidates : int
        Endpoints of this region that were considered.
    predicted_s : float or None
        Time to the answer at the best of them that had room.
    """

    reason: RefusalReason
    retry_after_s: float
    candidates: int = 0
    predicted_s: float | None = None


Decision = Grant | Forward | Refusal


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Ask: decide where one attempt of a request goes.

    Parameters
    ----------
    ticket : int
        Names the attempt on this host.
    repeat : bool
        Whether an earlier attempt of the request has reached an endpoint.
    excluded : frozenset of str
        Endpoints and regions that earlier attempts have tried in vain.
    avoided : frozenset of str
        Endpoints that answered with a failure; used if there is no other here.
    """

    attempt_id: int
    call: Call
    is_retry: bool = False
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """Notice: the answer to an attempt has begun."""

    attempt_id: int
    load: LoadReport | None


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Notice: an attempt has ended, or its request was withdrawn while it waited.

    Parameters
    ----------
    outcome : AttemptOutcome or None
        None for an attempt that was never granted.
    """

    attempt_id: int
    outcome: AttemptOutcome | None


@dataclass(frozen=True, slots=True)
class HeartbeatsReceived:
    """Notice: heartbeats passed on by a coordinator."""

    records: tuple[EndpointRecord, ...]
    alive: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RegionUpdate:
    """Notice: load of another region; None once no entry host of it is reached."""

    region: str
    host: str | None
    waits_s: dict[str, float] = field(default_factory=dict)
    free_slots: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """Notice: entry hosts and evacuated failure domains."""

    region_hosts: tuple[str, ...]
    total_hosts: int
    evacuated: frozenset[str]


@dataclass(frozen=True, slots=True)
class DescribeRegionLoad:
    """Ask: load of this region's services, for other regions."""
