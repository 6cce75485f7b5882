"""Tests of evidence on prompts that crash endpoints, and of what follows from it."""

import unittest

from buckthorndeal.coordinator._quarantine_store import (
    create_disk_quarantine_store,
    create_memory_quarantine_store,
)
from buckthorndeal.quarantine import (
    EndpointEnd,
    Evidence,
    EvidenceTable,
    KeyAnswers,
    QuarantineDecision,
    RequestContent,
    Suspect,
    create_quarantine,
)
from tests.quarantine_harness import HOSTS, EvidenceTestCase, is_held
from tests.temporary_directories import create_durable_directory


def create_end(number, *parts, age_s=0.0):
    suspects = tuple(Suspect(part, depth) for depth, part in enumerate(parts))
    return EndpointEnd(f"e{number}", 1, suspects, age_s)


class QuarantineTest(unittest.TestCase):
    """One entry host decides by its own evidence and that of others."""

    def setUp(self):
        self.quarantine = create_quarantine("h1")

    def end_endpoints(self, *ends, interval_s=1.0):
        """Report ends in turn; return the clock reading when they are reviewed."""
        now_s = 100.0
        for end in ends:
            self.quarantine.record_end(end, now_s)
            now_s += interval_s
        now_s += 1.0
        self.quarantine.update(now_s)
        return now_s

    def list_quarantined(self, *parts):
        return self.quarantine.find_quarantined(parts)

    def test_part_of_three_ends_is_quarantined_and_others_are_not(self):
        self.end_endpoints(
            create_end(1, "root", "bad", "x"),
            create_end(2, "root", "bad", "y"),
            create_end(3, "bad", "z"),
        )
        self.assertEqual(self.list_quarantined("root", "bad", "x"), ["bad"])

    def test_end_that_several_hosts_report_counts_once(self):
        self.end_endpoints(*(create_end(1, f"x{number}", "p") for number in range(5)))
        self.assertEqual(self.list_quarantined("p"), [])

    def test_ends_at_the_same_moment_count_once(self):
        ends = [create_end(number, "p") for number in range(5)]
        self.end_endpoints(*ends, interval_s=0.01)
        self.assertEqual(self.list_quarantined("p"), [])

    def test_answered_part_is_not_quarantined(self):
        for number in range(4):
            self.quarantine.record_end(create_end(number, "p"), 100.0 + number)
            self.quarantine.record_answer(["p"], 100.1 + number, 100.5 + number)
        self.quarantine.update(110.0)
        self.assertEqual(self.list_quarantined("p"), [])

    def test_answers_to_requests_sent_before_do_not_acquit(self):
        self.quarantine.record_end(create_end(0, "p"), 100.0)
        for _ in range(20):
            self.quarantine.record_answer(["p"], 99.0, 101.0)
        for number in range(1, 4):
            self.quarantine.record_end(create_end(number, "p"), 100.0 + number)
        self.quarantine.update(110.0)
        self.assertEqual(self.list_quarantined("p"), ["p"])

    def test_answers_at_other_hosts_acquit(self):
        ends = tuple(create_end(number, "p", age_s=number) for number in range(4))
        answers = (KeyAnswers("h2", "p", 2, False), KeyAnswers("h3", "p", 1, False))
        self.quarantine.receive(Evidence(ends, answers), 100.0)
        self.quarantine.update(110.0)
        self.assertEqual(self.list_quarantined("p"), [])

    def test_equally_suspect_parts_wait_for_more_evidence(self):
        ends = [create_end(number, "p", "q") for number in range(3)]
        self.end_endpoints(*ends)
        self.assertEqual(self.list_quarantined("p", "q"), [])

    def test_quarantined_part_explains_ends_of_other_parts(self):
        ends = [create_end(number, "bad", "unlucky") for number in range(3)]
        self.end_endpoints(*ends, create_end(9, "bad"))
        self.assertEqual(self.list_quarantined("bad", "unlucky"), ["bad"])

    def test_one_host_at_a_time_tries_after_the_wait(self):
        quarantines = [create_quarantine(host) for host in HOSTS]
        decision = Evidence(quarantines=(QuarantineDecision("p", 1, True, 60.0),))
        for each in quarantines:
            each.receive(decision, 100.0)
        for now_s in (100.0, 130.0, 159.9):
            self.assertFalse(any(q.may_try("p", HOSTS, now_s) for q in quarantines))
        for now_s in (160.1, 165.1, 170.1, 175.1):
            allowed = sum(q.may_try("p", HOSTS, now_s) for q in quarantines)
            self.assertEqual(allowed, 1)

    def test_host_that_knows_no_others_tries_nothing(self):
        self.quarantine.receive(
            Evidence(quarantines=(QuarantineDecision("p", 1, True, 0.0),)), 100.0
        )
        self.assertFalse(self.quarantine.may_try("p", (), 1000.0))

    def test_trial_makes_all_hosts_wait_longer(self):
        other = create_quarantine("h2")
        self.quarantine.receive(
            Evidence(quarantines=(QuarantineDecision("p", 1, True, 60.0),)), 100.0
        )
        self.quarantine.start_trial("p", 170.0)
        other.receive(self.quarantine.take_outgoing(), 170.1)
        self.assertFalse(other.may_try("p", ("h2",), 171.0))
        self.assertAlmostEqual(other.get_wait_s("p", 170.1), 240.0)

    def test_answered_trials_release_a_part(self):
        now_s = self.end_endpoints(*(create_end(number, "p") for number in range(3)))
        self.assertEqual(self.list_quarantined("p"), ["p"])
        for _ in range(2):
            now_s += self.quarantine.get_wait_s("p", now_s) + 1.0
            self.quarantine.start_trial("p", now_s)
            self.quarantine.record_answer(["p"], now_s, now_s + 0.5)
            self.quarantine.update(now_s + 0.5)
        self.assertEqual(self.list_quarantined("p"), [])

    def test_part_is_released_after_its_ends_are_forgotten(self):
        now_s = self.end_endpoints(*(create_end(number, "p") for number in range(3)))
        now_s += 1000.0
        self.quarantine.update(now_s)
        self.quarantine.record_answer(["p"], now_s + 1.0, now_s + 2.0)
        self.quarantine.update(now_s + 2.0)
        self.assertEqual(self.list_quarantined("p"), [])

    def test_request_is_not_repeated_under_a_part_of_two_ends(self):
        self.quarantine.record_end(create_end(1, "p"), 100.0)
        self.assertTrue(self.quarantine.may_repeat(["p"], (), 100.5))
        self.assertFalse(self.quarantine.may_repeat(["p"], ("p",), 100.5))
        self.quarantine.record_answer(["p"], 100.6, 101.0)
        self.assertTrue(self.quarantine.may_repeat(["p"], ("p",), 101.5))


