"""Which endpoints are asked whether they are cold, and what follows; no I/O.

A heartbeat that tells it may come seconds after an evacuation ends. Few hosts ask the
health path of an endpoint, its owner first, so that a cold one gets few questions.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from buckthorndeal.gateway._endpoint_condition import EndpointCondition
from buckthorndeal.gateway._fleet_messages import ColdCheck
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._warm_ups import COLD_RATE_SHARE
from buckthorndeal.gateway.dialect import HealthMetadata

# An endpoint that does not answer the first question is asked once more.
MAX_CHECKS = 2


class CheckResult(enum.Enum):
    """What a health check tells of a cold time."""

    WARM = "warm"
    COLD = "cold"
    NO_ANSWER = "no_answer"
    # Another endpoint has responded, or one that names no id.
    FOREIGN = "foreign"
    MALFORMED = "malformed"
    # The cold time is longer than that of a start.
    TOO_LONG = "too_long"
    # The endpoint has told it otherwise, or is in doubt anew, since it was asked.
    OUTDATED = "outdated"


@dataclass(slots=True)
class _OpenDoubt:
    """A doubt that a health check may settle.

    Parameters
    ----------
    since_s : float
        Clock reading when it began.
    checks_left : int
        Checks that may still be sent.
    is_under_way : bool
        Whether a check has not ended.
    """

    since_s: float
    checks_left: int = MAX_CHECKS
    is_under_way: bool = False


class ColdChecks:
    """Decides which health checks are sent, and applies their results.

    Parameters
    ----------
    view : FleetView
        Endpoints known to this host.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._doubts: dict[str, _OpenDoubt] = {}

    @property
    def is_pending(self) -> bool:
        """Whether a check may be due soon."""
        return any(
            not doubt.is_under_way and self._view.warm_ups.may_ask(endpoint)
            for endpoint, doubt in self._doubts.items()
        )

    def begin(self, endpoints: Iterable[str]) -> None:
        """Check endpoints that may be cold from now on."""
        for endpoint in endpoints:
            load = self._view.loads.get(endpoint)
            if load is not None:
                self._doubts[endpoint] = _OpenDoubt(load.cold_doubt.since_s)

    def take_due(self, now_s: float) -> list[ColdCheck]:
        """Return the checks that are to be sent now."""
        due = []
        for endpoint, doubt in list(self._doubts.items()):
            load = self._find_doubted(endpoint, doubt.since_s, now_s)
            if load is None:
                del self._doubts[endpoint]
            elif not doubt.is_under_way and self._may_send(load, now_s):
                doubt.checks_left -= 1
                doubt.is_under_way = True
                self._view.warm_ups.record_request(endpoint, now_s)
                due.append(self._create_check(load))
        return due

    def record_answer(
        self, check: ColdCheck, answer: HealthMetadata | None, now_s: float
    ) -> CheckResult:
        """Apply the answer to a check; return what it tells.

        Parameters
        ----------
        check : ColdCheck
            The check.
        answer : HealthMetadata or None
            The answer; None if there was none in time.
        now_s : float
            Clock reading.
        """
        endpoint = check.record.endpoint
        load = self._find_doubted(endpoint, check.doubted_s, now_s)
        doubt = self._doubts.get(endpoint)
        if load is None or doubt is None or doubt.since_s != check.doubted_s:
            return CheckResult.OUTDATED
        doubt.is_under_way = False
        result = _judge(check, answer)
        if result in (CheckResult.WARM, CheckResult.COLD):
            load.cold_doubt.settle(answer.cold_s, now_s)
        if result is not CheckResult.NO_ANSWER or not doubt.checks_left:
            del self._doubts[endpoint]
        return result

    def _find_doubted(
        self, endpoint: str, since_s: float, now_s: float
    ) -> EndpointLoad | None:
        """Return the endpoint if the doubt that began at `since_s` still holds."""
        load = self._view.loads.get(endpoint)
        if load is None or load.cold_doubt.since_s != since_s:
            return None
        heard_s = load.entry.cold_told_s
        return load if load.cold_doubt.get_remaining_s(heard_s, now_s) > 0 else None

    def _may_send(self, load: EndpointLoad, now_s: float) -> bool:
        service = self._view.get_service(load.entry.record.service)
        if service is None or service.cold_rate_per_s <= 0:
            return False
        if self._view.get_condition(load, now_s) is not EndpointCondition.COLD:
            return False
        warm_ups = self._view.warm_ups
        if not warm_ups.is_own(load.name):
            return warm_ups.may_ask(load.name)
        rate_per_s = service.cold_rate_per_s * COLD_RATE_SHARE
        return warm_ups.may_send(load.name, rate_per_s, now_s)

    def _create_check(self, load: EndpointLoad) -> ColdCheck:
        record = load.entry.record
        service = self._view.get_service(record.service)
        return ColdCheck(
            record,
            service.health_path,
            self._view.get_connection_limit(service),
            load.cold_doubt.since_s,
            service.cold_start_s,
        )


def _judge(check: ColdCheck, answer: HealthMetadata | None) -> CheckResult:
    """Return what an answer tells, without regard to what has changed since."""
    if answer is None:
        return CheckResult.NO_ANSWER
    if answer.endpoint != check.record.endpoint:
        return CheckResult.FOREIGN
    if answer.cold_s is None:
        return CheckResult.MALFORMED
    if answer.cold_s > check.max_cold_s:
        return CheckResult.TOO_LONG
    return CheckResult.COLD if answer.cold_s > 0 else CheckResult.WARM
