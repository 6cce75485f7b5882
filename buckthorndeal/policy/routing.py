"""Route choice: a local endpoint, another region or a refusal.

A request that is sent to another region is said to spill.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from buckthorndeal.policy._scoring import Score, score_region
from buckthorndeal.policy._strategies import (
    ChoiceContext,
    LeastLoad,
    LocalOnly,
    Pick,
    RandomChoice,
    RoundRobin,
    ScoredSamples,
    pick_endpoint,
)
from buckthorndeal.policy.affinity import AffinityMap, create_affinity
from buckthorndeal.policy.ejection import Ejection, create_ejection
from buckthorndeal.policy.estimates import Estimates, create_estimates
from buckthorndeal.policy.views import (
    AttemptResult,
    Decision,
    EndpointView,
    RegionView,
    RouteRequest,
)
from buckthorndeal.sections import Weights

__all__ = ["STRATEGIES", "Router", "create_router", "may_spill"]

STRATEGIES: dict[str, Callable[[], object]] = {
    "ours": ScoredSamples,
    "round_robin": RoundRobin,
    "random": RandomChoice,
    "least_load": LeastLoad,
    "local_only": LocalOnly,
}

# Hysteresis: a service starts to spill when its smoothed local wait exceeds the
# first bound and stops when it falls below the second.
SPILL_START_S = 0.5
SPILL_STOP_S = 0.15
WAIT_SMOOTHING_S = 2.0
# Score by which another region must be better, so that small differences don't
# move requests to a cold cache; multiplied by a factor that rises with the cost
# weight.
SPILL_MARGIN_S = 0.2
# Without an endpoint no wait can be estimated; an endpoint's announcement or the
# end of an ejection takes about this long.
NO_ENDPOINT_RETRY_S = 2.0
MIN_RETRY_AFTER_S = 0.1


@dataclass(slots=True)
class _SpillState:
    """Smoothed local wait of a service and whether it spills to other regions."""

    wait_s: float = 0.0
    updated_s: float = -math.inf
    spilling: bool = False


class Router:
    """Chooses routes on one entry host.

    The caller is expected to dispatch the request to the endpoint chosen: the
    decision is recorded in the prefix-cache map, and it starts the probe of an
    endpoint whose ejection is over.

    Parameters
    ----------
    region : str
        Region of the host.
    strategy : object
        An instance of a strategy's data class.
    affinity, estimates, ejection
        State that decisions consult and `observe` updates.
    rng : random.Random
        Random numbers for the samples.
    """

    def __init__(
        self,
        region: str,
        strategy: object,
        affinity: AffinityMap,
        estimates: Estimates,
        ejection: Ejection,
        rng: random.Random,
    ) -> None:
        self._region = region
        self._strategy = strategy
        self._rng = rng
        self._peer_count = 0
        self._spill_states: dict[str, _SpillState] = {}
        self._candidate_counts: dict[str, int] = {}
        self.affinity = affinity
        self.estimates = estimates
        self.ejection = ejection

    def choose(
        self,
        request: RouteRequest,
        candidates: Sequence[EndpointView],
        regions: Sequence[RegionView],
        weights: Weights,
        now_s: float,
        queue_s: float = 0.0,
    ) -> Decision:
        """Choose a local endpoint or another region, or refuse.

        Parameters
        ----------
        request : RouteRequest
            The request.
        candidates : sequence of EndpointView
            Endpoints; those that aren't eligible for the request are filtered out.
        regions : sequence of RegionView
            Other regions. The caller takes a credit of the region chosen.
        weights : Weights
            The service's weights from the document.
        now_s : float
            Monotonic time in seconds.
        queue_s : float, optional
            Expected wait for admission of a request that arrives now, in seconds;
            it counts towards the local wait that starts spilling.

        Returns
        -------
        Decision
            A refusal has neither endpoint nor region; the request was not sent.
        """
        if now_s >= request.deadline_s:
            return _refuse("deadline_passed", MIN_RETRY_AFTER_S)
        if request.bound and request.home_region != self._region:
            return _refuse("bound_elsewhere", None)
        self._candidate_counts[request.service] = len(candidates)
        pick = self._pick_endpoint(request, candidates, weights, now_s)
        wait_s = None if pick is None else pick.score.wait_s + queue_s
        spill_state = self._update_spill_state(request.service, wait_s, now_s)
        local = None if pick is None else pick.score
        scores = {} if pick is None else pick.scores
        spill = self._find_spill(request, regions, weights, local, scores, spill_state)
        if spill is not None:
            return spill
        if pick is None:
            return _refuse("no_endpoint", NO_ENDPOINT_RETRY_S)
        late_s = now_s + pick.score.finish_s - request.deadline_s
        # An endpoint with a free slot is always tried: if the service time were
        # overestimated, all requests would be refused and no result would correct
        # the estimate.
        if late_s > 0 and pick.score.wait_s > 0:
            retry_s = max(MIN_RETRY_AFTER_S, late_s)
            return _refuse("deadline", retry_s, pick.scores)
        return self._dispatch(request, pick, now_s)

    def choose_region(
        self,
        request: RouteRequest,
        regions: Sequence[RegionView],
        weights: Weights,
        wait_s: float,
        now_s: float,
    ) -> Decision | None:
        """Choose another region for a request that would wait for admission.

        Parameters
        ----------
        request : RouteRequest
            The request.
        regions : sequence of RegionView
            Other regions. The caller takes a credit of the region chosen.
        weights : Weights
            The service's weights from the document.
        wait_s : float
            Expected wait in seconds until a local slot is free.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        Decision or None
            None if the request stays in this region.
        """
        spill_state = self._update_spill_state(request.service, wait_s, now_s)
        estimate = self.estimates.get_service_estimate(request.service)
        # The local region is scored as one without link delay, and also with a
        # cold cache.
        local = RegionView(self._region, 0, wait_s, 0.0)
        score = score_region(local, request, estimate, weights)
        return self._find_spill(request, regions, weights, score, {}, spill_state)

    def set_peer_count(self, count: int) -> None:
        """Set how many other hosts send to the same endpoints."""
        self._peer_count = count

    def observe(self, result: AttemptResult, now_s: float) -> None:
        """Update estimates and ejection with the result of an attempt."""
        self.estimates.observe(result)
        population = self._candidate_counts.get(result.service, 1)
        self.ejection.observe(result, population, now_s)

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that has left."""
        self.estimates.forget(endpoint)
        self.ejection.forget(endpoint)
        self.affinity.forget(endpoint)

    def get_wait(self, service: str) -> float:
        """Return the smoothed expected wait for a local slot in seconds."""
        spill_state = self._spill_states.get(service)
        return 0.0 if spill_state is None else spill_state.wait_s

    def is_spilling(self, service: str) -> bool:
        """Return whether requests of the service may go to other regions."""
        spill_state = self._spill_states.get(service)
        return spill_state is not None and spill_state.spilling

    def _pick_endpoint(
        self,
        request: RouteRequest,
        candidates: Sequence[EndpointView],
        weights: Weights,
        now_s: float,
    ) -> Pick | None:
        ejected = self.ejection.list_excluded(
            request.service, now_s, may_probe=request.idempotent
        )
        context = ChoiceContext(
            request,
            candidates,
            _create_filter(request, self._region, request.excluded | ejected),
            weights,
            self.affinity,
            self.estimates,
            self._rng,
            self._peer_count,
            now_s,
            lambda name: self.ejection.is_failing(request.service, name, now_s),
        )
        pick = pick_endpoint(self._strategy, context)
        if pick is None and ejected:
            # The cap on ejections applies to a whole service, so all endpoints
            # with the requested model may be ejected; trying one of them is better
            # than refusing the request.
            context.is_eligible = _create_filter(
                request, self._region, request.excluded
            )
            pick = pick_endpoint(self._strategy, context)
        return pick

    def _dispatch(self, request: RouteRequest, pick: Pick, now_s: float) -> Decision:
        endpoint = pick.endpoint
        self.ejection.start_probe(request.service, endpoint.name, now_s)
        self.affinity.record_request(
            endpoint.name, endpoint.incarnation, request.prefix_hashes, now_s
        )
        return Decision(endpoint, None, pick.scores, "local")

    def _update_spill_state(
        self, service: str, wait_s: float | None, now_s: float
    ) -> _SpillState:
        spill_state = self._spill_states.setdefault(service, _SpillState())
        if wait_s is None:
            return spill_state
        elapsed_s = now_s - spill_state.updated_s
        weight = 1.0 - math.exp(-elapsed_s / WAIT_SMOOTHING_S)
        # Decisions made at the same instant keep a small weight.
        weight = max(weight, 0.02)
        spill_state.wait_s += weight * (wait_s - spill_state.wait_s)
        spill_state.updated_s = now_s
        bound_s = SPILL_STOP_S if spill_state.spilling else SPILL_START_S
        spill_state.spilling = spill_state.wait_s > bound_s
        return spill_state

    def _find_spill(
        self,
        request: RouteRequest,
        regions: Sequence[RegionView],
        weights: Weights,
        local: Score | None,
        local_scores: dict[str, float],
        spill_state: _SpillState,
    ) -> Decision | None:
        """Return a decision for another region if it is allowed and scores better."""
        if not may_spill(request) or isinstance(self._strategy, LocalOnly):
            return None
        if local is not None and not spill_state.spilling:
            return None
        estimate = self.estimates.get_service_estimate(request.service)
        scored = [
            (score_region(region, request, estimate, weights), region.region)
            for region in regions
            if region.credits > 0 and region.region != self._region
        ]
        if not scored:
            return None
        score, region = min(scored, key=lambda entry: (entry[0].value, entry[1]))
        if local is not None and not _is_worth_spilling(score, local, weights):
            return None
        scores = dict(local_scores)
        scores.update((name, entry.value) for entry, name in scored)
        reason = "no_local_endpoint" if local is None else "spill"
        return Decision(None, region, scores, reason)


