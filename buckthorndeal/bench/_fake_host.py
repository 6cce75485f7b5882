"""Routing and admission of an entry host over fake endpoints."""

import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from buckthorndeal.bench._fake_fleet import (
    BLOCK_TOKENS,
    EventClock,
    FakeEndpoint,
    Job,
    LoadReport,
)
from buckthorndeal.errors import RequestError
from buckthorndeal.policy.admission import (
    AdmissionRequest,
    Refused,
    Ticket,
    create_admission,
)
from buckthorndeal.policy.affinity import create_affinity
from buckthorndeal.policy.budget import create_budget
from buckthorndeal.policy.routing import create_router
from buckthorndeal.policy.views import (
    AttemptOutcome,
    AttemptResult,
    EndpointView,
    RouteRequest,
)
from buckthorndeal.sections import Weights

__all__ = ["FakeHost", "FakeRequest", "HostSettings"]

PERIODIC_INTERVAL_S = 0.05


@dataclass(slots=True)
class FakeRequest:
    """A caller's request and its outcome."""

    route: RouteRequest
    output_tokens: int
    arrived_s: float
    attempts: int = 0
    outcome: str = "open"
    answered_s: float = 0.0
    ended_s: float = 0.0
    busy_s: float = 0.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings that all hosts of one run share."""

    strategy: str
    capacity: int
    max_capacity: int
    peers: int
    weights: Weights


class FakeHost:
    """Admission control, routing and retries of one entry host."""

    def __init__(
        self,
        settings: HostSettings,
        endpoints: Mapping[str, FakeEndpoint],
        clock: EventClock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._clock = clock
        self.router = create_router(
            "home", rng, settings.strategy, create_affinity(BLOCK_TOKENS)
        )
        self.router.set_peer_count(settings.peers)
        self._admission = create_admission(settings.capacity, settings.max_capacity)
        self._budget = create_budget()
        self._views = {name: _create_view(endpoints[name]) for name in endpoints}
        self._candidates = list(self._views.values())
        self._sent_times_s: dict[str, deque[float]] = {
            name: deque() for name in endpoints
        }
        self._waiting: dict[str, FakeRequest] = {}
        clock.call_later(PERIODIC_INTERVAL_S, self._run_periodic_tasks)

    def submit(self, request: FakeRequest) -> None:
        """Admit, queue or refuse a request of a caller."""
        now_s = self._clock.now_s
        route = request.route
        service_s = self.router.estimates.get_service_estimate(route.service).service_s
        admission_request = AdmissionRequest(
            route.request_id,
            route.workspace,
            route.deadline_s,
            route.priority,
            self.router.get_wait(route.service),
            service_s,
            requests_per_s=1000.0,
            burst=1000,
            concurrency=1000,
        )
        self._budget.record_request(route.workspace, now_s)
        try:
            admitted = self._admission.admit(admission_request, now_s)
        except RequestError as error:
            self._end(request, error.code)
            return
        if isinstance(admitted, Ticket):
            self._dispatch(request, admitted)
            return
        self._waiting[route.request_id] = request
        self._refuse(admitted.displaced)

    def receive_report(self, report: LoadReport) -> None:
        """Apply a load report, which may be stale."""
        view = self._views[report.endpoint]
        view.running = report.running
        view.queued = report.queued
        sent_times_s = self._sent_times_s[report.endpoint]
        while sent_times_s and sent_times_s[0] <= report.measured_s:
            sent_times_s.popleft()
        view.own_since_report = len(sent_times_s)

    def _dispatch(self, request: FakeRequest, ticket: Ticket) -> None:
        now_s = self._clock.now_s
        decision = self.router.choose(
            request.route, self._candidates, (), self._settings.weights, now_s
        )
        if decision.endpoint is None:
            self._end(request, decision.reason)
            self._release(ticket)
            return
        view = decision.endpoint
        request.attempts += 1
        view.own_inflight += 1
        view.own_since_report += 1
        self._sent_times_s[view.name].append(now_s)
        on_end = self._create_callback(request, ticket, view)
        route = request.route
        job = Job(
            route.prefix_hashes,
            route.prompt_tokens,
            request.output_tokens,
            on_end,
            now_s,
        )
        self._endpoints[view.name].submit(job)

    def _create_callback(
        self, request: FakeRequest, ticket: Ticket, view: EndpointView
    ) -> Callable[[Job, bool], None]:
        def on_end(job: Job, succeeded: bool) -> None:
            view.own_inflight -= 1
            self.router.observe(
                _create_result(view, job, succeeded, self._clock.now_s),
                self._clock.now_s,
            )
            if succeeded:
                request.answered_s = job.sent_s + job.first_token_s
                request.busy_s = job.busy_s
                self._end(request, "answered")
                self._release(ticket)
            else:
                self._retry(request, ticket, view.name)

        return on_end

    def _retry(self, request: FakeRequest, ticket: Ticket, failed: str) -> None:
        now_s = self._clock.now_s
        if self._budget.try_spend(request.route.workspace, now_s):
            excluded = request.route.excluded | {failed}
            request.route = replace(request.route, excluded=excluded)
            self._dispatch(request, ticket)
            return
        self._end(request, "failed")
        self._release(ticket)

    def _release(self, ticket: Ticket) -> None:
        self._start_admitted(self._admission.release(ticket, self._clock.now_s))

    def _start_admitted(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            request = self._waiting.pop(ticket.request.request_id)
            # As an event of its own, so that consecutive refusals don't recurse.
            self._clock.call_later(0.0, self._dispatch, request, ticket)

    def _run_periodic_tasks(self) -> None:
        now_s = self._clock.now_s
        self._refuse(self._admission.expire(now_s))
        self._start_admitted(self._admission.adapt_capacity(self._get_load(), now_s))
        self._clock.call_later(PERIODIC_INTERVAL_S, self._run_periodic_tasks)

    def _get_load(self) -> float:
        reported = sum(view.running + view.queued for view in self._candidates)
        return reported / sum(view.slots for view in self._candidates)

    def _refuse(self, refused: list[Refused] | tuple[Refused, ...]) -> None:
        for refusal in refused:
            request = self._waiting.pop(refusal.request.request_id)
            self._end(request, refusal.error.code)

    def _end(self, request: FakeRequest, outcome: str) -> None:
        request.outcome = outcome
        request.ended_s = self._clock.now_s


def _create_view(endpoint: FakeEndpoint) -> EndpointView:
    return EndpointView(
        endpoint.name,
        1,
        "model",
        "home",
        "domain",
        "127.0.0.1",
        1,
        slots=endpoint.slots,
        ready_since_s=-1000.0,
    )


def _create_result(
    view: EndpointView, job: Job, succeeded: bool, now_s: float
) -> AttemptResult:
    if not succeeded:
        return AttemptResult(
            view.name, 1, view.service, AttemptOutcome.BROKEN, now_s - job.sent_s
        )
    return AttemptResult(
        view.name,
        1,
        view.service,
        AttemptOutcome.SUCCEEDED,
        now_s - job.sent_s,
        job.first_token_s,
        job.prompt_tokens,
        job.output_tokens,
        job.cached_tokens,
    )
