"""Simulation of membership with in-memory members on an injected clock."""

import heapq
import itertools
import random
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from buckthorndeal.membership import (
    MEMBERSHIP_MESSAGES,
    HostRecord,
    Membership,
    MembershipOptions,
    Outgoing,
    create_membership,
)
from buckthorndeal.wire import create_codec, create_datagram_codec

__all__ = ["MemberSimulation", "MembershipResult", "measure_membership"]

KEYS = (b"benchmark key of 32 bytes length",)
REGIONS = 5
LOCAL_DELAY_S = 0.0015
REMOTE_DELAY_S = 0.08
# IPv4 and UDP headers.
HEADER_BYTES = 28
WALL_CLOCK_START_S = 1.7e9
SETTLE_S = 10.0
MEASURE_S = 30.0
CRASHES = 12
DETECTION_TIMEOUT_S = 60.0
PRESENT_STATES = ("alive", "draining")


@dataclass(frozen=True)
class MembershipResult:
    """Results for one cluster size.

    Parameters
    ----------
    members : int
        Number of members.
    bytes_per_s : float
        Bytes sent and received per node without failures, including IP headers.
    cpu_share : float
        Share of a core per node without failures, excluding system calls.
    remote_share : float
        Share of the bytes that cross regions.
    crash_out_of_use_s : tuple of float
        For each crash, the time until no member sees the host as alive or draining.
    crash_dead_s : tuple of float
        For each crash, the time until all members see the host as dead.
    leave_s : float
        Time from leaving until no member sees the host as alive or draining.
    """

    members: int
    bytes_per_s: float
    cpu_share: float
    remote_share: float
    crash_out_of_use_s: tuple[float, ...]
    crash_dead_s: tuple[float, ...]
    leave_s: float


