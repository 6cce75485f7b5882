"""What a draining host still accepts; no I/O."""

import random

from buckthorndeal.configuration import RequestKind, Route

# Short, because the directory already returns another host.
RETRY_S = 0.1
# Time in which a host that has stopped is usually back.
RESTART_S = 1.0
# A request may take this much longer than the longest of its route in recent time.
DURATION_FACTOR = 1.5
DURATION_MARGIN_S = 0.1
WINDOW_S = 30.0


class LongestDurations:
    """Longest recent duration of the requests of each route.

    Durations count for one to two times `WINDOW_S`.
    """

    def __init__(self) -> None:
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._begun_s = 0.0

    def record(self, route: str, seconds: float, now_s: float) -> None:
        """Record how long a request has taken."""
        self._advance(now_s)
        self._current[route] = max(seconds, self._current.get(route, 0.0))

    def get_seconds(self, route: str, now_s: float) -> float | None:
        """Return the longest recent duration; None if there is none."""
        self._advance(now_s)
        known = [
            each[route] for each in (self._current, self._previous) if route in each
        ]
        return max(known, default=None)

    def _advance(self, now_s: float) -> None:
        age_s = now_s - self._begun_s
        if age_s < WINDOW_S:
            return
        self._previous = self._current if age_s < 2 * WINDOW_S else {}
        self._current = {}
        self._begun_s = now_s


class Drain:
    """A drain under way.

    Parameters
    ----------
    stop_s : float
        Clock reading at which this host answers what is still running, and stops.
    rng : random.Random
        Source of the jitter.

    Attributes
    ----------
    refuses_streams : bool
        Whether there is too little time left for new streams; forwarded requests of
        any kind are then refused too.
    has_other_host : bool
        Whether another host of this region still accepts requests.
    """

    def __init__(self, stop_s: float, rng: random.Random) -> None:
        self.stop_s = stop_s
        self._rng = rng
        self.refuses_streams = False
        self.has_other_host = True

    def accepts(
        self,
        route: Route,
        forwarded: bool,
        deadline_s: float,
        longest_s: float | None,
        now_s: float,
    ) -> bool:
        """Return whether a new request can be expected to end before the host stops.

        Parameters
        ----------
        route : Route
            Its route.
        forwarded : bool
            Whether another host has forwarded it.
        deadline_s : float
            Clock reading at its deadline.
        longest_s : float or None
            Longest recent duration on this route, in seconds, if there is one.
        now_s : float
            Clock reading.
        """
        is_stream = route.kind is RequestKind.STREAM
        if self.refuses_streams and (forwarded or is_stream):
            return False
        if is_stream or deadline_s <= self.stop_s:
            return True
        if longest_s is None:
            return False
        expected_s = longest_s * DURATION_FACTOR + DURATION_MARGIN_S
        return now_s + expected_s <= self.stop_s

    def compute_retry_s(self, now_s: float) -> float:
        """Return after how many seconds a refused caller may find a host."""
        if self.has_other_host:
            return RETRY_S
        left_s = max(0.0, self.stop_s - now_s)
        return left_s + RESTART_S * self._rng.uniform(0.75, 1.5)
