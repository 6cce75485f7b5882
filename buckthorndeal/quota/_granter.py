"""Division of the quotas among the hosts, at the leader of the coordinators; no I/O.

Each workspace has a pool that fills at the leader's rate. What is free in the pool and
what hosts hold together never exceeds the capacity of the plan. Therefore a window
brings at most this capacity and what the pool gains within it, whatever becomes of the
hosts: units that a host does not report any more count as used, those of a silent host
when its grant has expired. A pool that fills slowly is also filled by what the use in
the last window leaves of the bound, once this leader knows all of that use.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from buckthorndeal.quota._demands import QuotaDemand
from buckthorndeal.quota._options import (
    DRIFT_S,
    LEASE_S,
    MAX_UNITS,
    QuotaOptions,
    QuotaPlan,
    create_plan,
)
from buckthorndeal.workspaces import Workspace

# Time without a request after which a host has no part in the shares.
DEMAND_LIFETIME_S = 2.0
# Interval in which expired grants are looked for.
EXPIRY_INTERVAL_S = 0.1
# The use is counted by steps of this length.
USE_STEP_S = 0.25
# Part of the capacity that hosts hold at most. The rest is what a new leader may work
# with as long as grants of the former one are valid.
HELD_PART = 0.8
# Parts of the capacity that are granted only for requests that are there, and of these
# only by shares.
NEED_RESERVE = 0.5
SHARE_RESERVE = 0.15
# Seconds of a host's share that it may save up.
SHARE_DEPTH_S = 1.0
# Time after which no grant of a former leader is valid.
START_S = LEASE_S + DRIFT_S
# Hosts are known for longer than a message may be delayed.
HOST_LIFETIME_S = 60.0


@dataclass(slots=True)
class _Holder:
    """What one process holds of one workspace.

    `share` is what it may still take of a contested pool. `granted` of the request
    `sequence` is given back if the reply was lost.
    """

    held: float = 0.0
    expires_s: float = 0.0
    demand_per_s: float = 0.0
    seen_s: float = 0.0
    share: float = 0.0
    granted: int = 0
    sequence: int = 0


@dataclass(slots=True)
class _Pool:
    """Units of one workspace that the leader divides.

    `used` has the use by steps of time, as (end of the step, units). Until `started_s`,
    grants of a former leader are valid.
    """

    plan: QuotaPlan
    window_s: float
    filled_s: float
    free: float
    started_s: float
    used: deque[tuple[float, float]] = field(default_factory=deque)
    used_units: float = 0.0
    holders: dict[tuple[str, int], _Holder] = field(default_factory=dict)
    held: float = 0.0
    demand_per_s: float = 0.0
    checked_s: float = 0.0

    def fill(self, now_s: float) -> None:
        """Add what was gained since the last call, up to the capacity."""
        if self.plan.refills_by_use and now_s >= self.started_s + self.window_s:
            self._forget_use(now_s)
            gained = self.plan.rate_per_s * self.window_s
            left = self.plan.capacity + gained - self.held - self.used_units
            self.filled_s = now_s
            self.free = min(self.plan.capacity - self.held, left)
            return
        elapsed_s = max(0.0, now_s - self.filled_s)
        self.filled_s += elapsed_s
        self.give_back(self.plan.rate_per_s * elapsed_s)

    def give_back(self, units: float) -> None:
        """Add free units, up to the capacity, which a lower quota may have reduced."""
        capacity = self.plan.capacity
        if self.filled_s < self.started_s:
            capacity *= 1 - HELD_PART
        self.free = min(capacity - self.held, self.free + units)

    def record_use(self, units: float, now_s: float) -> None:
        """Count units that hosts hold no more as used."""
        if units <= 0:
            return
        if not self.used or now_s >= self.used[-1][0]:
            self.used.append((now_s + USE_STEP_S, 0.0))
        end_s, before = self.used[-1]
        self.used[-1] = (end_s, before + units)
        self.used_units += units
        self._forget_use(now_s)

    def _forget_use(self, now_s: float) -> None:
        while self.used and self.used[0][0] < now_s - self.window_s:
            self.used_units -= self.used.popleft()[1]
        if not self.used:
            self.used_units = 0.0

    def expire(self, now_s: float) -> None:
        """Count expired grants as used, and forget hosts without demand."""
        self.checked_s = now_s
        self.held = self.demand_per_s = 0.0
        for key, holder in list(self.holders.items()):
            if now_s >= holder.expires_s:
                self.record_use(holder.held, now_s)
                holder.held = 0.0
            if now_s - holder.seen_s > DEMAND_LIFETIME_S:
                holder.demand_per_s = 0.0
                if not holder.held:
                    del self.holders[key]
            self.held += holder.held
            self.demand_per_s += holder.demand_per_s


class QuotaGranter:
    """Grants units of the workspaces to hosts while this coordinator leads.

    The attribute `term` is the term of the leader; None while it does not lead.

    Parameters
    ----------
    options : QuotaOptions
        Bound on the units.
    """

    def __init__(self, options: QuotaOptions) -> None:
        self.term: int | None = None
        self._options = options
        self._started_s = 0.0
        self._workspaces: dict[str, Workspace] = {}
        self._pools: dict[str, _Pool] = {}
        # Last sequence number and time of a request, by host and incarnation.
        self._hosts: dict[tuple[str, int], tuple[int, float]] = {}
        self._hosts_checked_s = 0.0

    def set_workspaces(self, workspaces: Iterable[Workspace], now_s: float) -> None:
        """Apply the quotas of a newer configuration; they bind at once."""
        self._workspaces = {each.name: each for each in workspaces}
        for name, pool in list(self._pools.items()):
            workspace = self._workspaces.get(name)
            if workspace is None or not workspace.is_limited:
                del self._pools[name]
                continue
            pool.fill(now_s)
            pool.plan = create_plan(workspace, self._options)
            pool.give_back(0.0)

    def start_leading(self, term: int, now_s: float) -> None:
        """Start a term; what hosts hold from the former leader is not known."""
        self.term = term
        self._started_s = now_s
        self._pools.clear()
        self._hosts.clear()

    def stop_leading(self) -> None:
        """End the term."""
        self.term = None
        self._pools.clear()
        self._hosts.clear()

    def request(
        self,
        host: tuple[str, int],
        sequence: int,
        applied: int,
        demands: Iterable[QuotaDemand],
        now_s: float,
    ) -> tuple[int, ...] | None:
        """Return the units granted for each demand, or None for an outdated request.

        Parameters
        ----------
        host : tuple
            Name of the host and incarnation of its process.
        sequence : int
            Number of the request; only a higher one than before counts.
        applied : int
            Number of the last request whose grants the host has applied. It applies
            none of another request any more.
        demands : iterable of QuotaDemand
            Demands, one for a workspace.
        now_s : float
            Reading of a clock that goes on during a suspension.
        """
        last, _ = self._hosts.get(host, (0, 0.0))
        if self.term is None or sequence <= last:
            return None
        self._hosts[host] = (sequence, now_s)
        self._forget_hosts(now_s)
        return tuple(
            self._grant(host, sequence, applied, demand, now_s) for demand in demands
        )

    def describe(self, now_s: float) -> Mapping[str, tuple[float, float, int]]:
        """Return the free and held units and the number of holders by workspace."""
        described = {}
        for name, pool in self._pools.items():
            pool.fill(now_s)
            pool.expire(now_s)
            described[name] = (pool.free, pool.held, len(pool.holders))
        return described

    @property
    def host_count(self) -> int:
        """Number of processes that have sent requests lately."""
        return len(self._hosts)

    def _forget_hosts(self, now_s: float) -> None:
        if now_s - self._hosts_checked_s < HOST_LIFETIME_S:
            return
        self._hosts_checked_s = now_s
        oldest_s = now_s - HOST_LIFETIME_S
        self._hosts = {
            host: seen for host, seen in self._hosts.items() if seen[1] >= oldest_s
        }

    def _grant(
        self,
        host: tuple[str, int],
        sequence: int,
        applied: int,
        demand: QuotaDemand,
        now_s: float,
    ) -> int:
        workspace = self._workspaces.get(demand.workspace)
        if workspace is None:
            return 0
        need, spare = _clip(demand.need), _clip(demand.spare)
        if not workspace.is_limited:
            return need + spare
        pool = self._get_pool(workspace, now_s)
        holder = self._update_holder(pool, host, applied, demand, now_s)
        granted = self._choose_amount(pool, holder, demand, need, spare)
        granted = max(0, int(granted))
        pool.free -= granted
        pool.held += granted
        holder.held += granted
        holder.share = max(0.0, holder.share - granted)
        holder.granted, holder.sequence = granted, sequence
        return granted

    def _get_pool(self, workspace: Workspace, now_s: float) -> _Pool:
        pool = self._pools.get(workspace.name)
        if pool is None:
            plan = create_plan(workspace, self._options)
            started_s = self._started_s + START_S
            pool = _Pool(
                plan, self._options.window_s, self._started_s, plan.start, started_s
            )
            # Up to the capacity of a new leader first.
            pool.fill(min(now_s, started_s))
            self._pools[workspace.name] = pool
        pool.fill(now_s)
        if now_s - pool.checked_s >= EXPIRY_INTERVAL_S:
            pool.expire(now_s)
            pool.give_back(0.0)
        return pool

    def _update_holder(
        self,
        pool: _Pool,
        host: tuple[str, int],
        applied: int,
        demand: QuotaDemand,
        now_s: float,
    ) -> _Holder:
        """Replace what a host held by what it reports; the difference is used."""
        holder = pool.holders.get(host)
        if holder is None:
            holder = _Holder(seen_s=now_s, share=2.0 * _clip(demand.least))
            pool.holders[host] = holder
        returned = _clip(demand.returned)
        if holder.sequence > applied:
            returned += holder.granted
        held = _clip(demand.held)
        pool.record_use(holder.held - held - returned, now_s)
        pool.held += held - holder.held
        holder.held = held
        holder.expires_s = now_s + START_S
        demand_per_s = _clip(demand.demand_per_s)
        pool.demand_per_s += demand_per_s - holder.demand_per_s
        holder.demand_per_s = demand_per_s
        holder.share += returned
        self._add_share(pool, holder, demand, now_s)
        holder.seen_s = now_s
        pool.give_back(returned)
        pool.fill(now_s)
        return holder

    def _add_share(
        self, pool: _Pool, holder: _Holder, demand: QuotaDemand, now_s: float
    ) -> None:
        """Add what a host gained of the pool since its last request, by its demand."""
        if not pool.demand_per_s:
            return
        elapsed_s = min(DEMAND_LIFETIME_S, now_s - holder.seen_s)
        part = min(1.0, holder.demand_per_s / pool.demand_per_s)
        gain_per_s = part * pool.plan.rate_per_s
        # Large enough for the largest request, also at the smallest share.
        depth = max(SHARE_DEPTH_S * gain_per_s, 2.0 * _clip(demand.least))
        holder.share = min(depth, holder.share + gain_per_s * elapsed_s)

    def _choose_amount(
        self,
        pool: _Pool,
        holder: _Holder,
        demand: QuotaDemand,
        need: int,
        spare: int,
    ) -> float:
        """Return the units for a demand.

        While the pool is at least half full, everything is granted; below that, what is
        there for requests that are there; and near its end, each host's share of it.
        """
        capacity = pool.plan.capacity
        room = min(pool.free, HELD_PART * capacity - pool.held)
        reserve = NEED_RESERVE * capacity
        if pool.free - reserve >= need and room >= need:
            return need + min(spare, pool.free - reserve - need, room - need)
        reserve = SHARE_RESERVE * capacity
        granted = min(need, room, max(holder.share, pool.free - reserve))
        # A part that serves no request is left to the others.
        return granted if granted >= min(need, _clip(demand.least)) else 0


def _clip(units: float) -> int:
    """Return a number of units from a message within bounds."""
    return max(0, min(MAX_UNITS, units))


def create_quota_granter(options: QuotaOptions | None = None) -> QuotaGranter:
    """Return a granter that does not lead yet."""
    return QuotaGranter(options or QuotaOptions())
