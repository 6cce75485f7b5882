"""Log and count of heartbeats that are refused as too many endpoints are known."""

import time
from collections.abc import Callable

from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.logs import LineBudget, log_event
from buckthorndeal.metrics import Metrics

LINES_PER_S = 1.0


class EndpointRefusals:
    """Tells operators of endpoints that are not added.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the coordinator.
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
            "endpoints_refused", "counter", "Heartbeats of endpoints beyond the limit."
        )

    def record(self, record: EndpointRecord, known: int) -> None:
        """Count and log a heartbeat that is refused beside `known` endpoints."""
        self._metrics.count("endpoints_refused")
        if self._budget.take(self._clock()):
            log_event(
                "endpoint_refused",
                endpoint=record.endpoint,
                service=record.service,
                address=record.address,
                known=known,
            )
