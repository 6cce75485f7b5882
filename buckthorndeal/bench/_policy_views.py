"""In-memory ledger views that replace the control hosts in the policy benchmark."""

from collections.abc import Callable

import curio

from buckthorndeal.entry._ledger_views import LedgerViewSource
from buckthorndeal.ledger import LedgerView, ProposeView, is_view_change_allowed

__all__ = ["SharedLedgerViews"]


class SharedLedgerViews(LedgerViewSource):
    """Source of ledger views in a table that all entry hosts share.

    Parameters
    ----------
    table : dict of str to LedgerView
        Views by region.
    round_trip_s : float
        Duration of a call, as to a control host of another region, in seconds.
    is_reachable : callable
        Returns whether a majority of the control hosts is reachable.
    """

    def __init__(
        self,
        table: dict[str, LedgerView],
        round_trip_s: float,
        is_reachable: Callable[[], bool],
    ) -> None:
        self._table = table
        self._round_trip_s = round_trip_s
        self._is_reachable = is_reachable

    async def get(self, region: str) -> LedgerView | None:
        """Return the view of a region, or None while no majority is reachable."""
        await curio.sleep(self._round_trip_s)
        return self._table.get(region, LedgerView()) if self._is_reachable() else None

    async def change(self, region: str, ask: ProposeView) -> LedgerView | None:
        """Change the view of a region if the ledger's rule allows it; return it."""
        current = await self.get(region)
        if current is not None and is_view_change_allowed(current, ask):
            self._table[region] = ask.view
        return self._table.get(region, LedgerView()) if self._is_reachable() else None
