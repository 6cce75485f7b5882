"""Deterministic assignment of a region's endpoints to its entry hosts."""

import hashlib
import math
from collections.abc import Callable, Collection, Iterable, Mapping

__all__ = [
    "assign_subsets",
    "choose_owner",
    "choose_owners",
    "choose_registrars",
    "choose_subset",
]

# Bounds on the number of hosts of one endpoint, as multiples of the mean. With both at
# 1, adding or removing one name replaces up to 19% of the pairs.
MIN_HOSTS_FACTOR = 0.75
MAX_HOSTS_FACTOR = 1.2
# Each host considers only its best-ranked endpoints: about this many times the size
# of its subset.
CANDIDATES_FACTOR = 4
MAX_REGISTRARS = 2
_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


def choose_owner(key: str, names: Iterable[str]) -> str:
    """Return the name that owns a key, by rendezvous hashing.

    Every host makes the same choice from the same names. Adding or removing a name
    moves only the keys that this name owns.

    Parameters
    ----------
    key : str
        Key to be owned by one of the names.
    names : iterable of str
        Names of hosts or of endpoints, at least one.

    Returns
    -------
    str
        The owner.
    """
    return min(names, key=_create_ranking(key))


def choose_owners(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the `count` names that own a key together, by rendezvous hashing.

    Adding or removing a name replaces at most one of them.
    """
    return sorted(names, key=_create_ranking(key))[:count]


def choose_registrars(endpoint: str, failure_domains: Mapping[str, str]) -> list[str]:
    """Return the hosts that an endpoint sends its heartbeats to.

    The hosts are ranked by a hash of both names (rendezvous hashing), so adding or
    removing a host moves only the endpoints that report to it.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    failure_domains : mapping of str to str
        Failure domain of each eligible host.

    Returns
    -------
    list of str
        Up to `MAX_REGISTRARS` hosts, best rank first, in different failure domains
        where possible.
    """
    ranked = sorted(failure_domains, key=_create_ranking(endpoint))
    best_by_domain: dict[str, str] = {}
    for host in ranked:
        best_by_domain.setdefault(failure_domains[host], host)
    preferred = list(best_by_domain.values())
    others = [host for host in ranked if host not in preferred]
    return [*preferred, *others][:MAX_REGISTRARS]


def choose_subset(
    host: str, hosts: Collection[str], endpoints: Collection[str], size: int
) -> tuple[str, ...]:
    """Return the endpoints that a host sends requests to.

    Every host computes the same assignment from the same names, so the hosts need
    not exchange messages.

    Parameters
    ----------
    host : str
        Name of the host.
    hosts, endpoints : collection of str
        Names of the region's hosts, including `host`, and of its endpoints.
    size : int
        Target number of endpoints in each subset.

    Returns
    -------
    tuple of str
        Sorted names of endpoints.
    """
    return assign_subsets(hosts, endpoints, size)[host]


def assign_subsets(
    hosts: Collection[str], endpoints: Collection[str], size: int
) -> dict[str, tuple[str, ...]]:
    """Return the subset of every host.

    Pairs of host and endpoint are ranked by a hash and taken greedily in that order
    while both have room: first until each endpoint has its minimum number of hosts,
    then until the hosts are full. Each endpoint is in at least one subset.

    Parameters
    ----------
    hosts, endpoints : collection of str
        Names of the region's hosts and of its endpoints.
    size : int
        Target number of endpoints in each subset.

    Returns
    -------
    dict of str to tuple of str
        Sorted names of endpoints by host.
    """
    host_names = sorted(set(hosts))
    endpoint_names = sorted(set(endpoints))
    size = min(size, len(endpoint_names))
    if not host_names or size == len(endpoint_names):
        return {host: tuple(endpoint_names) for host in host_names}
    chosen: dict[str, list[str]] = {host: [] for host in host_names}
    host_counts = dict.fromkeys(endpoint_names, 0)
    mean_hosts = size * len(host_names) / len(endpoint_names)
    pairs = _rank_pairs(host_names, endpoint_names, size)
    for max_hosts in (
        math.floor(mean_hosts * MIN_HOSTS_FACTOR),
        math.ceil(mean_hosts * MAX_HOSTS_FACTOR),
    ):
        pairs = _take_pairs(pairs, chosen, host_counts, size, max(1, max_hosts))
    _fill_hosts(chosen, host_counts, size)
    _cover_endpoints(chosen, host_counts)
    return {host: tuple(sorted(names)) for host, names in chosen.items()}


def _take_pairs(
    pairs: list[tuple[int, str, str]],
    chosen: dict[str, list[str]],
    host_counts: dict[str, int],
    size: int,
    max_hosts: int,
) -> list[tuple[int, str, str]]:
    """Add the pairs whose host and endpoint both have room; return the others."""
    remaining = []
    for pair in pairs:
        _, host, endpoint = pair
        if len(chosen[host]) < size and host_counts[endpoint] < max_hosts:
            chosen[host].append(endpoint)
            host_counts[endpoint] += 1
        else:
            remaining.append(pair)
    return remaining


def _rank_pairs(
    hosts: list[str], endpoints: list[str], size: int
) -> list[tuple[int, str, str]]:
    """Return the pairs with the best ranks (see `CANDIDATES_FACTOR`), best first."""
    candidate_share = min(1.0, CANDIDATES_FACTOR * size / len(endpoints))
    max_rank = int(candidate_share * _MASK)
    host_keys = [(_hash_name(host), host) for host in hosts]
    endpoint_keys = [(_hash_name(endpoint), endpoint) for endpoint in endpoints]
    pairs = []
    for host_key, host in host_keys:
        for endpoint_key, endpoint in endpoint_keys:
            rank = _combine_hashes(host_key, endpoint_key)
            if rank <= max_rank:
                pairs.append((rank, host, endpoint))
    pairs.sort()
    return pairs


def _fill_hosts(
    chosen: dict[str, list[str]], host_counts: dict[str, int], size: int
) -> None:
    """Fill up hosts that lack endpoints with those that have the fewest hosts."""
    for host, names in chosen.items():
        missing = size - len(names)
        if missing <= 0:
            continue
        assigned = set(names)
        host_key = _hash_name(host)
        least_used = sorted(
            (host_counts[name], _combine_hashes(host_key, _hash_name(name)), name)
            for name in host_counts
            if name not in assigned
        )
        for _, _, name in least_used[:missing]:
            names.append(name)
            host_counts[name] += 1


def _cover_endpoints(chosen: dict[str, list[str]], host_counts: dict[str, int]) -> None:
    """Assign each endpoint without a host to the host that owns its name."""
    for endpoint, host_count in host_counts.items():
        if not host_count:
            chosen[choose_owner(endpoint, chosen)].append(endpoint)


def _create_ranking(key: str) -> Callable[[str], tuple[int, str]]:
    """Return a sort key that ranks names by a hash of the name and `key`."""
    hashed = _hash_name(key)
    return lambda name: (_combine_hashes(_hash_name(name), hashed), name)


def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _combine_hashes(first: int, second: int) -> int:
    """Combine two 64-bit hashes; each name is hashed only once for all its pairs."""
    value = ((first ^ (second >> 32) ^ (second << 32)) * _MULTIPLIER) & _MASK
    value ^= value >> 29
    value = (value * 0xBF58476D1CE4E5B9) & _MASK
    return value ^ (value >> 32)
