"""Choice between the endpoints of this region; no I/O."""

import enum
import operator
import random

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._latency_limits import compute_latency_budget_s
from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._messages import (
    Call,
    Dispatch,
)
from buckthorndeal.gateway._scoring import (
    LocalChoice,
    PrefixOwners,
    score_endpoint,
)
from buckthorndeal.gateway._slot_shares import SlotShares
from buckthorndeal.gateway._warm_ups import COLD_RATE_SHARE
from buckthorndeal.policy.ejection import Ejection

# Endpoints that cost up to this many times as much as the best one may be chosen, the
# more rarely the more they cost.
NEAR_BEST = 1.2
SPREAD_POWER = 6

_get_cost = operator.attrgetter("endpoint_cost_s")


class Obstacle(enum.Enum):
    """Why a candidate cannot get a request now."""

    # Its turn for a request to a cold endpoint has not come, or is another host's.
    COLD = "cold"
    NO_CONNECTION = "no_connection"
    # Its slots or its memory are full.
    NO_ROOM = "no_room"
    # This host has used up its share of an endpoint that bears few rejections.
    NO_SHARE = "no_share"


class LocalChooser:
    """Chooses endpoints of this region.

    Parameters
    ----------
    view : FleetView
        Endpoints known to this host.
    ejection : Ejection
        Excludes failing endpoints for a time.
    slot_shares : SlotShares
        Limits what is sent to endpoints that bear few rejections.
    rng : random.Random
        Chooses between endpoints that nothing tells apart.
    """

    def __init__(
        self,
        view: FleetView,
        ejection: Ejection,
        slot_shares: SlotShares,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._ejection = ejection
        self._slot_shares = slot_shares
        self._rng = rng
        self._prefix_owners = PrefixOwners()

    def list_candidates(self, dispatch: Dispatch, now_s: float) -> list[EndpointLoad]:
        """Return the endpoints that may get a request, the preferred ones if any."""
        service, version = dispatch.call.service, dispatch.call.version
        available = [
            load
            for load in self._view.list_available(service, version, now_s)
            if load.name not in dispatch.excluded
        ]
        ejected = self._ejection.list_excluded(
            service, now_s, dispatch.call.route.retryable
        )
        healthy = [load for load in available if load.name not in ejected] or available
        preferred = [load for load in healthy if load.name not in dispatch.avoided]
        return preferred or healthy

    def choose(
        self, dispatch: Dispatch, candidates: list[EndpointLoad], now_s: float
    ) -> LocalChoice | None:
        """Return the best of some endpoints that have room, or None."""
        call = dispatch.call
        service = self._view.get_service(call.service)
        if service is None:
            return None
        prefix_owner = self._prefix_owners.find(call, candidates)
        choices = [
            score_endpoint(
                load, call, prefix_owner, _is_limited(load, service, now_s), now_s
            )
            for load in candidates
            if self.find_obstacle(load, call, service, now_s) is None
        ]
        if not choices:
            return None
        if choices[0].load.pace.is_active:
            budget_s = compute_latency_budget_s(call, now_s)
            return self._choose_near_best(choices, prefix_owner, budget_s)
        # Hosts that know nothing to tell two endpoints apart choose at random, as all
        # of them would otherwise send to the same one.
        return min(
            choices,
            key=lambda each: (each.cold, each.endpoint_cost_s, self._rng.random()),
        )

    def find_obstacle(
        self, load: EndpointLoad, call: Call, service: ServiceDescription, now_s: float
    ) -> Obstacle | None:
        """Return why a candidate cannot get a request now, or None."""
        if _is_limited(load, service, now_s):
            if not self._may_warm_up(load, service, now_s):
                return Obstacle.COLD
        # Without a connection it would wait where nothing refuses it in time.
        if load.inflight >= self._view.get_connection_limit(service):
            return Obstacle.NO_CONNECTION
        if not load.has_capacity(call, service, now_s):
            return Obstacle.NO_ROOM
        if not self._slot_shares.may_send(load, call, service, now_s):
            return Obstacle.NO_SHARE
        return None

    def score(
        self, dispatch: Dispatch, candidates: list[EndpointLoad], now_s: float
    ) -> list[LocalChoice]:
        """Return what is predicted at each candidate, whether it has room or not."""
        call = dispatch.call
        service = self._view.get_service(call.service)
        if service is None:
            return []
        prefix_owner = self._prefix_owners.find(call, candidates)
        return [
            score_endpoint(
                load, call, prefix_owner, _is_limited(load, service, now_s), now_s
            )
            for load in candidates
        ]

    def _choose_near_best(
        self,
        choices: list[LocalChoice],
        prefix_owner: EndpointLoad | None,
        budget_s: float,
    ) -> LocalChoice:
        """Choose at random between endpoints of about the least cost.

        Hosts with the same old reports would otherwise all send to the same endpoint.
        The owner of a shared prefix gets its requests while it costs least.
        """
        warm = [choice for choice in choices if not choice.cold] or choices
        timely = [choice for choice in warm if choice.predicted_s <= budget_s] or warm
        best = min(timely, key=_get_cost)
        if best.load is prefix_owner:
            return best
        least_s = best.endpoint_cost_s
        limit_s = least_s * NEAR_BEST
        near = [choice for choice in timely if choice.endpoint_cost_s <= limit_s]
        if len(near) == 1:
            return best
        weights = [
            (least_s / choice.endpoint_cost_s) ** SPREAD_POWER for choice in near
        ]
        return self._rng.choices(near, weights)[0]

    def _may_warm_up(
        self, load: EndpointLoad, service: ServiceDescription, now_s: float
    ) -> bool:
        rate_per_s = service.cold_rate_per_s * COLD_RATE_SHARE
        return self._view.warm_ups.may_send(load.name, rate_per_s, now_s)


def _is_limited(load: EndpointLoad, service: ServiceDescription, now_s: float) -> bool:
    """Return whether an endpoint is cold and the service limits what it gets then."""
    return load.is_cold(now_s) and service.cold_rate_per_s > 0
