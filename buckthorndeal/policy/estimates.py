"""Prefill rate, decode rate and service time learned for each endpoint."""

from dataclasses import dataclass

from buckthorndeal.policy._quantiles import QuantileTracker
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult

__all__ = ["Estimate", "Estimates", "create_estimates"]

# Starting values for a service that nothing is known of.
START_PREFILL_TOKENS_PER_S = 4000.0
START_DECODE_TOKENS_PER_S = 40.0
START_SERVICE_S = 0.5
# The time to the first token includes queueing, which lowers the apparent rate;
# a high quantile of the rate is close to the rate without queueing.
PREFILL_QUANTILE = 0.8
SERVICE_QUANTILE = 0.5
# A plain service reports no tokens, so queueing can't be told from service.
PLAIN_SERVICE_QUANTILE = 0.3
# Fewer uncached tokens say more about fixed costs than about the prefill rate.
MIN_PREFILL_TOKENS = 64
MIN_DECODE_TOKENS = 8
# An endpoint's own estimate replaces that of its service after this many samples.
MIN_OWN_SAMPLES = 5


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected speed of an endpoint.

    Parameters
    ----------
    prefill_tokens_per_s, decode_tokens_per_s : float
        Token rates of one request without queueing.
    service_s : float
        Time that a request holds a slot, in seconds.
    """

    prefill_tokens_per_s: float = START_PREFILL_TOKENS_PER_S
    decode_tokens_per_s: float = START_DECODE_TOKENS_PER_S
    service_s: float = START_SERVICE_S


class _Learner:
    """Trackers of one endpoint or of one service."""

    __slots__ = ("cached", "decode", "incarnation", "prefill", "samples", "service")

    def __init__(self, incarnation: int, start: Estimate) -> None:
        self.incarnation = incarnation
        self.prefill = QuantileTracker(start.prefill_tokens_per_s, PREFILL_QUANTILE)
        self.decode = QuantileTracker(start.decode_tokens_per_s)
        self.service = QuantileTracker(start.service_s, SERVICE_QUANTILE)
        self.samples = 0
        self.cached = start

    def observe(self, result: AttemptResult) -> None:
        self.samples += 1
        if result.first_token_s is None or not result.output_tokens:
            self._observe_plain(result.total_s)
        else:
            self._observe_stream(result, result.first_token_s)
        self.cached = Estimate(
            self.prefill.value, self.decode.value, self.service.value
        )

    def _observe_plain(self, total_s: float) -> None:
        if not self.service.samples:
            self.service = QuantileTracker(self.service.value, PLAIN_SERVICE_QUANTILE)
        self.service.observe(total_s)

    def _observe_stream(self, result: AttemptResult, first_token_s: float) -> None:
        uncached = result.prompt_tokens - (result.cached_tokens or 0)
        if uncached >= MIN_PREFILL_TOKENS and result.cached_tokens is not None:
            self.prefill.observe(uncached / max(first_token_s, 1e-6))
        decode_s = result.total_s - first_token_s
        if result.output_tokens >= MIN_DECODE_TOKENS and decode_s > 0:
            self.decode.observe((result.output_tokens - 1) / decode_s)
        prefill_s = min(first_token_s, max(uncached, 0) / self.prefill.value)
        self.service.observe(max(decode_s, 0.0) + prefill_s)


class Estimates:
    """What attempts have shown of the endpoints' speed.

    Parameters
    ----------
    start : Estimate
        Estimate for a service without samples.
    """

    def __init__(self, start: Estimate) -> None:
        self._start = start
        self._endpoints: dict[str, _Learner] = {}
        self._services: dict[str, _Learner] = {}

    def observe(self, result: AttemptResult) -> None:
        """Learn from an attempt that succeeded; others say nothing of speed."""
        if result.outcome is not AttemptOutcome.SUCCEEDED:
            return
        service = self._services.get(result.service)
        if service is None:
            service = self._services[result.service] = _Learner(0, self._start)
        service.observe(result)
        learner = self._endpoints.get(result.endpoint)
        if learner is None or learner.incarnation < result.incarnation:
            learner = _Learner(result.incarnation, service.cached)
            self._endpoints[result.endpoint] = learner
        if learner.incarnation == result.incarnation:
            learner.observe(result)

    def get_estimate(self, endpoint: str, service: str) -> Estimate:
        """Return the estimate of an endpoint, or that of its service."""
        learner = self._endpoints.get(endpoint)
        if learner is not None and learner.samples >= MIN_OWN_SAMPLES:
            return learner.cached
        return self.get_service_estimate(service)

    def get_service_estimate(self, service: str) -> Estimate:
        """Return the estimate over all endpoints of a service."""
        learner = self._services.get(service)
        return self._start if learner is None else learner.cached

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that has left."""
        self._endpoints.pop(endpoint, None)


def create_estimates(start: Estimate | None = None) -> Estimates:
    """Create an empty set of estimates.

    Parameters
    ----------
    start : Estimate, optional
        Estimate for a service without samples.

    Returns
    -------
    Estimates
        The estimates.
    """
    return Estimates(start or Estimate())
