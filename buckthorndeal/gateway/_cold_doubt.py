"""Doubt about whether an endpoint has become cold since its last heartbeat; no I/O."""

import math
from dataclasses import dataclass

# Heartbeats may arrive seconds after they were sent, as after a partition.
HEARTBEAT_DELAY_S = 2.5
# In this time a process that runs again reads what it was sent while it was stopped.
UNREAD_S = 0.5


@dataclass(slots=True)
class ColdDoubt:
    """Time in which an endpoint may be cold although no heartbeat says so.

    It ends with the first heartbeat that was sent after it had begun, or once a cold
    time that had begun before is over. A health response may tell that time; then
    heartbeats do not end it, as they may have been sent long ago.
    """

    since_s: float = -math.inf
    until_s: float = -math.inf
    is_settled: bool = False

    def begin(self, now_s: float, cold_start_s: float) -> None:
        """Doubt from now on whether the endpoint is cold; a later doubt holds.

        Parameters
        ----------
        now_s : float
            Clock reading.
        cold_start_s : float
            How long an endpoint of the service is cold.
        """
        if now_s > self.since_s:
            self.since_s = now_s
            self.until_s = now_s + cold_start_s
            self.is_settled = False
        elif now_s == self.since_s and not self.is_settled:
            self.until_s = max(self.until_s, now_s + cold_start_s)

    def settle(self, cold_s: float, now_s: float) -> None:
        """Record that the endpoint has told how long it is cold; 0 if it is warm.

        Parameters
        ----------
        cold_s : float
            Remaining cold time in seconds.
        now_s : float
            Clock reading.
        """
        self.until_s = now_s + cold_s
        self.is_settled = True

    def resume(self, now_s: float, last_heartbeat_s: float) -> None:
        """Doubt again after a time in which this process did not run.

        What was sent in that time may be read at any moment from now on, and an old
        heartbeat among it ends no doubt.

        Parameters
        ----------
        now_s : float
            Clock reading.
        last_heartbeat_s : float
            Clock reading at the last heartbeat.
        """
        remaining_s = self.get_remaining_s(last_heartbeat_s, now_s)
        self.begin(now_s, max(remaining_s, UNREAD_S))

    def get_remaining_s(self, last_heartbeat_s: float, now_s: float) -> float:
        """Return for how long the doubt lasts at most, in seconds.

        Parameters
        ----------
        last_heartbeat_s : float
            Clock reading at the last heartbeat.
        now_s : float
            Clock reading.
        """
        is_heard = last_heartbeat_s >= self.since_s + HEARTBEAT_DELAY_S
        if is_heard and not self.is_settled:
            return 0.0
        return max(0.0, self.until_s - now_s)
