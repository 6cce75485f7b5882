"""Placement: decides which endpoint loads or unloads which model.

A load goes only to a free model slot; a copy is taken only by an explicit unload.
An endpoint whose slot was filled in the meantime refuses the load, so a load that
arrives late cannot replace a copy.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from buckthorndeal.placement._demand import DemandFilter, LoadBucket
from buckthorndeal.placement._models import (
    Order,
    OrderTable,
    PlacementDecision,
    PlacementEndpoint,
    PlacementOptions,
)
from buckthorndeal.sections import PlatformSection

__all__ = [
    "Order",
    "PlacementDecision",
    "PlacementEndpoint",
    "PlacementOptions",
    "Planner",
    "create_planner",
]


@dataclass(slots=True)
class _Round:
    """Inputs of one planning round and the counts made from them."""

    endpoints: list[PlacementEndpoint]
    platform: PlatformSection
    wanted: dict[tuple[str, str], int]
    now_s: float
    decisions: list[PlacementDecision] = field(default_factory=list)


class Planner:
    """Decides orders while its host holds the placement lease.

    Parameters
    ----------
    options : PlacementOptions
        Times and limits.
    """

    def __init__(self, options: PlacementOptions) -> None:
        self._options = options
        self._fencing: int | None = None
        self._takes_from_s = 0.0
        self._demand = DemandFilter()
        self._bucket = LoadBucket(0.0)
        self._orders = OrderTable(0, options.longest_order_s)

    @property
    def outstanding(self) -> dict[str, Order]:
        """Orders by endpoint that have not ended yet."""
        return self._orders.list_orders()

    def start(self, fencing: int, now_s: float) -> None:
        """Begin with a newly granted lease."""
        self._fencing = fencing
        self._demand = DemandFilter()
        self._bucket = LoadBucket(now_s)
        self._orders = OrderTable(fencing, self._options.longest_order_s)
        wait_s = self._options.handover_s + self._options.longest_order_s
        # The first holder of all has nobody to wait for.
        self._takes_from_s = now_s if fencing == 1 else now_s + wait_s

    def stop(self) -> None:
        """End with the loss of the lease."""
        self._fencing = None

    def end_order(self, endpoint: str, order_id: str) -> None:
        """Note that the endpoint refused an order or reported its end."""
        self._orders.end(endpoint, order_id)

    def plan(
        self,
        endpoints: Iterable[PlacementEndpoint],
        demand: Mapping[tuple[str, str], float],
        platform: PlatformSection,
        now_s: float,
    ) -> list[PlacementDecision]:
        """Decide the next orders.

        Parameters
        ----------
        endpoints : iterable of PlacementEndpoint
            All known endpoints.
        demand : mapping of (str, str) to float
            Work by region and model, in units of fully used copies.
        platform : PlatformSection
            Services, regions and placement limits of the document.
        now_s : float
            Monotonic time of this host.
        """
        if self._fencing is None:
            return []
        known = sorted(endpoints, key=lambda each: each.name)
        self._orders.settle(known, now_s)
        limits = platform.placement
        self._bucket.refill(limits.weight_store_loads_per_minute, now_s)
        wanted = {
            (region, model): self._demand.count_wanted(
                region, model, demand.get((region, model), 0.0), each, now_s
            )
            for region in sorted(platform.regions)
            for model, each in sorted(limits.models.items())
        }
        state = _Round(known, platform, wanted, now_s)
        for region in sorted(platform.regions):
            self._plan_region(state, region)
        return state.decisions

    def _plan_region(self, state: _Round, region: str) -> None:
        missing = self._list_missing(state, region)
        for model in missing:
            self._plan_load(state, region, model)
        self._plan_adapters(state, region)
        self._plan_excess(state, region, missing)
        waiting = [
            model for model in missing if not self._orders.count_loads(region, model)
        ]
        if waiting and not self._orders.has_unload(region) and self._bucket.has_token():
            self._plan_replacement(state, region, waiting)

    def _list_missing(self, state: _Round, region: str) -> list[str]:
        missing = {}
        for model, limits in state.platform.placement.models.items():
            copies = sum(
                (model, limits.version) in each.models
                for each in self._list_ready(state, region)
            )
            copies += self._orders.count_loads(region, model)
            if copies < state.wanted[region, model]:
                missing[model] = copies / state.wanted[region, model]
        return sorted(missing, key=lambda model: (missing[model], model))

    def _plan_load(self, state: _Round, region: str, model: str) -> None:
        if not self._bucket.has_token():
            return
        version = state.platform.placement.models[model].version
        scores = {
            each.name: float(len(each.models))
            for each in self._list_ready(state, region)
            if self._can_order(each, state.now_s)
            and each.count_free_slots() > 0
            and not each.has_model(model)
            and _serves(state.platform, each, model)
        }
        reason = f"{model} has too few copies in {region}"
        if self._decide(state, scores, "load", model, version, reason):
            self._bucket.take()

    def _plan_adapters(self, state: _Round, region: str) -> None:
        for model, limits in sorted(state.platform.placement.models.items()):
            for adapter in limits.adapters:
                scores = {
                    each.name: 0.0
                    for each in self._list_ready(state, region)
                    if self._can_order(each, state.now_s)
                    and (model, limits.version) in each.models
                    and adapter not in each.adapters
                }
                if self._bucket.has_token() and self._decide(
                    state,
                    scores,
                    "load_adapter",
                    model,
                    limits.version,
                    f"adapter {adapter} is missing",
                    adapter,
                ):
                    self._bucket.take()

    def _plan_excess(self, state: _Round, region: str, missing: list[str]) -> None:
        """Unload a copy above the maximum, or of an old version when not needed."""
        if self._orders.has_unload(region):
            return
        for model, limits in sorted(state.platform.placement.models.items()):
            copies = self._count_copies(state, region, model)
            outdated = model not in missing and any(
                each.has_model(model) and (model, limits.version) not in each.models
                for each in self._list_ready(state, region)
            )
            if copies <= limits.max_copies and not outdated:
                continue
            scores = self._score_victims(state, region, model, None)
            reason = f"{model} has an old version or too many copies in {region}"
            if self._decide(state, scores, "unload", model, "", reason):
                return

    def _plan_replacement(self, state: _Round, region: str, waiting: list[str]) -> None:
        """Free one slot for the first waiting model that can get one."""
        for model in waiting:
            for victim in self._list_surplus(state, region, model):
                scores = self._score_victims(state, region, victim, model)
                reason = f"frees a slot for {model}"
                if self._decide(state, scores, "unload", victim, "", reason):
                    return

    def _list_surplus(self, state: _Round, region: str, waiting: str) -> list[str]:
        surplus = {}
        loaded = {
            name for each in self._list_ready(state, region) for name, _ in each.models
        }
        for model in loaded:
            extra = self._count_copies(state, region, model) - state.wanted.get(
                (region, model), 0
            )
            # A waiting model that is loaded everywhere waits for its new version.
            if extra > 0 or model == waiting:
                surplus[model] = extra
        return sorted(surplus, key=lambda model: (-surplus[model], model))

    def _score_victims(
        self, state: _Round, region: str, victim: str, waiting: str | None
    ) -> dict[str, float]:
        """Return the endpoints that may lose `victim`; old versions come first."""
        if state.now_s < self._takes_from_s:
            return {}
        if not self._may_lose_copy(state, region, victim):
            return {}
        limits = state.platform.placement.models.get(victim)
        version = limits.version if limits else None
        return {
            each.name: float((victim, version) in each.models)
            for each in self._list_ready(state, region)
            if self._can_order(each, state.now_s)
            and each.has_model(victim)
            and (waiting is None or _serves(state.platform, each, waiting))
            and not (waiting == victim and (victim, version) in each.models)
        }

    def _may_lose_copy(self, state: _Round, region: str, model: str) -> bool:
        if not any(model in each.models for each in state.platform.services.values()):
            return True
        return self._count_copies(state, region, model) >= 2

    def _count_copies(self, state: _Round, region: str, model: str) -> int:
        """Count ready copies that no outstanding order takes."""
        return sum(
            each.has_model(model)
            for each in self._list_ready(state, region)
            if not self._orders.takes(each.name, model)
        )

    def _list_ready(self, state: _Round, region: str) -> list[PlacementEndpoint]:
        return [
            each for each in state.endpoints if each.ready and each.region == region
        ]

    def _can_order(self, endpoint: PlacementEndpoint, now_s: float) -> bool:
        if self._orders.has_order(endpoint.name):
            return False
        return endpoint.checks_fencing or now_s >= self._takes_from_s

    def _decide(
        self,
        state: _Round,
        scores: dict[str, float],
        action: str,
        model: str,
        version: str,
        reason: str,
        adapter: str = "",
    ) -> bool:
        if not scores or len(state.decisions) >= self._options.orders_per_round:
            return False
        chosen = min(scores, key=lambda name: (scores[name], name))
        endpoint = next(each for each in state.endpoints if each.name == chosen)
        order = self._orders.create(
            endpoint, action, model, version, adapter, state.now_s
        )
        state.decisions.append(PlacementDecision(endpoint, order, scores, reason))
        return True


def _serves(platform: PlatformSection, endpoint: PlacementEndpoint, model: str) -> bool:
    service = platform.services.get(endpoint.service)
    return service is not None and model in service.models


def create_planner(options: PlacementOptions | None = None) -> Planner:
    """Return a planner that decides nothing until it is started."""
    return Planner(options or PlacementOptions())
