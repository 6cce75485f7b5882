"""Calls of a gateway to the leader that divides the quotas."""

import time
from collections.abc import Callable

import curio

from buckthorndeal.errors import PeerError
from buckthorndeal.fleet import HostLinks, QuotaGrants, QuotaRedirect, QuotaRequest
from buckthorndeal.gateway._shared_messages import QuotaReplied
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox

# Of a call to the leader: two round trips between regions, and a busy leader.
CALL_TIMEOUT_S = 0.45
# Of a call to another coordinator: a round trip between regions takes 0.17 s. After two
# that are frozen, a redirect and a call to the leader still fit into the total time.
SEARCH_TIMEOUT_S = 0.22
TOTAL_TIMEOUT_S = 0.7
# Coordinators that are asked at once for the leader.
SEARCH_WIDTH = 2
MAX_CALLS = 6
# A coordinator that did not answer is asked after the others for this time.
SILENT_S = 5.0


class QuotaCaller:
    """Finds the leader of the coordinators and asks it for units.

    Parameters
    ----------
    links : HostLinks
        Links to the coordinators.
    dispatch : Mailbox
        Mailbox of the dispatch task, which gets each reply.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        links: HostLinks,
        dispatch: Mailbox,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._links = links
        self._dispatch = dispatch
        self._clock = clock
        self._leader: str | None = None
        self._silent_until_s: dict[str, float] = {}

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
        now_s = self._clock()
        self._silent_until_s = {
            host: until_s
            for host, until_s in self._silent_until_s.items()
            if until_s > now_s
        }
        left = sorted(hosts, key=self._silent_until_s.__contains__)
        calls = 0
        while left and calls < MAX_CALLS:
            if self._leader in left:
                chosen, timeout_s = [self._leader], CALL_TIMEOUT_S
            else:
                chosen, timeout_s = left[:SEARCH_WIDTH], SEARCH_TIMEOUT_S
            left = [host for host in left if host not in chosen]
            calls += len(chosen)
            grants = await self._ask_at_once(chosen, left, request, timeout_s)
            if grants is not None:
                return grants
        return None

    async def _ask_at_once(
        self, hosts: list[str], left: list[str], request: QuotaRequest, timeout_s: float
    ) -> QuotaGrants | None:
        """Call hosts until one grants, or names a leader among those not yet asked."""
        waiting = set(hosts)
        async with curio.TaskGroup() as group:
            for host in hosts:
                await group.spawn(self._call, host, request, timeout_s)
            async for task in group:
                host, reply = task.result
                waiting.discard(host)
                if isinstance(reply, QuotaGrants):
                    self._leader = host
                    await group.cancel_remaining()
                    return reply
                if self._leader == host:
                    self._leader = None
                if not isinstance(reply, QuotaRedirect):
                    continue
                # One that has failed within this search does not lead any more.
                if reply.leader in waiting or reply.leader in left:
                    self._leader = reply.leader
                if reply.leader in left:
                    await group.cancel_remaining()
                    break
        return None

    async def _call(
        self, host: str, request: QuotaRequest, timeout_s: float
    ) -> tuple[str, object]:
        """Return the reply of a coordinator; one of an older build replies nothing."""
        try:
            reply = await self._links.call(host, request, timeout_s)
        except PeerError as error:
            self._silent_until_s[host] = self._clock() + SILENT_S
            log_event("quota_not_asked", peer=host, reason=str(error))
            return host, None
        self._silent_until_s.pop(host, None)
        return host, reply
