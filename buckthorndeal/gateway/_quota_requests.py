"""Requests of the dispatch task for units of the quotas, with logs and metrics."""

import random

from buckthorndeal.fleet import QuotaRequest
from buckthorndeal.gateway._authentication import MAX_LABELLED_WORKSPACES, OTHERS
from buckthorndeal.gateway._dispatch_effects import DispatchEffects
from buckthorndeal.gateway._quota_gate import QuotaGate
from buckthorndeal.gateway._shared_messages import QuotaReplied
from buckthorndeal.logs import log_event, log_routine
from buckthorndeal.metrics import Metrics

INCARNATION_BITS = 48
CHECK_INTERVAL_S = 0.1
GAUGES = {
    "quota_held_units": "Units of a workspace that this host may use.",
    "quota_demand_units_per_s": "Units per second that callers here ask for.",
    "quota_granted_units_per_s": "Units per second that this host was granted.",
}


class QuotaRequests:
    """Asks the leader for units when they are due, and applies its replies.

    Parameters
    ----------
    gate : QuotaGate
        Charges the requests of callers.
    metrics : Metrics
        Metrics of the daemon.
    effects : DispatchEffects
        Sends the requests.
    """

    def __init__(
        self, gate: QuotaGate, metrics: Metrics, effects: DispatchEffects
    ) -> None:
        self._gate = gate
        self._metrics = metrics
        self._effects = effects
        # Tells the leader a restarted process from the one before.
        self._incarnation = random.SystemRandom().getrandbits(INCARNATION_BITS)
        self._answered = True
        metrics.describe_gauges(GAUGES)

    def get_interval_s(self, idle_s: float) -> float:
        """Return after which time to check again, at most `idle_s`."""
        return (
            min(idle_s, CHECK_INTERVAL_S) if self._gate.leases.is_limiting else idle_s
        )

    async def request(self, hosts: int) -> None:
        """Send a request if one is due.

        Parameters
        ----------
        hosts : int
            Number of entry hosts that are known.
        """
        leases, now_s = self._gate.leases, self._gate.clock()
        leases.set_hosts(hosts)
        if not leases.is_request_due(now_s):
            return
        built = leases.build_request(now_s)
        if built is not None:
            sequence, applied, demands = built
            self._metrics.count("quota_requests")
            request = QuotaRequest(self._incarnation, sequence, applied, demands)
            await self._effects.request_quota(request)

    def apply(self, message: QuotaReplied) -> None:
        """Apply the reply to a request."""
        leases, now_s = self._gate.leases, self._gate.clock()
        if not leases.is_awaiting(message.sequence):
            return
        reply = message.reply
        answered = reply is not None and leases.apply_grants(
            reply.term, reply.sequence, reply.amounts, now_s
        )
        if not answered:
            self._metrics.count("quota_requests_unanswered")
            leases.record_failure(now_s)
        else:
            log_routine("quota_granted", term=reply.term, amounts=list(reply.amounts))
        if answered != self._answered:
            self._answered = answered
            log_event("quota_leader_found" if answered else "quota_leader_missing")

    def record_state(self) -> None:
        """Update the gauges of the workspaces in use.

        Those beyond `MAX_LABELLED_WORKSPACES` are added up in one series.
        """
        sums: dict[str, list[float]] = {}
        states = self._gate.leases.describe(self._gate.clock())
        for number, (name, state) in enumerate(states.items()):
            label = name if number < MAX_LABELLED_WORKSPACES else OTHERS
            values = sums.setdefault(label, [0.0] * len(GAUGES))
            for position, value in enumerate(
                (state.held, state.demand_per_s, state.granted_per_s)
            ):
                values[position] += value
        # Leases that were forgotten have no series any more.
        for position, gauge in enumerate(GAUGES):
            self._metrics.clear(gauge)
            for label, values in sums.items():
                self._metrics.set_gauge(gauge, values[position], workspace=label)
