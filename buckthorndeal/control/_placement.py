"""Task that plans the placement of models and sends orders to endpoints."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import singledispatchmethod

import curio
import msgspec

from buckthorndeal.control._messages import EndpointReport, PlacementReport
from buckthorndeal.control._requests import ControlState, ReadState
from buckthorndeal.errors import BuckthorndealError, RequestError, Verdict
from buckthorndeal.http_client import create_http_pool
from buckthorndeal.leases import LeaseHolder
from buckthorndeal.logs import log_decision, log_event
from buckthorndeal.mailbox import Envelope, Mailbox, create_mailbox
from buckthorndeal.placement import PlacementDecision, PlacementEndpoint, Planner
from buckthorndeal.statemachine import LeaseAnswer
from buckthorndeal.supervision import spawn_job
from buckthorndeal.transport import Transport

LEASE_NAME = "placement"
PLANNING_INTERVAL_S = 0.5
# Registrars expire an endpoint after 3 s without a heartbeat, and reports arrive
# every second.
REPORT_LIFETIME_S = 4.0
ORDER_TIMEOUT_S = 2.0

AcquireFunction = Callable[[str, str], Awaitable[LeaseAnswer]]
ReleaseFunction = Callable[[str, str, int], Awaitable[None]]


@dataclass(frozen=True)
class ReportReceived:
    """Notice: an entry host has reported its endpoints."""

    host: str
    report: PlacementReport


@dataclass(frozen=True)
class StopPlacement:
    """Request: stop sending orders and release the lease."""


@dataclass(frozen=True)
class _LeaseAnswered:
    answer: LeaseAnswer
    sent_at_s: float


@dataclass(frozen=True)
class _OrderRefused:
    endpoint: str
    order_id: str


@dataclass(frozen=True)
class _KnownEndpoint:
    report: EndpointReport
    received_s: float


class PlacementTask:
    """Plans orders and sends them to endpoints while holding the placement lease.

    Parameters
    ----------
    holder : LeaseHolder
        Client side of the placement lease.
    planner : Planner
        Decides which models the endpoints load and unload.
    replica : Mailbox
        Mailbox of the replica task.
    acquire_lease : callable
        Coroutine function that acquires or renews a lease at the leader, given its
        name and the holder.
    release_lease : callable
        Coroutine function that releases a lease at the leader, given its name, the
        holder and the fencing token.
    transport : Transport
        Transport for the connections to endpoints.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        holder: LeaseHolder,
        planner: Planner,
        replica: Mailbox,
        acquire_lease: AcquireFunction,
        release_lease: ReleaseFunction,
        transport: Transport,
        clock: Callable[[], float],
    ) -> None:
        self.mailbox = create_mailbox()
        self._holder = holder
        self._planner = planner
        self._replica = replica
        self._acquire_lease = acquire_lease
        self._release_lease = release_lease
        self._transport = transport
        self._clock = clock
        self._known_endpoints: dict[str, _KnownEndpoint] = {}
        self._unserved: dict[str, tuple[dict[str, int], float]] = {}
        self._planning_due_s = clock()

    async def run(self) -> None:
        """Handle messages, and plan at a fixed interval, until cancelled."""
        while True:
            delay_s = self._planning_due_s - self._clock()
            envelope = await self.mailbox.receive_within(delay_s)
            if envelope is not None:
                await self._handle(envelope.message, envelope)
            if self._clock() >= self._planning_due_s:
                self._planning_due_s = self._clock() + PLANNING_INTERVAL_S
                await self._run_planning_round()

    @singledispatchmethod
    async def _handle(self, message: object, envelope: Envelope) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    async def _(self, message: ReportReceived, envelope: Envelope) -> None:
        now_s = self._clock()
        self._unserved[message.host] = (message.report.unserved, now_s)
        for report in message.report.endpoints:
            known = self._known_endpoints.get(report.name)
            if known is None or report.incarnation >= known.report.incarnation:
                self._known_endpoints[report.name] = _KnownEndpoint(report, now_s)

    @_handle.register
    async def _(self, message: _LeaseAnswered, envelope: Envelope) -> None:
        if self._holder.handle_answer(message.answer, message.sent_at_s):
            self._planner.start(self._holder.fencing, self._clock())
            log_event("placement_lease", fencing=self._holder.fencing)

    @_handle.register
    async def _(self, message: _OrderRefused, envelope: Envelope) -> None:
        self._planner.end_order(message.endpoint, message.order_id)

    @_handle.register
    async def _(self, message: StopPlacement, envelope: Envelope) -> None:
        was_held = self._holder.is_held(self._clock())
        command = self._holder.release()
        self._planner.stop()
        if was_held:
            try:
                await self._release_lease(command.name, command.holder, command.fencing)
            except BuckthorndealError as error:
                log_event("lease_not_released", reason=str(error))
        await envelope.reply()

    async def _run_planning_round(self) -> None:
        now_s = self._clock()
        if self._holder.is_request_due(now_s):
            self._holder.record_request(now_s)
            await spawn_job(self._request_lease, now_s)
        self._drop_expired_reports(now_s)
        if not self._holder.is_held(now_s):
            return
        state: ControlState = await self._replica.ask(ReadState())
        platform = state.document.platform
        if platform is None:
            return
        support = state.document.support
        refused = support.refused_endpoints if support else ()
        endpoints = [
            _create_endpoint(known.report, refused)
            for known in self._known_endpoints.values()
        ]
        demand = self._compute_demand(now_s)
        for decision in self._planner.plan(endpoints, demand, platform, now_s):
            await self._start_order(decision)

    async def _request_lease(self, sent_at_s: float) -> None:
        try:
            answer = await self._acquire_lease(self._holder.name, self._holder.holder)
        except BuckthorndealError:
            return
        await self.mailbox.send(_LeaseAnswered(answer, sent_at_s))

    def _drop_expired_reports(self, now_s: float) -> None:
        oldest_s = now_s - REPORT_LIFETIME_S
        for name, known in list(self._known_endpoints.items()):
            if known.received_s < oldest_s:
                del self._known_endpoints[name]
        for host, (_, received_s) in list(self._unserved.items()):
            if received_s < oldest_s:
                del self._unserved[host]

    def _compute_demand(self, now_s: float) -> dict[tuple[str, str], float]:
        """Return the load by region and model, in number of fully used endpoints."""
        demand: dict[tuple[str, str], float] = {}
        slots: dict[str, int] = {}
        for known in self._known_endpoints.values():
            report = known.report
            slots[report.region] = max(report.slots, slots.get(report.region, 1))
            share = (report.running + report.queued) / max(1, report.slots)
            for model in report.models:
                key = (report.region, model)
                demand[key] = demand.get(key, 0.0) + share / len(report.models)
        for unserved, _ in self._unserved.values():
            for key, count in unserved.items():
                region, _, model = key.partition("/")
                work = count / slots.get(region, 1)
                demand[region, model] = demand.get((region, model), 0.0) + work
        return demand

    async def _start_order(self, decision: PlacementDecision) -> None:
        order = decision.order
        log_decision(
            "placement",
            order.order_id,
            decision.endpoint.name,
            decision.scores,
            decision.reason,
            action=order.action,
            model=order.model,
            fencing=order.fencing,
        )
        report = self._known_endpoints[decision.endpoint.name].report
        await spawn_job(self._send_order, decision, report)

    async def _send_order(
        self, decision: PlacementDecision, report: EndpointReport
    ) -> None:
        order = decision.order
        # The request ends before the lease expires by this host's clock.
        timeout_s = min(ORDER_TIMEOUT_S, self._holder.get_remaining(self._clock()))
        pool = create_http_pool(self._transport, report.address, report.port)
        try:
            async with curio.timeout_after(timeout_s):
                status, _, _ = await pool.fetch(
                    "POST",
                    "/orders",
                    [("content-type", "application/json")],
                    msgspec.json.encode(order),
                )
            refused = status >= 400
        except RequestError as error:
            refused = error.verdict is Verdict.NOT_RUN
        except curio.TaskTimeout:
            refused = False
        finally:
            async with curio.disable_cancellation():
                await pool.close()
        if refused:
            await self.mailbox.send(_OrderRefused(report.name, order.order_id))


def _create_endpoint(
    report: EndpointReport, refused: tuple[str, ...]
) -> PlacementEndpoint:
    versions = report.versions + ("",) * len(report.models)
    return PlacementEndpoint(
        name=report.name,
        incarnation=report.incarnation,
        service=report.service,
        region=report.region,
        models=tuple(zip(report.models, versions, strict=False)),
        adapters=report.adapters,
        model_slots=report.model_slots,
        ready=report.ready and report.name not in refused,
        checks_fencing=report.checks_fencing,
    )
