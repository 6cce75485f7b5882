"""Load of other regions, as known to one entry host; no I/O."""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from buckthorndeal.gateway._fleet_messages import (
    RegionUpdate,
    SpareCapacity,
)
from buckthorndeal.gateway._messages import Call

# Older load reports are ignored; they are exchanged about twice a second.
LOAD_LIFETIME_S = 2.0
# Round trip time between two regions.
ROUND_TRIP_S = 0.17
# Requests that were sent less than this long before a report arrived are not in it: a
# round trip, and the time until endpoints have reported them.
UNSEEN_S = 0.3
# A request may be this many times as large as the part of the host, if it is the only
# one.
SINGLE_FACTOR = 2
# Time for which a prefix counts as cached in the region to which it was sent.
PREFIX_LIFETIME_S = 10.0
MAX_PREFIXES = 1_000
# Shorter prefixes are prefilled in a few milliseconds wherever the request goes.
MIN_PREFIX_TOKENS = 1_000
# Added to the predicted wait for each request beyond the reported free slots.
EXCESS_REQUEST_PENALTY_S = 0.05


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """A region that can serve a request.

    Parameters
    ----------
    region : str
        The region.
    host : str
        Entry host through which it is reached.
    wait_s : float
        Predicted wait, including the round trip.
    """

    region: str
    host: str
    wait_s: float


@dataclass(frozen=True, slots=True)
class RegionStatus:
    """What is known of another region, for an explanation of a decision.

    Parameters
    ----------
    region, host : str
        The region, and the entry host through which it is reached.
    age_s : float
        Age of its last report in seconds.
    wait_s : float or None
        Reported wait at the service; None if it is not served there.
    free_slots, sent : int
        Reported free slots, and requests of this host since the report.
    lent_requests : int or None
        Requests that it lends to this host; None if it does not divide them.
    obstacle : str or None
        Why the request cannot go there; None if it can.
    """

    region: str
    host: str
    age_s: float
    wait_s: float | None
    free_slots: int
    sent: int
    lent_requests: int | None
    obstacle: str | None


@dataclass(slots=True)
class _Loan:
    """What this host may still send to a service of another region.

    Parameters
    ----------
    capacity : SpareCapacity
        Part of this host in the last report.
    sent : deque of tuple
        Clock reading and tokens of each request that the report does not include.
    sent_tokens : int
        Sum of these tokens.
    """

    capacity: SpareCapacity
    sent: deque[tuple[float, int]] = field(default_factory=deque)
    sent_tokens: int = 0

    def has_room(self, tokens: int) -> bool:
        """Return whether one more request fits, with `tokens` to prefill.

        A single request may be larger than the part, as parts of many hosts are small.
        """
        if len(self.sent) >= self.capacity.requests:
            return False
        allowed = self.capacity.tokens * (1 if self.sent_tokens else SINGLE_FACTOR)
        return self.sent_tokens + tokens <= allowed

    def record_sent(self, tokens: int, now_s: float) -> None:
        """Count a request that is sent."""
        self.sent.append((now_s, tokens))
        self.sent_tokens += tokens

    def renew(self, capacity: SpareCapacity, now_s: float) -> None:
        """Replace the part by that of a newer report."""
        self.capacity = capacity
        while self.sent and now_s - self.sent[0][0] >= UNSEEN_S:
            self.sent_tokens -= self.sent.popleft()[1]


@dataclass(slots=True)
class _RegionState:
    host: str
    updated_s: float
    waits_s: dict[str, float]
    free_slots: dict[str, int]
    versions: dict[str, tuple[str, ...]]
    sent: dict[str, int] = field(default_factory=dict)
    loans: dict[str, _Loan] = field(default_factory=dict)


