"""Software versions of endpoints that survive the end of all coordinators."""

from buckthorndeal.coordinator._state_store import (
    DiskStateStore,
    MemoryStateStore,
    StateStore,
)
from buckthorndeal.fleet import ServiceVersion

FILE_NAME = "versions"

VersionStore = StateStore[ServiceVersion]


def create_memory_version_store() -> VersionStore:
    """Return an empty store in memory."""
    return MemoryStateStore()


def create_disk_version_store(directory: str) -> VersionStore:
    """Return a store in a directory, which may not exist yet."""
    return DiskStateStore(directory, FILE_NAME, ServiceVersion)
