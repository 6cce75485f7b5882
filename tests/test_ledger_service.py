"""Tests of the ledger service with two hosts and their stores."""

import random
import time
import unittest

import curio

from buckthorndeal.errors import StoreError
from buckthorndeal.ledger import (
    Outcome,
    ViewLearned,
    create_ledger,
    create_ledger_service,
    is_view_change_allowed,
)
from buckthorndeal.ledger.claims import (
    LedgerView,
    open_disk_claim_store,
    open_memory_claim_store,
)
from tests.temporary_directories import create_durable_directory

TIMEOUT_S = 20.0


class HostPair:
    """Services of two hosts, connected directly to each other and to the view."""

    def __init__(self):
        self.view = LedgerView()
        self.services = {}

    async def start(self, host, store):
        async def send(target, message):
            if target in self.services:
                await self.services[target].receive(message, host)

        async def propose(effect):
            if is_view_change_allowed(self.view, effect):
                self.view = effect.view
            for service in self.services.values():
                await service.handle(ViewLearned(self.view))

        now_s = time.monotonic()
        ledger = create_ledger(
            host,
            store.identity,
            "r",
            lambda _: "r",
            store.load(),
            random.Random(1),
            now_s,
            time.time(),
        )
        service = create_ledger_service(ledger, store, send, propose)
        self.services[host] = service
        await service.start()
        await service.handle(ViewLearned(self.view))
        return service

    async def close(self):
        for service in self.services.values():
            await service.close()


class LedgerServiceTest(unittest.TestCase):
    """The ledger service with real stores."""

    def run_scenario(self, scenario):
        async def main():
            with create_durable_directory() as directory:
                async with curio.timeout_after(TIMEOUT_S):
                    await scenario(directory)

        curio.run(main)

    def test_pair_forms_and_claims_share_syncs(self):
        """Guards against a backup that never joins, and against one fsync per claim."""

        async def scenario(directory):
            pair = HostPair()
            first = await pair.start("a", open_disk_claim_store(directory))
            while pair.view.primary is None:
                await curio.sleep(0.01)
            await pair.start("b", open_memory_claim_store())
            while pair.view.backup is None:
                await curio.sleep(0.01)
            before = first.sync_count
            tasks = [
                await curio.spawn(first.claim, bytes([i]) * 16, b"d", "r", TIMEOUT_S)
                for i in range(50)
            ]
            replies = [await task.join() for task in tasks]
            self.assertEqual({r.outcome for r in replies}, {Outcome.GRANTED})
            self.assertLess(first.sync_count - before, 25)
            recorded = await first.record_answer(replies[0].grant, 200, b"done")
            self.assertTrue(recorded.stored)
            await pair.close()

        self.run_scenario(scenario)

    def test_restarted_host_keeps_answers_and_unanswered_claims(self):
        """Guards against claims and answers that are not written to the store."""

        async def scenario(directory):
            pair = HostPair()
            service = await pair.start("a", open_disk_claim_store(directory))
            while pair.view.primary is None:
                await curio.sleep(0.01)
            for fingerprint in (b"1" * 16, b"2" * 16):
                reply = await service.claim(fingerprint, b"d", "r", TIMEOUT_S)
            await service.record_answer(reply.grant, 200, b"done")
            await service.close()
            service = await pair.start("a", open_disk_claim_store(directory))
            unanswered = await service.claim(b"1" * 16, b"d", "r", TIMEOUT_S)
            answer = await service.claim(b"2" * 16, b"d", "r", TIMEOUT_S)
            self.assertIs(unanswered.outcome, Outcome.MAY_HAVE_RUN)
            self.assertEqual((answer.status, answer.body), (200, b"done"))
            await service.close()

        self.run_scenario(scenario)

    def test_failed_store_stops_the_service(self):
        """Guards against granting claims after a failed sync."""

        async def scenario(directory):
            pair = HostPair()
            store = open_memory_claim_store()
            service = await pair.start("a", store)
            while pair.view.primary is None:
                await curio.sleep(0.01)

            def fail():
                raise StoreError("disk is full")

            store.sync = fail
            await curio.spawn(service.claim, b"1" * 16, b"d", "r", 1.0, daemon=True)
            with self.assertLogs(level="ERROR"), self.assertRaises(StoreError):
                await service.join()

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
