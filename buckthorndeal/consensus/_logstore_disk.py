"""Log store in a directory on disk.

The directory holds the files `identity`, `ballot` and `snapshot`, which are replaced
atomically, and the file `log`, to which checksummed records are appended. When a
store is created, `identity` is written last; a directory without it holds no store.

An earlier process may have ended between a write and its sync. Its writes can be read
but are lost with the power, so a store that is opened syncs what it has read.
"""

import contextlib
import fcntl
import os
import struct
import zlib
from collections.abc import Iterator
from typing import Any

import msgspec

from buckthorndeal._files import (
    TEMPORARY_SUFFIX,
    create_file,
    make_directory,
    sync_directory,
)
from buckthorndeal.consensus._logstore_base import LogStore, StoredState
from buckthorndeal.consensus._records import Ballot, Entry, Snapshot, select_suffix
from buckthorndeal.errors import DECODING_ERRORS, CorruptStoreError, StoreError

FILE_HEADER = b"BDLOG\x00\x00\x01"
# Length, checksum of length and offset, checksum of the payload. The first checksum
# covers the offset so that a copy of a record inside the payload of another one is
# not mistaken for a record when the tail is scanned.
RECORD_HEADER = struct.Struct(">III")
HEADER_CHECKSUM_INPUT = struct.Struct(">IQ")

_ENCODER = msgspec.msgpack.Encoder()


def encode_record(payload: bytes, offset: int) -> bytes:
    """Return `payload` encoded as a record that starts at `offset`."""
    header_checksum = zlib.crc32(HEADER_CHECKSUM_INPUT.pack(len(payload), offset))
    header = RECORD_HEADER.pack(len(payload), header_checksum, zlib.crc32(payload))
    return header + payload


def read_record(content: memoryview, offset: int) -> bytes | None:
    """Return the payload of the record at `offset`, or None if it is not intact."""
    start = offset + RECORD_HEADER.size
    if start > len(content):
        return None
    length, header_checksum, payload_checksum = RECORD_HEADER.unpack_from(
        content, offset
    )
    if header_checksum != zlib.crc32(HEADER_CHECKSUM_INPUT.pack(length, offset)):
        return None
    if start + length > len(content):
        return None
    payload = bytes(content[start : start + length])
    return payload if zlib.crc32(payload) == payload_checksum else None


def scan_records(content: bytes, file: str) -> tuple[list[tuple[int, bytes]], int]:
    """Return the records as (offset, payload) and the end of the last intact one.

    Raises
    ------
    CorruptStoreError
        If the file header is damaged, or a damaged record is followed by an intact
        one.
    """
    if content[: len(FILE_HEADER)] != FILE_HEADER:
        raise CorruptStoreError(file, 0, "file header is not that of a log store")
    view = memoryview(content)
    records = []
    offset = len(FILE_HEADER)
    while offset < len(content):
        payload = read_record(view, offset)
        if payload is None:
            _check_torn_tail(view, offset, file)
            break
        records.append((offset, payload))
        offset += RECORD_HEADER.size + len(payload)
    return records, offset


def _check_torn_tail(view: memoryview, damaged_offset: int, file: str) -> None:
    """Raise if an intact record follows: the damage is then not a torn write."""
    for offset in range(damaged_offset + 1, len(view) - RECORD_HEADER.size + 1):
        if read_record(view, offset) is not None:
            raise CorruptStoreError(file, damaged_offset, "record is damaged")


