"""Merged evidence of all hosts; reports may come late, twice or in any order."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from buckthorndeal.quarantine._keys import get_outline, is_request_key
from buckthorndeal.quarantine._records import (
    EndpointEnd,
    Evidence,
    KeyAnswers,
    QuarantineDecision,
    Suspect,
)

END_RETENTION_S = 600.0
MAX_ENDS = 256
MAX_SUSPECTS_PER_END = 512
MAX_QUARANTINES = 1024


@dataclass(slots=True)
class KnownEnd:
    """End of an endpoint as known to this host.

    Parameters
    ----------
    suspects : dict of str to Suspect
        Suspects by key.
    ended_s, learned_s : float
        Clock readings at the end and when this host learned of it.
    """

    suspects: dict[str, Suspect]
    ended_s: float
    learned_s: float


@dataclass(slots=True)
class KnownQuarantine:
    """Newest decision on a key, and the clock reading at which it was made."""

    decision: QuarantineDecision
    decided_s: float


@dataclass(slots=True)
class AnswerCounts:
    """Answers to requests with a suspect key, as reported by each entry host."""

    after: dict[str, int] = field(default_factory=dict)
    before: bool = False

    @property
    def total(self) -> int:
        """Answers of all hosts since the key became suspect."""
        return sum(self.after.values())


class EvidenceTable:
    """Ends of endpoints, answers to suspect keys, and decisions on keys."""

    def __init__(self) -> None:
        self.ends: dict[tuple[str, int], KnownEnd] = {}
        self._ends_by_key: dict[str, list[KnownEnd]] = {}
        self.answers: dict[str, AnswerCounts] = {}
        self.quarantines: dict[str, KnownQuarantine] = {}
        self._outlines: frozenset[str] | None = frozenset()

    def merge(self, evidence: Evidence, now_s: float) -> Evidence:
        """Add evidence; return the part of it that was not known."""
        return Evidence(
            tuple(self._merge_ends(evidence.ends, now_s)),
            tuple(each for each in evidence.answers if self._merge_answers(each)),
            tuple(
                each
                for each in evidence.quarantines
                if self._merge_quarantine(each, now_s)
            ),
        )

    def renew_ages(
        self, ends: Iterable[EndpointEnd], now_s: float
    ) -> list[EndpointEnd]:
        """Return ends with their ages at `now_s`, for those that were held back."""
        renewed = []
        for end in ends:
            known = self.ends.get((end.endpoint, end.incarnation))
            if known is not None:
                age_s = now_s - known.ended_s
                renewed.append(msgspec.structs.replace(end, age_s=age_s))
        return renewed

    def export(self, now_s: float) -> Evidence:
        """Return everything that is known."""
        ends = tuple(
            EndpointEnd(
                endpoint,
                incarnation,
                tuple(end.suspects.values()),
                now_s - end.ended_s,
            )
            for (endpoint, incarnation), end in self.ends.items()
        )
        answers = tuple(
            KeyAnswers(host, key, after, counts.before)
            for key, counts in self.answers.items()
            for host, after in counts.after.items()
        )
        decisions = tuple(
            msgspec.structs.replace(known.decision, age_s=now_s - known.decided_s)
            for known in self.quarantines.values()
        )
        return Evidence(ends, answers, decisions)

    def expire(self, now_s: float) -> None:
        """Forget old ends, and the answers to keys that no end makes suspect."""
        for end_id, end in list(self.ends.items()):
            if now_s - end.learned_s > END_RETENTION_S:
                self._remove_end(end_id)
        for key in list(self.answers):
            if not self.is_suspect(key) and not self.is_quarantined(key):
                del self.answers[key]

    @property
    def is_empty(self) -> bool:
        """Whether no end with suspects and no decision is known."""
        return not self._ends_by_key and not self.quarantines

    def may_concern(self, outline: str) -> bool:
        """Return whether any known request has an outline."""
        if self._outlines is None:
            keys = (*self._ends_by_key, *self.quarantines)
            self._outlines = frozenset(map(get_outline, filter(is_request_key, keys)))
        return outline in self._outlines

    def list_suspects(self) -> list[str]:
        """Return the keys that an end of an endpoint makes suspect."""
        return list(self._ends_by_key)

    def is_suspect(self, key: str) -> bool:
        """Return whether an end of an endpoint makes a key suspect."""
        return key in self._ends_by_key

    def list_ends(self, key: str) -> list[KnownEnd]:
        """Return the ends of endpoints that make a key suspect."""
        return self._ends_by_key.get(key, [])

    def is_quarantined(self, key: str) -> bool:
        """Return whether requests with the key are refused."""
        known = self.quarantines.get(key)
        return known is not None and known.decision.active

    def _merge_ends(
        self, ends: Iterable[EndpointEnd], now_s: float
    ) -> Iterable[EndpointEnd]:
        for end in ends:
            end_id = (end.endpoint, end.incarnation)
            known = self.ends.get(end_id)
            if known is None and end.age_s > END_RETENTION_S:
                continue
            if known is None:
                if len(self.ends) >= MAX_ENDS:
                    self._remove_end(next(iter(self.ends)))
                known = self.ends[end_id] = KnownEnd({}, now_s - end.age_s, now_s)
            added = [each for each in end.suspects if each.key not in known.suspects]
            added = added[: MAX_SUSPECTS_PER_END - len(known.suspects)]
            for each in added:
                self._outlines = None
                known.suspects[each.key] = each
                self._ends_by_key.setdefault(each.key, []).append(known)
            if added:
                yield EndpointEnd(
                    end.endpoint, end.incarnation, tuple(added), end.age_s
                )

    def _remove_end(self, end_id: tuple[str, int]) -> None:
        self._outlines = None
        end = self.ends.pop(end_id)
        for key in end.suspects:
            others = [each for each in self._ends_by_key[key] if each is not end]
            if others:
                self._ends_by_key[key] = others
            else:
                del self._ends_by_key[key]

    def _merge_answers(self, answers: KeyAnswers) -> bool:
        counts = self.answers.setdefault(answers.key, AnswerCounts())
        known = counts.after.get(answers.host, -1)
        changed = answers.after > known or (answers.before and not counts.before)
        counts.after[answers.host] = max(known, answers.after)
        counts.before = counts.before or answers.before
        return changed

    def _merge_quarantine(self, decision: QuarantineDecision, now_s: float) -> bool:
        known = self.quarantines.get(decision.key)
        if known is not None and _rank(known.decision) >= _rank(decision):
            return False
        if known is None and len(self.quarantines) >= MAX_QUARANTINES:
            del self.quarantines[next(iter(self.quarantines))]
        self._outlines = None
        decided_s = now_s - max(0.0, decision.age_s)
        decision = msgspec.structs.replace(decision, age_s=0.0)
        self.quarantines[decision.key] = KnownQuarantine(decision, decided_s)
        return True


def _rank(decision: QuarantineDecision) -> tuple[int, bool, float]:
    """Return a sort key; of two equal revisions the more careful decision holds."""
    return (decision.revision, decision.active, decision.wait_s)
