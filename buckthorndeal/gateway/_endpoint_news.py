"""What coordinators tell of endpoints, and what this host learns from it."""

from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.gateway._fleet_messages import (
    EndpointLeft,
    FleetChanged,
    HeartbeatsReceived,
)
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.logs import log_event
from buckthorndeal.metrics import Metrics

# Heartbeats of one cold time tell its end with this error at most, as they arrive with
# different delays.
COLD_END_ERROR_S = 0.25


class EndpointNews:
    """Applies what coordinators tell, and logs which endpoints are, or may be, cold.

    Parameters
    ----------
    view : FleetView
        Endpoints known to this host.
    metrics : Metrics
        Metrics of the daemon.
    """

    def __init__(self, view: FleetView, metrics: Metrics) -> None:
        self._view = view
        self._metrics = metrics

    def apply(self, message: HeartbeatsReceived, now_s: float) -> None:
        """Apply heartbeats."""
        for record in message.records:
            known_s = self._view.get_cold_s(record.endpoint, now_s)
            self._view.record_heartbeat(record, now_s)
            cold_s = self._view.get_cold_s(record.endpoint, now_s)
            if cold_s > known_s + COLD_END_ERROR_S:
                self._report_cold(record, cold_s, known_s)
        for endpoint in message.alive:
            self._view.touch(endpoint, now_s)
        self._view.stream_versions.receive(message.versions, now_s)

    def apply_fleet(self, message: FleetChanged, now_s: float) -> list[str]:
        """Apply changed entry hosts and evacuations.

        Returns the endpoints that may be cold from now on.
        """
        doubted = self._view.set_fleet(message, now_s)
        if doubted:
            self._metrics.count("cold_doubts", len(doubted))
            log_event("cold_doubted", endpoints=doubted)
        return doubted

    def record_stop(self, stopped_s: float, now_s: float) -> None:
        """Record that the process was stopped, so that its news may be old.

        Parameters
        ----------
        stopped_s : float
            For how long it was stopped.
        now_s : float
            Clock reading.
        """
        self._metrics.count("process_stops")
        self._view.record_stop(stopped_s, now_s)

    def record_left(self, message: EndpointLeft, now_s: float) -> None:
        """Record that an endpoint has left."""
        self._view.record_left(message.endpoint, message.incarnation, now_s)

    def _report_cold(
        self, record: EndpointRecord, cold_s: float, known_s: float
    ) -> None:
        again = str(known_s > 0).lower()
        self._metrics.count("cold_times", service=record.service, again=again)
        log_event(
            "endpoint_cold",
            endpoint=record.endpoint,
            incarnation=record.incarnation,
            sequence=record.sequence,
            cold_ms=round(cold_s * 1000),
            known_ms=round(known_s * 1000),
        )
