"""Health checks of endpoints that may be cold, and what they tell."""

from collections.abc import Iterable

from buckthorndeal.gateway._cold_checks import CheckResult, ColdChecks
from buckthorndeal.gateway._dispatch_effects import DispatchEffects
from buckthorndeal.gateway._fleet_messages import ColdCheck, ColdCheckEnded
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.metrics import Metrics
from buckthorndeal.supervision import spawn_job


class ColdWatch:
    """Sends the health checks that are due, and reports their results.

    Parameters
    ----------
    view : FleetView
        Endpoints known to this host.
    mailbox : Mailbox
        Receives the answers.
    metrics : Metrics
        Metrics of the daemon.
    effects : DispatchEffects
        Sends the checks.
    """

    def __init__(
        self,
        view: FleetView,
        mailbox: Mailbox,
        metrics: Metrics,
        effects: DispatchEffects,
    ) -> None:
        self._checks = ColdChecks(view)
        self._mailbox = mailbox
        self._metrics = metrics
        self._effects = effects

    @property
    def is_pending(self) -> bool:
        """Whether a check may be due soon."""
        return self._checks.is_pending

    def begin(self, endpoints: Iterable[str]) -> None:
        """Check endpoints that may be cold from now on."""
        self._checks.begin(endpoints)

    async def check(self, now_s: float) -> None:
        """Send the checks that are due."""
        for check in self._checks.take_due(now_s):
            await spawn_job(self._send, check)

    def record_end(self, message: ColdCheckEnded, now_s: float) -> None:
        """Apply and report the result of a check."""
        check, answer = message.check, message.answer
        result = self._checks.record_answer(check, answer, now_s)
        self._metrics.count("cold_checks", result=result.value)
        log_event(
            "cold_checked",
            endpoint=check.record.endpoint,
            incarnation=check.record.incarnation,
            result=result.value,
            cold_ms=_get_cold_ms(message, result),
            answered_by=answer.endpoint if answer is not None else None,
            doubted_ms=round((now_s - check.doubted_s) * 1000),
        )

    async def _send(self, check: ColdCheck) -> None:
        answer = await self._effects.check_health(check)
        await self._mailbox.send(ColdCheckEnded(check, answer))


def _get_cold_ms(message: ColdCheckEnded, result: CheckResult) -> int | None:
    """Return the cold time that an endpoint has told, in milliseconds."""
    if result not in (CheckResult.WARM, CheckResult.COLD):
        return None
    return round(message.answer.cold_s * 1000)
