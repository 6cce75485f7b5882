"""Limit on how often a member corrects what others believe about a host."""

import math


class CorrectionLimit:
    """Allows one correction about each host per interval.

    Parameters
    ----------
    interval_s : float
        Minimum time between two corrections about the same host, in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._last_s: dict[str, float] = {}

    def allow(self, host: str, now_s: float) -> bool:
        """Return whether `host` may be corrected now, and record it if so."""
        if now_s - self._last_s.get(host, -math.inf) < self._interval_s:
            return False
        self._last_s[host] = now_s
        return True

    def expire(self, now_s: float) -> None:
        """Forget the corrections that no longer limit others."""
        oldest_s = now_s - self._interval_s
        self._last_s = {
            host: at_s for host, at_s in self._last_s.items() if at_s > oldest_s
        }
