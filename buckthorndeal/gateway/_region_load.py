"""Load of one service of a region, as other regions are told it; no I/O."""

from collections.abc import Iterable

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.gateway._loads import EndpointLoad


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
