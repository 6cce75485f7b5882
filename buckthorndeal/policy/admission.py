"""Admission: deadline, priority, workspace rate, concurrency and fair share."""

import itertools
import math
from collections import Counter, OrderedDict
from dataclasses import dataclass

from buckthorndeal._waiters import Waiter, WaitQueue
from buckthorndeal.errors import RequestError, Verdict

__all__ = [
    "Admission",
    "AdmissionRequest",
    "Queued",
    "Refused",
    "Ticket",
    "create_admission",
]

MAX_WAITERS = 256
MAX_BUCKETS = 4096
# A waiter gets its answer, at the latest, after this share of the time that was
# left when it came; a longer wait would hold a refusal back.
MAX_QUEUE_SHARE = 0.25
# The capacity grows while requests queue here although endpoints have room, and
# shrinks while endpoints have long queues. Between the two it stays. The interval
# is near the lag of the load reports, so that a change shows before the next one.
ADAPT_INTERVAL_S = 1.0
GROW_BELOW_LOAD = 1.0
SHRINK_ABOVE_LOAD = 1.25
GROWTH = 1.15
SHRINKAGE = 0.9
START_HOLD_S = 0.5
HOLD_SMOOTHING = 0.05
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request that asks to be admitted.

    Parameters
    ----------
    priority : int
        0 to 9; a higher one goes first.
    deadline_s : float
        Monotonic time of the deadline in seconds.
    expected_wait_s : float
        Expected wait at the endpoints once admitted.
    service_s : float
        Expected service time once the wait is over.
    requests_per_s, burst, concurrency
        This host's part of the workspace's limits.
    """

    request_id: str
    workspace: str
    deadline_s: float
    priority: int = 5
    expected_wait_s: float = 0.0
    service_s: float = 0.0
    requests_per_s: float = 50.0
    burst: int = 100
    concurrency: int = 64

    def get_latest_start(self, now_s: float) -> float:
        """Return when it must leave the queue at the latest."""
        patience_s = MAX_QUEUE_SHARE * (self.deadline_s - now_s)
        start_s = self.deadline_s - self.expected_wait_s - self.service_s
        return min(start_s, now_s + patience_s)


@dataclass(frozen=True, slots=True)
class Ticket:
    """The right to run one request; released when the request has ended."""

    request: AdmissionRequest
    number: int
    admitted_s: float


@dataclass(frozen=True, slots=True)
class Refused:
    """A waiter that gets its final answer now."""

    request: AdmissionRequest
    error: RequestError


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; `release` or `expire` names it later.

    Parameters
    ----------
    position : int
        Waiters of the same or a higher priority ahead of it.
    displaced : tuple of Refused
        Waiters that lost their place to it and get their answer now.
    """

    request: AdmissionRequest
    position: int
    displaced: tuple[Refused, ...] = ()


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_s: float


