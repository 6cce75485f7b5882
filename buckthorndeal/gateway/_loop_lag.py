"""Detection of times in which this process did not run; no I/O."""

import math

# A loop that waits at most this long tells a stopped process from an idle one.
MAX_WAIT_S = 0.5
# A process that runs this much later than it wanted to was stopped.
MAX_LAG_S = 0.5


class LoopLag:
    """Tells whether a loop runs later than planned."""

    def __init__(self) -> None:
        self._last_s = math.inf

    def record_turn(self, now_s: float) -> bool:
        """Record a turn of the loop; return whether the process was stopped before.

        Parameters
        ----------
        now_s : float
            Clock reading.
        """
        lag_s = now_s - self._last_s - MAX_WAIT_S
        self._last_s = now_s
        return lag_s > MAX_LAG_S
