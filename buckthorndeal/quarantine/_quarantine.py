"""Quarantine of requests that crash endpoints, on one entry host."""

import math
from collections import OrderedDict
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from buckthorndeal.quarantine._keys import (
    Call,
    list_keys,
    list_part_keys,
)
from buckthorndeal.quarantine._records import (
    EndpointEnd,
    Evidence,
    KeyAnswers,
    QuarantineDecision,
)
from buckthorndeal.quarantine._review import Review
from buckthorndeal.quarantine._suspicion import (
    find_crashing_key,
    is_cleared,
)
from buckthorndeal.quarantine._table import EvidenceTable
from buckthorndeal.quarantine._turns import is_turn

# Waits before the first trial and after trials that were not answered. No more than
# three requests with a crashing key may reach endpoints, by all hosts on a whole day.
TRIAL_WAITS_S = (60.0, 240.0, 86_400.0)
# After a trial that was answered.
NEXT_TRIAL_WAIT_S = 5.0
# Ends of endpoints after which requests with a key are not repeated.
MAX_ENDS_TO_REPEAT = 1
MAX_REMEMBERED_KEYS = 4096
# Age up to which an answer counts as one shortly before a key became suspect.
RECENT_ANSWER_S = 10.0
# Answers are reported until a key has so many for each end that it is cleared
# for some time.
REPORTED_ANSWERS_PER_END = 4
MIN_REPORTED_ANSWERS = 8
EXPIRE_INTERVAL_S = 10.0
REVIEW_INTERVAL_S = 0.2
# Evidence this old no longer leads to a decision by the passage of time.
OPEN_TIME_S = 5.0


@dataclass(slots=True)
class _SuspectRecord:
    """What this host knows of a suspect key.

    Parameters
    ----------
    since_s : float
        Clock reading when the key became suspect.
    before : bool
        Whether it was answered shortly before.
    after : int
        Answers to requests sent since.
    """

    since_s: float
    before: bool
    after: int = 0


@dataclass(frozen=True, slots=True)
class QuarantineChange:
    """A decision that this host has made, for the log.

    Parameters
    ----------
    decision : QuarantineDecision
        The decision.
    ends, answers : int
        Evidence on which it rests.
    """

    decision: QuarantineDecision
    ends: int
    answers: int


