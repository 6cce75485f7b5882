"""Deterministic assignment of a region's endpoints to its entry hosts."""

import hashlib
import math
from collections.abc import Callable, Collection, Iterable, Mapping

__all__ = ["assign_subsets", "choose_owner", "choose_registrars", "choose_subset"]

# An endpoint takes between these multiples of the mean number of hosts. With both
# at 1 a change of one name ripples on and replaces up to 19% of the pairs.
LEAST_SHARE = 0.75
MOST_SHARE = 1.2
# Each host considers this many times the subset's size of its best-ranked pairs.
RANKED_FACTOR = 4
MAX_REGISTRARS = 2
_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


def choose_owner(key: str, names: Iterable[str]) -> str:
    """Return the one of several hosts or endpoints that keeps something, for all.

    Every host makes the same choice from the same names (rendezvous hashing); a name
    that comes or goes moves only what it keeps.

    Parameters
    ----------
    key : str
        What is kept.
    names : iterable of str
        At least one name.
    """
    return min(names, key=_create_ranking(key))


def choose_registrars(endpoint: str, failure_domains: Mapping[str, str]) -> list[str]:
    """Return the hosts that an endpoint sends its heartbeats to.

    The hosts are ranked by a hash of both names (rendezvous hashing), so a host
    that comes or goes moves only the endpoints that it serves.

    Parameters
    ----------
    endpoint : str
        The endpoint.
    failure_domains : mapping of str to str
        Failure domain of each eligible host.

    Returns
    -------
    list of str
        Up to `MAX_REGISTRARS` hosts, best first, in different failure domains
        where there are enough.
    """
    ranked = sorted(failure_domains, key=_create_ranking(endpoint))
    best_of_domain: dict[str, str] = {}
    for host in ranked:
        best_of_domain.setdefault(failure_domains[host], host)
    preferred = list(best_of_domain.values())
    others = [host for host in ranked if host not in preferred]
    return [*preferred, *others][:MAX_REGISTRARS]


def choose_subset(
    host: str, hosts: Collection[str], endpoints: Collection[str], size: int
) -> tuple[str, ...]:
    """Return the endpoints that a host sends requests to.

    Every host computes the same assignment from the same names, without
    messages.

    Parameters
    ----------
    host : str
        The host.
    hosts, endpoints : collection of str
        Names of the region's hosts, with `host`, and of its endpoints.
    size : int
        Wanted number of endpoints.

    Returns
    -------
    tuple of str
        Sorted names.
    """
    return assign_subsets(hosts, endpoints, size)[host]


def assign_subsets(
    hosts: Collection[str], endpoints: Collection[str], size: int
) -> dict[str, tuple[str, ...]]:
    """Return the subset of every host.

    Pairs of host and endpoint are ranked by a hash and taken in that order while
    both have room: first until each endpoint has its least share, then until the
    hosts are full. Each endpoint is in at least one subset.
    """
    host_names = sorted(set(hosts))
    endpoint_names = sorted(set(endpoints))
    size = min(size, len(endpoint_names))
    if not host_names or size == len(endpoint_names):
        return {host: tuple(endpoint_names) for host in host_names}
    chosen: dict[str, list[str]] = {host: [] for host in host_names}
    counts = dict.fromkeys(endpoint_names, 0)
    mean = size * len(host_names) / len(endpoint_names)
    pairs = _rank_pairs(host_names, endpoint_names, size)
    for limit in (math.floor(mean * LEAST_SHARE), math.ceil(mean * MOST_SHARE)):
        pairs = _take_pairs(pairs, chosen, counts, size, max(1, limit))
    _fill_hosts(chosen, counts, size)
    _cover_endpoints(chosen, counts)
    return {host: tuple(sorted(names)) for host, names in chosen.items()}


def _take_pairs(
    pairs: list[tuple[int, str, str]],
    chosen: dict[str, list[str]],
    counts: dict[str, int],
    size: int,
    limit: int,
) -> list[tuple[int, str, str]]:
    """Take the pairs for which both sides have room; return the others."""
    left = []
    for pair in pairs:
        _, host, endpoint = pair
        if len(chosen[host]) < size and counts[endpoint] < limit:
            chosen[host].append(endpoint)
            counts[endpoint] += 1
        else:
            left.append(pair)
    return left


def _rank_pairs(
    hosts: list[str], endpoints: list[str], size: int
) -> list[tuple[int, str, str]]:
    """Return each host's pairs with a low rank, in the order of the ranks."""
    share = min(1.0, RANKED_FACTOR * size / len(endpoints))
    bound = int(share * _MASK)
    host_keys = [(_hash_name(host), host) for host in hosts]
    endpoint_keys = [(_hash_name(endpoint), endpoint) for endpoint in endpoints]
    pairs = []
    for host_key, host in host_keys:
        for endpoint_key, endpoint in endpoint_keys:
            rank = _mix(host_key, endpoint_key)
            if rank <= bound:
                pairs.append((rank, host, endpoint))
    pairs.sort()
    return pairs


def _fill_hosts(
    chosen: dict[str, list[str]], counts: dict[str, int], size: int
) -> None:
    """Fill hosts whose ranked endpoints were full with the least used ones."""
    for host, names in chosen.items():
        missing = size - len(names)
        if missing <= 0:
            continue
        have = set(names)
        host_key = _hash_name(host)
        spare = sorted(
            (counts[name], _mix(host_key, _hash_name(name)), name)
            for name in counts
            if name not in have
        )
        for _, _, name in spare[:missing]:
            names.append(name)
            counts[name] += 1


def _cover_endpoints(chosen: dict[str, list[str]], counts: dict[str, int]) -> None:
    """Give each endpoint without a host to the host that ranks it best."""
    for endpoint, count in counts.items():
        if not count:
            chosen[choose_owner(endpoint, chosen)].append(endpoint)


def _create_ranking(key: str) -> Callable[[str], tuple[int, str]]:
    """Return the sort key of names by a hash of each with `key`."""
    hashed = _hash_name(key)
    return lambda name: (_mix(_hash_name(name), hashed), name)


def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _mix(first: int, second: int) -> int:
    """Return a 64-bit hash of a pair; the names' hashes are computed once."""
    value = ((first ^ (second >> 32) ^ (second << 32)) * _MULTIPLIER) & _MASK
    value ^= value >> 29
    value = (value * 0xBF58476D1CE4E5B9) & _MASK
    return value ^ (value >> 32)
