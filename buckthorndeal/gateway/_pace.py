"""Learned speed of endpoints; no I/O.

Answers load on endpoints of unequal and changing speed. It takes effect for services
whose endpoints report how much slower than usual their machine is at the moment.

The time of a response is predicted as the product of

* the time at a usual endpoint of the service, which depends on the load there;
* the scale of the endpoint: its lasting speed, learned from its own responses;
* the momentary slowdown that the endpoint has reported, while the report is fresh.
"""

import math

# Time that a phase of slowness lasts. The probability that a reported phase still goes
# on falls linearly with the age of the report.
SLOWDOWN_LIFETIME_S = 0.6
# Age of a report when it is received.
REPORT_DELAY_S = 0.15
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 10.0
MEAN_SLOWDOWN_WEIGHT = 0.02
# An observation counts as at most this many times shorter or longer than predicted, as
# a single stalled response says little about the speed.
MAX_RATIO = 8.0
# The same for what is learned about all endpoints of the service.
MAX_SERVICE_RATIO = 4.0
# Weights of a new observation, once there are several.
ENDPOINT_WEIGHT = 0.2
SERVICE_WEIGHT = 0.05
MODEL_RATE = 0.05
MIN_SCALE = 0.2
MAX_SCALE = 8.0
# Time without an observation after which an endpoint counts as usual again, so that a
# slow one is tried again.
SCALE_LIFETIME_S = 20.0
# Time in which the mean load of endpoints is forgotten, once no reports arrive.
MEAN_LOAD_LIFETIME_S = 5.0
MEAN_LOAD_WEIGHT = 0.1
# Time in which a new endpoint is assumed to get the mean load. With the mean from the
# start, the endpoints that are known first get the requests of all hosts.
FILL_S = 2.0
# Coefficients before the first observation: seconds for any request, for each 1,000
# tokens to prefill and for each 10 requests in flight.
FIRST_RESPONSE_PRIOR = (0.05, 0.02, 0.005)
EVENT_INTERVAL_PRIOR = (0.03, 0.0, 0.01)
MIN_TOKEN_S = 2.5e-6
TOKENS_UNIT = 1000.0
INFLIGHT_UNIT = 10.0
# Events for each token of the largest possible output, before the first observation.
EVENTS_PER_TOKEN_PRIOR = 0.1
EVENTS_WEIGHT = 0.1
MAX_ROUTES = 1_000


class LinearModel:
    """Non-negative linear model of a time, fitted by normalized least mean squares.

    It follows a change in a few tens of observations, whatever their values, and keeps
    coefficients that the observations say nothing about.

    Parameters
    ----------
    base_s, per_tokens_s, per_inflight_s : float
        Coefficients before the first observation; see `FIRST_RESPONSE_PRIOR`.
    """

    def __init__(
        self, base_s: float, per_tokens_s: float, per_inflight_s: float
    ) -> None:
        self._base_s = base_s
        self._per_token_s = per_tokens_s / TOKENS_UNIT
        self._per_inflight_s = per_inflight_s / INFLIGHT_UNIT
        self._count = 0

    @property
    def per_token_s(self) -> float:
        """Time for each token to prefill, in seconds."""
        return self._per_token_s

    def predict(self, tokens: float, inflight: float) -> float:
        """Return the time in seconds."""
        return (
            self._base_s + self._per_token_s * tokens + self._per_inflight_s * inflight
        )

    def observe(self, tokens: float, inflight: float, seconds: float) -> None:
        """Move the coefficients towards an observed time."""
        error_s = seconds - self.predict(tokens, inflight)
        self._count += 1
        rate = max(MODEL_RATE, 1 / (self._count + 3))
        scaled_tokens = tokens / TOKENS_UNIT
        scaled_inflight = inflight / INFLIGHT_UNIT
        step_s = rate * error_s / (1 + scaled_tokens**2 + scaled_inflight**2)
        self._base_s = max(0.001, self._base_s + step_s)
        self._per_token_s = max(
            0.0, self._per_token_s + step_s * scaled_tokens / TOKENS_UNIT
        )
        self._per_inflight_s = max(
            0.0, self._per_inflight_s + step_s * scaled_inflight / INFLIGHT_UNIT
        )


