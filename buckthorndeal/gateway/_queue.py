"""Queue of requests of one service that wait for a free slot; no I/O."""

import math
from collections import deque
from dataclasses import dataclass

from buckthorndeal.gateway._messages import (
    Dispatch,
)

# Window over which the rate of released slots is measured.
RATE_WINDOW_S = 1.0
# Safety factor, because slots are released unevenly.
WAIT_MARGIN = 1.3


@dataclass(slots=True)
class WaitingRequest:
    """A request that waits for a free slot at an endpoint."""

    dispatch: Dispatch
    queued_at_s: float


class WaitingQueue:
    """Waiting requests by priority, with an estimate of their wait."""

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingRequest] = {}
        self._slot_releases_s: deque[float] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, dispatch: Dispatch, now_s: float) -> None:
        """Add a request."""
        self._waiting[dispatch.attempt_id] = WaitingRequest(dispatch, now_s)

    def remove(self, attempt_id: int) -> None:
        """Remove a request, if it is queued."""
        self._waiting.pop(attempt_id, None)

    def list_by_priority(self) -> list[WaitingRequest]:
        """Return the waiting requests, most urgent first."""
        return sorted(
            self._waiting.values(), key=lambda waiting: _get_sort_key(waiting.dispatch)
        )

    def record_slot_release(self, now_s: float) -> None:
        """Record that an attempt of the service has ended and released its slot."""
        self._slot_releases_s.append(now_s)
        self._drop_expired(now_s)

    def predict_wait_s(self, dispatch: Dispatch, now_s: float) -> float:
        """Return the predicted wait of a new request in seconds.

        The result is 0 if no request is ahead of it, and infinite if no slot was
        released recently.

        Parameters
        ----------
        dispatch : Dispatch
            The request, not queued yet.
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
    """Return the sort key of the queue: by priority, then by arrival."""
    return (dispatch.call.priority, dispatch.attempt_id)
