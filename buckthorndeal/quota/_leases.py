"""Units that a host may use of each workspace; no I/O.

A request takes units that the leader of the coordinators has granted, or else of the
small share for use without a grant. If it lacks both, it may wait for the reply to the
next request to the leader, unless the leader has lately granted less than was needed.
"""

import copy
import itertools
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from buckthorndeal.quota._demands import QuotaDemand
from buckthorndeal.quota._lease import DEMAND_TIME_S, Charge, Lease
from buckthorndeal.quota._options import (
    LEASE_S,
    QuotaOptions,
    create_plan,
    is_valid_units,
)
from buckthorndeal.workspaces import Workspace

# After a grant below the need, requests are refused at once for this time.
SCARCE_S = 0.7
# After a request without a reply, nobody waits for the next one.
FAILURE_S = 1.0
# A request is given up after this time, whatever has become of its caller.
REPLY_TIMEOUT_S = 1.0
# Longest time that a request waits for units; a reply across regions takes 0.16 s.
MAX_WAIT_S = 0.45
MIN_RETRY_S = 0.3
MAX_RETRY_S = 8.0
# Refunds after this time are not accounted for, as they would raise the bound.
REFUND_S = 2.0
# Hosts restarted in a region that is cut off know of no others: shares count double.
FALLBACK_DIVISOR = 2
# Mean time between two requests to the leader, and less while requests lack units: all
# of them in the pool, or this host alone.
REQUEST_INTERVAL_S = 0.5
SCARCE_PART = 0.6
URGENT_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class QuotaWait:
    """A request lacks units.

    Parameters
    ----------
    retry_s : float
        Time in seconds until the units are expected.
    may_wait : bool
        Whether the reply of the leader may still bring them.
    """

    retry_s: float
    may_wait: bool


@dataclass(frozen=True, slots=True)
class QuotaState:
    """Metrics of one workspace on a host, in units and units per second."""

    held: float
    demand_per_s: float
    granted_per_s: float


@dataclass(slots=True)
class _Open:
    """The request that awaits its reply: needs by workspace."""

    sequence: int
    sent_s: float
    needs: list[tuple[str, int]] = field(default_factory=list)


