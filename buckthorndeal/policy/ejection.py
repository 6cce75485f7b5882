"""Outlier ejection of endpoints: limited to a share of them, and ended by a probe."""

import math
import statistics
from dataclasses import dataclass

from buckthorndeal.policy._quantiles import QuantileTracker
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult

__all__ = ["Ejection", "create_ejection"]

MAX_EJECTED_SHARE = 0.5
FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# Time after an ejection at which the exponential backoff starts again.
BACKOFF_RESET_S = 120.0
# A probe whose result is lost must not keep an endpoint ejected for ever.
PROBE_TIMEOUT_S = 10.0
# A failing endpoint that is not ejected due to the cap is avoided for this long after
# its last failure; then a request may test it again.
FAILING_TIME_S = 5.0
LATENCY_FACTOR = 4.0
MIN_LATENCY_SAMPLES = 20
MIN_LATENCY_PEERS = 3
# Smaller differences of latency are noise of the host, not a fault of the endpoint.
MIN_LATENCY_GAP_S = 0.25

_FAILURES = frozenset(
    (
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.BROKEN,
        AttemptOutcome.TIMED_OUT,
    )
)


@dataclass(slots=True)
class _Record:
    """Failures, latency and ejection of one endpoint."""

    incarnation: int
    latency: QuantileTracker
    failures: int = 0
    last_failure_s: float = -math.inf
    ejections: int = 0
    ejected_at_s: float = 0.0
    ejected_until_s: float | None = None
    probe_started_s: float | None = None


