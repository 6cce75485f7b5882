"""What the request handlers of one gateway share."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthorndeal.configuration import RouteTable
from buckthorndeal.gateway._pools import Pools
from buckthorndeal.gateway.dialect import Dialect
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.metrics import Metrics


@dataclass(eq=False)
class GatewayContext:
    """Shared parts of the handlers; only tasks change state.

    Parameters
    ----------
    host, region : str
        This host and its region.
    keys : tuple of bytes
        Keys of forwarded requests; the first one signs.
    routes : RouteTable or None
        Routes in force; None before the first configuration.
    now, wall : callable
        Monotonic clock, and seconds since the epoch.
    """

    host: str
    region: str
    keys: tuple[bytes, ...]
    dialect: Dialect
    dispatch_mailbox: Mailbox
    pools: Pools
    metrics: Metrics
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    routes: RouteTable | None = None
    # Set once a draining host has too little time left for a stream.
    refuse_new_streams: bool = False
    attempt_ids: itertools.count = field(default_factory=lambda: itertools.count(1))
