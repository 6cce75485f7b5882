"""Load of one service of a region, as other regions are told it; no I/O."""

from collections.abc import Iterable

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.gateway._fleet_messages import SpareCapacity
from buckthorndeal.gateway._loads import EndpointLoad

# Time that lent work may take at an endpoint, with what is queued there. Borrowers
# compare the wait with the latency objective themselves. With 0.25 s, requests are
# refused while other regions still have room.
LENT_WAIT_S = 0.8


def describe_load(
    service: ServiceDescription, loads: Iterable[EndpointLoad], hosts: int, now_s: float
) -> tuple[float, int]:
    """Return the expected wait in seconds and one host's part of the free slots.

    Parameters
    ----------
    service : ServiceDescription
        The service.
    loads : iterable of EndpointLoad
        Its endpoints that take requests, at least one.
    hosts : int
        Hosts that divide the free slots.
    now_s : float
        Clock reading.
    """
    waits = []
    free_slots = 0
    for load in loads:
        if load.pace.is_active:
            free_slots += load.count_free(service, now_s)
        else:
            total_inflight = load.inflight + load.count_other_inflight(now_s)
            free_slots += max(0, load.entry.record.slots - total_inflight)
        if service.engine is not None:
            wait_s = load.predict_wait_s(now_s)
            waits.append(wait_s + load.compute_load_penalty_s(now_s))
        else:
            waits.append(load.predict_plain_response_s(now_s))
    return min(waits), free_slots // hosts


def measure_spare(
    service: ServiceDescription, loads: Iterable[EndpointLoad], now_s: float
) -> SpareCapacity | None:
    """Return what the region lends to all others together until the next report.

    None if endpoints of the service don't report a slowdown, as their speed is not
    learned then, and for plain services: their slots serve many short requests between
    two reports, so that free slots say too little. Parameters are those of
    `describe_load`.
    """
    if service.engine is None:
        return None
    requests = tokens = 0.0
    for load in loads:
        if not load.pace.is_active:
            return None
        free = load.count_free(service, now_s)
        spare_s = LENT_WAIT_S - load.predict_wait_s(now_s)
        if spare_s > 0 and free:
            requests += free
            tokens += spare_s / load.get_token_s(now_s)
    return SpareCapacity(int(requests), int(tokens))
