"""Detection of streams that have stopped to make progress."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import curio

from buckthorndeal.configuration import Route
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.http_client import ClientResponse

# A stream has stalled after the longest of this time, these many latency objectives and
# these many times the longest pause that its route allows. Slower ones may be sound.
MIN_STALL_S = 2.0
STALL_OBJECTIVES = 4
STALL_PAUSES = 8
# Share of the limit after which a stream that can continue elsewhere is given up.
RESUMABLE_SHARE = 0.5
# Pause before a stream is continued that lacked a descriptor for it.
SHORTAGE_RETRY_S = 0.1


def compute_stall_limit_s(route: Route, may_resume: bool) -> float:
    """Return the seconds without an event after which a stream counts as stalled.

    Parameters
    ----------
    route : Route
        Route of the stream.
    may_resume : bool
        Whether another attempt may continue the stream.
    """
    limit_s = max(
        MIN_STALL_S,
        STALL_OBJECTIVES * route.latency_objective_s,
        STALL_PAUSES * route.max_pause_s,
    )
    return limit_s * RESUMABLE_SHARE if may_resume else limit_s


async def wait_for_descriptors(
    route: Route, last_event_s: float, clock: Callable[[], float]
) -> bool:
    """Wait before a stream that has begun is continued; return whether there is time.

    Its caller cannot be refused any more. There is time while a stream that another
    attempt may continue does not count as stalled.
    """
    left_s = last_event_s + compute_stall_limit_s(route, True) - clock()
    if left_s <= 0:
        return False
    await curio.sleep(min(left_s, SHORTAGE_RETRY_S))
    return True


class StallWatch:
    """Ends a response when no event has arrived for too long.

    Bytes that complete no event are no progress. A sound endpoint may fall silent and
    go on, so a stream that can continue elsewhere is given up early, but only once
    another endpoint takes it.

    Parameters
    ----------
    response : ClientResponse
        The response.
    route : Route
        Its route.
    clock : callable
        Returns monotonic seconds.
    find_replacement : callable or None
        Coroutine function that returns whether another endpoint takes the stream; None
        if it cannot continue elsewhere.
    release_replacement : callable
        Coroutine function that gives that endpoint back, as events arrive again.
    """

    def __init__(
        self,
        response: ClientResponse,
        route: Route,
        clock: Callable[[], float],
        find_replacement: Callable[[], Awaitable[bool]] | None,
        release_replacement: Callable[[], Awaitable[None]],
    ) -> None:
        self._response = response
        self._limit_s = compute_stall_limit_s(route, False)
        self._resume_s = compute_stall_limit_s(route, find_replacement is not None)
        self._clock = clock
        self._find_replacement = find_replacement
        self._release_replacement = release_replacement
        self._last_event_s = clock()
        # The event after which no other endpoint has taken the stream.
        self._searched_s: float | None = None

    def record_event(self) -> None:
        """Record that an event has arrived."""
        self._last_event_s = self._clock()

    async def run(self) -> None:
        """End the response once it has stalled."""
        limit_s = await self._wait_until_silent()
        while limit_s < self._limit_s and not await self._is_replaced():
            limit_s = await self._wait_until_silent()
        await self._response.abort(
            RequestError(
                "stalled",
                502,
                f"no event has arrived for {limit_s:g} s",
                Verdict.MAY_HAVE_RUN,
            )
        )

    async def _wait_until_silent(self) -> float:
        """Return the limit that the silence has reached, in seconds."""
        while True:
            searched = self._searched_s == self._last_event_s
            limit_s = self._limit_s if searched else self._resume_s
            left_s = self._last_event_s + limit_s - self._clock()
            if left_s > 0:
                await curio.sleep(left_s)
            elif self._response.is_waiting:
                return limit_s
            else:
                # The caller reads slowly, and the endpoint may be sound.
                self.record_event()

    async def _is_replaced(self) -> bool:
        """Return whether another endpoint has taken the stream while this is silent."""
        self._searched_s = self._last_event_s
        if not await self._find_replacement():
            return False
        if self._last_event_s == self._searched_s:
            return True
        await self._release_replacement()
        return False


@asynccontextmanager
async def watch_stalls(watch: StallWatch) -> AsyncIterator[StallWatch]:
    """Run a watch while the context is open."""
    task = await curio.spawn(watch.run, daemon=True)
    try:
        yield watch
    finally:
        # The response is not ended any more, and no replacement asked for.
        await task.cancel()
