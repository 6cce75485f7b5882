"""What one endpoint's responses tell about its speed and limits; no I/O."""

import math

from buckthorndeal.gateway._granted_attempt import GrantedAttempt
from buckthorndeal.gateway._load_limit import EndpointLimits
from buckthorndeal.gateway._pace import EndpointPace
from buckthorndeal.policy.views import AttemptOutcome

# Fewer events say little about the pace.
MIN_PACED_EVENTS = 3
# Weight of a response in the share of failed ones, and how long that share counts.
FAILURE_WEIGHT = 0.2
FAILURE_LIFETIME_S = 10.0
# Cost of a failed response.
FAILURE_COST_S = 1.0
_WAITED_IN_VAIN = frozenset((AttemptOutcome.CANCELLED, AttemptOutcome.TIMED_OUT))


class EndpointLearning:
    """Learned speed, limits and share of failures of one incarnation of an endpoint.

    Parameters
    ----------
    slots : int
        Slots of the endpoint.
    pace : EndpointPace, optional
        Speed, which starts from that of the service.
    """

    def __init__(self, slots: int = 1, pace: EndpointPace | None = None) -> None:
        self._slots = max(1, slots)
        self.pace = pace if pace is not None else EndpointPace()
        self.limits: EndpointLimits | None = None
        self._failure_share = 0.0
        self._failed_s = -math.inf

    def get_request_limit(self, limit: float, now_s: float) -> float:
        """Return the learned number of requests, or `limit` if nothing is learned."""
        if self.limits is None:
            return limit
        learned = self.limits.requests.get_value(now_s)
        # In a slow phase the same time is enough for less.
        slowdown = self.pace.get_slowdown(now_s) / self.pace.service.mean_slowdown
        return learned if slowdown <= 1 else learned / slowdown

    def is_queue_full(self, queued_tokens: float, now_s: float) -> bool:
        """Return whether as many tokens are queued as can be prefilled in time."""
        if self.limits is None:
            return False
        return queued_tokens >= self.limits.queued_tokens.get_value(now_s)

    def record_result(self, is_failure: bool, now_s: float) -> None:
        """Record whether a response was a failure."""
        if is_failure:
            self._failed_s = now_s
        elif not self._failure_share:
            return
        self._failure_share += FAILURE_WEIGHT * (is_failure - self._failure_share)

    def compute_failure_cost_s(self, now_s: float) -> float:
        """Return the cost of responses of which some fail, in seconds.

        An endpoint that fails quickly has few requests under way and looks free.
        """
        if not self._failure_share:
            return 0.0
        fresh = max(0.0, 1 - (now_s - self._failed_s) / FAILURE_LIFETIME_S)
        return FAILURE_COST_S * self._failure_share * fresh

    def learn_from_start(
        self, attempt: GrantedAttempt, latency_s: float, now_s: float
    ) -> None:
        """Learn from the time until the response to an attempt has started."""
        slowdown = (attempt.slowdown + self.pace.get_slowdown(now_s)) / 2
        tokens, seconds = float(attempt.uncached_tokens), latency_s
        if attempt.call.prompt is None:
            # Requests beyond the slots wait for one.
            excess = max(0.0, attempt.inflight + 1 - self._slots)
            seconds /= 1 + excess / self._slots
        else:
            tokens += attempt.queued_tokens
        self.pace.observe_first(tokens, attempt.inflight, seconds, slowdown, now_s)
        self._judge_latency(attempt, latency_s / slowdown, now_s)

    def _judge_latency(
        self, attempt: GrantedAttempt, usual_s: float, now_s: float
    ) -> None:
        """Apply the time of a response, without the slowdown, to the limits."""
        if self.limits is None:
            is_engine = attempt.call.prompt is not None
            self.limits = EndpointLimits(self._slots, is_engine)
        alone_s = self.pace.predict_first_s(attempt.uncached_tokens, 0, now_s)
        self.limits.record(
            attempt.inflight,
            attempt.queued_tokens,
            usual_s,
            alone_s / self.pace.get_slowdown(now_s),
            attempt.call.route.latency_objective_s,
            now_s,
        )

    def learn_from_end(
        self,
        attempt: GrantedAttempt,
        outcome: AttemptOutcome | None,
        events: int,
        inflight: float,
        now_s: float,
    ) -> None:
        """Learn from the end of an attempt.

        Parameters
        ----------
        attempt : GrantedAttempt
            The attempt.
        outcome : AttemptOutcome or None
            How it has ended.
        events : int
            Number of events that it has brought.
        inflight : float
            Other requests at the endpoint.
        now_s : float
            Clock reading.
        """
        if not attempt.started:
            if outcome in _WAITED_IN_VAIN:
                self._learn_from_vain_wait(attempt, now_s)
            return
        ended = outcome is AttemptOutcome.SUCCEEDED
        if events >= MIN_PACED_EVENTS and (ended or outcome in _WAITED_IN_VAIN):
            interval_s = (now_s - attempt.started_s) / (events - 1)
            slowdown = (attempt.slowdown + self.pace.get_slowdown(now_s)) / 2
            mean_inflight = (attempt.inflight + inflight) / 2
            self.pace.observe_interval(mean_inflight, interval_s, slowdown, now_s)
        prompt = attempt.call.prompt
        if ended and prompt is not None and attempt.call.resume_after is None:
            self.pace.service.observe_events(
                attempt.call.route.name, prompt.max_output_tokens, events
            )

    def _learn_from_vain_wait(self, attempt: GrantedAttempt, now_s: float) -> None:
        waited_s = now_s - attempt.granted_s
        tokens = attempt.queued_tokens + attempt.uncached_tokens
        self.pace.observe_late(tokens, attempt.inflight, waited_s, now_s)
        if waited_s > attempt.call.route.latency_objective_s:
            self._judge_latency(attempt, waited_s / attempt.slowdown, now_s)
