"""Prefix-cache map: which endpoint probably holds which prompt prefix."""

import itertools
import math
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["AffinityMap", "CacheEvent", "create_affinity"]

BLOCK_TOKENS = 64
# Bounds the map to about 8 MB of the 32 MB that control may use on a host.
MAX_ENTRIES = 32_768
MAX_ENDPOINTS_PER_PREFIX = 32
# Rows read for one request; bounds the cost of very long prompts.
MAX_PROBES = 12
CONFIDENCE_TIME_S = 120.0
# Lateness at which confidence decays twice as fast.
LATENESS_SCALE_S = 2.0
# Own requests show what an endpoint computed, not what it kept.
OWN_CONFIDENCE = 0.9
# An unseen event may have removed any prefix that was known before the gap.
GAP_CONFIDENCE = 0.4
MIN_CONFIDENCE = 0.05
MAX_MISSING_EVENTS = 64

# Time of the last confirmation, confidence at that time, epoch of the source.
_Entry = tuple[float, float, int]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an endpoint's prefix cache.

    Parameters
    ----------
    sequence : int
        Rises by one with each event of the incarnation.
    created_s : float
        When the endpoint made the event, on the receiver's monotonic clock.
    stored, removed : tuple of int
        Prefix hashes that entered and left the cache.
    cleared : bool
        Whether the cache was emptied before `stored` entered.
    """

    endpoint: str
    incarnation: int
    sequence: int
    created_s: float
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False


@dataclass(slots=True)
class _Source:
    """What is known of one endpoint's event stream.

    Entries carry the source's epoch, so that those of an earlier incarnation are
    ignored without a search for them.
    """

    incarnation: int
    epoch: int
    next_sequence: int | None = None
    missing: set[int] = field(default_factory=set)
    lost: bool = False
    gap_s: float = -math.inf
    cleared_s: float = -math.inf
    lateness_s: float = 0.0


class AffinityMap:
    """Prefixes by hash, each with the endpoints that probably hold it.

    Parameters
    ----------
    block_tokens : int
        Tokens by which each prefix is longer than the one before.
    max_entries : int
        Bound on the pairs of prefix and endpoint.
    """

    def __init__(self, block_tokens: int, max_entries: int) -> None:
        self._block_tokens = block_tokens
        self._max_entries = max_entries
        self._rows: OrderedDict[int, dict[str, _Entry]] = OrderedDict()
        self._sources: dict[str, _Source] = {}
        self._epochs = itertools.count(1)
        self.entries = 0

    def apply(self, event: CacheEvent, now_s: float) -> None:
        """Apply a cache event, which may be late, out of order or repeated."""
        source = self._get_source(event.endpoint, event.incarnation)
        if source is None or not _accept_sequence(source, event, now_s):
            return
        lateness_s = max(0.0, now_s - event.created_s)
        source.lateness_s += 0.2 * (lateness_s - source.lateness_s)
        if event.cleared:
            source.cleared_s = max(source.cleared_s, event.created_s)
        for prefix in event.removed:
            self._remove(prefix, event.endpoint, event.created_s)
        entry = (event.created_s, 1.0, source.epoch)
        self._store(event.stored, event.endpoint, entry)

    def record_request(
        self,
        endpoint: str,
        incarnation: int,
        prefix_hashes: tuple[int, ...],
        now_s: float,
    ) -> None:
        """Note that a request of this host filled the endpoint's cache."""
        source = self._get_source(endpoint, incarnation)
        if source is not None:
            entry = (now_s, OWN_CONFIDENCE, source.epoch)
            self._store(prefix_hashes, endpoint, entry)

    def estimate_cached_tokens(
        self, prefix_hashes: tuple[int, ...], now_s: float
    ) -> dict[str, float]:
        """Return the expected cached tokens of each endpoint that has any.

        Parameters
        ----------
        prefix_hashes : tuple of int
            Hashes of the prompt's prefixes, shortest first.
        now_s : float
            Clock reading.

        Returns
        -------
        dict of str to float
            Tokens weighted by confidence; endpoints without any are left out.
        """
        known = self._count_known(prefix_hashes)
        if not known:
            return {}
        stride = max(1, math.ceil(known / MAX_PROBES))
        found: dict[str, float] = {}
        for index in range(known - 1, -1, -stride):
            row = self._rows.get(prefix_hashes[index])
            if row is not None:
                tokens = (index + 1) * self._block_tokens
                self._add_row(found, row, tokens, now_s)
        return found

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint; its entries are ignored and age out of the map."""
        self._sources.pop(endpoint, None)

    def _add_row(
        self,
        found: dict[str, float],
        row: dict[str, _Entry],
        tokens: int,
        now_s: float,
    ) -> None:
        for endpoint, entry in row.items():
            source = self._sources.get(endpoint)
            if source is None:
                continue
            expected = tokens * _get_confidence(source, entry, now_s)
            if expected > found.get(endpoint, 0.0):
                found[endpoint] = expected

    def _count_known(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return how many prefixes are known; a known one implies the shorter."""
        low, high = 0, len(prefix_hashes)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix_hashes[middle - 1] in self._rows:
                low = middle
            else:
                high = middle - 1
        return low

    def _get_source(self, endpoint: str, incarnation: int) -> _Source | None:
        source = self._sources.get(endpoint)
        if source is None or source.incarnation < incarnation:
            source = _Source(incarnation, next(self._epochs))
            self._sources[endpoint] = source
        return source if source.incarnation == incarnation else None

    def _store(self, prefixes: tuple[int, ...], endpoint: str, entry: _Entry) -> None:
        rows = self._rows
        seen_s, _, epoch = entry
        for prefix in prefixes:
            row = rows.get(prefix)
            if row is None:
                rows[prefix] = {endpoint: entry}
                self.entries += 1
                continue
            rows.move_to_end(prefix)
            known = row.pop(endpoint, None)
            if known is None:
                self.entries += 1
            elif known[2] == epoch and known[0] > seen_s:
                row[endpoint] = known
                continue
            # The row keeps its entries in the order of their confirmation.
            row[endpoint] = entry
            if len(row) > MAX_ENDPOINTS_PER_PREFIX:
                del row[next(iter(row))]
                self.entries -= 1
        while self.entries > self._max_entries:
            _, oldest = rows.popitem(last=False)
            self.entries -= len(oldest)

    def _remove(self, prefix: int, endpoint: str, created_s: float) -> None:
        row = self._rows.get(prefix)
        if row is None or endpoint not in row or row[endpoint][0] > created_s:
            return
        del row[endpoint]
        self.entries -= 1
        if not row:
            del self._rows[prefix]