class QuotaLeases:
    """Units of the workspaces that this host may use.

    The attribute `sequence` is the number of the last request to the leader.

    Parameters
    ----------
    options : QuotaOptions
        Bound on the units.
    rng : random.Random
        Source of the jitter of the requests to the leader.
    """

    def __init__(self, options: QuotaOptions, rng: random.Random) -> None:
        self.sequence = 0
        self._options = options
        self._rng = rng
        self._numbers = itertools.count(1)
        self._sent_s = -math.inf
        self._interval_s = 0.0
        self._hosts = 1
        self._leases: dict[str, Lease] = {}
        self._workspaces: dict[str, Workspace] = {}
        self._open: _Open | None = None
        self._applied = 0
        self._term = 0
        self._failed_until_s = -math.inf

    def set_hosts(self, hosts: int) -> None:
        """Set the number of hosts that share what is used without a grant.

        It never falls: hosts that are cut off go on with their shares.
        """
        self._hosts = max(self._hosts, hosts)

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the quotas of a newer configuration."""
        self._workspaces = {each.name: each for each in workspaces}
        for name, lease in list(self._leases.items()):
            workspace = self._workspaces.get(name)
            if workspace is None or not workspace.is_limited:
                del self._leases[name]
                continue
            lease.plan = create_plan(workspace, self._options)
            lease.fallback = min(lease.fallback, self._get_fallback_capacity(lease))

    @property
    def is_limiting(self) -> bool:
        """Whether any workspace in use has a quota."""
        return bool(self._leases)

    def try_acquire(
        self, workspace: Workspace, units: int, now_s: float, is_new: bool = True
    ) -> Charge | QuotaWait:
        """Take the units of a request if this host may use them.

        Parameters
        ----------
        workspace : Workspace
            Workspace with a quota.
        units : int
            Units of the request.
        now_s : float
            Reading of a clock that goes on during a suspension.
        is_new : bool
            Whether the request has not asked before; others add no demand. One that
            might wait asks again, or ends its wait by `stop_waiting`.
        """
        if not is_valid_units(units):
            return QuotaWait(MAX_RETRY_S, False)
        lease = self._get_lease(workspace, now_s)
        lease.expire(now_s)
        if is_new:
            lease.record_demand(units, now_s)
        is_scarce = now_s < lease.scarce_until_s
        # While units are scarce, small requests leave room for the large ones, which
        # could not gather their units otherwise.
        least = max(units, lease.get_largest(now_s)) if is_scarce else units
        # Later requests do not take the units of those that wait.
        before = lease.waiting if is_new else 0.0
        if lease.free >= least + before:
            lease.free -= units
            if not is_new:
                lease.waiting -= units
            return Charge(workspace.name, units, now_s, lease.lapses, self.sequence)
        self._fill_fallback(lease, now_s)
        if lease.fallback >= units:
            lease.fallback -= units
            if not is_new:
                lease.waiting -= units
            return Charge(workspace.name, units, now_s, None, self.sequence)
        may_wait = not is_scarce and now_s >= self._failed_until_s
        if is_new:
            lease.need += units
            lease.largest_need = max(lease.largest_need, units)
            if may_wait:
                lease.waiting += units
        return QuotaWait(self._predict_wait_s(lease, least, now_s), may_wait)

    def copy_for(self, workspace: Workspace | None) -> "QuotaLeases":
        """Return a copy with the lease of one workspace, of which nothing is sent."""
        copied = copy.copy(self)
        copied._numbers = itertools.count(1)
        copied._leases = {}
        lease = self._leases.get(workspace.name) if workspace is not None else None
        if lease is not None:
            memo = {id(lease.numbers): copied._numbers}
            copied._leases[workspace.name] = copy.deepcopy(lease, memo)
        return copied

    def stop_waiting(self, workspace: Workspace, units: int) -> None:
        """Record that a request which might wait does not do so any more."""
        lease = self._leases.get(workspace.name)
        if lease is not None:
            lease.waiting = max(0.0, lease.waiting - units)

    def reserve(self, charge: Charge) -> None:
        """Keep the units of a request that waits for an endpoint."""
        lease = self._find_charged(charge)
        if lease is not None and not charge.is_reserved:
            charge.is_reserved = True
            lease.reserved += charge.units

    def settle(self, charge: Charge, now_s: float) -> bool:
        """Use the units of a request that is sent now; return False if they expired."""
        if charge.lapses is None or not charge.is_reserved:
            return True
        lease = self._leases.get(charge.workspace)
        if lease is None:
            # A newer configuration has ended the quota.
            return True
        lease.expire(now_s)
        if self._find_charged(charge) is None:
            return False
        lease.reserved -= charge.units
        charge.is_reserved = False
        charge.charged_s, charge.sequence = now_s, self.sequence
        return True

    def refund(self, charge: Charge, now_s: float) -> None:
        """Give back the units of a request that certainly has not run."""
        lease = self._leases.get(charge.workspace)
        if lease is None:
            return
        lease.expire(now_s)
        if charge.lapses is None:
            capacity = self._get_fallback_capacity(lease)
            lease.fallback = min(capacity, lease.fallback + charge.units)
        elif charge.lapses != lease.lapses:
            return
        elif charge.is_reserved:
            charge.is_reserved = False
            lease.reserved -= charge.units
            lease.free += charge.units
        elif charge.sequence == self.sequence:
            # The leader still counts them as held by this host.
            lease.free += charge.units
        elif now_s - charge.charged_s <= REFUND_S:
            lease.returned += charge.units

    def is_request_due(self, now_s: float) -> bool:
        """Return whether a request should be sent to the leader now."""
        if self._open is not None and now_s - self._open.sent_s > REPLY_TIMEOUT_S:
            self.record_failure(now_s)
        if self._open is not None or not self._leases:
            return False
        elapsed_s = now_s - self._sent_s
        if elapsed_s >= self._interval_s:
            return True
        if elapsed_s < URGENT_INTERVAL_S:
            return False
        is_scarce_due = elapsed_s >= self._interval_s * SCARCE_PART
        for lease in self._leases.values():
            is_scarce = now_s < lease.scarce_until_s
            if lease.need > 0 and (is_scarce_due or not is_scarce):
                return True
            # Others wait for what is too little for a request here.
            if is_scarce and 0 < lease.free < lease.get_largest(now_s):
                return True
        return False

    def build_request(
        self, now_s: float
    ) -> tuple[int, int, tuple[QuotaDemand, ...]] | None:
        """Return number, last applied number and demands of the next request.

        None if there is no demand. Grants of earlier requests are ignored from now on.
        """
        self._open = None
        self._sent_s = now_s
        # Hosts that send at the same moments would compete for what was gained since.
        self._interval_s = REQUEST_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        demands, needs = [], []
        for name, lease in list(self._leases.items()):
            demand = lease.describe_demand(name, now_s)
            if demand is not None:
                demands.append(demand)
                needs.append((name, demand.need))
            elif lease.is_idle(now_s):
                del self._leases[name]
        if not demands:
            return None
        self.sequence += 1
        self._open = _Open(self.sequence, now_s, needs)
        return self.sequence, self._applied, tuple(demands)

    def apply_grants(
        self, term: int, sequence: int, amounts: tuple[int, ...], now_s: float
    ) -> bool:
        """Add the units that were granted on a request; return False if outdated."""
        sent = self._open
        if sent is None or sequence != sent.sequence or len(amounts) != len(sent.needs):
            return False
        self._open = None
        self._failed_until_s = -math.inf
        if term < self._term:
            return False
        self._term, self._applied = term, sequence
        expires_s = sent.sent_s + LEASE_S
        for (name, need), amount in zip(sent.needs, amounts, strict=True):
            lease = self._leases.get(name)
            if lease is None:
                continue
            lease.expire(now_s)
            if now_s < expires_s:
                lease.expires_s = expires_s
                lease.free += max(0, amount)
                lease.counted += max(0, amount)
                lease.record_grant(max(0, amount), now_s)
            if amount < need:
                lease.scarce_until_s = now_s + SCARCE_S
        return True

    def is_awaiting(self, sequence: int) -> bool:
        """Return whether the request with a number still awaits its reply."""
        return self._open is not None and self._open.sequence == sequence

    def record_failure(self, now_s: float) -> None:
        """Record that the request in flight brings no reply."""
        self._open = None
        self._failed_until_s = now_s + FAILURE_S

    def describe(self, now_s: float) -> dict[str, QuotaState]:
        """Return the state by workspace."""
        states = {}
        for name, lease in self._leases.items():
            lease.expire(now_s)
            states[name] = QuotaState(
                lease.free + lease.reserved,
                lease.get_demand(now_s),
                lease.granted_per_s,
            )
        return states

    def _get_lease(self, workspace: Workspace, now_s: float) -> Lease:
        lease = self._leases.get(workspace.name)
        if lease is None:
            # Of two configurations, the newer one decides.
            known = self._workspaces.get(workspace.name)
            if known is None or not known.is_limited:
                known = workspace
            plan = create_plan(known, self._options)
            lease = Lease(plan, self._numbers, now_s, lapses=next(self._numbers))
            self._leases[workspace.name] = lease
        return lease

    def _find_charged(self, charge: Charge) -> Lease | None:
        """Return the lease whose grant a charge belongs to, unless it has expired."""
        lease = self._leases.get(charge.workspace)
        if lease is None or charge.lapses != lease.lapses:
            return None
        return lease

    def _get_fallback_capacity(self, lease: Lease) -> float:
        return lease.plan.fallback_capacity / (FALLBACK_DIVISOR * self._hosts)

    def _fill_fallback(self, lease: Lease, now_s: float) -> None:
        rate = lease.plan.fallback_rate_per_s / (FALLBACK_DIVISOR * self._hosts)
        gained = rate * max(0.0, now_s - lease.fallback_s)
        lease.fallback_s = now_s
        capacity = self._get_fallback_capacity(lease)
        lease.fallback = min(capacity, lease.fallback + gained)

    def _predict_wait_s(self, lease: Lease, units: float, now_s: float) -> float:
        """Return the time until this host is granted `units` more, at its pace."""
        elapsed_s = max(0.0, now_s - lease.granted_s)
        granted_per_s = lease.granted_per_s * math.exp(-elapsed_s / DEMAND_TIME_S)
        # Before any grant, an equal share of the rate.
        per_s = max(granted_per_s, lease.plan.rate_per_s / self._hosts)
        missing = max(0.0, units - lease.free)
        return min(MAX_RETRY_S, max(MIN_RETRY_S, missing / per_s))


def create_quota_leases(
    options: QuotaOptions | None = None, rng: random.Random | None = None
) -> QuotaLeases:
    """Return the leases of a host that has been granted nothing yet."""
    return QuotaLeases(options or QuotaOptions(), rng or random.Random())
