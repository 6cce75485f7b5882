"""Admission control by deadline, priority, workspace limits and fair share."""

import itertools
import math
from collections import Counter, OrderedDict
from dataclasses import dataclass

from buckthorndeal._waiters import Waiter, WaitQueue
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.policy.bucket import TokenBucket

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
# A waiter is admitted or refused, at the latest, after this share of the time that
# remained to its deadline on arrival; a longer wait would delay a refusal until
# close to the deadline.
MAX_QUEUE_SHARE = 0.25
# The capacity is raised while requests queue here although endpoints have free
# slots, and lowered while endpoints have long queues; between the two loads it stays.
# The interval is close to the delay of the load reports, so that a change shows in
# the reports before the next one.
ADAPT_INTERVAL_S = 1.0
GROW_BELOW_LOAD = 1.0
SHRINK_ABOVE_LOAD = 1.25
GROWTH_FACTOR = 1.15
SHRINK_FACTOR = 0.9
# Start value and smoothing factor of the mean time for which a ticket is held.
INITIAL_HOLD_S = 0.5
HOLD_SMOOTHING = 0.05
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request for admission.

    Parameters
    ----------
    priority : int
        0 to 9; requests with a higher priority are admitted first.
    deadline_s : float
        Monotonic time of the deadline in seconds.
    expected_wait_s : float
        Expected wait at the endpoint after admission, in seconds.
    service_s : float
        Expected service time after that wait, in seconds.
    requests_per_s, burst, concurrency
        This host's share of the workspace's limits.
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
        """Return the latest time at which the request may leave the queue."""
        max_queue_s = MAX_QUEUE_SHARE * (self.deadline_s - now_s)
        start_s = self.deadline_s - self.expected_wait_s - self.service_s
        return min(start_s, now_s + max_queue_s)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one request; released when the request has ended."""

    request: AdmissionRequest
    number: int
    admitted_s: float


@dataclass(frozen=True, slots=True)
class Refused:
    """A queued request that is now refused, with the error for its caller."""

    request: AdmissionRequest
    error: RequestError


@dataclass(frozen=True, slots=True)
class Queued:
    """The request was queued; a later call returns its ticket or its refusal.

    Parameters
    ----------
    position : int
        Number of waiters with the same or a higher priority ahead of it.
    displaced : tuple of Refused
        Waiters removed from the full queue in favour of this request.
    """

    request: AdmissionRequest
    position: int
    displaced: tuple[Refused, ...] = ()


class Admission:
    """Admits requests of one entry host up to a capacity, then queues them.

    Every refusal is a `RequestError` with ``NOT_RUN`` and ``retry_after_s``.

    Parameters
    ----------
    capacity : int
        Number of this host's requests that may run at once.
    max_capacity : int
        Upper bound of the capacity when `adapt_capacity` raises it.
    max_waiters : int
        Largest number of queued requests.
    """

    def __init__(self, capacity: int, max_capacity: int, max_waiters: int) -> None:
        self._capacity = capacity
        self._share = capacity
        self._max_capacity = max_capacity
        self._adapted_at_s = -math.inf
        self._queue = WaitQueue(max_waiters)
        self._running: dict[int, Ticket] = {}
        self._ticket_counts: Counter[str] = Counter()
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()
        self._ticket_numbers = itertools.count(1)
        self._mean_hold_s = INITIAL_HOLD_S

    @property
    def running(self) -> int:
        """Number of tickets that have not been released."""
        return len(self._running)

    @property
    def has_capacity(self) -> bool:
        """Whether the next request is admitted without queueing."""
        return len(self._running) < self._capacity and not self._queue

    @property
    def waiting(self) -> int:
        """Number of waiters."""
        return len(self._queue)

    def get_wait(self, priority: int) -> float:
        """Return the expected wait in the queue of a new request, in seconds."""
        if self.has_capacity:
            return 0.0
        return self._estimate_wait(self._queue.count_ahead(priority))

    def get_spare_capacity(self) -> int:
        """Return how many more requests may run now."""
        return 0 if self._queue else max(0, self._capacity - len(self._running))

    def admit(self, request: AdmissionRequest, now_s: float) -> Ticket | Queued:
        """Admit a request, queue it, or refuse it at once.

        Parameters
        ----------
        request : AdmissionRequest
            The request.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Ticket or Queued
            A ticket if the request may run now.

        Raises
        ------
        RequestError
            With ``NOT_RUN``, if a limit is reached, the deadline can't be met or the
            queue is full.
        """
        bucket = self._refill_bucket(request, now_s)
        self._check_workspace(request, bucket)
        free_slots = self._capacity - len(self._running)
        if free_slots > 0 and not self._queue:
            self._check_deadline(request, 0.0, now_s)
            bucket.tokens -= 1
            return self._create_ticket(request, now_s)
        ahead = self._queue.count_ahead(request.priority)
        self._check_deadline(request, self._estimate_wait(ahead), now_s)
        displaced = self._displace_waiter(request)
        bucket.tokens -= 1
        self._queue.push(_create_waiter(request, now_s))
        return Queued(request, ahead, displaced)

    def release(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Release a ticket and return the tickets granted to waiters.

        Releasing a ticket a second time has no effect.
        """
        if self._running.pop(ticket.number, None) is None:
            return []
        self._ticket_counts[ticket.request.workspace] -= 1
        if not self._ticket_counts[ticket.request.workspace]:
            del self._ticket_counts[ticket.request.workspace]
        held_s = now_s - ticket.admitted_s
        self._mean_hold_s += HOLD_SMOOTHING * (held_s - self._mean_hold_s)
        return self._grant(now_s)

    def expire(self, now_s: float) -> list[Refused]:
        """Refuse the waiters whose latest start has passed."""
        expired = self._queue.remove_expired(now_s)
        return [self._refuse_waiter(waiter, "deadline") for waiter in expired]

    def get_next_expiry(self) -> float | None:
        """Return when `expire` must be called next, or None without waiters."""
        return self._queue.get_next_expiry()

    def cancel(self, request_id: str) -> bool:
        """Remove a waiter whose caller has gone; return whether it was queued."""
        return self._queue.remove(request_id)

    def set_capacity(
        self, capacity: int, max_capacity: int, now_s: float
    ) -> list[Ticket]:
        """Set this host's capacity and its upper bound; return granted tickets."""
        self._share = capacity
        self._max_capacity = max(capacity, max_capacity)
        self._capacity = capacity
        return self._grant(now_s)

    def adapt_capacity(self, load: float, now_s: float) -> list[Ticket]:
        """Adapt the capacity to the load of the endpoints.

        Callers are not spread evenly over the hosts: a host with many callers may
        use capacity that the others leave unused, and returns to its own share
        when all are busy.

        Parameters
        ----------
        load : float
            Running and queued requests per slot, as reported by all endpoints.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Ticket
            Tickets granted because the capacity was raised.
        """
        if now_s - self._adapted_at_s < ADAPT_INTERVAL_S:
            return []
        self._adapted_at_s = now_s
        if load > SHRINK_ABOVE_LOAD:
            minimum = max(1, self._share)
            self._capacity = max(minimum, math.floor(self._capacity * SHRINK_FACTOR))
        elif load < GROW_BELOW_LOAD and self._queue:
            raised = math.ceil(self._capacity * GROWTH_FACTOR)
            self._capacity = min(self._max_capacity, raised)
        return self._grant(now_s)

    def _grant(self, now_s: float) -> list[Ticket]:
        granted = []
        while len(self._running) < self._capacity:
            waiter = self._queue.pop(self._ticket_counts, now_s)
            if waiter is None:
                break
            granted.append(self._create_ticket(waiter.request, now_s))
        return granted

    def _create_ticket(self, request: AdmissionRequest, now_s: float) -> Ticket:
        ticket = Ticket(request, next(self._ticket_numbers), now_s)
        self._running[ticket.number] = ticket
        self._ticket_counts[request.workspace] += 1
        return ticket

    def _estimate_wait(self, ahead: int) -> float:
        return (ahead + 1) * self._mean_hold_s / max(1, self._capacity)

    def _check_workspace(self, request: AdmissionRequest, bucket: TokenBucket) -> None:
        retry_s = bucket.compute_wait_s(request.requests_per_s)
        if retry_s > 0:
            raise _create_error(
                "rate_limited",
                429,
                f"the request rate of workspace {request.workspace!r} is exceeded",
                retry_s,
            )
        active = self._ticket_counts[request.workspace] if self._ticket_counts else 0
        active += self._queue.count_workspace(request.workspace)
        if active >= request.concurrency:
            raise _create_error(
                "concurrency_limited",
                429,
                f"workspace {request.workspace!r} has {active} requests running or "
                f"queued at this host, which allows {request.concurrency}",
                self._mean_hold_s,
            )

    def _check_deadline(
        self, request: AdmissionRequest, queue_s: float, now_s: float
    ) -> None:
        late_s = now_s + queue_s - request.get_latest_start(now_s)
        if late_s > 0:
            message = "the deadline can't be met"
            # A slot becomes free when a running request ends, so the mean time for
            # which tickets are held is added to the lateness.
            raise _create_error("deadline", 503, message, late_s + self._mean_hold_s)

    def _displace_waiter(self, request: AdmissionRequest) -> tuple[Refused, ...]:
        if not self._queue.is_full:
            return ()
        waiter = self._queue.displace(request.workspace, request.priority)
        if waiter is None:
            retry_s = self._estimate_wait(len(self._queue))
            raise _create_error(
                "overloaded", 503, "the admission queue is full", retry_s
            )
        return (self._refuse_waiter(waiter, "overloaded"),)

    def _refuse_waiter(self, waiter: Waiter, code: str) -> Refused:
        retry_s = self._estimate_wait(len(self._queue)) + self._mean_hold_s
        message = "no capacity within the deadline"
        return Refused(waiter.request, _create_error(code, 503, message, retry_s))

    def _refill_bucket(self, request: AdmissionRequest, now_s: float) -> TokenBucket:
        bucket = self._buckets.get(request.workspace)
        if bucket is None:
            bucket = TokenBucket(float(request.burst), now_s)
            self._buckets[request.workspace] = bucket
            if len(self._buckets) > MAX_BUCKETS:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(request.workspace)
        bucket.refill(request.requests_per_s, request.burst, now_s)
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
        Number of requests that may run at once: this host's share of the slots.
    max_capacity : int, optional
        Upper bound of the capacity when `adapt_capacity` raises it; `capacity` by
        default.
    max_waiters : int, optional
        Largest number of queued requests.

    Returns
    -------
    Admission
        The admission control, with no request admitted or queued.
    """
    return Admission(capacity, max(capacity, max_capacity or 0), max_waiters)
