"""Policy parts of the router task, behind the messages of the entry host; no I/O."""

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

# Bounds what is kept for cache reports to about 2 MB.
MAX_SENT_HASHES = 32_768
# The budget fills with requests, so no time can be computed.
RETRY_AFTER_S = 1.0


class RoutePolicy:
    """Routing with what it learns, retries and hedges of one entry host."""

    def __init__(self, router: Router, budget: RetryBudget, hedger: Hedger) -> None:
        self.router = router
        self.budget = budget
        self.hedger = hedger
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
        """Choose a route with the weights of the document."""
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
        """Choose another region for a request that would wait; None to stay."""
        request = message.request
        weights = _get_service(message).weights
        decision = self.router.choose_region(request, regions, weights, wait_s, now_s)
        if decision is not None:
            self.budget.record_request(request.workspace, now_s)
        return decision

    def get_hedge_delay(self, message: ChooseRoute, now_s: float) -> float | None:
        """Return when a second attempt may start; None for never."""
        service = _get_service(message)
        if not (message.may_hedge and service.hedge.enabled):
            return None
        return self.hedger.get_delay(
            message.request, service.weights, service.hedge, now_s
        )

    def observe(self, result: AttemptResult, now_s: float) -> None:
        """Learn from the end of an attempt."""
        self.router.observe(result, now_s)
        self.hedger.observe(result)

    def apply_cache_reports(self, message: Heartbeat, now_s: float) -> None:
        """Apply an endpoint's reports about prompts that this host sent."""
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
            kept = int(len(hashes) * prefix.kept)
            stored.extend(hashes[:kept])
            removed.extend(hashes[kept:])
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
            _, oldest = self._sent_prefixes.popitem(last=False)
            self._sent_hashes -= len(oldest)


def _get_service(message: ChooseRoute) -> Service:
    return message.document.platform.services[message.request.service]


def create_policy(
    region: str,
    rng: random.Random,
    strategy: str = "ours",
    budget: RetryBudget | None = None,
) -> RoutePolicy:
    """Create the policy parts of one entry host."""
    budget = budget or create_budget()
    router = create_router(region, rng, strategy)
    return RoutePolicy(router, budget, create_hedger(budget))
