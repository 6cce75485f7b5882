"""What the dispatch task has other parts of a gateway do."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from buckthorndeal.fleet import EndpointRecord, QuotaRequest, StreamOrigin
from buckthorndeal.gateway._fleet_messages import ColdCheck
from buckthorndeal.gateway.dialect import HealthMetadata
from buckthorndeal.wire import Message


@dataclass(frozen=True)
class DispatchEffects:
    """What the dispatch task has other parts of the gateway do.

    Parameters
    ----------
    share : callable
        Sends a message to all coordinators.
    share_origins : callable
        Gives the origins of streams to a few coordinators.
    probe : callable
        Returns whether an endpoint accepts a connection.
    check_health : callable
        Asks an endpoint for its health; returns None if it does not answer in time.
    report_endpoint_reach : callable
        Tells the coordinators whether this host reaches endpoints.
    replace_silent_attempts : callable
        Called with hosts whose path to the endpoints is lost, None for this one, and a
        clock reading; replaces the attempts there that bring nothing and may be
        repeated, and returns how many have ended so.
    request_quota : callable
        Asks the leader of the coordinators for units; its reply is a `QuotaReplied`.
    """

    share: Callable[[Message], Awaitable[None]]
    share_origins: Callable[[tuple[StreamOrigin, ...]], Awaitable[None]]
    probe: Callable[[EndpointRecord], Awaitable[bool]]
    check_health: Callable[[ColdCheck], Awaitable[HealthMetadata | None]]
    report_endpoint_reach: Callable[[bool], Awaitable[None]]
    replace_silent_attempts: Callable[[tuple[str | None, ...], float], Awaitable[int]]
    request_quota: Callable[[QuotaRequest], Awaitable[None]]