class ServicePace:
    """Speed and load of a usual endpoint of one service, as seen by this host."""

    def __init__(self) -> None:
        # Set for good by the first report of a slowdown.
        self.is_active = False
        self.first_response = LinearModel(*FIRST_RESPONSE_PRIOR)
        self.event_interval = LinearModel(*EVENT_INTERVAL_PRIOR)
        # Follows a change of all endpoints faster than the models do.
        self.scale = 1.0
        self.mean_slowdown = 1.0
        self._mean_load = 0.0
        self._load_reported_s = -math.inf
        self._events_per_token: dict[str, float] = {}

    def get_token_s(self) -> float:
        """Return the time to prefill a token, in seconds."""
        per_token_s = self.first_response.per_token_s * self.scale
        return max(MIN_TOKEN_S, per_token_s * self.mean_slowdown)

    def predict_first_s(self, tokens: float, inflight: float) -> float:
        """Return the time until a response starts, without the endpoint's factors."""
        return self.first_response.predict(tokens, inflight) * self.scale

    def record_slowdown(self, slowdown: float) -> None:
        """Record the slowdown in a report of any endpoint."""
        self.is_active = True
        self.mean_slowdown += MEAN_SLOWDOWN_WEIGHT * (slowdown - self.mean_slowdown)

    def record_load(self, others: float, now_s: float) -> None:
        """Record how many requests of other hosts an endpoint has reported."""
        if now_s - self._load_reported_s >= MEAN_LOAD_LIFETIME_S:
            self._mean_load = others
        self._mean_load += MEAN_LOAD_WEIGHT * (others - self._mean_load)
        self._load_reported_s = now_s

    def get_mean_load(self, now_s: float) -> float:
        """Return the requests of other hosts at a usual endpoint."""
        age_s = now_s - self._load_reported_s
        if age_s >= MEAN_LOAD_LIFETIME_S:
            return 0.0
        return self._mean_load * (1 - age_s / MEAN_LOAD_LIFETIME_S)

    def observe_events(self, route: str, max_tokens: int, events: int) -> None:
        """Record the number of events of a complete stream."""
        if max_tokens <= 0 or events <= 0:
            return
        known = self._events_per_token
        if route not in known and len(known) >= MAX_ROUTES:
            return
        value = events / max_tokens
        known[route] = known.get(route, value) * (1 - EVENTS_WEIGHT) + (
            value * EVENTS_WEIGHT
        )

    def predict_events(self, route: str, max_tokens: int) -> float:
        """Return the expected number of events of a stream."""
        ratio = self._events_per_token.get(route, EVENTS_PER_TOKEN_PRIOR)
        return max(1.0, ratio * max_tokens)


