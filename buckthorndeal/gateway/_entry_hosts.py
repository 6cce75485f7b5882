"""Entry hosts of all regions, as listed by each coordinator; no I/O."""

from collections.abc import Iterable

from buckthorndeal.fleet import EntryHost, EntryHostChanges, EntryState
from buckthorndeal.gateway._messages import FleetChanged


class EntryHostLists:
    """Lists of entry hosts, one for each connected coordinator.

    The lists differ while regions cannot reach each other.
    """

    def __init__(self) -> None:
        self._lists: dict[str, dict[str, EntryHost]] = {}

    def replace(self, coordinator: str, entries: Iterable[EntryHost]) -> None:
        """Store the complete list of a coordinator."""
        self._lists[coordinator] = {entry.host: entry for entry in entries}

    def apply(self, coordinator: str, changes: EntryHostChanges) -> None:
        """Apply changes to the list of a coordinator.

        Changes of a connection that is lost, with its list, are ignored.
        """
        entries = self._lists.get(coordinator)
        if entries is None:
            return
        entries.update((entry.host, entry) for entry in changes.changed)
        for host in changes.removed:
            entries.pop(host, None)

    def drop(self, coordinator: str) -> None:
        """Remove the list of a coordinator that is not connected."""
        self._lists.pop(coordinator, None)

    def list_all(self) -> tuple[EntryHost, ...]:
        """Return the entry hosts that at least one coordinator reports as alive."""
        found: dict[str, EntryHost] = {}
        for entries in self._lists.values():
            found.update(entries)
        return _sort_by_host(found)

    def list_by_coordinator(self) -> tuple[tuple[EntryHost, ...], ...]:
        """Return the list of each coordinator."""
        return tuple(_sort_by_host(entries) for entries in self._lists.values())


def describe_fleet(
    entries: Iterable[EntryHost],
    own_host: str,
    region: str,
    evacuated: frozenset[str],
) -> FleetChanged:
    """Return the fleet as one host sees it.

    Parameters
    ----------
    entries : iterable of EntryHost
        Entry hosts that are alive.
    own_host, region : str
        This host and its region.
    evacuated : frozenset of str
        Evacuated failure domains.
    """
    entries = list(entries)
    ready = [entry for entry in entries if entry.state is EntryState.READY]
    in_region = [entry for entry in ready if entry.region == region]
    relay_hosts = tuple(
        entry.host
        for entry in in_region
        if entry.reaches_endpoints and entry.host != own_host
    )
    return FleetChanged(
        tuple(entry.host for entry in in_region) or (own_host,),
        max(1, len(entries)),
        evacuated,
        tuple(entry.host for entry in ready),
        relay_hosts,
    )


def _sort_by_host(entries: dict[str, EntryHost]) -> tuple[EntryHost, ...]:
    return tuple(entries[host] for host in sorted(entries))
