"""Router task: owns the endpoint registry, the directory and the routing policy."""

import functools
from collections.abc import Callable

from buckthorndeal.directory import Directory, HostRecord
from buckthorndeal.entry._admission import AdmissionControl, AdmissionResult
from buckthorndeal.entry._candidates import Candidates
from buckthorndeal.entry._messages import (
    NO_CREDIT,
    Admit,
    ChooseRoute,
    DocumentView,
    EndAttempt,
    FindOwner,
    GetGauges,
    HostUpdate,
    IsTargetLive,
    ListEndpoints,
    ListHosts,
    ListRegionHosts,
    Release,
    Route,
    RouterGauges,
    TakeUnservedCounts,
    Tick,
)
from buckthorndeal.entry._peers import SendToPeer
from buckthorndeal.entry._policy import RoutePolicy
from buckthorndeal.entry._regions import (
    ServiceLoad,
    SpillReceived,
    compute_lending_limit,
    create_credit_exchange,
)
from buckthorndeal.errors import RequestError
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Envelope, Mailbox
from buckthorndeal.policy.routing import may_spill
from buckthorndeal.policy.views import Decision, EndpointView, RegionView, RouteRequest
from buckthorndeal.registry import (
    Accepted,
    Announcement,
    DrainNotice,
    Heartbeat,
    LeaveNotice,
    create_registry,
)
from buckthorndeal.wire import Message

RETRY_AFTER_S = 1.0
# Returned by a handler whose reply is sent later.
DEFERRED = object()