class RequestContentTest(unittest.TestCase):
    """A request that comes again has the same digest, and no other request has it."""

    FIELDS = ("GET", "x.example", "/a?b", "caller", b"body")

    def test_same_content_has_the_same_digest(self):
        self.assertEqual(
            RequestContent(*self.FIELDS).digest, RequestContent(*self.FIELDS).digest
        )

    def test_each_field_counts(self):
        others = [
            ("POST", "x.example", "/a?b", "caller", b"body"),
            ("GET", "y.example", "/a?b", "caller", b"body"),
            ("GET", "x.example", "/a", "caller", b"body"),
            ("GET", "x.example", "/a?b", "", b"body"),
            ("GET", "x.example", "/a?b", "caller", b""),
            ("GET", "x.example", "/a?bcaller", "", b"body"),
            ("GET", "x.example", "/a?b", "calle", b"rbody"),
        ]
        digests = {RequestContent(*each).digest for each in (self.FIELDS, *others)}
        self.assertEqual(len(digests), 1 + len(others))


class RequestKeyTest(EvidenceTestCase):
    """A whole request and the parts of its prompt explain ends together."""

    def test_request_is_quarantined_and_not_the_part_that_it_has(self):
        for number in range(3):
            self.end_endpoint(number, "part", "r1")
        self.assertEqual(self.review("part", "r1"), ["r1"])

    def test_part_is_quarantined_that_several_crashing_requests_share(self):
        for number, request in enumerate(("r1", "r1", "r1", "r2", "r2", "r2")):
            self.end_endpoint(number, "part", request)
            self.review()
        self.assertIn("part", self.review("part"))

    def test_two_requests_with_the_same_ends_wait_for_more_evidence(self):
        for number in range(3):
            self.end_endpoint(number, "r1", "r2")
        self.assertEqual(self.review("r1", "r2"), [])
        self.end_endpoint(3, "r1")
        self.assertEqual(self.review("r1", "r2"), ["r1"])

    def test_ends_under_two_attempts_of_a_request_count_each(self):
        for number in range(3):
            self.end_endpoint(number, "r1", request="a", after_s=0.05)
        self.assertEqual(self.review("r1"), ["r1"])

    def test_ends_at_the_same_moment_under_several_callers_count_once(self):
        for number in range(3):
            self.end_endpoint(number, "r1", request=f"a{number}", after_s=0.05)
        self.assertEqual(self.review("r1"), [])

    def test_answered_request_is_not_quarantined(self):
        for number in range(4):
            self.end_endpoint(number, "r1")
            self.quarantine.record_answer(["r1"], self.now_s + 0.1, self.now_s + 0.2)
        self.assertEqual(self.review("r1"), [])

    def test_request_of_two_ends_is_held_back_for_a_short_time(self):
        self.end_endpoint(0, "r1")
        self.assertFalse(is_held(self.quarantine, ["r1"], (), HOSTS, self.now_s))
        self.assertTrue(is_held(self.quarantine, ["r1"], ("r1",), HOSTS, self.now_s))
        self.end_endpoint(1, "r1")
        self.assertTrue(is_held(self.quarantine, ["r1"], (), HOSTS, self.now_s))
        self.assertFalse(is_held(self.quarantine, ["r2"], (), HOSTS, self.now_s))
        self.assertFalse(is_held(self.quarantine, ["r1"], (), HOSTS, self.now_s + 3))

    def test_answered_request_is_not_held_back(self):
        for number in range(2):
            self.end_endpoint(number, "r1")
        self.quarantine.record_answer(["r1"], self.now_s + 0.1, self.now_s + 0.2)
        self.assertFalse(is_held(self.quarantine, ["r1"], (), HOSTS, self.now_s + 0.3))

    def test_no_more_than_two_trials_in_a_day(self):
        for number in range(3):
            self.end_endpoint(number, "r1")
        self.review()
        trials = 0
        end_s = self.now_s + 86_000.0
        while self.now_s < end_s:
            if self.quarantine.may_try("r1", ("h1",), self.now_s):
                self.quarantine.start_trial("r1", self.now_s)
                trials += 1
            self.now_s += 1.0
        self.assertEqual(trials, 2)


