"""Quarantine of parts of prompts that crash endpoints, on one entry host."""

import math
from collections import OrderedDict
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from buckthorndeal.quarantine._records import (
    EndpointEnd,
    Evidence,
    PartAnswers,
    PartQuarantine,
)
from buckthorndeal.quarantine._suspicion import (
    find_crashing_part,
    is_cleared,
)
from buckthorndeal.quarantine._table import EvidenceTable
from buckthorndeal.subsetting import choose_owner

FIRST_WAIT_S = 60.0
WAIT_FACTOR = 4.0
MAX_WAIT_S = 3600.0
# After a trial that was answered.
NEXT_TRIAL_WAIT_S = 5.0
# Time for which one host may start a trial. Hosts learn of a decision at different
# times, so it uses only the first half.
TRIAL_SLOT_S = 5.0
# Ends of endpoints after which requests with a part are not repeated.
MAX_ENDS_TO_REPEAT = 1
MAX_REMEMBERED_PARTS = 4096
# Age up to which an answer counts as one shortly before a part became suspect.
RECENT_ANSWER_S = 10.0
# Answers are reported until a part has so many for each end that it is cleared
# for some time.
REPORTED_ANSWERS_PER_END = 4
MIN_REPORTED_ANSWERS = 8
EXPIRE_INTERVAL_S = 10.0
REVIEW_INTERVAL_S = 0.2
# Evidence this old no longer leads to a decision by the passage of time.
OPEN_TIME_S = 5.0


@dataclass(slots=True)
class _SuspectRecord:
    """What this host knows of a suspect part.

    Parameters
    ----------
    since_s : float
        Clock reading when the part became suspect.
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
    decision : PartQuarantine
        The decision.
    ends, answers : int
        Evidence on which it rests.
    """

    decision: PartQuarantine
    ends: int
    answers: int


