"""Software versions at which streams have begun and may continue; no I/O.

What two versions of an endpoint's software write does not fit together, so a stream
continues only at the version that began it. While one version serves, that is known
without any record of the stream.
"""

import math
from collections.abc import Collection, Iterable

from buckthorndeal.configuration import RequestKind, Route
from buckthorndeal.fleet import (
    EndpointRecord,
    ServiceVersion,
    StreamOrigin,
    create_origin_table,
    create_version_table,
    digest_stream,
)
from buckthorndeal.gateway._messages import Call
from buckthorndeal.gateway._open_streams import create_open_streams
from buckthorndeal.gateway._recent_splits import RecentSplits
from buckthorndeal.gateway._shared_messages import FindStreamOrigin
from buckthorndeal.gateway._unconfirmed_streams import (
    UnconfirmedStream,
    create_unconfirmed_streams,
)

# Age up to which it holds that a majority of the coordinators is connected. A host that
# was suspended, or whose tasks were, has not been told since.
REACH_LIFETIME_S = 3.0
CHECK_INTERVAL_S = 0.1


class StreamVersions:
    """Remembers at which versions streams have begun, and tells other hosts.

    Other hosts are told only while several versions serve in a service or this host
    cannot know that, and after the services of a route have changed.

    Attributes
    ----------
    recent_splits : RecentSplits
        Former services of routes; changed only by this object.
    """

    def __init__(self) -> None:
        self._versions = create_version_table()
        self._origins = create_origin_table()
        self._open = create_open_streams()
        self._unconfirmed = create_unconfirmed_streams()
        self._outgoing: list[StreamOrigin] = []
        self._reached_s = -math.inf
        # Services with endpoints that name no version, or whose coordinators do not.
        self._unnamed: set[str] = set()
        self.recent_splits = RecentSplits()
        # Services in which one version served at the last check.
        self._uniform: set[str] = set()
        self._check_due_s = -math.inf

    def set_reach(self, reaches_majority: bool, now_s: float) -> None:
        """Record whether a majority of the coordinators is connected now."""
        self._reached_s = now_s if reaches_majority else -math.inf

    def record_heartbeat(self, record: EndpointRecord, now_s: float) -> None:
        """Take note of the version of an endpoint."""
        self.confirm_streams(record, now_s)
        if not record.version:
            self._unnamed.add(record.service)
            return
        self.receive((ServiceVersion(record.service, record.version),), now_s)

    def receive(self, versions: Iterable[ServiceVersion], now_s: float) -> None:
        """Merge the versions that coordinators have seen in all regions."""
        if self._versions.merge(versions, now_s):
            self._check_due_s = now_s

    def record_start(self, call: Call, version: str, now_s: float) -> None:
        """Record that an endpoint of a version has sent a first event for a call.

        Of a stream that is taken up here, the host at which it began may be gone.
        """
        stream = _name_stream(call)
        if stream is None:
            return
        origin = StreamOrigin(stream, call.service, version)
        self._record_origin(origin, call.deadline_s, now_s)

    def record_unconfirmed(
        self, call: Call, record: EndpointRecord, now_s: float
    ) -> None:
        """Record that an endpoint without recent heartbeats has sent a first event."""
        stream = _name_stream(call)
        if stream is not None and record.version:
            unconfirmed = UnconfirmedStream(record, stream, now_s, call.deadline_s)
            self._unconfirmed.add(unconfirmed)

    def confirm_streams(self, record: EndpointRecord, now_s: float) -> None:
        """Record the origins of which a heartbeat that arrives now tells."""
        for each in self._unconfirmed.confirm(record, now_s):
            self._record_origin(each.origin, each.deadline_s, now_s)

    def _record_origin(
        self, origin: StreamOrigin, deadline_s: float, now_s: float
    ) -> None:
        is_new = self._origins.record(origin, now_s)
        self._open.open(origin, deadline_s)
        if is_new and not self.is_uniform(origin.service, now_s):
            self._outgoing.append(origin)

    def record_end(self, call: Call) -> None:
        """Record that a response is complete."""
        stream = _name_stream(call)
        if stream is not None:
            self._open.close(stream)

    def list_open_origins(self, now_s: float) -> list[StreamOrigin]:
        """Return the origins of open streams whose versions others cannot know."""
        services = {
            service
            for service in self._open.list_services()
            if not self.is_uniform(service, now_s)
        }
        return self._open.list_origins(services, now_s)

    def is_uniform(self, service: str, now_s: float) -> bool:
        """Return whether other hosts can tell the origin of a stream of a service.

        They can while one version seems to serve and its routes have not changed. If
        this host is mistaken, they refuse the streams that have begun here.
        """
        if self.recent_splits.is_shared(service, now_s):
            return False
        versions = self._versions.list_versions(service, now_s)
        if not versions:
            return service in self._unnamed
        if now_s - self._reached_s > REACH_LIFETIME_S:
            return False
        return len(versions) == 1

    def set_routes(self, routes: Iterable[Route], now_s: float) -> None:
        """Take note of the routes of a newer configuration."""
        self.recent_splits.update(routes, now_s)
        self._check_due_s = now_s

    def find_origin(self, query: FindStreamOrigin, now_s: float) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known.

        It tells the service that began the stream, whatever the weights say now.

        What this host has been told may be old, however short ago that was. So the only
        version of which it knows is that of the stream only if a majority of the
        coordinators was asked after the stream had broken.
        """
        stream = digest_stream(query.resumes or "")
        origin = self._origins.find(stream)
        if origin is not None or query.told is None:
            return origin
        self.receive(query.told, now_s)
        version = self._find_only_version(query.service, now_s)
        return None if version is None else StreamOrigin(stream, query.service, version)

    def _find_only_version(self, service: str, now_s: float) -> str | None:
        versions = self._versions.list_versions(service, now_s)
        if not versions:
            return "" if service in self._unnamed else None
        return versions[0] if len(versions) == 1 else None

    def take_outgoing(self, now_s: float) -> tuple[StreamOrigin, ...]:
        """Return the origins that other hosts may need, since the last call.

        Once a service is no longer uniform these include those of its open streams.
        """
        if now_s >= self._check_due_s:
            self._check_due_s = now_s + CHECK_INTERVAL_S
            self._check(now_s)
        outgoing, self._outgoing = self._outgoing, []
        return tuple(outgoing)

    def forget_services(self, kept: Collection[str]) -> None:
        """Forget which services name no version, but for those that are kept."""
        self._unnamed.intersection_update(kept)

    def expire(self, now_s: float) -> None:
        """Forget streams that are over, and versions that nobody has seen of late."""
        self._versions.expire(now_s)
        self._origins.expire(now_s)
        self._open.expire(now_s)
        self._unconfirmed.expire(now_s)
        self.recent_splits.expire(now_s)

    def _check(self, now_s: float) -> None:
        for service in self._versions.list_services() | self._unnamed:
            if self.is_uniform(service, now_s):
                self._uniform.add(service)
            elif service in self._uniform:
                self._uniform.discard(service)
                self._outgoing.extend(self._open.list_origins((service,), now_s))


def _name_stream(call: Call) -> str | None:
    """Return the name of the stream of a call; None if it cannot be taken up."""
    is_resumable = call.route.kind is RequestKind.STREAM and call.route.retryable
    began = call.resumes or call.request_id
    return digest_stream(began) if is_resumable and began else None