class EvidenceTableTest(unittest.TestCase):
    """Reports may come late, twice and in any order."""

    def test_repeated_evidence_is_not_new(self):
        evidence = Evidence(
            (create_end(1, "p"),),
            (KeyAnswers("h1", "p", 1, True),),
            (QuarantineDecision("p", 1, True, 60.0),),
        )
        table = EvidenceTable()
        self.assertEqual(table.merge(evidence, 1.0), evidence)
        self.assertFalse(table.merge(evidence, 2.0))
        self.assertFalse(table.merge(table.export(3.0), 3.0))

    def test_older_decision_does_not_replace_a_newer_one(self):
        table = EvidenceTable()
        released = QuarantineDecision("p", 2, False, 0.0)
        table.merge(Evidence(quarantines=(released,)), 1.0)
        old = Evidence(quarantines=(QuarantineDecision("p", 1, True, 60.0),))
        self.assertFalse(table.merge(old, 2.0))
        self.assertFalse(table.is_quarantined("p"))

    def test_decision_that_is_told_later_keeps_its_age(self):
        """Guards against a wait for the next trial that begins anew at some hosts.

        Their turns would differ from those of the others, and two hosts would try at
        once.
        """
        first, late = create_quarantine("h1"), create_quarantine("h2")
        decision = Evidence(quarantines=(QuarantineDecision("p", 1, True, 60.0),))
        first.receive(decision, 100.0)
        late.receive(first.export(130.0), 130.0)
        self.assertEqual(late.get_wait_s("p", 130.0), 30.0)
        third = create_quarantine("h3")
        third.receive(late.export(140.0), 140.0)
        self.assertEqual(third.get_wait_s("p", 140.0), 20.0)

    def test_ends_are_bounded_and_expire(self):
        table = EvidenceTable()
        for number in range(1000):
            table.merge(Evidence((create_end(number, f"p{number}"),)), 1.0)
        self.assertLessEqual(len(table.ends), 256)
        table.expire(1000.0)
        self.assertEqual((table.ends, table.answers), ({}, {}))

    def test_old_end_is_not_kept_by_telling_it(self):
        """Guards against evidence that hosts tell each other again and never forget."""
        first, second = EvidenceTable(), EvidenceTable()
        first.merge(Evidence((create_end(1, "p"),)), 0.0)
        second.merge(first.export(500.0), 500.0)
        first.expire(700.0)
        self.assertFalse(first.is_suspect("p"))
        first.merge(second.export(700.0), 700.0)
        self.assertFalse(first.is_suspect("p"))


class QuarantineStoreTest(unittest.TestCase):
    """Decisions are read again after a restart."""

    def check_store(self, store, reopen):
        decisions = (QuarantineDecision("p", 1, True, 60.0),)
        self.assertEqual(store.load(), ())
        store.save(decisions)
        self.assertEqual(reopen().load(), decisions)

    def test_memory(self):
        store = create_memory_quarantine_store()
        self.check_store(store, lambda: store)

    def test_disk(self):
        with create_durable_directory() as directory:
            self.check_store(
                create_disk_quarantine_store(directory),
                lambda: create_disk_quarantine_store(directory),
            )

    def test_unreadable_file_is_left_out(self):
        with create_durable_directory() as directory:
            with open(f"{directory}/quarantine", "wb") as file:
                file.write(b"\xc1torn")
            self.assertEqual(create_disk_quarantine_store(directory).load(), ())


if __name__ == "__main__":
    unittest.main()
