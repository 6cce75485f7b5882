"""Failure detection and dissemination of host records.

Each host probes one other per period, asks helpers when there is no answer, and
then suspects it. A suspected host refutes with a newer incarnation or is declared
dead. News is pushed at once to a few members and rides on probes afterwards.
Tables are compared with a random member, a seed or a dead host from time to time,
so that the halves of a partition find each other again.

`Membership` has no I/O; `MembershipService` runs it over datagrams.
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
    """Return a member that knows only itself; see `Membership`."""
    return Membership(own, seeds, rng, now_s, options or MembershipOptions())
