"""Counters and bounded log lines that tell operators that a limit has acted."""

import time
from collections.abc import Callable

from buckthorndeal.logs import LineBudget, log_event
from buckthorndeal.metrics import Metrics

__all__ = ["LimitReport", "create_limit_report"]

LINES_PER_S = 1.0


class LimitReport:
    """Counts each time that a limit acts, and logs about one of them a second.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    counter : str
        Name of the counter.
    event : str
        Name of the event in the log.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, metrics: Metrics, counter: str, event: str, clock: Callable[[], float]
    ) -> None:
        self._metrics = metrics
        self._counter = counter
        self._event = event
        self._clock = clock
        self._budget = LineBudget(LINES_PER_S)

    def record(self, **fields: object) -> None:
        """Count that the limit has acted, and log it with the inputs."""
        self._metrics.count(self._counter)
        if self._budget.take(self._clock()):
            log_event(self._event, **fields)


def create_limit_report(
    metrics: Metrics,
    counter: str,
    event: str,
    text: str,
    clock: Callable[[], float] = time.monotonic,
) -> LimitReport:
    """Return the report of a limit whose counter has a help text."""
    metrics.describe(counter, "counter", text)
    return LimitReport(metrics, counter, event, clock)
