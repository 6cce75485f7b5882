"""Table of the entry hosts that report to one coordinator; no I/O."""

from collections.abc import Iterator
from dataclasses import dataclass

from buckthorndeal.fleet import (
    HEARTBEAT_TIMEOUT_S,
    ControlHost,
    EntryHost,
    EntryHostChanges,
    EntryHostLiveness,
    EntryHosts,
)
from buckthorndeal.peers import Channel

ENTRY_HOST_RETENTION_S = 30.0


@dataclass(eq=False)
class KnownEntryHost:
    """Entry host, its connection, and what was last sent over it.

    Parameters
    ----------
    host : EntryHost
        Last record of the host.
    channel : Channel
        Connection over which it was received.
    last_heartbeat_s : float
        Clock reading at the last heartbeat.
    initialized_channel : Channel or None
        Connection over which the host was sent the whole state, if any.
    sent_coordinators : tuple of ControlHost
        Coordinators that it was last told of.
    """

    host: EntryHost
    channel: Channel
    last_heartbeat_s: float
    initialized_channel: Channel | None = None
    sent_coordinators: tuple[ControlHost, ...] = ()


class EntryTable:
    """Entry hosts by name, and the list of live ones that was last published.

    Entry hosts are sent the whole list once for each connection, and then only its
    changes: what one change costs must not grow with the number of hosts squared.
    """

    def __init__(self) -> None:
        self._entries: dict[str, KnownEntryHost] = {}
        self._published: dict[str, EntryHost] = {}

    def __iter__(self) -> Iterator[KnownEntryHost]:
        return iter(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, host: str) -> KnownEntryHost | None:
        """Return an entry host, or None if it is unknown."""
        return self._entries.get(host)

    def add(self, host: EntryHost, channel: Channel, now_s: float) -> KnownEntryHost:
        """Add an entry host, or replace it after it has connected again."""
        entry = KnownEntryHost(host, channel, now_s)
        self._entries[host.host] = entry
        return entry

    def remove_expired(self, now_s: float) -> None:
        """Remove the hosts that have been silent for long."""
        for host, entry in list(self._entries.items()):
            if now_s - entry.last_heartbeat_s > ENTRY_HOST_RETENTION_S:
                del self._entries[host]

    def list_liveness(self, now_s: float) -> list[EntryHostLiveness]:
        """Return all hosts with their connection state and silence."""
        return [
            EntryHostLiveness(
                entry.host, entry.channel.connected, now_s - entry.last_heartbeat_s
            )
            for entry in self._entries.values()
        ]

    def create_published_list(self) -> EntryHosts:
        """Return the list on which the next changes build."""
        return EntryHosts(tuple(self._published.values()))

    def take_changes(self, now_s: float) -> EntryHostChanges | None:
        """Return the changes in the live hosts since the last call, or None."""
        before = self._published
        alive = {
            each.entry.host: each.entry
            for each in self.list_liveness(now_s)
            if each.connected and each.silent_s < HEARTBEAT_TIMEOUT_S
        }
        changed = tuple(
            entry for host, entry in alive.items() if before.get(host) != entry
        )
        removed = tuple(host for host in before if host not in alive)
        self._published = alive
        return EntryHostChanges(changed, removed) if changed or removed else None
