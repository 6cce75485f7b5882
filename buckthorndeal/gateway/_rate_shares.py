"""Share of one host in the rate limits that endpoints name; no I/O."""

import math
from collections.abc import Iterable, Sequence

from buckthorndeal.fleet import EndpointRecord, RateLimit, create_rate_limit_table
from buckthorndeal.subsetting import choose_owners

# Share of a limit that is used, as hosts may disagree on who shares it.
LIMIT_SHARE = 0.8
# Hosts that share a limit, beyond one for each request per second. All of them may send
# a request at the same moment.
EXTRA_SENDERS = 2
# Rate at which a limit of 0 is tried: only a response tells that it is gone.
MIN_RATE_PER_S = 0.05


class RateShares:
    """Spaces out the requests of this host to endpoints that name a rate limit.

    A limit is for all hosts of the region together. A few of them share it, chosen by
    a hash of the endpoint's id, and the others send nothing.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._limits = create_rate_limit_table()
        self._hosts: tuple[str, ...] = (host,)
        self._last_sent_s: dict[tuple[str, int], float] = {}
        self._outgoing: list[RateLimit] = []
        # Whether this host has a share, by endpoint and number of hosts that have one.
        self._sends: dict[tuple[str, int], bool] = {}

    def set_hosts(self, region_hosts: Sequence[str]) -> None:
        """Replace the entry hosts of this region, which share the limits."""
        self._hosts = tuple({*region_hosts, self._host})
        self._sends.clear()

    def get_limit(self, record: EndpointRecord) -> float | None:
        """Return the rate limit of an endpoint in requests per second, or None."""
        return self._limits.get_per_s(_get_key(record))

    def get_rejection_limit(self, record: EndpointRecord) -> float | None:
        """Return how many requests per second an endpoint can turn away, or None."""
        return self._limits.get_rejections_per_s(_get_key(record))

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint has ever named a limit."""
        return self._limits.is_empty

    def get_wait_s(self, record: EndpointRecord, now_s: float) -> float:
        """Return the seconds until this host may send a request to an endpoint.

        0 if it may now, infinite if others share the limit.
        """
        if self._limits.is_empty:
            return 0.0
        per_s = self.get_limit(record)
        if per_s is None:
            return 0.0
        senders = min(len(self._hosts), int(per_s) + EXTRA_SENDERS)
        if not self._is_sender(record.endpoint, senders):
            return math.inf
        interval_s = senders / (LIMIT_SHARE * max(per_s, MIN_RATE_PER_S))
        last_s = self._last_sent_s.get(_get_key(record), -math.inf)
        return max(0.0, last_s + interval_s - now_s)

    def _is_sender(self, endpoint: str, senders: int) -> bool:
        known = self._sends.get((endpoint, senders))
        if known is None:
            known = self._host in choose_owners(endpoint, self._hosts, senders)
            self._sends[endpoint, senders] = known
        return known

    def record_request(self, record: EndpointRecord, now_s: float) -> None:
        """Record that a request is sent to an endpoint."""
        if self.get_limit(record) is not None:
            self._last_sent_s[_get_key(record)] = now_s

    def record_named(
        self,
        record: EndpointRecord,
        per_s: float | None,
        now_s: float,
        rejections_per_s: float | None = None,
    ) -> bool:
        """Record the limits that a response names, or none; return whether any is new.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        per_s : float or None
            Requests per second that it takes from all hosts.
        now_s : float
            Clock reading.
        rejections_per_s : float or None, optional
            Requests per second that it can turn away before it fails.
        """
        known = self._limits.get(_get_key(record))
        before = (self.get_limit(record), self.get_rejection_limit(record))
        if (per_s, rejections_per_s) == before:
            return False
        limit = RateLimit(
            record.endpoint,
            record.incarnation,
            record.region,
            known.revision + 1 if known is not None else 1,
            per_s,
            rejections_per_s,
        )
        self._outgoing.extend(self._limits.merge((limit,), now_s))
        # Requests that were sent before the limit was known count too.
        self._last_sent_s.setdefault(_get_key(record), now_s)
        return True

    def receive(self, limits: Iterable[RateLimit], now_s: float) -> None:
        """Merge the reports of other hosts."""
        for limit in self._limits.merge(limits, now_s):
            self._last_sent_s.setdefault(limit.key, now_s)

    def export(self) -> tuple[RateLimit, ...]:
        """Return all that this host knows."""
        return self._limits.export()

    def take_outgoing(self) -> tuple[RateLimit, ...]:
        """Return the limits that other hosts have to learn since the last call."""
        outgoing, self._outgoing = self._outgoing, []
        return tuple(outgoing)

    def expire(self, records: Iterable[EndpointRecord], now_s: float) -> None:
        """Forget old limits, except those of the known endpoints `records`."""
        kept = {_get_key(record) for record in records}
        self._limits.expire(now_s, kept)
        self._sends.clear()
        for key in list(self._last_sent_s):
            if self._limits.get(key) is None:
                del self._last_sent_s[key]


def _get_key(record: EndpointRecord) -> tuple[str, int]:
    return record.endpoint, record.incarnation
