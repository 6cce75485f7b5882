"""Map of the prompt prefixes that endpoints probably hold in their caches."""

import itertools
import math
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["AffinityMap", "CacheEvent", "create_affinity"]

BLOCK_TOKENS = 64
# Bounds the map to about 8 MB of the 32 MB that control may use on a host.
MAX_ENTRIES = 32_768
MAX_ENDPOINTS_PER_PREFIX = 32
# Prefixes looked up for one request; bounds the cost of very long prompts.
MAX_LOOKUPS = 12
# Time constant of the exponential decay of confidence.
CONFIDENCE_TIME_S = 120.0
# Mean delay of an endpoint's events at which confidence decays twice as fast.
DELAY_SCALE_S = 2.0
# This host's requests show what an endpoint computed, not what it kept in its cache.
OWN_CONFIDENCE = 0.9
# A missing event may have removed any prefix that was stored before the gap.
GAP_CONFIDENCE = 0.4
MIN_CONFIDENCE = 0.05
MAX_MISSING_EVENTS = 64

# Time of the last confirmation, confidence at that time, epoch of the event stream.
_Entry = tuple[float, float, int]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an endpoint's prefix cache.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    incarnation : int
        Incarnation of the endpoint process.
    sequence : int
        Increases by one with each event of the incarnation.
    created_s : float
        When the endpoint created the event, on the receiver's monotonic clock.
    stored, removed : tuple of int
        Prefix hashes added to and removed from the cache.
    cleared : bool
        Whether the cache was cleared before the prefixes in `stored` were added.
    """

    endpoint: str
    incarnation: int
    sequence: int
    created_s: float
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False


@dataclass(slots=True)
class _EventStream:
    """State of one endpoint's stream of cache events.

    Entries carry the epoch of their stream, so that the entries of an earlier
    incarnation are ignored without having to be found and removed.

    Parameters
    ----------
    missing : set of int
        Sequence numbers of events that have not arrived.
    lost : bool
        Whether more events were missing than are tracked.
    gap_s : float
        Time at which the latest gap was noticed; minus infinity without a gap.
    cleared_s : float
        Creation time of the latest event that cleared the cache.
    delay_s : float
        Smoothed delay from the creation of an event to its arrival.
    """

    incarnation: int
    epoch: int
    next_sequence: int | None = None
    missing: set[int] = field(default_factory=set)
    lost: bool = False
    gap_s: float = -math.inf
    cleared_s: float = -math.inf
    delay_s: float = 0.0


class AffinityMap:
    """Prefixes by hash, each with the endpoints that probably hold it.

    Parameters
    ----------
    block_tokens : int
        Tokens by which each prefix is longer than the previous one.
    max_entries : int
        Largest number of pairs of prefix and endpoint.
    """

    def __init__(self, block_tokens: int, max_entries: int) -> None:
        self._block_tokens = block_tokens
        self._max_entries = max_entries
        self._endpoints_by_prefix: OrderedDict[int, dict[str, _Entry]] = OrderedDict()
        self._streams: dict[str, _EventStream] = {}
        self._epochs = itertools.count(1)
        self.entries = 0

    def apply(self, event: CacheEvent, now_s: float) -> None:
        """Apply a cache event, which may be late, out of order or repeated."""
        stream = self._get_stream(event.endpoint, event.incarnation)
        if stream is None or not _accept_sequence(stream, event, now_s):
            return
        delay_s = max(0.0, now_s - event.created_s)
        stream.delay_s += 0.2 * (delay_s - stream.delay_s)
        if event.cleared:
            stream.cleared_s = max(stream.cleared_s, event.created_s)
        for prefix in event.removed:
            self._remove(prefix, event.endpoint, event.created_s)
        entry = (event.created_s, 1.0, stream.epoch)
        self._store(event.stored, event.endpoint, entry)

    def record_request(
        self,
        endpoint: str,
        incarnation: int,
        prefix_hashes: tuple[int, ...],
        now_s: float,
    ) -> None:
        """Record that a request of this host added prefixes to an endpoint's cache.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        incarnation : int
            Incarnation of the endpoint process; an old one is ignored.
        prefix_hashes : tuple of int
            Hashes of the prompt's prefixes.
        now_s : float
            Monotonic time in seconds.
        """
        stream = self._get_stream(endpoint, incarnation)
        if stream is not None:
            entry = (now_s, OWN_CONFIDENCE, stream.epoch)
            self._store(prefix_hashes, endpoint, entry)

    def estimate_cached_tokens(
        self, prefix_hashes: tuple[int, ...], now_s: float
    ) -> dict[str, float]:
        """Estimate how many tokens of a prompt each endpoint has cached.

        Parameters
        ----------
        prefix_hashes : tuple of int
            Hashes of the prompt's prefixes, shortest first.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to float
            Cached tokens multiplied by the confidence, by endpoint name; endpoints
            without cached tokens are left out.
        """
        known = self._count_known(prefix_hashes)
        if not known:
            return {}
        stride = max(1, math.ceil(known / MAX_LOOKUPS))
        expected_tokens: dict[str, float] = {}
        for index in range(known - 1, -1, -stride):
            holders = self._endpoints_by_prefix.get(prefix_hashes[index])
            if holders is not None:
                tokens = (index + 1) * self._block_tokens
                self._add_expected(expected_tokens, holders, tokens, now_s)
        return expected_tokens

    def forget(self, endpoint: str) -> None:
        """Remove an endpoint; its entries are ignored until they are evicted."""
        self._streams.pop(endpoint, None)

    def _add_expected(
        self,
        expected_tokens: dict[str, float],
        holders: dict[str, _Entry],
        tokens: int,
        now_s: float,
    ) -> None:
        for endpoint, entry in holders.items():
            stream = self._streams.get(endpoint)
            if stream is None:
                continue
            expected = tokens * _get_confidence(stream, entry, now_s)
            if expected > expected_tokens.get(endpoint, 0.0):
                expected_tokens[endpoint] = expected

    def _count_known(self, prefix_hashes: tuple[int, ...]) -> int:
        """Count the known prefixes by binary search.

        Assumes that all shorter prefixes of a known prefix are known too.
        """
        low, high = 0, len(prefix_hashes)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix_hashes[middle - 1] in self._endpoints_by_prefix:
                low = middle
            else:
                high = middle - 1
        return low

    def _get_stream(self, endpoint: str, incarnation: int) -> _EventStream | None:
        stream = self._streams.get(endpoint)
        if stream is None or stream.incarnation < incarnation:
            stream = _EventStream(incarnation, next(self._epochs))
            self._streams[endpoint] = stream
        return stream if stream.incarnation == incarnation else None

    def _store(self, prefixes: tuple[int, ...], endpoint: str, entry: _Entry) -> None:
        endpoints_by_prefix = self._endpoints_by_prefix
        confirmed_s, _, epoch = entry
        for prefix in prefixes:
            holders = endpoints_by_prefix.get(prefix)
            if holders is None:
                endpoints_by_prefix[prefix] = {endpoint: entry}
                self.entries += 1
                continue
            endpoints_by_prefix.move_to_end(prefix)
            known = holders.pop(endpoint, None)
            if known is None:
                self.entries += 1
            elif known[2] == epoch and known[0] > confirmed_s:
                holders[endpoint] = known
                continue
            # Entries of a prefix are ordered by their confirmation, oldest first.
            holders[endpoint] = entry
            if len(holders) > MAX_ENDPOINTS_PER_PREFIX:
                del holders[next(iter(holders))]
                self.entries -= 1
        while self.entries > self._max_entries:
            _, evicted = endpoints_by_prefix.popitem(last=False)
            self.entries -= len(evicted)

    def _remove(self, prefix: int, endpoint: str, created_s: float) -> None:
        holders = self._endpoints_by_prefix.get(prefix)
        if (
            holders is None
            or endpoint not in holders
            or holders[endpoint][0] > created_s
        ):
            return
        del holders[endpoint]
        self.entries -= 1
        if not holders:
            del self._endpoints_by_prefix[prefix]


def _accept_sequence(stream: _EventStream, event: CacheEvent, now_s: float) -> bool:
    """Track gaps in the sequence; return whether the event is new."""
    expected = stream.next_sequence
    if expected is None or event.sequence == expected:
        stream.next_sequence = event.sequence + 1
        return True
    if event.sequence < expected:
        if event.sequence not in stream.missing:
            return False
        stream.missing.discard(event.sequence)
        if not stream.missing and not stream.lost:
            stream.gap_s = -math.inf
        return True
    stream.gap_s = now_s
    if event.sequence - expected + len(stream.missing) > MAX_MISSING_EVENTS:
        # The gap is too long to track: it stays open, and entries from before it keep
        # the lower confidence.
        stream.lost = True
        stream.missing.clear()
    else:
        stream.missing.update(range(expected, event.sequence))
    stream.next_sequence = event.sequence + 1
    return True


def _get_confidence(stream: _EventStream, entry: _Entry, now_s: float) -> float:
    confirmed_s, confidence, epoch = entry
    if epoch != stream.epoch or confirmed_s <= stream.cleared_s:
        return 0.0
    if confirmed_s < stream.gap_s:
        confidence *= GAP_CONFIDENCE
    decay_factor = 1.0 + stream.delay_s / DELAY_SCALE_S
    confidence *= math.exp(
        -max(0.0, now_s - confirmed_s) * decay_factor / CONFIDENCE_TIME_S
    )
    return confidence if confidence >= MIN_CONFIDENCE else 0.0


def create_affinity(
    block_tokens: int = BLOCK_TOKENS, max_entries: int = MAX_ENTRIES
) -> AffinityMap:
    """Create an empty prefix-cache map.

    Parameters
    ----------
    block_tokens : int, optional
        Tokens by which each prefix is longer than the previous one.
    max_entries : int, optional
        Largest number of pairs of prefix and endpoint.

    Returns
    -------
    AffinityMap
        The empty map.
    """
    return AffinityMap(block_tokens, max_entries)
