"""Records of the claim ledger and their encoding."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from buckthorndeal.wire import Message

FINGERPRINT_BYTES = 16
ENTRIES_PER_FRAME = 500
FINGERPRINTS_PER_FRAME = 50_000
MAX_RECENT = 20_000

Fingerprint = Annotated[
    bytes, Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
]
ClaimState = Literal["claimed", "released", "abandoned", "answered"]
RANKS = {"claimed": 0, "released": 1, "abandoned": 2, "answered": 3}


class ClaimEntry(Message):
    """State of one key.

    Parameters
    ----------
    fingerprint : bytes
        First 16 bytes of a hash of workspace and key.
    epoch, attempt : int
        View that granted the claim, and its number within the key. A key is only
        claimed again after a release, which proves that nothing was dispatched.
    state : str
        ``claimed``, ``released``, ``abandoned`` (it may have run) or ``answered``.
    digest : bytes
        Hash of the request body; the body itself is not kept.
    request_id : str
        Request that holds the claim.
    wall_s : float
        Time of the claim in seconds since the epoch.
    status, body : int, bytes
        Recorded answer.
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
        """Order of the states of one key; later ones replace earlier ones."""
        return self.epoch, self.attempt, RANKS[self.state]


class LedgerView(Message):
    """Who keeps the ledger of a region.

    Replicas are named ``<host>#<store identity>``, so that a host that returns
    with an empty disk is not taken for its former self.
    """

    epoch: int = 0
    primary: str | None = None
    backup: str | None = None


class ViewRecord(Message):
    """The newest view known, and the one that this replica has asked for."""

    view: LedgerView
    asked: LedgerView | None = None


class _Identity(Message):
    identity: str


class Fingerprints(Message):
    """Concatenated fingerprints of expired keys."""

    data: bytes


Record = ClaimEntry | ViewRecord | Fingerprints
_StoredRecord = ClaimEntry | ViewRecord | _Identity | Fingerprints


class FingerprintSet:
    """Set of 16-byte fingerprints that takes little more than 16 bytes each."""

    def __init__(self) -> None:
        self._sorted = b""
        self._recent: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._sorted) // FINGERPRINT_BYTES + len(self._recent)

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._recent or self._search(fingerprint)

    def _search(self, fingerprint: bytes) -> bool:
        low, high = 0, len(self._sorted) // FINGERPRINT_BYTES
        while low < high:
            middle = (low + high) // 2
            start = middle * FINGERPRINT_BYTES
            found = self._sorted[start : start + FINGERPRINT_BYTES]
            if found == fingerprint:
                return True
            low, high = (middle + 1, high) if found < fingerprint else (low, middle)
        return False

    def add(self, fingerprint: bytes) -> None:
        """Add a fingerprint."""
        if fingerprint not in self:
            self._recent.add(fingerprint)
            if len(self._recent) > MAX_RECENT:
                self.pack()

    def add_packed(self, data: bytes) -> None:
        """Add concatenated fingerprints."""
        for start in range(0, len(data), FINGERPRINT_BYTES):
            self.add(data[start : start + FINGERPRINT_BYTES])

    def freeze(self) -> "FingerprintSet":
        """Return a copy for another thread; the packed part is shared."""
        frozen = FingerprintSet()
        frozen._sorted = self.pack()
        return frozen

    def pack(self) -> bytes:
        """Return all fingerprints, sorted and concatenated."""
        if self._recent:
            size = FINGERPRINT_BYTES
            starts = range(0, len(self._sorted), size)
            kept = [self._sorted[start : start + size] for start in starts]
            self._sorted = b"".join(sorted(kept + list(self._recent)))
            self._recent = set()
        return self._sorted


@dataclass
class ClaimSnapshot:
    """Content of a store.

    Parameters
    ----------
    entries : dict
        Entries by fingerprint.
    expired : FingerprintSet
        Keys whose entry is no longer kept; they may have run.
    record : ViewRecord
        Newest view record.
    """

    entries: dict[bytes, ClaimEntry] = field(default_factory=dict)
    expired: FingerprintSet = field(default_factory=FingerprintSet)
    record: ViewRecord = field(default_factory=lambda: ViewRecord(LedgerView()))

    def apply(self, record: _StoredRecord) -> None:
        """Add a record that was read."""
        if isinstance(record, ClaimEntry):
            if record.fingerprint not in self.expired:
                self.entries[record.fingerprint] = record
        elif isinstance(record, ViewRecord):
            self.record = record
        elif isinstance(record, Fingerprints):
            self.expired.add_packed(record.data)

    def expire_entries(self, oldest_wall_s: float) -> None:
        """Drop entries from before `oldest_wall_s`, but keep their fingerprints.

        A released key never ran; nothing is kept of it.
        """
        old = [e for e in self.entries.values() if e.wall_s < oldest_wall_s]
        for entry in old:
            del self.entries[entry.fingerprint]
            if entry.state != "released":
                self.expired.add(entry.fingerprint)


def encode_snapshot(identity: str, snapshot: ClaimSnapshot) -> Iterator[bytes]:
    """Return the payloads of a new store."""
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
    """Add a payload to `snapshot` and return the identity if it holds one."""
    identity = None
    for record in msgspec.msgpack.decode(payload, type=list[_StoredRecord]):
        if isinstance(record, _Identity):
            identity = record.identity
        snapshot.apply(record)
    return identity
