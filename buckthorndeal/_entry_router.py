"""Router task: owns the endpoint table, the directory and admission.

`_choose` is the place of the `routing` module; `WorkspaceLimits` that of
`admission`.
"""

import functools
import random
from collections.abc import Callable

from buckthorndeal._entry_admission import WorkspaceLimits
from buckthorndeal._entry_messages import (
    Admit,
    ChooseRoute,
    EndAttempt,
    FindOwner,
    HostSeen,
    IsLive,
    ListEndpoints,
    ListHosts,
    ListRegionHosts,
    Release,
    Route,
    Tick,
)
from buckthorndeal.directory import Directory, HostRecord
from buckthorndeal.errors import RequestError
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.registry import (
    Announcement,
    DrainNotice,
    Heartbeat,
    LeaveNotice,
    create_registry,
)
from buckthorndeal.views import Decision, EndpointView, RouteRequest

RETRY_AFTER_S = 1.0


class RouterState:
    """State of the router task and one handler for each message type."""

    def __init__(
        self,
        host: str,
        region: str,
        directory: Directory,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self._host = host
        self._region = region
        self._directory = directory
        self._rng = rng
        self._now = now
        self._registry = create_registry()
        self._limits = WorkspaceLimits()
        self._attempts: dict[str, EndpointView] = {}

    @functools.singledispatchmethod
    def handle(self, message: object) -> object:
        raise TypeError(f"unknown message {message!r}")

    @handle.register
    def _(self, message: Announcement) -> object:
        return self._registry.announce(message, self._now())

    @handle.register
    def _(self, message: Heartbeat) -> object:
        return self._registry.heartbeat(message, self._now())

    @handle.register
    def _(self, message: DrainNotice) -> object:
        return self._registry.drain(message, self._now())

    @handle.register
    def _(self, message: LeaveNotice) -> object:
        return self._registry.leave(message, self._now())

    @handle.register
    def _(self, message: Tick) -> None:
        for name in self._registry.expire(self._now()):
            log_event("endpoint_expired", host=self._host, endpoint=name)

    @handle.register
    def _(self, message: HostSeen) -> None:
        self._directory.update(message.record)

    @handle.register
    def _(self, message: ListEndpoints) -> object:
        return self._registry.list_endpoints()

    @handle.register
    def _(self, message: ListHosts) -> object:
        return self._directory.list_hosts(message.region, message.drained)

    @handle.register
    def _(self, message: ListRegionHosts) -> object:
        return self._directory.list_region(message.region)

    @handle.register
    def _(self, message: FindOwner) -> HostRecord:
        # Without a ledger view the first host by name owns the claims. It stays the
        # owner while it is lost, because its claims are known nowhere else.
        hosts = self._directory.list_region(message.region)
        if not hosts:
            raise RequestError(
                "no_claim_owner", 503, f"no entry host of {message.region} is known"
            )
        return hosts[0]

    @handle.register
    def _(self, message: Admit) -> None:
        self._limits.admit(message.ticket_id, message.identity, self._now())

    @handle.register
    def _(self, message: Release) -> None:
        self._limits.release(message.ticket_id)

    @handle.register
    def _(self, message: EndAttempt) -> None:
        view = self._attempts.pop(message.attempt_id, None)
        if view is not None:
            self._registry.record_end(view.name, view.incarnation)

    @handle.register
    def _(self, message: IsLive) -> bool:
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

    def _choose(self, message: ChooseRoute) -> Route:
        request = message.request
        refused = message.document.support.refused_endpoints
        candidates = [
            view
            for view in self._registry.candidates(
                request.service, request.model, self._now()
            )
            if view.region == self._region
            and view.name not in request.excluded
            and view.name not in refused
        ]
        scores = {view.name: _compute_load(view) for view in candidates}
        if candidates:
            # The random part spreads equal scores over endpoints.
            best = min(
                candidates, key=lambda view: (scores[view.name], self._rng.random())
            )
            return Route(Decision(best, None, scores, "least load"))
        return self._choose_region(request, message.document.support.drained_hosts)

    def _choose_region(self, request: RouteRequest, drained: tuple[str, ...]) -> Route:
        if request.bound or request.crossed_region:
            return _refuse("no endpoint in this region")
        hosts = [
            record
            for record in self._directory.list_hosts(self._region, drained).hosts
            if record.region != self._region
            and record.host not in request.hops
            and record.host not in request.excluded
        ]
        if not hosts:
            return _refuse("no endpoint in this region and no other region")
        reason = "no endpoint in this region"
        return Route(Decision(None, hosts[0].region, {}, reason), hosts[0])


def _compute_load(view: EndpointView) -> float:
    reported = view.running + view.queued + view.own_since_report
    return max(reported, view.own_inflight) / view.slots


def _refuse(reason: str) -> Route:
    return Route(Decision(None, None, {}, reason, RETRY_AFTER_S))


async def run_router(mailbox: Mailbox, state: RouterState) -> None:
    async for envelope in mailbox:
        try:
            result = state.handle(envelope.message)
        except Exception as error:
            await envelope.fail(error)
        else:
            await envelope.reply(result)
