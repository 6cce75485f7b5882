"""Tests of keys that are in doubt: neither quarantined nor cleared yet."""

import itertools
import unittest

from buckthorndeal.quarantine import create_quarantine
from tests.quarantine_harness import HOSTS, EvidenceTestCase, is_held


class DoubtTest(EvidenceTestCase):
    """Ends that decide nothing leave a request or a part to one host at a time."""

    def end_three_at_once(self, *keys):
        """Report three ends at nearly the same moment; return their evidence."""
        for number in range(3):
            self.end_endpoint(number, *keys, request=f"a{number}", after_s=0.05)
        self.review()
        return self.quarantine.export(self.now_s)

    def test_request_in_doubt_is_sent_by_one_host_at_a_time(self):
        evidence = self.end_three_at_once("r1")
        quarantines = [create_quarantine(host) for host in HOSTS]
        for number, each in enumerate(quarantines):
            each.receive(evidence, self.now_s + 0.3 * number)
        senders = set()
        for step in range(600):
            now_s = self.now_s + 0.1 * step
            allowed = [
                each
                for each in quarantines
                if not is_held(each, ["r1"], (), HOSTS, now_s)
            ]
            self.assertLessEqual(len(allowed), 1)
            senders.update(id(each) for each in allowed)
        self.assertEqual(len(senders), len(HOSTS))

    def test_request_in_doubt_is_sent_once_in_a_turn(self):
        self.end_three_at_once("r1")
        sent_s = []
        for step in range(200):
            now_s = self.now_s + 0.1 * step
            if not is_held(self.quarantine, ["r1"], (), ("h1",), now_s):
                self.quarantine.record_sent(["r1"], now_s)
                sent_s.append(now_s)
        gaps = [later - sooner for sooner, later in itertools.pairwise(sent_s)]
        self.assertGreater(len(gaps), 1)
        self.assertGreater(min(gaps), 4.9)

    def test_host_without_others_sends_no_request_in_doubt(self):
        self.end_three_at_once("r1")
        for after_s in (3.0, 30.0, 300.0):
            now_s = self.now_s + after_s
            self.assertTrue(is_held(self.quarantine, ["r1"], (), (), now_s))

    def test_answer_ends_the_doubt(self):
        self.end_three_at_once("r1")
        self.assertTrue(self.quarantine.is_in_doubt(["r1"], self.now_s))
        self.quarantine.record_answer(["r1"], self.now_s, self.now_s + 0.1)
        self.now_s += 0.2
        self.assertFalse(self.quarantine.is_in_doubt(["r1"], self.now_s))
        held = is_held(self.quarantine, ["r1"], (), HOSTS, self.now_s)
        self.assertFalse(held)

    def test_answer_to_one_of_two_requests_in_doubt_decides_on_the_other(self):
        for number in range(3):
            self.end_endpoint(number, "r1", "r2")
        self.assertEqual(self.review("r1", "r2"), [])
        for _ in range(2):
            self.quarantine.record_answer(["r2"], self.now_s, self.now_s + 0.1)
        self.assertEqual(self.review("r1", "r2"), ["r1"])

    def test_request_whose_ends_another_one_explains_is_not_in_doubt(self):
        self.end_three_at_once("r1", "r2")
        self.end_endpoint(3, "r1", request="a3", after_s=5.0)
        self.assertTrue(self.quarantine.is_in_doubt(["r2"], self.now_s))
        self.assertEqual(self.review("r1", "r2"), ["r1"])
        self.assertFalse(self.quarantine.is_in_doubt(["r2"], self.now_s))

    def test_end_under_a_request_in_doubt_suffices(self):
        self.end_three_at_once("r1")
        self.assertEqual(self.review("r1"), [])
        self.end_endpoint(3, "r1", request="a3", after_s=5.0)
        self.assertEqual(self.review("r1"), ["r1"])

    def test_part_of_five_ends_is_in_doubt(self):
        for number in range(4):
            self.end_endpoint(number, "p", after_s=0.02)
        self.assertFalse(self.quarantine.is_in_doubt(["p"], self.now_s))
        self.end_endpoint(4, "p", after_s=0.02)
        self.assertTrue(self.quarantine.is_in_doubt(["p"], self.now_s))
        self.assertEqual(self.review("p"), [])
        held = is_held(self.quarantine, ["p"], (), ("h2",), self.now_s + 3.0)
        self.assertTrue(held)
        self.end_endpoint(5, "p", after_s=5.0)
        self.assertEqual(self.review("p"), ["p"])

    def test_part_of_fewer_ends_is_not_held_back(self):
        for number in range(4):
            self.end_endpoint(number, "p", after_s=0.02)
        held = is_held(self.quarantine, ["p"], (), HOSTS, self.now_s)
        self.assertFalse(held)

    def test_end_under_a_part_that_ended_three_at_once_does_not_suffice(self):
        self.end_three_at_once("p")
        self.end_endpoint(3, "p", after_s=5.0)
        self.assertEqual(self.review("p"), [])


if __name__ == "__main__":
    unittest.main()
