"""Directory of entry hosts, which tells callers which of them to use; does no I/O."""

import random
from dataclasses import dataclass

__all__ = ["Directory", "DirectoryAnswer", "HostRecord", "create_directory"]

# Shorter than the notice time of a draining host, so that callers have asked again
# before the host stops accepting connections.
ANSWER_LIFETIME_S = 2.0


@dataclass(slots=True)
class HostRecord:
    """An entry host and its state.

    Parameters
    ----------
    state : str
        ``alive``, ``draining``, ``suspect`` or ``lost``.
    peer_address : str
        ``address:port`` for connections from peers; empty if it has none.
    failure_domain : str
        Failure domain; empty if it is unknown.
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
    """Hosts to use, in order of preference, and how long the answer is valid.

    Parameters
    ----------
    hosts : tuple of HostRecord
        Hosts in order of preference.
    lifetime_s : float
        Seconds for which a caller may use the answer.
    """

    hosts: tuple[HostRecord, ...]
    lifetime_s: float


class Directory:
    """Entry hosts and their states.

    Parameters
    ----------
    hosts : list of HostRecord
        Entry hosts known at the start.
    rng : random.Random
        Randomizes the order of hosts, which spreads callers over them.
    lifetime_s : float
        Seconds for which a caller may use an answer.
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
        """Return a host, or None if it is not known."""
        return self._hosts.get(host)

    def list_hosts(self, region: str, drained: tuple[str, ...] = ()) -> DirectoryAnswer:
        """Return the alive hosts, those of `region` first, otherwise in random order.

        A caller uses the first host, so the random order spreads the callers. Hosts
        in `drained` are excluded.
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
        """Return the hosts of a region in any state, sorted by name."""
        found = [record for record in self._hosts.values() if record.region == region]
        return sorted(found, key=lambda record: record.host)


def create_directory(
    hosts: list[HostRecord], rng: random.Random, lifetime_s: float = ANSWER_LIFETIME_S
) -> Directory:
    """Return a directory that contains `hosts`."""
    return Directory(hosts, rng, lifetime_s)
