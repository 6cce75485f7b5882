"""Estimates of prefill rate, decode rate and service time of each endpoint."""

from dataclasses import dataclass

from buckthorndeal.policy._quantiles import QuantileTracker
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult

__all__ = ["Estimate", "Estimates", "create_estimates"]

# Initial estimates for a service without samples.
INITIAL_PREFILL_TOKENS_PER_S = 4000.0
INITIAL_DECODE_TOKENS_PER_S = 40.0
INITIAL_SERVICE_S = 0.5
# The time to the first token includes queueing, which lowers the measured rate; a
# high quantile of the rate is close to the rate without queueing.
PREFILL_QUANTILE = 0.8
SERVICE_QUANTILE = 0.5
# A plain service reports no tokens, so queueing can't be told from service time; a
# low quantile is closer to the service time alone.
PLAIN_SERVICE_QUANTILE = 0.3
# With fewer uncached tokens, fixed costs dominate the time to the first token.
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

    prefill_tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S
    decode_tokens_per_s: float = INITIAL_DECODE_TOKENS_PER_S
    service_s: float = INITIAL_SERVICE_S


class _SpeedTracker:
    """Quantile trackers of one endpoint or of one service."""

    __slots__ = ("decode", "estimate", "incarnation", "prefill", "samples", "service")

    def __init__(self, incarnation: int, initial: Estimate) -> None:
        self.incarnation = incarnation
        self.prefill = QuantileTracker(initial.prefill_tokens_per_s, PREFILL_QUANTILE)
        self.decode = QuantileTracker(initial.decode_tokens_per_s)
        self.service = QuantileTracker(initial.service_s, SERVICE_QUANTILE)
        self.samples = 0
        self.estimate = initial

    def observe(self, result: AttemptResult) -> None:
        self.samples += 1
        if result.first_token_s is None or not result.output_tokens:
            self._observe_plain(result.total_s)
        else:
            self._observe_stream(result, result.first_token_s)
        self.estimate = Estimate(
            self.prefill.value, self.decode.value, self.service.value
        )

    def _observe_plain(self, total_s: float) -> None:
        if not self.service.samples:
            self.service = QuantileTracker(self.service.value, PLAIN_SERVICE_QUANTILE)
        self.service.observe(total_s)

    def _observe_stream(self, result: AttemptResult, first_token_s: float) -> None:
        uncached_tokens = result.prompt_tokens - (result.cached_tokens or 0)
        if uncached_tokens >= MIN_PREFILL_TOKENS and result.cached_tokens is not None:
            self.prefill.observe(uncached_tokens / max(first_token_s, 1e-6))
        decode_s = result.total_s - first_token_s
        if result.output_tokens >= MIN_DECODE_TOKENS and decode_s > 0:
            self.decode.observe((result.output_tokens - 1) / decode_s)
        prefill_s = min(first_token_s, max(uncached_tokens, 0) / self.prefill.value)
        self.service.observe(max(decode_s, 0.0) + prefill_s)


class Estimates:
    """Estimates of the endpoints' speed from the results of attempts.

    Parameters
    ----------
    initial : Estimate
        Estimate for a service without samples.
    """

    def __init__(self, initial: Estimate) -> None:
        self._initial = initial
        self._endpoints: dict[str, _SpeedTracker] = {}
        self._services: dict[str, _SpeedTracker] = {}

    def observe(self, result: AttemptResult) -> None:
        """Update the estimates with the result of a successful attempt.

        Other results are ignored, as they say nothing about the speed.
        """
        if result.outcome is not AttemptOutcome.SUCCEEDED:
            return
        service = self._services.get(result.service)
        if service is None:
            service = self._services[result.service] = _SpeedTracker(0, self._initial)
        service.observe(result)
        tracker = self._endpoints.get(result.endpoint)
        if tracker is None or tracker.incarnation < result.incarnation:
            tracker = _SpeedTracker(result.incarnation, service.estimate)
            self._endpoints[result.endpoint] = tracker
        if tracker.incarnation == result.incarnation:
            tracker.observe(result)

    def get_estimate(self, endpoint: str, service: str) -> Estimate:
        """Return the estimate of an endpoint.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        service : str
            Its service, whose estimate is returned while the endpoint has too few
            samples.

        Returns
        -------
        Estimate
            The estimate.
        """
        tracker = self._endpoints.get(endpoint)
        if tracker is not None and tracker.samples >= MIN_OWN_SAMPLES:
            return tracker.estimate
        return self.get_service_estimate(service)

    def get_service_estimate(self, service: str) -> Estimate:
        """Return the estimate over all endpoints of a service."""
        tracker = self._services.get(service)
        return self._initial if tracker is None else tracker.estimate

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that has left."""
        self._endpoints.pop(endpoint, None)


def create_estimates(initial: Estimate | None = None) -> Estimates:
    """Create an empty set of estimates.

    Parameters
    ----------
    initial : Estimate, optional
        Estimate for a service without samples.

    Returns
    -------
    Estimates
        The estimates.
    """
    return Estimates(initial or Estimate())
