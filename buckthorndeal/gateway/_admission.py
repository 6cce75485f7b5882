"""Admission of requests by what their callers still get from them; no I/O.

Answers load beyond what the endpoints serve within the objectives: room goes to
requests that are served in time, late ones get what nobody else wants, and the others
are refused at once.
"""

import copy
from collections.abc import Callable

from buckthorndeal.gateway import _basic_admission
from buckthorndeal.gateway._granted_attempt import GrantedAttempt
from buckthorndeal.gateway._latency_limits import (
    compute_latency_budget_s,
    compute_max_turn_wait_s,
    compute_max_wait_s,
)
from buckthorndeal.gateway._messages import Call, Dispatch, OverloadCause
from buckthorndeal.gateway._outlook import Outlook, predict_own_s, predict_total_s
from buckthorndeal.gateway._queue import (
    PASS_INTERVAL_S,
    WaitingQueue,
    WaitingRequest,
)
from buckthorndeal.gateway._scoring import LocalChoice
from buckthorndeal.gateway._service_admission import ServiceAdmission
from buckthorndeal.policy.fairness import create_fair_shares
from buckthorndeal.policy.views import AttemptOutcome
from buckthorndeal.workspaces import QuotaUnit, Workspace

# Largest correction where the pace of endpoints is learned: the pace follows observed
# and overdue responses of each endpoint, and one that is slow should not raise the
# predictions of the others.
MAX_LEARNED_FACTOR = 2.5
# Length of the startup phase, in heartbeat intervals.
STARTUP_HEARTBEAT_INTERVALS = 1.5
# A request is refused before this share of its objective has passed, unless it will
# most likely be served within the objective: later refusals cost their callers.
REFUSAL_SHARE = 0.125
# Largest share of the time up to the latest start that the predicted wait may take.
# Requests that come later and are more urgent prolong it.
QUEUE_SHARE = 0.25
# The same once a request has waited for `REFUSAL_SHARE`.
KEEP_SHARE = 0.7
# Shares of the usual room, in time and in slots, that a request may use while others
# want it: after a more urgent one, and in a workspace beyond its fair share.
LESS_URGENT_SHARE = 0.4
EXCESSIVE_SHARE = 0.7
# Largest backlog, as a share of the objective, behind which a late request is served
# while nobody else wants the room.
LATE_BACKLOG_SHARE = 0.3
# Largest predicted time, as a multiple of what is within the objective, at which a
# request waits a moment for a shorter backlog instead of being refused.
NEAR_MISS_FACTOR = 1.3
NEAR_MISS_MEMORY_S = 0.1
# Share of the slots of an engine that is used; see `MAX_SLOT_UTILIZATION`.
USABLE_SLOT_SHARE = 0.8
# Quota units of a request, relative to tokens, where quotas count requests.
TOKENS_PER_REQUEST = 1000.0
ANONYMOUS = "anonymous"


