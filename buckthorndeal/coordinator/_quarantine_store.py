"""Decisions on crashing requests that survive the end of all processes."""

from buckthorndeal.coordinator._state_store import (
    DiskStateStore,
    MemoryStateStore,
    StateStore,
)
from buckthorndeal.quarantine import QuarantineDecision

FILE_NAME = "quarantine"

QuarantineStore = StateStore[QuarantineDecision]


def create_memory_quarantine_store() -> QuarantineStore:
    """Return an empty store in memory."""
    return MemoryStateStore()


def create_disk_quarantine_store(directory: str) -> QuarantineStore:
    """Return a store in a directory, which may not exist yet."""
    return DiskStateStore(directory, FILE_NAME, QuarantineDecision)
