"""Claim store in an append-only file."""

import itertools
import os
import secrets
import zlib
from collections.abc import Iterable

import msgspec

from buckthorndeal._files import make_directory, replace_file, sync_directory
from buckthorndeal.errors import DECODING_ERRORS, CorruptStoreError, StoreError
from buckthorndeal.ledger._claim_records import (
    ClaimSnapshot,
    Record,
    apply_payload,
    encode_snapshot,
)
from buckthorndeal.ledger._claim_store import ClaimStore

FILE_NAME = "claims.log"
MAGIC = b"BKDCLM1\n"
LENGTH_BYTES = 4
CHECKSUM_BYTES = 4
HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES


class DiskClaimStore(ClaimStore):
    """Claim store in one append-only file.

    Each sync appends one frame: a 4-byte length, a CRC-32 of length and payload, and
    the payload. A frame is only written once the previous one is synced, so a crash
    can tear at most the last frame.

    Parameters
    ----------
    directory : str
        Directory of the file; it is created if it does not exist.
    """

    def __init__(self, directory: str) -> None:
        make_directory(directory)
        self._path = os.path.join(directory, FILE_NAME)
        self._appended: list[Record] = []
        self._is_unusable = False
        self.identity = ""
        if not os.path.exists(self._path):
            self._replace_file(encode_snapshot(secrets.token_hex(8), ClaimSnapshot()))
        self._loaded: ClaimSnapshot | None = self._read()
        self._file = open(self._path, "ab", buffering=0)
        # An earlier process may have ended before it synced what is read here.
        os.fsync(self._file.fileno())
        sync_directory(directory)

    def load(self) -> ClaimSnapshot:
        """Return the content that was synced."""
        loaded, self._loaded = self._loaded or self._read(), None
        return loaded

    def append(self, records: Iterable[Record]) -> None:
        """Add records to the next sync."""
        self._appended += records

    def sync(self) -> None:
        """Write the appended records as one frame and fsync the file."""
        self._check_usable()
        if not self._appended:
            return
        self._loaded = None
        frame = _create_frame(msgspec.msgpack.encode(self._appended))
        self._appended = []
        try:
            _write_all(self._file, frame)
            os.fsync(self._file.fileno())
        except OSError as error:
            self._is_unusable = True
            raise StoreError(f"{self._path}: {error}") from error

    def compact(self, snapshot: ClaimSnapshot) -> None:
        """Write `snapshot` to a new file and replace the old file atomically."""
        self._check_usable()
        self._loaded = None
        try:
            self._replace_file(encode_snapshot(self.identity, snapshot))
            self._file.close()
            self._file = open(self._path, "ab", buffering=0)
        except OSError as error:
            self._is_unusable = True
            raise StoreError(f"{self._path}: {error}") from error

    def get_size(self) -> int:
        """Return the size of the file in bytes."""
        return os.path.getsize(self._path)

    def close(self) -> None:
        """Close the file."""
        self._is_unusable = True
        self._file.close()

    def _check_usable(self) -> None:
        if self._is_unusable:
            raise StoreError(
                f"{self._path}: store is closed or an earlier write failed"
            )

    def _replace_file(self, payloads: Iterable[bytes]) -> None:
        frames = (_create_frame(payload) for payload in payloads)
        replace_file(self._path, itertools.chain((MAGIC,), frames))

    def _read(self) -> ClaimSnapshot:
        with open(self._path, "rb") as file:
            data = file.read()
        if not data.startswith(MAGIC):
            raise CorruptStoreError(
                self._path, 0, "not a claim store: the header is missing"
            )
        snapshot = ClaimSnapshot()
        offset = len(MAGIC)
        while offset < len(data):
            payload = _parse_payload(data, offset)
            if payload is None:
                self._truncate_torn_frame(data, offset)
                break
            self._apply(snapshot, payload, offset)
            offset += HEADER_BYTES + len(payload)
        if not self.identity:
            raise CorruptStoreError(
                self._path, len(MAGIC), "identity record is missing"
            )
        return snapshot

    def _apply(self, snapshot: ClaimSnapshot, payload: bytes, offset: int) -> None:
        try:
            self.identity = apply_payload(snapshot, payload) or self.identity
        except DECODING_ERRORS as error:
            raise CorruptStoreError(self._path, offset, str(error)) from error

    def _truncate_torn_frame(self, data: bytes, offset: int) -> None:
        """Cut off an incomplete last frame.

        A valid frame after it proves that it was damaged later, not torn by a crash.
        """
        following = range(offset + 1, len(data) - HEADER_BYTES)
        if any(_parse_payload(data, start) is not None for start in following):
            raise CorruptStoreError(
                self._path, offset, "damaged frame, followed by valid frames"
            )
        with open(self._path, "r+b") as file:
            file.truncate(offset)
            os.fsync(file.fileno())


def _create_frame(payload: bytes) -> bytes:
    length = len(payload).to_bytes(LENGTH_BYTES, "big")
    checksum = zlib.crc32(payload, zlib.crc32(length))
    return length + checksum.to_bytes(CHECKSUM_BYTES, "big") + payload


def _parse_payload(data: bytes, offset: int) -> bytes | None:
    length = data[offset : offset + LENGTH_BYTES]
    start = offset + HEADER_BYTES
    end = start + int.from_bytes(length, "big")
    if start > len(data) or end > len(data):
        return None
    payload = data[start:end]
    checksum = zlib.crc32(payload, zlib.crc32(length))
    stored = data[offset + LENGTH_BYTES : start]
    return payload if checksum.to_bytes(CHECKSUM_BYTES, "big") == stored else None


def _write_all(file: object, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]
