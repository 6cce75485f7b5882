"""Detection of streams that have stopped to make progress."""

from collections.abc import AsyncIterator, Callable
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


class StallWatch:
    """Ends a response when no event has arrived for too long.

    Bytes that complete no event are no progress.

    Parameters
    ----------
    response : ClientResponse
        The response.
    limit_s : float
        Seconds without an event after which it is ended.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, response: ClientResponse, limit_s: float, clock: Callable[[], float]
    ) -> None:
        self._response = response
        self._limit_s = limit_s
        self._clock = clock
        self._last_event_s = clock()

    def record_event(self) -> None:
        """Record that an event has arrived."""
        self._last_event_s = self._clock()

    async def run(self) -> None:
        """End the response once it has stalled."""
        while True:
            left_s = self._last_event_s + self._limit_s - self._clock()
            if left_s > 0:
                await curio.sleep(left_s)
            elif self._response.is_waiting:
                break
            else:
                # The caller reads slowly, and the endpoint may be sound.
                self.record_event()
        await self._response.abort(
            RequestError(
                "stalled",
                502,
                f"no event has arrived for {self._limit_s:g} s",
                Verdict.MAY_HAVE_RUN,
            )
        )


@asynccontextmanager
async def watch_stalls(
    response: ClientResponse, limit_s: float, clock: Callable[[], float]
) -> AsyncIterator[StallWatch]:
    """Watch a response while the context is open; see `StallWatch`."""
    watch = StallWatch(response, limit_s, clock)
    task = await curio.spawn(watch.run, daemon=True)
    try:
        yield watch
    finally:
        await task.cancel(blocking=False)
