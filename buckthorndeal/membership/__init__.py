"""Failure detection and dissemination of host records.

The protocol follows SWIM. In each probe interval a host pings one other host; if
no acknowledgement arrives, it asks helpers to ping that host, and then suspects it.
A suspected host refutes the suspicion with a newer incarnation or is declared dead.
Changes are gossiped to a few members at once and then piggybacked on probes. For
anti-entropy, tables are periodically compared with a random member, a seed or a
dead host, so that the two sides of a healed partition rejoin.

`Membership` does no I/O; `MembershipService` runs it over datagrams.
"""

import random

from buckthorndeal.membership._member import Membership
from buckthorndeal.membership._messages import MEMBERSHIP_MESSAGES, Outgoing
from buckthorndeal.membership._options import MembershipOptions
from buckthorndeal.membership._service import (
    MembershipService,
    create_membership_service,
)
from buckthorndeal.membership._table import HostRecord, HostState

__all__ = [
    "MEMBERSHIP_MESSAGES",
    "HostRecord",
    "HostState",
    "Membership",
    "MembershipOptions",
    "MembershipService",
    "Outgoing",
    "create_membership",
    "create_membership_service",
]


def create_membership(
    own: HostRecord,
    seeds: tuple[str, ...],
    rng: random.Random,
    now_s: float,
    options: MembershipOptions | None = None,
) -> Membership:
    """Return a member that knows only its own host; see `Membership`."""
    return Membership(own, seeds, rng, now_s, options or MembershipOptions())
