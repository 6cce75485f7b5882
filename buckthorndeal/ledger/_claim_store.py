"""Abstract claim store and an implementation in memory."""

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

    Appended records are durable once `sync` has returned. When `sync` fails, it is
    unknown whether they are, and the store refuses further use.
    """

    identity: str

    @abc.abstractmethod
    def load(self) -> ClaimSnapshot:
        """Return the content that was synced before the store was opened."""

    @abc.abstractmethod
    def append(self, records: Iterable[Record]) -> None:
        """Add records to the next sync."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Make all appended records durable, with one write and one fsync."""

    @abc.abstractmethod
    def compact(self, snapshot: ClaimSnapshot) -> None:
        """Replace the content with `snapshot`, which includes every synced record."""

    @abc.abstractmethod
    def get_size(self) -> int:
        """Return the size in bytes."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the store; records that are not synced are lost."""


class MemoryClaimStore(ClaimStore):
    """Claim store of a host without a disk; its content is lost with the process."""

    def __init__(self) -> None:
        self.identity = secrets.token_hex(8)
        self._synced: list[bytes] = []
        self._appended: list[Record] = []
        self._size = 0

    def load(self) -> ClaimSnapshot:
        """Return the content that was synced."""
        snapshot = ClaimSnapshot()
        for payload in self._synced:
            apply_payload(snapshot, payload)
        return snapshot

    def append(self, records: Iterable[Record]) -> None:
        """Add records to the next sync."""
        self._appended += records

    def sync(self) -> None:
        """Encode and store the appended records."""
        if self._appended:
            self._synced.append(msgspec.msgpack.encode(self._appended))
            self._size += len(self._synced[-1])
            self._appended = []

    def compact(self, snapshot: ClaimSnapshot) -> None:
        """Replace the content with `snapshot`."""
        self._synced = list(encode_snapshot(self.identity, snapshot))
        self._size = sum(len(payload) for payload in self._synced)

    def get_size(self) -> int:
        """Return the size in bytes."""
        return self._size

    def close(self) -> None:
        """Discard the records that are not synced."""
        self._appended = []
