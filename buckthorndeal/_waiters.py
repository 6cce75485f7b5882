"""Bounded queue with priorities and a fair order between workspaces."""

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
        When it must leave the queue at the latest.
    """

    request: Any
    request_id: str
    workspace: str
    priority: int
    latest_start_s: float


class WaitQueue:
    """Waiters by priority and workspace.

    Parameters
    ----------
    limit : int
        Largest number of waiters.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._levels: dict[int, dict[str, deque[Waiter]]] = {}
        self._workspaces: Counter[str] = Counter()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Whether a push needs a displacement first."""
        return self._size >= self._limit

    def push(self, waiter: Waiter) -> None:
        """Add a waiter at the end of its workspace's line."""
        level = self._levels.setdefault(waiter.priority, {})
        level.setdefault(waiter.workspace, deque()).append(waiter)
        self._workspaces[waiter.workspace] += 1
        self._size += 1

    def pop(self, held: Mapping[str, int], now_s: float) -> Waiter | None:
        """Take the next waiter that can still meet its deadline.

        The highest priority goes first; within it the workspace that holds the
        fewest tickets, and between equal ones the longest unserved.
        """
        for priority in sorted(self._levels, reverse=True):
            level = self._levels[priority]
            for workspace in sorted(level, key=lambda name: held.get(name, 0)):
                for waiter in level[workspace]:
                    if waiter.latest_start_s >= now_s:
                        self._discard(waiter)
                        self._rotate(priority, workspace)
                        return waiter
        return None

    def displace(self, workspace: str, priority: int) -> Waiter | None:
        """Take the waiter that gives way to a newcomer, if any must.

        A lower priority gives way. Within the newcomer's priority the workspace
        with the longest line does, if the newcomer's line stays shorter.
        """
        lowest = min(self._levels, default=priority)
        if lowest > priority:
            return None
        level = self._levels.get(lowest, {})
        if not level:
            return None
        longest = max(level, key=lambda name: len(level[name]))
        own = len(level.get(workspace, ()))
        if lowest == priority and len(level[longest]) <= own + 1:
            return None
        waiter = level[longest][-1]
        self._discard(waiter)
        return waiter

    def remove_expired(self, now_s: float) -> list[Waiter]:
        """Take every waiter that can't meet its deadline any more."""
        late = [waiter for waiter in self._iterate() if waiter.latest_start_s < now_s]
        for waiter in late:
            self._discard(waiter)
        return late

    def remove(self, request_id: str) -> bool:
        """Remove one waiter; return whether it was there."""
        for waiter in self._iterate():
            if waiter.request_id == request_id:
                self._discard(waiter)
                return True
        return False

    def count_ahead(self, priority: int) -> int:
        """Return the waiters of this or a higher priority."""
        return sum(
            len(line)
            for level_priority, level in self._levels.items()
            if level_priority >= priority
            for line in level.values()
        )

    def count_workspace(self, workspace: str) -> int:
        """Return the waiters of a workspace."""
        return self._workspaces.get(workspace, 0)

    def get_next_expiry(self) -> float | None:
        """Return the earliest time at which a waiter becomes late."""
        return min((waiter.latest_start_s for waiter in self._iterate()), default=None)

    def _iterate(self) -> Iterator[Waiter]:
        for level in self._levels.values():
            for line in level.values():
                yield from line

    def _rotate(self, priority: int, workspace: str) -> None:
        """Move a served workspace behind the others of its priority."""
        level = self._levels.get(priority, {})
        if workspace in level:
            level[workspace] = level.pop(workspace)

    def _discard(self, waiter: Waiter) -> None:
        level = self._levels[waiter.priority]
        line = level[waiter.workspace]
        line.remove(waiter)
        if not line:
            del level[waiter.workspace]
        if not level:
            del self._levels[waiter.priority]
        self._workspaces[waiter.workspace] -= 1
        if not self._workspaces[waiter.workspace]:
            del self._workspaces[waiter.workspace]
        self._size -= 1
