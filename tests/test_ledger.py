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
PAIR = LedgerView(1, "a#1", "b#1")
SECRET = b'{"name": "buyer"}'


def create(host="a", view=PAIR, snapshot=None, **options):
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


def create_claim(ticket, key="key", body=SECRET):
    fingerprint = compute_fingerprint("workspace", key)
    digest = compute_digest("POST", "/deposits", body)
    return Claim(ticket, fingerprint, digest, f"request-{ticket}", 100.0)


def select(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def sync(ledger, effects, now_s=0.0):
    """Carry out syncs until none is left and return the other effects."""
    others = []
    while effects:
        effect = effects.pop(0)
        if isinstance(effect, Persist):
            effects += ledger.handle(Persisted(effect.batch), now_s)
        else:
            others.append(effect)
    return others


def run_alone(ledger, message, now_s=0.0):
    """Return the replies to `message` after all syncs."""
    effects = sync(ledger, ledger.handle(message, now_s), now_s)
    return select(effects, ClaimReply)


class GrantTest(unittest.TestCase):
    """When a claim is granted."""

    def test_grant_needs_own_sync_and_the_backup(self):
        """Guards against a dispatch that a crash of one host makes unknown."""
        for first in ("sync", "copy"):
            ledger = create()
            effects = ledger.handle(create_claim(1), 0.0)
            persist = select(effects, Persist)[0]
            copy = select(effects, SendTo)[0].message
            steps = {
                "sync": lambda p=persist, s=ledger: s.handle(Persisted(p.batch), 0.0),
                "copy": lambda c=copy, s=ledger: s.handle_peer(
                    ClaimsCopied("b#1", c.batch), "b", 0.0
                ),
            }
            self.assertEqual(select(steps.pop(first)(), ClaimReply), [])
            replies = select(steps.popitem()[1](), ClaimReply)
            self.assertEqual([r.outcome for r in replies], [Outcome.GRANTED])

    def test_backup_acknowledges_only_after_its_sync(self):
        """Guards against an acknowledgement that a crash of the backup forgets."""
        copy = select(create().handle(create_claim(1), 0.0), SendTo)[0].message
        backup = create("b")
        effects = backup.handle_peer(copy, "a", 0.0)
        self.assertEqual(select(effects, SendTo), [])
        sent = select(sync(backup, effects), SendTo)
        self.assertEqual(sent[0].message, ClaimsCopied("b#1", copy.batch))

    def test_backup_that_asked_to_take_over_refuses_the_old_epoch(self):
        """Guards against two primaries that both get acknowledgements."""
        copy = select(create().handle(create_claim(1), 0.0), SendTo)[0].message
        backup = create("b")
        asked = sync(backup, backup.tick(3.0))
        self.assertEqual(asked[0].view, LedgerView(2, "b#1"))
        refused = select(sync(backup, backup.handle_peer(copy, "a", 3.1)), SendTo)
        self.assertIsInstance(refused[0].message, CopyRefused)
        sync(backup, backup.handle(ViewLearned(LedgerView(2, "b#1")), 3.2))
        refused = select(sync(backup, backup.handle_peer(copy, "a", 9.0)), SendTo)
        self.assertEqual(refused[0].message, CopyRefused(LedgerView(2, "b#1")))

    def test_waiting_claims_share_one_sync(self):
        """Guards against one fsync per claim under load."""
        ledger = create(view=LedgerView(1, "a#1"))
        effects = []
        for ticket in range(100):
            effects += ledger.handle(create_claim(ticket, key=str(ticket)), 0.0)
        first = select(effects, Persist)
        self.assertEqual([len(persist.records) for persist in first], [1])
        effects = ledger.handle(Persisted(first[0].batch), 0.0)
        second = select(effects, Persist)
        self.assertEqual([len(persist.records) for persist in second], [99])
        replies = select(ledger.handle(Persisted(second[0].batch), 0.0), ClaimReply)
        self.assertEqual(len(replies), 99)


class ResendTest(unittest.TestCase):
    """What a second claim of a key gets."""

    def setUp(self):
        self.ledger = create(view=LedgerView(1, "a#1"))
        self.grant = run_alone(self.ledger, create_claim(1))[0].grant

    def test_resend_waits_and_then_gets_the_answer(self):
        """Guards against a second dispatch, and an answer that is lost."""
        self.assertEqual(run_alone(self.ledger, create_claim(2)), [])
        replies = run_alone(self.ledger, RecordAnswer(9, self.grant, 201, b"done"))
        replies += run_alone(self.ledger, create_claim(3))
        answered = [ClaimReply(n, Outcome.ANSWERED, None, 201, b"done") for n in (2, 3)]
        self.assertEqual(replies, answered)

    def test_same_key_with_another_body_is_refused(self):
        """Guards against an answer given to another request."""
        replies = run_alone(self.ledger, create_claim(2, body=b"other"))
        self.assertIs(replies[0].outcome, Outcome.KEY_REUSED)

    def test_released_key_can_be_claimed_again_but_not_a_dispatched_one(self):
        """Guards against a release that hides a dispatch."""
        run_alone(self.ledger, Release(self.grant))
        second = run_alone(self.ledger, create_claim(2))[0].grant
        self.assertEqual(second.attempt, 2)
        run_alone(self.ledger, MarkDispatched(second))
        run_alone(self.ledger, Release(second))
        replies = run_alone(self.ledger, create_claim(3))
        self.assertIs(replies[0].outcome, Outcome.MAY_HAVE_RUN)

    def test_restart_between_claim_and_dispatch_may_have_run(self):
        """Guards against a second dispatch after a crash."""
        restarted = create(snapshot=self.ledger.take_snapshot())
        replies = run_alone(restarted, create_claim(2))
        self.assertIs(replies[0].outcome, Outcome.MAY_HAVE_RUN)

    def test_resend_after_the_retention_may_have_run(self):
        """Guards against a key that runs again when its answer is dropped."""
        run_alone(self.ledger, RecordAnswer(9, self.grant, 201, b"done"))
        self.ledger.tick(90_000.0)
        replies = run_alone(self.ledger, create_claim(2), 90_000.0)
        self.assertIs(replies[0].outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual(self.ledger.describe()["entries"], 0)


class HandoverTest(unittest.TestCase):
    """A primary that is about to stop lets its backup take over."""

    def setUp(self):
        self.ledgers = {"a": create(), "b": create("b")}
        self.run_messages("a", self.ledgers["a"].tick(0.0))

    def run_messages(self, host, effects, now_s=0.0, held=()):
        """Deliver messages until none is left; return the other effects."""
        others = []
        queue = [(host, effect) for effect in effects]
        while queue:
            source, effect = queue.pop(0)
            ledger = self.ledgers[source]
            if isinstance(effect, Persist):
                new = ledger.handle(Persisted(effect.batch), now_s)
                queue += [(source, each) for each in new]
            elif isinstance(effect, SendTo) and type(effect.message).__name__ in held:
                others.append(effect)
            elif isinstance(effect, SendTo):
                target = self.ledgers[effect.host]
                new = target.handle_peer(effect.message, source, now_s)
                queue += [(effect.host, each) for each in new]
            else:
                others.append(effect)
        return others

    def run_on(self, host, message, **options):
        return self.run_messages(
            host, self.ledgers[host].handle(message, 0.0), **options
        )

    def test_backup_asks_at_once_and_the_primary_gives_up_its_lease(self):
        """Guards against "not run" for a key that the new primary has run."""
        self.assertTrue(self.ledgers["a"].is_confirmed(0.1))
        asks = self.run_on("a", HandOver())
        self.assertEqual([ask.view for ask in asks], [LedgerView(2, "b#1")])
        self.assertFalse(self.ledgers["a"].is_confirmed(0.1))
        refused = self.run_on("a", create_claim(1))
        self.assertEqual([reply.outcome for reply in refused], [Outcome.NOT_OWNER])
        self.run_on("b", ViewLearned(asks[0].view))
        granted = self.run_on("b", create_claim(2))
        self.assertEqual([reply.outcome for reply in granted], [Outcome.GRANTED])
        self.run_on("a", ViewLearned(asks[0].view))
        self.assertEqual(self.run_messages("a", self.ledgers["a"].tick(9.0)), [])

    def test_late_request_to_take_over_has_no_effect(self):
        """Guards against a takeover under the lease of a restarted primary."""
        late = self.run_on("a", HandOver(), held=("TakeOver",))[0].message
        snapshot = self.ledgers["a"].take_snapshot()
        self.ledgers["a"] = create(snapshot=snapshot)
        self.run_messages("a", self.ledgers["a"].tick(0.0))
        self.assertTrue(self.ledgers["a"].is_confirmed(0.1))
        self.assertEqual(self.ledgers["b"].handle_peer(late, "a", 0.0), [])
        self.assertIsNone(self.ledgers["b"].proposed_view)

    def test_handover_waits_for_the_answers_of_granted_claims(self):
        """Guards against an answer that the new primary does not know."""
        grant = self.run_on("a", create_claim(1))[0].grant
        self.assertEqual(self.run_on("a", HandOver()), [])
        effects = self.run_on("a", RecordAnswer(2, grant, 201, b"done"))
        effects += self.run_messages("a", self.ledgers["a"].tick(0.1), 0.1)
        view = LedgerView(2, "b#1")
        self.assertEqual([each.view for each in effects[1:]], [view])
        self.run_on("b", ViewLearned(view))
        repeated = self.run_on("b", create_claim(3))
        self.assertEqual(repeated[0].body, b"done")

    def test_primary_whose_handover_fails_grants_again(self):
        """Guards against bookings that stop until the host ends."""
        self.run_on("a", HandOver(), held=("OfferHandover",))
        self.assertEqual(self.ledgers["b"].proposed_view, None)
        effects = self.ledgers["a"].handle(create_claim(1), 1.1)
        granted = self.run_messages("a", effects, 1.1)
        self.assertEqual([reply.outcome for reply in granted], [Outcome.GRANTED])


class RegionTest(unittest.TestCase):
    """Bound data stays in its region."""

    def test_copies_hold_no_request_body(self):
        """Guards against request data in another host's ledger or file."""
        for effect in create().handle(create_claim(1), 0.0):
            self.assertNotIn(SECRET, msgspec.msgpack.encode(effect))
            self.assertNotIn(b"buyer", repr(effect).encode())

    def test_nothing_is_copied_to_another_region(self):
        """Guards against a view whose backup is elsewhere."""
        with self.assertLogs(level="ERROR"):
            ledger = create(view=LedgerView(1, "a#1", "far#1"))
            effects = sync(ledger, ledger.handle(create_claim(1), 0.0))
            effects += sync(ledger, ledger.tick(1.0), 1.0)
        self.assertEqual(select(effects, SendTo), [])
        self.assertEqual(select(effects, ClaimReply), [])
        self.assertEqual(ledger.proposed_view, LedgerView(2, "a#1"))

    def test_messages_from_another_region_are_ignored(self):
        """Guards against entries fetched by, or taken from, another region."""
        ledger = create(view=LedgerView(1, "a#1"))
        sync(ledger, ledger.handle(create_claim(1), 0.0))
        newer = CopyClaims(LedgerView(9, "far#1"), "far#1", 1)
        for message in (FetchClaims("far#1"), newer):
            with self.assertLogs(level="ERROR"):
                self.assertEqual(ledger.handle_peer(message, "far", 0.0), [])
        self.assertEqual(ledger.view.epoch, 1)


class RandomTest(unittest.TestCase):
    """Seeded runs of two hosts under faults."""

    def test_no_seed_breaks_a_rule(self):
        """Guards against double runs, false verdicts and changed answers."""
        for seed in range(SEEDS):
            run_seed(seed)


if __name__ == "__main__":
    unittest.main()
