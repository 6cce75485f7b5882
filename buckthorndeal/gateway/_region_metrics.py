"""Metrics of requests that move between regions."""

from buckthorndeal.gateway._fleet_messages import RegionUpdate
from buckthorndeal.gateway._messages import Call, Decision, Forward
from buckthorndeal.metrics import Metrics

LENT_GAUGES = {
    "lent_requests": "Requests that this host may send to a region until it reports.",
    "lent_tokens": "Prompt tokens of these requests.",
}


def count_move(metrics: Metrics, call: Call, decision: Decision) -> None:
    """Count a request that leaves this region, by the reason."""
    if isinstance(decision, Forward) and decision.reason is not None:
        metrics.count(
            "moved_requests",
            service=call.service,
            region=decision.region,
            reason=decision.reason.value,
        )


def record_lent(metrics: Metrics, update: RegionUpdate) -> None:
    """Show what this host may send to another region until the next report."""
    if update.host is None:
        # The next reports of the regions that are still reached set them again.
        for name in LENT_GAUGES:
            metrics.clear(name)
    for service, lent in update.lent.items():
        labels = {"service": service, "region": update.region}
        metrics.set_gauge("lent_requests", lent.requests, **labels)
        metrics.set_gauge("lent_tokens", lent.tokens, **labels)
