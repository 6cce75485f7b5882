"""Whether this host reaches the endpoints of its region at all; no I/O.

Heartbeats of endpoints come through coordinators, so they go on when this host alone
has lost its path to the endpoints. Then connections to all of them fail, which tells
the loss from a fault of one endpoint.
"""

import enum
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthorndeal.fleet import EndpointRecord

# Endpoints to which a check opens connections.
MAX_PROBES = 3
# Pause after a check that has found the path open.
CHECK_PAUSE_S = 0.5
# Interval of the probes of a lost path, and after one of them has succeeded.
LOST_PROBE_INTERVAL_S = 0.5
RETURN_PROBE_INTERVAL_S = 0.2
# Successful probes in a row after which a lost path is open again.
PROBES_TO_RETURN = 2
# Probes without a result by then count as failed.
PROBE_LIFETIME_S = 1.5


class PathState(enum.Enum):
    """What is known of the path to the endpoints."""

    OPEN = "open"
    CHECKING = "checking"
    LOST = "lost"


@dataclass(slots=True)
class _Check:
    """Probes of several endpoints; `pending` holds those without a result."""

    started_s: float
    pending: set[str] = field(default_factory=set)


class EndpointPath:
    """Decides whether connections fail because of this host or of an endpoint.

    A failure at one endpoint starts a check: connections to some others. If none of
    them accepts one, the path is lost, until endpoints accept connections again.

    Parameters
    ----------
    rng : random.Random
        Chooses the endpoints of a check.
    list_alive : callable
        Called with a clock reading; returns the endpoints of the region with recent
        heartbeats.
    """

    def __init__(
        self,
        rng: random.Random,
        list_alive: Callable[[float], list[EndpointRecord]],
    ) -> None:
        self._rng = rng
        self._list_alive = list_alive
        self.state = PathState.OPEN
        # Moment of the last state change, and of the failure that led to a loss.
        self.changed_s = -math.inf
        self.suspected_s = -math.inf
        # Start of the last check that has found the path open.
        self.confirmed_s = -math.inf
        # When the path was last known to be lost.
        self.lost_s = -math.inf
        self._suspect: str | None = None
        self._check: _Check | None = None
        self._due_s = -math.inf
        self._successes = 0

    @property
    def is_lost(self) -> bool:
        """Whether no endpoint is reached."""
        return self.state is PathState.LOST

    @property
    def needs_attention(self) -> bool:
        """Whether probes are due soon."""
        return self.state is not PathState.OPEN

    def record_failure(self, endpoint: str, now_s: float) -> None:
        """Record that a connection to an endpoint has failed or fallen silent."""
        if now_s >= self._due_s:
            self.request_check(endpoint, now_s)

    def request_check(self, endpoint: str, now_s: float) -> None:
        """Check the path because of one endpoint, unless a check is running."""
        if self.state is not PathState.OPEN:
            return
        self._suspect = endpoint
        if not self._list_others(now_s):
            # There is nothing to compare the failure with.
            self._open(now_s, now_s)
            return
        self.suspected_s = now_s
        self._enter(PathState.CHECKING, now_s)

    def take_probes(self, now_s: float) -> list[EndpointRecord]:
        """Return the endpoints to which connections are to be opened now."""
        if self.state is PathState.OPEN:
            return []
        if self._check is not None:
            if now_s - self._check.started_s < PROBE_LIFETIME_S:
                return []
            self._conclude(False, now_s)
        if self.is_lost and now_s < self._due_s:
            return []
        return self._start_check(now_s)

    def record_probe(self, endpoint: str, accepted: bool, now_s: float) -> None:
        """Record whether an endpoint has accepted a connection of a check."""
        check = self._check
        if check is None or endpoint not in check.pending:
            return
        check.pending.discard(endpoint)
        if accepted or not check.pending:
            self._conclude(accepted, now_s)

    def _start_check(self, now_s: float) -> list[EndpointRecord]:
        if self.is_lost:
            alive = self._list_alive(now_s)
            probes = self._rng.sample(alive, min(1, len(alive)))
        else:
            probes = self._choose_probes(self._list_others(now_s))
        self._check = _Check(now_s, {record.endpoint for record in probes})
        if not probes:
            self._conclude(False, now_s)
        return probes

    def _list_others(self, now_s: float) -> list[EndpointRecord]:
        alive = self._list_alive(now_s)
        return [each for each in alive if each.endpoint != self._suspect]

    def _choose_probes(self, others: list[EndpointRecord]) -> list[EndpointRecord]:
        """Return some endpoints, of as many services as possible."""
        self._rng.shuffle(others)
        counts: Counter[str] = Counter()
        ranks: dict[str, int] = {}
        for record in others:
            ranks[record.endpoint] = counts[record.service]
            counts[record.service] += 1
        others.sort(key=lambda record: ranks[record.endpoint])
        return others[:MAX_PROBES]

    def _conclude(self, accepted: bool, now_s: float) -> None:
        started_s, self._check = self._check.started_s, None
        if not accepted:
            self._successes = 0
            self._due_s = now_s + LOST_PROBE_INTERVAL_S
            if not self.is_lost:
                self._enter(PathState.LOST, now_s)
            return
        if self.is_lost:
            self._successes += 1
            if self._successes < PROBES_TO_RETURN:
                self._due_s = now_s + RETURN_PROBE_INTERVAL_S
                return
        self._open(started_s, now_s)

    def _open(self, confirmed_s: float, now_s: float) -> None:
        self.confirmed_s = confirmed_s
        self._successes = 0
        self._due_s = now_s + CHECK_PAUSE_S
        self._enter(PathState.OPEN, now_s)

    def _enter(self, state: PathState, now_s: float) -> None:
        if PathState.LOST in (self.state, state):
            self.lost_s = now_s
        self.state = state
        self.changed_s = now_s
