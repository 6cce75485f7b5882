"""What a host holds and knows of one workspace; no I/O."""

import itertools
import math
from dataclasses import dataclass

from buckthorndeal.quota._demands import QuotaDemand
from buckthorndeal.quota._options import QuotaPlan

# Time constant of the demand that is expected to go on.
DEMAND_TIME_S = 3.0
# Demand for which units are held in advance: until the reply to the request after the
# next one, across regions.
ADVANCE_S = 0.8
# A grant is renewed this long before it expires.
RENEW_BEFORE_S = 0.9
# Time constant of the largest request.
LARGEST_TIME_S = 10.0
# Workspaces without requests are forgotten after this time.
IDLE_S = 60.0


@dataclass(slots=True)
class Charge:
    """Units that a request has taken.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    units : int
        Number of units.
    charged_s : float
        Clock reading.
    lapses : int or None
        Changes whenever a grant expires; None for units without a grant.
    sequence : int
        Number of the last request to the leader before.
    is_reserved : bool
        Whether the request has not been sent yet, so that the units count as held.
    """

    workspace: str
    units: int
    charged_s: float
    lapses: int | None
    sequence: int
    is_reserved: bool = False


@dataclass(slots=True)
class Lease:
    """What this host holds and knows of one workspace."""

    plan: QuotaPlan
    # Numbers of the grants that have expired, over all workspaces.
    numbers: itertools.count
    fallback_s: float
    fallback: float = 0.0
    free: float = 0.0
    reserved: float = 0.0
    expires_s: float = -math.inf
    lapses: int = 0
    need: float = 0.0
    largest_need: float = 0.0
    waiting: float = 0.0
    returned: float = 0.0
    demand_per_s: float = 0.0
    demand_s: float = 0.0
    granted_per_s: float = 0.0
    granted_s: float = 0.0
    largest: float = 0.0
    largest_s: float = 0.0
    scarce_until_s: float = -math.inf
    used_s: float = -math.inf
    # What the leader counts as held by this host.
    counted: float = 0.0

    def expire(self, now_s: float) -> None:
        """Drop the units of an expired grant."""
        if now_s >= self.expires_s and (self.free or self.reserved):
            self.free = self.reserved = 0.0
            self.lapses = next(self.numbers)

    def record_demand(self, units: float, now_s: float) -> None:
        """Count a request of a caller."""
        decay = math.exp(-max(0.0, now_s - self.demand_s) / DEMAND_TIME_S)
        self.demand_per_s = self.demand_per_s * decay + units / DEMAND_TIME_S
        self.demand_s = self.used_s = now_s
        self.largest = max(units, self.get_largest(now_s))
        self.largest_s = now_s

    def get_largest(self, now_s: float) -> float:
        """Return the size of the largest request of late."""
        elapsed_s = max(0.0, now_s - self.largest_s)
        return self.largest * math.exp(-elapsed_s / LARGEST_TIME_S)

    def get_demand(self, now_s: float) -> float:
        """Return the units per second that callers ask for."""
        elapsed_s = max(0.0, now_s - self.demand_s)
        return self.demand_per_s * math.exp(-elapsed_s / DEMAND_TIME_S)

    def record_grant(self, units: float, now_s: float) -> None:
        """Count granted units, for the time after which callers may return."""
        decay = math.exp(-max(0.0, now_s - self.granted_s) / DEMAND_TIME_S)
        self.granted_per_s = self.granted_per_s * decay + units / DEMAND_TIME_S
        self.granted_s = now_s

    def is_idle(self, now_s: float) -> bool:
        """Return whether nothing of a workspace is in use."""
        is_empty = not self.free and not self.reserved
        return is_empty and now_s - self.used_s > IDLE_S

    def describe_demand(self, name: str, now_s: float) -> QuotaDemand | None:
        """Return the demand for a workspace, or None if there is nothing to say."""
        self.expire(now_s)
        demand_per_s = self.get_demand(now_s)
        largest = self.get_largest(now_s)
        advance = demand_per_s * ADVANCE_S
        # A host with rare requests holds no units for them.
        target = advance + largest if advance >= 0.3 * largest else 0.0
        is_scarce = now_s < self.scarce_until_s
        need, largest_need = self.need, self.largest_need
        self.need = self.largest_need = 0.0
        if is_scarce:
            # Of the refused requests, others like them are expected until the reply.
            need = min(need, advance + max(largest, largest_need))
        keeps = target
        if is_scarce and self.free < largest:
            # Too little for a request, and others may have use for it.
            need, keeps = need + (self.free if need else 0.0), 0.0
        surplus = max(0.0, self.free - 2 * keeps)
        returned = math.floor(self.returned + surplus)
        self.returned = max(0.0, self.returned + surplus - returned)
        self.free -= surplus
        spare = max(0.0, target - self.free)
        is_renewal = self.free + self.reserved > 0 and (
            self.expires_s - now_s < RENEW_BEFORE_S
        )
        held = math.ceil(self.free + self.reserved)
        # What the leader does not know to be used lessens what it can grant.
        is_news = need or returned or is_renewal or spare > 0.25 * target
        if not is_news and held >= self.counted:
            return None
        self.counted = held
        least = min(need, max(largest_need, largest - self.free if is_scarce else 0.0))
        return QuotaDemand(
            name,
            held,
            math.ceil(need),
            math.ceil(least),
            math.ceil(spare),
            returned,
            math.ceil(demand_per_s),
        )
