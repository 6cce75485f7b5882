"""Streaming estimates that tolerate outliers."""

import math

__all__ = ["QuantileTracker"]

WARMUP_SAMPLES = 8
# Steps are limited in the logarithm, so that one outlier moves the estimate by
# at most this factor whatever its size.
MAX_STEP_LOG = 0.25
MAX_WARMUP_STEP_LOG = 1.5
MIN_VALUE = 1e-6


class QuantileTracker:
    """Follow one quantile of a positive quantity with constant memory.

    Parameters
    ----------
    start : float
        Estimate before the first sample.
    quantile : float
        Quantile to follow, between 0 and 1.
    rate : float
        Share of the (limited) distance that one sample moves the estimate.
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
        """Move the estimate towards a sample."""
        self.samples += 1
        distance = math.log(max(value, MIN_VALUE)) - self._log
        warming = self.samples <= WARMUP_SAMPLES
        limit = MAX_WARMUP_STEP_LOG if warming else MAX_STEP_LOG
        rate = max(self._rate, 1 / self.samples) if warming else self._rate
        share = self._quantile if distance > 0 else 1 - self._quantile
        step = max(-limit, min(limit, distance))
        self._log += 2 * share * rate * step
