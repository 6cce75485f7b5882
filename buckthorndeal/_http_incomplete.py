"""Requests of a server whose bodies are not complete: their places and their turns."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

import curio

from buckthorndeal.logs import log_event

# Requests that have been silent for a shorter time keep their places.
MIN_SILENCE_S = 1.0
# Age from which the rate of a body counts, so that its first bytes can arrive.
RATE_GRACE_S = 2.0
# Pause after a search among all bodies that found none to refuse: each newcomer on a
# full server would search all of them otherwise.
SEARCH_PAUSE_S = 0.1
LOG_INTERVAL_S = 1.0

ResultT = TypeVar("ResultT")


class Displaceable(Protocol):
    """Request that can be refused while its body is read."""

    def displace(self) -> None:
        """Refuse the request; its task is told by the end of its read."""


@dataclass(eq=False)
class _Body:
    """What is known of an incomplete body; times in seconds."""

    begun_s: float
    received_bytes: int = 0
    # Spent on turns, in which nothing is read from the caller.
    turns_s: float = 0.0

    def measure_age_s(self, now_s: float) -> float:
        return now_s - self.begun_s - self.turns_s


class IncompleteRequests:
    """Requests of one server whose bodies are not complete.

    It answers the load of callers that begin bodies and do not end them, or send them
    in very small chunks: the former keep a share of the connections only, the latter
    take up to half of the time of the process, one after the other.

    Parameters
    ----------
    get_places : callable
        Returns the number of requests that may stay incomplete.
    clock : callable, optional
        Returns monotonic seconds.

    Attributes
    ----------
    displaced_count : int
        Number of requests that were refused in favour of others.
    """

    def __init__(
        self,
        get_places: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._get_places = get_places
        self._clock = clock
        self._bodies: dict[Displaceable, _Body] = {}
        # By request that waits for its caller, the clock reading since which it does;
        # the longest silent one comes first.
        self._silent_since_s: dict[Displaceable, float] = {}
        self._turns = curio.Lock()
        self._logged_s: float | None = None
        self._searched_s: float | None = None
        self.displaced_count = 0

    def __len__(self) -> int:
        return len(self._bodies)

    def record_wait(self, request: Displaceable, received_bytes: int = 0) -> None:
        """Record that a request waits for more of its body from now on.

        `received_bytes` is the content that has been decoded by now.
        """
        self._get_body(request).received_bytes = received_bytes
        self._silent_since_s.pop(request, None)
        self._silent_since_s[request] = self._clock()
        self.free_places()

    def record_progress(self, request: Displaceable) -> None:
        """Record that bytes have arrived; the request is not silent meanwhile."""
        self._silent_since_s.pop(request, None)

    def measure_age_s(self, request: Displaceable) -> float:
        """Return the age of an incomplete body in seconds, without its turns."""
        return self._get_body(request).measure_age_s(self._clock())

    def is_crowded(self) -> bool:
        """Return whether more requests are incomplete than may stay so."""
        return len(self) > self._get_places()

    def remove(self, request: Displaceable) -> None:
        """Forget a request that is complete or refused."""
        self._bodies.pop(request, None)
        self._silent_since_s.pop(request, None)

    def free_places(self, is_full: bool = False) -> int:
        """Refuse the longest silent requests beyond the places; return their number.

        If the process is full for another reason, one of them is refused in any case.
        """
        left = max(len(self) - self._get_places(), int(is_full))
        silent_until_s = self._clock() - MIN_SILENCE_S
        before = self.displaced_count
        while left > 0 and self._silent_since_s:
            request, since_s = next(iter(self._silent_since_s.items()))
            if since_s > silent_until_s:
                break
            left -= 1
            self._displace(request)
        return self.displaced_count - before

    def free_slow_place(self, min_rate: float) -> bool:
        """Refuse the slowest request beyond the places; return whether there was one.

        Only bodies that are older than the grace, wait for their caller and bring less
        than `min_rate` bytes per second are refused.
        """
        now_s = self._clock()
        is_paused = (
            self._searched_s is not None and now_s - self._searched_s < SEARCH_PAUSE_S
        )
        if is_paused or not self.is_crowded():
            return False
        slowest = None
        slowest_rate = min_rate
        for request in self._silent_since_s:
            body = self._bodies[request]
            age_s = body.measure_age_s(now_s)
            if age_s < RATE_GRACE_S:
                continue
            rate = body.received_bytes / age_s
            if rate < slowest_rate:
                slowest, slowest_rate = request, rate
        if slowest is None:
            self._searched_s = now_s
            return False
        self._displace(slowest)
        return True

    async def take_turn(
        self, request: Displaceable, decode: Callable[[], ResultT]
    ) -> ResultT:
        """Return the result of `decode`, once no other body in many chunks has a turn.

        The next one comes after a pause as long as the turn, for the other requests.
        """
        body = self._get_body(request)
        waited_s = self._clock()
        try:
            async with self._turns:
                begun_s = self._clock()
                result = decode()
                await curio.sleep(self._clock() - begun_s)
        finally:
            body.turns_s += self._clock() - waited_s
        return result

    def measure_turns_s(self, request: Displaceable) -> float:
        """Return the seconds that a body has spent on its turns."""
        return self._get_body(request).turns_s

    def _get_body(self, request: Displaceable) -> _Body:
        body = self._bodies.get(request)
        if body is None:
            body = self._bodies[request] = _Body(self._clock())
        return body

    def _displace(self, request: Displaceable) -> None:
        self.remove(request)
        self.displaced_count += 1
        self._log()
        request.displace()

    def _log(self) -> None:
        now_s = self._clock()
        if self._logged_s is not None and now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        log_event(
            "incomplete_requests_refused",
            incomplete=len(self),
            places=self._get_places(),
            refused=self.displaced_count,
        )


def create_incomplete_requests(
    get_places: Callable[[], int] = lambda: 1,
) -> IncompleteRequests:
    """Return an empty collection; see `IncompleteRequests`."""
    return IncompleteRequests(get_places)
