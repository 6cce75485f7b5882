"""Checks of invariants on a run of the policy benchmark."""

import collections
import logging
from dataclasses import dataclass, field

from buckthorndeal.bench._policy_plan import BOOKING, PlannedCall
from buckthorndeal.logs import EXTRA_FIELD

__all__ = ["INVARIANTS", "Audit", "CallRecord", "Hop", "RouteRecorder"]

INVARIANTS = (
    "booked_twice",
    "wrong_answer",
    "bound_abroad",
    "looped",
    "not_run_executed",
)
# Result that a caller received: complete answer, wrong answer, broken connection or
# timeout; or else the verdict of a refusal, such as ``not_run``.
COMPLETE, WRONG, BROKEN, NOT_RUN = "whole", "wrong", "broken", "not_run"


@dataclass(slots=True)
class CallRecord:
    """A call and the results that its caller received, in order.

    Parameters
    ----------
    call : PlannedCall
        The call.
    results : list of str
        A result for each time that the call was sent.
    """

    call: PlannedCall
    results: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Hop:
    """A route decision of an entry host.

    Parameters
    ----------
    host, host_region : str
        Host that made the decision, and its region.
    request_id : str
        Id under which the host received the request.
    attempt_id : str
        Id under which the host forwarded the request.
    chosen : str or None
        Endpoint or host to which the request was forwarded; None for a refusal.
    """

    host: str
    host_region: str
    request_id: str
    attempt_id: str
    chosen: str | None


class RouteRecorder(logging.Handler):
    """Log handler that collects the route decisions.

    Parameters
    ----------
    host_regions : dict of str to str
        Region of each entry host.
    """

    def __init__(self, host_regions: dict[str, str]) -> None:
        super().__init__()
        self._host_regions = host_regions
        self.hops: list[Hop] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the record if it is a route decision."""
        if record.getMessage() != "route_decision":
            return
        fields = getattr(record, EXTRA_FIELD)
        host = fields["host"]
        self.hops.append(
            Hop(
                host,
                self._host_regions[host],
                fields["request_id"],
                fields["attempt_id"],
                fields["chosen"],
            )
        )


class Audit:
    """Counts invariant violations in what endpoints executed and callers received."""

    def __init__(self) -> None:
        self._arrivals: dict[str, list[tuple[str, str]]] = collections.defaultdict(list)
        self._refusals: collections.Counter[tuple[str, str]] = collections.Counter()
        self.call_records: list[CallRecord] = []

    def record_arrival(self, marker: str, endpoint: str, region: str) -> None:
        """Record that a request arrived at an endpoint."""
        self._arrivals[marker].append((endpoint, region))

    def record_refusal(self, marker: str, endpoint: str) -> None:
        """Record that an endpoint refused a request that had arrived."""
        self._refusals[marker, endpoint] += 1

    def list_regions(self, marker: str) -> list[str]:
        """Return the regions of the endpoints that received a call, in order."""
        return [region for _, region in self._arrivals[marker]]

    def count_executions(self, marker: str) -> int:
        """Return how many times endpoints may have executed a call."""
        arrivals = self._arrivals[marker]
        refused = sum(self._refusals[marker, name] for name, _ in set(arrivals))
        return len(arrivals) - refused

    def count_violations(self, hops: list[Hop]) -> dict[str, int]:
        """Return the number of violations of each invariant."""
        return {
            "booked_twice": sum(map(self._is_booked_twice, self.call_records)),
            "wrong_answer": sum(
                WRONG in call_record.results for call_record in self.call_records
            ),
            "bound_abroad": sum(map(self._has_left_region, self.call_records)),
            "looped": count_loops(hops),
            "not_run_executed": sum(map(self._is_false_not_run, self.call_records)),
        }

    def _is_booked_twice(self, call_record: CallRecord) -> bool:
        call = call_record.call
        return call.kind == BOOKING and self.count_executions(call.marker) > 1

    def _has_left_region(self, call_record: CallRecord) -> bool:
        call = call_record.call
        regions = self.list_regions(call.marker)
        return call.bound and any(region != call.region for region in regions)

    def _is_false_not_run(self, call_record: CallRecord) -> bool:
        # A call that was sent again may have run the first time, so its refusal
        # counts only if every sending was refused as not run.
        all_not_run = bool(call_record.results) and set(call_record.results) == {
            NOT_RUN
        }
        return all_not_run and self.count_executions(call_record.call.marker) > 0


def count_loops(hops: list[Hop]) -> int:
    """Return the number of requests that visited a host or changed region twice."""
    senders = {hop.attempt_id: hop for hop in hops}
    visits: dict[str, set[tuple[str, str]]] = collections.defaultdict(set)
    changes: dict[str, set[str]] = collections.defaultdict(set)
    for hop in hops:
        root = find_caller_request_id(hop, senders)
        visits[root].add((hop.host, hop.request_id))
        sender = senders.get(hop.request_id)
        if sender is not None and sender.host_region != hop.host_region:
            changes[root].add(hop.request_id)
    return sum(
        len({host for host, _ in visited}) < len(visited) or len(changes[root]) > 1
        for root, visited in visits.items()
    )


def find_caller_request_id(hop: Hop, senders: dict[str, Hop]) -> str:
    """Return the request id that the caller of a decision's request used."""
    seen = {hop.request_id}
    while (sender := senders.get(hop.request_id)) is not None:
        if sender.request_id in seen:
            break
        hop = sender
        seen.add(hop.request_id)
    return hop.request_id
