"""Selection of the entry hosts that the directory returns to callers; no I/O.

Coordinators use it to respond to callers, and a draining entry host to check whether
callers are still directed to it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from buckthorndeal.configuration import Configuration
from buckthorndeal.fleet._messages import EntryHost, EntryState

MAX_ADDRESSES = 64


@dataclass(frozen=True)
class EntryHostLiveness:
    """An entry host with the state of its link and its last heartbeat.

    Parameters
    ----------
    connected : bool
        Whether the link to the host is open.
    silent_s : float
        Time since the last heartbeat.
    """

    entry: EntryHost
    connected: bool
    silent_s: float


# Heartbeats are sent every second.
HEARTBEAT_TIMEOUT_S = 2.5
# Used if all entry hosts seem lost, as this host is then more likely to be isolated.
ISOLATED_TIMEOUT_S = 10.0


def count_home_routes(configuration: Configuration) -> dict[str, dict[str, int]]:
    """Return the number of routes per home region, for each virtual host name.

    Host names without any home region are left out.
    """
    home_route_counts: dict[str, dict[str, int]] = {}
    for route in configuration.routes:
        regions = home_route_counts.setdefault(route.host, {})
        for region in route.home_regions:
            regions[region] = regions.get(region, 0) + 1
    return {host: regions for host, regions in home_route_counts.items() if regions}


def count_home_workspaces(configuration: Configuration) -> dict[str, dict[str, int]]:
    """Return the home regions of workspaces, in the form of `count_home_routes`.

    Each set of home regions occurs once, under its names. The directory does not know
    the workspace of a caller, but a draining host has to know for whom it may be the
    last one of its region.
    """
    home_sets = {each.home_regions for each in configuration.workspaces}
    return {
        f"workspaces of {','.join(sorted(regions))}": dict.fromkeys(regions, 1)
        for regions in home_sets
        if regions
    }


def choose_entry_hosts(
    hosts: Iterable[EntryHostLiveness],
    region: str,
    failure_domain: str,
    home_route_counts: Mapping[str, int] | None = None,
) -> list[EntryHost]:
    """Return the entry hosts for a caller, which distributes its requests over them.

    The result is the first of these groups that is not empty: ready hosts of the
    failure domain; of the region; of the region and the home regions of most routes of
    the host name; if there are home regions, draining hosts of these regions, which
    still serve for a short time; all ready hosts; all draining hosts. Within the
    region, hosts that reach its endpoints come first; the others pass requests on.

    Parameters
    ----------
    hosts : iterable of EntryHostLiveness
        Known entry hosts.
    region, failure_domain : str
        Location of the caller; empty if unknown.
    home_route_counts : mapping of str to int
        Number of routes of the host name with each region as home.
    """
    entries = _list_alive(list(hosts))
    ready = [each for each in entries if each.state is EntryState.READY]
    draining = [each for each in entries if each.state is EntryState.DRAINING]
    preferred = _list_home_regions(entries, home_route_counts or {}) | {region}
    able = [each for each in ready if each.reaches_endpoints]
    groups = (
        [each for each in able if each.failure_domain == failure_domain],
        [each for each in able if each.region == region],
        [each for each in ready if each.failure_domain == failure_domain],
        [each for each in ready if each.region == region],
        [each for each in ready if each.region in preferred],
        [each for each in draining if home_route_counts and each.region in preferred],
        ready,
        draining,
    )
    return next((group for group in groups if group), [])[:MAX_ADDRESSES]


def is_advertised(
    host: str,
    entries: Iterable[EntryHost],
    home_route_counts: Mapping[str, Mapping[str, int]],
) -> bool:
    """Return whether the directory directs callers of any region to a draining host.

    Only callers of routes with home regions are considered, and those of workspaces,
    whose requests other hosts pass on to it.

    Parameters
    ----------
    host : str
        The draining host.
    entries : iterable of EntryHost
        All entry hosts that are alive.
    home_route_counts : mapping of str to mapping
        Results of `count_home_routes` and `count_home_workspaces` together.
    """
    entries = list(entries)
    hosts = [
        EntryHostLiveness(entry, connected=True, silent_s=0.0) for entry in entries
    ]
    locations = {(entry.region, entry.failure_domain) for entry in entries}
    # Many host names have the same home regions.
    distinct_counts = {
        frozenset(counts.items()): counts for counts in home_route_counts.values()
    }
    return any(
        host in (entry.host for entry in choose_entry_hosts(hosts, *location, counts))
        for location in locations
        for counts in distinct_counts.values()
    )


def _list_alive(hosts: list[EntryHostLiveness]) -> list[EntryHost]:
    alive = [
        host for host in hosts if host.connected and host.silent_s < HEARTBEAT_TIMEOUT_S
    ]
    if not alive:
        alive = [host for host in hosts if host.silent_s < ISOLATED_TIMEOUT_S]
    return [host.entry for host in alive]


def _list_home_regions(
    entries: list[EntryHost], home_route_counts: Mapping[str, int]
) -> set[str]:
    """Return the home regions of most routes, among the regions with entry hosts."""
    counts = {entry.region: home_route_counts.get(entry.region, 0) for entry in entries}
    most = max(counts.values(), default=0)
    return {region for region, count in counts.items() if most and count == most}
