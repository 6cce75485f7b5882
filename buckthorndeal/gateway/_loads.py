"""Load of one endpoint, as seen by one gateway."""

import math
from dataclasses import dataclass, field

from buckthorndeal.configuration import RequestKind, ServiceDescription
from buckthorndeal.fleet import EndpointEntry, EndpointState
from buckthorndeal.gateway._cold_doubt import ColdDoubt
from buckthorndeal.gateway._engine import PrefillSpeed, PrefixCache, get_kv_capacity
from buckthorndeal.gateway._granted_attempt import GrantedAttempt
from buckthorndeal.gateway._learning import EndpointLearning
from buckthorndeal.gateway._load_limit import (
    MAX_MEMORY_UTILIZATION,
    get_slot_limit,
    is_credible,
)
from buckthorndeal.gateway._messages import (
    Call,
    LoadReport,
)
from buckthorndeal.gateway._pace import EndpointPace
from buckthorndeal.gateway._service_time import ServiceTime
from buckthorndeal.policy.views import AttemptOutcome

# Older load reports are ignored.
REPORT_LIFETIME_S = 2.0
MOVING_AVERAGE_WEIGHT = 0.1
# Penalty for a request at a full engine, where every token takes longer.
FULL_ENGINE_PENALTY_S = 1.0
# A report counts as at most this many requests for each slot, whatever it says.
MAX_REPORTED_PER_SLOT = 4
# Share of that penalty where the pace is learned and tells most of the load's effect.
LOAD_WEIGHT = 0.2
# A request is overdue after this many times its predicted time.
OVERDUE_FACTOR = 2.0


