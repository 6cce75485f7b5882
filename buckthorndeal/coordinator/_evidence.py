"""Evidence on crashing requests that a coordinator relays to the entry hosts."""

from buckthorndeal.coordinator._quarantine_store import QuarantineStore
from buckthorndeal.coordinator._state_store import StateSaver
from buckthorndeal.quarantine import Evidence, EvidenceTable


class EvidenceRelay:
    """Merges evidence, keeps the decisions durable and collects what is new.

    Parameters
    ----------
    store : QuarantineStore
        Keeps the decisions.
    now_s : float
        Clock reading.
    """

    def __init__(self, store: QuarantineStore, now_s: float) -> None:
        self._saver = StateSaver(store, "quarantine")
        self._table = EvidenceTable()
        self._table.merge(Evidence(quarantines=store.load()), now_s)
        self._new: list[Evidence] = []

    def receive(self, evidence: Evidence, now_s: float) -> None:
        """Merge the evidence of a host."""
        new = self._table.merge(evidence, now_s)
        if new:
            self._new.append(new)
        if new.quarantines:
            known = self._table.quarantines.values()
            self._saver.put(tuple(each.decision for each in known))

    def export(self, now_s: float) -> Evidence:
        """Return all that is known."""
        return self._table.export(now_s)

    def expire(self, now_s: float) -> None:
        """Forget old evidence."""
        self._table.expire(now_s)

    def take_new(self, now_s: float) -> Evidence:
        """Return the evidence that was new since the last call."""
        new, self._new = self._new, []
        ends = (end for each in new for end in each.ends)
        return Evidence(
            tuple(self._table.renew_ages(ends, now_s)),
            tuple(answer for each in new for answer in each.answers),
            tuple(decision for each in new for decision in each.quarantines),
        )

    async def save(self) -> None:
        """Save decisions that are not saved yet, without blocking other tasks."""
        await self._saver.save()
