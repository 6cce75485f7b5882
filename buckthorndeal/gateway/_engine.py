"""Estimate of an engine's time to the first token, learned from its answers."""

from collections import OrderedDict

from buckthorndeal.gateway._messages import Prompt

# Before anything was observed.
INITIAL_TOKENS_PER_S = 50_000.0
MIN_TOKENS_PER_S = 5_000.0
MAX_TOKENS_PER_S = 400_000.0
BASE_LATENCY_S = 0.05
# Weight that an observation keeps after each further one.
DECAY = 0.97
# Less work says nothing about the speed.
MIN_OBSERVED_TOKENS = 500


class PrefillSpeed:
    """Prompt tokens that an engine reads in a second, by observation."""

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS_PER_S
        self._seconds = 1.0

    @property
    def tokens_per_s(self) -> float:
        """Current estimate."""
        speed = self._tokens / self._seconds
        return min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, speed))

    def observe(self, tokens: float, seconds: float) -> None:
        """Note that work of `tokens` took `seconds` to the first token."""
        if tokens < MIN_OBSERVED_TOKENS:
            return
        prefill_s = max(seconds - BASE_LATENCY_S, tokens / MAX_TOKENS_PER_S)
        self._tokens = self._tokens * DECAY + tokens
        self._seconds = self._seconds * DECAY + prefill_s

    def predict(self, tokens: float) -> float:
        """Return the time to the first token behind work of `tokens`."""
        return BASE_LATENCY_S + tokens / self.tokens_per_s


class PrefixCache:
    """Prompt parts that an endpoint is believed to keep, least recently used first.

    Parameters
    ----------
    capacity_tokens : int
        Tokens after which the least recently used parts are forgotten.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def count_cached(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts that are kept."""
        cached = 0
        for part in prompt.parts:
            if part.key not in self._parts:
                break
            cached += part.tokens
        return min(cached, prompt.tokens)

    def record(self, prompt: Prompt) -> None:
        """Note that the endpoint reads a prompt."""
        for part in reversed(prompt.parts):
            self._tokens += part.tokens - self._parts.pop(part.key, 0)
            self._parts[part.key] = part.tokens
        while self._tokens > self._capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Forget everything; the endpoint has restarted."""
        self._parts.clear()
        self._tokens = 0