class Quarantine:
    """Refuses requests under whose keys endpoints keep crashing.

    An endpoint runs many requests at once, so each crash implicates other keys too.
    A key is quarantined if it explains several ends of endpoints and its requests
    have not been answered since. One host at a time may try it again later.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self.table = EvidenceTable()
        self._review = Review(host, self.table)
        self._last_answers_s: OrderedDict[str, float] = OrderedDict()
        self._suspects: dict[str, _SuspectRecord] = {}
        self._unreported: set[str] = set()
        self._changed = False
        self._last_end_s = -OPEN_TIME_S
        self._review_due_s = 0.0
        self._outgoing: list[Evidence] = []
        self._changes: list[QuarantineChange] = []
        self._expire_due_s = 0.0

    def is_open(self, now_s: float) -> bool:
        """Return whether a decision may follow from the passage of time."""
        return now_s - self._last_end_s < OPEN_TIME_S

    def record_answer(self, keys: Sequence[str], sent_s: float, now_s: float) -> None:
        """Record that an endpoint has answered a request.

        Parameters
        ----------
        keys : sequence of str
            Keys of the request.
        sent_s, now_s : float
            Clock readings when it was sent and now.
        """
        for key in keys:
            suspect = self._suspects.get(key)
            if suspect is None and self.table.is_quarantined(key):
                # The ends that led to the quarantine are forgotten.
                suspect = self._suspects[key] = _SuspectRecord(-math.inf, False)
            if suspect is not None and sent_s > suspect.since_s:
                suspect.after += 1
                self._unreported.add(key)
                self._changed = True
                self._shorten_wait(key, now_s)
            self._last_answers_s[key] = now_s
            self._last_answers_s.move_to_end(key)
        while len(self._last_answers_s) > MAX_REMEMBERED_KEYS:
            self._last_answers_s.popitem(last=False)

    def record_end(self, end: EndpointEnd, now_s: float) -> None:
        """Record the end of an endpoint that this host has observed."""
        self._publish(Evidence(ends=(end,)), now_s)

    def receive(self, evidence: Evidence, now_s: float) -> None:
        """Merge the evidence of other hosts."""
        self._accept(self.table.merge(evidence, now_s), now_s)

    def export(self, now_s: float) -> Evidence:
        """Return all that this host knows."""
        return self.table.export(now_s)

    def update(self, now_s: float) -> None:
        """Decide on keys by the evidence so far."""
        if now_s >= self._expire_due_s:
            self._expire_due_s = now_s + EXPIRE_INTERVAL_S
            self._expire(now_s)
        if now_s < self._review_due_s:
            return
        if not self._changed and not self.is_open(now_s):
            return
        self._changed = False
        self._review_due_s = now_s + REVIEW_INTERVAL_S
        self._report_answers(now_s)
        while (crashing := find_crashing_key(self.table, now_s)) is not None:
            known = self.table.quarantines.get(crashing.key)
            revision = known.decision.revision + 1 if known is not None else 1
            self._decide(
                QuarantineDecision(crashing.key, revision, True, TRIAL_WAITS_S[0]),
                now_s,
                crashing.ends,
                crashing.answers,
            )
        for key, known in list(self.table.quarantines.items()):
            if known.decision.active and is_cleared(self.table, key):
                revision = known.decision.revision + 1
                answers = self.table.answers[key].total
                decision = QuarantineDecision(key, revision, False, 0.0)
                self._decide(decision, now_s, 0, answers)

    def take_outgoing(self) -> Evidence:
        """Return what other hosts have to learn since the last call."""
        outgoing, self._outgoing = self._outgoing, []
        return Evidence(
            tuple(end for each in outgoing for end in each.ends),
            tuple(answer for each in outgoing for answer in each.answers),
            tuple(decision for each in outgoing for decision in each.quarantines),
        )

    def take_changes(self) -> list[QuarantineChange]:
        """Return the decisions that this host has made since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def list_known_keys(self, call: Call) -> list[str]:
        """Return the keys of a request that may matter.

        The body is read only if there is evidence on a request that is equal otherwise.
        """
        content = call.content
        if content is None or self.table.is_empty:
            return list_part_keys(call)
        if not self.table.may_concern(content.outline):
            return list_part_keys(call)
        return list_keys(call)

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence and no decision on any key."""
        return self.table.is_empty

    def count_quarantined(self) -> int:
        """Return the number of keys whose requests are refused."""
        known = self.table.quarantines.values()
        return sum(each.decision.active for each in known)

    def find_quarantined(self, keys: Sequence[str]) -> list[str]:
        """Return the quarantined ones of some keys."""
        return [key for key in keys if self.table.is_quarantined(key)]

    def get_wait_s(self, key: str, now_s: float) -> float:
        """Return the seconds until a quarantined key may be tried; 0 if it may."""
        known = self.table.quarantines[key]
        return max(0.0, known.decided_s + known.decision.wait_s - now_s)

    def may_try(self, key: str, hosts: Sequence[str], now_s: float) -> bool:
        """Return whether this host may send one request with a quarantined key.

        Parameters
        ----------
        hosts : sequence of str
            All entry hosts, which take turns; without them the host is cut off, and
            tries nothing.
        """
        known = self.table.quarantines[key]
        elapsed_s = now_s - known.decided_s - known.decision.wait_s
        trial = f"{key}/{known.decision.revision}"
        return is_turn(trial, elapsed_s, self._host, hosts)

    def start_trial(self, key: str, now_s: float) -> None:
        """Record that a quarantined key is tried; others have to wait."""
        decision = self.table.quarantines[key].decision
        wait_s = next(
            (each for each in TRIAL_WAITS_S if each > decision.wait_s),
            TRIAL_WAITS_S[-1],
        )
        self._decide(
            QuarantineDecision(key, decision.revision + 1, True, wait_s), now_s, 0, 0
        )

    def may_repeat(
        self, keys: Sequence[str], open_suspects: Collection[str], now_s: float
    ) -> bool:
        """Return whether a request may be sent again after it may have run.

        Not if endpoints have ended more than once under one of its keys, and none
        has answered it since or shortly before.

        Parameters
        ----------
        keys : sequence of str
            Keys of the request.
        open_suspects : collection of str
            Suspect keys of endpoints that have probably ended.
        now_s : float
            Clock reading.
        """
        for key in keys:
            ends = len(self.table.list_ends(key)) + (key in open_suspects)
            if ends > MAX_ENDS_TO_REPEAT and not self._was_answered(key, now_s):
                return False
        return True

    def find_under_review(
        self,
        keys: Sequence[str],
        open_suspects: Collection[str],
        hosts: Sequence[str],
        now_s: float,
    ) -> str | None:
        """Return the key because of which a request must wait for evidence, or None.

        The parameters are those of `may_repeat`, and all entry hosts.
        """
        for key in keys:
            if self._was_answered(key, now_s):
                continue
            if self._review.must_wait(key, key in open_suspects, hosts, now_s):
                return key
        return None

    def is_in_doubt(self, keys: Sequence[str], now_s: float) -> bool:
        """Return whether one host at a time may try a request with some keys."""
        return any(
            self._review.is_in_doubt(key)
            for key in keys
            if not self._was_answered(key, now_s)
        )

    def record_sent(self, keys: Sequence[str], now_s: float) -> None:
        """Record that a request with some keys is sent to an endpoint."""
        for key in keys:
            if self.table.is_quarantined(key):
                self.start_trial(key, now_s)
            else:
                self._review.record_sent(key, now_s)

    def _was_answered(self, key: str, now_s: float) -> bool:
        """Return whether a suspect key was answered since or shortly before."""
        counts = self.table.answers.get(key)
        if counts is not None and (counts.total or counts.before):
            return True
        suspect = self._suspects.get(key)
        if suspect is not None:
            return suspect.after > 0 or suspect.before
        return self._is_recent(key, now_s)

    def _is_recent(self, key: str, now_s: float) -> bool:
        answered_s = self._last_answers_s.get(key)
        return answered_s is not None and now_s - answered_s < RECENT_ANSWER_S

    def _publish(self, evidence: Evidence, now_s: float) -> None:
        new = self.table.merge(evidence, now_s)
        if new:
            self._outgoing.append(new)
            self._accept(new, now_s)

    def _decide(
        self, decision: QuarantineDecision, now_s: float, ends: int, answers: int
    ) -> None:
        self._publish(Evidence(quarantines=(decision,)), now_s)
        self._changes.append(QuarantineChange(decision, ends, answers))

    def _accept(self, new: Evidence, now_s: float) -> None:
        """Take note of new evidence, and count the answers to newly suspect keys."""
        if not new:
            return
        self._changed = True
        for end in new.ends:
            self._last_end_s = now_s
            for suspect in end.suspects:
                self._add_suspect(suspect.key, now_s)

    def _add_suspect(self, key: str, now_s: float) -> None:
        if key in self._suspects:
            return
        before = self._is_recent(key, now_s)
        self._suspects[key] = _SuspectRecord(now_s, before)
        if before:
            self._unreported.add(key)

    def _shorten_wait(self, key: str, now_s: float) -> None:
        """Try a quarantined key again soon after a request with it was answered."""
        known = self.table.quarantines.get(key)
        if known is None or not known.decision.active:
            return
        decision = known.decision
        self._decide(
            QuarantineDecision(key, decision.revision + 1, True, NEXT_TRIAL_WAIT_S),
            now_s,
            0,
            self._suspects[key].after,
        )

    def _report_answers(self, now_s: float) -> None:
        """Report the answers of this host to suspect keys, as far as others need them.

        A key of nearly all prompts is cleared by the first few hosts that report.
        """
        reports = []
        for key in list(self._unreported):
            suspect = self._suspects[key]
            ends = len(self.table.list_ends(key))
            enough = MIN_REPORTED_ANSWERS + REPORTED_ANSWERS_PER_END * ends
            counts = self.table.answers.get(key)
            if counts is not None and counts.total >= enough:
                continue
            self._unreported.remove(key)
            reports.append(KeyAnswers(self._host, key, suspect.after, suspect.before))
        if reports:
            self._publish(Evidence(answers=tuple(reports)), now_s)

    def _expire(self, now_s: float) -> None:
        self.table.expire(now_s)
        self._review.expire()
        for key in list(self._suspects):
            if not self.table.is_suspect(key) and not self.table.is_quarantined(key):
                del self._suspects[key]
                self._unreported.discard(key)


def create_quarantine(host: str) -> Quarantine:
    """Return the quarantine of an entry host without any evidence."""
    return Quarantine(host)