class AdmissionControl:
    """Decides whether requests are served in time, late or not at all on one host.

    Predictions decide for callers with a workspace, and for services whose endpoints
    report a slowdown. Elsewhere the latency objective alone does.

    Parameters
    ----------
    heartbeat_interval_s : float
        Seconds between the heartbeats of an endpoint.
    has_learned_pace : callable
        Returns whether the endpoints of a service report a slowdown.
    predicts_always : bool, optional
        Whether predictions decide everywhere.
    """

    def __init__(
        self,
        heartbeat_interval_s: float,
        has_learned_pace: Callable[[str], bool],
        predicts_always: bool = False,
    ) -> None:
        self._heartbeat_interval_s = heartbeat_interval_s
        self._has_learned_pace = has_learned_pace
        self._predicts_always = predicts_always
        self._started_s: float | None = None
        self._services: dict[str, ServiceAdmission] = {}
        self.shares = create_fair_shares()

    def get(self, service: str) -> ServiceAdmission:
        """Return what was observed of a service."""
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = ServiceAdmission()
        return state

    def copy_for(self, service: str) -> "AdmissionControl":
        """Return a copy that decides on requests of one service and changes no other.

        The other services are left out, as they do not decide on these requests.
        """
        copied = copy.copy(self)
        copied._services = {}
        copied.shares = copy.deepcopy(self.shares)
        state = self._services.get(service)
        if state is not None:
            memo = {id(state.queue): state.queue.copy()}
            copied._services[service] = copy.deepcopy(state, memo)
        return copied

    def predicts(self, call: Call) -> bool:
        """Return whether predictions decide on a request."""
        if self._predicts_always or call.workspace is not None:
            return True
        return self._has_learned_pace(call.service)

    def list_queues(self) -> list[WaitingQueue]:
        """Return the queues of all services."""
        return [state.queue for state in self._services.values()]

    def start(self, now_s: float) -> None:
        """Begin the startup phase, if it has not begun."""
        if self._started_s is None:
            self._started_s = now_s

    def compute_startup_left_s(self, now_s: float) -> float:
        """Return how long first heartbeats of endpoints may still be outstanding.

        After a restart of all hosts, every endpoint sends one within its interval.
        """
        phase_s = STARTUP_HEARTBEAT_INTERVALS * self._heartbeat_interval_s
        if self._started_s is None:
            return phase_s
        return max(0.0, self._started_s + phase_s - now_s)

    def predict(self, call: Call, choice: LocalChoice, now_s: float) -> Outlook:
        """Return what the caller gets from the chosen endpoint."""
        state = self.get(call.service)
        factor = state.calibration.get_factor(now_s)
        if choice.load.pace.is_active:
            factor = min(factor, MAX_LEARNED_FACTOR)
        first_s = choice.predicted_s * factor
        own_s = predict_own_s(call, choice, now_s)
        state.record_own(call.route.name, own_s)
        return Outlook(
            first_s,
            predict_total_s(call, choice.load, first_s, state.output_token_s, now_s),
            own_s,
            compute_latency_budget_s(call, now_s),
            call.deadline_s - now_s,
        )

    def may_serve(
        self, call: Call, choice: LocalChoice, outlook: Outlook, now_s: float
    ) -> bool:
        """Return whether a request may be sent to the chosen endpoint now."""
        if not self.predicts(call):
            return _basic_admission.may_serve(call, choice, now_s)
        if outlook.is_in_time:
            share = self._get_share(call, now_s)
            needed_s = outlook.first_s + self._reserve_s(call, outlook, now_s)
            return needed_s <= outlook.budget_s * share
        if _basic_admission.is_trial(call, choice, now_s):
            # One request at a time, as the endpoint may also have fallen silent.
            return True
        if call.prompt is None:
            return False
        return outlook.is_useful and self._may_serve_late(call, choice, outlook, now_s)

    def find_cause(self, call: Call, outlook: Outlook, now_s: float) -> OverloadCause:
        """Return why a request is not sent to the chosen endpoint."""
        if not outlook.is_useful:
            return OverloadCause.DEADLINE
        if outlook.is_in_time and self._get_share(call, now_s) < 1.0:
            return OverloadCause.YIELDS
        return OverloadCause.BACKLOG

    def may_improve(self, call: Call, outlook: Outlook, now_s: float) -> bool:
        """Return whether a request that would be late may be in time a moment later."""
        if not self.predicts(call):
            return False
        nearly_s = NEAR_MISS_FACTOR * outlook.budget_s
        if outlook.first_s > nearly_s or not outlook.is_useful:
            return False
        self.get(call.service).near_miss_s = now_s
        return True

    def has_room(self, call: Call, choice: LocalChoice, now_s: float) -> bool:
        """Return whether a request that yields to others leaves them enough slots."""
        if call.prompt is None or not self.predicts(call):
            return True
        share = self._get_share(call, now_s)
        if share == 1.0:
            return True
        utilization = choice.load.compute_utilization(now_s)
        return utilization < USABLE_SLOT_SHARE * share

    def record_grant(
        self, attempt_id: int, call: Call, choice: LocalChoice, now_s: float
    ) -> None:
        """Record that a request is sent to an endpoint."""
        state = self.get(call.service)
        state.calibration.record_grant(
            attempt_id, choice.load.name, choice.predicted_s, now_s
        )
        tokens = choice.uncached_tokens
        if call.prompt is not None:
            tokens += call.prompt.max_output_tokens
        state.record_served(tokens)
        name, weight = _describe_workspace(call.workspace)
        self.shares.record(name, weight, max(1, tokens), now_s)

    def record_turn(self, call: Call, wait_s: float, now_s: float) -> None:
        """Record when a rate-limited endpoint takes the next request of this host."""
        # Passes over the queue come a little later than the moment itself.
        self.get(call.service).turn_s = now_s + wait_s + PASS_INTERVAL_S

    def record_contention(self, call: Call, now_s: float) -> None:
        """Record that a request has found no room.

        While endpoints are still becoming known, that says nothing of the load.
        """
        if self.compute_startup_left_s(now_s) > 0:
            return
        state = self.get(call.service)
        state.contended_s[call.priority] = now_s
        if not self._is_excessive(call, now_s):
            state.fair_contended_s = now_s

    def record_end(
        self,
        attempt_id: int,
        attempt: GrantedAttempt,
        outcome: AttemptOutcome | None,
        now_s: float,
    ) -> None:
        """Record that an attempt has ended, and its slot is free."""
        call = attempt.call
        state = self.get(call.service)
        state.queue.record_slot_release(now_s)
        state.calibration.remove(attempt_id, now_s)
        if outcome is not AttemptOutcome.SUCCEEDED or not attempt.started:
            return
        if call.prompt is None or call.prompt.max_output_tokens < 1:
            return
        output_s = now_s - attempt.started_s
        state.record_output(output_s / call.prompt.max_output_tokens)

    def create_waiting(self, dispatch: Dispatch, now_s: float) -> WaitingRequest:
        """Return a request that is about to wait, with its latest start."""
        call = dispatch.call
        if not self.predicts(call):
            return WaitingRequest(dispatch, now_s)
        objective_s = call.route.latency_objective_s
        mean_s = self.get(call.service).calibration.mean_response_s
        due_s = now_s + compute_latency_budget_s(call, now_s)
        due_s -= min(mean_s, objective_s / 2)
        return WaitingRequest(dispatch, now_s, due_s, self._is_excessive(call, now_s))

    def may_begin_wait(self, waiting: WaitingRequest, now_s: float) -> bool:
        """Return whether a request that found no room may wait for some."""
        startup_left_s = self.compute_startup_left_s(now_s)
        queue = self.get(waiting.call.service).queue
        if not self.predicts(waiting.call):
            is_starting = startup_left_s > 0
            return _basic_admission.may_begin_wait(waiting, queue, is_starting, now_s)
        if startup_left_s > 0:
            return now_s + startup_left_s < waiting.call.deadline_s
        ahead = queue.count_ahead(waiting, now_s)
        if not ahead:
            return now_s < waiting.due_s
        wait_s = queue.predict_wait_s(ahead, now_s)
        return wait_s <= QUEUE_SHARE * (waiting.due_s - now_s)

    def compute_max_wait_s(self, call: Call, now_s: float) -> float:
        """Return the longest wait for room of a request that comes now, in seconds.

        Where predictions decide, a long queue or a rate limit shortens it.
        """
        startup_left_s = self.compute_startup_left_s(now_s)
        if not self.predicts(call):
            return compute_max_wait_s(call, startup_left_s > 0)
        if now_s + startup_left_s >= call.deadline_s:
            startup_left_s = 0.0
        due_s = self.create_waiting(Dispatch(0, call), now_s).due_s
        return max(startup_left_s, due_s - now_s)

    def may_keep_waiting(
        self, waiting: WaitingRequest, ahead: int, now_s: float
    ) -> bool:
        """Return whether a waiting request waits on behind `ahead` others."""
        startup_left_s = self.compute_startup_left_s(now_s)
        if not self.predicts(waiting.call):
            return _basic_admission.may_keep_waiting(waiting, startup_left_s > 0, now_s)
        if startup_left_s > 0:
            return now_s + startup_left_s < waiting.call.deadline_s
        objective_s = waiting.call.route.latency_objective_s
        waited_s = now_s - waiting.queued_at_s
        if waited_s < REFUSAL_SHARE * objective_s:
            return True
        state = self.get(waiting.call.service)
        if now_s < state.turn_s:
            return waited_s < compute_max_turn_wait_s(waiting.call)
        if now_s - state.near_miss_s < NEAR_MISS_MEMORY_S:
            # Free slots do not tell how long a backlog lasts.
            return False
        wait_s = state.queue.predict_wait_s(ahead, now_s)
        return wait_s <= KEEP_SHARE * (waiting.due_s - now_s)

    def list_contended(self, now_s: float) -> frozenset[str]:
        """Return the services of which a request has found no room a moment ago."""
        return frozenset(
            service
            for service, state in self._services.items()
            if state.is_contended(now_s)
        )

    def describe(self, service: str, now_s: float) -> tuple[float, bool]:
        """Return the correction of predictions and whether requests find no room."""
        state = self.get(service)
        return state.calibration.get_factor(now_s), state.is_contended(now_s)

    def predict_drain_s(self, call: Call, now_s: float) -> float:
        """Return when there is room for callers that are refused now, in seconds."""
        if not self.predicts(call):
            return 0.0
        queue = self.get(call.service).queue
        wait_s = queue.predict_wait_s(len(queue), now_s)
        return min(wait_s, call.route.latency_objective_s)

    def _reserve_s(self, call: Call, outlook: Outlook, now_s: float) -> float:
        """Return the time that a request leaves to larger ones of its route."""
        state = self.get(call.service)
        if call.prompt is None or not state.is_contended(now_s):
            return 0.0
        large_s = min(state.large_own_s[call.route.name], outlook.budget_s / 2)
        return max(0.0, large_s - outlook.own_s)

    def _get_share(self, call: Call, now_s: float) -> float:
        state = self.get(call.service)
        share = 1.0
        if state.has_more_urgent(call.priority, now_s):
            share = LESS_URGENT_SHARE
        if state.is_contended_within_shares(now_s) and self._is_excessive(call, now_s):
            share = min(share, EXCESSIVE_SHARE)
        return share

    def _may_serve_late(
        self, call: Call, choice: LocalChoice, outlook: Outlook, now_s: float
    ) -> bool:
        state = self.get(call.service)
        objective_s = call.route.latency_objective_s
        own_s = outlook.own_s
        if self.compute_startup_left_s(now_s) > 0:
            return True
        if not state.is_contended(now_s) and not state.queue:
            return outlook.first_s - own_s <= LATE_BACKLOG_SHARE * objective_s
        # Its own size makes it late, not the backlog.
        is_large = own_s > objective_s / 2
        return is_large and state.try_spend_late_credit(choice.uncached_tokens)

    def _is_excessive(self, call: Call, now_s: float) -> bool:
        if call.workspace is None and len(self.shares) < 2:
            return False
        return self.shares.is_excessive(_describe_workspace(call.workspace)[0], now_s)


def _describe_workspace(workspace: Workspace | None) -> tuple[str, float]:
    """Return the name and the weight of a workspace: its quota, if it has one."""
    if workspace is None:
        return ANONYMOUS, TOKENS_PER_REQUEST
    if not workspace.is_limited:
        return workspace.name, TOKENS_PER_REQUEST
    if workspace.unit is QuotaUnit.REQUESTS:
        return workspace.name, workspace.rate_per_s * TOKENS_PER_REQUEST
    return workspace.name, workspace.rate_per_s