@dataclass(slots=True)
class EndpointLoad:
    """State of one incarnation of an endpoint on this host.

    Parameters
    ----------
    entry : EndpointEntry
        Record and time of the last heartbeat.
    cache : PrefixCache
        Model of the prefix cache of the endpoint.
    prefill_speed : PrefillSpeed
        Estimated prefill speed of the engine.
    attempts : dict of int to GrantedAttempt
        Attempts of this host that have not ended, by attempt id.
    queued : dict of int to GrantedAttempt
        Attempts whose response has not started, in the order of their grants.
    queued_tokens : int
        Uncached tokens of these attempts.
    memory_tokens : int
        Sum of the memory that the attempts need.
    service_time : ServiceTime
        Time until a response starts, for requests without a prompt.
    mean_uncached_tokens, mean_memory_tokens : float
        Moving averages of the attempts of this host, also assumed for other hosts.
    report : LoadReport or None
        Last load report, received at `report_received_s`.
    inflight_at_report : int
        Attempts of this host in progress at that time.
    rejected_s : float or None
        Clock reading when it last turned a request away, if that may make it fail.
    refused_s : float
        Clock reading when it last did not accept a connection.
    learning : EndpointLearning
        Learned speed and limits; used once endpoints of the service report a slowdown.
    responded_s : float
        Clock reading when a response last started.
    cold_doubt : ColdDoubt
        Whether it may have become cold since its last heartbeat.
    """

    entry: EndpointEntry
    cache: PrefixCache
    prefill_speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    attempts: dict[int, GrantedAttempt] = field(default_factory=dict)
    queued: dict[int, GrantedAttempt] = field(default_factory=dict)
    queued_tokens: int = 0
    memory_tokens: int = 0
    service_time: ServiceTime = field(default_factory=ServiceTime)
    mean_uncached_tokens: float = 0.0
    mean_memory_tokens: float = 0.0
    report: LoadReport | None = None
    report_received_s: float = 0.0
    inflight_at_report: int = 0
    rejected_s: float | None = None
    refused_s: float = -math.inf
    learning: EndpointLearning = field(default_factory=EndpointLearning)
    responded_s: float = -math.inf
    cold_doubt: ColdDoubt = field(default_factory=ColdDoubt)
    pace: EndpointPace = field(init=False)
    # Results of `_refresh`, as several methods need them for each decision.
    _refreshed_s: float | None = None
    _others: float = 0
    _others_queued: int = 0
    _relative: float = 1.0

    def __post_init__(self) -> None:
        self.pace = self.learning.pace

    @property
    def name(self) -> str:
        """Id of the endpoint."""
        return self.entry.record.endpoint

    @property
    def inflight(self) -> int:
        """Number of requests of this host that have not ended."""
        return len(self.attempts)

    def is_ready(self, now_s: float) -> bool:
        """Return whether the endpoint takes new requests."""
        if self.entry.record.state is not EndpointState.READY:
            return False
        leaves_at_s = self.entry.leaves_at_s
        return leaves_at_s is None or now_s < leaves_at_s

    def is_idle(self, now_s: float) -> bool:
        """Return whether no request is known to be under way at the endpoint."""
        return not self.inflight and self.count_other_inflight(now_s) < 1

    def get_cold_s(self, now_s: float) -> float:
        """Return for how long the endpoint is, or may be, cold; 0 if it is not."""
        doubt_s = self.cold_doubt.get_remaining_s(self.entry.cold_told_s, now_s)
        return max(self.entry.get_cold_s(now_s), doubt_s)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the endpoint is, or may be, cold."""
        return self.get_cold_s(now_s) > 0

    def count_other_inflight(self, now_s: float) -> float:
        """Return the number of requests of other hosts.

        Without a recent load report, the result is 0. If the pace is learned, a report
        fades with its age into the mean of the service.
        """
        if self._refreshed_s != now_s:
            self._refresh(now_s)
        return self._others

    def _refresh(self, now_s: float) -> None:
        """Update what the last report tells at a clock reading."""
        self._refreshed_s = now_s
        report, age_s = self.report, now_s - self.report_received_s
        others = queued = 0
        is_recent = report is not None and age_s <= REPORT_LIFETIME_S
        if is_recent:
            others = max(0, report.running + report.waiting - self.inflight_at_report)
            queued = max(0, report.waiting - len(self.queued))
        pace = self.pace
        if pace.service.is_active:
            mean = pace.get_mean_load(now_s)
            slots = max(1, self.entry.record.slots)
            if is_recent and is_credible(report.running, slots):
                most = MAX_REPORTED_PER_SLOT * slots
                queued = min(queued, most)
                fresh = 1 - age_s / REPORT_LIFETIME_S
                others = mean + (min(others, most) - mean) * fresh
            else:
                others, queued = mean, 0
            self._relative = pace.get_scale(now_s) * pace.get_slowdown(now_s)
        self._others, self._others_queued = others, queued

    def record_report(
        self, report: LoadReport, now_s: float, age_s: float = 0.0
    ) -> None:
        """Store the load report of a response that was received `age_s` ago."""
        if report.slowdown is not None:
            self.pace.record_slowdown(report.slowdown, now_s - age_s)
        self.report = report
        self.report_received_s = now_s - age_s if self.pace.is_active else now_s
        self.inflight_at_report = self.inflight
        self._refreshed_s = None
        slots = self.entry.record.slots
        if self.pace.is_active and is_credible(report.running, slots):
            total = report.running + report.waiting - self.inflight
            others = min(max(0, total), slots)
            self.pace.service.record_load(others, now_s)

    def predict_first_response_s(
        self, call: Call, uncached_tokens: int, now_s: float
    ) -> float:
        """Return the predicted time until the response starts, in seconds."""
        if call.prompt is None:
            return self.predict_plain_response_s(now_s)
        return self.predict_wait_s(now_s, uncached_tokens)

    def predict_plain_response_s(self, now_s: float) -> float:
        """Return the predicted time of a response without a prompt, in seconds."""
        slots = self.entry.record.slots
        total = self.inflight + self.count_other_inflight(now_s)
        if self.pace.service.is_active:
            service_s = self.pace.service.predict_first_s(0, total) * self._relative
            if self.queued:
                service_s += self._compute_overdue_s(now_s)
        else:
            service_s = self.service_time.get_seconds(now_s)
        return service_s * (1 + max(0, total + 1 - slots) / max(1, slots))

    def _compute_overdue_s(self, now_s: float) -> float:
        """Return how long the endpoint has owed a response, in seconds."""
        oldest = next(iter(self.queued.values()))
        if not oldest.predicted_s:
            # It was granted before the pace was learned.
            return 0.0
        allowed_s = OVERDUE_FACTOR * oldest.predicted_s
        # A single lost request does not stand for an endpoint that answers others.
        due_s = max(oldest.granted_s, self.responded_s) + allowed_s
        return max(0.0, now_s - due_s)

    def predict_total_s(self, call: Call, uncached_tokens: int, now_s: float) -> float:
        """Return the predicted time until the response is complete, in seconds.

        The output is the usual one of the route, as learned from complete streams.
        """
        first_s = self.predict_first_response_s(call, uncached_tokens, now_s)
        return first_s + self.predict_output_s(call, now_s)

    def predict_output_s(self, call: Call, now_s: float) -> float:
        """Return the predicted time from the first event to the last, in seconds."""
        if call.prompt is None or call.route.kind is not RequestKind.STREAM:
            return 0.0
        most = call.prompt.max_output_tokens
        events = self.pace.service.predict_events(call.route.name, most)
        total = self.inflight + self.count_other_inflight(now_s)
        return (events - 1) * self.pace.predict_interval_s(total, now_s)

    def predict_wait_s(self, now_s: float, uncached_tokens: int = 0) -> float:
        """Return the predicted time until the response to a prompt starts."""
        tokens = self.count_queued_tokens(now_s) + uncached_tokens
        service = self.pace.service
        if not service.is_active:
            return self.prefill_speed.predict(tokens)
        total = len(self.attempts) + self._others
        predicted_s = service.predict_first_s(tokens, total) * self._relative
        if not self.queued:
            return predicted_s
        return predicted_s + self._compute_overdue_s(now_s)

    def get_token_s(self, now_s: float) -> float:
        """Return the time to prefill a token, in seconds."""
        if self.pace.is_active:
            return self.pace.get_token_s(now_s)
        return 1 / self.prefill_speed.tokens_per_s

    def compute_load_penalty_s(self, now_s: float) -> float:
        """Return the penalty of the engine's load for one more request, in seconds."""
        penalty_s = FULL_ENGINE_PENALTY_S * self.compute_utilization(now_s)
        if not self.pace.service.is_active:
            return penalty_s
        # Requests stay longer at a slow endpoint.
        return penalty_s * LOAD_WEIGHT * self._relative

    def compute_failure_cost_s(self, now_s: float) -> float:
        """Return the cost of responses of which some fail, in seconds."""
        is_learned = self.pace.service.is_active
        return self.learning.compute_failure_cost_s(now_s) if is_learned else 0.0

    def compute_utilization(self, now_s: float) -> float:
        """Return the known requests as a share of the slots; above 1 if some wait."""
        total_inflight = len(self.attempts) + self.count_other_inflight(now_s)
        return total_inflight / (self.entry.record.slots or 1)

    def count_queued_tokens(self, now_s: float) -> float:
        """Return the prompt tokens that are queued for prefill at the engine."""
        if self._refreshed_s != now_s:
            self._refresh(now_s)
        return self.queued_tokens + self._others_queued * self.mean_uncached_tokens

    def has_capacity(
        self, call: Call, service: ServiceDescription, now_s: float
    ) -> bool:
        """Return whether there are enough slots and memory for one more request.

        Requests without a prompt may exceed the slots by a third.
        """
        others = self.count_other_inflight(now_s)
        total_inflight = len(self.attempts) + others
        if call.prompt is None:
            return total_inflight < self._get_request_limit(False, now_s)
        required = call.prompt.tokens + call.prompt.max_output_tokens
        if required > get_kv_capacity(service):
            return False
        if not self.inflight and others < 1:
            return True
        if total_inflight >= self._get_request_limit(True, now_s):
            return False
        if self.learning.limits is not None and self.learning.is_queue_full(
            self.count_queued_tokens(now_s), now_s
        ):
            return False
        return required <= self._count_free_memory(service, others)

    def count_free(self, service: ServiceDescription, now_s: float) -> int:
        """Return the number of requests that the endpoint still takes well."""
        others = self.count_other_inflight(now_s)
        limit = self._get_request_limit(service.engine is not None, now_s)
        free = min(limit, self.entry.record.slots) - self.inflight - others
        if service.engine is not None and self.mean_memory_tokens:
            left = self._count_free_memory(service, others)
            free = min(free, left / self.mean_memory_tokens)
        return max(0, math.floor(free))

    def _count_free_memory(self, service: ServiceDescription, others: float) -> float:
        used = self.memory_tokens + others * self.mean_memory_tokens
        return get_kv_capacity(service) * MAX_MEMORY_UTILIZATION - used

    def _get_request_limit(self, is_engine: bool, now_s: float) -> float:
        """Return how many requests may be at the endpoint, also of other hosts."""
        limit = get_slot_limit(self.entry.record.slots, is_engine)
        return self.learning.get_request_limit(limit, now_s)

    def add(self, attempt_id: int, attempt: GrantedAttempt) -> None:
        """Add an attempt that is about to be sent."""
        if self.pace.is_active:
            now_s = attempt.granted_s
            attempt.inflight = self.inflight + self.count_other_inflight(now_s)
            attempt.slowdown = self.pace.get_slowdown(now_s)
            attempt.predicted_s = self.predict_first_response_s(
                attempt.call, attempt.uncached_tokens, now_s
            )
        self._refreshed_s = None
        self.attempts[attempt_id] = attempt
        self.queued[attempt_id] = attempt
        self.queued_tokens += attempt.uncached_tokens
        self.memory_tokens += attempt.memory_tokens
        if attempt.call.prompt is not None:
            weight = MOVING_AVERAGE_WEIGHT
            self.mean_uncached_tokens += weight * (
                attempt.uncached_tokens - self.mean_uncached_tokens
            )
            self.mean_memory_tokens += weight * (
                attempt.memory_tokens - self.mean_memory_tokens
            )
            self.cache.record(attempt.call.prompt)

    def record_response_start(
        self, attempt_id: int, now_s: float, is_failure: bool = False
    ) -> None:
        """Record that the response to an attempt has started.

        A failure says nothing about the speed of the endpoint.
        """
        attempt = self.queued.pop(attempt_id, None)
        if attempt is None:
            return
        self._refreshed_s = None
        attempt.started_s = now_s
        self.responded_s = now_s
        self.queued_tokens -= attempt.uncached_tokens
        self.learning.record_result(is_failure, now_s)
        if is_failure:
            return
        latency_s = now_s - attempt.granted_s
        if attempt.call.prompt is None:
            self.service_time.observe(latency_s, now_s)
        else:
            prefilled_tokens = attempt.queued_tokens + attempt.uncached_tokens
            self.prefill_speed.observe(prefilled_tokens, latency_s)
        if self.pace.is_active:
            self.learning.learn_from_start(attempt, latency_s, now_s)

    def remove(
        self,
        attempt_id: int,
        now_s: float | None = None,
        outcome: AttemptOutcome | None = None,
        events: int = 0,
    ) -> GrantedAttempt | None:
        """Remove an attempt that has ended, and learn from its end.

        Parameters
        ----------
        attempt_id : int
            Id of the attempt.
        now_s : float, optional
            Clock reading; without it nothing is learned.
        outcome : AttemptOutcome, optional
            How the attempt has ended.
        events : int, optional
            Number of events that it has brought.
        """
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        self._refreshed_s = None
        if self.queued.pop(attempt_id, None) is not None:
            self.queued_tokens -= attempt.uncached_tokens
        self.memory_tokens -= attempt.memory_tokens
        if now_s is not None and self.pace.is_active:
            inflight = self.inflight + self.count_other_inflight(now_s)
            self.learning.learn_from_end(attempt, outcome, events, inflight, now_s)
        return attempt
