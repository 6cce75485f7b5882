"""Admission control: workspace limits, then one queue for each service.

The rate and concurrency limits of a workspace cover all services of this host.
Capacity and queue belong to one service, because a slot of one service cannot
serve another. Only the router task uses this module.
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
from buckthorndeal.policy.bucket import TokenBucket
from buckthorndeal.policy.views import EndpointView

CONCURRENCY_RETRY_S = 1.0
# Endpoints queue a few requests of their own, so that a free slot is filled before
# the next load report. The policy benchmark uses the same factor.
REQUESTS_PER_SLOT = 1.25
# More requests than a host can hold.
NO_LIMIT = 1_000_000

# Ticket id of a request that was queued, and its error; None if it is admitted.
AdmissionResult = tuple[str, RequestError | None]


@dataclass(slots=True)
class _Usage:
    """Token bucket and running requests of one workspace."""

    bucket: TokenBucket
    running: int = 0


class WorkspaceLimits:
    """Rate limit (token bucket) and concurrency limit of each workspace."""

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}
        self._tickets: dict[str, str] = {}

    def admit(self, ticket_id: str, identity: Identity, now_s: float) -> None:
        """Count a request against the limits.

        Raises
        ------
        RequestError
            With status 429 if a limit is reached.
        """
        workspace = identity.workspace
        usage = self._usages.setdefault(
            identity.name, _Usage(TokenBucket(float(workspace.burst), now_s))
        )
        usage.bucket.refill(workspace.requests_per_s, workspace.burst, now_s)
        if usage.running >= workspace.concurrency:
            raise _create_refusal("concurrency", CONCURRENCY_RETRY_S)
        wait_s = usage.bucket.compute_wait_s(workspace.requests_per_s)
        if wait_s > 0:
            raise _create_refusal("request rate", wait_s)
        usage.bucket.tokens -= 1
        usage.running += 1
        self._tickets[ticket_id] = identity.name

    def release(self, ticket_id: str) -> None:
        """End the request; an unknown id is ignored."""
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
    """Admission state of a request, which is queued as long as it has no ticket."""

    admission: Admission
    ticket: Ticket | None = None


class AdmissionControl:
    """Admits the requests of one entry host."""

    def __init__(self) -> None:
        self._limits = WorkspaceLimits()
        self._admissions: dict[str, Admission] = {}
        # Capacity of this host and of the region for each service.
        self._capacities: dict[str, tuple[int, int]] = {}
        self._requests: dict[str, _RequestState] = {}
        self._results: list[AdmissionResult] = []

    def check_limits(self, message: Admit, now_s: float) -> None:
        """Count a request against the limits of its workspace.

        Raises
        ------
        RequestError
            With status 429 if a limit is reached.
        """
        self._limits.admit(message.ticket_id, message.identity, now_s)

    def admit(
        self, message: Admit, wait_s: float, service_s: float, now_s: float
    ) -> bool:
        """Admit a request or queue it.

        Parameters
        ----------
        message : Admit
            The request.
        wait_s, service_s : float
            Expected queueing and service time at the endpoints, in seconds.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            True if the request is admitted, False if it is queued.

        Raises
        ------
        RequestError
            With verdict ``NOT_RUN`` if the request is refused immediately.
        """
        admission = self._admissions.get(message.service)
        if admission is None:
            # No endpoint has been seen yet; routing refuses or spills the request.
            return True
        if admission.has_capacity:
            # Free capacity is always used: an estimated service time that is too
            # high would otherwise refuse every request and never be corrected.
            wait_s = service_s = 0.0
        request = _create_request(message, wait_s, service_s)
        admitted = admission.admit(request, now_s)
        state = self._requests[message.ticket_id] = _RequestState(admission)
        if isinstance(admitted, Ticket):
            state.ticket = admitted
            return True
        self._refuse(admitted.displaced)
        return False

    def get_wait(self, service: str, priority: int) -> float:
        """Return the expected time in the queue of the service, in seconds."""
        admission = self._admissions.get(service)
        return 0.0 if admission is None else admission.get_wait(priority)

    def get_spare_capacity(self, service: str) -> int:
        """Return how many more requests this host may run now."""
        admission = self._admissions.get(service)
        region_capacity = self._capacities.get(service, (0, 0))[1]
        return (
            0
            if admission is None or not region_capacity
            else admission.get_spare_capacity()
        )

    def get_region_capacity(self, service: str) -> int:
        """Return how many requests all hosts of the region may run together."""
        return self._capacities.get(service, (0, 0))[1]

    def release(self, ticket_id: str, now_s: float) -> None:
        """End a queued or admitted request; an unknown id is ignored."""
        self._limits.release(ticket_id)
        state = self._requests.pop(ticket_id, None)
        if state is None:
            return
        if state.ticket is None:
            state.admission.cancel(ticket_id)
        else:
            self._grant(state.admission.release(state.ticket, now_s))

    def expire(self, now_s: float) -> None:
        """Refuse the queued requests that can no longer meet their deadline."""
        for admission in self._admissions.values():
            if admission.waiting:
                self._refuse(admission.expire(now_s))

    def update(
        self, service: str, views: Iterable[EndpointView], hosts: int, now_s: float
    ) -> None:
        """Adapt the capacity to the slots and reported load of the endpoints.

        Parameters
        ----------
        service : str
            Name of the service.
        views : iterable of EndpointView
            Endpoints of the service.
        hosts : int
            Live entry hosts of the region, which share the capacity evenly.
        now_s : float
            Monotonic time in seconds.
        """
        slots = load = 0
        for view in views:
            if view.state == "ready":
                slots += view.slots
                load += view.running + view.queued
        region_capacity = round(slots * REQUESTS_PER_SLOT)
        host_capacity = (
            max(1, math.ceil(region_capacity / max(1, hosts))) if slots else 0
        )
        admission = self._admissions.get(service)
        if admission is None:
            if slots:
                self._admissions[service] = create_admission(
                    host_capacity, region_capacity
                )
                self._capacities[service] = (host_capacity, region_capacity)
            return
        if self._capacities[service] != (host_capacity, region_capacity):
            # When no slot is left, the queued requests are admitted: routing
            # refuses them or sends them to another region.
            self._capacities[service] = (host_capacity, region_capacity)
            granted = admission.set_capacity(
                host_capacity or NO_LIMIT, region_capacity, now_s
            )
            self._grant(granted)
        elif slots:
            self._grant(admission.adapt_capacity(load / slots, now_s))

    def take_results(self) -> list[AdmissionResult]:
        """Return the results of queued requests since the last call."""
        results, self._results = self._results, []
        return results

    def count_waiting(self) -> dict[str, int]:
        """Return the number of queued requests of each service."""
        return {name: admission.waiting for name, admission in self._admissions.items()}

    @property
    def is_waiting(self) -> bool:
        """Whether any request is queued."""
        return any(admission.waiting for admission in self._admissions.values())

    def _grant(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            ticket_id = ticket.request.request_id
            self._requests[ticket_id].ticket = ticket
            self._results.append((ticket_id, None))

    def _refuse(self, refusals: Iterable[Refused]) -> None:
        for refusal in refusals:
            ticket_id = refusal.request.request_id
            del self._requests[ticket_id]
            self._results.append((ticket_id, refusal.error))


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
