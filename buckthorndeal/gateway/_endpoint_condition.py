"""Condition of an endpoint, as a host sees it."""

import enum


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
