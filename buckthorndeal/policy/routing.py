"""Route choice: filter, score, sample, decide."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from buckthorndeal.policy._scoring import Score, score_region
from buckthorndeal.policy._strategies import (
    Context,
    LeastLoad,
    LocalOnly,
    Ours,
    Pick,
    RandomChoice,
    RoundRobin,
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
    "ours": Ours,
    "round_robin": RoundRobin,
    "random": RandomChoice,
    "least_load": LeastLoad,
    "local_only": LocalOnly,
}

# A service starts to spill when its smoothed local wait passes the first bound
# and stops below the second; the distance keeps it from flapping.
SPILL_START_S = 0.5
SPILL_STOP_S = 0.15
WAIT_SMOOTHING_S = 2.0
# What another region must save, so that small differences don't move work to a
# cold cache.
SPILL_MARGIN_S = 0.2
# Without an endpoint there is nothing to compute a time from; an announcement
# or the end of an ejection takes about this long.
NO_ENDPOINT_RETRY_S = 2.0
MIN_RETRY_AFTER_S = 0.1


@dataclass(slots=True)
class _Pressure:
    """Smoothed local wait of a service, and whether it spills."""

    wait_s: float = 0.0
    updated_s: float = -math.inf
    spilling: bool = False


class Router:
    """Chooses routes on one entry host.

    A decision counts as dispatched: it is noted in the prefix-cache map and
    starts the probe of an endpoint that returns from ejection.

    Parameters
    ----------
    region : str
        Region of the host.
    strategy : object
        One of the strategies' data classes.
    affinity, estimates, ejection
        Parts that the choice consults and `observe` feeds.
    rng : random.Random
        Source of the samples.
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
        self._pressures: dict[str, _Pressure] = {}
        self._populations: dict[str, int] = {}
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
            Endpoints of the service; others are filtered out.
        regions : sequence of RegionView
            Other regions. The caller takes the credit of the region chosen.
        weights : Weights
            The service's weights from the document.
        now_s : float
            Clock reading.
        queue_s : float, optional
            Wait of requests that come now until they are admitted; it counts
            for whether the service spills.

        Returns
        -------
        Decision
            A refusal has neither endpoint nor region and proves that nothing
            was sent.
        """
        if now_s >= request.deadline_s:
            return _refuse("deadline_passed", MIN_RETRY_AFTER_S)
        if request.bound and request.home_region != self._region:
            return _refuse("bound_elsewhere", None)
        self._populations[request.service] = len(candidates)
        pick = self._pick(request, candidates, weights, now_s)
        wait_s = None if pick is None else pick.score.wait_s + queue_s
        pressure = self._update_pressure(request.service, wait_s, now_s)
        local = None if pick is None else pick.score
        scores = {} if pick is None else pick.scores
        spill = self._find_spill(request, regions, weights, local, scores, pressure)
        if spill is not None:
            return spill
        if pick is None:
            return _refuse("no_endpoint", NO_ENDPOINT_RETRY_S)
        late_s = now_s + pick.score.finish_s - request.deadline_s
        # An endpoint with a free slot is always tried: a service time learned
        # too high would otherwise refuse everything and never be corrected.
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
        wait_s : float
            Expected wait until a local slot is free.

        Returns
        -------
        Decision or None
            None if the request stays.
        """
        pressure = self._update_pressure(request.service, wait_s, now_s)
        estimate = self.estimates.get_service_estimate(request.service)
        # A local request as from a region without a link, with a cold cache too.
        local = RegionView(self._region, 0, wait_s, 0.0)
        score = score_region(local, request, estimate, weights)
        return self._find_spill(request, regions, weights, score, {}, pressure)

    def set_peer_count(self, count: int) -> None:
        """Set how many other hosts send to the same endpoints."""
        self._peer_count = count

    def observe(self, result: AttemptResult, now_s: float) -> None:
        """Learn from the end of an attempt."""
        self.estimates.observe(result)
        population = self._populations.get(result.service, 1)
        self.ejection.observe(result, population, now_s)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that has left."""
        self.estimates.forget(endpoint)
        self.ejection.forget(endpoint)
        self.affinity.forget(endpoint)

    def get_wait(self, service: str) -> float:
        """Return the smoothed wait for a local slot in seconds."""
        pressure = self._pressures.get(service)
        return 0.0 if pressure is None else pressure.wait_s

    def is_spilling(self, service: str) -> bool:
        """Return whether requests of the service may go to other regions."""
        pressure = self._pressures.get(service)
        return pressure is not None and pressure.spilling

    def _pick(
        self,
        request: RouteRequest,
        candidates: Sequence[EndpointView],
        weights: Weights,
        now_s: float,
    ) -> Pick | None:
        ejected = self.ejection.list_excluded(
            request.service, now_s, may_probe=request.idempotent
        )
        context = Context(
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
            # The cap covers a service; all copies of one model may still be out,
            # and a doubtful endpoint is better than a refusal.
            context.is_eligible = _create_filter(
                request, self._region, request.excluded
            )
            pick = pick_endpoint(self._strategy, context)
        return pick

    def _dispatch(self, request: RouteRequest, pick: Pick, now_s: float) -> Decision:
        view = pick.view
        self.ejection.start_probe(request.service, view.name, now_s)
        self.affinity.record_request(
            view.name, view.incarnation, request.prefix_hashes, now_s
        )
        return Decision(view, None, pick.scores, "local")

    def _update_pressure(
        self, service: str, wait_s: float | None, now_s: float
    ) -> _Pressure:
        pressure = self._pressures.setdefault(service, _Pressure())
        if wait_s is None:
            return pressure
        elapsed_s = now_s - pressure.updated_s
        share = 1.0 - math.exp(-elapsed_s / WAIT_SMOOTHING_S)
        # Decisions at one instant still count a little.
        share = max(share, 0.02)
        pressure.wait_s += share * (wait_s - pressure.wait_s)
        pressure.updated_s = now_s
        bound_s = SPILL_STOP_S if pressure.spilling else SPILL_START_S
        pressure.spilling = pressure.wait_s > bound_s
        return pressure

    def _find_spill(
        self,
        request: RouteRequest,
        regions: Sequence[RegionView],
        weights: Weights,
        local: Score | None,
        local_scores: dict[str, float],
        pressure: _Pressure,
    ) -> Decision | None:
        """Return a decision for another region if that is allowed and better."""
        if not may_spill(request) or isinstance(self._strategy, LocalOnly):
            return None
        if local is not None and not pressure.spilling:
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
        if local is not None and not _is_worth_leaving(score, local, weights):
            return None
        scores = dict(local_scores)
        scores.update((name, entry.value) for entry, name in scored)
        reason = "no_local_endpoint" if local is None else "spill"
        return Decision(None, region, scores, reason)


def may_spill(request: RouteRequest) -> bool:
    """Return whether a request may go to another region.

    A claim belongs to the ledger of the home region, so a call that must not be
    repeated stays too.
    """
    return request.idempotent and not (request.bound or request.crossed_region)


def _is_worth_leaving(remote: Score, local: Score, weights: Weights) -> bool:
    margin_s = SPILL_MARGIN_S * (0.5 + weights.cost)
    return remote.value + margin_s < local.value


def _create_filter(
    request: RouteRequest, region: str, excluded: frozenset[str]
) -> Callable[[EndpointView], bool]:
    service = request.service
    model = request.model

    def is_eligible(view: EndpointView) -> bool:
        return (
            view.state == "ready"
            and view.service == service
            and view.region == region
            and view.name not in excluded
            and (model is None or model in view.models)
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
        Source of the samples.
    strategy : str, optional
        A name in `STRATEGIES`; all but ``ours`` are baselines.
    affinity, estimates, ejection : optional
        Parts to share with others; new ones by default.

    Returns
    -------
    Router
        The router.

    Raises
    ------
    ValueError
        If the strategy is not known.
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