def may_spill(request: RouteRequest) -> bool:
    """Return whether a request may go to another region.

    A non-idempotent call stays, as its claim is kept in the ledger of the home
    region. A bound request stays too, and so does one that was already forwarded to
    another region, which prevents loops.
    """
    return request.idempotent and not (request.bound or request.crossed_region)


def _is_worth_spilling(remote: Score, local: Score, weights: Weights) -> bool:
    margin_s = SPILL_MARGIN_S * (0.5 + weights.cost)
    return remote.value + margin_s < local.value


def _create_filter(
    request: RouteRequest, region: str, excluded: frozenset[str]
) -> Callable[[EndpointView], bool]:
    service = request.service
    model = request.model

    def is_eligible(endpoint: EndpointView) -> bool:
        return (
            endpoint.state == "ready"
            and endpoint.service == service
            and endpoint.region == region
            and endpoint.name not in excluded
            and (model is None or model in endpoint.models)
        )

    return is_eligible


def _refuse(
    reason: str, retry_after_s: float | None, scores: dict[str, float] | None = None
) -> Decision:
    return Decision(None, None, scores or {}, reason, retry_after_s)


def create_router(
    region: str,
    rng: random.Random,
    strategy: str = "ours",
    affinity: AffinityMap | None = None,
    estimates: Estimates | None = None,
    ejection: Ejection | None = None,
) -> Router:
    """Create the router of one entry host.

    Parameters
    ----------
    region : str
        Region of the host.
    rng : random.Random
        Random numbers for the samples.
    strategy : str, optional
        A name in `STRATEGIES`; all but ``ours`` are baselines for comparison.
    affinity, estimates, ejection : optional
        State shared with other objects; created by default.

    Returns
    -------
    Router
        The router.

    Raises
    ------
    ValueError
        If the strategy is unknown.
    """
    if strategy not in STRATEGIES:
        raise ValueError(f"unknown strategy {strategy!r}: one of {list(STRATEGIES)}")
    return Router(
        region,
        STRATEGIES[strategy](),
        affinity or create_affinity(),
        estimates or create_estimates(),
        ejection or create_ejection(),
        rng,
    )
