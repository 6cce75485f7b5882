"""Calls of a gateway to the leader that divides the quotas."""

import curio

from buckthorndeal.errors import PeerError
from buckthorndeal.fleet import HostLinks, QuotaGrants, QuotaRedirect, QuotaRequest
from buckthorndeal.gateway._shared_messages import QuotaReplied
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox

# Two round trips between regions, and a busy leader.
CALL_TIMEOUT_S = 0.45
TOTAL_TIMEOUT_S = 0.7
MAX_CALLS = 3


class QuotaCaller:
    """Finds the leader of the coordinators and asks it for units.

    Parameters
    ----------
    links : HostLinks
        Links to the coordinators.
    dispatch : Mailbox
        Mailbox of the dispatch task, which gets each reply.
    """

    def __init__(self, links: HostLinks, dispatch: Mailbox) -> None:
        self._links = links
        self._dispatch = dispatch
        self._leader: str | None = None

    async def ask(self, hosts: list[str], request: QuotaRequest) -> None:
        """Ask the leader, found through connected coordinators, nearest first."""
        reply = None
        try:
            async with curio.ignore_after(TOTAL_TIMEOUT_S):
                reply = await self._find(hosts, request)
        finally:
            await self._dispatch.send(QuotaReplied(request.sequence, reply))

    async def _find(
        self, hosts: list[str], request: QuotaRequest
    ) -> QuotaGrants | None:
        left = list(hosts)
        for _ in range(MAX_CALLS):
            if self._leader not in left:
                self._leader = None
            host = self._leader or (left[0] if left else None)
            if host is None:
                return None
            left.remove(host)
            self._leader = None
            reply = await self._call(host, request)
            if isinstance(reply, QuotaGrants):
                self._leader = host
                return reply
            if isinstance(reply, QuotaRedirect):
                self._leader = reply.leader
        return None

    async def _call(self, host: str, request: QuotaRequest) -> object:
        """Return the reply of a coordinator; one of an older build replies nothing."""
        try:
            return await self._links.call(host, request, CALL_TIMEOUT_S)
        except PeerError as error:
            log_event("quota_not_asked", peer=host, reason=str(error))
            return None
