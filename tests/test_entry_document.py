"""Tests of the configuration document at entry hosts.

They cover its distribution, restarts, isolated control hosts and the store.
"""

import os
import unittest
from unittest import mock

import curio
import msgspec

from buckthorndeal.document import create_document
from buckthorndeal.entry._store import DocumentStore
from buckthorndeal.errors import CorruptStoreError
from tests.system import TEXTS, System, SystemCase
from tests.temporary_directories import create_durable_directory

ACTIVATION_BOUND_S = 3.0


async def change_support(system, base_revision, contact, place="c1", hosts=None):
    """Change the section `support` at the control leader."""
    client = system.create_client(place, hosts)
    body = {
        "base_revision": base_revision,
        "change_id": f"change-{base_revision}-{contact}",
        "text": msgspec.json.encode({"contact": contact}).decode(),
    }
    try:
        target = "/v1/document/support/changes"
        status, answer = await client.request("POST", target, body)
        assert status == 200, answer
    finally:
        await client.close()


async def wait_for_revision(system, hosts, revision):
    started_s = await curio.clock()
    for host in hosts:
        while await system.get_revision(host) < revision:
            await curio.sleep(0.01)
    return await curio.clock() - started_s


class EntryDocumentTest(SystemCase):
    """The active document of entry hosts with real control hosts."""

    def test_change_reaches_all_hosts_and_survives_restart_without_control(self):
        """Guards against a change that is late, or lost after a restart."""

        async def scenario(system):
            await change_support(system, 1, "desk")
            took_s = await wait_for_revision(system, system.hosts, 2)
            for host in list(system.control_hosts):
                await system.stop_control_host(host)
            await system.stop_host("e4")
            await system.start_host("e4")
            return took_s, await system.get_revision("e4")

        took_s, revision = self.run_system(scenario, System(control=True))
        self.assertLess(took_s, ACTIVATION_BOUND_S)
        self.assertEqual(revision, 2)

    def test_host_does_not_follow_a_source_that_is_behind(self):
        """Guards against an older revision from an isolated control host."""

        async def scenario(system):
            system.shape.partition({"c1"}, {"c2", "c3", "e1", "e2", "e3", "e4"})
            await change_support(system, 1, "new", "c2", ("c2", "c3"))
            await wait_for_revision(system, system.hosts, 2)
            await system.stop_host("e1")
            system.shape.heal_all()
            system.shape.partition({"e1"}, {"c2", "c3"})
            system.shape.partition({"c1"}, {"c2", "c3"})
            await system.start_host("e1")
            return await system.get_revision("e1")

        self.assertEqual(self.run_system(scenario, System(control=True)), 2)


class DocumentStoreTest(unittest.TestCase):
    """Persistence of the newest document."""

    def test_document_is_read_back_and_damage_is_found(self):
        """Guards against starting with a damaged file."""
        with create_durable_directory() as directory:
            store = DocumentStore(directory)
            self.assertIsNone(store.load())
            document = create_document(TEXTS)
            store.save(document)
            self.assertEqual(store.load(), document)
            with open(f"{directory}/document", "r+b") as file:
                file.seek(40)
                file.write(b"\xff")
            with self.assertRaises(CorruptStoreError):
                store.load()

    def test_folder_is_synced_before_a_document_is_read(self):
        """Guards against an older document after a loss of power than one in force."""
        with create_durable_directory() as directory:
            DocumentStore(directory).save(create_document(TEXTS))
            synced = []
            with mock.patch("os.fsync") as sync:
                sync.side_effect = lambda descriptor: synced.append(
                    os.fstat(descriptor).st_ino
                )
                DocumentStore(directory).load()
            self.assertEqual(synced, [os.stat(directory).st_ino])
