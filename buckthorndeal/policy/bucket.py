"""Token bucket of one workspace; no I/O."""

from dataclasses import dataclass

__all__ = ["TokenBucket"]


@dataclass(slots=True)
class TokenBucket:
    """Requests that a workspace may still send, refilled at its rate.

    Rate and burst are given with each call, as they change with the configuration.

    Parameters
    ----------
    tokens : float
        Requests that may be sent now.
    updated_s : float
        Clock reading up to which the bucket is filled.
    """

    tokens: float
    updated_s: float

    def refill(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Add what the rate allows since the last call, up to the burst."""
        added = (now_s - self.updated_s) * rate_per_s
        self.tokens = min(float(burst), self.tokens + added)
        self.updated_s = now_s

    def compute_wait_s(self, rate_per_s: float) -> float:
        """Return the seconds until a request may be sent; 0 if it may be sent now."""
        return 0.0 if self.tokens >= 1 else (1 - self.tokens) / rate_per_s
