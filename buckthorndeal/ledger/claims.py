"""Stores of the claim ledger, in memory and on disk, and their records."""

from buckthorndeal.ledger._claim_disk import DiskClaimStore
from buckthorndeal.ledger._claim_records import (
    FINGERPRINT_BYTES,
    ClaimEntry,
    ClaimSnapshot,
    FingerprintSet,
    LedgerView,
    ViewRecord,
)
from buckthorndeal.ledger._claim_store import ClaimStore, MemoryClaimStore

__all__ = [
    "FINGERPRINT_BYTES",
    "ClaimEntry",
    "ClaimSnapshot",
    "ClaimStore",
    "DiskClaimStore",
    "FingerprintSet",
    "LedgerView",
    "MemoryClaimStore",
    "ViewRecord",
    "open_disk_claim_store",
    "open_memory_claim_store",
]


def open_memory_claim_store() -> MemoryClaimStore:
    """Return an empty store with a new identity."""
    return MemoryClaimStore()


def open_disk_claim_store(directory: str) -> DiskClaimStore:
    """Open or create the store in `directory`.

    Raises
    ------
    CorruptStoreError
        If a frame other than the last one is damaged, or the file has no header or
        no identity.
    """
    return DiskClaimStore(directory)