class DiskLogStore(LogStore):
    """Log store in one directory; the module's docstring describes the files.

    Parameters
    ----------
    directory : str
        Data directory; created if it does not exist.
    incarnation : int
        Incarnation of a new store; an existing store keeps its own.
    """

    def __init__(self, directory: str, incarnation: int) -> None:
        self._directory = directory
        self._failed = False
        self._log_fd: int | None = None
        self._directory_fd = self._open_directory()
        try:
            if not os.path.exists(self._path("identity")):
                self._initialize(incarnation)
            self._incarnation = self._read_single_record("identity", int)
            self._state = self._read_state()
        except BaseException:
            self.close()
            raise

    @property
    def incarnation(self) -> int:
        return self._incarnation

    @property
    def durable(self) -> bool:
        return True

    def load(self) -> StoredState:
        state = self._state
        return StoredState(state.ballot, state.snapshot, list(state.entries))

    def save_ballot(self, ballot: Ballot) -> None:
        with self._guard_writes():
            self._replace_file("ballot", [_ENCODER.encode(ballot)])
        self._state.ballot = ballot

    def append(self, entries: list[Entry]) -> None:
        with self._guard_writes():
            offset = self._log_size
            offsets = []
            chunks = []
            for entry in entries:
                record = encode_record(_ENCODER.encode(entry), offset)
                offsets.append(offset)
                chunks.append(record)
                offset += len(record)
            self._write_all(self._log_fd, b"".join(chunks), self._log_size)
            self._log_size = offset
        self._entry_offsets.extend(offsets)
        self._state.entries.extend(entries)

    def truncate(self, first_index: int) -> None:
        entries = self._state.entries
        if not entries or first_index > entries[-1].index:
            return
        position = max(0, first_index - entries[0].index)
        with self._guard_writes():
            os.ftruncate(self._log_fd, self._entry_offsets[position])
            # A loss of power may keep the next write without this one, and the log
            # would then hold removed entries behind new ones.
            os.fsync(self._log_fd)
            self._log_size = self._entry_offsets[position]
        del entries[position:]
        del self._entry_offsets[position:]

    def sync(self) -> None:
        with self._guard_writes():
            os.fsync(self._log_fd)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        suffix = select_suffix(snapshot, self._state.entries)
        with self._guard_writes():
            self._replace_file("snapshot", [_ENCODER.encode(snapshot)])
            # A crash at this point leaves entries that the snapshot covers or
            # conflicts with; `_open_log` selects the same suffix again.
            self._replace_file("log", [_ENCODER.encode(entry) for entry in suffix])
            self._state.snapshot = snapshot
            self._open_log()

    def close(self) -> None:
        for descriptor in (self._log_fd, self._directory_fd):
            if descriptor is not None:
                os.close(descriptor)
        self._log_fd = None
        self._directory_fd = None
        self._failed = True

    def _path(self, name: str) -> str:
        return os.path.join(self._directory, name)

    def _open_directory(self) -> int:
        try:
            make_directory(self._directory)
            descriptor = os.open(self._directory, os.O_RDONLY | os.O_DIRECTORY)
        except OSError as error:
            raise StoreError(f"{self._directory}: {error.strerror}") from error
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise StoreError(f"{self._directory}: locked by another process") from error
        return descriptor

    def _initialize(self, incarnation: int) -> None:
        log = self._path("log")
        used = os.path.exists(log) and os.path.getsize(log) > len(FILE_HEADER)
        if used or os.path.exists(self._path("snapshot")):
            raise CorruptStoreError(self._path("identity"), 0, "file is missing")
        with self._guard_writes():
            self._replace_file("log", [])
            self._replace_file("ballot", [_ENCODER.encode(Ballot())])
            # Makes the directory's entry in its parent directory durable.
            sync_directory(os.path.dirname(os.path.abspath(self._directory)))
            self._replace_file("identity", [_ENCODER.encode(incarnation)])

    def _read_state(self) -> StoredState:
        with self._guard_writes():
            os.fsync(self._directory_fd)
        ballot = self._read_single_record("ballot", Ballot)
        snapshot = None
        if os.path.exists(self._path("snapshot")):
            snapshot = self._read_single_record("snapshot", Snapshot)
        self._state = StoredState(ballot, snapshot)
        self._open_log()
        return self._state

    def _open_log(self) -> None:
        """Read the log file, truncate its torn tail and remove covered entries."""
        if self._log_fd is not None:
            os.close(self._log_fd)
            self._log_fd = None
        file = self._path("log")
        records, self._log_size = scan_records(self._read_file("log"), file)
        entries = [_decode(payload, Entry, file, at) for at, payload in records]
        offsets = [offset for offset, _ in records]
        self._log_fd = os.open(file, os.O_RDWR)
        with self._guard_writes():
            if self._log_size != os.fstat(self._log_fd).st_size:
                os.ftruncate(self._log_fd, self._log_size)
            os.fsync(self._log_fd)
        _check_sequence(entries, offsets, self._state.snapshot, file)
        kept = entries
        if self._state.snapshot is not None:
            kept = select_suffix(self._state.snapshot, entries)
        self._state.entries = kept
        self._entry_offsets = offsets[len(entries) - len(kept) :] if kept else []
        if len(kept) != len(entries):
            # Complete a snapshot replacement that a crash has interrupted.
            with self._guard_writes():
                self._replace_file("log", [_ENCODER.encode(entry) for entry in kept])
            self._open_log()

    def _read_file(self, name: str) -> bytes:
        try:
            with open(self._path(name), "rb") as stream:
                return stream.read()
        except FileNotFoundError:
            raise CorruptStoreError(self._path(name), 0, "file is missing") from None
        except OSError as error:
            raise StoreError(f"{self._path(name)}: {error.strerror}") from error

    def _read_single_record(self, name: str, model: type) -> Any:
        file = self._path(name)
        content = self._read_file(name)
        records, end = scan_records(content, file)
        if len(records) != 1 or end != len(content):
            # The file is replaced atomically, so it cannot have a torn tail.
            raise CorruptStoreError(
                file,
                end,
                f"expected one record, found {len(records)} "
                f"and {len(content) - end} damaged bytes",
            )
        return _decode(records[0][1], model, file, records[0][0])

    def _replace_file(self, name: str, payloads: list[bytes]) -> None:
        """Replace a file atomically; the new content is durable on return."""
        content = bytearray(FILE_HEADER)
        for payload in payloads:
            content += encode_record(payload, len(content))
        temporary = self._path(name + TEMPORARY_SUFFIX)
        descriptor = create_file(temporary, 0o600)
        try:
            self._write_all(descriptor, bytes(content), 0)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, self._path(name))
        os.fsync(self._directory_fd)

    @staticmethod
    def _write_all(descriptor: int, content: bytes, offset: int) -> None:
        view = memoryview(content)
        while view:
            written = os.pwrite(descriptor, view, offset)
            view = view[written:]
            offset += written

    @contextlib.contextmanager
    def _guard_writes(self) -> Iterator[None]:
        """Context of a write; raises `StoreError` if an earlier write has failed.

        After a failed fsync the kernel may have discarded the dirty pages, and a
        second fsync would succeed without having written them.
        """
        if self._failed:
            raise StoreError(
                f"{self._directory}: store is closed or an earlier write failed"
            )
        try:
            yield
        except OSError as error:
            self._failed = True
            raise StoreError(f"{self._directory}: {error.strerror}") from error


def _decode(payload: bytes, model: type, file: str, offset: int) -> Any:
    try:
        return msgspec.msgpack.decode(payload, type=model)
    except DECODING_ERRORS as error:
        raise CorruptStoreError(file, offset, f"record is invalid: {error}") from error


def _check_sequence(
    entries: list[Entry], offsets: list[int], snapshot: Snapshot | None, file: str
) -> None:
    """Raise if the indexes have a gap or a term decreases."""
    if not entries:
        return
    base = snapshot.index if snapshot else 0
    if entries[0].index > base + 1:
        raise CorruptStoreError(
            file,
            offsets[0],
            f"entries {base + 1} to {entries[0].index - 1} are missing",
        )
    for position in range(1, len(entries)):
        previous, entry = entries[position - 1], entries[position]
        if entry.index != previous.index + 1 or entry.term < previous.term:
            raise CorruptStoreError(
                file,
                offsets[position],
                f"entry {entry.index} of term {entry.term} follows "
                f"entry {previous.index} of term {previous.term}",
            )
