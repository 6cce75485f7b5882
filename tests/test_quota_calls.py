"""Tests of the search for the leader that grants units, with simulated links."""

import time
import unittest

import curio

from buckthorndeal.errors import PeerError, Verdict
from buckthorndeal.fleet import QuotaGrants, QuotaRedirect, QuotaRequest
from buckthorndeal.gateway._quota_calls import QuotaCaller
from buckthorndeal.mailbox import create_mailbox

REMOTE_S = 0.17


class FakeLinks:
    """Coordinators that reply after a delay, or never if frozen."""

    def __init__(self, leader, frozen=(), near=()):
        self.leader = leader
        self.named = leader
        self.frozen = set(frozen)
        self.near = set(near)
        self.leader_s = None
        self.calls = []

    async def call(self, host, request, timeout_s):
        self.calls.append(host)
        delay_s = 0.001 if host in self.near else REMOTE_S
        if host == self.leader and self.leader_s is not None:
            delay_s = self.leader_s
        if host in self.frozen or delay_s > timeout_s:
            await curio.sleep(timeout_s)
            raise PeerError("timeout", Verdict.MAY_HAVE_RUN)
        await curio.sleep(delay_s)
        if host == self.leader:
            return QuotaGrants(1, request.sequence, (5,))
        return QuotaRedirect(self.named)


class QuotaCallerTest(unittest.TestCase):
    hosts = [f"c{number}" for number in range(9)]

    def ask(self, links, times=1):
        """Return whether each of several asks of one caller brought a grant."""
        return curio.run(self._ask, links, times)

    async def _ask(self, links, times):
        mailbox = create_mailbox()
        caller = QuotaCaller(links, mailbox)
        granted = []
        for number in range(times):
            await caller.ask(self.hosts, QuotaRequest(1, number + 1, number, ()))
            envelope = await mailbox.receive()
            granted.append(envelope.message.reply is not None)
        return granted

    def test_nearest_frozen(self):
        """Guards against asks without a grant while the nearest one is frozen."""
        links = FakeLinks("c8", frozen=["c0"])
        self.assertEqual(self.ask(links, 3), [True] * 3)

    def test_two_nearest_frozen(self):
        """Guards against a total timeout that ends before the leader is found."""
        links = FakeLinks("c8", frozen=["c0", "c1"])
        self.assertEqual(self.ask(links, 3), [True] * 3)
        self.assertEqual(links.calls[-2:], ["c8", "c8"])

    def test_any_two_frozen_of_nine(self):
        """Guards against an order of coordinators for which no ask gets a grant."""
        for frozen in (["c0", "c2"], ["c1", "c2"], ["c6", "c7"]):
            with self.subTest(frozen=frozen):
                links = FakeLinks("c8", frozen=frozen, near=["c0", "c1", "c2"])
                self.assertEqual(self.ask(links, 2), [True] * 2)

    def test_leader_freezes(self):
        """Guards against a frozen former leader that is asked first for ever."""
        links = FakeLinks("c8")
        self.assertEqual(self.ask(links), [True])
        links.calls.clear()

        async def run():
            mailbox = create_mailbox()
            caller = QuotaCaller(links, mailbox)
            await caller.ask(self.hosts, QuotaRequest(1, 1, 0, ()))
            # The others still name the frozen one, until the next leader is elected.
            links.frozen.add("c8")
            await caller.ask(self.hosts, QuotaRequest(1, 2, 1, ()))
            links.leader = links.named = "c5"
            await caller.ask(self.hosts, QuotaRequest(1, 3, 1, ()))
            replies = [await mailbox.receive() for _ in range(3)]
            return [each.message.reply is not None for each in replies]

        self.assertEqual(curio.run(run), [True, False, True])

    def test_busy_leader_is_found_by_the_second_ask(self):
        """Guards against a slow leader that is only called with the short timeout."""
        links = FakeLinks("c0")
        links.leader_s = 0.3
        self.assertEqual(self.ask(links, 3)[1:], [True, True])

    def test_leader_under_way_is_not_asked_twice(self):
        """Guards against a second request with one number in one search."""
        links = FakeLinks("c1", near=["c0"])
        self.assertEqual(self.ask(links), [True])
        self.assertEqual(links.calls, ["c0", "c1"])

    def test_search_ends_within_the_total_time(self):
        """Guards against an ask that outlives the wait of the leases for its reply."""
        links = FakeLinks("c8", frozen=self.hosts)
        started_s = time.monotonic()
        self.assertEqual(self.ask(links), [False])
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_nobody_leads(self):
        """Guards against a search that asks each coordinator during an election."""
        links = FakeLinks(None, near=self.hosts)
        self.assertEqual(self.ask(links), [False])
        self.assertLessEqual(len(links.calls), 6)


if __name__ == "__main__":
    unittest.main()
