"""Queue of requests of one service that wait for a free slot; no I/O.

Answers bursts that are longer than the room of the endpoints: requests are ordered by
what their callers still get from them, and none is passed over without end.
"""

import copy
import math
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from buckthorndeal.gateway._messages import (
    Call,
    Decision,
    Dispatch,
    Refusal,
)

# Window over which the rate of released slots is measured.
RATE_WINDOW_S = 1.0
# Safety factor, because slots are released unevenly.
WAIT_MARGIN = 1.3
# Number of requests that may be served before a waiting class of lower priority gets
# one turn.
MAX_PASSES = 8
# Number of smaller requests that may be served before one that finds no room; then
# room is kept for it.
MAX_OVERTAKES = 4
# Requests that are tried in one pass although an earlier one has found no room. Each
# costs a comparison of all endpoints.
MAX_MISSES = 2

# Shortest times between two passes over the queues: after something has changed, and
# otherwise. A pass compares endpoints for several requests, and messages arrive more
# often than room becomes free.
CHANGE_INTERVAL_S = 0.01
PASS_INTERVAL_S = 0.015


@dataclass(slots=True)
class WaitingRequest:
    """A request that waits for a free slot at an endpoint.

    Parameters
    ----------
    due_s : float
        Clock reading after which it cannot be served within its objective any more.
    yields : bool
        Whether its workspace had been served more than its share when it came.
    overtaken : int
        Requests behind this one that were served after it had found no room.
    has_missed : bool
        Whether it has found no room.
    """

    dispatch: Dispatch
    queued_at_s: float
    due_s: float = math.inf
    yields: bool = False
    overtaken: int = 0
    has_missed: bool = False

    @property
    def call(self) -> Call:
        """The request."""
        return self.dispatch.call

    @property
    def required_tokens(self) -> int:
        """Memory that the request needs at an engine, in tokens."""
        return count_tokens(self.dispatch.call)