class Quarantine:
    """Refuses requests with parts of prompts under which endpoints keep crashing.

    An endpoint runs many requests at once, so each crash implicates other parts too.
    A part is quarantined if it explains several ends of endpoints and its requests
    have not been answered since. One host at a time may try it again later.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self.table = EvidenceTable()
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

    def record_answer(self, parts: Sequence[str], sent_s: float, now_s: float) -> None:
        """Record that an endpoint has answered a request.

        Parameters
        ----------
        parts : sequence of str
            Digests of the shared parts of its prompt.
        sent_s, now_s : float
            Clock readings when it was sent and now.
        """
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is None and self.table.is_quarantined(part):
                # The ends that led to the quarantine are forgotten.
                suspect = self._suspects[part] = _SuspectRecord(-math.inf, False)
            if suspect is not None and sent_s > suspect.since_s:
                suspect.after += 1
                self._unreported.add(part)
                self._changed = True
                self._shorten_wait(part, now_s)
            self._last_answers_s[part] = now_s
            self._last_answers_s.move_to_end(part)
        while len(self._last_answers_s) > MAX_REMEMBERED_PARTS:
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
        """Decide on parts by the evidence so far."""
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
        while (crashing := find_crashing_part(self.table, now_s)) is not None:
            known = self.table.quarantines.get(crashing.part)
            revision = known.decision.revision + 1 if known is not None else 1
            self._decide(
                PartQuarantine(crashing.part, revision, True, FIRST_WAIT_S),
                now_s,
                crashing.ends,
                crashing.answers,
            )
        for part, known in list(self.table.quarantines.items()):
            if known.decision.active and is_cleared(self.table, part):
                revision = known.decision.revision + 1
                answers = self.table.answers[part].total
                decision = PartQuarantine(part, revision, False, 0.0)
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

    @property
    def is_empty(self) -> bool:
        """Whether no part was ever quarantined."""
        return not self.table.quarantines

    def count_quarantined(self) -> int:
        """Return the number of parts whose requests are refused."""
        known = self.table.quarantines.values()
        return sum(each.decision.active for each in known)

    def find_quarantined(self, parts: Sequence[str]) -> list[str]:
        """Return the quarantined ones of some parts."""
        return [part for part in parts if self.table.is_quarantined(part)]

    def get_wait_s(self, part: str, now_s: float) -> float:
        """Return the seconds until a quarantined part may be tried; 0 if it may."""
        known = self.table.quarantines[part]
        return max(0.0, known.learned_s + known.decision.wait_s - now_s)

    def may_try(self, part: str, hosts: Sequence[str], now_s: float) -> bool:
        """Return whether this host may send one request with a quarantined part.

        Parameters
        ----------
        hosts : sequence of str
            All entry hosts, which take turns; without them the host is cut off, and
            tries nothing.
        """
        if not hosts:
            return False
        known = self.table.quarantines[part]
        over_s = now_s - known.learned_s - known.decision.wait_s
        if over_s < 0:
            return False
        slot, offset_s = divmod(over_s, TRIAL_SLOT_S)
        if offset_s > TRIAL_SLOT_S / 2:
            return False
        key = f"{part}/{known.decision.revision}/{int(slot)}"
        return choose_owner(key, hosts) == self._host

    def start_trial(self, part: str, now_s: float) -> None:
        """Record that a quarantined part is tried; others have to wait."""
        decision = self.table.quarantines[part].decision
        wait_s = min(MAX_WAIT_S, max(FIRST_WAIT_S, decision.wait_s) * WAIT_FACTOR)
        self._decide(
            PartQuarantine(part, decision.revision + 1, True, wait_s), now_s, 0, 0
        )

    def may_repeat(
        self, parts: Sequence[str], open_suspects: Collection[str], now_s: float
    ) -> bool:
        """Return whether a request may be sent again after it may have run.

        Not if endpoints have ended more than once under one of its parts, and none
        has answered it since or shortly before.

        Parameters
        ----------
        parts : sequence of str
            Shared parts of its prompt.
        open_suspects : collection of str
            Suspect parts of endpoints that have probably ended.
        now_s : float
            Clock reading.
        """
        for part in parts:
            ends = len(self.table.list_ends(part)) + (part in open_suspects)
            if ends > MAX_ENDS_TO_REPEAT and not self._was_answered(part, now_s):
                return False
        return True

    def _was_answered(self, part: str, now_s: float) -> bool:
        """Return whether a suspect part was answered since or shortly before."""
        counts = self.table.answers.get(part)
        if counts is not None and (counts.total or counts.before):
            return True
        suspect = self._suspects.get(part)
        if suspect is not None:
            return suspect.after > 0 or suspect.before
        return self._is_recent(part, now_s)

    def _is_recent(self, part: str, now_s: float) -> bool:
        answered_s = self._last_answers_s.get(part)
        return answered_s is not None and now_s - answered_s < RECENT_ANSWER_S

    def _publish(self, evidence: Evidence, now_s: float) -> None:
        new = self.table.merge(evidence, now_s)
        if new:
            self._outgoing.append(new)
            self._accept(new, now_s)

    def _decide(
        self, decision: PartQuarantine, now_s: float, ends: int, answers: int
    ) -> None:
        self._publish(Evidence(quarantines=(decision,)), now_s)
        self._changes.append(QuarantineChange(decision, ends, answers))

    def _accept(self, new: Evidence, now_s: float) -> None:
        """Take note of new evidence, and count the answers to newly suspect parts."""
        if not new:
            return
        self._changed = True
        for end in new.ends:
            self._last_end_s = now_s
            for suspect in end.suspects:
                self._add_suspect(suspect.part, now_s)

    def _add_suspect(self, part: str, now_s: float) -> None:
        if part in self._suspects:
            return
        before = self._is_recent(part, now_s)
        self._suspects[part] = _SuspectRecord(now_s, before)
        if before:
            self._unreported.add(part)

    def _shorten_wait(self, part: str, now_s: float) -> None:
        """Try a quarantined part again soon after a request with it was answered."""
        known = self.table.quarantines.get(part)
        if known is None or not known.decision.active:
            return
        decision = known.decision
        self._decide(
            PartQuarantine(part, decision.revision + 1, True, NEXT_TRIAL_WAIT_S),
            now_s,
            0,
            self._suspects[part].after,
        )

    def _report_answers(self, now_s: float) -> None:
        """Report the answers of this host to suspect parts, as far as others need them.

        A part of nearly all prompts is cleared by the first few hosts that report.
        """
        reports = []
        for part in list(self._unreported):
            suspect = self._suspects[part]
            ends = len(self.table.list_ends(part))
            enough = MIN_REPORTED_ANSWERS + REPORTED_ANSWERS_PER_END * ends
            counts = self.table.answers.get(part)
            if counts is not None and counts.total >= enough:
                continue
            self._unreported.remove(part)
            reports.append(PartAnswers(self._host, part, suspect.after, suspect.before))
        if reports:
            self._publish(Evidence(answers=tuple(reports)), now_s)

    def _expire(self, now_s: float) -> None:
        self.table.expire(now_s)
        for part in list(self._suspects):
            if not self.table.is_suspect(part) and not self.table.is_quarantined(part):
                del self._suspects[part]
                self._unreported.discard(part)


def create_quarantine(host: str) -> Quarantine:
    """Return the quarantine of an entry host without any evidence."""
    return Quarantine(host)
