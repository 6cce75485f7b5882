"""Messages to the dispatch task about state that hosts share."""

from dataclasses import dataclass

from buckthorndeal.fleet import QuotaGrants, RateLimit, ServiceVersion
from buckthorndeal.quarantine import Evidence


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Notification: other hosts have evidence on requests that crash endpoints."""

    evidence: Evidence


@dataclass(frozen=True, slots=True)
class RateLimitsReceived:
    """Notification: other hosts have learned of rate limits of endpoints."""

    limits: tuple[RateLimit, ...]


@dataclass(frozen=True, slots=True)
class QuotaReplied:
    """Notification: reply of the leader on quotas, or None if there was none.

    Parameters
    ----------
    sequence : int
        Number of the request.
    """

    sequence: int
    reply: QuotaGrants | None


@dataclass(frozen=True, slots=True)
class FindStreamOrigin:
    """Query: `StreamOrigin` of a stream, or None if it is not known here.

    Parameters
    ----------
    service : str
        Service at which it has begun if no host has told its origin.
    resumes : str or None
        Id of the request that brought its first event.
    told : tuple of ServiceVersion or None
        Versions of which a majority of the coordinators has told since the request was
        received; None if it has not been asked.
    """

    service: str
    resumes: str | None
    told: tuple[ServiceVersion, ...] | None = None


@dataclass(frozen=True, slots=True)
class ListOpenOrigins:
    """Query: origins of the open streams of which other hosts may have to learn."""


@dataclass(frozen=True, slots=True)
class DescribeSharedState:
    """Query: messages with all that this host has to share with other hosts."""


@dataclass(frozen=True, slots=True)
class CoordinatorsReached:
    """Notification, repeated: whether a majority of the coordinators is reached.

    They are connected and have told this host all that they know.
    """

    majority: bool
