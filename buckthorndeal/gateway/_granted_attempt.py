"""An attempt under way at an endpoint."""

from dataclasses import dataclass

from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.gateway._messages import (
    Call,
)

# A response that has gone on for this long is not what ends its endpoint.
LONG_RESPONSE_S = 1.0


@dataclass(slots=True)
class GrantedAttempt:
    """An attempt that was granted an endpoint and has not ended.

    Parameters
    ----------
    record : EndpointRecord
        Endpoint to which it was sent.
    granted_s : float
        Clock reading when it was granted.
    uncached_tokens : int
        Prompt tokens that the endpoint has to prefill for the attempt.
    queued_tokens : float
        Tokens queued for prefill at the endpoint before the attempt.
    memory_tokens : int
        Tokens of the prompt and of the longest possible output.
    version : str or None
        Software version of the endpoint; None if it may have changed since its last
        heartbeat.
    started_s : float or None
        Clock reading when the response started.
    inflight : float
        Other requests at the endpoint when it was granted, as far as known.
    slowdown : float
        Expected slowdown of the endpoint at that time.
    predicted_s : float
        Predicted time until the response starts.
    """

    call: Call
    record: EndpointRecord
    granted_s: float
    uncached_tokens: int
    queued_tokens: float
    memory_tokens: int
    version: str | None = None
    started_s: float | None = None
    inflight: float = 0.0
    slowdown: float = 1.0
    predicted_s: float = 0.0

    @property
    def started(self) -> bool:
        """Whether the response has started."""
        return self.started_s is not None

    def has_run_long(self, now_s: float) -> bool:
        """Return whether the response has gone on for `LONG_RESPONSE_S`."""
        return self.started and now_s - self.started_s >= LONG_RESPONSE_S
