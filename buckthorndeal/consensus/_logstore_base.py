"""Abstract log store and the state that it holds."""

import abc
from dataclasses import dataclass, field

from buckthorndeal.consensus._records import Ballot, Entry, Snapshot


@dataclass
class StoredState:
    """Content of a store; the entries follow the snapshot without a gap."""

    ballot: Ballot = field(default_factory=Ballot)
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)


class LogStore(abc.ABC):
    """Store of one replica's ballot, snapshot and entries."""

    @property
    @abc.abstractmethod
    def incarnation(self) -> int:
        """Number that identifies the store, chosen when it is created; not zero."""

    @property
    @abc.abstractmethod
    def durable(self) -> bool:
        """Whether synced writes survive a crash of the process or the host."""

    @abc.abstractmethod
    def load(self) -> StoredState:
        """Return a copy of the content."""

    @abc.abstractmethod
    def save_ballot(self, ballot: Ballot) -> None:
        """Replace the ballot; it is durable on return."""

    @abc.abstractmethod
    def append(self, entries: list[Entry]) -> None:
        """Append entries; they are durable after `sync`."""

    @abc.abstractmethod
    def truncate(self, first_index: int) -> None:
        """Remove the entries from `first_index` on; durable after `sync`."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Make all earlier writes durable."""

    @abc.abstractmethod
    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the snapshot and remove the entries that do not follow it.

        The change is durable on return.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Release files; the store cannot be used afterwards."""
