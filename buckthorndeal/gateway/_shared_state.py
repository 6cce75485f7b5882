"""Messages of coordinators on shared state, as the dispatch task is told them."""

from functools import singledispatch

from buckthorndeal.fleet import EvidenceUpdate, RateLimitUpdate
from buckthorndeal.gateway._shared_messages import EvidenceReceived, RateLimitsReceived

SharedStateReceived = EvidenceReceived | RateLimitsReceived


@singledispatch
def convert_shared_state(message: object) -> SharedStateReceived | None:
    """Return the notification for the dispatch task; None for other messages."""
    return None


@convert_shared_state.register
def _(message: EvidenceUpdate) -> SharedStateReceived:
    return EvidenceReceived(message.evidence)


@convert_shared_state.register
def _(message: RateLimitUpdate) -> SharedStateReceived:
    return RateLimitsReceived(message.limits)
