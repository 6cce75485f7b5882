"""Division of the quotas on a coordinator, while it leads."""

from collections.abc import Callable, Iterable

from buckthorndeal.fleet import QuotaGrants, QuotaRedirect, QuotaRequest
from buckthorndeal.logs import log_event
from buckthorndeal.metrics import Metrics
from buckthorndeal.quota import create_quota_granter, create_quota_options
from buckthorndeal.settings import QuotaSettings
from buckthorndeal.workspaces import Workspace

METRICS_INTERVAL_S = 1.0
GAUGES = {
    "quota_free_units": "Units of a workspace that the leader may grant.",
    "quota_held_units": "Units of a workspace that hosts hold.",
    "quota_hosts": "Processes that hold units of a workspace or ask for them.",
}


class QuotaDesk:
    """Grants units of the quotas to hosts while this coordinator leads.

    Requests are handled without a wait between the check of the lease and the grant.

    Parameters
    ----------
    settings : QuotaSettings
        Bound on the units.
    clock : callable
        Returns seconds of a clock that goes on during a suspension.
    metrics : Metrics
        Metrics of the coordinator.
    """

    def __init__(
        self, settings: QuotaSettings, clock: Callable[[], float], metrics: Metrics
    ) -> None:
        self._granter = create_quota_granter(create_quota_options(settings))
        self._clock = clock
        self._metrics = metrics
        self._metrics_due_s = clock()
        metrics.describe_gauges(GAUGES)

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the quotas of a newer configuration."""
        self._granter.set_workspaces(workspaces, self._clock())

    def handle(
        self,
        host: str,
        request: QuotaRequest,
        leadership: tuple[int | None, str | None],
    ) -> QuotaGrants | QuotaRedirect:
        """Return the grants for a request, or who leads.

        Parameters
        ----------
        host : str
            Sender of the request.
        request : QuotaRequest
            Its demands.
        leadership : tuple
            Term in which this coordinator surely leads, or None, and the leader.
        """
        term, leader = leadership
        if term is None:
            # Grants of this term go on if the lease of the leader is renewed.
            return QuotaRedirect(leader)
        now_s = self._clock()
        if term != self._granter.term:
            self._granter.start_leading(term, now_s)
            log_event("quota_granter_started", term=term)
        amounts = self._granter.request(
            (host, request.incarnation),
            request.sequence,
            request.applied,
            request.demands,
            now_s,
        )
        if amounts is None:
            log_event("quota_request_outdated", peer=host, sequence=request.sequence)
            return QuotaRedirect(None)
        self._record(now_s)
        return QuotaGrants(term, request.sequence, amounts)

    def _record(self, now_s: float) -> None:
        self._metrics.count("quota_requests")
        if now_s < self._metrics_due_s:
            return
        self._metrics_due_s = now_s + METRICS_INTERVAL_S
        set_gauge = self._metrics.set_gauge
        for name, (free, held, hosts) in self._granter.describe(now_s).items():
            set_gauge("quota_free_units", free, workspace=name)
            set_gauge("quota_held_units", held, workspace=name)
            set_gauge("quota_hosts", hosts, workspace=name)
