"""Log lines and metrics of the learned speed and limits of endpoints."""

from collections.abc import Collection

from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._pace_report import PaceReport
from buckthorndeal.logs import log_event
from buckthorndeal.metrics import Metrics

# Gauges, by the field of `PaceState` that each of them shows.
GAUGES = {
    "scale": "Lasting time of work as a multiple of a usual endpoint's.",
    "slowdown": "Expected momentary slowdown of an endpoint.",
    "request_limit": "Learned limit on requests in flight of all hosts.",
    "queued_tokens_limit": "Learned limit on tokens queued for prefill.",
}
PREFIX = "endpoint_"


class PaceLog:
    """Shows operators what is learned about endpoints.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._report = PaceReport()
        metrics.describe_gauges({PREFIX + name: text for name, text in GAUGES.items()})

    def write(self, loads: Collection[EndpointLoad], now_s: float) -> None:
        """Log what has changed much, and set the gauges if they are due."""
        for state in self._report.take_changes(loads, now_s):
            log_event(
                "endpoint_pace_changed",
                endpoint=state.endpoint,
                service=state.service,
                scale=round(state.scale, 2),
                slowdown=round(state.slowdown, 2),
                request_limit=round(state.request_limit, 1),
                queued_tokens_limit=round(state.queued_tokens_limit),
                known_inflight=round(state.known_inflight, 1),
            )
        states = self._report.take_gauges(loads, now_s)
        if states is None:
            return
        for name in GAUGES:
            # Endpoints that have left are not shown any more.
            self._metrics.clear(PREFIX + name)
            for state in states:
                self._metrics.set_gauge(
                    PREFIX + name,
                    round(getattr(state, name), 3),
                    service=state.service,
                    endpoint=state.endpoint,
                )
