"""Requests of one service that wait for room at an endpoint; no I/O."""

import math
from collections import deque
from dataclasses import dataclass

from buckthorndeal.gateway._messages import Dispatch

# Time over which the places that become free are counted.
RATE_WINDOW_S = 1.0
# Places become free unevenly.
WAIT_MARGIN = 1.3


@dataclass(slots=True)
class WaitingRequest:
    """A request that waits for room at an endpoint."""

    dispatch: Dispatch
    queued_at_s: float


class WaitingQueue:
    """WaitingRequest requests, and how soon places become free for them."""

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingRequest] = {}
        self._slot_releases_s: deque[float] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, dispatch: Dispatch, now_s: float) -> None:
        """Let a request wait."""
        self._waiting[dispatch.attempt_id] = WaitingRequest(dispatch, now_s)

    def remove(self, attempt_id: int) -> None:
        """Forget a request; it is no error if it does not wait."""
        self._waiting.pop(attempt_id, None)

    def list_by_priority(self) -> list[WaitingRequest]:
        """Return the waiting requests, most urgent first."""
        return sorted(
            self._waiting.values(), key=lambda waiting: _get_sort_key(waiting.dispatch)
        )

    def record_slot_release(self, now_s: float) -> None:
        """Note that an attempt of the service has ended and its place is free."""
        self._slot_releases_s.append(now_s)
        self._drop_expired(now_s)

    def predict_wait_s(self, dispatch: Dispatch, now_s: float) -> float:
        """Return how long a new request would wait; 0 if nothing tells.

        Parameters
        ----------
        dispatch : Dispatch
            The request, which does not wait yet.
        now_s : float
            Clock reading.
        """
        self._drop_expired(now_s)
        rank = _get_sort_key(dispatch)
        ahead = sum(
            _get_sort_key(waiting.dispatch) < rank for waiting in self._waiting.values()
        )
        if not ahead:
            return 0.0
        if not self._slot_releases_s:
            return math.inf
        return WAIT_MARGIN * ahead * RATE_WINDOW_S / len(self._slot_releases_s)

    def _drop_expired(self, now_s: float) -> None:
        while (
            self._slot_releases_s and self._slot_releases_s[0] < now_s - RATE_WINDOW_S
        ):
            self._slot_releases_s.popleft()


def _get_sort_key(dispatch: Dispatch) -> tuple[int, int]:
    """Return the order of serving: by priority, then by arrival."""
    return (dispatch.call.route.priority, dispatch.attempt_id)
