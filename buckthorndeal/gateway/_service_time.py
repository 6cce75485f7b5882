"""Estimate of the time until an endpoint without an engine responds; no I/O."""

INITIAL_S = 0.05
MOVING_AVERAGE_WEIGHT = 0.1
# Endpoints that take up to this many times as long as their service count as equal. A
# smaller difference would send all requests of a host to the same endpoint.
SLOW_FACTOR = 1.5
# Time after which a slow endpoint is tried again.
SLOW_LIFETIME_S = 10.0


class ServiceTime:
    """Response time of an endpoint, which is that of its service unless it is slow.

    Parameters
    ----------
    parent : ServiceTime or None
        Estimate of the service, which includes the observations of its endpoints.
    """

    def __init__(self, parent: "ServiceTime | None" = None) -> None:
        self._parent = parent
        self._average_s: float | None = None
        self._observed_s = 0.0

    def get_seconds(self, now_s: float) -> float:
        """Return the estimated time until the response starts."""
        average_s = self._average_s
        if self._parent is None:
            return INITIAL_S if average_s is None else average_s
        usual_s = self._parent.get_seconds(now_s)
        if average_s is None or now_s - self._observed_s > SLOW_LIFETIME_S:
            return usual_s
        return average_s if average_s > SLOW_FACTOR * usual_s else usual_s

    def observe(self, seconds: float, now_s: float) -> None:
        """Record the time until a response has started."""
        if self._parent is not None:
            self._parent.observe(seconds, now_s)
        if self._average_s is None:
            first_s = seconds if self._parent is None else self.get_seconds(now_s)
            self._average_s = first_s
        self._average_s += MOVING_AVERAGE_WEIGHT * (seconds - self._average_s)
        self._observed_s = now_s
