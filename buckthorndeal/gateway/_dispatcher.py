"""Scheduling of attempts: queueing, grants and what follows from their ends.

No I/O: methods take a clock reading and return decisions, so that tests can
simulate load without a network.
"""

import copy
import random
from collections.abc import Callable
from functools import partial

from buckthorndeal.fleet import EndpointRecord, ServiceLoad
from buckthorndeal.gateway._admission import AdmissionControl
from buckthorndeal.gateway._crash_guard import CrashGuard
from buckthorndeal.gateway._decider import Decider
from buckthorndeal.gateway._dispatch_options import DispatchOptions
from buckthorndeal.gateway._endpoint_condition import ServiceState
from buckthorndeal.gateway._endpoint_reach import EndpointReach
from buckthorndeal.gateway._fleet_messages import Borrower, RegionUpdate
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._granted_attempt import GrantedAttempt
from buckthorndeal.gateway._grants import create_attempt, create_forward, create_grant
from buckthorndeal.gateway._limits import RetryBudgets
from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._local_choice import LocalChooser
from buckthorndeal.gateway._messages import (
    Decision,
    Dispatch,
    EndpointNotice,
    Grant,
    LoadReport,
    OverloadCause,
    Refusal,
    RefusalReason,
)
from buckthorndeal.gateway._queue import PassTimer, WaitingRequest, drain
from buckthorndeal.gateway._quota_gate import Admission, QuotaGate
from buckthorndeal.gateway._refusals import RefusalPolicy
from buckthorndeal.gateway._relay_choice import RelayChooser
from buckthorndeal.gateway._relays import RelayHosts
from buckthorndeal.gateway._remote_choice import RemoteChooser
from buckthorndeal.gateway._scoring import LocalChoice, RemoteChoice
from buckthorndeal.gateway._slot_shares import SlotShares
from buckthorndeal.policy.ejection import Ejection
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult


