"""Group commit: records wait for one sync at a time."""

from buckthorndeal.ledger._claim_records import ClaimEntry, Record
from buckthorndeal.ledger._messages import Effect, Persist


class Writer:
    """Records on their way to the store, and effects that wait for them."""

    def __init__(self) -> None:
        self._queue: list[Record] = []
        self._added = 0
        self._batch: Persist | None = None
        self._batch_end = 0
        self._synced = 0
        self._unsynced: dict[bytes, int] = {}
        self._after: list[tuple[int, Effect]] = []

    def add(self, record: Record) -> None:
        """Queue a record."""
        self._queue.append(record)
        self._added += 1
        if isinstance(record, ClaimEntry):
            self._unsynced[record.fingerprint] = self._added

    def is_synced(self, fingerprint: bytes) -> bool:
        """Return whether the newest entry of a key is synced."""
        return fingerprint not in self._unsynced

    def emit_after_sync(self, effect: Effect) -> list[Effect]:
        """Hold `effect` until all queued records are synced.

        Returns it at once if none is waiting.
        """
        if self._synced == self._added:
            return [effect]
        self._after.append((self._added, effect))
        return []

    def flush(self) -> list[Effect]:
        """Return the next batch, unless one is being synced."""
        if self._batch is not None or not self._queue:
            return []
        self._batch = Persist(self._added, tuple(self._queue))
        self._batch_end = self._added
        self._queue = []
        return [self._batch]

    def finish(self, batch: int) -> tuple[list[bytes], list[Effect]]:
        """Return the keys that are now synced, and the effects held for them."""
        if self._batch is None or self._batch.batch != batch:
            return [], []
        records, self._batch = self._batch.records, None
        self._synced = self._batch_end
        synced = []
        for record in records:
            fingerprint = getattr(record, "fingerprint", None)
            if self._unsynced.get(fingerprint, self._added + 1) <= self._synced:
                del self._unsynced[fingerprint]
                synced.append(fingerprint)
        effects = [effect for end, effect in self._after if end <= self._synced]
        self._after = [held for held in self._after if held[0] > self._synced]
        return synced, effects
