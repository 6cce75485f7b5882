"""Tests of the log stores in memory and on disk."""

import os
import random
import time
import unittest

from buckthorndeal.consensus import (
    Ballot,
    Entry,
    EntryKind,
    Membership,
    ReplicaId,
    Snapshot,
)
from buckthorndeal.consensus._logstore_disk import FILE_HEADER
from buckthorndeal.consensus.logstore import (
    create_disk_log_store,
    create_memory_log_store,
)
from buckthorndeal.errors import CorruptStoreError, StoreError
from tests.temporary_directories import create_durable_directory

REPLICA = ReplicaId("a", 1)
MEMBERSHIP = Membership((REPLICA,))


def make_entries(first, last, term=1):
    return [
        Entry(index, term, EntryKind.DATA, b"entry %d" % index)
        for index in range(first, last + 1)
    ]


class StoreCase:
    """Tests of both stores; subclasses set `store` and provide `reopen`."""

    def test_entries_survive_append_and_truncate(self):
        """Guards against a truncation that is off by one entry."""
        self.store.append(make_entries(1, 5))
        self.store.truncate(4)
        self.store.append(make_entries(4, 6, term=2))
        self.store.sync()
        expected = make_entries(1, 3) + make_entries(4, 6, term=2)
        self.assertEqual(self.reopen().load().entries, expected)

    def test_snapshot_keeps_entries_after_it(self):
        """Guards against a compaction that removes entries after the snapshot."""
        self.store.append(make_entries(1, 5))
        self.store.sync()
        self.store.save_snapshot(Snapshot(3, 1, MEMBERSHIP, b"state"))
        self.store.append(make_entries(6, 7))
        self.store.sync()
        state = self.reopen().load()
        self.assertEqual(state.snapshot, Snapshot(3, 1, MEMBERSHIP, b"state"))
        self.assertEqual(state.entries, make_entries(4, 7))

    def test_snapshot_of_another_history_drops_the_log(self):
        """Guards against conflicting entries that are kept after a snapshot install."""
        self.store.append(make_entries(1, 5))
        self.store.save_snapshot(Snapshot(3, 2, MEMBERSHIP, b"state"))
        self.store.append(make_entries(4, 4, term=2))
        self.store.sync()
        state = self.reopen().load()
        self.assertEqual(state.entries, make_entries(4, 4, term=2))

    def test_ballot_and_incarnation_are_kept(self):
        """Guards against a second vote in one term after a restart."""
        incarnation = self.store.incarnation
        self.store.save_ballot(Ballot(7, REPLICA))
        store = self.reopen()
        self.assertEqual(store.load().ballot, Ballot(7, REPLICA))
        self.assertEqual(store.incarnation, incarnation)
        self.assertNotEqual(incarnation, 0)


class MemoryLogStoreTest(StoreCase, unittest.TestCase):
    """Tests of the store in memory, which cannot be reopened."""

    def setUp(self):
        self.store = create_memory_log_store(random.Random(1))

    def reopen(self):
        return self.store

    def test_is_not_durable(self):
        """Guards against a vote by a host without a disk."""
        self.assertFalse(self.store.durable)


