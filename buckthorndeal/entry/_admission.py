"""Admission in the router task: workspace limits, then a queue for each service.

A workspace's rate and concurrency hold over all services of this host; capacity
and the queue belong to one service, because its slots are of no use to another.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from buckthorndeal.authentication import Identity
from buckthorndeal.entry._messages import Admit
from buckthorndeal.errors import RequestError
from buckthorndeal.policy.admission import (
    Admission,
    AdmissionRequest,
    Refused,
    Ticket,
    create_admission,
)
from buckthorndeal.policy.views import EndpointView

CONCURRENCY_RETRY_S = 1.0
# Endpoints keep a short queue, so that a slot that becomes free is used before the
# next report; the policy benchmark runs with the same factor.
SLOTS_FACTOR = 1.25
# Above any number of requests that a host can hold.
NO_LIMIT = 1_000_000

# The answer to a request that waited; None admits it.
AdmissionResult = tuple[str, RequestError | None]


@dataclass(slots=True)
class _Usage:
    tokens: float
    refilled_s: float
    running: int = 0


class WorkspaceLimits:
    """Token bucket and concurrency of each workspace."""

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}
        self._tickets: dict[str, str] = {}

    def admit(self, ticket_id: str, identity: Identity, now_s: float) -> None:
        workspace = identity.workspace
        usage = self._usages.setdefault(
            identity.name, _Usage(float(workspace.burst), now_s)
        )
        usage.tokens = min(
            workspace.burst,
            usage.tokens + (now_s - usage.refilled_s) * workspace.requests_per_s,
        )
        usage.refilled_s = now_s
        if usage.running >= workspace.concurrency:
            raise _create_refusal("concurrency", CONCURRENCY_RETRY_S)
        if usage.tokens < 1:
            wait_s = (1 - usage.tokens) / workspace.requests_per_s
            raise _create_refusal("request rate", wait_s)
        usage.tokens -= 1
        usage.running += 1
        self._tickets[ticket_id] = identity.name

    def release(self, ticket_id: str) -> None:
        name = self._tickets.pop(ticket_id, None)
        if name is not None:
            self._usages[name].running -= 1


def _create_refusal(limit: str, retry_after_s: float) -> RequestError:
    return RequestError(
        "workspace_limit",
        429,
        f"the workspace has reached its {limit} limit",
        retry_after_s=round(retry_after_s, 3),
    )


@dataclass(slots=True)
class _RequestState:
    """Where a request is: it waits until it has a ticket."""

    admission: Admission
    ticket: Ticket | None = None


class AdmissionControl:
    """Admits the requests of one entry host."""

    def __init__(self) -> None:
        self._limits = WorkspaceLimits()
        self._admissions: dict[str, Admission] = {}
        self._capacities: dict[str, tuple[int, int]] = {}
        self._requests: dict[str, _RequestState] = {}
        self._results: list[AdmissionResult] = []

    def check_limits(self, message: Admit, now_s: float) -> None:
        """Count a request against its workspace's limits, or refuse it."""
        self._limits.admit(message.ticket_id, message.identity, now_s)

    def admit(
        self, message: Admit, wait_s: float, service_s: float, now_s: float
    ) -> bool:
        """Admit a request, or queue it and return False.

        Parameters
        ----------
        message : Admit
            The request.
        wait_s, service_s : float
            Expected wait and service time at the endpoints.
        now_s : float
            Clock reading.

        Raises
        ------
        RequestError
            With ``NOT_RUN``, if the request is refused at once.
        """
        admission = self._admissions.get(message.service)
        if admission is None:
            # Without endpoints there is nothing to wait for; routing decides.
            return True
        if admission.has_capacity:
            # A free place is always used: a service time that was learned too
            # high would otherwise refuse everything and never be corrected.
            wait_s = service_s = 0.0
        wanted = _create_request(message, wait_s, service_s)
        admitted = admission.admit(wanted, now_s)
        place = self._requests[message.ticket_id] = _RequestState(admission)
        if isinstance(admitted, Ticket):
            place.ticket = admitted
            return True
        self._refuse(admitted.displaced)
        return False

    def get_wait(self, service: str, priority: int) -> float:
        """Return the expected wait for a place."""
        admission = self._admissions.get(service)
        return 0.0 if admission is None else admission.get_wait(priority)

    def get_spare(self, service: str) -> int:
        """Return how many requests more this host may run now."""
        admission = self._admissions.get(service)
        slots = self._capacities.get(service, (0, 0))[1]
        return 0 if admission is None or not slots else admission.get_spare_capacity()

    def get_region_capacity(self, service: str) -> int:
        """Return how many requests the region's hosts may run together."""
        return self._capacities.get(service, (0, 0))[1]

    def release(self, ticket_id: str, now_s: float) -> None:
        """End a request in any state; an unknown id is ignored."""
        self._limits.release(ticket_id)
        place = self._requests.pop(ticket_id, None)
        if place is None:
            return
        if place.ticket is None:
            place.admission.cancel(ticket_id)
        else:
            self._grant(place.admission.release(place.ticket, now_s))

    def expire(self, now_s: float) -> None:
        """Refuse the waiters that can't meet their deadline any more."""
        for admission in self._admissions.values():
            if admission.waiting:
                self._refuse(admission.expire(now_s))

    def update(
        self, service: str, views: Iterable[EndpointView], hosts: int, now_s: float
    ) -> None:
        """Follow the slots and the reported load of a service's endpoints."""
        slots = load = 0
        for view in views:
            if view.state == "ready":
                slots += view.slots
                load += view.running + view.queued
        bound = round(slots * SLOTS_FACTOR)
        share = max(1, math.ceil(bound / max(1, hosts))) if slots else 0
        admission = self._admissions.get(service)
        if admission is None:
            if slots:
                self._admissions[service] = create_admission(share, bound)
                self._capacities[service] = (share, bound)
            return
        if self._capacities[service] != (share, bound):
            # Without a slot left the waiters are let through: routing refuses
            # them or sends them to another region.
            self._capacities[service] = (share, bound)
            granted = admission.set_capacity(share or NO_LIMIT, bound, now_s)
            self._grant(granted)
        elif slots:
            self._grant(admission.adapt_capacity(load / slots, now_s))

    def take_results(self) -> list[AdmissionResult]:
        """Return the answers to waiters since the last call."""
        results, self._results = self._results, []
        return results

    def count_waiting(self) -> dict[str, int]:
        """Return the waiters of each service."""
        return {name: part.waiting for name, part in self._admissions.items()}

    @property
    def is_waiting(self) -> bool:
        """Whether any request waits."""
        return any(part.waiting for part in self._admissions.values())

    def _grant(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            ticket_id = ticket.request.request_id
            self._requests[ticket_id].ticket = ticket
            self._results.append((ticket_id, None))

    def _refuse(self, refused: Iterable[Refused]) -> None:
        for entry in refused:
            ticket_id = entry.request.request_id
            del self._requests[ticket_id]
            self._results.append((ticket_id, entry.error))


def _create_request(
    message: Admit, wait_s: float, service_s: float
) -> AdmissionRequest:
    workspace = message.identity.workspace
    return AdmissionRequest(
        message.ticket_id,
        message.identity.name,
        message.deadline_s,
        workspace.priority,
        wait_s,
        service_s,
        workspace.requests_per_s,
        workspace.burst,
        workspace.concurrency,
    )
