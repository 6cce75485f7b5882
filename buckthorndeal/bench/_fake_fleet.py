"""Fake endpoints and a discrete-event clock for the simulation of routing policies."""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthorndeal.policy.affinity import CacheEvent

__all__ = ["BLOCK_TOKENS", "EventClock", "FakeEndpoint", "Job", "LoadReport"]

BLOCK_TOKENS = 64
PREFILL_TOKENS_PER_S = 4000.0
DECODE_TOKENS_PER_S = 60.0
# A full batch decodes at 1 / (1 + BATCH_SLOWDOWN) of a single request's rate.
BATCH_SLOWDOWN = 0.5
CACHE_BLOCKS = 600
FAILURE_DELAY_S = 0.05


class EventClock:
    """Discrete-event scheduler that runs callbacks in the order of simulated time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._event_numbers = itertools.count()

    def call_later(
        self, delay_s: float, function: Callable, *arguments: object
    ) -> None:
        """Schedule a function call after a delay in seconds."""
        event = (self.now_s + delay_s, next(self._event_numbers), function, arguments)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Run all events up to a time and advance the clock to it."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now_s = until_s


@dataclass(slots=True)
class Job:
    """One attempt at an endpoint, and its measured times in seconds."""

    prefix_hashes: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    on_end: Callable
    sent_s: float
    first_token_s: float = 0.0
    cached_tokens: int = 0
    busy_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint at the time `measured_s`."""

    endpoint: str
    measured_s: float
    running: int
    queued: int


@dataclass(slots=True)
class FakeEndpoint:
    """Model engine with slots, a queue, and an LRU prefix cache of limited size."""

    name: str
    slots: int
    clock: EventClock
    rng: random.Random
    publish_event: Callable[[CacheEvent], None]
    fails: bool = False
    running: int = 0
    queue: deque[Job] = field(default_factory=deque)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    sequence: int = 0
    busy_s: float = 0.0

    def submit(self, job: Job) -> None:
        """Start or queue a job; fail it after `FAILURE_DELAY_S` if set to fail."""
        if self.fails:
            self.clock.call_later(FAILURE_DELAY_S, job.on_end, job, False)
        elif self.running < self.slots:
            self._start(job)
        else:
            self.queue.append(job)

    def report(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(self.name, self.clock.now_s, self.running, len(self.queue))

    def _start(self, job: Job) -> None:
        self.running += 1
        job.cached_tokens = min(job.prompt_tokens, self._count_cached(job))
        prefill_s = (job.prompt_tokens - job.cached_tokens) / PREFILL_TOKENS_PER_S
        slowdown = 1.0 + BATCH_SLOWDOWN * self.running / self.slots
        decode_s = job.output_tokens / DECODE_TOKENS_PER_S * slowdown
        job.first_token_s = self.clock.now_s + prefill_s - job.sent_s
        job.busy_s = prefill_s + decode_s
        self._fill_cache(job.prefix_hashes)
        self.clock.call_later(job.busy_s, self._finish, job)

    def _finish(self, job: Job) -> None:
        self.running -= 1
        self.busy_s += job.busy_s
        if self.queue:
            self._start(self.queue.popleft())
        job.on_end(job, True)

    def _count_cached(self, job: Job) -> int:
        blocks = 0
        for prefix in job.prefix_hashes:
            if prefix not in self.cache:
                break
            blocks += 1
        return blocks * BLOCK_TOKENS

    def _fill_cache(self, prefix_hashes: tuple[int, ...]) -> None:
        stored = tuple(name for name in prefix_hashes if name not in self.cache)
        for prefix in prefix_hashes:
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        removed = []
        while len(self.cache) > CACHE_BLOCKS:
            removed.append(self.cache.popitem(last=False)[0])
        if stored or removed:
            self.sequence += 1
            now_s = self.clock.now_s
            self.publish_event(
                CacheEvent(self.name, 1, self.sequence, now_s, stored, tuple(removed))
            )