class DiskLogStoreTest(StoreCase, unittest.TestCase):
    """Tests of the store on disk, also with torn tails and damaged files."""

    def setUp(self):
        directory = create_durable_directory()
        self.addCleanup(directory.cleanup)
        self.directory = os.path.join(directory.name, "replica")
        self.store = self.open()

    def open(self):
        store = create_disk_log_store(self.directory, random.Random())
        self.addCleanup(store.close)
        return store

    def reopen(self):
        self.store.close()
        self.store = self.open()
        return self.store

    def read(self, name):
        with open(os.path.join(self.directory, name), "rb") as stream:
            return stream.read()

    def write(self, name, content):
        with open(os.path.join(self.directory, name), "wb") as stream:
            stream.write(content)

    def test_every_torn_tail_is_truncated(self):
        """Guards against a restart after a torn write that fails or adds an entry."""
        self.store.append(make_entries(1, 2))
        self.store.sync()
        complete = len(self.read("log"))
        self.store.append(make_entries(3, 3))
        content = self.read("log")
        for length in range(complete, len(content)):
            self.store.close()
            self.write("log", content[:length])
            self.assertEqual(self.reopen().load().entries, make_entries(1, 2))
            self.assertEqual(len(self.read("log")), complete)
        self.store.append(make_entries(3, 3, term=2))
        self.store.sync()
        self.assertEqual(self.reopen().load().entries[-1].term, 2)

    def test_damaged_length_in_the_middle_is_not_a_torn_tail(self):
        """Guards against loss of synced entries after a damaged length field."""
        self.store.append(make_entries(1, 3))
        self.store.sync()
        self.store.close()
        content = bytearray(self.read("log"))
        content[len(FILE_HEADER)] = 0xFF
        self.write("log", content)
        with self.assertRaises(CorruptStoreError) as caught:
            self.open()
        self.assertEqual(caught.exception.offset, len(FILE_HEADER))
        self.assertEqual(caught.exception.file, os.path.join(self.directory, "log"))

    def test_record_inside_a_torn_payload_is_not_an_intact_record(self):
        """Guards against a torn record that is reported as corruption.

        Its payload holds complete records, which the scan of the tail must skip.
        """
        self.store.append(make_entries(1, 2))
        self.store.sync()
        log = self.read("log")[len(FILE_HEADER) :]
        self.store.append([Entry(3, 1, EntryKind.DATA, log * 3)])
        self.store.close()
        self.write("log", self.read("log")[:-1])
        self.assertEqual(self.open().load().entries, make_entries(1, 2))

    def test_interrupted_snapshot_replacement_is_finished(self):
        """Guards against a crash between the replacements of snapshot and log."""
        self.store.append(make_entries(1, 5))
        self.store.sync()
        log = self.read("log")
        for term, kept in ((1, make_entries(4, 5)), (2, [])):
            self.store.save_snapshot(Snapshot(3, term, MEMBERSHIP, b"state"))
            self.store.close()
            self.write("log", log)
            self.assertEqual(self.reopen().load().entries, kept)
            self.assertEqual(self.reopen().load().entries, kept)

    def test_missing_files_are_an_error(self):
        """Guards against a missing file treated as a new store that may vote again."""
        self.store.append(make_entries(1, 3))
        self.store.sync()
        self.store.close()
        for name in ("identity", "ballot", "log"):
            content = self.read(name)
            os.remove(os.path.join(self.directory, name))
            with self.subTest(name), self.assertRaises(CorruptStoreError):
                self.open()
            self.write(name, content)
        self.assertEqual(self.open().load().entries, make_entries(1, 3))

    def test_second_opener_is_refused(self):
        """Guards against two processes that write to one store."""
        with self.assertRaises(StoreError):
            self.open()

    def test_store_refuses_writes_after_a_failed_one(self):
        """Guards against an acknowledgement after a failed sync."""
        os.close(self.store._log_fd)
        with self.assertRaises(StoreError):
            self.store.sync()
        self.store._log_fd = None
        with self.assertRaises(StoreError):
            self.store.append(make_entries(1, 1))

    def test_restart_after_hundreds_of_entries_is_fast(self):
        """Guards against a restart that takes 1 s of CPU time or more."""
        entries = [Entry(i, 1, EntryKind.DATA, bytes(500)) for i in range(1, 1001)]
        self.store.append(entries)
        self.store.sync()
        self.store.close()
        started_s = time.process_time()
        self.assertEqual(len(self.open().load().entries), 1000)
        self.assertLess(time.process_time() - started_s, 1.0)

    def test_damaged_bytes_give_an_error_or_a_prefix(self):
        """Guards against other errors, hangs and wrong entries with damaged files."""
        rng = random.Random(20)
        self.store.save_ballot(Ballot(3, REPLICA))
        self.store.append(make_entries(1, 4))
        self.store.save_snapshot(Snapshot(2, 1, MEMBERSHIP, b"state"))
        self.store.append(make_entries(5, 12, term=2))
        self.store.sync()
        intact = self.store.load()
        self.store.close()
        files = {n: self.read(n) for n in ("log", "ballot", "snapshot", "identity")}
        errors = 0
        for _ in range(1500):
            name = rng.choice(("log", "log", "log", "ballot", "snapshot", "identity"))
            self.write(name, damage(files[name], rng))
            try:
                store = create_disk_log_store(self.directory, rng)
            except CorruptStoreError:
                errors += 1
            else:
                state = store.load()
                store.close()
                self.assertEqual(state.ballot, intact.ballot)
                self.assertEqual(state.snapshot, intact.snapshot)
                count = len(state.entries)
                self.assertEqual(state.entries, intact.entries[:count])
            self.write(name, files[name])
            self.write("log", files["log"])
        self.assertGreater(errors, 500)


def damage(content, rng):
    """Return `content` with flipped, removed, inserted, zeroed or moved bytes."""
    content = bytearray(content)
    start = rng.randrange(len(content))
    length = rng.randrange(1, 40)
    kind = rng.randrange(6)
    if kind == 0:
        content[start] ^= 1 << rng.randrange(8)
    elif kind == 1:
        del content[start:]
    elif kind == 2:
        del content[start : start + length]
    elif kind == 3:
        content[start:start] = rng.randbytes(length)
    elif kind == 4:
        content[start : start + length] = bytes(len(content[start : start + length]))
    else:
        content += content[start : start + length]
    return bytes(content)


if __name__ == "__main__":
    unittest.main()
