"""Ledger view of the region: where it is kept, and the task that asks for it."""

import abc

from buckthorndeal.control._messages import ChangeView, GetView, ViewReply
from buckthorndeal.entry._control import ControlLinks
from buckthorndeal.ledger import AskView, LedgerService, LedgerView, ViewLearned
from buckthorndeal.mailbox import Mailbox

POLL_INTERVAL_S = 1.0
# Until the region has a primary, bookings are refused.
FIRST_POLL_INTERVAL_S = 0.1


class ViewSource(abc.ABC):
    """The place that decides on the ledger views."""

    @abc.abstractmethod
    async def get(self, region: str) -> LedgerView | None:
        """Return the newest view within reach, or None."""

    @abc.abstractmethod
    async def change(self, region: str, ask: AskView) -> LedgerView | None:
        """Ask for a view; return the one in force afterwards, or None."""


class ControlViews(ViewSource):
    """Views in the replicated control state."""

    def __init__(self, links: ControlLinks) -> None:
        self._links = links

    async def get(self, region: str) -> LedgerView | None:
        """Return a view that the leader confirms, or the newest of the others."""
        newest = None
        for name, link in self._links.links.items():
            if not link.connected:
                continue
            reply = await self._links.call(name, GetView(region))
            if not isinstance(reply, ViewReply):
                continue
            if newest is None or reply.view.epoch > newest.epoch:
                newest = reply.view
            if reply.accepted:
                break
        return newest

    async def change(self, region: str, ask: AskView) -> LedgerView | None:
        """Ask the leader."""
        message = ChangeView(region, ask.base, ask.requester, ask.view)
        reply = await self._links.call_leader(message)
        return reply.view if isinstance(reply, ViewReply) else None


async def run_view_task(
    region: str, source: ViewSource, requests: Mailbox, service: LedgerService
) -> None:
    """Pass requests for views on, and tell the ledger of every view seen."""
    poll_s = 0.0
    while True:
        envelope = await requests.receive_within(poll_s)
        if envelope is None:
            view = await source.get(region)
        else:
            view = await source.change(region, envelope.message)
        is_known = view is not None and view.primary is not None
        poll_s = POLL_INTERVAL_S if is_known else FIRST_POLL_INTERVAL_S
        if view is not None:
            await service.handle(ViewLearned(view))
