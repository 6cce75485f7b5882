"""Choice between the endpoints of this region and another region; no I/O.

Answers demand that moves between regions. Where endpoints report a slowdown, regions
tell each host what it may send there, and requests move before a queue has formed here.
"""

import math

import msgspec

from buckthorndeal.fleet import ServiceLoad
from buckthorndeal.gateway._fleet_messages import (
    Borrower,
    RegionUpdate,
    SpareCapacity,
)
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._latency_limits import compute_latency_budget_s
from buckthorndeal.gateway._messages import (
    Call,
    Dispatch,
    MoveReason,
)
from buckthorndeal.gateway._region_lending import RegionLending
from buckthorndeal.gateway._region_load import measure_spare
from buckthorndeal.gateway._regions import RegionStatus, RegionTable
from buckthorndeal.gateway._scoring import LocalChoice, RemoteChoice

# Minimum predicted gain of forwarding a request to another region; smaller gains
# would move work to endpoints whose cache is cold for it.
MIN_FORWARD_GAIN_S = 0.15
# Requests stay local if their local cost is below this share of the latency objective.
LOCAL_LATENCY_SHARE = 0.35
# The same two for regions that divide what they lend, and their values for a while
# after a request has moved. As the parts bound what moves, requests move before they
# wait, and the lower values keep a service from switching to and fro.
MIN_GAIN_S = 0.0
START_SHARE = 0.15
HELD_GAIN_S = -0.05
HELD_SHARE = 0.1
HOLD_S = 1.0
# Time constant in which what was wanted is forgotten: the interval of reports.
WANTED_S = 0.4


