"""Tests of the claim stores in memory and on disk."""

import os
import unittest
from unittest import mock

from buckthorndeal.errors import CorruptStoreError, StoreError
from buckthorndeal.ledger.claims import (
    ClaimEntry,
    ClaimSnapshot,
    FingerprintSet,
    LedgerView,
    ViewRecord,
    open_disk_claim_store,
    open_memory_claim_store,
)
from tests.temporary_directories import create_durable_directory


def create_entry(number, state="claimed", wall_s=100.0):
    fingerprint = number.to_bytes(16, "big")
    return ClaimEntry(fingerprint, 1, 1, state, b"digest", "request", wall_s)


class ClaimStoreTests:
    """Tests that every claim store has to pass."""

    def test_synced_records_survive_and_others_do_not(self):
        """Guards against a granted claim that is lost in a restart."""
        store = self.open()
        record = ViewRecord(LedgerView(3, "a#1", "b#2"), LedgerView(4, "a#1"))
        store.append([create_entry(1), record])
        store.append([create_entry(1, "answered")])
        store.sync()
        store.append([create_entry(2)])
        identity = store.identity
        store = self.reopen(store)
        loaded = store.load()
        self.assertEqual(list(loaded.entries.values()), [create_entry(1, "answered")])
        self.assertEqual((loaded.record, store.identity), (record, identity))

    def test_compaction_keeps_every_fingerprint(self):
        """Guards against a request that runs again after its answer has expired."""
        store = self.open()
        states = ["answered", "claimed", "abandoned", "released", "answered"]
        entries = [create_entry(i, state, i) for i, state in enumerate(states)]
        store.append(entries)
        store.sync()
        snapshot = store.load()
        snapshot.expire_entries(4.0)
        store.compact(snapshot)
        store.append([create_entry(9)])
        store.sync()
        loaded = self.reopen(store).load()
        self.assertEqual(
            set(loaded.entries), {entries[4].fingerprint, b"\0" * 15 + b"\x09"}
        )
        expired = [e.fingerprint in loaded.expired for e in entries]
        self.assertEqual(expired, [True, True, True, False, False])


class MemoryClaimStoreTest(ClaimStoreTests, unittest.TestCase):
    """The store in memory."""

    def open(self):
        return open_memory_claim_store()

    def reopen(self, store):
        store.close()
        return store


class DiskClaimStoreTest(ClaimStoreTests, unittest.TestCase):
    """The store on disk, and damage to its file."""

    def setUp(self):
        directory = create_durable_directory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.path = os.path.join(directory.name, "claims.log")

    def open(self):
        store = open_disk_claim_store(self.directory)
        self.addCleanup(store.close)
        return store

    def reopen(self, store):
        store.close()
        return self.open()

    def write_frames(self, count):
        store = self.open()
        ends = []
        for number in range(count):
            store.append([create_entry(number)])
            store.sync()
            ends.append(store.get_size())
        store.close()
        return ends

    def test_opened_store_is_synced_before_its_content_is_used(self):
        """Guards against a claim that a killed process wrote and never synced.

        A restarted host acts on it, and then loses it with the power.
        """
        self.write_frames(1)
        with mock.patch("os.fsync") as sync:
            synced = []
            sync.side_effect = lambda descriptor: synced.append(
                os.fstat(descriptor).st_ino
            )
            self.open()
        for path in (self.path, self.directory):
            self.assertIn(os.stat(path).st_ino, synced)

    def test_torn_tail_is_truncated_at_every_byte(self):
        """Guards against a store that does not open after a crash."""
        ends = self.write_frames(3)
        with open(self.path, "rb") as file:
            data = file.read()
        for size in range(ends[1], ends[2]):
            with open(self.path, "wb") as file:
                file.write(data[:size])
            store = self.open()
            self.assertEqual(len(store.load().entries), 2)
            self.assertEqual(store.get_size(), ends[1])
            store.append([create_entry(7)])
            store.sync()
            self.assertEqual(len(self.reopen(store).load().entries), 3)

    def test_damaged_middle_names_file_and_offset(self):
        """Guards against synced claims that are silently lost."""
        ends = self.write_frames(3)
        with open(self.path, "rb") as file:
            data = file.read()
        for position in range(ends[0], ends[1]):
            damaged = bytearray(data)
            damaged[position] ^= 0x10
            with open(self.path, "wb") as file:
                file.write(damaged)
            with self.assertRaises(CorruptStoreError) as caught:
                self.open()
            error = caught.exception
            self.assertEqual((error.file, error.offset), (self.path, ends[0]))

    def test_interrupted_compaction_leaves_the_old_file(self):
        """Guards against a partly written file that is used as the store."""
        self.write_frames(2)
        with open(os.path.join(self.directory, "claims.new"), "wb") as file:
            file.write(b"half")
        store = self.open()
        self.assertEqual(len(store.load().entries), 2)
        store.compact(ClaimSnapshot())

    def test_store_refuses_work_after_a_failed_sync(self):
        """Guards against acknowledging records whose pages the kernel has dropped."""
        store = self.open()
        store._file.close()
        store._file = open("/dev/full", "ab", buffering=0)
        for _ in range(2):
            store.append([create_entry(1)])
            with self.assertRaises(StoreError):
                store.sync()


class FingerprintSetTest(unittest.TestCase):
    """The set of packed fingerprints."""

    def test_packed_and_recent_fingerprints_are_found(self):
        """Guards against a binary search that misses the first or last fingerprint."""
        numbers = [n * 37 % 1009 for n in range(500)]
        fingerprints = [n.to_bytes(16, "big") for n in numbers]
        fingerprint_set = FingerprintSet()
        for fingerprint in fingerprints[:300]:
            fingerprint_set.add(fingerprint)
        fingerprint_set.pack()
        fingerprint_set.add_packed(b"".join(fingerprints[300:]))
        self.assertEqual(len(fingerprint_set), 500)
        self.assertTrue(
            all(fingerprint in fingerprint_set for fingerprint in fingerprints)
        )
        self.assertNotIn((2000).to_bytes(16, "big"), fingerprint_set)


if __name__ == "__main__":
    unittest.main()