class RegionTable:
    """Loads of other regions, and the requests sent there since the last report."""

    def __init__(self) -> None:
        self._regions: dict[str, _RegionState] = {}
        # Region and time at which each prefix was last sent away.
        self._prefixes: OrderedDict[tuple[str, str], float] = OrderedDict()

    def update(self, message: RegionUpdate, now_s: float) -> None:
        """Store a newer load report, or remove an unreachable region."""
        if message.host is None:
            self._regions.pop(message.region, None)
            return
        before = self._regions.get(message.region)
        state = _RegionState(
            message.host, now_s, message.waits_s, message.free_slots, message.versions
        )
        for service, capacity in message.lent.items():
            loan = before.loans.get(service) if before is not None else None
            if loan is None:
                loan = _Loan(capacity)
            loan.renew(capacity, now_s)
            state.loans[service] = loan
        self._regions[message.region] = state

    def divides_lending(self, service: str) -> bool:
        """Return whether any region tells this host what it may send there."""
        return any(service in region.loans for region in self._regions.values())

    def choose(
        self,
        call: Call,
        excluded: frozenset[str],
        now_s: float,
    ) -> RegionChoice | None:
        """Return the region with the shortest predicted wait, or None.

        Parameters
        ----------
        call : Call
            The request.
        excluded : frozenset of str
            Regions at which earlier attempts have failed.
        now_s : float
            Clock reading.
        """
        best: RegionChoice | None = None
        service = call.service
        for name, region in self._list_usable(call, excluded, now_s):
            excess = region.sent.get(service, 0) - region.free_slots.get(service, 0)
            wait_s = ROUND_TRIP_S + region.waits_s[service]
            wait_s += max(0, excess + 1) * EXCESS_REQUEST_PENALTY_S
            if best is None or wait_s < best.wait_s:
                best = RegionChoice(name, region.host, wait_s)
        return best

    def choose_lender(
        self,
        call: Call,
        excluded: frozenset[str],
        token_s: float,
        is_urgent: bool,
        now_s: float,
    ) -> RegionChoice | None:
        """Return the region that lends and responds first, or None.

        The requests of one long shared prefix always go to the same region, so that it
        is prefilled there once for all hosts of this region.

        Parameters
        ----------
        call, excluded, now_s
            As for `choose`.
        token_s : float
            Time to prefill a token, in seconds.
        is_urgent : bool
            Whether the request would be refused here; then any region will do.
        """
        best: RegionChoice | None = None
        service = call.service
        usable = list(self._list_usable(call, excluded, now_s))
        prefix = get_long_prefix(call)
        if prefix is not None and not is_urgent and len(usable) > 1:
            usable = [max(usable, key=lambda each: _rank(prefix, each[0]))]
        for name, region in usable:
            loan = region.loans.get(service)
            if loan is None:
                continue
            tokens = self.count_tokens(call, name, now_s)
            if not loan.has_room(tokens):
                continue
            wait_s = ROUND_TRIP_S + region.waits_s[service] + tokens * token_s
            if best is None or wait_s < best.wait_s:
                best = RegionChoice(name, region.host, wait_s)
        return best

    def _list_usable(
        self, call: Call, excluded: frozenset[str], now_s: float
    ) -> Iterator[tuple[str, _RegionState]]:
        """Yield the regions that serve the request, as far as is known."""
        for name, region in self._regions.items():
            if _find_obstacle(name, region, call, excluded, now_s) is None:
                yield name, region

    def describe(
        self, call: Call, excluded: frozenset[str], now_s: float
    ) -> list[RegionStatus]:
        """Return what is known of each region, and why a request cannot go there.

        The parameters are those of `choose`.
        """
        described = []
        for name, region in sorted(self._regions.items()):
            loan = region.loans.get(call.service)
            status = RegionStatus(
                region=name,
                host=region.host,
                age_s=now_s - region.updated_s,
                wait_s=region.waits_s.get(call.service),
                free_slots=region.free_slots.get(call.service, 0),
                sent=region.sent.get(call.service, 0),
                lent_requests=loan.capacity.requests if loan is not None else None,
                obstacle=_find_obstacle(name, region, call, excluded, now_s),
            )
            described.append(status)
        return described

    def count_tokens(self, call: Call, name: str, now_s: float) -> int:
        """Return the tokens that a region would prefill for a request."""
        if call.prompt is None:
            return 0
        tokens = call.prompt.tokens
        prefix = get_long_prefix(call)
        if prefix is None:
            return tokens
        sent_s = self._prefixes.get((name, prefix))
        if sent_s is None or now_s - sent_s > PREFIX_LIFETIME_S:
            return tokens
        return tokens - call.prompt.shared_prefix_tokens

    def record_sent(self, name: str, call: Call, now_s: float) -> None:
        """Count a request that is sent to a region."""
        region = self._regions.get(name)
        if region is None:
            return
        service = call.service
        region.sent[service] = region.sent.get(service, 0) + 1
        loan = region.loans.get(service)
        if loan is not None:
            loan.record_sent(self.count_tokens(call, name, now_s), now_s)
        prefix = get_long_prefix(call)
        if prefix is not None:
            self._prefixes[name, prefix] = now_s
            self._prefixes.move_to_end((name, prefix))
            if len(self._prefixes) > MAX_PREFIXES:
                self._prefixes.popitem(last=False)


def _find_obstacle(
    name: str,
    region: _RegionState,
    call: Call,
    excluded: frozenset[str],
    now_s: float,
) -> str | None:
    """Return why a region cannot serve a request, as far as is known, or None."""
    service, version = call.service, call.version
    if name in excluded:
        return "excluded"
    if not call.may_run_in(name):
        return "no_home"
    if now_s - region.updated_s > LOAD_LIFETIME_S:
        return "old_report"
    if service not in region.waits_s:
        return "not_served"
    if version is not None and version not in region.versions.get(service, ()):
        return "version_not_served"
    return None


def get_long_prefix(call: Call) -> str | None:
    """Return the key of a shared prefix that is worth to be kept together."""
    prompt = call.prompt
    if prompt is None or prompt.shared_prefix_tokens < MIN_PREFIX_TOKENS:
        return None
    return prompt.shared_prefix_key


def _rank(prefix: str, region: str) -> bytes:
    return hashlib.blake2b(f"{prefix} {region}".encode(), digest_size=8).digest()
