"""Abstract claim store and its memory form."""

import abc
import secrets
from collections.abc import Iterable

import msgspec

from buckthorndeal.ledger._claim_records import (
    ClaimSnapshot,
    Record,
    apply_payload,
    encode_snapshot,
)


class ClaimStore(abc.ABC):
    """Durable records of one replica.

    Records that were appended are durable after `sync` has returned. After an error
    of `sync` nothing is known of them, and the store refuses further work.
    """

    identity: str

    @abc.abstractmethod
    def load(self) -> ClaimSnapshot:
        """Return what the store held when it was opened."""

    @abc.abstractmethod
    def append(self, records: Iterable[Record]) -> None:
        """Add records to the next sync."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Make all appended records durable, with one write and one fsync."""

    @abc.abstractmethod
    def compact(self, snapshot: ClaimSnapshot) -> None:
        """Replace the content by `snapshot`, which contains every synced record."""

    @abc.abstractmethod
    def measure(self) -> int:
        """Return the size in bytes."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the store; records that are not synced are lost."""


class MemoryClaimStore(ClaimStore):
    """Store of a host without a disk; it ends with the process."""

    def __init__(self) -> None:
        self.identity = secrets.token_hex(8)
        self._synced: list[bytes] = []
        self._appended: list[Record] = []
        self._size = 0

    def load(self) -> ClaimSnapshot:
        """Return the synced content."""
        snapshot = ClaimSnapshot()
        for payload in self._synced:
            apply_payload(snapshot, payload)
        return snapshot

    def append(self, records: Iterable[Record]) -> None:
        """Add records to the next sync."""
        self._appended += records

    def sync(self) -> None:
        """Keep the appended records."""
        if self._appended:
            self._synced.append(msgspec.msgpack.encode(self._appended))
            self._size += len(self._synced[-1])
            self._appended = []

    def compact(self, snapshot: ClaimSnapshot) -> None:
        """Replace the content."""
        self._synced = list(encode_snapshot(self.identity, snapshot))
        self._size = sum(len(payload) for payload in self._synced)

    def measure(self) -> int:
        """Return the size in bytes."""
        return self._size

    def close(self) -> None:
        """Drop the records that are not synced."""
        self._appended = []
