"""Group commit: queues records while a sync is in progress."""

from buckthorndeal.ledger._claim_records import ClaimEntry, Record
from buckthorndeal.ledger._messages import Effect, Persist


class Writer:
    """Batches records for the store and defers effects until they are synced."""

    def __init__(self) -> None:
        self._queue: list[Record] = []
        self._added_count = 0
        self._batch: Persist | None = None
        self._batch_end_count = 0
        self._synced_count = 0
        self._unsynced: dict[bytes, int] = {}
        self._deferred: list[tuple[int, Effect]] = []

    def add(self, record: Record) -> None:
        """Queue a record for the next batch."""
        self._queue.append(record)
        self._added_count += 1
        if isinstance(record, ClaimEntry):
            self._unsynced[record.fingerprint] = self._added_count

    def is_synced(self, fingerprint: bytes) -> bool:
        """Return whether the latest entry of a key is synced."""
        return fingerprint not in self._unsynced

    def defer_until_synced(self, effect: Effect) -> list[Effect]:
        """Defer `effect` until all records added so far are synced.

        If they already are, returns it instead.
        """
        if self._synced_count == self._added_count:
            return [effect]
        self._deferred.append((self._added_count, effect))
        return []

    def take_batch(self) -> list[Effect]:
        """Return the next batch, or nothing while one is being synced."""
        if self._batch is not None or not self._queue:
            return []
        self._batch = Persist(self._added_count, tuple(self._queue))
        self._batch_end_count = self._added_count
        self._queue = []
        return [self._batch]

    def complete_batch(self, batch: int) -> tuple[list[bytes], list[Effect]]:
        """Return the keys that are now synced and the effects that waited for it."""
        if self._batch is None or self._batch.batch != batch:
            return [], []
        records, self._batch = self._batch.records, None
        self._synced_count = self._batch_end_count
        synced = []
        for record in records:
            fingerprint = getattr(record, "fingerprint", None)
            if (
                self._unsynced.get(fingerprint, self._added_count + 1)
                <= self._synced_count
            ):
                del self._unsynced[fingerprint]
                synced.append(fingerprint)
        effects = [
            effect for end, effect in self._deferred if end <= self._synced_count
        ]
        self._deferred = [
            deferred for deferred in self._deferred if deferred[0] > self._synced_count
        ]
        return synced, effects
