"""Options of the quotas, and how the bound of a workspace is divided."""

from dataclasses import dataclass

from buckthorndeal.settings import QuotaSettings
from buckthorndeal.workspaces import Workspace

# Validity of a grant, from before its request was sent. Two requests in a row may fail
# before a host lacks units that it was granted.
LEASE_S = 1.6
# Largest difference between two clocks within `LEASE_S`.
DRIFT_S = 0.1
# Part of the rate that the leader divides. The rest pays for units that are held.
LEADER_RATE = 0.98
# Parts of the rate and of the slack that hosts use without a grant.
FALLBACK_RATE = 0.01
FALLBACK_SLACK = 0.1
# Part of the slack that a new leader grants while grants of the former one are valid.
START_SLACK = 0.1
# Time that passes between the charge of a request and its arrival at an endpoint, or
# its refund, in the window of the bound.
DELAY_S = 0.1
# Least room beyond the rate, in parts of what the rate gives in a window. Without any,
# no host could hold units before it uses them.
MIN_ROOM = 0.1
MIN_WINDOW_S = 1.0
# Larger quotas limit nothing, and stay exact in messages.
MAX_UNITS = 2**53


@dataclass(frozen=True, slots=True)
class QuotaOptions:
    """Bound on the units of a workspace, over all hosts.

    In any `window_s` seconds at most
    ``(rate_per_s * window_s + burst) * (1 + overage) + slack`` units reach endpoints.

    Parameters
    ----------
    window_s : float
        Length of the sliding window in seconds.
    overage : float
        Part of the quota that may be used in excess.
    slack : float
        Units that may be used in excess.
    """

    window_s: float = 8.0
    overage: float = 0.1
    slack: float = 0.0

    def compute_bound(self, rate_per_s: float, burst: float) -> float:
        """Return the units that may be used in a window."""
        quota = rate_per_s * self.window_s + burst
        return quota * (1 + self.overage) + self.slack


def create_quota_options(settings: QuotaSettings) -> QuotaOptions:
    """Return the options of a daemon's settings.

    Values that cannot be meant, in settings that were not validated, become the nearest
    that can.
    """
    window_s = max(MIN_WINDOW_S, settings.window_s)
    return QuotaOptions(window_s, max(0.0, settings.overage), max(0.0, settings.slack))


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """Division of the bound of one workspace.

    Their sum over a window is at most the bound: what the leader divides in it, what is
    held or free at its start (`capacity`), what a new leader grants at once (`start`),
    and what all hosts use without a grant.

    Parameters
    ----------
    rate_per_s : float
        Units per second that the leader divides.
    capacity : float
        Units that are held by hosts or free at the leader, together.
    start : float
        Units that a new leader grants before the grants of the former one expire.
    fallback_rate_per_s, fallback_capacity : float
        Rate and size of the buckets for use without a grant, of all hosts together.
    refills_by_use : bool
        Whether the capacity is far more than the rate gives in a window. What is free
        then follows from the use in the last window, as the rate would take long to
        fill it again under a new leader.
    """

    rate_per_s: float
    capacity: float
    start: float
    fallback_rate_per_s: float
    fallback_capacity: float
    refills_by_use: bool = False


def create_plan(workspace: Workspace, options: QuotaOptions) -> QuotaPlan:
    """Return how the bound of a workspace with a quota is divided."""
    window_s = options.window_s
    rate = min(workspace.rate_per_s, MAX_UNITS)
    burst = min(max(0.0, workspace.burst), MAX_UNITS)
    room = options.compute_bound(rate, burst) - rate * window_s
    # A workspace that counts requests would hardly be limited by a slack for tokens.
    slack = min(options.slack, room)
    leader_rate = rate * LEADER_RATE
    missing = MIN_ROOM * rate * window_s - room
    if missing > 0:
        leader_rate -= missing / window_s
    fallback_rate = rate * FALLBACK_RATE
    # A bucket that is full at the start of a window, and refills within it.
    fallback_capacity = fallback_rate * window_s / 2 + FALLBACK_SLACK * slack
    start = START_SLACK * slack
    capacity = room + window_s * (rate - leader_rate)
    capacity -= fallback_rate * window_s + fallback_capacity + start + rate * DELAY_S
    # A window that two leaders share may bring what the rate gives in a window twice.
    gained = leader_rate * window_s
    refills_by_use = capacity > 2 * gained
    if refills_by_use:
        capacity -= gained
    return QuotaPlan(
        leader_rate,
        max(0.0, capacity),
        start,
        fallback_rate,
        fallback_capacity,
        refills_by_use,
    )


def is_valid_units(units: float) -> bool:
    """Return whether a number of units can be counted."""
    # Every comparison with NaN is false.
    return 0 <= units <= MAX_UNITS
