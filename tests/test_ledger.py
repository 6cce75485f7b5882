"""Tests of the claim ledger."""

import random
import unittest

import msgspec

from buckthorndeal.ledger import (
    Claim,
    ClaimReply,
    ClaimsCopied,
    CopyClaims,
    CopyRefused,
    FetchClaims,
    HandOver,
    LedgerOptions,
    MarkDispatched,
    Outcome,
    Persist,
    Persisted,
    RecordAnswer,
    Release,
    SendTo,
    ViewLearned,
    compute_digest,
    compute_fingerprint,
    create_ledger,
)
from buckthorndeal.ledger.claims import ClaimSnapshot, LedgerView, ViewRecord
from tests._ledger_world import run_seed

SEEDS = 1_000
REGIONS = {"a": "r", "b": "r", "far": "other"}
PAIR_VIEW = LedgerView(1, "a#1", "b#1")
REQUEST_BODY = b'{"name": "buyer"}'


def create_test_ledger(host="a", view=PAIR_VIEW, snapshot=None, **options):
    snapshot = snapshot or ClaimSnapshot(record=ViewRecord(view))
    return create_ledger(
        host,
        "1",
        "r",
        REGIONS.get,
        snapshot,
        random.Random(1),
        0.0,
        1e9,
        LedgerOptions(**options),
    )


def create_claim(ticket, key="key", body=REQUEST_BODY):
    fingerprint = compute_fingerprint("workspace", key)
    digest = compute_digest("POST", "/deposits", body)
    return Claim(ticket, fingerprint, digest, f"request-{ticket}", 100.0)


