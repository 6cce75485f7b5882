"""Replication of entries from the primary to one other replica."""

import itertools
import random
from dataclasses import dataclass

from buckthorndeal.ledger._claim_records import (
    FINGERPRINT_BYTES,
    ClaimEntry,
    ClaimSnapshot,
    LedgerView,
)
from buckthorndeal.ledger._messages import CopyClaims

MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 524_288
MAX_BATCH_FINGERPRINTS = 16_384
RESEND_INTERVAL_S = 0.3
HEARTBEAT_INTERVAL_S = 0.5


@dataclass(slots=True)
class _Batch:
    message: CopyClaims
    first_sent_s: float
    last_sent_s: float


class Copier:
    """Tracks the entries that a target lacks and copies them in batches.

    At most one batch is unacknowledged at any time.

    Parameters
    ----------
    snapshot : ClaimSnapshot
        Content of the ledger, shared with the replica, which modifies it.
    sender : str
        Name of this replica.
    rng : random.Random
        Source of the first batch number. It is random so that a late acknowledgement
        of a batch that a former process sent does not match a new batch.
    """

    def __init__(
        self, snapshot: ClaimSnapshot, sender: str, rng: random.Random
    ) -> None:
        self._snapshot = snapshot
        self._sender = sender
        self._batch_number = rng.getrandbits(48)
        self._uncopied_entries: dict[bytes, None] = {}
        self._uncopied_fingerprints = b""
        self._batch: _Batch | None = None
        self._last_sent_s = float("-inf")
        self.target: str | None = None

    def set_target(self, target: str | None) -> None:
        """Start to copy all entries and expired fingerprints to `target`, if any."""
        self.target = target
        self._batch = None
        self._uncopied_entries = dict.fromkeys(self._snapshot.entries if target else ())
        self._uncopied_fingerprints = self._snapshot.expired.pack() if target else b""

    def mark_changed(self, fingerprint: bytes) -> None:
        """Mark the entry of a key to be copied."""
        if self.target is not None:
            self._uncopied_entries[fingerprint] = None

    def is_copied(self, fingerprint: bytes) -> bool:
        """Return whether the target has acknowledged the latest entry of a key."""
        return fingerprint not in self._uncopied_entries

    def has_copied_all(self, excluded: dict[bytes, object]) -> bool:
        """Return whether the target has everything except the `excluded` keys."""
        return not self._uncopied_fingerprints and all(
            fingerprint in excluded for fingerprint in self._uncopied_entries
        )

    def get_unacknowledged_s(self, now_s: float) -> float:
        """Return for how many seconds the current batch has been unacknowledged."""
        return 0.0 if self._batch is None else now_s - self._batch.first_sent_s

    def take_due_message(self, view: LedgerView, now_s: float) -> CopyClaims | None:
        """Return the next batch, a resend or a heartbeat, or None if none is due."""
        if self.target is None:
            return None
        batch = self._batch
        if batch is None:
            is_due = now_s - self._last_sent_s >= HEARTBEAT_INTERVAL_S
            if not (self._uncopied_entries or self._uncopied_fingerprints or is_due):
                return None
            batch = self._batch = self._create_batch(view, now_s)
        elif now_s - batch.last_sent_s < RESEND_INTERVAL_S:
            return None
        batch.last_sent_s = self._last_sent_s = now_s
        return batch.message

    def _create_batch(self, view: LedgerView, now_s: float) -> _Batch:
        self._batch_number += 1
        entries = tuple(self._choose_entries())
        fingerprints = self._uncopied_fingerprints[
            : MAX_BATCH_FINGERPRINTS * FINGERPRINT_BYTES
        ]
        message = CopyClaims(
            view, self._sender, self._batch_number, entries, fingerprints
        )
        return _Batch(message, now_s, now_s)

    def _choose_entries(self) -> list[ClaimEntry]:
        chosen: list[ClaimEntry] = []
        size = 0
        for fingerprint in list(
            itertools.islice(self._uncopied_entries, MAX_BATCH_ENTRIES)
        ):
            entry = self._snapshot.entries.get(fingerprint)
            if entry is None:
                del self._uncopied_entries[fingerprint]
                continue
            size += len(entry.body)
            if chosen and size > MAX_BATCH_BYTES:
                break
            chosen.append(entry)
        return chosen

    def replace_view(self, view: LedgerView) -> None:
        """Set the view of the unacknowledged batch."""
        if self._batch is not None:
            message = self._batch.message
            self._batch.message = CopyClaims(
                view, self._sender, message.batch, message.entries, message.fingerprints
            )

    def acknowledge(self, batch: int) -> tuple[float, list[bytes]] | None:
        """Complete a batch; return when it was first sent and the keys now copied.

        Returns None if the batch is not the current one.
        """
        if self._batch is None or self._batch.message.batch != batch:
            return None
        acknowledged, self._batch = self._batch, None
        self._uncopied_fingerprints = self._uncopied_fingerprints[
            len(acknowledged.message.fingerprints) :
        ]
        copied = []
        for entry in acknowledged.message.entries:
            if self._snapshot.entries.get(entry.fingerprint) is entry:
                self._uncopied_entries.pop(entry.fingerprint, None)
                copied.append(entry.fingerprint)
        return acknowledged.first_sent_s, copied
