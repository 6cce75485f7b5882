"""Task that owns the dispatcher and replies to queries once they are decided."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from functools import singledispatchmethod

from buckthorndeal.configuration import Route, ServiceDescription
from buckthorndeal.gateway._backlog import Backlog
from buckthorndeal.gateway._cold_watch import ColdWatch
from buckthorndeal.gateway._contact import EndpointContact
from buckthorndeal.gateway._decision_log import (
    count_decision,
    describe_decision,
    record_admission,
)
from buckthorndeal.gateway._dispatch_effects import DispatchEffects
from buckthorndeal.gateway._dispatcher import Dispatcher
from buckthorndeal.gateway._endpoint_news import EndpointNews
from buckthorndeal.gateway._explanation import explain
from buckthorndeal.gateway._fleet_messages import (
    ColdCheckEnded,
    DescribeRegionLoad,
    EndpointLeft,
    EndpointProbed,
    FleetChanged,
    HeartbeatsReceived,
    PathProbed,
    RegionUpdate,
    RelayUnreachable,
)
from buckthorndeal.gateway._messages import (
    AttemptEnded,
    Decision,
    Dispatch,
    EndpointNotice,
    ExplainDecision,
    Refusal,
    ResponseStarted,
)
from buckthorndeal.gateway._pace_log import PaceLog
from buckthorndeal.gateway._path_watch import PathWatch
from buckthorndeal.gateway._quota_requests import QuotaRequests
from buckthorndeal.gateway._region_metrics import LENT_GAUGES, count_move, record_lent
from buckthorndeal.gateway._shared_messages import (
    CoordinatorsReached,
    DescribeSharedState,
    EvidenceReceived,
    FindStreamOrigin,
    ListOpenOrigins,
    QuotaReplied,
    RateLimitsReceived,
)
from buckthorndeal.gateway._sharing import Sharing
from buckthorndeal.logs import log_event, log_routine
from buckthorndeal.mailbox import (
    Envelope,
    create_mailbox,
    fail_unexpectedly,
    run_guarded,
)
from buckthorndeal.metrics import Metrics
from buckthorndeal.workspaces import Workspace

IDLE_INTERVAL_S = 1.0
# Short, so that a waiting request is refused soon after its maximum wait.
WAITING_INTERVAL_S = 0.02
EVIDENCE_INTERVAL_S = 0.1
PATH_INTERVAL_S = 0.1
COLD_CHECK_INTERVAL_S = 0.1
ENDPOINT_EXPIRY_S = 10.0
GAUGES = {
    "endpoints": "Endpoints of the region by condition.",
    "waiting_requests": "Requests that wait for room at an endpoint.",
    "retries_in_window": "Repeats in the window of the retry budget.",
    "retries_allowed": "Part of this host in the retry budget.",
    "prediction_factor": "Observed response times relative to the predicted ones.",
    "contended": "Whether a request has found no room within half a second.",
    "quarantined_keys": "Keys of requests that crash endpoints.",
    **LENT_GAUGES,
}


class DispatchTask:
    """Runs the dispatcher, which other tasks reach through the mailbox.

    Parameters
    ----------
    dispatcher : Dispatcher
        Makes the decisions.
    metrics : Metrics
        Metrics of the daemon.
    clock : callable
        Returns monotonic seconds.
    contact : EndpointContact
        When anything was last received from an endpoint.
    effects : DispatchEffects
        What the dispatcher's decisions do outside of it.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        metrics: Metrics,
        clock: Callable[[], float],
        contact: EndpointContact,
        effects: DispatchEffects,
    ) -> None:
        self.mailbox = create_mailbox()
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._clock = clock
        self._effects = effects
        self._path = PathWatch(dispatcher, self.mailbox, metrics, contact, effects)
        self._endpoint_news = EndpointNews(dispatcher.view, metrics)
        self._backlog = Backlog(self.mailbox, clock, self._endpoint_news.record_stop)
        self._cold_watch = ColdWatch(dispatcher.view, self.mailbox, metrics, effects)
        self._sharing = Sharing(dispatcher, self.mailbox, metrics, effects)
        self._pace_log = PaceLog(metrics)
        metrics.describe_gauges(GAUGES)
        self._quota = QuotaRequests(dispatcher.quota, metrics, effects)
        self._waiting: dict[int, Envelope] = {}
        self._expire_due_s = clock()

    async def run(self) -> None:
        """Handle messages and timers until cancelled."""
        while True:
            for envelope in await self._backlog.receive(self._get_wait_s()):
                try:
                    message, now_s = envelope.message, self._clock()
                    await self._handle(message, envelope, now_s)
                except Exception as error:
                    await fail_unexpectedly(envelope, error, self._metrics)
            now_s = self._clock()
            for step in (
                self._cold_watch.check,
                self._decide_waiting,
                self._path.check,
                self._sharing.handle_crash_news,
                self._sharing.share_rate_limits,
                self._sharing.share_origins,
                self._request_quota,
                self._expire,
            ):
                await run_guarded(self._metrics, step, now_s)

    def _get_wait_s(self) -> float:
        if self._dispatcher.has_waiting:
            return WAITING_INTERVAL_S
        if self._dispatcher.crash_guard.is_open(self._clock()):
            return EVIDENCE_INTERVAL_S
        if self._dispatcher.reach.path.needs_attention:
            return PATH_INTERVAL_S
        if self._dispatcher.view.fleet.cut_off_hosts:
            return PATH_INTERVAL_S
        if self._cold_watch.is_pending:
            return COLD_CHECK_INTERVAL_S
        return self._quota.get_interval_s(IDLE_INTERVAL_S)

    async def _request_quota(self, now_s: float) -> None:
        del now_s
        await self._quota.request(self._dispatcher.view.fleet.total_hosts)

    async def _expire(self, now_s: float) -> None:
        if now_s >= self._expire_due_s:
            self._expire_due_s = now_s + IDLE_INTERVAL_S
            self._dispatcher.expire_endpoints(ENDPOINT_EXPIRY_S, now_s)
            self._record_state(now_s)
            self._pace_log.write(self._dispatcher.view.loads.values(), now_s)

    def _log_rejection(self, message: EndpointNotice) -> None:
        """Log that an endpoint has not run a request, and how full it is."""
        load = self._dispatcher.view.loads.get(message.record.endpoint)
        self._metrics.count("requests_rejected", service=message.record.service)
        log_event(
            "request_rejected",
            endpoint=message.record.endpoint,
            own=load.inflight if load is not None else None,
            running=message.load.running,
            waiting=message.load.waiting,
            slots=message.load.slots,
        )

    @singledispatchmethod
    async def _handle(self, message: object, envelope: Envelope, now_s: float) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    async def _(self, message: Dispatch, envelope: Envelope, now_s: float) -> None:
        if not message.is_retry and not message.call.hops and not message.excluded:
            self._dispatcher.record_request(message.call.service, now_s)
        decision = self._dispatcher.submit(message, now_s)
        if decision is None:
            self._waiting[message.attempt_id] = envelope
            return
        await self._answer(envelope, decision, now_s)

    @_handle.register
    async def _(
        self, message: ResponseStarted, envelope: Envelope, now_s: float
    ) -> None:
        dispatcher = self._dispatcher
        dispatcher.record_response_start(
            message.attempt_id,
            message.load,
            now_s,
            message.is_failure,
            message.load_age_s,
        )
        if message.has_events:
            dispatcher.record_first_event(message.attempt_id, now_s)

    @_handle.register
    async def _(self, message: AttemptEnded, envelope: Envelope, now_s: float) -> None:
        self._waiting.pop(message.attempt_id, None)
        self._dispatcher.finish_attempt(
            message.attempt_id,
            message.outcome,
            now_s,
            message.closed,
            message.was_sent,
            message.events,
            message.not_run,
        )

    @_handle.register
    async def _(self, message: QuotaReplied, envelope: Envelope, now_s: float) -> None:
        self._quota.apply(message)

    @_handle.register
    async def _(
        self, message: EvidenceReceived, envelope: Envelope, now_s: float
    ) -> None:
        self._dispatcher.crash_guard.quarantine.receive(message.evidence, now_s)

    @_handle.register
    async def _(
        self, message: RateLimitsReceived, envelope: Envelope, now_s: float
    ) -> None:
        self._dispatcher.view.rate_shares.receive(message.limits, now_s)

    @_handle.register
    async def _(
        self, message: FindStreamOrigin, envelope: Envelope, now_s: float
    ) -> None:
        stream_versions = self._dispatcher.view.stream_versions
        await envelope.reply(stream_versions.find_origin(message, now_s))

    @_handle.register
    async def _(
        self, message: ListOpenOrigins, envelope: Envelope, now_s: float
    ) -> None:
        stream_versions = self._dispatcher.view.stream_versions
        await envelope.reply(stream_versions.list_open_origins(now_s))

    @_handle.register
    async def _(
        self, message: DescribeSharedState, envelope: Envelope, now_s: float
    ) -> None:
        await envelope.reply(self._sharing.describe_all(now_s))

    @_handle.register
    async def _(
        self, message: EndpointProbed, envelope: Envelope, now_s: float
    ) -> None:
        guard = self._dispatcher.crash_guard
        guard.record_probe(message.record, message.accepted, now_s)
        if not message.accepted:
            self._dispatcher.view.record_refusal(message.record, now_s)

    @_handle.register
    async def _(self, message: PathProbed, envelope: Envelope, now_s: float) -> None:
        self._dispatcher.reach.record_probe(message.record, message.accepted, now_s)

    @_handle.register
    async def _(
        self, message: RelayUnreachable, envelope: Envelope, now_s: float
    ) -> None:
        self._dispatcher.relays.record_failure(message.host, now_s)

    @_handle.register
    async def _(
        self, message: EndpointNotice, envelope: Envelope, now_s: float
    ) -> None:
        if message.load is not None:
            self._log_rejection(message)
        await envelope.reply(self._dispatcher.record_notice(message, now_s))

    @_handle.register
    async def _(
        self, message: HeartbeatsReceived, envelope: Envelope, now_s: float
    ) -> None:
        self._endpoint_news.apply(message, now_s)
        await envelope.reply()

    @_handle.register
    async def _(self, message: EndpointLeft, envelope: Envelope, now_s: float) -> None:
        self._endpoint_news.record_left(message, now_s)
        await envelope.reply()

    @_handle.register
    async def _(self, message: RegionUpdate, envelope: Envelope, now_s: float) -> None:
        self._dispatcher.update_region(message, now_s)
        record_lent(self._metrics, message)

    @_handle.register
    async def _(self, message: FleetChanged, envelope: Envelope, now_s: float) -> None:
        self._cold_watch.begin(self._endpoint_news.apply_fleet(message, now_s))

    @_handle.register
    async def _(
        self, message: ColdCheckEnded, envelope: Envelope, now_s: float
    ) -> None:
        self._cold_watch.record_end(message, now_s)

    @_handle.register
    async def _(
        self, message: CoordinatorsReached, envelope: Envelope, now_s: float
    ) -> None:
        self._dispatcher.view.stream_versions.set_reach(message.majority, now_s)

    @_handle.register
    async def _(
        self, message: DescribeRegionLoad, envelope: Envelope, now_s: float
    ) -> None:
        loads = self._dispatcher.describe_region(now_s, message.borrower)
        await envelope.reply(loads)

    @_handle.register
    async def _(
        self, message: ExplainDecision, envelope: Envelope, now_s: float
    ) -> None:
        explanation = explain(self._dispatcher, message.call, now_s)
        await envelope.reply(replace(explanation, draining=message.is_draining))

    def set_services(self, services: Mapping[str, ServiceDescription]) -> None:
        """Replace the services with those of a newer configuration."""
        self._dispatcher.view.set_services(services)

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Replace the routes with those of a newer configuration."""
        stream_versions = self._dispatcher.view.stream_versions
        stream_versions.set_routes(routes, self._clock())

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Replace the workspaces with those of a newer configuration."""
        self._dispatcher.quota.set_workspaces(workspaces)

    def _record_state(self, now_s: float) -> None:
        self._quota.record_state()
        quarantine = self._dispatcher.crash_guard.quarantine
        self._metrics.set_gauge("quarantined_keys", quarantine.count_quarantined())
        caches = self._dispatcher.view.prefix_caches
        self._metrics.set_gauge("prompt_parts", len(caches))
        self._metrics.set_gauge("prompt_parts_evicted", caches.evicted_count)
        for service in self._dispatcher.view.services:
            state = self._dispatcher.describe_service(service, now_s)
            record_admission(self._metrics, self._dispatcher.admission, service, now_s)
            for condition, count in state.endpoints.items():
                self._metrics.set_gauge(
                    "endpoints", count, service=service, condition=condition.value
                )
            self._metrics.set_gauge("waiting_requests", state.waiting, service=service)
            self._metrics.set_gauge("retries_in_window", state.retries, service=service)
            self._metrics.set_gauge(
                "retries_allowed", state.retries_allowed, service=service
            )

    async def _decide_waiting(self, now_s: float) -> None:
        if not self._dispatcher.has_waiting:
            return
        for attempt_id, decision in self._dispatcher.decide_waiting(now_s):
            envelope = self._waiting.pop(attempt_id, None)
            if envelope is not None:
                await self._answer(envelope, decision, now_s)

    async def _answer(
        self, envelope: Envelope, decision: Decision, now_s: float
    ) -> None:
        message: Dispatch = envelope.message
        call = message.call
        waited_s = now_s - call.arrived_s
        count_decision(self._metrics, call, decision)
        count_move(self._metrics, call, decision)
        self._metrics.observe("decision_wait_seconds", waited_s, service=call.service)
        refused = isinstance(decision, Refusal)
        write = log_event if refused else log_routine
        write(
            "dispatch_decision",
            request_id=call.request_id,
            route=call.route.name,
            service=call.service,
            repeat=message.is_retry,
            forwarded=bool(call.hops),
            resumes=call.resumes,
            left_ms=round((call.deadline_s - now_s) * 1000),
            waited_ms=round(waited_s * 1000),
            **describe_decision(decision),
        )
        await envelope.reply(decision)