class WaitingQueue:
    """Waiting requests by rank, with an estimate of their wait.

    Requests that can still be served within their objective come first, then the
    more urgent ones, then those of workspaces within their share, then the earliest
    due.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingRequest] = {}
        self._slot_releases_s: deque[float] = deque()
        # Requests served before a waiting class, by its priority. It outlasts a
        # request, since a caller does not wait long enough to be passed that often.
        self._passes: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def copy(self) -> "WaitingQueue":
        """Return a copy that shares nothing but the dispatches, which are only read."""
        dispatches = [waiting.dispatch for waiting in self._waiting.values()]
        return copy.deepcopy(self, {id(each): each for each in dispatches})

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        self._waiting[waiting.dispatch.attempt_id] = waiting

    def remove(self, attempt_id: int) -> None:
        """Remove a request, if it is queued."""
        self._waiting.pop(attempt_id, None)

    def list_by_rank(self, now_s: float) -> list[WaitingRequest]:
        """Return the waiting requests, in the order in which they are served."""
        ordered = sorted(
            self._waiting.values(), key=lambda waiting: self._rank(waiting, now_s)
        )
        if self._passes:
            turn = self._find_turn(ordered, now_s)
            if turn is not None:
                ordered.remove(turn)
                ordered.insert(0, turn)
        return ordered

    def record_served(self, served: WaitingRequest) -> None:
        """Count a request that left the queue to be served before others."""
        priority = served.call.priority
        self._passes.pop(priority, None)
        passed = {each.call.priority for each in self._waiting.values()}
        for each in passed:
            if each > priority:
                self._passes[each] = self._passes.get(each, 0) + 1

    def is_reserved(self, new: WaitingRequest, now_s: float) -> bool:
        """Return whether room is kept for a request that is served before a new one."""
        return any(
            each.overtaken >= MAX_OVERTAKES
            and self._rank(each, now_s) < self._rank(new, now_s)
            for each in self._waiting.values()
        )

    def record_overtake(self, new: WaitingRequest, now_s: float) -> None:
        """Count a new request that was served before others that have no room."""
        for each in self._waiting.values():
            if each.has_missed and self._rank(each, now_s) < self._rank(new, now_s):
                each.overtaken += 1

    def record_slot_release(self, now_s: float) -> None:
        """Record that an attempt of the service has ended and released its slot."""
        self._slot_releases_s.append(now_s)
        self._drop_expired(now_s)

    def count_ahead(self, waiting: WaitingRequest, now_s: float) -> int:
        """Return how many waiting requests are served before one, queued or not."""
        rank = self._rank(waiting, now_s)
        return sum(self._rank(each, now_s) < rank for each in self._waiting.values())

    def predict_wait_s(self, ahead: int, now_s: float) -> float:
        """Return the predicted wait behind `ahead` requests, in seconds.

        The result is infinite if no slot was released recently.
        """
        self._drop_expired(now_s)
        if not self._slot_releases_s:
            return math.inf
        return WAIT_MARGIN * (ahead + 1) * RATE_WINDOW_S / len(self._slot_releases_s)

    def _find_turn(
        self, ordered: list[WaitingRequest], now_s: float
    ) -> WaitingRequest | None:
        """Return the first request of a class that was passed over too often."""
        for waiting in ordered:
            passes = self._passes.get(waiting.call.priority, 0)
            if passes >= MAX_PASSES and waiting.due_s >= now_s:
                return waiting
        return None

    def _rank(self, waiting: WaitingRequest, now_s: float) -> tuple:
        return (
            waiting.due_s < now_s,
            waiting.call.priority,
            waiting.yields,
            waiting.due_s,
            waiting.dispatch.attempt_id,
        )

    def _drop_expired(self, now_s: float) -> None:
        while (
            self._slot_releases_s and self._slot_releases_s[0] < now_s - RATE_WINDOW_S
        ):
            self._slot_releases_s.popleft()


class PassTimer:
    """Tells when the queues are worth another pass."""

    def __init__(self) -> None:
        self._last_s = -math.inf
        self._has_changed = True

    def record_change(self) -> None:
        """Record that there may be room for waiting requests."""
        self._has_changed = True

    def is_due(self, now_s: float) -> bool:
        """Return whether a pass is due, which then counts as made."""
        interval_s = CHANGE_INTERVAL_S if self._has_changed else PASS_INTERVAL_S
        if now_s - self._last_s < interval_s:
            return False
        self._last_s = now_s
        self._has_changed = False
        return True


class QueuePass:
    """One pass over a queue after room has become free.

    A request that needs as much as one that has found no room is not tried. Smaller
    ones are, until a larger one has been overtaken too often.
    """

    def __init__(self) -> None:
        self._missed: dict[Hashable, int] = {}
        self._missed_requests: list[WaitingRequest] = []
        self._is_closed = False

    def may_try(self, waiting: WaitingRequest) -> bool:
        """Return whether a request may find room."""
        if self._is_closed or len(self._missed_requests) >= MAX_MISSES:
            return False
        missed = self._missed.get(_get_constraints(waiting.dispatch))
        return missed is None or waiting.required_tokens < missed

    def record_miss(
        self, waiting: WaitingRequest, waits_here: bool, may_overtake: bool = True
    ) -> None:
        """Record that a request has found no room.

        Parameters
        ----------
        waits_here : bool
            Whether it waits for the endpoints of this region.
        may_overtake : bool
            Whether smaller requests may be served before it.
        """
        if not waits_here:
            return
        if not may_overtake:
            self._is_closed = True
            return
        self._missed[_get_constraints(waiting.dispatch)] = waiting.required_tokens
        self._missed_requests.append(waiting)
        waiting.has_missed = True
        if waiting.overtaken >= MAX_OVERTAKES:
            self._is_closed = True

    def record_served(self) -> None:
        """Record that a request was served after those that have found no room."""
        for waiting in self._missed_requests:
            waiting.overtaken += 1
            if waiting.overtaken >= MAX_OVERTAKES:
                self._is_closed = True


def drain(
    queue: WaitingQueue,
    now_s: float,
    decide: Callable[[WaitingRequest, int, bool], Decision | None],
    waits_here: Callable[[Call], bool],
    may_overtake: Callable[[Call], bool],
) -> list[tuple[int, Decision]]:
    """Decide waiting requests in order; return the decisions by attempt id.

    Parameters
    ----------
    decide : callable
        Returns the decision on a request, or None if it goes on waiting. Its other
        arguments are the number of requests ahead, and whether it may find room.
    waits_here : callable
        Returns whether a request waits for the endpoints of this region.
    may_overtake : callable
        Returns whether smaller requests may be served before one without room.
    """
    decided: list[tuple[int, Decision]] = []
    queue_pass = QueuePass()
    ahead = 0
    for waiting in queue.list_by_rank(now_s):
        may_try = queue_pass.may_try(waiting)
        decision = decide(waiting, ahead, may_try)
        if decision is None:
            ahead += 1
            if may_try:
                queue_pass.record_miss(
                    waiting, waits_here(waiting.call), may_overtake(waiting.call)
                )
            continue
        queue.remove(waiting.dispatch.attempt_id)
        decided.append((waiting.dispatch.attempt_id, decision))
        if not isinstance(decision, Refusal) and may_overtake(waiting.call):
            queue.record_served(waiting)
            queue_pass.record_served()
    return decided


def count_tokens(call: Call) -> int:
    """Return the memory that a request needs at an engine, in tokens."""
    if call.prompt is None:
        return 0
    return call.prompt.tokens + call.prompt.max_output_tokens


def _get_constraints(dispatch: Dispatch) -> Hashable:
    """Return what decides where a request may go, besides its size."""
    call = dispatch.call
    return (dispatch.excluded, dispatch.avoided, call.version, bool(call.hops))
