"""First membership of a new cluster of control hosts."""

from collections.abc import Iterable, Sequence
from typing import Protocol

import curio

from buckthorndeal.consensus import (
    DescribeReplica,
    Membership,
    ReplicaDescription,
    ReplicaId,
)
from buckthorndeal.consensus.logstore import LogStore
from buckthorndeal.errors import PeerError
from buckthorndeal.logs import log_event
from buckthorndeal.peers import PeerLink

__all__ = ["PeerLinkLookup", "choose_membership", "is_empty"]

CALL_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.2


class PeerLinkLookup(Protocol):
    """Links by the name of the host."""

    def get(self, host: str) -> PeerLink | None:
        """Return the link to a host, or None."""


def is_empty(store: LogStore) -> bool:
    """Return whether a log has no content; a ballot alone acknowledges nothing."""
    state = store.load()
    return not state.entries and state.snapshot is None


async def choose_membership(
    own: ReplicaDescription,
    voters: Sequence[str],
    others: Iterable[str],
    links: PeerLinkLookup,
) -> Membership | None:
    """Return the first membership, or None if the host has to follow others.

    Only the first voter of the settings creates a cluster, so that two hosts never
    create different ones. It waits until every voter has answered, and creates
    nothing once a host has content: then its own disk is what was lost.

    Parameters
    ----------
    own : ReplicaDescription
        Replica of this host.
    voters : sequence of str
        Hosts that vote in a new cluster.
    others : iterable of str
        All other hosts that are known.
    links : LinkSource
        Links to the other control hosts by name, such as a dictionary.
    """
    if own.host != voters[0] or not own.empty:
        return None
    log_event("control_bootstrap", waits_for=list(voters))
    while True:
        found = {own.host: own}
        for host in others:
            link = links.get(host)
            description = None if link is None else await _request_description(link)
            if description is not None:
                found[host] = description
        if any(not each.empty for each in found.values()):
            return None
        if all(voter in found for voter in voters):
            members = [ReplicaId(host, found[host].incarnation) for host in voters]
            return Membership(tuple(members))
        await curio.sleep(RETRY_PAUSE_S)


async def _request_description(link: PeerLink) -> ReplicaDescription | None:
    try:
        reply = await link.call(DescribeReplica(), CALL_TIMEOUT_S)
    except PeerError:
        return None
    return reply if isinstance(reply, ReplicaDescription) else None