class Ejection:
    """Ejects failing and slow endpoints from routing for a limited time.

    Parameters
    ----------
    max_share : float
        Largest share of a service's endpoints that may be ejected at once.
    """

    def __init__(self, max_share: float) -> None:
        self._max_share = max_share
        self._records: dict[str, dict[str, _Record]] = {}
        self._ejected: dict[str, set[str]] = {}

    def observe(self, result: AttemptResult, population: int, now_s: float) -> None:
        """Update the endpoint's state with the result of an attempt.

        Parameters
        ----------
        result : AttemptResult
            The result. A refused or cancelled attempt does not count as a failure.
        population : int
            Number of endpoints of the service, to which the cap applies.
        now_s : float
            Monotonic time in seconds.
        """
        records = self._records.setdefault(result.service, {})
        record = records.get(result.endpoint)
        if record is None or record.incarnation < result.incarnation:
            self._restore(result.service, result.endpoint)
            record = _Record(result.incarnation, QuantileTracker(result.total_s))
            records[result.endpoint] = record
        if record.incarnation > result.incarnation:
            return
        if result.outcome in _FAILURES:
            self._record_failure(result, record, population, now_s)
        elif result.outcome is AttemptOutcome.SUCCEEDED:
            self._record_success(result, record, population, now_s)
        elif record.ejected_until_s is not None:
            record.probe_started_s = None

    def list_excluded(
        self, service: str, now_s: float, may_probe: bool = True
    ) -> frozenset[str]:
        """List the endpoints of a service that must not get a request now.

        Parameters
        ----------
        service : str
            Name of the service.
        now_s : float
            Monotonic time in seconds.
        may_probe : bool, optional
            Whether the request may probe an endpoint whose ejection time is over.
            Such an endpoint is not listed until `start_probe` is called, so that a
            single request probes it. False for a non-idempotent call, which must not
            be used as a probe.

        Returns
        -------
        frozenset of str
            Endpoint names.
        """
        ejected = self._ejected.get(service)
        if not ejected:
            return frozenset()
        if not may_probe:
            return frozenset(ejected)
        records = self._records[service]
        return frozenset(name for name in ejected if _is_excluded(records[name], now_s))

    def count_ejected(self, service: str) -> int:
        """Return the number of ejected endpoints of a service."""
        return len(self._ejected.get(service, ()))

    def is_failing(self, service: str, endpoint: str, now_s: float) -> bool:
        """Return whether an endpoint fails but is not ejected because of the cap."""
        record = self._records.get(service, {}).get(endpoint)
        if record is None or record.ejected_until_s is not None:
            return False
        failed_recently = now_s - record.last_failure_s < FAILING_TIME_S
        return failed_recently and record.failures >= FAILURES_TO_EJECT

    def start_probe(self, service: str, endpoint: str, now_s: float) -> None:
        """Record that the chosen endpoint, if it was ejected, is being probed."""
        if endpoint in self._ejected.get(service, ()):
            self._records[service][endpoint].probe_started_s = now_s

    def forgive(self, since_s: float) -> None:
        """Take back the failures since a moment, which are not the endpoints' fault.

        Parameters
        ----------
        since_s : float
            Clock reading; an ejection since then is ended.
        """
        for service, records in self._records.items():
            for name, record in records.items():
                if record.last_failure_s < since_s:
                    continue
                record.failures = 0
                if (
                    record.ejected_until_s is not None
                    and record.ejected_at_s >= since_s
                ):
                    record.ejections = max(0, record.ejections - 1)
                    self._restore(service, name)

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that has left."""
        for service, records in self._records.items():
            self._restore(service, endpoint)
            records.pop(endpoint, None)

    def _record_failure(
        self, result: AttemptResult, record: _Record, population: int, now_s: float
    ) -> None:
        record.failures += 1
        record.last_failure_s = now_s
        is_ejected = record.ejected_until_s is not None
        if is_ejected and now_s < record.ejected_until_s:
            return
        if is_ejected or record.failures >= FAILURES_TO_EJECT:
            self._eject(result.service, result.endpoint, record, population, now_s)

    def _record_success(
        self, result: AttemptResult, record: _Record, population: int, now_s: float
    ) -> None:
        record.failures = 0
        if record.ejected_until_s is not None and now_s >= record.ejected_until_s:
            self._restore(result.service, result.endpoint)
        latency_s = result.first_token_s
        record.latency.observe(result.total_s if latency_s is None else latency_s)
        if self._is_slow(result.service, record):
            self._eject(result.service, result.endpoint, record, population, now_s)

    def _is_slow(self, service: str, record: _Record) -> bool:
        samples = record.latency.samples
        if samples < MIN_LATENCY_SAMPLES or samples % MIN_LATENCY_SAMPLES:
            return False
        peer_latencies_s = [
            other.latency.value
            for other in self._records[service].values()
            if other is not record and other.latency.samples >= MIN_LATENCY_SAMPLES
        ]
        if len(peer_latencies_s) < MIN_LATENCY_PEERS:
            return False
        median_s = statistics.median(peer_latencies_s)
        gap_s = record.latency.value - median_s
        return gap_s > max(MIN_LATENCY_GAP_S, median_s * (LATENCY_FACTOR - 1))

    def _eject(
        self, service: str, name: str, record: _Record, population: int, now_s: float
    ) -> None:
        ejected = self._ejected.setdefault(service, set())
        max_ejected = int(population * self._max_share)
        if name not in ejected and len(ejected) >= max_ejected:
            return
        if now_s - record.ejected_at_s > BACKOFF_RESET_S:
            record.ejections = 0
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**record.ejections)
        record.ejections = min(record.ejections + 1, 16)
        record.ejected_at_s = now_s
        record.ejected_until_s = now_s + duration_s
        record.probe_started_s = None
        record.failures = 0
        record.latency = QuantileTracker(record.latency.value)
        ejected.add(name)

    def _restore(self, service: str, name: str) -> None:
        self._ejected.get(service, set()).discard(name)
        record = self._records.get(service, {}).get(name)
        if record is not None:
            record.ejected_until_s = None
            record.probe_started_s = None


def _is_excluded(record: _Record, now_s: float) -> bool:
    if record.ejected_until_s is None:
        return False
    if now_s < record.ejected_until_s:
        return True
    probe_started_s = record.probe_started_s
    return probe_started_s is not None and now_s - probe_started_s < PROBE_TIMEOUT_S


def create_ejection(max_share: float = MAX_EJECTED_SHARE) -> Ejection:
    """Create the ejection state of one entry host.

    Parameters
    ----------
    max_share : float, optional
        Largest share of a service's endpoints that may be ejected at once.

    Returns
    -------
    Ejection
        The state, with no endpoint ejected.
    """
    return Ejection(max_share)