def _accept_sequence(source: _Source, event: CacheEvent, now_s: float) -> bool:
    """Track gaps; return False for an event that was applied before."""
    expected = source.next_sequence
    if expected is None or event.sequence == expected:
        source.next_sequence = event.sequence + 1
        return True
    if event.sequence < expected:
        if event.sequence not in source.missing:
            return False
        source.missing.discard(event.sequence)
        if not source.missing and not source.lost:
            source.gap_s = -math.inf
        return True
    source.gap_s = now_s
    if event.sequence - expected + len(source.missing) > MAX_MISSING_EVENTS:
        # A gap too long to track stays open; entries from before it stay doubted.
        source.lost = True
        source.missing.clear()
    else:
        source.missing.update(range(expected, event.sequence))
    source.next_sequence = event.sequence + 1
    return True


def _get_confidence(source: _Source, entry: _Entry, now_s: float) -> float:
    seen_s, confidence, epoch = entry
    if epoch != source.epoch or seen_s <= source.cleared_s:
        return 0.0
    if seen_s < source.gap_s:
        confidence *= GAP_CONFIDENCE
    pace = 1.0 + source.lateness_s / LATENESS_SCALE_S
    confidence *= math.exp(-max(0.0, now_s - seen_s) * pace / CONFIDENCE_TIME_S)
    return confidence if confidence >= MIN_CONFIDENCE else 0.0


def create_affinity(
    block_tokens: int = BLOCK_TOKENS, max_entries: int = MAX_ENTRIES
) -> AffinityMap:
    """Create an empty prefix-cache map.

    Parameters
    ----------
    block_tokens : int, optional
        Tokens by which each prefix is longer than the one before.
    max_entries : int, optional
        Bound on the pairs of prefix and endpoint.

    Returns
    -------
    AffinityMap
        The map.
    """
    return AffinityMap(block_tokens, max_entries)