class Admission:
    """Admits requests of one entry host up to a capacity, then queues them.

    Every refusal is a `RequestError` with ``NOT_RUN`` and ``retry_after_s``.

    Parameters
    ----------
    capacity : int
        Requests of this host that may run at once.
    max_capacity : int
        Bound of the capacity when `adapt_capacity` raises it.
    max_waiters : int
        Bound of the queue.
    """

    def __init__(self, capacity: int, max_capacity: int, max_waiters: int) -> None:
        self._capacity = capacity
        self._share = capacity
        self._max_capacity = max_capacity
        self._adapted_s = -math.inf
        self._queue = WaitQueue(max_waiters)
        self._running: dict[int, Ticket] = {}
        self._held: Counter[str] = Counter()
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()
        self._numbers = itertools.count(1)
        self._hold_s = START_HOLD_S

    @property
    def running(self) -> int:
        """Number of tickets that are not released."""
        return len(self._running)

    @property
    def has_capacity(self) -> bool:
        """Whether the next request is admitted without a wait."""
        return len(self._running) < self._capacity and not self._queue

    @property
    def waiting(self) -> int:
        """Number of waiters."""
        return len(self._queue)

    def get_wait(self, priority: int) -> float:
        """Return the expected wait of a newcomer in the queue."""
        if self.has_capacity:
            return 0.0
        return self._estimate_wait(self._queue.count_ahead(priority))

    def get_spare_capacity(self) -> int:
        """Return how many requests more may run now."""
        return 0 if self._queue else max(0, self._capacity - len(self._running))

    def admit(self, request: AdmissionRequest, now_s: float) -> Ticket | Queued:
        """Admit a request, queue it, or refuse it at once.

        Raises
        ------
        RequestError
            With ``NOT_RUN``, if a limit is reached or the deadline can't be met.
        """
        bucket = self._refill_bucket(request, now_s)
        self._check_workspace(request, bucket)
        free = self._capacity - len(self._running)
        if free > 0 and not self._queue:
            self._check_deadline(request, 0.0, now_s)
            bucket.tokens -= 1
            return self._issue(request, now_s)
        ahead = self._queue.count_ahead(request.priority)
        self._check_deadline(request, self._estimate_wait(ahead), now_s)
        displaced = self._make_room(request)
        bucket.tokens -= 1
        self._queue.push(_create_waiter(request, now_s))
        return Queued(request, ahead, displaced)

    def release(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Return a ticket and get those granted in its place.

        Releasing a ticket again has no effect.
        """
        if self._running.pop(ticket.number, None) is None:
            return []
        self._held[ticket.request.workspace] -= 1
        if not self._held[ticket.request.workspace]:
            del self._held[ticket.request.workspace]
        held_s = now_s - ticket.admitted_s
        self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)
        return self._grant(now_s)

    def expire(self, now_s: float) -> list[Refused]:
        """Refuse the waiters that can't meet their deadline any more."""
        late = self._queue.remove_late(now_s)
        return [self._refuse_waiter(waiter, "deadline") for waiter in late]

    def get_next_expiry(self) -> float | None:
        """Return when `expire` is due next, or None without waiters."""
        return self._queue.get_earliest_limit()

    def cancel(self, request_id: str) -> bool:
        """Remove a waiter whose caller has gone; return whether it waited."""
        return self._queue.remove(request_id)

    def set_capacity(
        self, capacity: int, max_capacity: int, now_s: float
    ) -> list[Ticket]:
        """Change this host's share and bound; return the tickets granted."""
        self._share = capacity
        self._max_capacity = max(capacity, max_capacity)
        self._capacity = capacity
        return self._grant(now_s)

    def adapt_capacity(self, load: float, now_s: float) -> list[Ticket]:
        """Adapt the capacity to the load of the endpoints.

        Callers are not spread evenly over the hosts: one with many callers may
        use what the others leave, down to its own share when all are busy.

        Parameters
        ----------
        load : float
            Requests that all endpoints report, running and queued, for each slot.
        now_s : float
            Clock reading.

        Returns
        -------
        list of Ticket
            Tickets granted by a rise.
        """
        if now_s - self._adapted_s < ADAPT_INTERVAL_S:
            return []
        self._adapted_s = now_s
        if load > SHRINK_ABOVE_LOAD:
            least = max(1, self._share)
            self._capacity = max(least, math.floor(self._capacity * SHRINKAGE))
        elif load < GROW_BELOW_LOAD and self._queue:
            raised = math.ceil(self._capacity * GROWTH)
            self._capacity = min(self._max_capacity, raised)
        return self._grant(now_s)

    def _grant(self, now_s: float) -> list[Ticket]:
        granted = []
        while len(self._running) < self._capacity:
            waiter = self._queue.pop(self._held, now_s)
            if waiter is None:
                break
            granted.append(self._issue(waiter.request, now_s))
        return granted

    def _issue(self, request: AdmissionRequest, now_s: float) -> Ticket:
        ticket = Ticket(request, next(self._numbers), now_s)
        self._running[ticket.number] = ticket
        self._held[request.workspace] += 1
        return ticket

    def _estimate_wait(self, ahead: int) -> float:
        return (ahead + 1) * self._hold_s / max(1, self._capacity)

    def _check_workspace(self, request: AdmissionRequest, bucket: _Bucket) -> None:
        if bucket.tokens < 1:
            retry_s = (1 - bucket.tokens) / request.requests_per_s
            raise _create_error("rate_limited", 429, "request rate reached", retry_s)
        held = self._held[request.workspace] if self._held else 0
        held += self._queue.count_workspace(request.workspace)
        if held >= request.concurrency:
            raise _create_error(
                "concurrency_limited", 429, "concurrency reached", self._hold_s
            )

    def _check_deadline(
        self, request: AdmissionRequest, queue_s: float, now_s: float
    ) -> None:
        late_s = now_s + queue_s - request.get_latest_start(now_s)
        if late_s > 0:
            message = "the deadline can't be met"
            # Beyond what would be late, a free place appears once a request ends.
            raise _create_error("deadline", 503, message, late_s + self._hold_s)

    def _make_room(self, request: AdmissionRequest) -> tuple[Refused, ...]:
        if not self._queue.is_full:
            return ()
        waiter = self._queue.displace(request.workspace, request.priority)
        if waiter is None:
            retry_s = self._estimate_wait(len(self._queue))
            raise _create_error("overloaded", 503, "the queue is full", retry_s)
        return (self._refuse_waiter(waiter, "overloaded"),)

    def _refuse_waiter(self, waiter: Waiter, code: str) -> Refused:
        retry_s = self._estimate_wait(len(self._queue)) + self._hold_s
        message = "no capacity within the deadline"
        return Refused(waiter.request, _create_error(code, 503, message, retry_s))

    def _refill_bucket(self, request: AdmissionRequest, now_s: float) -> _Bucket:
        bucket = self._buckets.get(request.workspace)
        if bucket is None:
            bucket = _Bucket(float(request.burst), now_s)
            self._buckets[request.workspace] = bucket
            if len(self._buckets) > MAX_BUCKETS:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(request.workspace)
        added = (now_s - bucket.updated_s) * request.requests_per_s
        bucket.tokens = min(float(request.burst), bucket.tokens + added)
        bucket.updated_s = now_s
        return bucket


def _create_waiter(request: AdmissionRequest, now_s: float) -> Waiter:
    return Waiter(
        request,
        request.request_id,
        request.workspace,
        request.priority,
        request.get_latest_start(now_s),
    )


def _create_error(
    code: str, status: int, message: str, retry_after_s: float
) -> RequestError:
    retry_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
    if not math.isfinite(retry_s):
        retry_s = MAX_RETRY_AFTER_S
    return RequestError(code, status, message, Verdict.NOT_RUN, retry_s)


def create_admission(
    capacity: int, max_capacity: int | None = None, max_waiters: int = MAX_WAITERS
) -> Admission:
    """Create the admission control of one entry host.

    Parameters
    ----------
    capacity : int
        Requests that may run at once: this host's share of the slots.
    max_capacity : int, optional
        Bound of the capacity when `adapt_capacity` raises it; `capacity` by default.
    max_waiters : int, optional
        Bound of the queue.

    Returns
    -------
    Admission
        The admission control, with nothing admitted.
    """
    return Admission(capacity, max(capacity, max_capacity or 0), max_waiters)
