"""Models of an inference engine: memory, prefill speed and prefix cache."""

import weakref
from collections import OrderedDict

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.gateway._prompts import Prompt

# Estimate before the first observation.
INITIAL_TOKENS_PER_S = 50_000.0
MIN_TOKENS_PER_S = 5_000.0
MAX_TOKENS_PER_S = 400_000.0
# Time to the first token besides the prefill.
BASE_LATENCY_S = 0.05
# Each observation multiplies the weight of all earlier ones by this factor.
DECAY = 0.97
# A shorter prefill says nothing about the speed.
MIN_OBSERVED_TOKENS = 500
# Parts of prompts that are remembered of all endpoints together, about 9 MB.
MAX_CACHED_PARTS = 32_768
# KV cache of an endpoint whose service says nothing about it.
DEFAULT_CAPACITY_TOKENS = 1_000_000
# Share of an engine's memory that is assumed to cache earlier prompts.
CACHE_SHARE = 0.6
# The sum is formed once as many parts have been added.
CHECK_PARTS = 512


class PrefillSpeed:
    """Prefill speed of an engine, estimated as a decaying average of observations."""

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS_PER_S
        self._seconds = 1.0

    @property
    def tokens_per_s(self) -> float:
        """Estimated prompt tokens per second."""
        speed = self._tokens / self._seconds
        return min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, speed))

    def observe(self, tokens: float, seconds: float) -> None:
        """Record that `tokens` of prefill took `seconds` until the first token."""
        if tokens < MIN_OBSERVED_TOKENS:
            return
        prefill_s = max(seconds - BASE_LATENCY_S, tokens / MAX_TOKENS_PER_S)
        self._tokens = self._tokens * DECAY + tokens
        self._seconds = self._seconds * DECAY + prefill_s

    def predict(self, tokens: float) -> float:
        """Return the time to the first token, in seconds, for `tokens` of prefill."""
        return BASE_LATENCY_S + tokens / self.tokens_per_s


class PrefixCache:
    """Model of an endpoint's prefix cache with LRU eviction.

    Parameters
    ----------
    capacity_tokens : int
        Capacity beyond which the least recently used parts are evicted.
    caches : PrefixCaches
        Caches of all endpoints, which limit the number of parts.
    """

    def __init__(self, capacity_tokens: int, caches: "PrefixCaches") -> None:
        self._capacity_tokens = capacity_tokens
        self._caches = caches
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._parts)

    def count_cached(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts that are cached."""
        cached = 0
        for part in prompt.parts:
            if part.key not in self._parts:
                break
            cached += part.tokens
        return min(cached, prompt.tokens)

    def record(self, prompt: Prompt) -> None:
        """Record that the endpoint processes a prompt."""
        for part in reversed(prompt.parts):
            self._tokens += part.tokens - self._parts.pop(part.key, 0)
            self._parts[part.key] = part.tokens
        while self._tokens > self._capacity_tokens and self._parts:
            self._evict_oldest()
        self._caches.limit_parts(len(prompt.parts))

    def evict_half(self) -> int:
        """Remove the less recently used half of the parts; return their number.

        Parts without a token take no capacity, so that nothing else evicts them.
        """
        count = (len(self._parts) + 1) // 2
        for _ in range(count):
            self._evict_oldest()
        return count

    def clear(self) -> None:
        """Remove all parts, because the endpoint has restarted."""
        self._parts.clear()
        self._tokens = 0

    def _evict_oldest(self) -> None:
        _, tokens = self._parts.popitem(last=False)
        self._tokens -= tokens


class PrefixCaches:
    """Prefix caches of all endpoints, whose parts are limited together.

    Callers choose the parts of their prompts and the tokens of each, so that the
    capacities of the endpoints bound their number no further.

    Parameters
    ----------
    max_parts : int
        Number of parts beyond which the largest cache loses half of its parts.

    Attributes
    ----------
    evicted_count : int
        Number of parts that were removed to keep within the limit.
    """

    def __init__(self, max_parts: int = MAX_CACHED_PARTS) -> None:
        self._max_parts = max_parts
        # Those of endpoints that are gone are not kept.
        self._caches: weakref.WeakSet[PrefixCache] = weakref.WeakSet()
        self._added = 0
        self.evicted_count = 0

    def __len__(self) -> int:
        return sum(len(cache) for cache in self._caches)

    def create(self, capacity_tokens: int) -> PrefixCache:
        """Return an empty cache of an endpoint."""
        cache = PrefixCache(capacity_tokens, self)
        self._caches.add(cache)
        return cache

    def limit_parts(self, added: int) -> None:
        """Keep within the limit after parts were added to a cache."""
        self._added += added
        if self._added < CHECK_PARTS:
            return
        self._added = 0
        while len(self) > self._max_parts:
            self.evicted_count += max(self._caches, key=len).evict_half()


def compute_cache_tokens(service: ServiceDescription | None) -> int:
    """Return the expected size of an endpoint's prefix cache, in tokens."""
    return int(get_kv_capacity(service) * CACHE_SHARE)


def get_kv_capacity(service: ServiceDescription | None) -> int:
    """Return the KV cache capacity of an endpoint, in tokens."""
    if service is None or service.engine is None:
        return DEFAULT_CAPACITY_TOKENS
    return service.engine.kv_capacity_tokens
