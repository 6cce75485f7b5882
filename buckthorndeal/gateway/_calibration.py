"""Correction of predicted response times by those observed; no I/O.

Answers load that a host does not see: other hosts send to the same endpoints, and what
endpoints report is late and rare.
"""

import math
from collections import Counter
from dataclasses import dataclass

# Time constant with which observations are forgotten.
MEMORY_S = 1.5
# Interval at which attempts that are overdue are counted.
OVERDUE_INTERVAL_S = 0.05
# Weight of the assumption that predictions are right, in seconds of predicted time.
PRIOR_S = 0.1
# Predictions are corrected by at most this factor, so that a host goes on trying.
MAX_FACTOR = 6.0
# Largest multiple of its prediction with which one response counts.
MAX_OBSERVED_FACTOR = 20.0
# Overdue attempts at one endpoint that count, since an endpoint that has stopped says
# nothing of the others.
MAX_OVERDUE = 2
MOVING_AVERAGE_WEIGHT = 0.1


@dataclass(slots=True)
class _Pending:
    endpoint: str
    granted_s: float
    predicted_s: float

    def bound_s(self, now_s: float) -> float:
        """Return how long it has lasted, as far as one attempt counts."""
        return min(now_s - self.granted_s, MAX_OBSERVED_FACTOR * self.predicted_s)


class Calibration:
    """Ratio of observed to predicted response times of one service at this host.

    Attempts whose response is overdue count with the time that they have lasted.
    Otherwise a host would learn of a backlog only once the backlog is gone.

    Attributes
    ----------
    mean_response_s : float
        Moving average of the observed response times.
    """

    def __init__(self) -> None:
        self.mean_response_s = 0.0
        self._pending: dict[int, _Pending] = {}
        self._observed_s = 0.0
        self._predicted_s = 0.0
        self._updated_s = 0.0
        self._factor = 1.0
        self._factor_due_s = -math.inf

    def record_grant(
        self, attempt_id: int, endpoint: str, predicted_s: float, now_s: float
    ) -> None:
        """Record that an attempt begins, with its predicted response time."""
        self._pending[attempt_id] = _Pending(endpoint, now_s, predicted_s)

    def record_response_start(self, attempt_id: int, now_s: float) -> None:
        """Record that the response to an attempt has started."""
        pending = self._pending.pop(attempt_id, None)
        if pending is None:
            return
        self._decay(now_s)
        lasted_s = now_s - pending.granted_s
        self._observed_s += pending.bound_s(now_s)
        self._predicted_s += pending.predicted_s
        weight = MOVING_AVERAGE_WEIGHT
        self.mean_response_s += weight * (lasted_s - self.mean_response_s)

    def remove(self, attempt_id: int, now_s: float) -> None:
        """Record that an attempt has ended, maybe without a response."""
        pending = self._pending.pop(attempt_id, None)
        if pending is None:
            return
        if now_s - pending.granted_s > pending.predicted_s:
            self._decay(now_s)
            self._observed_s += pending.bound_s(now_s)
            self._predicted_s += pending.predicted_s

    def get_factor(self, now_s: float) -> float:
        """Return the factor by which predictions are multiplied; at least 1."""
        if now_s < self._factor_due_s:
            return self._factor
        self._factor_due_s = now_s + OVERDUE_INTERVAL_S
        self._decay(now_s)
        observed_s = self._observed_s + PRIOR_S
        predicted_s = self._predicted_s + PRIOR_S
        counts: Counter[str] = Counter()
        for pending in self._pending.values():
            if now_s - pending.granted_s <= pending.predicted_s:
                continue
            counts[pending.endpoint] += 1
            if counts[pending.endpoint] <= MAX_OVERDUE:
                observed_s += pending.bound_s(now_s)
                predicted_s += pending.predicted_s
        self._factor = min(MAX_FACTOR, max(1.0, observed_s / predicted_s))
        return self._factor

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s > 0:
            keep = math.exp(-elapsed_s / MEMORY_S)
            self._observed_s *= keep
            self._predicted_s *= keep
            self._updated_s = now_s
