"""Tests of admission control."""

import unittest

from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.policy.admission import (
    AdmissionRequest,
    Queued,
    Ticket,
    create_admission,
)


def _request(name="r", workspace="w", **fields):
    return AdmissionRequest(name, workspace, **({"deadline_s": 100.0} | fields))


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.admission = create_admission(capacity=2, max_waiters=4)
        self.first = self.admission.admit(_request(workspace="x"), 0.0)
        self.admission.admit(_request(workspace="y"), 0.0)

    def _expect_refusal(self, request, now_s=0.0):
        with self.assertRaises(RequestError) as caught:
            self.admission.admit(request, now_s)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        self.assertGreater(caught.exception.retry_after_s, 0)
        return caught.exception

    def test_deadline_that_cannot_be_met_is_refused_at_once(self):
        """Guards against running requests whose responses come too late."""
        free = create_admission(capacity=2)
        with self.assertRaises(RequestError) as caught:
            free.admit(_request(deadline_s=1.0, expected_wait_s=0.8, service_s=0.5), 0)
        self.assertEqual(caught.exception.code, "deadline")
        self.assertIsInstance(free.admit(_request(deadline_s=1.0), 0.0), Ticket)
        self.assertEqual(
            self._expect_refusal(_request(deadline_s=0.2)).code, "deadline"
        )

    def test_workspace_rate_and_concurrency(self):
        """Guards against one workspace that uses the whole capacity of a host."""
        admission = create_admission(capacity=10)
        limits = {"requests_per_s": 2.0, "burst": 2, "concurrency": 3}
        for _ in range(2):
            admission.admit(_request(**limits), 0.0)
        with self.assertRaises(RequestError) as caught:
            admission.admit(_request(**limits), 0.0)
        self.assertEqual(caught.exception.code, "rate_limited")
        self.assertAlmostEqual(caught.exception.retry_after_s, 0.5)
        admission.admit(_request(**limits), 0.5)
        with self.assertRaises(RequestError) as caught:
            admission.admit(_request(**limits), 5.0)
        self.assertEqual(caught.exception.code, "concurrency_limited")

    def test_refused_request_costs_no_rate(self):
        """Guards against refusals that use up the workspace's rate."""
        limits = {"burst": 1, "requests_per_s": 0.01}
        self._expect_refusal(_request("a", "z", deadline_s=0.1, **limits))
        self.assertIsInstance(
            self.admission.admit(_request("a", "z", **limits), 0), Queued
        )

    def test_release_grants_by_priority_then_fair_share(self):
        """Guards against a busy workspace that starves the others."""
        for name, workspace, priority in (
            ("y1", "y", 5),
            ("y2", "y", 5),
            ("z1", "z", 5),
            ("v1", "v", 9),
        ):
            self.admission.admit(_request(name, workspace, priority=priority), 0.0)
        order = []
        ticket = self.first
        while ticket is not None:
            granted = self.admission.release(ticket, 1.0)
            ticket = granted[0] if granted else None
            order += [entry.request.request_id for entry in granted]
        self.assertEqual(order, ["v1", "z1", "y1", "y2"])

    def test_second_release_has_no_effect(self):
        """Guards against more running requests than the capacity."""
        self.admission.admit(_request("a"), 0.0)
        self.admission.admit(_request("b"), 0.0)
        self.assertEqual(len(self.admission.release(self.first, 1.0)), 1)
        self.assertEqual(self.admission.release(self.first, 1.0), [])
        self.assertEqual(self.admission.running, 2)

    def test_full_queue_displaces_low_priorities_and_large_shares(self):
        """Guards against one workspace that fills the queue under overload."""
        for name in "abcd":
            self.admission.admit(_request(name, "big", priority=5), 0.0)
        self.assertEqual(self._expect_refusal(_request("e", "big")).code, "overloaded")
        self.assertEqual(
            self._expect_refusal(_request("f", "low", priority=1)).code, "overloaded"
        )
        queued = self.admission.admit(_request("g", "small"), 0.0)
        self.assertEqual(
            [entry.request.request_id for entry in queued.displaced], ["d"]
        )
        self.assertIs(queued.displaced[0].error.verdict, Verdict.NOT_RUN)
        queued = self.admission.admit(_request("h", "urgent", priority=9), 0.0)
        self.assertEqual(
            [entry.request.request_id for entry in queued.displaced], ["c"]
        )
        self.assertEqual(self.admission.waiting, 4)

    def test_waiters_are_refused_once_their_latest_start_has_passed(self):
        """Guards against delaying a refusal until the deadline."""
        request = _request("late", deadline_s=10.0, service_s=8.0)
        self.admission.admit(request, 0.0)
        self.admission.admit(_request("patient"), 0.0)
        self.assertEqual(self.admission.get_next_expiry(), 2.0)
        self.assertEqual(self.admission.expire(1.9), [])
        refused = self.admission.expire(2.1)
        self.assertEqual([entry.request.request_id for entry in refused], ["late"])
        self.assertGreater(refused[0].error.retry_after_s, 0)

    def test_no_waiter_is_queued_for_most_of_its_deadline(self):
        """Guards against a refusal that comes near the deadline."""
        self.admission.admit(_request("a", deadline_s=10.0), 0.0)
        self.assertEqual(len(self.admission.expire(2.6)), 1)

    def test_late_waiter_gets_no_ticket(self):
        """Guards against running a request that is refused at the same time."""
        self.admission.admit(_request("late", deadline_s=10.0), 0.0)
        self.admission.admit(_request("patient"), 0.0)
        granted = self.admission.release(self.first, 11.0)
        self.assertEqual(granted[0].request.request_id, "patient")

    def test_capacity_adapts_to_the_endpoints_load(self):
        """Guards against refusals by a busy host while endpoints have free slots."""
        admission = create_admission(capacity=10, max_capacity=13)
        for number in range(14):
            admission.admit(_request(f"r{number}", f"w{number}"), 0.0)
        self.assertEqual(len(admission.adapt_capacity(0.5, 1.0)), 2)
        self.assertEqual(admission.adapt_capacity(0.5, 1.1), [])
        self.assertEqual(len(admission.adapt_capacity(0.5, 2.1)), 1)
        self.assertEqual(admission.adapt_capacity(0.5, 3.2), [])
        self.assertEqual(admission.running, 13)

    def test_capacity_returns_to_its_share_when_all_are_busy(self):
        """Guards against one host that keeps capacity which the others need again."""
        admission = create_admission(capacity=10, max_capacity=20)
        tickets = [admission.admit(_request(str(n), f"w{n}"), 0.0) for n in range(10)]
        for number in range(8):
            admission.admit(_request(f"q{number}", f"v{number}"), 0.0)
        tickets += admission.adapt_capacity(0.5, 1.0)
        for step in range(10):
            admission.adapt_capacity(2.0, 3.0 + 2 * step)
        self.assertEqual(admission.release(tickets[0], 24.0), [])
        self.assertEqual(admission.release(tickets[1], 24.0), [])
        self.assertEqual(len(admission.release(tickets[2], 24.0)), 1)

    def test_cancelled_waiter_gets_no_ticket(self):
        """Guards against running a request whose caller has gone."""
        self.admission.admit(_request("gone"), 0.0)
        self.assertTrue(self.admission.cancel("gone"))
        self.assertFalse(self.admission.cancel("gone"))
        self.assertEqual(self.admission.release(self.first, 1.0), [])


if __name__ == "__main__":
    unittest.main()