class RemoteChooser:
    """Chooses regions to which requests are forwarded.

    Parameters
    ----------
    view : FleetView
        Endpoints known to this host, for the time that a prompt takes.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._regions = RegionTable()
        self._lending: dict[str, RegionLending] = {}
        # Clock reading when a request of a service last moved.
        self._moved_s: dict[str, float] = {}
        # Units that this host would have liked to send, and when they were counted.
        self._wanted: dict[str, tuple[float, float]] = {}

    def update(self, message: RegionUpdate, now_s: float) -> None:
        """Apply a newer load report of another region."""
        self._regions.update(message, now_s)

    def describe_regions(self, dispatch: Dispatch, now_s: float) -> list[RegionStatus]:
        """Return what is known of other regions; see `RegionTable.describe`."""
        return self._regions.describe(dispatch.call, dispatch.excluded, now_s)

    def record_sent(self, choice: RemoteChoice, call: Call, now_s: float) -> None:
        """Count a request that is sent to a region."""
        self._regions.record_sent(choice.region, call, now_s)
        if choice.reason is MoveReason.FASTER:
            self._moved_s[call.service] = now_s

    def add_lending(
        self,
        loads: tuple[ServiceLoad, ...],
        borrower: Borrower | None,
        now_s: float,
        contended: frozenset[str] = frozenset(),
    ) -> tuple[ServiceLoad, ...]:
        """Return a report of this region with the part that a borrower may use.

        Parameters
        ----------
        loads : tuple of ServiceLoad
            Load of each service.
        borrower : Borrower or None
            Host of another region; None for this host's own report, which tells what
            it wants.
        now_s : float
            Clock reading.
        contended : frozenset of str, optional
            Services of which requests find no room at this host. Nothing of them is
            lent, as what arrives from another region would be refused.
        """
        return tuple(
            self._add_lending(load, borrower, now_s, load.service in contended)
            if self._view.has_learned_pace(load.service)
            else load
            for load in loads
        )

    def _add_lending(
        self,
        load: ServiceLoad,
        borrower: Borrower | None,
        now_s: float,
        is_contended: bool,
    ) -> ServiceLoad:
        service = load.service
        if borrower is None:
            wanted = self._count_wanted(service, now_s)
            return msgspec.structs.replace(load, wanted=wanted)
        endpoints = self._view.list_lendable(service, now_s)
        spare = measure_spare(self._view.services[service], endpoints, now_s)
        if spare is None:
            return load
        if is_contended:
            spare = SpareCapacity(0, 0)
        lending = self._lending.setdefault(service, RegionLending())
        wanted = borrower.wanted.get(service, 0)
        part = lending.lend(spare, borrower, wanted, now_s)
        return msgspec.structs.replace(
            load, lent_requests=part.requests, lent_tokens=part.tokens
        )

    def _record_wanted(self, service: str, units: int, now_s: float) -> None:
        wanted = self._count_wanted(service, now_s)
        self._wanted[service] = (wanted + units, now_s)

    def _count_wanted(self, service: str, now_s: float) -> int:
        """Return what was wanted in about the interval of two reports."""
        wanted, counted_s = self._wanted.get(service, (0, now_s))
        return int(wanted * math.exp((counted_s - now_s) / WANTED_S))

    def choose(
        self, dispatch: Dispatch, best: LocalChoice | None, now_s: float
    ) -> RemoteChoice | None:
        """Return a region if forwarding there is clearly faster than `best`."""
        call = dispatch.call
        if call.hops:
            return None
        if self._view.has_learned_pace(call.service):
            if self._regions.divides_lending(call.service):
                return self._choose_lender(dispatch, best, now_s)
        local_cost_s = best.region_cost_s if best else None
        if local_cost_s is not None:
            if local_cost_s < LOCAL_LATENCY_SHARE * call.route.latency_objective_s:
                return None
        reason = MoveReason.NO_ROOM if best is None else MoveReason.FASTER
        remote = self.find_fastest(dispatch, reason, now_s)
        if remote is None:
            return None
        if (
            local_cost_s is None
            or remote.predicted_s + MIN_FORWARD_GAIN_S < local_cost_s
        ):
            return remote
        return None

    def _choose_lender(
        self, dispatch: Dispatch, best: LocalChoice | None, now_s: float
    ) -> RemoteChoice | None:
        """Return a region that lends and is faster than `best`."""
        call = dispatch.call
        is_held = now_s - self._moved_s.get(call.service, -HOLD_S) < HOLD_S
        if best is not None:
            share = HELD_SHARE if is_held else START_SHARE
            if best.region_cost_s < share * call.route.latency_objective_s:
                return None
        token_s = 0.0
        if call.prompt is not None:
            token_s = 1 / self._view.get_max_prefill_speed(call.service)
        units = call.prompt.tokens if call.prompt is not None else 1
        self._record_wanted(call.service, units, now_s)
        budget_s = compute_latency_budget_s(call, now_s)
        is_full = best is None or best.predicted_s > budget_s
        choice = self._regions.choose_lender(
            call, dispatch.excluded, token_s, is_full, now_s
        )
        if choice is None or choice.wait_s > budget_s:
            return None
        reason = MoveReason.NO_ROOM
        if not is_full:
            reason = MoveReason.FASTER
            gain_s = HELD_GAIN_S if is_held else MIN_GAIN_S
            if choice.wait_s + gain_s >= best.region_cost_s:
                return None
        return RemoteChoice(choice.region, choice.host, choice.wait_s, reason=reason)

    def find_fastest(
        self, dispatch: Dispatch, reason: MoveReason, now_s: float
    ) -> RemoteChoice | None:
        """Return the fastest region that can respond before the deadline, or None."""
        call = dispatch.call
        prefill_s = 0.0
        if call.prompt is not None:
            prefill_s = call.prompt.tokens / self._view.get_max_prefill_speed(
                call.service
            )
        choice = self._regions.choose(call, dispatch.excluded, now_s)
        if choice is None:
            return None
        predicted_s = choice.wait_s + prefill_s
        if now_s + predicted_s > call.deadline_s:
            return None
        return RemoteChoice(choice.region, choice.host, predicted_s, reason=reason)
