"""Outlier ejection with a capped share and a probe on return."""

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
# After this long without an ejection the next one is short again.
FORGIVE_AFTER_S = 120.0
# A lost probe result must not keep an endpoint out for ever.
PROBE_TIMEOUT_S = 10.0
# An endpoint that the cap keeps in the choice is avoided for this long after its
# last failure; then a request tests it again.
AVOID_S = 5.0
LATENCY_FACTOR = 4.0
MIN_LATENCY_SAMPLES = 20
MIN_LATENCY_PEERS = 3
# Differences below this are noise of the host, not a fault of the endpoint.
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
    incarnation: int
    latency: QuantileTracker
    failures: int = 0
    failed_at_s: float = -math.inf
    ejections: int = 0
    ejected_at_s: float = 0.0
    until_s: float | None = None
    probe_at_s: float | None = None


class Ejection:
    """Endpoints that this host keeps out of the choice for a while."""

    def __init__(self, max_share: float) -> None:
        self._max_share = max_share
        self._services: dict[str, dict[str, _Record]] = {}
        self._ejected: dict[str, set[str]] = {}

    def observe(self, result: AttemptResult, population: int, now_s: float) -> None:
        """Count an attempt's end.

        Parameters
        ----------
        result : AttemptResult
            The attempt. A refusal or a cancelled attempt is no failure.
        population : int
            Number of endpoints that the cap refers to.
        now_s : float
            Clock reading.
        """
        records = self._services.setdefault(result.service, {})
        record = records.get(result.endpoint)
        if record is None or record.incarnation < result.incarnation:
            self._restore(result.service, result.endpoint)
            record = _Record(result.incarnation, QuantileTracker(result.total_s))
            records[result.endpoint] = record
        if record.incarnation > result.incarnation:
            return
        if result.outcome in _FAILURES:
            self._count_failure(result, record, population, now_s)
        elif result.outcome is AttemptOutcome.SUCCEEDED:
            self._count_success(result, record, population, now_s)
        elif record.until_s is not None:
            record.probe_at_s = None

    def list_excluded(
        self, service: str, now_s: float, may_probe: bool = True
    ) -> frozenset[str]:
        """Return the endpoints of a service that get no request now.

        Parameters
        ----------
        service : str
            Name of the service.
        now_s : float
            Clock reading.
        may_probe : bool, optional
            Whether the request may test an endpoint whose time is over. Such an
            endpoint is then left out of the list until `start_probe` is called,
            so that one request tests it. A call that must not be repeated is
            not used for a test.

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
        records = self._services[service]
        return frozenset(name for name in ejected if _is_out(records[name], now_s))

    def count_ejected(self, service: str) -> int:
        """Return how many endpoints of a service are ejected."""
        return len(self._ejected.get(service, ()))

    def is_failing(self, service: str, endpoint: str, now_s: float) -> bool:
        """Return whether an endpoint fails but is not ejected, due to the cap."""
        record = self._services.get(service, {}).get(endpoint)
        if record is None or record.until_s is not None:
            return False
        recent = now_s - record.failed_at_s < AVOID_S
        return recent and record.failures >= FAILURES_TO_EJECT

    def start_probe(self, service: str, endpoint: str, now_s: float) -> None:
        """Note that the chosen endpoint, if it was ejected, is being tested."""
        if endpoint in self._ejected.get(service, ()):
            self._services[service][endpoint].probe_at_s = now_s

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that has left."""
        for service, records in self._services.items():
            self._restore(service, endpoint)
            records.pop(endpoint, None)

    def _count_failure(
        self, result: AttemptResult, record: _Record, population: int, now_s: float
    ) -> None:
        record.failures += 1
        record.failed_at_s = now_s
        returning = record.until_s is not None
        if returning and now_s < record.until_s:
            return
        if returning or record.failures >= FAILURES_TO_EJECT:
            self._eject(result.service, result.endpoint, record, population, now_s)

    def _count_success(
        self, result: AttemptResult, record: _Record, population: int, now_s: float
    ) -> None:
        record.failures = 0
        if record.until_s is not None and now_s >= record.until_s:
            self._restore(result.service, result.endpoint)
        waited_s = result.first_token_s
        record.latency.observe(result.total_s if waited_s is None else waited_s)
        if self._is_slow(result.service, record):
            self._eject(result.service, result.endpoint, record, population, now_s)

    def _is_slow(self, service: str, record: _Record) -> bool:
        samples = record.latency.samples
        if samples < MIN_LATENCY_SAMPLES or samples % MIN_LATENCY_SAMPLES:
            return False
        peers = [
            other.latency.value
            for other in self._services[service].values()
            if other is not record and other.latency.samples >= MIN_LATENCY_SAMPLES
        ]
        if len(peers) < MIN_LATENCY_PEERS:
            return False
        usual_s = statistics.median(peers)
        gap_s = record.latency.value - usual_s
        return gap_s > max(MIN_LATENCY_GAP_S, usual_s * (LATENCY_FACTOR - 1))

    def _eject(
        self, service: str, name: str, record: _Record, population: int, now_s: float
    ) -> None:
        ejected = self._ejected.setdefault(service, set())
        allowed = int(population * self._max_share)
        if name not in ejected and len(ejected) >= allowed:
            return
        if now_s - record.ejected_at_s > FORGIVE_AFTER_S:
            record.ejections = 0
        time_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**record.ejections)
        record.ejections = min(record.ejections + 1, 16)
        record.ejected_at_s = now_s
        record.until_s = now_s + time_s
        record.probe_at_s = None
        record.failures = 0
        record.latency = QuantileTracker(record.latency.value)
        ejected.add(name)

    def _restore(self, service: str, name: str) -> None:
        self._ejected.get(service, set()).discard(name)
        record = self._services.get(service, {}).get(name)
        if record is not None:
            record.until_s = None
            record.probe_at_s = None


def _is_out(record: _Record, now_s: float) -> bool:
    if record.until_s is None:
        return False
    if now_s < record.until_s:
        return True
    probe_at_s = record.probe_at_s
    return probe_at_s is not None and now_s - probe_at_s < PROBE_TIMEOUT_S


def create_ejection(max_share: float = MAX_EJECTED_SHARE) -> Ejection:
    """Create the ejection state of one entry host.

    Parameters
    ----------
    max_share : float, optional
        Largest share of a service's endpoints that may be out at once.

    Returns
    -------
    Ejection
        The state, with no endpoint ejected.
    """
    return Ejection(max_share)
