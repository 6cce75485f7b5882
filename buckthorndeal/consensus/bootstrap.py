"""Initial membership of a new cluster of control hosts."""

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
    """Lookup of peer links by host name, such as a dictionary."""

    def get(self, host: str) -> PeerLink | None:
        """Return the link to a host, or None."""


def is_empty(store: LogStore) -> bool:
    """Return whether a store has neither entries nor a snapshot.

    A store with only a ballot counts as empty, because its replica has not
    acknowledged any entry.
    """
    state = store.load()
    return not state.entries and state.snapshot is None


async def choose_membership(
    own: ReplicaDescription,
    voters: Sequence[str],
    others: Iterable[str],
    links: PeerLinkLookup,
) -> Membership | None:
    """Return the initial membership, or None if this host must join a cluster.

    Only the first configured voter creates a cluster, so that no two hosts create
    different ones. It waits until all voters have replied. If the log of any host is
    not empty, a cluster exists and this host has lost its disk, so it creates none.

    Parameters
    ----------
    own : ReplicaDescription
        Description of this host's replica.
    voters : sequence of str
        Hosts of the voters of a new cluster.
    others : iterable of str
        Names of all other known hosts. They are iterated again on each retry, so
        hosts may be added while this function waits.
    links : PeerLinkLookup
        Links to the other control hosts.

    Returns
    -------
    Membership or None
        Initial membership with all `voters`.
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
