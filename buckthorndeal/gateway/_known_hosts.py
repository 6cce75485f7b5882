"""Entry hosts that share endpoints and budgets with this one; no I/O.

What is divided among hosts must not grow because a host hears less of the others. So a
host counts until the coordinators, and not only a few of them, know that it is gone.
"""

from buckthorndeal.fleet import EntryHost, EntryState
from buckthorndeal.gateway._entry_hosts import EntryHostLists
from buckthorndeal.gateway._fleet_messages import (
    FleetChanged,
)


class KnownEntryHosts:
    """Entry hosts that are listed, or were listed and are not known to be gone.

    Parameters
    ----------
    lists : EntryHostLists
        Lists of the connected coordinators.
    """

    def __init__(self, lists: EntryHostLists) -> None:
        self._lists = lists
        self._hosts: dict[str, EntryHost] = {}
        self._kept: tuple[str, ...] = ()
        self._confirmed_s: float | None = None

    @property
    def hosts(self) -> tuple[EntryHost, ...]:
        """The hosts, sorted by name."""
        return tuple(self._hosts[host] for host in sorted(self._hosts))

    @property
    def kept(self) -> tuple[str, ...]:
        """Names of those that no connected coordinator lists."""
        return self._kept

    @property
    def is_cut_off(self) -> bool:
        """Whether no coordinator tells this host which hosts there are."""
        return not self._lists.coordinators

    @property
    def is_confirmed(self) -> bool:
        """Whether a majority of the coordinators has ever told the whole list."""
        return self._confirmed_s is not None

    def get_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the list was last complete; None if it never was."""
        return None if self._confirmed_s is None else now_s - self._confirmed_s

    def update(self, coordinators: int, now_s: float) -> None:
        """Apply the lists as they are now.

        Parameters
        ----------
        coordinators : int
            Number of known coordinators, connected or not.
        now_s : float
            Clock reading.
        """
        found = {entry.host: entry for entry in self._lists.list_all()}
        if self._lists.are_complete(coordinators, now_s):
            self._hosts = found
            self._confirmed_s = now_s
        else:
            self._hosts = {**self._hosts, **found}
        self._kept = tuple(host for host in sorted(self._hosts) if host not in found)


def describe_fleet(
    known: KnownEntryHosts, own: EntryHost, evacuated: frozenset[str]
) -> FleetChanged:
    """Return the fleet as one host sees it.

    Parameters
    ----------
    known : KnownEntryHosts
        All entry hosts that are not known to be gone.
    own : EntryHost
        This host.
    evacuated : frozenset of str
        Evacuated failure domains.
    """
    others = [entry for entry in known.hosts if entry.host != own.host]
    ready = [entry for entry in others if entry.state is EntryState.READY]
    in_region = [entry for entry in ready if entry.region == own.region]
    sharing = [entry.host for entry in in_region]
    if own.state is EntryState.READY or not sharing:
        sharing.append(own.host)
    all_ready = [each.host for each in known.hosts if each.state is EntryState.READY]
    relays = [entry for entry in in_region if entry.reaches_endpoints]
    listed_relays = [entry for entry in relays if entry.host not in known.kept]
    return FleetChanged(
        region_hosts=tuple(sorted(sharing)),
        total_hosts=len(others) + 1,
        evacuated=evacuated,
        ready_hosts=() if known.is_cut_off else tuple(all_ready),
        relay_hosts=tuple(entry.host for entry in listed_relays or relays),
        is_confirmed=known.is_confirmed,
        cut_off_hosts=tuple(
            entry.host for entry in others if not entry.reaches_endpoints
        ),
    )
