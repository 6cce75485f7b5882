"""Directory for callers: which entry hosts to use, in order; no I/O."""

import random
from dataclasses import dataclass

__all__ = ["Directory", "DirectoryAnswer", "HostRecord", "create_directory"]

LIFETIME_S = 5.0


@dataclass(slots=True)
class HostRecord:
    """An entry host.

    Parameters
    ----------
    state : str
        ``alive``, ``draining`` or ``lost``.
    """

    host: str
    region: str
    address: str
    port: int
    state: str = "alive"


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
        Every entry host, in a fixed order.
    rng : random.Random
        Spreads callers over the hosts of a region.
    """

    def __init__(
        self, hosts: list[HostRecord], rng: random.Random, lifetime_s: float
    ) -> None:
        self._hosts = {record.host: record for record in hosts}
        self._rng = rng
        self._lifetime_s = lifetime_s

    def set_state(self, host: str, state: str) -> None:
        """Record the state of a host; unknown hosts are ignored."""
        if host in self._hosts:
            self._hosts[host].state = state

    def add(self, record: HostRecord) -> None:
        """Add or replace a host."""
        self._hosts[record.host] = record

    def get(self, host: str) -> HostRecord | None:
        """Return a host."""
        return self._hosts.get(host)

    def list_hosts(self, region: str) -> DirectoryAnswer:
        """Return the live hosts, those of `region` first, in random order.

        A caller uses the first host, so the order decides how callers spread.
        """
        alive = [record for record in self._hosts.values() if record.state == "alive"]
        self._rng.shuffle(alive)
        alive.sort(key=lambda record: record.region != region)
        return DirectoryAnswer(tuple(alive), self._lifetime_s)

    def list_region(self, region: str, states: tuple[str, ...] = ("alive",)) -> list:
        """Return the hosts of a region in one of `states`, in the fixed order."""
        return [
            record
            for record in self._hosts.values()
            if record.region == region and record.state in states
        ]

    def list_regions(self) -> list[str]:
        """Return the regions that have a live host."""
        regions = [
            record.region for record in self._hosts.values() if record.state == "alive"
        ]
        return list(dict.fromkeys(regions))


def create_directory(
    hosts: list[HostRecord], rng: random.Random, lifetime_s: float = LIFETIME_S
) -> Directory:
    """Return a directory of `hosts`."""
    return Directory(hosts, rng, lifetime_s)
