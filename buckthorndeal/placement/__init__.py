"""Placement of models: decides which endpoint loads or unloads which model.

A load is ordered only for a free model slot, and a copy is removed only by an unload
order. An endpoint whose slot was filled in the meantime refuses the load, so a delayed
load cannot replace a copy.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from buckthorndeal.placement._demand import DemandFilter, LoadTokenBucket
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
class _PlanningRound:
    """Inputs of one planning round and the decisions made so far."""

    endpoints: list[PlacementEndpoint]
    platform: PlatformSection
    wanted: dict[tuple[str, str], int]
    now_s: float
    decisions: list[PlacementDecision] = field(default_factory=list)


class Planner:
    """Plans orders while its host holds the placement lease.

    Parameters
    ----------
    options : PlacementOptions
        Durations and limits.
    """

    def __init__(self, options: PlacementOptions) -> None:
        self._options = options
        self._fencing: int | None = None
        self._earlier_orders_end_s = 0.0
        self._demand = DemandFilter()
        self._bucket = LoadTokenBucket(0.0)
        self._orders = OrderTable(0, options.max_order_s)

    @property
    def outstanding(self) -> dict[str, Order]:
        """Orders that have not ended yet, by endpoint name."""
        return self._orders.list_orders()

    def start(self, fencing: int, now_s: float) -> None:
        """Start planning with a newly granted lease.

        Parameters
        ----------
        fencing : int
            Fencing token of the lease.
        now_s : float
            Monotonic time of this host in seconds.
        """
        self._fencing = fencing
        self._demand = DemandFilter()
        self._bucket = LoadTokenBucket(now_s)
        self._orders = OrderTable(fencing, self._options.max_order_s)
        wait_s = self._options.handover_s + self._options.max_order_s
        # Before the first holder of the lease there were no orders to wait for.
        self._earlier_orders_end_s = now_s if fencing == 1 else now_s + wait_s

    def stop(self) -> None:
        """Stop planning after the lease was lost."""
        self._fencing = None

    def end_order(self, endpoint: str, order_id: str) -> None:
        """Remove an order that the endpoint refused or reported as ended."""
        self._orders.end(endpoint, order_id)

    def plan(
        self,
        endpoints: Iterable[PlacementEndpoint],
        demand: Mapping[tuple[str, str], float],
        platform: PlatformSection,
        now_s: float,
    ) -> list[PlacementDecision]:
        """Plan the next orders.

        Parameters
        ----------
        endpoints : iterable of PlacementEndpoint
            All known endpoints.
        demand : mapping of (str, str) to float
            Demand by region and model, in units of fully utilized copies.
        platform : PlatformSection
            Services, regions and placement limits of the document.
        now_s : float
            Monotonic time of this host in seconds.

        Returns
        -------
        list of PlacementDecision
            The orders to send; empty without the lease.
        """
        if self._fencing is None:
            return []
        known_endpoints = sorted(endpoints, key=lambda endpoint: endpoint.name)
        self._orders.remove_ended(known_endpoints, now_s)
        placement = platform.placement
        self._bucket.refill(placement.weight_store_loads_per_minute, now_s)
        wanted = {
            (region, model): self._demand.count_wanted(
                region, model, demand.get((region, model), 0.0), limits, now_s
            )
            for region in sorted(platform.regions)
            for model, limits in sorted(placement.models.items())
        }
        planning = _PlanningRound(known_endpoints, platform, wanted, now_s)
        for region in sorted(platform.regions):
            self._plan_region(planning, region)
        return planning.decisions

    def _plan_region(self, planning: _PlanningRound, region: str) -> None:
        missing = self._list_missing(planning, region)
        for model in missing:
            self._plan_load(planning, region, model)
        self._plan_adapters(planning, region)
        self._plan_excess(planning, region, missing)
        waiting = [
            model for model in missing if not self._orders.count_loads(region, model)
        ]
        if waiting and not self._orders.has_unload(region) and self._bucket.has_token():
            self._plan_replacement(planning, region, waiting)

    def _list_missing(self, planning: _PlanningRound, region: str) -> list[str]:
        missing = {}
        for model, limits in planning.platform.placement.models.items():
            copies = sum(
                (model, limits.version) in endpoint.models
                for endpoint in self._list_ready(planning, region)
            )
            copies += self._orders.count_loads(region, model)
            if copies < planning.wanted[region, model]:
                missing[model] = copies / planning.wanted[region, model]
        return sorted(missing, key=lambda model: (missing[model], model))

    def _plan_load(self, planning: _PlanningRound, region: str, model: str) -> None:
        if not self._bucket.has_token():
            return
        version = planning.platform.placement.models[model].version
        scores = {
            endpoint.name: float(len(endpoint.models))
            for endpoint in self._list_ready(planning, region)
            if self._can_order(endpoint, planning.now_s)
            and endpoint.count_free_slots() > 0
            and not endpoint.has_model(model)
            and _serves(planning.platform, endpoint, model)
        }
        reason = f"{model} has too few copies in {region}"
        if self._create_order(planning, scores, "load", model, version, reason):
            self._bucket.take()

    def _plan_adapters(self, planning: _PlanningRound, region: str) -> None:
        for model, limits in sorted(planning.platform.placement.models.items()):
            for adapter in limits.adapters:
                scores = {
                    endpoint.name: 0.0
                    for endpoint in self._list_ready(planning, region)
                    if self._can_order(endpoint, planning.now_s)
                    and (model, limits.version) in endpoint.models
                    and adapter not in endpoint.adapters
                }
                if self._bucket.has_token() and self._create_order(
                    planning,
                    scores,
                    "load_adapter",
                    model,
                    limits.version,
                    f"adapter {adapter} is missing",
                    adapter,
                ):
                    self._bucket.take()

    def _plan_excess(
        self, planning: _PlanningRound, region: str, missing: list[str]
    ) -> None:
        """Unload a copy above the maximum, or an outdated one that isn't needed."""
        if self._orders.has_unload(region):
            return
        for model, limits in sorted(planning.platform.placement.models.items()):
            copies = self._count_copies(planning, region, model)
            outdated = model not in missing and any(
                endpoint.has_model(model)
                and (model, limits.version) not in endpoint.models
                for endpoint in self._list_ready(planning, region)
            )
            if copies <= limits.max_copies and not outdated:
                continue
            scores = self._score_victims(planning, region, model, None)
            reason = f"{model} has an old version or too many copies in {region}"
            if self._create_order(planning, scores, "unload", model, "", reason):
                return

    def _plan_replacement(
        self, planning: _PlanningRound, region: str, waiting: list[str]
    ) -> None:
        """Unload a copy for the first waiting model for which that is possible."""
        for model in waiting:
            for victim in self._list_replaceable(planning, region, model):
                scores = self._score_victims(planning, region, victim, model)
                reason = f"frees a slot for {model}"
                if self._create_order(planning, scores, "unload", victim, "", reason):
                    return

    def _list_replaceable(
        self, planning: _PlanningRound, region: str, waiting: str
    ) -> list[str]:
        surplus_by_model = {}
        loaded = {
            name
            for endpoint in self._list_ready(planning, region)
            for name, _ in endpoint.models
        }
        for model in loaded:
            surplus_copies = self._count_copies(
                planning, region, model
            ) - planning.wanted.get((region, model), 0)
            # A waiting model that is loaded at all endpoints waits for its new version,
            # so an outdated copy of it is unloaded.
            if surplus_copies > 0 or model == waiting:
                surplus_by_model[model] = surplus_copies
        return sorted(
            surplus_by_model, key=lambda model: (-surplus_by_model[model], model)
        )

    def _score_victims(
        self, planning: _PlanningRound, region: str, victim: str, waiting: str | None
    ) -> dict[str, float]:
        """Score the endpoints that may unload `victim`; old versions score lower.

        Parameters
        ----------
        victim : str
            Model of which a copy is to be unloaded.
        waiting : str or None
            Model that needs the slot; only endpoints that serve it are returned.

        Returns
        -------
        dict of str to float
            Score by endpoint name; the lowest is preferred.
        """
        if planning.now_s < self._earlier_orders_end_s:
            return {}
        if not self._can_unload_copy(planning, region, victim):
            return {}
        limits = planning.platform.placement.models.get(victim)
        version = limits.version if limits else None
        return {
            endpoint.name: float((victim, version) in endpoint.models)
            for endpoint in self._list_ready(planning, region)
            if self._can_order(endpoint, planning.now_s)
            and endpoint.has_model(victim)
            and (waiting is None or _serves(planning.platform, endpoint, waiting))
            and not (waiting == victim and (victim, version) in endpoint.models)
        }

    def _can_unload_copy(
        self, planning: _PlanningRound, region: str, model: str
    ) -> bool:
        """Return whether another copy would remain, or no service uses the model."""
        if not any(
            model in service.models for service in planning.platform.services.values()
        ):
            return True
        return self._count_copies(planning, region, model) >= 2

    def _count_copies(self, planning: _PlanningRound, region: str, model: str) -> int:
        """Count the copies at ready endpoints that aren't being unloaded."""
        return sum(
            endpoint.has_model(model)
            for endpoint in self._list_ready(planning, region)
            if not self._orders.is_unloading(endpoint.name, model)
        )

    def _list_ready(
        self, planning: _PlanningRound, region: str
    ) -> list[PlacementEndpoint]:
        return [
            endpoint
            for endpoint in planning.endpoints
            if endpoint.ready and endpoint.region == region
        ]

    def _can_order(self, endpoint: PlacementEndpoint, now_s: float) -> bool:
        if self._orders.has_order(endpoint.name):
            return False
        return endpoint.checks_fencing or now_s >= self._earlier_orders_end_s

    def _create_order(
        self,
        planning: _PlanningRound,
        scores: dict[str, float],
        action: str,
        model: str,
        version: str,
        reason: str,
        adapter: str = "",
    ) -> bool:
        if not scores or len(planning.decisions) >= self._options.orders_per_round:
            return False
        chosen = min(scores, key=lambda name: (scores[name], name))
        endpoint = next(
            candidate for candidate in planning.endpoints if candidate.name == chosen
        )
        order = self._orders.create(
            endpoint, action, model, version, adapter, planning.now_s
        )
        planning.decisions.append(PlacementDecision(endpoint, order, scores, reason))
        return True


def _serves(platform: PlatformSection, endpoint: PlacementEndpoint, model: str) -> bool:
    service = platform.services.get(endpoint.service)
    return service is not None and model in service.models


def create_planner(options: PlacementOptions | None = None) -> Planner:
    """Create a planner, which plans nothing until it is started.

    Parameters
    ----------
    options : PlacementOptions, optional
        Durations and limits.

    Returns
    -------
    Planner
        The planner.
    """
    return Planner(options or PlacementOptions())
