"""Software versions that serve in each service, as seen by all hosts; no I/O."""

from collections.abc import Iterable

import msgspec

# Longer than any stream, so that a stream of a version is over once it is forgotten.
RETENTION_S = 60.0
# Age from which a newer report is passed on, so that no host forgets a version in use.
REFRESH_S = 20.0
MAX_VERSIONS = 1024


class ServiceVersion(msgspec.Struct, frozen=True, array_like=True):
    """Software version of endpoints of a service.

    Parameters
    ----------
    service, version : str
        The service and the version.
    age_s : float
        Seconds since the last heartbeat of such an endpoint; ages stand in for clocks,
        which differ.
    """

    service: str
    version: str
    age_s: float = 0.0


class VersionTable:
    """When a heartbeat last named each version of each service."""

    def __init__(self) -> None:
        self._seen_s: dict[tuple[str, str], float] = {}

    def merge(
        self, versions: Iterable[ServiceVersion], now_s: float
    ) -> tuple[ServiceVersion, ...]:
        """Add reports; return those that other hosts have to learn."""
        return tuple(each for each in versions if self._merge(each, now_s))

    def list_versions(self, service: str, now_s: float) -> list[str]:
        """Return the versions of a service that streams may hold events of."""
        return [
            version
            for (name, version), seen_s in self._seen_s.items()
            if name == service and now_s - seen_s < RETENTION_S
        ]

    def list_services(self) -> set[str]:
        """Return all services."""
        return {service for service, _ in self._seen_s}

    def export(self, now_s: float) -> tuple[ServiceVersion, ...]:
        """Return all that is known."""
        return tuple(
            ServiceVersion(service, version, now_s - seen_s)
            for (service, version), seen_s in self._seen_s.items()
        )

    def expire(self, now_s: float) -> None:
        """Forget versions that nobody has seen of late."""
        for key, seen_s in list(self._seen_s.items()):
            if now_s - seen_s >= RETENTION_S:
                del self._seen_s[key]

    def _merge(self, report: ServiceVersion, now_s: float) -> bool:
        """Add a report; return whether it tells of a version anew."""
        key = (report.service, report.version)
        seen_s = now_s - report.age_s
        known_s = self._seen_s.get(key)
        if report.age_s >= RETENTION_S or (known_s is not None and known_s >= seen_s):
            return False
        if known_s is None and len(self._seen_s) >= MAX_VERSIONS:
            del self._seen_s[next(iter(self._seen_s))]
        if known_s is not None and seen_s - known_s < REFRESH_S:
            return False
        self._seen_s[key] = seen_s
        return True


def create_version_table() -> VersionTable:
    """Return a table without versions."""
    return VersionTable()
