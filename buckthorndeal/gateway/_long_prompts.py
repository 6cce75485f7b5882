"""Log and count of prompts with more parts than are distinguished."""

import time
from collections.abc import Callable

from buckthorndeal.gateway._prompts import Prompt
from buckthorndeal.logs import LineBudget, log_event
from buckthorndeal.metrics import Metrics

LINES_PER_S = 1.0


class LongPrompts:
    """Tells operators of prompts whose last parts were joined.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the gateway.
    clock : callable, optional
        Returns monotonic seconds.
    """

    def __init__(
        self, metrics: Metrics, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._budget = LineBudget(LINES_PER_S)
        metrics.describe(
            "prompts_shortened", "counter", "Prompts whose last parts were joined."
        )

    def record(self, request_id: str, prompt: Prompt | None) -> None:
        """Count the prompt of a request if it has too many parts, and log it."""
        if prompt is None or not prompt.joined_parts:
            return
        self._metrics.count("prompts_shortened")
        if self._budget.take(self._clock()):
            log_event(
                "prompt_shortened",
                request_id=request_id,
                joined=prompt.joined_parts,
                parts=len(prompt.parts),
            )
