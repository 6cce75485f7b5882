"""Probes, and selection of the members to probe, to ask as helpers, to gossip to."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from buckthorndeal.membership._table import PRESENT_STATES, HostRecord, HostTable

# Probes that a member receives per interval from all other regions together, by the
# number of hosts in its region. A member of a large region is probed mostly from its
# own region; the probes from other regions only have to detect that the region cannot
# be reached.
REMOTE_RATE_BY_REGION_SIZE = {1: 1.0, 2: 0.5}
REMOTE_RATE = 0.1
# How often a remote member occurs in a round at a rate of 1.
COPIES_PER_RATE = 10


@dataclass(slots=True)
class Probe:
    """A ping that is not acknowledged yet."""

    target: str
    incarnation: int
    # Monotonic times in seconds: when helpers are asked to ping the target, and when
    # it is suspected.
    helpers_due_s: float
    deadline_s: float
    # Address and sequence number of the host that requested the probe, if any.
    requester: tuple[str, int] | None = None


class ProbeSchedule:
    """Random order in which a host probes the other members.

    Every member is probed about once per probe interval, by any other member.
    Members of small regions are probed more often from other regions.

    Parameters
    ----------
    table : HostTable
        Known hosts.
    own : str
        Name of this host.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, table: HostTable, own: str, rng: random.Random) -> None:
        self._table = table
        self._own = own
        self._rng = rng
        self._region = table.records[own].region
        self._round_names: dict[bool, list[str]] = {True: [], False: []}
        self._remote_share = 0.0

    def insert(self, host: str) -> None:
        """Add a new member at a random position of the current round."""
        record = self._table.records[host]
        names = self._round_names[record.region == self._region]
        names.insert(self._rng.randint(0, len(names)), host)
        self._remote_share = self._compute_remote_share()

    def choose_target(self) -> HostRecord | None:
        """Return the next member to probe, or None if there is none."""
        is_local = self._rng.random() >= self._remote_share
        return self._take_next(is_local) or self._take_next(not is_local)

    def _take_next(self, is_local: bool) -> HostRecord | None:
        for _ in range(2):
            names = self._round_names[is_local]
            while names:
                record = self._table.records.get(names.pop())
                if record is not None and record.state in PRESENT_STATES:
                    return record
            self._refill(is_local)
        return None

    def _refill(self, is_local: bool) -> None:
        self._remote_share = self._compute_remote_share()
        members = [
            record
            for record in self._list_others()
            if (record.region == self._region) == is_local
        ]
        if is_local:
            names = [record.host for record in members]
        else:
            sizes = self._count_regions()
            names = [
                record.host
                for record in members
                for _ in range(_count_copies(sizes[record.region]))
            ]
        self._rng.shuffle(names)
        self._round_names[is_local] = names

    def _compute_remote_share(self) -> float:
        sizes = self._count_regions()
        total = sum(sizes.values())
        share = 0.0
        for region, size in sizes.items():
            if region != self._region:
                share += size * _get_remote_rate(size) / (total - size)
        return min(1.0, share)

    def _count_regions(self) -> dict[str, int]:
        sizes: dict[str, int] = {self._region: 1}
        for record in self._list_others():
            sizes[record.region] = sizes.get(record.region, 0) + 1
        return sizes

    def _list_others(self) -> list[HostRecord]:
        return [
            record
            for record in self._table.records.values()
            if record.host != self._own and record.state in PRESENT_STATES
        ]

    def choose_helpers(self, target: HostRecord, count: int) -> list[HostRecord]:
        """Return up to `count` members to probe `target`, if possible of its region."""
        others = [r for r in self._list_others() if r.host != target.host]
        near = [r for r in others if r.region == target.region and r.state == "alive"]
        helpers = self._sample(near, count)
        if len(helpers) < count:
            far = [r for r in others if r not in helpers]
            helpers += self._sample(far, count - len(helpers))
        return helpers

    def choose_gossip_targets(self, local: int, remote: int) -> list[HostRecord]:
        """Return random members to gossip to.

        Up to `local` of them are of this region and `remote` of others; members of
        other regions make up for missing ones of this region.
        """
        others = self._list_others()
        near = [record for record in others if record.region == self._region]
        far = [record for record in others if record.region != self._region]
        chosen = self._sample(near, local)
        return chosen + self._sample(far, remote + local - len(chosen))

    def choose_related_hosts(self, target: HostRecord) -> list[HostRecord]:
        """Return hosts that may have failed together with `target`."""
        trusted = [r for r in self._list_others() if r.state in ("alive", "draining")]
        region = [r for r in trusted if r.region == target.region]
        domain = [r for r in region if r.failure_domain == target.failure_domain]
        return self._sample(domain, 1) + self._sample(region, 1)

    def choose_random(self, records: Iterable[HostRecord]) -> HostRecord | None:
        """Return a random one of `records`, or None if there is none."""
        records = list(records)
        return self._rng.choice(records) if records else None

    def _sample(self, records: list[HostRecord], count: int) -> list[HostRecord]:
        return self._rng.sample(records, min(count, len(records)))


def _get_remote_rate(size: int) -> float:
    return REMOTE_RATE_BY_REGION_SIZE.get(size, REMOTE_RATE)


def _count_copies(size: int) -> int:
    return round(_get_remote_rate(size) * COPIES_PER_RATE)
