"""Records of the claim ledger, and their encoding in a store."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from buckthorndeal.wire import Message

FINGERPRINT_BYTES = 16
ENTRIES_PER_FRAME = 500
FINGERPRINTS_PER_FRAME = 50_000
MAX_RECENT_FINGERPRINTS = 20_000

Fingerprint = Annotated[
    bytes, Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
]
ClaimState = Literal["claimed", "released", "abandoned", "answered"]
STATE_RANKS = {"claimed": 0, "released": 1, "abandoned": 2, "answered": 3}


class ClaimEntry(Message):
    """State of the claim on one idempotency key.

    Parameters
    ----------
    fingerprint : bytes
        First 16 bytes of the SHA-256 hash of workspace and key.
    epoch : int
        Epoch of the view in which the claim was made.
    attempt : int
        Number of the claim among the claims on the key, from 1. A key is only claimed
        again after a release, which proves that nothing was dispatched.
    state : str
        ``claimed``, ``released`` (the request did not run), ``abandoned`` (it may
        have run) or ``answered``.
    digest : bytes
        Digest of the request; its body is not stored.
    request_id : str
        Id of the request that made the claim.
    wall_s : float
        Time of the claim, in seconds since the Unix epoch.
    status, body : int, bytes
        Status code and body of the recorded answer.
    """

    fingerprint: Fingerprint
    epoch: int
    attempt: int
    state: ClaimState
    digest: bytes
    request_id: str
    wall_s: float
    status: int = 0
    body: bytes = b""

    @property
    def version(self) -> tuple[int, int, int]:
        """Key that orders the entries of one fingerprint; the highest is the latest."""
        return self.epoch, self.attempt, STATE_RANKS[self.state]


class LedgerView(Message):
    """Primary and backup of the ledger of a region.

    Replicas are named ``<host>#<store identity>``, so that a host that restarts with
    an empty disk counts as a new replica.
    """

    epoch: int = 0
    primary: str | None = None
    backup: str | None = None


class ViewRecord(Message):
    """Newest known view, and the view that this replica has proposed (`asked`)."""

    view: LedgerView
    asked: LedgerView | None = None


class _Identity(Message):
    identity: str


class Fingerprints(Message):
    """Fingerprints of expired keys, concatenated."""

    data: bytes


Record = ClaimEntry | ViewRecord | Fingerprints
_StoredRecord = ClaimEntry | ViewRecord | _Identity | Fingerprints


class FingerprintSet:
    """Set of 16-byte fingerprints that uses little more than 16 bytes for each.

    Most are packed into one sorted byte string; recent additions are kept in a set
    until there are enough of them to be merged.
    """

    def __init__(self) -> None:
        self._sorted = b""
        self._recent: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._sorted) // FINGERPRINT_BYTES + len(self._recent)

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._recent or self._is_packed(fingerprint)

    def _is_packed(self, fingerprint: bytes) -> bool:
        low, high = 0, len(self._sorted) // FINGERPRINT_BYTES
        while low < high:
            middle = (low + high) // 2
            start = middle * FINGERPRINT_BYTES
            candidate = self._sorted[start : start + FINGERPRINT_BYTES]
            if candidate == fingerprint:
                return True
            low, high = (middle + 1, high) if candidate < fingerprint else (low, middle)
        return False

    def add(self, fingerprint: bytes) -> None:
        """Add a fingerprint."""
        if fingerprint not in self:
            self._recent.add(fingerprint)
            if len(self._recent) > MAX_RECENT_FINGERPRINTS:
                self.pack()

    def add_packed(self, data: bytes) -> None:
        """Add concatenated fingerprints."""
        for start in range(0, len(data), FINGERPRINT_BYTES):
            self.add(data[start : start + FINGERPRINT_BYTES])

    def freeze(self) -> "FingerprintSet":
        """Return a copy for another thread, which shares the packed fingerprints."""
        frozen = FingerprintSet()
        frozen._sorted = self.pack()
        return frozen

    def pack(self) -> bytes:
        """Pack recent additions; return all fingerprints, sorted and concatenated."""
        if self._recent:
            size = FINGERPRINT_BYTES
            starts = range(0, len(self._sorted), size)
            kept = [self._sorted[start : start + size] for start in starts]
            self._sorted = b"".join(sorted(kept + list(self._recent)))
            self._recent = set()
        return self._sorted


@dataclass
class ClaimSnapshot:
    """Content of a claim store.

    Parameters
    ----------
    entries : dict
        Entries by fingerprint.
    expired : FingerprintSet
        Fingerprints of keys whose entries have expired; their requests may have run.
    record : ViewRecord
        Newest view record.
    """

    entries: dict[bytes, ClaimEntry] = field(default_factory=dict)
    expired: FingerprintSet = field(default_factory=FingerprintSet)
    record: ViewRecord = field(default_factory=lambda: ViewRecord(LedgerView()))

    def apply(self, record: _StoredRecord) -> None:
        """Apply a record that was read from a store."""
        if isinstance(record, ClaimEntry):
            if record.fingerprint not in self.expired:
                self.entries[record.fingerprint] = record
        elif isinstance(record, ViewRecord):
            self.record = record
        elif isinstance(record, Fingerprints):
            self.expired.add_packed(record.data)

    def merge_entry(self, entry: ClaimEntry) -> bool:
        """Store an entry of another replica; return whether it says something new."""
        if entry.fingerprint in self.expired:
            return False
        known = self.entries.get(entry.fingerprint)
        if known is not None and known.version >= entry.version:
            return False
        self.entries[entry.fingerprint] = entry
        return True

    def expire_entries(self, oldest_wall_s: float) -> None:
        """Reduce entries older than `oldest_wall_s` to their fingerprints.

        Released entries are removed altogether, because their requests did not run.
        """
        old = [claim for claim in self.entries.values() if claim.wall_s < oldest_wall_s]
        for entry in old:
            del self.entries[entry.fingerprint]
            if entry.state != "released":
                self.expired.add(entry.fingerprint)


def encode_snapshot(identity: str, snapshot: ClaimSnapshot) -> Iterator[bytes]:
    """Yield the payloads of the frames of a new store with this content."""
    encode = msgspec.msgpack.encode
    yield encode([_Identity(identity), snapshot.record])
    packed = snapshot.expired.pack()
    step = FINGERPRINTS_PER_FRAME * FINGERPRINT_BYTES
    for start in range(0, len(packed), step):
        yield encode([Fingerprints(packed[start : start + step])])
    entries = list(snapshot.entries.values())
    for start in range(0, len(entries), ENTRIES_PER_FRAME):
        yield encode(entries[start : start + ENTRIES_PER_FRAME])


def apply_payload(snapshot: ClaimSnapshot, payload: bytes) -> str | None:
    """Apply the records of a payload; return the store identity if it has one."""
    identity = None
    for record in msgspec.msgpack.decode(payload, type=list[_StoredRecord]):
        if isinstance(record, _Identity):
            identity = record.identity
        snapshot.apply(record)
    return identity