class EndpointPace:
    """Learned speed of one incarnation of an endpoint.

    Parameters
    ----------
    service : ServicePace, optional
        Speed of a usual endpoint, from which this one starts.
    known_s : float, optional
        Clock reading at which this host has learned of the endpoint.
    """

    def __init__(
        self, service: ServicePace | None = None, known_s: float = -math.inf
    ) -> None:
        self.service = service if service is not None else ServicePace()
        self._known_s = known_s
        self._scale = 1.0
        self._count = 0
        self._observed_s = 0.0
        self._slowdown = 1.0
        self._slowdown_until_s = -math.inf

    @property
    def is_active(self) -> bool:
        """Whether endpoints of the service report their slowdown."""
        return self.service.is_active

    def get_mean_load(self, now_s: float) -> float:
        """Return the requests of other hosts that are assumed without a report."""
        mean = self.service.get_mean_load(now_s)
        return mean * min(1.0, max(0.0, now_s - self._known_s) / FILL_S)

    def record_slowdown(self, slowdown: float, now_s: float) -> None:
        """Record a reported slowdown; values beyond the usual are limited."""
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        self.service.record_slowdown(slowdown)
        self._slowdown = slowdown
        self._slowdown_until_s = now_s + SLOWDOWN_LIFETIME_S - REPORT_DELAY_S

    def get_slowdown(self, now_s: float) -> float:
        """Return the expected slowdown; that of the service without a fresh report."""
        mean = self.service.mean_slowdown
        left_s = self._slowdown_until_s - now_s
        if left_s <= 0:
            return mean
        return mean + (self._slowdown - mean) * (left_s / SLOWDOWN_LIFETIME_S)

    def get_scale(self, now_s: float) -> float:
        """Return the lasting time of work as a multiple of a usual endpoint's."""
        age_s = now_s - self._observed_s
        if age_s >= SCALE_LIFETIME_S:
            return 1.0
        return 1 + (self._scale - 1) * (1 - age_s / SCALE_LIFETIME_S)

    def get_factor(self, now_s: float) -> float:
        """Return the time of work as a multiple of that in the models."""
        return self.service.scale * self.get_scale(now_s) * self.get_slowdown(now_s)

    def get_token_s(self, now_s: float) -> float:
        """Return the time to prefill a token, in seconds."""
        # A learned coefficient may fall to 0.
        per_token_s = self.service.first_response.per_token_s
        return max(MIN_TOKEN_S, per_token_s * self.get_factor(now_s))

    def predict_first_s(self, tokens: float, inflight: float, now_s: float) -> float:
        """Return the time until a response starts, in seconds.

        Parameters
        ----------
        tokens : float
            Tokens that are prefilled until then.
        inflight : float
            Other requests at the endpoint.
        now_s : float
            Clock reading.
        """
        usual_s = self.service.first_response.predict(tokens, inflight)
        return usual_s * self.get_factor(now_s)

    def predict_interval_s(self, inflight: float, now_s: float) -> float:
        """Return the time between two events of a stream, in seconds."""
        usual_s = self.service.event_interval.predict(0, inflight)
        return usual_s * self.get_factor(now_s)

    def observe_first(
        self,
        tokens: float,
        inflight: float,
        seconds: float,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Learn from the time until a response has started.

        Parameters
        ----------
        tokens, inflight : float
            As in `predict_first_s`, when the request was sent.
        seconds : float
            Time until the response has started.
        slowdown : float
            Mean slowdown in that time.
        now_s : float
            Clock reading.
        """
        model = self.service.first_response
        usual_s = model.predict(tokens, inflight)
        observed_s = self._observe_ratio(usual_s, seconds / slowdown, now_s)
        model.observe(tokens, inflight, observed_s)

    def observe_interval(
        self, inflight: float, seconds: float, slowdown: float, now_s: float
    ) -> None:
        """Learn from the mean time between the events of a stream."""
        model = self.service.event_interval
        usual_s = model.predict(0, inflight)
        observed_s = self._observe_ratio(usual_s, seconds / slowdown, now_s)
        model.observe(0, inflight, observed_s)

    def observe_late(
        self, tokens: float, inflight: float, waited_s: float, now_s: float
    ) -> None:
        """Learn from a request that has waited in vain, if longer than predicted."""
        usual_s = self.service.first_response.predict(tokens, inflight)
        slowdown = self.get_slowdown(now_s)
        expected_s = usual_s * self.service.scale * self.get_scale(now_s)
        if waited_s / slowdown > expected_s:
            self._observe_ratio(usual_s, waited_s / slowdown, now_s)

    def _observe_ratio(self, usual_s: float, seconds: float, now_s: float) -> float:
        """Learn the scales; return the time at a usual endpoint, in seconds."""
        service = self.service
        scale = self.get_scale(now_s)
        ratio = seconds / (usual_s * service.scale * scale)
        ratio = min(MAX_RATIO, max(1 / MAX_RATIO, ratio))
        service_ratio = min(MAX_SERVICE_RATIO, max(1 / MAX_SERVICE_RATIO, ratio))
        service.scale = _limit(service.scale * service_ratio**SERVICE_WEIGHT)
        self._count += 1
        weight = max(ENDPOINT_WEIGHT, 1 / (self._count + 1))
        self._scale = _limit(scale * ratio**weight)
        self._observed_s = now_s
        # The models learn what depends on the load; the scales take up the rest.
        return usual_s * service_ratio


def _limit(scale: float) -> float:
    return min(MAX_SCALE, max(MIN_SCALE, scale))
