"""Sources of ledger views, and the task that keeps the region's ledger up to date."""

import abc

from buckthorndeal.control._messages import ChangeView, GetView, ViewReply
from buckthorndeal.entry._control import ControlLinks
from buckthorndeal.ledger import LedgerService, LedgerView, ProposeView, ViewLearned
from buckthorndeal.mailbox import Mailbox

POLL_INTERVAL_S = 1.0
# Poll interval while the region has no primary, as non-idempotent calls are refused
# until then.
FIRST_POLL_INTERVAL_S = 0.1


class LedgerViewSource(abc.ABC):
    """Abstract source of ledger views; it accepts or rejects proposed views."""

    @abc.abstractmethod
    async def get(self, region: str) -> LedgerView | None:
        """Return the newest view of a region that can be read, or None."""

    @abc.abstractmethod
    async def change(self, region: str, ask: ProposeView) -> LedgerView | None:
        """Propose a new view; return the view in effect afterwards, or None."""


class ControlLedgerViews(LedgerViewSource):
    """Ledger views in the replicated state of the control hosts."""

    def __init__(self, links: ControlLinks) -> None:
        self._links = links

    async def get(self, region: str) -> LedgerView | None:
        """Return the view confirmed by the leader, or else the newest one found."""
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

    async def change(self, region: str, ask: ProposeView) -> LedgerView | None:
        """Propose a new view to the control leader."""
        message = ChangeView(region, ask.base, ask.requester, ask.view)
        reply = await self._links.call_leader(message)
        return reply.view if isinstance(reply, ViewReply) else None


async def run_view_task(
    region: str, source: LedgerViewSource, requests: Mailbox, service: LedgerService
) -> None:
    """Forward proposed views to the source, and pass every view to the ledger.

    Parameters
    ----------
    region : str
        Region of the ledger.
    source : LedgerViewSource
        Source of the views.
    requests : Mailbox
        Receives the views that the ledger proposes, as `ProposeView`.
    service : LedgerService
        Ledger of this host.
    """
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