class MemberSimulation:
    """Discrete-event simulation of members in one process.

    Parameters
    ----------
    size : int
        Number of members.
    seed : int
        Seed of all random choices.
    regions : int
        Number of regions, to which members are assigned round-robin.
    loss : float
        Probability that a datagram is lost.
    options : MembershipOptions or None
        Options of all members; None for the defaults.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        regions: int = REGIONS,
        loss: float = 0.0,
        options: MembershipOptions | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.bytes_sent = 0
        self.remote_bytes = 0
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        self._loss = loss
        self._options = options
        self._events: list = []
        self._event_numbers = itertools.count()
        self.members: dict[str, Membership] = {}
        self._codecs = {}
        self._due_s: dict[str, float] = {}
        self.records = [self._create_record(i, regions) for i in range(size)]

    def _create_record(self, index: int, regions: int) -> HostRecord:
        return HostRecord(
            f"host-{index}",
            f"region-{index % regions}",
            f"domain-{index % (3 * regions)}",
            {
                "membership": f"10.0.{index // 250}.{index % 250}:7946",
                "peer": f"10.0.{index // 250}.{index % 250}:7000",
                "http": f"10.0.{index // 250}.{index % 250}:8080",
            },
            1,
        )

    def start(self, record: HostRecord, seeds: tuple[str, ...] = ()) -> None:
        """Start a member, or restart one that has stopped."""
        self.members[record.host] = create_membership(
            record, seeds, self.rng, self.now_s, self._options
        )
        self._codecs[record.host] = create_datagram_codec(
            create_codec(MEMBERSHIP_MESSAGES), KEYS, record.host
        )
        self._schedule_tick(record.host)

    def start_all(self) -> None:
        """Start all members with complete member tables."""
        for record in self.records:
            self.start(record, (self.records[0].addresses["membership"],))
        for member in self.members.values():
            member.preload(self.records, self.now_s)

    def crash(self, host: str) -> None:
        """Stop a member without a leave message."""
        del self.members[host]

    def leave(self, host: str) -> None:
        """Make a member announce that it leaves, and stop it."""
        self._send(host, self.members[host].leave(self.now_s))
        del self.members[host]

    def run(self, duration_s: float, until: Callable[[], bool] | None = None) -> float:
        """Run for `duration_s` or until a condition holds; return the elapsed time."""
        end_s = self.now_s + duration_s
        start_s = self.now_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
            if until is not None and until():
                return self.now_s - start_s
        self.now_s = end_s
        return duration_s

    def _schedule_tick(self, host: str) -> None:
        due_s = max(self.now_s, self.members[host].next_due_s)
        if due_s < self._due_s.get(host, float("inf")):
            self._due_s[host] = due_s
            self._add_event(due_s, lambda: self._tick(host, due_s))

    def _add_event(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), event))

    def _tick(self, host: str, due_s: float) -> None:
        if self._due_s.get(host) == due_s:
            del self._due_s[host]
            if host in self.members:
                self._send(host, self.members[host].tick(self.now_s))
                self._schedule_tick(host)

    def _send(self, host: str, outgoing: list[Outgoing]) -> None:
        source = self.members[host].own
        for item in outgoing:
            data = self._codecs[host].seal(
                item.message, WALL_CLOCK_START_S + self.now_s
            )
            self.bytes_sent += len(data) + HEADER_BYTES
            target = self._get_record_at(item.address)
            is_remote = target.region != source.region
            self.remote_bytes += (len(data) + HEADER_BYTES) * is_remote
            if self.rng.random() >= self._loss:
                delay_s = REMOTE_DELAY_S if is_remote else LOCAL_DELAY_S
                self._add_event(
                    self.now_s + delay_s,
                    lambda target=target, data=data: self._deliver(
                        source, target.host, data
                    ),
                )

    def _get_record_at(self, address: str) -> HostRecord:
        high, low = address.partition(":")[0].split(".")[2:]
        return self.records[int(high) * 250 + int(low)]

    def _deliver(self, source: HostRecord, host: str, data: bytes) -> None:
        member = self.members.get(host)
        if member is None or self.is_cut(source.host, host):
            return
        sender, message = self._codecs[host].open(data, WALL_CLOCK_START_S + self.now_s)
        address = source.addresses["membership"]
        self._send(host, member.receive(message, sender, address, self.now_s))
        self._schedule_tick(host)

    def count_views(self, host: str, states: tuple[str, ...]) -> int:
        """Return how many other members see `host` in one of `states`."""
        return sum(
            (record := member.get_record(host)) is not None and record.state in states
            for name, member in self.members.items()
            if name != host
        )


def measure_membership(sizes: Sequence[int] = (4, 50, 330)) -> list[MembershipResult]:
    """Measure traffic, CPU time and failure detection times for each cluster size."""
    return [_measure_size(size) for size in sizes]


def _measure_size(size: int) -> MembershipResult:
    simulation = MemberSimulation(size, seed=size, regions=min(REGIONS, size - 1))
    simulation.start_all()
    simulation.run(SETTLE_S)
    simulation.bytes_sent = simulation.remote_bytes = 0
    started_s = time.process_time()
    simulation.run(MEASURE_S)
    cpu_s = time.process_time() - started_s
    bytes_sent, remote_bytes = simulation.bytes_sent, simulation.remote_bytes
    crashes = [_measure_crash(simulation) for _ in range(min(CRASHES, 3 * size))]
    return MembershipResult(
        members=size,
        bytes_per_s=2 * bytes_sent / size / MEASURE_S,
        cpu_share=cpu_s / size / MEASURE_S,
        remote_share=remote_bytes / bytes_sent,
        crash_out_of_use_s=tuple(out_s for out_s, _ in crashes),
        crash_dead_s=tuple(dead_s for _, dead_s in crashes),
        leave_s=_measure_leave(simulation),
    )


def _measure_crash(simulation: MemberSimulation) -> tuple[float, float]:
    record = simulation.rng.choice(simulation.records)
    host = record.host
    next_incarnation = simulation.members[host].own.incarnation + 1
    simulation.run(simulation.rng.random())
    simulation.crash(host)
    out_s = simulation.run(
        DETECTION_TIMEOUT_S, lambda: simulation.count_views(host, PRESENT_STATES) == 0
    )
    others = len(simulation.members)
    until_dead_s = simulation.run(
        DETECTION_TIMEOUT_S, lambda: simulation.count_views(host, ("dead",)) == others
    )
    restarted = HostRecord(
        host, record.region, record.failure_domain, record.addresses, next_incarnation
    )
    seed = next(iter(simulation.members.values())).own.addresses["membership"]
    simulation.start(restarted, (seed,))
    simulation.run(SETTLE_S)
    return out_s, out_s + until_dead_s


def _measure_leave(simulation: MemberSimulation) -> float:
    host = simulation.rng.choice(simulation.records).host
    simulation.leave(host)
    return simulation.run(
        DETECTION_TIMEOUT_S, lambda: simulation.count_views(host, PRESENT_STATES) == 0
    )


def format_result(result: MembershipResult) -> str:
    """Return the result as one human-readable line."""
    out_s = sorted(result.crash_out_of_use_s)
    dead_s = sorted(result.crash_dead_s)
    return (
        f"{result.members} members: {result.bytes_per_s:.0f} B/s, "
        f"{100 * result.cpu_share:.3f}% of a core, "
        f"{100 * result.remote_share:.0f}% of bytes remote; crash out of use "
        f"median {statistics.median(out_s):.2f} s, max {out_s[-1]:.2f} s, dead "
        f"median {statistics.median(dead_s):.2f} s, max {dead_s[-1]:.2f} s; "
        f"leave {result.leave_s:.2f} s"
    )
