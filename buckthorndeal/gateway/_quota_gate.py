"""Admission of requests by the quota of their workspace; no I/O.

Answers callers of one workspace that send more than its contract allows. The host to
which the caller is connected charges a request, each attempt once; a host that gets it
forwarded does not. What a request is charged is returned if it certainly has not run.
"""

import enum
import math
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

# Unless something has changed, waiting requests are looked at after this time. A look
# at 225 of them takes 1 ms, which is too much after every message.
LOOK_INTERVAL_S = 0.02


class Admission(enum.Enum):
    """A request may go on, or waits for the reply of the leader."""

    ADMITTED = enum.auto()
    WAITING = enum.auto()


@dataclass(slots=True)
class _Waiting:
    dispatch: Dispatch
    since_s: float
    # Whether a newer configuration has ended the quota meanwhile.
    is_free: bool = False


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
        # Names of the workspaces with a quota; None before the first configuration.
        self._limited: frozenset[str] | None = None
        self._looked_s = -math.inf
        self._looked_at: tuple[int, bool] | None = None

    def copy_for(self, workspace: Workspace | None) -> "QuotaGate":
        """Return a gate that charges copies of the units of one workspace."""
        copied = QuotaGate(self.leases.copy_for(workspace), self.clock)
        copied._limited = self._limited
        return copied

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for the reply of the leader."""
        return bool(self._waiting)

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the workspaces of a newer configuration."""
        workspaces = list(workspaces)
        self.leases.set_workspaces(workspaces)
        self._limited = frozenset(each.name for each in workspaces if each.is_limited)
        for waiting in self._waiting.values():
            if not self._is_limited(waiting.dispatch.call.workspace):
                waiting.is_free = True
        self._looked_s = -math.inf

    def admit(self, dispatch: Dispatch) -> Admission | float:
        """Charge an attempt, or return the seconds after which its caller may return.

        It is refused before it waits for an endpoint. Only a request that the next
        reply of the leader may bring units for waits, for `MAX_WAIT_S` at most.
        """
        call = dispatch.call
        if call.hops or not self._is_limited(call.workspace):
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
        """Return requests that wait no more, with None or the seconds as of `admit`.

        They are looked at after a reply of the leader, a failure, a refund or a newer
        configuration, and otherwise once in `LOOK_INTERVAL_S`.
        """
        if not self._waiting:
            return []
        now_s = self.clock()
        # Changes as a request to the leader is sent, is answered or fails.
        sequence = self.leases.sequence
        state = (sequence, self.leases.is_awaiting(sequence))
        is_due = now_s - self._looked_s >= LOOK_INTERVAL_S
        if state == self._looked_at and not is_due:
            return []
        self._looked_s, self._looked_at = now_s, state
        decided = []
        for attempt_id, waiting in list(self._waiting.items()):
            if waiting.is_free:
                del self._waiting[attempt_id]
                decided.append((waiting.dispatch, None))
                continue
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
            self._looked_s = -math.inf

    def _is_limited(self, workspace: Workspace | None) -> bool:
        """Return whether a workspace has a quota, also in the newest configuration."""
        if workspace is None or not workspace.is_limited:
            return False
        return self._limited is None or workspace.name in self._limited

    def _stop_waiting(self, attempt_id: int) -> None:
        waiting = self._waiting.pop(attempt_id, None)
        if waiting is not None and not waiting.is_free:
            call = waiting.dispatch.call
            self.leases.stop_waiting(call.workspace, call.quota_units)
