"""Copies entries from the primary to one other replica."""

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

MAX_ENTRIES = 256
MAX_BYTES = 524_288
MAX_FINGERPRINTS = 16_384
RESEND_S = 0.3
HEARTBEAT_S = 0.5


@dataclass(slots=True)
class _Batch:
    message: CopyClaims
    first_sent_s: float
    last_sent_s: float


class Copier:
    """Entries that the target lacks, with one batch at a time under way.

    Parameters
    ----------
    snapshot : ClaimSnapshot
        Live content of the ledger.
    sender : str
        This replica.
    rng : random.Random
        Source of the first batch number, so that a late acknowledgement of a
        former process is not taken for a new one.
    """

    def __init__(
        self, snapshot: ClaimSnapshot, sender: str, rng: random.Random
    ) -> None:
        self._snapshot = snapshot
        self._sender = sender
        self._number = rng.getrandbits(48)
        self._uncopied: dict[bytes, None] = {}
        self._fingerprints = b""
        self._batch: _Batch | None = None
        self._last_sent_s = float("-inf")
        self.target: str | None = None

    def set_target(self, target: str | None) -> None:
        """Start to copy everything to `target`."""
        self.target = target
        self._batch = None
        self._uncopied = dict.fromkeys(self._snapshot.entries if target else ())
        self._fingerprints = self._snapshot.expired.pack() if target else b""

    def add(self, fingerprint: bytes) -> None:
        """Note that the entry of a key changed."""
        if self.target is not None:
            self._uncopied[fingerprint] = None

    def is_copied(self, fingerprint: bytes) -> bool:
        """Return whether the target has the newest entry of a key."""
        return fingerprint not in self._uncopied

    def is_complete(self, ignored: dict[bytes, object]) -> bool:
        """Return whether the target has everything but the `ignored` keys."""
        return not self._fingerprints and all(
            fingerprint in ignored for fingerprint in self._uncopied
        )

    def get_silence_s(self, now_s: float) -> float:
        """Return for how long a batch has not been acknowledged."""
        return 0.0 if self._batch is None else now_s - self._batch.first_sent_s

    def emit(self, view: LedgerView, now_s: float) -> CopyClaims | None:
        """Return the message that is due: a new batch, a repetition, a heartbeat."""
        if self.target is None:
            return None
        batch = self._batch
        if batch is None:
            is_due = now_s - self._last_sent_s >= HEARTBEAT_S
            if not (self._uncopied or self._fingerprints or is_due):
                return None
            batch = self._batch = self._create_batch(view, now_s)
        elif now_s - batch.last_sent_s < RESEND_S:
            return None
        batch.last_sent_s = self._last_sent_s = now_s
        return batch.message

    def _create_batch(self, view: LedgerView, now_s: float) -> _Batch:
        self._number += 1
        entries = tuple(self._choose_entries())
        fingerprints = self._fingerprints[: MAX_FINGERPRINTS * FINGERPRINT_BYTES]
        message = CopyClaims(view, self._sender, self._number, entries, fingerprints)
        return _Batch(message, now_s, now_s)

    def _choose_entries(self) -> list[ClaimEntry]:
        chosen: list[ClaimEntry] = []
        size = 0
        for fingerprint in list(itertools.islice(self._uncopied, MAX_ENTRIES)):
            entry = self._snapshot.entries.get(fingerprint)
            if entry is None:
                del self._uncopied[fingerprint]
                continue
            size += len(entry.body)
            if chosen and size > MAX_BYTES:
                break
            chosen.append(entry)
        return chosen

    def relabel(self, view: LedgerView) -> None:
        """Use a new view for the batch under way."""
        if self._batch is not None:
            message = self._batch.message
            self._batch.message = CopyClaims(
                view, self._sender, message.batch, message.entries, message.fingerprints
            )

    def finish(self, batch: int) -> tuple[float, list[bytes]] | None:
        """Return when the acknowledged batch was sent, and the keys now copied."""
        if self._batch is None or self._batch.message.batch != batch:
            return None
        done, self._batch = self._batch, None
        self._fingerprints = self._fingerprints[len(done.message.fingerprints) :]
        copied = []
        for entry in done.message.entries:
            if self._snapshot.entries.get(entry.fingerprint) is entry:
                self._uncopied.pop(entry.fingerprint, None)
                copied.append(entry.fingerprint)
        return done.first_sent_s, copied
