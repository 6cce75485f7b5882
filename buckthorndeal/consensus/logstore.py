"""Log stores: the abstract store and its implementations in memory and on disk."""

import random

from buckthorndeal.consensus._logstore_base import LogStore, StoredState
from buckthorndeal.consensus._logstore_disk import DiskLogStore
from buckthorndeal.consensus._records import Ballot, Entry, Snapshot, select_suffix

__all__ = [
    "LogStore",
    "MemoryLogStore",
    "StoredState",
    "create_disk_log_store",
    "create_memory_log_store",
]

INCARNATION_BITS = 63


class MemoryLogStore(LogStore):
    """Log store of a host without a disk.

    Parameters
    ----------
    incarnation : int
        Number that identifies this store; not zero.
    """

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._state = StoredState()

    @property
    def incarnation(self) -> int:
        """Number that identifies the store."""
        return self._incarnation

    @property
    def durable(self) -> bool:
        """False, because the content is lost with the process."""
        return False

    def load(self) -> StoredState:
        """Return a copy of the content."""
        state = self._state
        return StoredState(state.ballot, state.snapshot, list(state.entries))

    def save_ballot(self, ballot: Ballot) -> None:
        """Replace the ballot."""
        self._state.ballot = ballot

    def append(self, entries: list[Entry]) -> None:
        """Append entries."""
        self._state.entries.extend(entries)

    def truncate(self, first_index: int) -> None:
        """Remove the entries from `first_index` on."""
        entries = self._state.entries
        if entries:
            del entries[max(0, first_index - entries[0].index) :]

    def sync(self) -> None:
        """Do nothing; there is no disk to write to."""

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot and remove the entries that do not follow it."""
        self._state.entries = select_suffix(snapshot, self._state.entries)
        self._state.snapshot = snapshot

    def close(self) -> None:
        """Do nothing; there are no files to release."""


def create_incarnation(rng: random.Random) -> int:
    """Return a random non-zero incarnation."""
    return rng.getrandbits(INCARNATION_BITS) | 1


def create_memory_log_store(rng: random.Random) -> LogStore:
    """Create an empty store whose content is lost with the process.

    Parameters
    ----------
    rng : random.Random
        Source of the incarnation; `random.SystemRandom` in production.
    """
    return MemoryLogStore(create_incarnation(rng))


def create_disk_log_store(directory: str, rng: random.Random) -> LogStore:
    """Open the store in `directory`, or create an empty one there.

    Parameters
    ----------
    directory : str
        Data directory of this replica; created if it does not exist.
    rng : random.Random
        Source of the incarnation of a new store; `random.SystemRandom` in
        production.

    Raises
    ------
    CorruptStoreError
        If a file is missing or damaged, other than by an incomplete write at the
        end of the log.
    StoreError
        If the directory cannot be used or another process has locked it.
    """
    return DiskLogStore(directory, create_incarnation(rng))
