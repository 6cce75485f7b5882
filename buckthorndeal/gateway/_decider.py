"""Decision on an attempt: to which target it goes, whether it waits or is refused.

No I/O, and nothing is recorded of a choice: that is left to `accept`.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from buckthorndeal.gateway._admission import AdmissionControl
from buckthorndeal.gateway._crash_guard import CrashGuard
from buckthorndeal.gateway._endpoint_condition import EndpointCondition
from buckthorndeal.gateway._endpoint_reach import EndpointReach
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._latency_limits import compute_max_turn_wait_s
from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._local_choice import LocalChooser
from buckthorndeal.gateway._messages import (
    Call,
    Decision,
    Dispatch,
    MoveReason,
    OverloadCause,
    Refusal,
    RefusalReason,
)
from buckthorndeal.gateway._refusals import RefusalPolicy
from buckthorndeal.gateway._relay_choice import RelayChooser
from buckthorndeal.gateway._remote_choice import RemoteChooser
from buckthorndeal.gateway._scoring import LocalChoice, RemoteChoice
from buckthorndeal.gateway._slot_shares import SlotShares


@dataclass(eq=False)
class Decider:
    """Decides on attempts that their quotas allow.

    Parameters
    ----------
    region : str
        Region of this host.
    view : FleetView
        Endpoints, services and entry hosts known to this host.
    reach : EndpointReach
        Whether this host reaches the endpoints of its region.
    crash_guard : CrashGuard
        Objects to requests that may crash endpoints.
    admission : AdmissionControl
        Tells which requests are served in time.
    refusals : RefusalPolicy
        Creates the refusals.
    slot_shares : SlotShares
        Shares of the hosts in endpoints that bear few rejections.
    local : LocalChooser
        Chooses endpoints of this region.
    remote : RemoteChooser
        Chooses other regions.
    relay_chooser : RelayChooser
        Chooses other hosts of this region.
    accept : callable
        Records a choice and returns the decision that follows from it.
    """

    region: str
    view: FleetView
    reach: EndpointReach
    crash_guard: CrashGuard
    admission: AdmissionControl
    refusals: RefusalPolicy
    slot_shares: SlotShares
    local: LocalChooser
    remote: RemoteChooser
    relay_chooser: RelayChooser
    accept: Callable[[Dispatch, LocalChoice | RemoteChoice, float], Decision]

    def decide(self, dispatch: Dispatch, now_s: float) -> Decision | None:
        """Return a decision, or None if capacity may become free soon."""
        call = dispatch.call
        objection = self.crash_guard.find_objection(
            dispatch, self.view.fleet.ready_hosts, now_s
        )
        if objection is not None:
            return self.refusals.refuse_crashing(objection)
        if not call.may_run_in(self.region):
            return self._forward_to_home(dispatch, now_s)
        if self.reach.is_lost:
            return self._relay(dispatch, now_s)
        return self._decide_here(dispatch, now_s)

    def _decide_here(self, dispatch: Dispatch, now_s: float) -> Decision | None:
        """Choose between the endpoints of this region and another region."""
        call = dispatch.call
        candidates = self.local.list_candidates(dispatch, now_s)
        best = self.local.choose(dispatch, candidates, now_s)
        remote = None
        if not self.crash_guard.is_trial(dispatch, now_s):
            remote = self.remote.choose(dispatch, best, now_s)
        if remote is not None:
            return self.accept(dispatch, remote, now_s)
        if best is not None:
            return self._decide_on_best(dispatch, best, len(candidates), now_s)
        if candidates:
            return self._pass_to_sharing_host(dispatch, candidates, now_s)
        return self._decide_without_endpoint(call, now_s)

    def _decide_on_best(
        self, dispatch: Dispatch, best: LocalChoice, candidates: int, now_s: float
    ) -> Decision | None:
        """Decide whether the best of the endpoints gets a request now."""
        call = dispatch.call
        if not self.admission.has_room(call, best, now_s):
            return None
        outlook = self.admission.predict(call, best, now_s)
        if self.admission.may_serve(call, best, outlook, now_s):
            return self.accept(dispatch, best, now_s)
        if self.admission.may_improve(call, outlook, now_s):
            return None
        cause = self.admission.find_cause(call, outlook, now_s)
        return self.refuse_overload(call, cause, now_s, candidates, best)

    def _decide_without_endpoint(self, call: Call, now_s: float) -> Refusal | None:
        """Decide whether a request waits for an endpoint to become available."""
        turn = self.view.find_next_turn(call.service, now_s)
        if turn is not None:
            may_wait = turn.condition is EndpointCondition.RATE_LIMITED
            if may_wait and turn.wait_s <= compute_max_turn_wait_s(call):
                self.admission.record_turn(call, turn.wait_s, now_s)
                return None
            return self.refusals.refuse_until_turn(turn)
        if self._is_starting(now_s):
            return None
        if call.version is not None:
            return self.refusals.refuse(RefusalReason.VERSION_NOT_SERVED)
        return self.refusals.refuse(RefusalReason.NO_ENDPOINT)

    def _forward_to_home(self, dispatch: Dispatch, now_s: float) -> Decision | None:
        if not dispatch.call.hops:
            remote = self.remote.find_fastest(dispatch, MoveReason.HOME, now_s)
            if remote is not None:
                return self.accept(dispatch, remote, now_s)
            if self._is_starting(now_s):
                # First reports of other regions may still be outstanding.
                return None
        return self.refusals.refuse(RefusalReason.HOME_UNREACHABLE)

    def _pass_to_sharing_host(
        self, dispatch: Dispatch, candidates: list[EndpointLoad], now_s: float
    ) -> Decision | None:
        """Pass a request on if only other hosts may have room at the endpoints."""
        service = self.view.get_service(dispatch.call.service)
        senders = self.slot_shares.list_other_senders(candidates, service)
        if not senders:
            return None
        if dispatch.call.hops:
            # The host that has passed it on tries another one.
            return self.refuse_overload(
                dispatch.call, OverloadCause.SHARE, now_s, len(candidates)
            )
        choice = self.relay_chooser.choose_among(dispatch, now_s, senders)
        if choice is None:
            return None
        return self.accept(dispatch, choice, now_s)

    def _relay(self, dispatch: Dispatch, now_s: float) -> Decision:
        choice = self.relay_chooser.choose(dispatch, now_s)
        if choice is None:
            return self.refusals.refuse(RefusalReason.ENDPOINTS_UNREACHABLE)
        return self.accept(dispatch, choice, now_s)

    def _is_starting(self, now_s: float) -> bool:
        return self.admission.compute_startup_left_s(now_s) > 0

    def refuse_overload(
        self,
        call: Call,
        cause: OverloadCause,
        now_s: float,
        candidates: int = 0,
        best: LocalChoice | None = None,
    ) -> Refusal:
        """Return a refusal because of overload, and record that there was no room.

        Parameters
        ----------
        call : Call
            The request.
        cause : OverloadCause
            Why it gets no endpoint.
        now_s : float
            Clock reading.
        candidates : int, optional
            Number of endpoints that were considered.
        best : LocalChoice, optional
            Best of them with capacity.
        """
        self.admission.record_contention(call, now_s)
        drain_s = self.admission.predict_drain_s(call, now_s)
        left_s = math.inf
        if self.admission.predicts(call):
            left_s = call.deadline_s - now_s
        refusal = self.refusals.refuse_overload(call, candidates, best, drain_s, left_s)
        return replace(refusal, cause=cause)