class Dispatcher:
    """Grants, queues or refuses each attempt on one entry host.

    Parameters
    ----------
    host, region : str
        This host and its region.
    view : FleetView
        Endpoints, services and entry hosts known to this host.
    options : DispatchOptions
        Retry budget and heartbeat interval.
    ejection : Ejection
        Outlier ejection, which excludes failing endpoints for a time.
    rng : random.Random
        Source of the jitter.
    quota : QuotaGate, optional
        Charges requests to their workspaces.
    """

    def __init__(
        self,
        host: str,
        region: str,
        view: FleetView,
        options: DispatchOptions,
        ejection: Ejection,
        rng: random.Random,
        quota: QuotaGate | None = None,
    ) -> None:
        self._host = host
        self._region = region
        self._ejection = ejection
        self._rng = rng
        self._refusals = RefusalPolicy(rng)
        self.view = view
        self.quota = quota or QuotaGate()
        self._remote = RemoteChooser(view)
        self._budgets = RetryBudgets(
            options.retry_ratio, options.retry_slack, options.retry_window_s
        )
        self.admission = AdmissionControl(
            options.heartbeat_interval_s, view.has_learned_pace, options.predicts_always
        )
        self._passes = PassTimer()
        self._granted: dict[int, GrantedAttempt] = {}
        self.reach = EndpointReach(view, ejection, rng)
        self._slot_shares = SlotShares(host, view)
        self._local = LocalChooser(view, ejection, self._slot_shares, rng)
        self.relays = RelayHosts(view, rng)
        self.crash_guard = CrashGuard(host, self.reach.path, view)
        self._decider = Decider(
            region=region,
            view=view,
            reach=self.reach,
            crash_guard=self.crash_guard,
            admission=self.admission,
            refusals=self._refusals,
            slot_shares=self._slot_shares,
            local=self._local,
            remote=self._remote,
            relay_chooser=RelayChooser(region, self.relays, self._remote),
            accept=self._accept,
        )

    def update_region(self, message: RegionUpdate, now_s: float) -> None:
        """Apply a newer load report of another region."""
        self._remote.update(message, now_s)
        self._passes.record_change()

    def expire_endpoints(self, silence_s: float, now_s: float) -> None:
        """Remove endpoints without heartbeats for `silence_s` seconds."""
        for endpoint in self.view.expire(silence_s, now_s):
            self._ejection.forget(endpoint)
            self._slot_shares.forget(endpoint)

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request of a caller for the retry budget."""
        self._budgets.get(service).record_request(now_s)

    def submit(self, dispatch: Dispatch, now_s: float) -> Decision | None:
        """Return a decision, or None if the request is queued for free capacity."""
        self.admission.start(now_s)
        admission = self.quota.admit(dispatch)
        if admission is Admission.WAITING:
            return None
        if admission is not Admission.ADMITTED:
            return self._refusals.refuse_quota(admission)
        return self._submit_admitted(dispatch, now_s)

    def create_preview(
        self, dispatch: Dispatch, now_s: float, take: Callable[..., object]
    ) -> "Dispatcher":
        """Return a copy on which a decision leaves this dispatcher as it is.

        Endpoints, evidence, ejections and budgets are shared, as the copy only reads
        them: `take` gets the arguments of `_accept` in its place, which alone would
        record there. What the steps before it count or draw is copied.
        """
        view = copy.copy(self.view)
        view.warm_ups = copy.deepcopy(self.view.warm_ups)
        shared = (
            self._ejection,
            self._budgets,
            self._granted,
            self.crash_guard,
            self.reach,
        )
        memo: dict[int, object] = {id(each): each for each in shared}
        memo[id(self.view)] = view
        memo[id(self.quota)] = self.quota.copy_for(dispatch.call.workspace)
        memo[id(self.admission)] = self.admission.copy_for(dispatch.call.service)
        copied = copy.deepcopy(self, memo)
        copied._decider.accept = take
        copied.admission.start(now_s)
        return copied

    def _submit_admitted(self, dispatch: Dispatch, now_s: float) -> Decision | None:
        """Return a decision on a request that its quota allows, or queue it."""
        decision = self._decide_or_queue(dispatch, now_s)
        if decision is None:
            self.quota.reserve(dispatch.attempt_id)
        elif isinstance(decision, Refusal):
            self.quota.finish(dispatch.attempt_id, has_run=False)
        return decision

    def _decide_or_queue(self, dispatch: Dispatch, now_s: float) -> Decision | None:
        call = dispatch.call
        waiting = self.admission.create_waiting(dispatch, now_s)
        queue = self.admission.get(call.service).queue
        predicts = self.admission.predicts(call)
        if not (predicts and queue.is_reserved(waiting, now_s)):
            decision = self._decider.decide(dispatch, now_s)
            if decision is not None:
                if isinstance(decision, Grant):
                    queue.record_overtake(waiting, now_s)
                return decision
        if not self.admission.may_begin_wait(waiting, now_s):
            return self._decider.refuse_overload(call, OverloadCause.QUEUE, now_s)
        self.admission.record_contention(call, now_s)
        queue.add(waiting)
        return None

    def record_notice(
        self, notice: EndpointNotice, now_s: float
    ) -> EndpointRecord | None:
        """Apply a notice; return the changed record if the endpoint newly leaves."""
        load = self.view.loads.get(notice.record.endpoint)
        if load is not None and notice.load is not None:
            load.record_report(notice.load, now_s)
        if notice.is_rate_known:
            self.view.rate_shares.record_named(
                notice.record, notice.rate_limit, now_s, notice.rejection_limit
            )
        if notice.load is not None:
            self._slot_shares.record_rejection(notice.record, now_s)
        if notice.pause_s is not None:
            self.view.record_pause(notice.record, notice.pause_s, now_s)
        return self.view.record_leaving(notice.record) if notice.leaving else None

    def record_response_start(
        self,
        attempt_id: int,
        report: LoadReport | None,
        now_s: float,
        is_failure: bool = False,
        report_age_s: float = 0.0,
    ) -> None:
        """Record that the response to an attempt has started."""
        load = self._get_load(self._granted.get(attempt_id))
        if load is None:
            return
        self._passes.record_change()
        service = load.entry.record.service
        self.admission.get(service).calibration.record_response_start(attempt_id, now_s)
        if report is not None:
            load.record_report(report, now_s, report_age_s)
        load.record_response_start(attempt_id, now_s, is_failure)

    def record_first_event(self, attempt_id: int, now_s: float) -> None:
        """Record that an attempt has brought the first event of a stream."""
        attempt = self._granted.get(attempt_id)
        if attempt is None:
            return
        stream_versions = self.view.stream_versions
        if attempt.version is not None:
            stream_versions.record_start(attempt.call, attempt.version, now_s)
        else:
            stream_versions.record_unconfirmed(attempt.call, attempt.record, now_s)

    def finish_attempt(
        self,
        attempt_id: int,
        outcome: AttemptOutcome | None,
        now_s: float,
        closed: bool = False,
        was_sent: bool = True,
        events: int = 0,
        not_run: bool = False,
    ) -> None:
        """Record that an attempt has ended or was withdrawn while it waited.

        `closed` tells whether the endpoint has closed the connection, `was_sent`
        whether bytes of the request have been sent, and `events` how many events of a
        stream it has brought. `not_run` tells that an endpoint certainly has not run it
        although bytes have been sent.
        """
        self.quota.finish(attempt_id, has_run=was_sent and not not_run)
        for queue in self.admission.list_queues():
            queue.remove(attempt_id)
        self._passes.record_change()
        self.relays.record_end(attempt_id)
        self._budgets.record_end(attempt_id, was_sent)
        ended = self._granted.pop(attempt_id, None)
        if ended is None:
            return
        if outcome is AttemptOutcome.SUCCEEDED:
            self.view.stream_versions.record_end(ended.call)
        self.admission.record_end(attempt_id, ended, outcome, now_s)
        load = self._get_load(ended)
        if load is None or load.is_ready(now_s):
            self.crash_guard.record_attempt(ended, outcome, closed, now_s)
        if load is None:
            return
        load.remove(attempt_id, now_s, outcome, events)
        self._slot_shares.record_end(ended.record, outcome, now_s)
        record = ended.record
        if outcome is AttemptOutcome.CONNECT_FAILED:
            self.reach.path.record_failure(record.endpoint, now_s)
            self.view.record_refusal(record, now_s)
        if outcome is None or self.reach.is_lost:
            return
        result = AttemptResult(
            record.endpoint,
            record.incarnation,
            record.service,
            outcome,
            now_s - ended.granted_s,
        )
        population = self.view.count_endpoints(record.service)
        self._ejection.observe(result, population, now_s)

    def _get_load(self, attempt: GrantedAttempt | None) -> EndpointLoad | None:
        """Return the load of the incarnation that has an attempt, if it is known."""
        if attempt is None:
            return None
        load = self.view.loads.get(attempt.record.endpoint)
        if load is None or load.entry.record.incarnation != attempt.record.incarnation:
            return None
        return load

    def decide_waiting(self, now_s: float) -> list[tuple[int, Decision]]:
        """Return decisions for waiting requests that can be served or refused now."""
        decided: list[tuple[int, Decision]] = []
        for dispatch, retry_s in self.quota.take_decided():
            if retry_s is None:
                decision = self._submit_admitted(dispatch, now_s)
            else:
                decision = self._refusals.refuse_quota(retry_s)
            if decision is not None:
                decided.append((dispatch.attempt_id, decision))
        if not self._passes.is_due(now_s):
            return decided
        for queue in self.admission.list_queues():
            if not queue:
                continue
            drained = drain(
                queue,
                now_s,
                partial(self._decide_again, now_s=now_s),
                lambda call: call.may_run_in(self._region),
                self.admission.predicts,
            )
            for attempt_id, decision in drained:
                if isinstance(decision, Refusal):
                    self.quota.finish(attempt_id, has_run=False)
            decided += drained
        return decided

    def _decide_again(
        self, waiting: WaitingRequest, ahead: int, may_try: bool, now_s: float
    ) -> Decision | None:
        """Return the decision on a waiting request, or None if it waits on."""
        if may_try:
            decision = self._decider.decide(waiting.dispatch, now_s)
            if decision is not None:
                return decision
        if self.admission.may_keep_waiting(waiting, ahead, now_s):
            return None
        return self._decider.refuse_overload(waiting.call, OverloadCause.WAIT, now_s)

    def watch_silence(self, heard_s: float, now_s: float) -> None:
        """Check the path if no endpoint sends anything; see `EndpointReach`."""
        self.reach.watch_silence(self._granted, heard_s, now_s)

    def describe_region(
        self, now_s: float, borrower: Borrower | None = None
    ) -> tuple[ServiceLoad, ...]:
        """Return the load of the region for others; none if no endpoint is reached."""
        if self.reach.is_lost:
            return ()
        loads = self.view.describe_region(now_s)
        contended = self.admission.list_contended(now_s)
        return self._remote.add_lending(loads, borrower, now_s, contended)

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for free capacity."""
        return self.quota.has_waiting or any(self.admission.list_queues())

    def describe_service(self, service: str, now_s: float) -> ServiceState:
        """Return the metrics of one service."""
        hosts = self.view.fleet.total_hosts
        budget = self._budgets.get(service)
        return ServiceState(
            self.view.count_conditions(service, now_s),
            len(self.admission.get(service).queue),
            budget.count_retries(now_s),
            budget.compute_limit(hosts, now_s),
        )

    def _accept(
        self, dispatch: Dispatch, choice: LocalChoice | RemoteChoice, now_s: float
    ) -> Decision:
        """Return the decision for a choice; refuse what exceeds a budget or quota."""
        call = dispatch.call
        retry_s = self.quota.settle(dispatch)
        if retry_s is not None:
            return self._refusals.refuse_quota(retry_s)
        if dispatch.is_retry and not self._budgets.try_acquire(
            call.service, dispatch.attempt_id, self.view.fleet.total_hosts, now_s
        ):
            return self._refusals.refuse(RefusalReason.RETRY_BUDGET)
        if isinstance(choice, RemoteChoice):
            if choice.is_relay:
                self.relays.record_sent(dispatch.attempt_id, choice.host)
            else:
                self._remote.record_sent(choice, call, now_s)
            return create_forward(choice)
        return self._grant(dispatch, choice, now_s)

    def _grant(self, dispatch: Dispatch, choice: LocalChoice, now_s: float) -> Grant:
        call, load = dispatch.call, choice.load
        attempt = create_attempt(self.view, call, choice, now_s)
        load.add(dispatch.attempt_id, attempt)
        self.admission.record_grant(dispatch.attempt_id, call, choice, now_s)
        self._granted[dispatch.attempt_id] = attempt
        self.view.rate_shares.record_request(attempt.record, now_s)
        self.crash_guard.record_grant(dispatch, now_s)
        if choice.cold:
            self.view.warm_ups.record_request(load.name, now_s)
        self._ejection.start_probe(call.service, load.name, now_s)
        return create_grant(self.view, attempt, choice, now_s)