def select_effects(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def complete_syncs(ledger, effects, now_s=0.0):
    """Complete syncs until none is pending and return the other effects."""
    remaining = []
    while effects:
        effect = effects.pop(0)
        if isinstance(effect, Persist):
            effects += ledger.handle(Persisted(effect.batch), now_s)
        else:
            remaining.append(effect)
    return remaining


def handle_and_sync(ledger, message, now_s=0.0):
    """Return the replies to `message` after all syncs."""
    effects = complete_syncs(ledger, ledger.handle(message, now_s), now_s)
    return select_effects(effects, ClaimReply)


class GrantTest(unittest.TestCase):
    """The conditions for granting a claim."""

    def test_grant_needs_own_sync_and_the_backup(self):
        """Guards against a dispatched claim that is lost in the crash of one host."""
        for first in ("sync", "copy"):
            ledger = create_test_ledger()
            effects = ledger.handle(create_claim(1), 0.0)
            persist = select_effects(effects, Persist)[0]
            copy = select_effects(effects, SendTo)[0].message
            steps = {
                "sync": lambda p=persist, s=ledger: s.handle(Persisted(p.batch), 0.0),
                "copy": lambda c=copy, s=ledger: s.handle_peer(
                    ClaimsCopied("b#1", c.batch), "b", 0.0
                ),
            }
            self.assertEqual(select_effects(steps.pop(first)(), ClaimReply), [])
            replies = select_effects(steps.popitem()[1](), ClaimReply)
            self.assertEqual([r.outcome for r in replies], [Outcome.GRANTED])

    def test_backup_acknowledges_only_after_its_sync(self):
        """Guards against acknowledged entries that are lost when the backup crashes."""
        copy = select_effects(
            create_test_ledger().handle(create_claim(1), 0.0), SendTo
        )[0].message
        backup = create_test_ledger("b")
        effects = backup.handle_peer(copy, "a", 0.0)
        self.assertEqual(select_effects(effects, SendTo), [])
        sent = select_effects(complete_syncs(backup, effects), SendTo)
        self.assertEqual(sent[0].message, ClaimsCopied("b#1", copy.batch))

    def test_backup_that_proposed_to_take_over_refuses_the_old_epoch(self):
        """Guards against two primaries that both receive acknowledgements."""
        copy = select_effects(
            create_test_ledger().handle(create_claim(1), 0.0), SendTo
        )[0].message
        backup = create_test_ledger("b")
        proposals = complete_syncs(backup, backup.tick(3.0))
        self.assertEqual(proposals[0].view, LedgerView(2, "b#1"))
        refused = select_effects(
            complete_syncs(backup, backup.handle_peer(copy, "a", 3.1)), SendTo
        )
        self.assertIsInstance(refused[0].message, CopyRefused)
        complete_syncs(backup, backup.handle(ViewLearned(LedgerView(2, "b#1")), 3.2))
        refused = select_effects(
            complete_syncs(backup, backup.handle_peer(copy, "a", 9.0)), SendTo
        )
        self.assertEqual(refused[0].message, CopyRefused(LedgerView(2, "b#1")))

    def test_waiting_claims_share_one_sync(self):
        """Guards against one fsync per claim under load."""
        ledger = create_test_ledger(view=LedgerView(1, "a#1"))
        effects = []
        for ticket in range(100):
            effects += ledger.handle(create_claim(ticket, key=str(ticket)), 0.0)
        first = select_effects(effects, Persist)
        self.assertEqual([len(persist.records) for persist in first], [1])
        effects = ledger.handle(Persisted(first[0].batch), 0.0)
        second = select_effects(effects, Persist)
        self.assertEqual([len(persist.records) for persist in second], [99])
        replies = select_effects(
            ledger.handle(Persisted(second[0].batch), 0.0), ClaimReply
        )
        self.assertEqual(len(replies), 99)


class ResendTest(unittest.TestCase):
    """The replies to a second claim on a key."""

    def setUp(self):
        self.ledger = create_test_ledger(view=LedgerView(1, "a#1"))
        self.grant = handle_and_sync(self.ledger, create_claim(1))[0].grant

    def test_resend_waits_and_then_gets_the_answer(self):
        """Guards against a second dispatch and against a lost answer."""
        self.assertEqual(handle_and_sync(self.ledger, create_claim(2)), [])
        replies = handle_and_sync(
            self.ledger, RecordAnswer(9, self.grant, 201, b"done")
        )
        replies += handle_and_sync(self.ledger, create_claim(3))
        answered = [ClaimReply(n, Outcome.ANSWERED, None, 201, b"done") for n in (2, 3)]
        self.assertEqual(replies, answered)

    def test_same_key_with_another_body_is_refused(self):
        """Guards against replying with the answer to another request."""
        replies = handle_and_sync(self.ledger, create_claim(2, body=b"other"))
        self.assertIs(replies[0].outcome, Outcome.KEY_REUSED)

    def test_released_key_can_be_claimed_again_but_not_a_dispatched_one(self):
        """Guards against a release after a dispatch, which would allow a second one."""
        handle_and_sync(self.ledger, Release(self.grant))
        second = handle_and_sync(self.ledger, create_claim(2))[0].grant
        self.assertEqual(second.attempt, 2)
        handle_and_sync(self.ledger, MarkDispatched(second))
        handle_and_sync(self.ledger, Release(second))
        replies = handle_and_sync(self.ledger, create_claim(3))
        self.assertIs(replies[0].outcome, Outcome.MAY_HAVE_RUN)

    def test_restart_between_claim_and_dispatch_may_have_run(self):
        """Guards against a second dispatch after a crash."""
        restarted = create_test_ledger(snapshot=self.ledger.take_snapshot())
        replies = handle_and_sync(restarted, create_claim(2))
        self.assertIs(replies[0].outcome, Outcome.MAY_HAVE_RUN)

    def test_resend_after_the_retention_may_have_run(self):
        """Guards against a request that runs again after its answer has expired."""
        handle_and_sync(self.ledger, RecordAnswer(9, self.grant, 201, b"done"))
        self.ledger.tick(90_000.0)
        replies = handle_and_sync(self.ledger, create_claim(2), 90_000.0)
        self.assertIs(replies[0].outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual(self.ledger.describe()["entries"], 0)


class HandoverTest(unittest.TestCase):
    """A primary that is about to stop hands over to its backup."""

    def setUp(self):
        self.ledgers = {"a": create_test_ledger(), "b": create_test_ledger("b")}
        self.deliver_messages("a", self.ledgers["a"].tick(0.0))

    def deliver_messages(self, host, effects, now_s=0.0, undelivered=()):
        """Deliver messages until none is left; return the other effects.

        Messages whose class is named in `undelivered` are returned instead.
        """
        remaining = []
        queue = [(host, effect) for effect in effects]
        while queue:
            source, effect = queue.pop(0)
            ledger = self.ledgers[source]
            if isinstance(effect, Persist):
                new = ledger.handle(Persisted(effect.batch), now_s)
                queue += [(source, each) for each in new]
            elif (
                isinstance(effect, SendTo)
                and type(effect.message).__name__ in undelivered
            ):
                remaining.append(effect)
            elif isinstance(effect, SendTo):
                target = self.ledgers[effect.host]
                new = target.handle_peer(effect.message, source, now_s)
                queue += [(effect.host, each) for each in new]
            else:
                remaining.append(effect)
        return remaining

    def handle_on(self, host, message, **options):
        return self.deliver_messages(
            host, self.ledgers[host].handle(message, 0.0), **options
        )

    def test_backup_proposes_at_once_and_the_primary_gives_up_its_lease(self):
        """Guards against "not run" for a request that the new primary has run."""
        self.assertTrue(self.ledgers["a"].is_confirmed(0.1))
        proposals = self.handle_on("a", HandOver())
        self.assertEqual(
            [proposal.view for proposal in proposals], [LedgerView(2, "b#1")]
        )
        self.assertFalse(self.ledgers["a"].is_confirmed(0.1))
        refused = self.handle_on("a", create_claim(1))
        self.assertEqual([reply.outcome for reply in refused], [Outcome.NOT_OWNER])
        self.handle_on("b", ViewLearned(proposals[0].view))
        granted = self.handle_on("b", create_claim(2))
        self.assertEqual([reply.outcome for reply in granted], [Outcome.GRANTED])
        self.handle_on("a", ViewLearned(proposals[0].view))
        self.assertEqual(self.deliver_messages("a", self.ledgers["a"].tick(9.0)), [])

    def test_late_request_to_take_over_has_no_effect(self):
        """Guards against a takeover while the restarted primary holds a lease."""
        late_message = self.handle_on("a", HandOver(), undelivered=("TakeOver",))[
            0
        ].message
        snapshot = self.ledgers["a"].take_snapshot()
        self.ledgers["a"] = create_test_ledger(snapshot=snapshot)
        self.deliver_messages("a", self.ledgers["a"].tick(0.0))
        self.assertTrue(self.ledgers["a"].is_confirmed(0.1))
        self.assertEqual(self.ledgers["b"].handle_peer(late_message, "a", 0.0), [])
        self.assertIsNone(self.ledgers["b"].proposed_view)

    def test_handover_waits_for_the_answers_of_granted_claims(self):
        """Guards against an answer that is not copied to the new primary."""
        grant = self.handle_on("a", create_claim(1))[0].grant
        self.assertEqual(self.handle_on("a", HandOver()), [])
        effects = self.handle_on("a", RecordAnswer(2, grant, 201, b"done"))
        effects += self.deliver_messages("a", self.ledgers["a"].tick(0.1), 0.1)
        view = LedgerView(2, "b#1")
        self.assertEqual([each.view for each in effects[1:]], [view])
        self.handle_on("b", ViewLearned(view))
        repeated = self.handle_on("b", create_claim(3))
        self.assertEqual(repeated[0].body, b"done")

    def test_primary_whose_handover_fails_grants_again(self):
        """Guards against refusing claims until the process ends."""
        self.handle_on("a", HandOver(), undelivered=("OfferHandover",))
        self.assertEqual(self.ledgers["b"].proposed_view, None)
        effects = self.ledgers["a"].handle(create_claim(1), 1.1)
        granted = self.deliver_messages("a", effects, 1.1)
        self.assertEqual([reply.outcome for reply in granted], [Outcome.GRANTED])


class RegionTest(unittest.TestCase):
    """Ledger data stays in its region and holds no request bodies."""

    def test_copies_hold_no_request_body(self):
        """Guards against request bodies in messages to other hosts or on disk."""
        for effect in create_test_ledger().handle(create_claim(1), 0.0):
            self.assertNotIn(REQUEST_BODY, msgspec.msgpack.encode(effect))
            self.assertNotIn(b"buyer", repr(effect).encode())

    def test_nothing_is_copied_to_another_region(self):
        """Guards against copying to a backup in another region."""
        with self.assertLogs(level="ERROR"):
            ledger = create_test_ledger(view=LedgerView(1, "a#1", "far#1"))
            effects = complete_syncs(ledger, ledger.handle(create_claim(1), 0.0))
            effects += complete_syncs(ledger, ledger.tick(1.0), 1.0)
        self.assertEqual(select_effects(effects, SendTo), [])
        self.assertEqual(select_effects(effects, ClaimReply), [])
        self.assertEqual(ledger.proposed_view, LedgerView(2, "a#1"))

    def test_messages_from_another_region_are_ignored(self):
        """Guards against entries that are sent to or accepted from another region."""
        ledger = create_test_ledger(view=LedgerView(1, "a#1"))
        complete_syncs(ledger, ledger.handle(create_claim(1), 0.0))
        newer = CopyClaims(LedgerView(9, "far#1"), "far#1", 1)
        for message in (FetchClaims("far#1"), newer):
            with self.assertLogs(level="ERROR"):
                self.assertEqual(ledger.handle_peer(message, "far", 0.0), [])
        self.assertEqual(ledger.view.epoch, 1)


class RandomTest(unittest.TestCase):
    """Seeded simulations of two hosts with faults."""

    def test_invariants_hold_for_all_seeds(self):
        """Guards against requests that run twice, wrong verdicts and wrong answers."""
        for seed in range(SEEDS):
            run_seed(seed)


if __name__ == "__main__":
    unittest.main()
