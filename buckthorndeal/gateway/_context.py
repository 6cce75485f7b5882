"""State shared by the request handlers of one gateway."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthorndeal.configuration import RouteTable
from buckthorndeal.gateway._contact import EndpointContact
from buckthorndeal.gateway._drain import Drain, LongestDurations
from buckthorndeal.gateway._open_attempts import OpenAttempts
from buckthorndeal.gateway._pools import Pools
from buckthorndeal.gateway._recent_splits import RecentSplits
from buckthorndeal.gateway.dialect import Dialect
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.metrics import Metrics


@dataclass(eq=False)
class GatewayContext:
    """Dependencies and state of the request handlers.

    Parameters
    ----------
    host, region : str
        This host and its region.
    keys : tuple of bytes
        Keys that verify forwarded requests; the first one signs.
    dialect : Dialect
        Header names of callers and endpoints.
    dispatch_mailbox : Mailbox
        Mailbox of the dispatch task.
    control_mailbox : Mailbox
        Mailbox of the control task.
    pools : Pools
        Connections to endpoints and other entry hosts.
    metrics : Metrics
        Metrics of the daemon.
    clock : callable
        Returns monotonic seconds.
    wall_clock : callable
        Returns seconds since the epoch.
    recent_splits : RecentSplits
        Former services of routes, which the dispatch task keeps; only read here.
    routes : RouteTable or None
        Active routes; None before the first configuration.
    drain : Drain or None
        The drain of this host, if it is under way.
    durations : LongestDurations
        How long requests other than streams have taken.
    attempt_ids : itertools.count
        Source of attempt ids.
    contact : EndpointContact
        When anything was last received from an endpoint.
    open_attempts : OpenAttempts
        Attempts under way that may be repeated at another endpoint.
    """

    host: str
    region: str
    keys: tuple[bytes, ...]
    dialect: Dialect
    dispatch_mailbox: Mailbox
    control_mailbox: Mailbox
    pools: Pools
    metrics: Metrics
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    recent_splits: RecentSplits
    routes: RouteTable | None = None
    drain: Drain | None = None
    durations: LongestDurations = field(default_factory=LongestDurations)
    attempt_ids: itertools.count = field(default_factory=lambda: itertools.count(1))
    contact: EndpointContact = field(default_factory=EndpointContact)
    open_attempts: OpenAttempts = field(default_factory=OpenAttempts)
