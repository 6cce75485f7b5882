"""Bounded priority queue with fair queueing between workspaces."""

from collections import Counter, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["WaitQueue", "Waiter"]


@dataclass(slots=True)
class Waiter:
    """A queued request.

    Parameters
    ----------
    latest_start_s : float
        Latest time at which the request may leave the queue to meet its deadline,
        in monotonic seconds.
    """

    request: Any
    request_id: str
    workspace: str
    priority: int
    latest_start_s: float


class WaitQueue:
    """Queue of waiters, by priority and workspace.

    Parameters
    ----------
    limit : int
        Maximum number of waiters.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._queues_by_priority: dict[int, dict[str, deque[Waiter]]] = {}
        self._workspace_counts: Counter[str] = Counter()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Whether a waiter must be displaced before another one is pushed."""
        return self._size >= self._limit

    def push(self, waiter: Waiter) -> None:
        """Append a waiter to the queue of its priority and workspace."""
        queues = self._queues_by_priority.setdefault(waiter.priority, {})
        queues.setdefault(waiter.workspace, deque()).append(waiter)
        self._workspace_counts[waiter.workspace] += 1
        self._size += 1

    def pop(self, tickets: Mapping[str, int], now_s: float) -> Waiter | None:
        """Remove and return the next waiter that can still meet its deadline.

        The highest priority is served first; within a priority the workspace with
        the fewest running requests, and among equal ones the least recently served.

        Parameters
        ----------
        tickets : mapping of str to int
            Number of tickets, one for each running request, by workspace.
        now_s : float
            Current time in monotonic seconds.
        """
        for priority in sorted(self._queues_by_priority, reverse=True):
            queues = self._queues_by_priority[priority]
            for workspace in sorted(queues, key=lambda name: tickets.get(name, 0)):
                for waiter in queues[workspace]:
                    if waiter.latest_start_s >= now_s:
                        self._remove_waiter(waiter)
                        self._move_last(priority, workspace)
                        return waiter
        return None

    def displace(self, workspace: str, priority: int) -> Waiter | None:
        """Remove and return the waiter that a new request displaces, or None.

        The candidate is the last waiter of the workspace with the longest queue at
        the lowest priority. If that is lower than the priority of the request, the
        candidate is displaced; if they are equal, only if its queue is longer than
        the queue of the request's workspace would become.
        """
        lowest = min(self._queues_by_priority, default=priority)
        if lowest > priority:
            return None
        queues = self._queues_by_priority.get(lowest, {})
        if not queues:
            return None
        longest = max(queues, key=lambda name: len(queues[name]))
        own_length = len(queues.get(workspace, ()))
        if lowest == priority and len(queues[longest]) <= own_length + 1:
            return None
        waiter = queues[longest][-1]
        self._remove_waiter(waiter)
        return waiter

    def remove_expired(self, now_s: float) -> list[Waiter]:
        """Remove and return the waiters that can no longer meet their deadline."""
        expired = [
            waiter for waiter in self._iterate() if waiter.latest_start_s < now_s
        ]
        for waiter in expired:
            self._remove_waiter(waiter)
        return expired

    def remove(self, request_id: str) -> bool:
        """Remove a waiter; return whether it was queued."""
        for waiter in self._iterate():
            if waiter.request_id == request_id:
                self._remove_waiter(waiter)
                return True
        return False

    def count_ahead(self, priority: int) -> int:
        """Return the number of waiters of this or a higher priority."""
        return sum(
            len(queue)
            for queue_priority, queues in self._queues_by_priority.items()
            if queue_priority >= priority
            for queue in queues.values()
        )

    def count_workspace(self, workspace: str) -> int:
        """Return the number of waiters of a workspace."""
        return self._workspace_counts.get(workspace, 0)

    def get_next_expiry(self) -> float | None:
        """Return when the next waiter expires, or None without waiters."""
        return min((waiter.latest_start_s for waiter in self._iterate()), default=None)

    def _iterate(self) -> Iterator[Waiter]:
        for queues in self._queues_by_priority.values():
            for queue in queues.values():
                yield from queue

    def _move_last(self, priority: int, workspace: str) -> None:
        """Move a served workspace behind the others of its priority."""
        queues = self._queues_by_priority.get(priority, {})
        if workspace in queues:
            queues[workspace] = queues.pop(workspace)

    def _remove_waiter(self, waiter: Waiter) -> None:
        queues = self._queues_by_priority[waiter.priority]
        queue = queues[waiter.workspace]
        queue.remove(waiter)
        if not queue:
            del queues[waiter.workspace]
        if not queues:
            del self._queues_by_priority[waiter.priority]
        self._workspace_counts[waiter.workspace] -= 1
        if not self._workspace_counts[waiter.workspace]:
            del self._workspace_counts[waiter.workspace]
        self._size -= 1
