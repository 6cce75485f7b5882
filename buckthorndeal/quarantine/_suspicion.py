"""Choice of the key that explains most ends of endpoints."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from buckthorndeal.quarantine._keys import is_request_key
from buckthorndeal.quarantine._table import EvidenceTable, KnownEnd

MIN_ENDS = 3
# The same for a key that was answered shortly before it became suspect.
MIN_ENDS_WITH_HISTORY = 5
# Ends from which a part of prompts is in doubt; whole requests are from `MIN_ENDS` on.
MIN_ENDS_OF_PART_IN_DOUBT = 5
# Causes that suffice for a key with an end after it was in doubt. One host at a time
# sends it then, so that end has no cause in common with those before.
MIN_CAUSES_AFTER_DOUBT = 2
# Ends after which one of several equally suspect keys is chosen.
MIN_ENDS_IF_AMBIGUOUS = 5
# Answers to requests with a key, for each end, that show that it crashes nothing.
ANSWERS_PER_END = 0.5
# Ends within this time may have a common cause, such as a loss of power.
COMMON_CAUSE_S = 0.2
# Time for other hosts to report answers to a suspect key.
REPORT_TIME_S = 0.8
# Time for requests to be answered again if their key was answered before.
REVIEW_TIME_S = 4.0


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Evidence that a key crashes endpoints.

    Parameters
    ----------
    ends : int
        Unexplained ends of endpoints that had just begun to answer it.
    answers : int
        Answers to requests sent since the first of them.
    has_history : bool
        Whether it was answered shortly before.
    depth : int
        Position among the keys of a request.
    """

    key: str
    ends: int
    answers: int
    has_history: bool
    depth: int


def find_crashing_key(table: EvidenceTable, now_s: float) -> Suspicion | None:
    """Return the key that explains most ends, or None if the evidence is thin.

    The other keys of the same requests have ends as well, but fewer, or have been
    answered since. Of a request and a part of its prompt that explain as many ends, the
    request is chosen: nothing else is refused with it.
    """
    eligible = []
    for key in table.list_suspects():
        if len(table.list_ends(key)) >= MIN_ENDS:
            suspicion = _assess(table, key, now_s)
            if suspicion is not None:
                eligible.append(suspicion)
    if not eligible:
        return None
    eligible.sort(key=_rank)
    best = eligible[0]
    equal = [each for each in eligible if _rank(each)[:2] == _rank(best)[:2]]
    requests = [each for each in equal if is_request_key(each.key)]
    if len(requests) == 1:
        return requests[0]
    if len(equal) > 1 and best.ends < MIN_ENDS_IF_AMBIGUOUS:
        return None
    return best


def is_cleared(table: EvidenceTable, key: str) -> bool:
    """Return whether requests with a key are answered too often to crash endpoints."""
    counts = table.answers.get(key)
    if counts is None:
        return False
    return counts.total > ANSWERS_PER_END * count_causes(key, table.list_ends(key))


def list_open_ends(table: EvidenceTable, key: str) -> list[KnownEnd]:
    """Return the ends under a key that no quarantined key explains."""
    ends = table.list_ends(key)
    return [end for end in ends if _find_explanation(table, end) is None]


def get_min_ends_in_doubt(key: str) -> int:
    """Return the number of ends from which a key is in doubt until it is decided on."""
    return MIN_ENDS if is_request_key(key) else MIN_ENDS_OF_PART_IN_DOUBT


def _find_explanation(table: EvidenceTable, end: KnownEnd) -> str | None:
    """Return the quarantined key that explains the end of an endpoint, or None.

    Parts of prompts come before whole requests.
    """
    quarantined = [key for key in end.suspects if table.is_quarantined(key)]
    return min(quarantined, key=lambda key: (is_request_key(key), key), default=None)


def _count_open_causes(table: EvidenceTable, key: str, ends: list[KnownEnd]) -> int:
    """Return the number of causes among some ends that a key may be.

    Ends that another quarantined key explains do not count. But several crashing
    requests may owe it to a part that they share: each counts once against the part.
    """
    unexplained = []
    requests = set()
    for end in ends:
        explanation = _find_explanation(table, end)
        if explanation is None:
            unexplained.append(end)
        elif is_request_key(explanation) and not is_request_key(key):
            requests.add(explanation)
    return count_causes(key, unexplained) + len(requests)


def count_causes(key: str, ends: Iterable[KnownEnd]) -> int:
    """Return the number of ends under a key; those with a common cause count as one.

    Ends under two attempts of one request have none: the second attempt was sent after
    the first endpoint had ended.
    """
    causes = 0
    first_s = -math.inf
    attempts_of: set[str] = set()
    for end in sorted(ends, key=lambda end: end.ended_s):
        attempt_of = end.suspects[key].attempt_of
        if end.ended_s - first_s > COMMON_CAUSE_S or attempt_of in attempts_of:
            causes += 1
            first_s = end.ended_s
            attempts_of.clear()
        if attempt_of:
            attempts_of.add(attempt_of)
    return causes


def _assess(table: EvidenceTable, key: str, now_s: float) -> Suspicion | None:
    """Return the evidence on a key; None if it is weak or may be cleared yet."""
    ends = table.list_ends(key)
    counts = table.answers.get(key)
    answers = counts.total if counts is not None else 0
    has_history = counts is not None and counts.before
    if has_history:
        first_s = min(end.learned_s for end in ends)
        if now_s - first_s < REVIEW_TIME_S:
            return None
    reviewed = [end for end in ends if now_s - end.learned_s >= REPORT_TIME_S]
    causes = _count_open_causes(table, key, reviewed)
    min_causes = MIN_ENDS
    if has_history:
        min_causes = MIN_ENDS_WITH_HISTORY
    elif _has_further_end(table, key, reviewed):
        min_causes = MIN_CAUSES_AFTER_DOUBT
    if causes < min_causes or answers > ANSWERS_PER_END * causes:
        return None
    depth = max(end.suspects[key].depth for end in ends)
    return Suspicion(key, causes, answers, has_history, depth)


def _has_further_end(table: EvidenceTable, key: str, ends: list[KnownEnd]) -> bool:
    """Return whether an endpoint has ended under a key that was in doubt."""
    unexplained = [end for end in ends if _find_explanation(table, end) is None]
    return len(unexplained) > get_min_ends_in_doubt(key)


def _rank(suspicion: Suspicion) -> tuple:
    """Return a sort key: keys without an earlier answer and with most ends first."""
    return (
        suspicion.has_history,
        -suspicion.ends,
        suspicion.answers,
        -suspicion.depth,
        suspicion.key,
    )
