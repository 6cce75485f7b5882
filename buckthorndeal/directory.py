"""Directory for callers: which entry hosts to use, in order; no I/O."""

import random
from dataclasses import dataclass

__all__ = ["Directory", "DirectoryAnswer", "HostRecord", "create_directory"]

# Shorter than the notice time of a draining host, so that callers have asked again
# before the host stops accepting.
LIFETIME_S = 2.0


@dataclass(slots=True)
class HostRecord:
    """An entry host.

    Parameters
    ----------
    state : str
        ``alive``, ``draining``, ``suspect`` or ``lost``.
    peer_address : str
        ``address:port`` of its peer links; empty if it has none.
    failure_domain : str
        Empty if it is unknown.
    """

    host: str
    region: str
    address: str
    port: int
    state: str = "alive"
    peer_address: str = ""
    failure_domain: str = ""


@dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Hosts to use, best first, and how long the answer holds."""

    hosts: tuple[HostRecord, ...]
    lifetime_s: float


class Directory:
    """Entry hosts and their states.

    Parameters
    ----------
    hosts : list of HostRecord
        Entry hosts that are known at the start.
    rng : random.Random
        Spreads callers over the hosts of a region.
    """

    def __init__(
        self, hosts: list[HostRecord], rng: random.Random, lifetime_s: float
    ) -> None:
        self._hosts = {record.host: record for record in hosts}
        self._rng = rng
        self._lifetime_s = lifetime_s

    def update(self, record: HostRecord) -> None:
        """Add or replace a host."""
        self._hosts[record.host] = record

    def get(self, host: str) -> HostRecord | None:
        """Return a host."""
        return self._hosts.get(host)

    def list_hosts(self, region: str, drained: tuple[str, ...] = ()) -> DirectoryAnswer:
        """Return the live hosts, those of `region` first, in random order.

        A caller uses the first host, so the order decides how callers spread.
        Hosts in `drained` are left out.
        """
        alive = [
            record
            for record in self._hosts.values()
            if record.state == "alive" and record.host not in drained
        ]
        self._rng.shuffle(alive)
        alive.sort(key=lambda record: record.region != region)
        return DirectoryAnswer(tuple(alive), self._lifetime_s)

    def list_region_hosts(self, region: str) -> list[HostRecord]:
        """Return the hosts of a region in any state, by name."""
        found = [record for record in self._hosts.values() if record.region == region]
        return sorted(found, key=lambda record: record.host)


def create_directory(
    hosts: list[HostRecord], rng: random.Random, lifetime_s: float = LIFETIME_S
) -> Directory:
    """Return a directory of `hosts`."""
    return Directory(hosts, rng, lifetime_s)
