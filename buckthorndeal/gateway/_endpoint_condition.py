"""Conditions of endpoints, as a host sees them, and what follows for a service."""

import enum
from dataclasses import dataclass


class EndpointCondition(enum.Enum):
    """Condition that decides whether an endpoint gets new requests."""

    READY = "ready"
    COLD = "cold"
    SILENT = "silent"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    PAUSED = "paused"
    RATE_LIMITED = "rate_limited"


USABLE_CONDITIONS = (EndpointCondition.READY, EndpointCondition.COLD)


@dataclass(frozen=True, slots=True)
class ServiceState:
    """Metrics of one service on this host.

    Parameters
    ----------
    endpoints : dict of EndpointCondition to int
        Number of endpoints in each condition.
    waiting : int
        Requests that wait for free capacity.
    retries : int
        Retries in the window of the retry budget.
    retries_allowed : float
        Retries that this host may make in the window.
    """

    endpoints: dict[EndpointCondition, int]
    waiting: int
    retries: int
    retries_allowed: float


@dataclass(frozen=True, slots=True)
class NextTurn:
    """When an endpoint that holds this host off takes requests again.

    Parameters
    ----------
    wait_s : float
        Seconds until then; infinite if other hosts use up its rate limit.
    condition : EndpointCondition
        Why it takes none now.
    """

    wait_s: float
    condition: EndpointCondition
