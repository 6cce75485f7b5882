"""Shares of hosts in the slots of endpoints that bear few rejections; no I/O.

Such an endpoint fails once it rejects more requests in a second than it has named. So
nobody counts on its queue, and the hosts of the region divide its slots among them.
"""

from collections.abc import Iterable

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.gateway._engine import get_kv_capacity
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._load_limit import (
    MAX_MEMORY_UTILIZATION,
    MAX_SLOT_UTILIZATION,
)
from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._messages import (
    Call,
)
from buckthorndeal.policy.views import AttemptOutcome
from buckthorndeal.subsetting import choose_owners

# Slots of an endpoint that a host has at least, if it has any.
MIN_SHARE = 3
# Time for which a host sends less to an endpoint that has rejected a request.
REJECTION_PAUSE_S = 1.0
# Time for which a slot may still be taken after a response that did not end properly.
LINGER_S = 0.5
_ENDED_PROPERLY = frozenset(
    (
        AttemptOutcome.SUCCEEDED,
        AttemptOutcome.REFUSED,
        AttemptOutcome.CONNECT_FAILED,
        None,
    )
)


class SlotShares:
    """Limits what this host sends to endpoints that bear few rejections.

    Parameters
    ----------
    host : str
        Name of this host.
    view : FleetView
        Endpoints, what they have named, and the hosts that share them.
    """

    def __init__(self, host: str, view: FleetView) -> None:
        self._host = host
        self._view = view
        # Hosts that share each endpoint, for the hosts of the region at that time.
        self._senders: dict[tuple[str, int], list[str]] = {}
        self._hosts: tuple[str, ...] = ()
        self._lingering: dict[str, list[float]] = {}
        # Largest number of own requests at an endpoint, and until when it holds.
        self._reduced: dict[str, tuple[int, float]] = {}

    def may_send(
        self, load: EndpointLoad, call: Call, service: ServiceDescription, now_s: float
    ) -> bool:
        """Return whether this host's share of an endpoint has room for a request."""
        if not self._view.limits_rejections(service.name):
            return True
        share = self._compute_share(load.entry.record, service)
        limit, until_s = self._reduced.get(load.name, (share, 0.0))
        if now_s < until_s:
            share = min(share, limit)
        if load.inflight + self._count_lingering(load.name, now_s) >= share:
            return False
        return self._fits_memory(load, call, service, share, now_s)

    def list_other_senders(
        self, loads: Iterable[EndpointLoad], service: ServiceDescription | None
    ) -> set[str]:
        """Return the other hosts that have shares of endpoints."""
        senders: set[str] = set()
        if service is None or not self._view.limits_rejections(service.name):
            return senders
        for load in loads:
            senders.update(self._list_senders(load.entry.record, service))
        return senders - {self._host}

    def record_rejection(self, record: EndpointRecord, now_s: float) -> None:
        """Record that an endpoint has turned a request away for want of room."""
        load = self._view.loads.get(record.endpoint)
        if load is None or not self._view.limits_rejections(record.service):
            return
        load.rejected_s = now_s
        # The rejected request still counts as under way.
        limit = max(0, load.inflight - 1)
        self._reduced[record.endpoint] = (limit, now_s + REJECTION_PAUSE_S)

    def record_end(
        self, record: EndpointRecord, outcome: AttemptOutcome | None, now_s: float
    ) -> None:
        """Record the end of an attempt, whose slot may stay taken for a moment."""
        if outcome in _ENDED_PROPERLY:
            return
        if not self._view.limits_rejections(record.service):
            return
        until_s = now_s + LINGER_S
        self._lingering.setdefault(record.endpoint, []).append(until_s)

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self._lingering.pop(endpoint, None)
        self._reduced.pop(endpoint, None)

    def _count_lingering(self, endpoint: str, now_s: float) -> int:
        times_s = self._lingering.get(endpoint)
        if not times_s:
            return 0
        times_s[:] = [each for each in times_s if each > now_s]
        return len(times_s)

    def _list_senders(
        self, record: EndpointRecord, service: ServiceDescription
    ) -> list[str]:
        """Return the hosts that share an endpoint.

        They are few, since parts of a few slots are often full while others are free.
        """
        if self._hosts is not self._view.fleet.region_hosts:
            self._hosts = self._view.fleet.region_hosts
            self._senders.clear()
        count = max(1, _count_usable_slots(record, service) // MIN_SHARE)
        senders = self._senders.get((record.endpoint, count))
        if senders is None:
            hosts = {*self._hosts, self._host}
            senders = choose_owners(record.endpoint, hosts, count)
            self._senders[record.endpoint, count] = senders
        return senders

    def _compute_share(
        self, record: EndpointRecord, service: ServiceDescription
    ) -> int:
        """Return the slots of an endpoint that are this host's.

        The shares of all hosts add up to the slots in use.
        """
        senders = self._list_senders(record, service)
        if self._host not in senders:
            return 0
        usable = _count_usable_slots(record, service)
        share, extra = divmod(usable, len(senders))
        return share + (senders.index(self._host) < extra)

    def _fits_memory(
        self,
        load: EndpointLoad,
        call: Call,
        service: ServiceDescription,
        share: int,
        now_s: float,
    ) -> bool:
        if call.prompt is None:
            return True
        usable = _count_usable_slots(load.entry.record, service)
        capacity = get_kv_capacity(service) * MAX_MEMORY_UTILIZATION
        required = call.prompt.tokens + call.prompt.max_output_tokens
        if load.memory_tokens + required <= capacity * share / usable:
            return True
        # A single request may be larger than the share of a host.
        others = load.count_other_inflight(now_s) * load.mean_memory_tokens
        return not load.inflight and others + required <= capacity


def _count_usable_slots(record: EndpointRecord, service: ServiceDescription) -> int:
    share = 1.0 if service.engine is None else MAX_SLOT_UTILIZATION
    return max(1, int(record.slots * share))
