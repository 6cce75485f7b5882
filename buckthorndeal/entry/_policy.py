"""Routing policy of the router task: routing, retry budget and hedging; no I/O."""

import random
from collections import OrderedDict
from collections.abc import Sequence

from buckthorndeal.entry._messages import ChooseRoute
from buckthorndeal.policy.affinity import CacheEvent
from buckthorndeal.policy.budget import RetryBudget, create_budget
from buckthorndeal.policy.hedging import Hedger, create_hedger
from buckthorndeal.policy.routing import Router, create_router
from buckthorndeal.policy.views import (
    AttemptResult,
    Decision,
    EndpointView,
    RegionView,
    RouteRequest,
)
from buckthorndeal.registry import CacheReport, Heartbeat
from buckthorndeal.sections import Service

# Bounds the memory of the hashes kept for cache reports to about 2 MB.
MAX_SENT_HASHES = 32_768
# The budget grows with requests, not with time, so the wait cannot be computed.
RETRY_AFTER_S = 1.0


class RoutePolicy:
    """Routing policy of one entry host.

    Parameters
    ----------
    router : Router
        Chooses endpoints and regions, and learns from attempts.
    budget : RetryBudget
        Limits retries and hedges.
    hedger : Hedger
        Computes hedge delays.
    """

    def __init__(self, router: Router, budget: RetryBudget, hedger: Hedger) -> None:
        self.router = router
        self.budget = budget
        self.hedger = hedger
        # Prefix hashes of the prompts sent, by attempt id, oldest first.
        self._sent_prefixes: OrderedDict[str, tuple[int, ...]] = OrderedDict()
        self._sent_hashes = 0

    def choose(
        self,
        message: ChooseRoute,
        candidates: Sequence[EndpointView],
        regions: Sequence[RegionView],
        queue_s: float,
        now_s: float,
    ) -> Decision:
        """Choose an endpoint or a region with the weights of the service.

        Parameters
        ----------
        message : ChooseRoute
            The request, and whether it is a retry.
        candidates : sequence of EndpointView
            Endpoints of the service in this region.
        regions : sequence of RegionView
            Other regions that the request may use.
        queue_s : float
            Expected time in the admission queue in seconds.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Decision
            A refusal with reason ``retry_budget`` if a retry exceeds the budget.
        """
        request = message.request
        if not message.is_retry:
            self.budget.record_request(request.workspace, now_s)
        elif not self.budget.try_spend(request.workspace, now_s):
            return Decision(None, None, {}, "retry_budget", RETRY_AFTER_S)
        weights = _get_service(message).weights
        decision = self.router.choose(
            request, candidates, regions, weights, now_s, queue_s
        )
        if decision.endpoint is not None:
            self._record_prefixes(message.attempt_id, request)
        elif decision.region is None and message.is_retry:
            self.budget.refund(request.workspace)
        return decision

    def choose_region(
        self,
        message: ChooseRoute,
        regions: Sequence[RegionView],
        wait_s: float,
        now_s: float,
    ) -> Decision | None:
        """Choose another region for a request that would be queued here.

        Returns
        -------
        Decision or None
            None if the request should be queued in this region.
        """
        request = message.request
        weights = _get_service(message).weights
        decision = self.router.choose_region(request, regions, weights, wait_s, now_s)
        if decision is not None:
            self.budget.record_request(request.workspace, now_s)
        return decision

    def get_hedge_delay(self, message: ChooseRoute, now_s: float) -> float | None:
        """Return the delay in seconds before a hedge; None for no hedge."""
        service = _get_service(message)
        if not (message.may_hedge and service.hedge.enabled):
            return None
        return self.hedger.get_delay(
            message.request, service.weights, service.hedge, now_s
        )

    def observe(self, result: AttemptResult, now_s: float) -> None:
        """Update the estimates with the result of an attempt."""
        self.router.observe(result, now_s)
        self.hedger.observe(result)

    def apply_cache_reports(self, message: Heartbeat, now_s: float) -> None:
        """Apply an endpoint's cache reports, as far as this host sent the prompts."""
        for report in message.cache:
            event = self._create_event(message, report, now_s)
            self.router.affinity.apply(event, now_s)

    def _create_event(
        self, message: Heartbeat, report: CacheReport, now_s: float
    ) -> CacheEvent:
        stored: list[int] = []
        removed: list[int] = []
        for prefix in report.prefixes:
            hashes = self._sent_prefixes.get(prefix.request_id, ())
            kept_blocks = int(len(hashes) * prefix.kept)
            stored.extend(hashes[:kept_blocks])
            removed.extend(hashes[kept_blocks:])
        return CacheEvent(
            message.name,
            message.incarnation,
            report.sequence,
            now_s - report.age_s,
            tuple(stored),
            tuple(removed),
            report.cleared,
        )

    def _record_prefixes(self, attempt_id: str, request: RouteRequest) -> None:
        if not request.prefix_hashes:
            return
        self._sent_prefixes[attempt_id] = request.prefix_hashes
        self._sent_hashes += len(request.prefix_hashes)
        while self._sent_hashes > MAX_SENT_HASHES:
            _, oldest_hashes = self._sent_prefixes.popitem(last=False)
            self._sent_hashes -= len(oldest_hashes)


def _get_service(message: ChooseRoute) -> Service:
    return message.document.platform.services[message.request.service]


def create_policy(
    region: str,
    rng: random.Random,
    strategy: str = "ours",
    budget: RetryBudget | None = None,
) -> RoutePolicy:
    """Create the routing policy of one entry host."""
    budget = budget or create_budget()
    router = create_router(region, rng, strategy)
    return RoutePolicy(router, budget, create_hedger(budget))
