"""What an operator sees of the learned speed and limits of endpoints; no I/O."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from buckthorndeal.gateway._loads import EndpointLoad

# Bounds on what is written, whatever the number of endpoints.
GAUGE_INTERVAL_S = 5.0
MAX_GAUGES = 200
MAX_LINES = 10
LINE_INTERVAL_S = 10.0
# Factor by which a figure changes before it is logged again.
LOGGED_FACTOR = 1.4


@dataclass(frozen=True, slots=True)
class PaceState:
    """Learned figures of one endpoint.

    Parameters
    ----------
    scale : float
        Lasting time of work as a multiple of a usual endpoint's.
    slowdown : float
        Expected momentary slowdown.
    request_limit : float
        Learned limit on requests in flight, of all hosts.
    queued_tokens_limit : float
        Learned limit on tokens queued for prefill.
    known_inflight : float
        Requests at the endpoint, of all hosts, as estimated.
    """

    service: str
    endpoint: str
    scale: float
    slowdown: float
    request_limit: float
    queued_tokens_limit: float
    known_inflight: float

    def differs_from(self, other: "PaceState") -> bool:
        """Return whether the scale or the limit has changed much."""
        return _differ(self.scale, other.scale) or _differ(
            self.request_limit, other.request_limit
        )


class PaceReport:
    """Selects what is written about learned figures, and when."""

    def __init__(self) -> None:
        self._gauges_due_s = -math.inf
        self._logged: dict[str, tuple[PaceState, float]] = {}

    def take_gauges(
        self, loads: Iterable[EndpointLoad], now_s: float
    ) -> list[PaceState] | None:
        """Return the figures for the gauges if they are due, and else None."""
        if now_s < self._gauges_due_s:
            return None
        self._gauges_due_s = now_s + GAUGE_INTERVAL_S
        states = (describe_pace(load, now_s) for load in loads)
        return [state for state in states if state is not None][:MAX_GAUGES]

    def take_changes(
        self, loads: Iterable[EndpointLoad], now_s: float
    ) -> list[PaceState]:
        """Return the figures that have changed much since they were logged."""
        changed = []
        known = {}
        for load in loads:
            state = describe_pace(load, now_s)
            if state is None:
                continue
            logged, logged_s = self._logged.get(load.name, (None, -math.inf))
            is_due = now_s - logged_s >= LINE_INTERVAL_S and len(changed) < MAX_LINES
            if logged is None:
                # Before anything is learned, all figures are the usual ones.
                usual = get_usual(load, state)
                logged, logged_s = usual, now_s - LINE_INTERVAL_S
                is_due = len(changed) < MAX_LINES
            if is_due and state.differs_from(logged):
                changed.append(state)
                logged, logged_s = state, now_s
            known[load.name] = logged, logged_s
        self._logged = known
        return changed


def describe_pace(load: EndpointLoad, now_s: float) -> PaceState | None:
    """Return the learned figures of an endpoint, or None if there are none."""
    limits = load.learning.limits
    if limits is None:
        return None
    record = load.entry.record
    return PaceState(
        record.service,
        record.endpoint,
        load.pace.get_scale(now_s),
        load.pace.get_slowdown(now_s),
        limits.requests.get_value(now_s),
        limits.queued_tokens.get_value(now_s),
        load.inflight + load.count_other_inflight(now_s),
    )


def get_usual(load: EndpointLoad, state: PaceState) -> PaceState:
    """Return the figures of an endpoint of which nothing has been learned."""
    return PaceState(
        state.service,
        state.endpoint,
        1.0,
        1.0,
        load.learning.limits.requests.max_value,
        load.learning.limits.queued_tokens.max_value,
        0.0,
    )


def _differ(first: float, second: float) -> bool:
    return max(first, second) > LOGGED_FACTOR * min(first, second)
