"""Tests of the replicated state machine of the control plane."""

import unittest

from buckthorndeal import statemachine as sm
from buckthorndeal.authentication import hash_key
from buckthorndeal.document import apply_splice
from buckthorndeal.ledger import LedgerView
from tests.test_document import PLATFORM, TEAMS, TEXTS


class StateMachineTest(unittest.TestCase):
    """Applies encoded commands to one state machine."""

    def setUp(self):
        self.machine = sm.create_statemachine()
        self.apply(sm.CreateDocument(time_s=1.0, sections=TEXTS))

    def apply(self, command):
        data = sm.encode_command(command)
        return self.machine.apply(self.machine.applied_index + 1, data)

    def create(self, team, section, base, change_id, text):
        return self.machine.create_change(team, section, base, change_id, text, 2.0)

    def restart(self):
        data = self.machine.snapshot()
        self.machine = sm.create_statemachine()
        self.machine.restore(data)
        self.assertEqual(self.machine.snapshot(), data)

    def test_one_of_two_racing_changes_wins(self):
        """Guards against a change that overwrites a concurrent one."""
        first = self.create("accounts", "support", 0, "a", '{"contact": "one"}')
        second = self.create("accounts", "support", 0, "b", '{"contact": "two"}')
        self.assertIsInstance(self.apply(first), sm.ChangeAccepted)
        conflict = self.apply(second)
        self.assertIsInstance(conflict, sm.ChangeConflict)
        self.assertEqual(conflict.winner_author, "accounts")
        self.assertEqual(conflict.winner_revision, 1)
        self.assertIn('-{"contact": "one"}\n+{"contact": "two"}', conflict.diff)
        late = self.create("accounts", "support", 0, "c", '{"contact": "three"}')
        self.assertIn('+{"contact": "three"}', self.apply(late).diff)
        self.assertEqual(
            self.machine.document.get_text("support"), '{"contact": "one"}'
        )

    def test_retry_gets_the_first_answer_also_after_restart(self):
        """Guards against a change applied twice when it is retried."""
        change = self.create("accounts", "support", 0, "a", "{}")
        answer = self.apply(change)
        again = self.create("accounts", "support", 0, "a", "{}")
        self.assertEqual(self.apply(again), answer)
        self.restart()
        self.assertEqual(self.apply(again), answer)
        other = self.create("accounts", "support", 0, "a", '{"contact": "x"}')
        self.assertIsInstance(self.apply(other), sm.ChangeForbidden)
        self.assertEqual(self.machine.document.revision, answer.revision)

    def test_invalid_change_leaves_the_document_alone(self):
        """Guards against a change that is applied in part."""
        before = self.machine.document
        text = PLATFORM.replace('"north":', '"west":')
        answer = self.apply(self.create("platform", "platform", 1, "a", text))
        self.assertIsInstance(answer, sm.ChangeInvalid)
        self.assertEqual(answer.path, "$.workspaces.acme.home_region")
        self.assertIs(self.machine.document, before)
        self.assertEqual(self.machine.list_history(None, 10), [])

    def test_team_changes_only_its_sections(self):
        """Guards against ownership checked at the proposal but not on application."""
        change = self.create("accounts", "platform", 1, "a", PLATFORM + "\n")
        self.assertIsInstance(self.apply(change), sm.ChangeForbidden)
        moved = TEAMS.replace('"accounts", "support"', '"support"').replace(
            '"teams", "platform"', '"teams", "platform", "accounts"'
        )
        pending = self.create("accounts", "accounts", 1, "b", TEXTS["accounts"] + "\n")
        self.apply(self.create("platform", "teams", 1, "c", moved))
        self.assertIsInstance(self.apply(pending), sm.ChangeForbidden)

    def test_rotation_replaces_the_key_and_answers_a_retry(self):
        """Guards against a team locked out because the answer was lost."""
        old, new = hash_key("accounts-key"), hash_key("new-key")
        command = sm.RotateKey(change_id="r", time_s=3.0, old_hash=old, new_hash=new)
        self.assertTrue(self.machine.accepts_rotation(command))
        answer = self.apply(command)
        self.assertIsInstance(answer, sm.ChangeAccepted)
        self.assertIsNone(self.machine.document.find_team(old))
        self.assertEqual(self.machine.document.find_team(new), "accounts")
        self.assertIn("// Keys", self.machine.document.get_text("teams"))
        self.restart()
        self.assertTrue(self.machine.accepts_rotation(command))
        self.assertEqual(self.apply(command), answer)
        forged = sm.RotateKey(change_id="x", time_s=3.0, old_hash=old, new_hash=new)
        self.assertFalse(self.machine.accepts_rotation(forged))
        self.assertIsInstance(self.apply(forged), sm.ChangeForbidden)

    def test_history_splices_rebuild_the_text(self):
        """Guards against subscribers whose copy differs from the document."""
        text = ""
        for number in range(5):
            new = f'{{"contact": "{number * 7}"}}'
            self.apply(self.create("accounts", "support", number, f"c{number}", new))
        self.restart()
        for entry in self.machine.list_changes_after(1):
            text = apply_splice(text, entry.splice)
        self.assertEqual(text, self.machine.document.get_text("support"))
        self.assertEqual(len(self.machine.list_changes_after(4)), 2)
        self.assertIsNone(self.machine.list_changes_after(0))
        self.assertIsNone(self.machine.list_changes_after(99))

    def test_fencing_tokens_increase(self):
        """Guards against a reused fencing token and a renewal after a new grant."""

        def grant(holder, version):
            return self.apply(
                sm.GrantLease(
                    name="p", holder=holder, duration_s=5.0, expected_version=version
                )
            )

        self.assertEqual(grant("a", 0).lease.fencing, 1)
        renewal = sm.RenewLease(name="p", holder="a", fencing=1)
        self.assertTrue(self.apply(renewal).granted)
        self.assertFalse(grant("b", 1).granted, "renewed after the decision")
        self.assertEqual(grant("b", 2).lease.fencing, 2)
        self.assertFalse(self.apply(renewal).granted)
        release = sm.ReleaseLease(name="p", holder="b", fencing=2)
        self.assertTrue(self.apply(release).granted)
        self.restart()
        self.assertEqual(grant("a", 4).lease.fencing, 3)

    def test_view_change_is_compare_and_set(self):
        """Guards against two hosts that become primary in the same epoch."""

        def change(base, requester, primary, backup=None):
            view = LedgerView(base + 1, primary, backup)
            return self.apply(
                sm.ChangeView(region="r", base=base, requester=requester, view=view)
            )

        self.assertTrue(change(0, "a", "a").accepted)
        self.assertTrue(change(0, "a", "a").accepted, "resent")
        self.assertFalse(change(0, "b", "b").accepted)
        self.assertTrue(change(1, "a", "a", "b").accepted)
        self.restart()
        self.assertFalse(change(2, "c", "c").accepted, "not in the view")
        self.assertFalse(change(2, "b", "a").accepted, "for another host")
        self.assertTrue(change(2, "b", "b").accepted)
        refused = change(2, "a", "a")
        self.assertEqual((refused.accepted, refused.view.primary), (False, "b"))

    def test_undecodable_command_advances_the_applied_index(self):
        """Guards against replicas that stop or diverge on an undecodable entry."""
        answer = self.machine.apply(2, b"\xff\x00")
        self.assertIsInstance(answer, sm.CommandRefused)
        self.assertIsNone(self.machine.apply(3, b""))
        self.assertEqual(self.machine.applied_index, 3)


if __name__ == "__main__":
    unittest.main()
