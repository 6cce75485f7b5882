"""Choice of the entry hosts that a caller is told to use; no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from buckthorndeal.fleet import EntryHost, EntryState

MAX_ADDRESSES = 64


@dataclass(frozen=True)
class EntryView:
    """An entry host and the age of what is known of it.

    Parameters
    ----------
    connected : bool
        Whether its link is open.
    silent_s : float
        Time since its last heartbeat.
    """

    entry: EntryHost
    connected: bool
    silent_s: float


# A heartbeat comes every second.
SILENCE_S = 2.5
# When every entry host seems lost at once, this host is more likely to be cut off.
LAST_KNOWN_S = 10.0


def choose_entry_hosts(
    views: Iterable[EntryView], region: str, failure_domain: str
) -> list[EntryHost]:
    """Return the entry hosts for a caller, all of them equally good.

    Callers spread over all that are named. Hosts of the caller's failure domain are
    named alone where there are any, then those of its region, then all others.

    Parameters
    ----------
    views : iterable of EntryView
        Known entry hosts.
    region, failure_domain : str
        Place of the caller; empty if unknown.
    """
    known = [view for view in views if view.entry.state is EntryState.READY]
    alive = [view for view in known if view.connected and view.silent_s < SILENCE_S]
    if not alive:
        alive = [view for view in known if view.silent_s < LAST_KNOWN_S]
    entries = [view.entry for view in alive]
    near = [entry for entry in entries if entry.failure_domain == failure_domain]
    if not near:
        near = [entry for entry in entries if entry.region == region]
    return (near or entries)[:MAX_ADDRESSES]
