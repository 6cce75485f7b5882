"""Rate limits that endpoints name, as merged from the reports of all hosts; no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

RETENTION_S = 600.0
MAX_LIMITS = 1024

EndpointKey = tuple[str, int]


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit of an endpoint; of two reports the one with higher revision holds.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    incarnation : int
        The incarnation that names the limit.
    region : str
        Region of the endpoint.
    revision : int
        Number of changes of the limit.
    per_s : float or None
        Requests per second from all hosts together; None if it names no limit.
    rejections_per_s : float or None
        Requests per second that it can turn away before it fails; None if it names no
        such number.
    """

    endpoint: str
    incarnation: int
    region: str
    revision: int
    per_s: float | None
    rejections_per_s: float | None = None

    @property
    def key(self) -> EndpointKey:
        """Endpoint and incarnation."""
        return self.endpoint, self.incarnation


@dataclass(slots=True)
class _KnownLimit:
    limit: RateLimit
    learned_s: float


class RateLimitTable:
    """Newest report of the rate limit of each incarnation of an endpoint."""

    def __init__(self) -> None:
        self._limits: dict[EndpointKey, _KnownLimit] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint was ever reported."""
        return not self._limits

    def get(self, key: EndpointKey) -> RateLimit | None:
        """Return the newest report on an endpoint, or None."""
        known = self._limits.get(key)
        return known.limit if known is not None else None

    def get_per_s(self, key: EndpointKey) -> float | None:
        """Return the rate limit of an endpoint in requests per second, or None."""
        known = self._limits.get(key)
        return known.limit.per_s if known is not None else None

    def get_rejections_per_s(self, key: EndpointKey) -> float | None:
        """Return how many requests per second an endpoint can turn away, or None."""
        known = self._limits.get(key)
        return known.limit.rejections_per_s if known is not None else None

    def merge(self, limits: Iterable[RateLimit], now_s: float) -> tuple[RateLimit, ...]:
        """Add reports; return those that were not known."""
        return tuple(limit for limit in limits if self._merge(limit, now_s))

    def export(self) -> tuple[RateLimit, ...]:
        """Return the newest report on each endpoint."""
        return tuple(known.limit for known in self._limits.values())

    def expire(self, now_s: float, kept: Iterable[EndpointKey] = ()) -> None:
        """Forget old reports, except those on the endpoints `kept`."""
        kept = set(kept)
        for key, known in list(self._limits.items()):
            if now_s - known.learned_s > RETENTION_S and key not in kept:
                del self._limits[key]

    def _merge(self, limit: RateLimit, now_s: float) -> bool:
        known = self._limits.get(limit.key)
        if known is not None and _rank(known.limit) >= _rank(limit):
            return False
        if known is None and len(self._limits) >= MAX_LIMITS:
            del self._limits[next(iter(self._limits))]
        self._limits[limit.key] = _KnownLimit(limit, now_s)
        return True


def _rank(limit: RateLimit) -> tuple[int | bool | float, ...]:
    """Return a sort key; of two equal revisions the lower limits hold."""
    return (
        limit.revision,
        *_rank_number(limit.per_s),
        *_rank_number(limit.rejections_per_s),
    )


def _rank_number(per_s: float | None) -> tuple[bool, float]:
    named = per_s is not None
    return named, -per_s if named else 0.0


def create_rate_limit_table() -> RateLimitTable:
    """Return a table without limits."""
    return RateLimitTable()
