"""Entry hosts of all regions, as listed by each coordinator; no I/O."""

from collections.abc import Iterable

from buckthorndeal.fleet import EntryHost, EntryHostChanges

# A coordinator that has just started lists entry hosts as they connect to it.
LIST_SETTLING_S = 2.0


class EntryHostLists:
    """Lists of entry hosts, one for each connected coordinator.

    The lists differ while regions cannot reach each other.
    """

    def __init__(self) -> None:
        self._lists: dict[str, dict[str, EntryHost]] = {}
        self._first_listed_s: dict[str, float] = {}

    def replace(
        self, coordinator: str, entries: Iterable[EntryHost], now_s: float
    ) -> None:
        """Store the complete list of a coordinator."""
        self._lists[coordinator] = {entry.host: entry for entry in entries}
        self._first_listed_s.setdefault(coordinator, now_s)

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
        self._first_listed_s.pop(coordinator, None)

    def are_complete(self, coordinators: int, now_s: float) -> bool:
        """Return whether a host that is in no list is gone.

        Parameters
        ----------
        coordinators : int
            Number of known coordinators; more than half of them have to be connected,
            for `LIST_SETTLING_S` or longer.
        now_s : float
            Clock reading.
        """
        settled = sum(
            now_s - since_s >= LIST_SETTLING_S
            for since_s in self._first_listed_s.values()
        )
        return 2 * settled > coordinators

    @property
    def coordinators(self) -> tuple[str, ...]:
        """The connected coordinators that have sent their lists."""
        return tuple(self._lists)

    def list_all(self) -> tuple[EntryHost, ...]:
        """Return the entry hosts that at least one coordinator reports as alive."""
        found: dict[str, EntryHost] = {}
        for entries in self._lists.values():
            found.update(entries)
        return _sort_by_host(found)

    def list_by_coordinator(self) -> tuple[tuple[EntryHost, ...], ...]:
        """Return the list of each coordinator."""
        return tuple(_sort_by_host(entries) for entries in self._lists.values())


def _sort_by_host(entries: dict[str, EntryHost]) -> tuple[EntryHost, ...]:
    return tuple(entries[host] for host in sorted(entries))
