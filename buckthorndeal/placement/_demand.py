"""Wanted numbers of copies and the token bucket of the weight store."""

import math
from dataclasses import dataclass

from buckthorndeal.sections import ModelPlacement

# Hysteresis: a copy is added when the demand exceeds GROW_ABOVE_SHARE of the capacity
# of all copies. It is removed when the demand has stayed below SHRINK_BELOW_SHARE of
# the capacity of one copy fewer for SHRINK_AFTER_S. Small changes of the demand thus
# don't add and remove copies in turn.
GROW_ABOVE_SHARE = 0.8
SHRINK_BELOW_SHARE = 0.5
SHRINK_AFTER_S = 120.0
SECONDS_PER_MINUTE = 60.0


@dataclass(slots=True)
class _WantedCopies:
    copies: int
    low_since_s: float | None = None


class DemandFilter:
    """Computes the wanted copies of each region and model, with hysteresis."""

    def __init__(self) -> None:
        self._wanted: dict[tuple[str, str], _WantedCopies] = {}

    def count_wanted(
        self,
        region: str,
        model: str,
        demand: float,
        limits: ModelPlacement,
        now_s: float,
    ) -> int:
        """Update and return the wanted number of copies.

        Parameters
        ----------
        region : str
            Name of the region.
        model : str
            Name of the model.
        demand : float
            Demand in units of fully utilized copies.
        limits : ModelPlacement
            Smallest and largest number of copies.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        int
            The wanted number of copies.
        """
        key = (region, model)
        wanted = self._wanted.setdefault(key, _WantedCopies(limits.min_copies))
        wanted.copies = min(max(wanted.copies, limits.min_copies), limits.max_copies)
        needed = math.ceil(demand / GROW_ABOVE_SHARE)
        if needed > wanted.copies:
            wanted.copies = min(needed, limits.max_copies)
            wanted.low_since_s = None
        elif demand >= (wanted.copies - 1) * SHRINK_BELOW_SHARE:
            wanted.low_since_s = None
        elif wanted.copies > limits.min_copies:
            self._shrink(wanted, now_s)
        return wanted.copies

    def _shrink(self, wanted: _WantedCopies, now_s: float) -> None:
        if wanted.low_since_s is None:
            wanted.low_since_s = now_s
        elif now_s - wanted.low_since_s >= SHRINK_AFTER_S:
            wanted.copies -= 1
            wanted.low_since_s = now_s


class LoadTokenBucket:
    """Token bucket that limits the loads from the weight store.

    The bucket starts empty, as a new lease holder doesn't know how many loads the
    previous one has just ordered.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._updated_s = now_s

    def refill(self, loads_per_minute: float, now_s: float) -> None:
        """Add the tokens gained since the last call; the bucket holds at most one."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        gained = elapsed_s * loads_per_minute / SECONDS_PER_MINUTE
        self._tokens = min(1.0, self._tokens + gained)
        self._updated_s = now_s

    def has_token(self) -> bool:
        """Return whether a load may be ordered now."""
        return self._tokens >= 1.0

    def take(self) -> None:
        """Use one token."""
        self._tokens -= 1.0
