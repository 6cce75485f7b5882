"""Streaming quantile estimates that are robust against outliers."""

import math

__all__ = ["QuantileTracker"]

WARMUP_SAMPLES = 8
# Bounds on the difference between the natural logarithms of a sample and of the
# estimate, so that an outlier of any size changes the estimate by a bounded factor.
MAX_STEP_LOG = 0.25
MAX_WARMUP_STEP_LOG = 1.5
MIN_VALUE = 1e-6


class QuantileTracker:
    """Estimates one quantile of a positive quantity in constant memory.

    The estimate is kept as a logarithm and moved by stochastic approximation.

    Parameters
    ----------
    start : float
        Estimate before the first sample.
    quantile : float
        Quantile to estimate, between 0 and 1.
    rate : float
        Learning rate: share of the bounded difference to a sample by which the estimate
        changes.
    """

    __slots__ = ("_log", "_quantile", "_rate", "samples")

    def __init__(self, start: float, quantile: float = 0.5, rate: float = 0.1) -> None:
        self._log = math.log(max(start, MIN_VALUE))
        self._quantile = quantile
        self._rate = rate
        self.samples = 0

    @property
    def value(self) -> float:
        """Current estimate."""
        return math.exp(self._log)

    def observe(self, value: float) -> None:
        """Update the estimate with a sample."""
        self.samples += 1
        log_distance = math.log(max(value, MIN_VALUE)) - self._log
        in_warmup = self.samples <= WARMUP_SAMPLES
        limit = MAX_WARMUP_STEP_LOG if in_warmup else MAX_STEP_LOG
        rate = max(self._rate, 1 / self.samples) if in_warmup else self._rate
        weight = self._quantile if log_distance > 0 else 1 - self._quantile
        step = max(-limit, min(limit, log_distance))
        self._log += 2 * weight * rate * step