class RouterState:
    """State of the router task, with one handler for each message type.

    Parameters
    ----------
    host, region : str
        Name and region of this host.
    directory : Directory
        Known entry hosts.
    policy : RoutePolicy
        Routing policy.
    now : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        host: str,
        region: str,
        directory: Directory,
        policy: RoutePolicy,
        now: Callable[[], float],
    ) -> None:
        self._host = host
        self._region = region
        self._directory = directory
        self._policy = policy
        self._now = now
        self._registry = create_registry()
        self._candidates = Candidates(self._registry, region)
        self._admission = AdmissionControl()
        self._live_host_count = 1
        self._exchange = create_credit_exchange(host, region)
        self._pending_notices: list[tuple[str, Message]] = []
        # Endpoint of each running attempt.
        self._attempts: dict[str, EndpointView] = {}
        # Requests whose service had no endpoint here, by model; reset when reported.
        self._unserved_counts: dict[str, int] = {}

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        """Return the reply to a message, or `DEFERRED` if it is sent later."""
        raise TypeError(f"unknown message {message!r}")

    @handle.register
    def _(self, message: Announcement) -> object:
        now_s = self._now()
        outcome = self._registry.announce(message, now_s)
        self._candidates.clear()
        self._update_capacity(now_s)
        return outcome

    @handle.register
    def _(self, message: Heartbeat) -> object:
        now_s = self._now()
        outcome = self._registry.heartbeat(message, now_s)
        if message.cache and isinstance(outcome, Accepted):
            self._policy.apply_cache_reports(message, now_s)
        return outcome

    @handle.register
    def _(self, message: DrainNotice) -> object:
        return self._registry.drain(message, self._now())

    @handle.register
    def _(self, message: LeaveNotice) -> object:
        outcome = self._registry.leave(message, self._now())
        if isinstance(outcome, Accepted):
            self._forget_endpoint(message.name)
        return outcome

    @handle.register
    def _(self, message: Tick) -> bool:
        now_s = self._now()
        for name in self._registry.expire(now_s):
            log_event("endpoint_expired", host=self._host, endpoint=name)
            self._forget_endpoint(name)
        self._admission.expire(now_s)
        self._update_capacity(now_s)
        if message.document is not None:
            self._exchange_credits(message.document, now_s)
        return self._admission.is_waiting

    @handle.register
    def _(self, message: SpillReceived) -> None:
        record = self._directory.get(message.host)
        if record is not None and record.region != self._region:
            self._exchange.receive(message.message, record, self._now())

    @handle.register
    def _(self, message: HostUpdate) -> None:
        self._directory.update(message.record)
        hosts = self._directory.list_region_hosts(self._region)
        alive = sum(record.state == "alive" for record in hosts)
        self._live_host_count = max(1, alive)
        self._policy.router.set_peer_count(self._live_host_count - 1)

    @handle.register
    def _(self, message: ListEndpoints) -> object:
        return self._registry.list_endpoints()

    @handle.register
    def _(self, message: TakeUnservedCounts) -> dict[str, int]:
        unserved, self._unserved_counts = self._unserved_counts, {}
        return unserved

    @handle.register
    def _(self, message: GetGauges) -> RouterGauges:
        ejection = self._policy.router.ejection
        waiting = self._admission.count_waiting()
        ejected = {name: ejection.count_ejected(name) for name in waiting}
        return RouterGauges(waiting, ejected)

    @handle.register
    def _(self, message: ListHosts) -> object:
        return self._directory.list_hosts(message.region, message.drained)

    @handle.register
    def _(self, message: ListRegionHosts) -> object:
        return self._directory.list_region_hosts(message.region)

    @handle.register
    def _(self, message: FindOwner) -> HostRecord:
        hosts = [
            record
            for record in self._directory.list_region_hosts(message.region)
            if record.state != "lost" and message.host in (None, record.host)
        ]
        if not hosts:
            reason = f"no owner of the claims of {message.region} is reachable"
            raise RequestError(
                "no_claim_owner", 503, reason, retry_after_s=RETRY_AFTER_S
            )
        return min(hosts, key=lambda record: record.state != "alive")

    @handle.register
    def _(self, message: Admit) -> object:
        now_s = self._now()
        if message.borrower:
            self._redeem(message, now_s)
        elif not message.forwarded:
            self._admission.check_limits(message, now_s)
        if message.route_request is not None:
            spill = self._find_spill(message.route_request, now_s)
            if spill is not None:
                return spill
        router = self._policy.router
        service_s = router.estimates.get_service_estimate(message.service).service_s
        wait_s = router.get_wait(message.service)
        admitted = self._admission.admit(message, wait_s, service_s, now_s)
        return None if admitted else DEFERRED

    @handle.register
    def _(self, message: Release) -> None:
        self._admission.release(message.ticket_id, self._now())

    @handle.register
    def _(self, message: EndAttempt) -> None:
        view = self._attempts.pop(message.attempt_id, None)
        if view is not None:
            self._registry.record_end(view.name, view.incarnation)
            if message.result is not None:
                self._policy.observe(message.result, self._now())

    @handle.register
    def _(self, message: IsTargetLive) -> bool:
        if message.host is not None:
            record = self._directory.get(message.host)
            return record is not None and record.state != "lost"
        view = self._attempts.get(message.attempt_id)
        return view is not None and self._registry.is_live(view.name, view.incarnation)

    @handle.register
    def _(self, message: ChooseRoute) -> Route:
        route = self._choose(message)
        endpoint = route.decision.endpoint
        if endpoint is not None:
            self._attempts[message.attempt_id] = endpoint
            self._registry.record_start(endpoint.name, endpoint.incarnation)
        return route

    def take_results(self) -> list[AdmissionResult]:
        """Return the results of queued `Admit` messages since the last call."""
        return self._admission.take_results()

    def take_notices(self) -> list[tuple[str, Message]]:
        """Return the notices to other hosts since the last call, with their targets."""
        notices, self._pending_notices = self._pending_notices, []
        return notices

    def _update_capacity(self, now_s: float) -> None:
        services: dict[str, list[EndpointView]] = {}
        for view in self._registry.list_endpoints():
            services.setdefault(view.service, []).append(view)
        for service in {*services, *self._admission.count_waiting()}:
            views = services.get(service, ())
            self._admission.update(service, views, self._live_host_count, now_s)

    def _forget_endpoint(self, endpoint: str) -> None:
        self._candidates.clear()
        self._policy.router.forget(endpoint)

    def _choose(self, message: ChooseRoute) -> Route:
        now_s = self._now()
        request = message.request
        candidates = self._candidates.list_endpoints(
            request.service, message.document.support.refused_endpoints
        )
        regions = self._list_regions(message, now_s)
        queue_s = self._admission.get_wait(request.service, request.priority)
        decision = self._policy.choose(message, candidates, regions, queue_s, now_s)
        if not candidates and request.model is not None:
            count = self._unserved_counts.get(request.model, 0)
            self._unserved_counts[request.model] = count + 1
        if decision.endpoint is None and may_spill(request):
            self._exchange.record_demand(request.service, now_s)
        if decision.region is not None:
            return self._spill(request, decision, now_s)
        hedge_after_s = None
        if decision.endpoint is not None:
            hedge_after_s = self._policy.get_hedge_delay(message, now_s)
        return Route(decision, None, hedge_after_s)

    def _find_spill(self, message: ChooseRoute, now_s: float) -> Route | None:
        """Return a route to another region for a request that would be queued here."""
        request = message.request
        wait_s = self._admission.get_wait(request.service, request.priority)
        if not wait_s:
            return None
        self._exchange.record_demand(request.service, now_s)
        regions = self._list_regions(message, now_s)
        decision = self._policy.choose_region(message, regions, wait_s, now_s)
        return None if decision is None else self._spill(request, decision, now_s)

    def _spill(self, request: RouteRequest, decision: Decision, now_s: float) -> Route:
        return Route(
            decision,
            self._exchange.take_credit(request.service, decision.region, now_s),
        )

    def _redeem(self, message: Admit, now_s: float) -> None:
        spare = self._admission.get_spare_capacity(message.service)
        if self._exchange.redeem(message.service, message.borrower, spare, now_s):
            return
        raise RequestError(
            NO_CREDIT,
            503,
            f"no spill credit or no spare capacity for host {message.borrower!r}",
            retry_after_s=RETRY_AFTER_S,
        )

    def _exchange_credits(self, document: DocumentView, now_s: float) -> None:
        region = document.platform.regions.get(self._region)
        spill_share = region.spill_share if region is not None else 0.0
        position, host_count = self._find_host_position()
        loads = {
            service: ServiceLoad(
                self._admission.get_spare_capacity(service),
                compute_lending_limit(
                    self._admission.get_region_capacity(service),
                    spill_share,
                    position,
                    host_count,
                ),
                self._policy.router.get_wait(service),
            )
            for service in document.platform.services
        }
        hosts = self._directory.list_hosts(
            self._region, document.support.drained_hosts
        ).hosts
        self._pending_notices += self._exchange.create_notices(loads, hosts, now_s)

    def _find_host_position(self) -> tuple[int, int]:
        """Return this host's position among the region's hosts, and their number."""
        names = {
            record.host
            for record in self._directory.list_region_hosts(self._region)
            if record.state == "alive"
        }
        ordered = sorted(names | {self._host})
        return ordered.index(self._host), len(ordered)

    def _list_regions(self, message: ChooseRoute, now_s: float) -> list[RegionView]:
        """Return the regions whose credits the request may use."""
        request = message.request
        if not may_spill(request):
            return []
        return [
            view
            for view in self._exchange.list_regions(request.service, now_s)
            if self._exchange.is_partner_allowed(
                view.region, (*request.hops, *request.excluded)
            )
        ]


async def run_router_task(mailbox: Mailbox, state: RouterState, peers: Mailbox) -> None:
    """Handle the messages of the router task until cancelled.

    Parameters
    ----------
    mailbox : Mailbox
        Mailbox of the router task.
    state : RouterState
        Handles the messages.
    peers : Mailbox
        Mailbox of the peer task, which sends the notices.
    """
    deferred: dict[str, Envelope] = {}
    async for envelope in mailbox:
        message = envelope.message
        try:
            result = state.handle(message)
        except Exception as error:
            await envelope.fail(error)
        else:
            if result is DEFERRED:
                deferred[message.ticket_id] = envelope
            else:
                await envelope.reply(result)
        if type(message) is Release:
            deferred.pop(message.ticket_id, None)
        for ticket_id, error in state.take_results():
            await _send_reply(deferred.pop(ticket_id), error)
        for host, notice in state.take_notices():
            await peers.send(SendToPeer(host, notice, any_region=True))


async def _send_reply(envelope: Envelope, error: RequestError | None) -> None:
    if error is None:
        await envelope.reply()
    else:
        await envelope.fail(error)
