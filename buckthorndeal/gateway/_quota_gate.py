"""Admission of requests by the quota of their workspace; no I/O.

Answers callers of one workspace that send more than its contract allows. The host to
which the caller is connected charges a request, each attempt once; a host that gets it
forwarded does not. What a request is charged is returned if it certainly has not run.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from buckthorndeal.clocks import read_lease_clock
from buckthorndeal.gateway._messages import Dispatch
from buckthorndeal.quota import (
    MAX_WAIT_S,
    Charge,
    QuotaLeases,
    QuotaWait,
    create_quota_leases,
)
from buckthorndeal.workspaces import Workspace


class Admission(enum.Enum):
    """A request may go on, or waits for the reply of the leader."""

    ADMITTED = enum.auto()
    WAITING = enum.auto()


@dataclass(slots=True)
class _Waiting:
    dispatch: Dispatch
    since_s: float


class QuotaGate:
    """Charges the attempts of this host's callers to their workspaces.

    Parameters
    ----------
    leases : QuotaLeases, optional
        What this host may use.
    clock : callable
        Returns seconds of a clock that goes on during a suspension.
    """

    def __init__(
        self,
        leases: QuotaLeases | None = None,
        clock: Callable[[], float] = read_lease_clock,
    ) -> None:
        self.leases = leases or create_quota_leases()
        self.clock = clock
        self._charges: dict[int, Charge] = {}
        self._waiting: dict[int, _Waiting] = {}

    def copy_for(self, workspace: Workspace | None) -> "QuotaGate":
        """Return a gate that charges copies of the units of one workspace."""
        return QuotaGate(self.leases.copy_for(workspace), self.clock)

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for the reply of the leader."""
        return bool(self._waiting)

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the workspaces of a newer configuration."""
        self.leases.set_workspaces(workspaces)

    def admit(self, dispatch: Dispatch) -> Admission | float:
        """Charge an attempt, or return the seconds after which its caller may return.

        It is refused before it waits for an endpoint. Only a request that the next
        reply of the leader may bring units for waits, for `MAX_WAIT_S` at most.
        """
        call = dispatch.call
        if call.hops or call.workspace is None or not call.workspace.is_limited:
            return Admission.ADMITTED
        now_s = self.clock()
        taken = self.leases.try_acquire(call.workspace, call.quota_units, now_s)
        if not isinstance(taken, QuotaWait):
            self._charges[dispatch.attempt_id] = taken
            return Admission.ADMITTED
        if not taken.may_wait:
            return taken.retry_s
        self._waiting[dispatch.attempt_id] = _Waiting(dispatch, now_s)
        return Admission.WAITING

    def take_decided(self) -> list[tuple[Dispatch, float | None]]:
        """Return requests that wait no more, with None or the seconds as of `admit`."""
        if not self._waiting:
            return []
        now_s = self.clock()
        decided = []
        for attempt_id, waiting in list(self._waiting.items()):
            call = waiting.dispatch.call
            taken = self.leases.try_acquire(
                call.workspace, call.quota_units, now_s, is_new=False
            )
            if not isinstance(taken, QuotaWait):
                self._charges[attempt_id] = taken
                del self._waiting[attempt_id]
                decided.append((waiting.dispatch, None))
            elif not taken.may_wait or now_s - waiting.since_s >= MAX_WAIT_S:
                self._stop_waiting(attempt_id)
                decided.append((waiting.dispatch, taken.retry_s))
        return decided

    def reserve(self, attempt_id: int) -> None:
        """Keep the units of an attempt that waits for an endpoint."""
        charge = self._charges.get(attempt_id)
        if charge is not None:
            self.leases.reserve(charge)

    def settle(self, dispatch: Dispatch) -> float | None:
        """Use the units of an attempt that is sent now.

        If they have expired during its wait, others are charged. Without any, it is
        not sent, and the seconds after which its caller may return are returned.
        """
        charge = self._charges.get(dispatch.attempt_id)
        now_s = self.clock()
        if charge is None or self.leases.settle(charge, now_s):
            return None
        del self._charges[dispatch.attempt_id]
        call = dispatch.call
        taken = self.leases.try_acquire(call.workspace, call.quota_units, now_s)
        if isinstance(taken, QuotaWait):
            if taken.may_wait:
                self.leases.stop_waiting(call.workspace, call.quota_units)
            return taken.retry_s
        self._charges[dispatch.attempt_id] = taken
        return None

    def finish(self, attempt_id: int, has_run: bool) -> None:
        """Record the end of an attempt; one that certainly has not run is refunded."""
        self._stop_waiting(attempt_id)
        charge = self._charges.pop(attempt_id, None)
        if charge is not None and not has_run:
            self.leases.refund(charge, self.clock())

    def _stop_waiting(self, attempt_id: int) -> None:
        waiting = self._waiting.pop(attempt_id, None)
        if waiting is not None:
            call = waiting.dispatch.call
            self.leases.stop_waiting(call.workspace, call.quota_units)
