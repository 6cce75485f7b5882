"""Requests on the state that entry hosts share through the coordinators."""

from dataclasses import dataclass
from functools import singledispatch

from buckthorndeal.coordinator._shared_state import SharedState
from buckthorndeal.fleet import OriginReply, RateLimit, StreamOrigin
from buckthorndeal.quarantine import Evidence


@dataclass(frozen=True)
class SharedStateRequest:
    """Base class of the requests."""


@dataclass(frozen=True)
class EvidenceReceived(SharedStateRequest):
    """Request: merge evidence on requests that crash endpoints."""

    evidence: Evidence


@dataclass(frozen=True)
class RateLimitsReceived(SharedStateRequest):
    """Request: merge rate limits that endpoints have named."""

    limits: tuple[RateLimit, ...]


@dataclass(frozen=True)
class OriginsReceived(SharedStateRequest):
    """Request: keep the origins of streams."""

    origins: tuple[StreamOrigin, ...]


@dataclass(frozen=True)
class OriginRequested(SharedStateRequest):
    """Request: `OriginReply` with the origin of a stream of a service."""

    stream: str
    service: str


@singledispatch
def handle_shared_request(
    request: SharedStateRequest, shared: SharedState, now_s: float
) -> object:
    """Apply a request to the shared state; return the reply."""
    raise TypeError(f"unknown request {type(request).__name__}")


@handle_shared_request.register
def _(request: EvidenceReceived, shared: SharedState, now_s: float) -> None:
    shared.receive_evidence(request.evidence, now_s)


@handle_shared_request.register
def _(request: RateLimitsReceived, shared: SharedState, now_s: float) -> None:
    shared.receive_rate_limits(request.limits, now_s)


@handle_shared_request.register
def _(request: OriginsReceived, shared: SharedState, now_s: float) -> None:
    shared.receive_origins(request.origins, now_s)


@handle_shared_request.register
def _(request: OriginRequested, shared: SharedState, now_s: float) -> OriginReply:
    versions = tuple(
        each
        for each in shared.export_versions(now_s)
        if each.service == request.service
    )
    return OriginReply(shared.find_origin(request.stream), versions)
