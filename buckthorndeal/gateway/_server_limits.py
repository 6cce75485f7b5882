"""Limits of a gateway's HTTP servers, as the configuration gives them."""

import msgspec

from buckthorndeal.configuration import CallerLimits
from buckthorndeal.gateway._pools import HOST_IDLE_TIMEOUT_S
from buckthorndeal.settings import Limits

# Of the fields that the host which forwards a request adds.
MAX_ADDED_HEADER_BYTES = 8_192
# Twice as long as other hosts keep an idle connection.
FORWARD_IDLE_TIMEOUT_S = 2 * HOST_IDLE_TIMEOUT_S


def create_caller_limits(configured: CallerLimits, max_connections: int) -> Limits:
    """Return the limits for callers."""
    return Limits(
        max_header_bytes=configured.max_header_bytes,
        max_body_bytes=configured.max_body_bytes,
        header_timeout_s=configured.header_timeout_s,
        idle_timeout_s=configured.idle_timeout_s,
        max_connections=max_connections,
    )


def extend_for_hosts(limits: Limits) -> Limits:
    """Return the limits for requests that other hosts have accepted by them."""
    return msgspec.structs.replace(
        limits,
        # Other hosts go by an idle timeout of their own.
        idle_timeout_s=max(limits.idle_timeout_s, FORWARD_IDLE_TIMEOUT_S),
        max_header_bytes=limits.max_header_bytes + MAX_ADDED_HEADER_BYTES,
    )
