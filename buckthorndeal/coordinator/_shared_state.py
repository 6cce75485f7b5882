"""State that entry hosts share through the coordinators."""

from dataclasses import dataclass

from buckthorndeal.coordinator._evidence import EvidenceRelay
from buckthorndeal.coordinator._quarantine_store import QuarantineStore
from buckthorndeal.coordinator._state_store import StateSaver
from buckthorndeal.coordinator._version_store import (
    VersionStore,
    create_memory_version_store,
)
from buckthorndeal.fleet import (
    EndpointHeartbeats,
    EndpointRecord,
    EvidenceUpdate,
    RateLimit,
    RateLimitUpdate,
    ServiceVersion,
    StreamOrigin,
    create_origin_table,
    create_rate_limit_table,
    create_version_table,
)
from buckthorndeal.quarantine import Evidence
from buckthorndeal.wire import Message


@dataclass(frozen=True)
class SharedNews:
    """Shared state to send.

    Parameters
    ----------
    evidence : Evidence
        Evidence on requests that crash endpoints.
    limits : tuple of RateLimit
        Rate limits that endpoints name.
    versions : tuple of ServiceVersion
        Software versions that serve.
    """

    evidence: Evidence
    limits: tuple[RateLimit, ...]
    versions: tuple[ServiceVersion, ...]

    def __bool__(self) -> bool:
        return bool(self.evidence or self.limits or self.versions)

    def create_messages(self, region: str | None = None) -> list[Message]:
        """Return the messages for the entry hosts of a region, or for coordinators."""
        messages: list[Message] = []
        if self.evidence:
            messages.append(EvidenceUpdate(self.evidence))
        limits = tuple(limit for limit in self.limits if region in (None, limit.region))
        if limits:
            messages.append(RateLimitUpdate(limits))
        # Coordinators tell each other of versions with their heartbeats.
        if self.versions and region is not None:
            messages.append(EndpointHeartbeats((), (), self.versions))
        return messages


class SharedState:
    """Merges what entry hosts share, and collects what is new.

    Parameters
    ----------
    store : QuarantineStore
        Keeps the decisions on requests that crash endpoints.
    now_s : float
        Clock reading.
    version_store : VersionStore, optional
        Keeps the versions that serve; by default they are lost with the process.
    """

    def __init__(
        self,
        store: QuarantineStore,
        now_s: float,
        version_store: VersionStore | None = None,
    ) -> None:
        self._evidence = EvidenceRelay(store, now_s)
        self._rate_limits = create_rate_limit_table()
        self._new_limits: list[RateLimit] = []
        version_store = version_store or create_memory_version_store()
        self._version_saver = StateSaver(version_store, "versions")
        self._versions = create_version_table()
        # They may have served until just before this process started.
        self._versions.merge(version_store.load(), now_s)
        self._saved_versions: set[tuple[str, str]] = set()
        self._new_versions: list[ServiceVersion] = []
        self._origins = create_origin_table()

    def receive_evidence(self, evidence: Evidence, now_s: float) -> None:
        """Merge the evidence of a host."""
        self._evidence.receive(evidence, now_s)

    def receive_rate_limits(self, limits: tuple[RateLimit, ...], now_s: float) -> None:
        """Merge the rate limits that a host has learned."""
        self._new_limits.extend(self._rate_limits.merge(limits, now_s))

    def record_heartbeat(self, record: EndpointRecord, now_s: float) -> None:
        """Take note of the version of an endpoint that serves."""
        if record.version:
            self.receive_versions(
                (ServiceVersion(record.service, record.version),), now_s
            )

    def receive_versions(
        self, versions: tuple[ServiceVersion, ...], now_s: float
    ) -> None:
        """Merge the versions that another coordinator has seen."""
        new = self._versions.merge(versions, now_s)
        if new:
            self._new_versions.extend(new)
            self._keep_versions(now_s)

    def receive_origins(self, origins: tuple[StreamOrigin, ...], now_s: float) -> None:
        """Keep the origins of streams at a host."""
        self._origins.merge(origins, now_s)

    def export_versions(self, now_s: float) -> tuple[ServiceVersion, ...]:
        """Return the versions that serve."""
        return self._versions.export(now_s)

    def find_origin(self, stream: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None."""
        return self._origins.find(stream)

    def export(self, now_s: float) -> SharedNews:
        """Return all that hosts have to know; they ask for the origins of streams."""
        return SharedNews(
            self._evidence.export(now_s),
            self._rate_limits.export(),
            self._versions.export(now_s),
        )

    def take_new(self, now_s: float) -> SharedNews:
        """Return what was new since the last call."""
        limits, self._new_limits = tuple(self._new_limits), []
        versions, self._new_versions = tuple(self._new_versions), []
        return SharedNews(self._evidence.take_new(now_s), limits, versions)

    def expire(self, now_s: float) -> None:
        """Forget what is old."""
        self._evidence.expire(now_s)
        self._rate_limits.expire(now_s)
        self._versions.expire(now_s)
        self._keep_versions(now_s)
        self._origins.expire(now_s)

    async def save(self) -> None:
        """Save what has to survive this process, without blocking other tasks."""
        await self._evidence.save()
        await self._version_saver.save()

    def _keep_versions(self, now_s: float) -> None:
        """Have the versions saved if there are others than before."""
        known = self._versions.export(now_s)
        names = {(each.service, each.version) for each in known}
        if names != self._saved_versions:
            self._saved_versions = names
            # Without ages, which say nothing after a restart.
            self._version_saver.put(
                tuple(ServiceVersion(*name) for name in sorted(names))
            )
