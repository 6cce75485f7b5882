"""In-memory log of one replica, written through to its store."""

from buckthorndeal.consensus._records import (
    Entry,
    EntryKind,
    Membership,
    Snapshot,
    decode_membership,
    select_suffix,
)
from buckthorndeal.consensus.logstore import LogStore


class ReplicaLog:
    """Entries after the snapshot and the membership in force at each entry.

    Parameters
    ----------
    store : LogStore
        Store that the log is loaded from and written to.
    """

    def __init__(self, store: LogStore) -> None:
        self._store = store
        state = store.load()
        self.snapshot = state.snapshot
        self._entries = state.entries
        self._rebuild_memberships()

    @property
    def first_index(self) -> int:
        """Index of the first entry that is not covered by the snapshot."""
        return self.base_index + 1

    @property
    def base_index(self) -> int:
        """Index of the last entry that the snapshot covers; 0 without a snapshot."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.term if self.snapshot else 0

    @property
    def membership(self) -> Membership:
        """Latest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that contains the latest membership."""
        return self._memberships[-1][0]

    def get_term(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it is not known."""
        if index == self.base_index:
            return self.snapshot.term if self.snapshot else 0
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def get_membership(self, index: int) -> Membership:
        """Return the membership in force at `index`."""
        in_force = [membership for at, membership in self._memberships if at <= index]
        return in_force[-1]

    def read(self, first: int, last: int) -> list[Entry]:
        """Return the entries from `first` to `last`, both included."""
        base = self.first_index
        return self._entries[first - base : last + 1 - base]

    def read_batch(self, first: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `first` on.

        Entries are added until their data has at least `max_bytes`. The result is
        empty only if the log ends before `first`.
        """
        size = 0
        position = first - self.first_index
        end = position
        while end < len(self._entries) and (end == position or size < max_bytes):
            size += len(self._entries[end].data)
            end += 1
        return tuple(self._entries[position:end])

    def append(self, entries: list[Entry]) -> None:
        """Append entries and sync the store."""
        self._store.append(entries)
        self._entries.extend(entries)
        for entry in entries:
            if entry.kind is EntryKind.MEMBERSHIP:
                membership = decode_membership(entry.data)
                self._memberships.append((entry.index, membership))
        # Callers acknowledge these entries or count them towards a majority, so they
        # must be durable on return.
        self._store.sync()

    def truncate(self, first_index: int) -> None:
        """Remove the entries from `first_index` on without a sync.

        The `append` that follows syncs the store.
        """
        self._store.truncate(first_index)
        del self._entries[first_index - self.first_index :]
        while self.membership_index >= first_index:
            self._memberships.pop()

    def replace_snapshot(self, snapshot: Snapshot) -> None:
        """Store `snapshot` and remove the entries that do not follow it."""
        self._store.save_snapshot(snapshot)
        self._entries = select_suffix(snapshot, self._entries)
        self.snapshot = snapshot
        self._rebuild_memberships()

    def _rebuild_memberships(self) -> None:
        base = self.snapshot.membership if self.snapshot else Membership()
        self._memberships = [(self.base_index, base)]
        for entry in self._entries:
            if entry.kind is EntryKind.MEMBERSHIP:
                membership = decode_membership(entry.data)
                self._memberships.append((entry.index, membership))
