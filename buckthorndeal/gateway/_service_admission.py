"""What a host has observed of one service, for the admission of requests; no I/O."""

import math
from dataclasses import dataclass, field

from buckthorndeal.gateway._calibration import Calibration
from buckthorndeal.gateway._queue import WaitingQueue

# Time for which a request that found no room shows that others want it.
CONTENTION_S = 0.5
# Part of the served tokens that late requests may take from others, so that requests
# too large for their objective are not refused for ever.
LATE_TOKEN_SHARE = 0.08
MAX_LATE_CREDIT_TOKENS = 60_000.0
# Under contention, requests leave the time that one of this quantile of its route takes
# by itself, and so large requests find the same backlog as small ones.
LARGE_QUANTILE = 0.95
QUANTILE_STEP = 0.05
# Weight of a new observation of the time that an output token takes.
OUTPUT_AVERAGE_WEIGHT = 0.1


@dataclass(slots=True)
class ServiceAdmission:
    """What a host has observed of one service.

    Parameters
    ----------
    contended_s : dict of int to float
        When a request of each priority last found no room.
    fair_contended_s : float
        When a request of a workspace within its share last found no room.
    turn_s : float
        When an endpoint that limits its rate takes the next request of this host.
    near_miss_s : float
        When an endpoint with a free slot was last found to have too long a backlog.
    late_credit_tokens : float
        Tokens that late requests may take from others.
    large_own_s : dict of str to float
        Time that large requests take by themselves, by route.
    output_token_s : float
        Time that a token of the longest possible output takes; 0 if unknown.
    """

    queue: WaitingQueue = field(default_factory=WaitingQueue)
    calibration: Calibration = field(default_factory=Calibration)
    contended_s: dict[int, float] = field(default_factory=dict)
    fair_contended_s: float = -math.inf
    turn_s: float = -math.inf
    near_miss_s: float = -math.inf
    late_credit_tokens: float = MAX_LATE_CREDIT_TOKENS
    large_own_s: dict[str, float] = field(default_factory=dict)
    output_token_s: float = 0.0

    def is_contended(self, now_s: float) -> bool:
        """Return whether a request has found no room a moment ago."""
        last_s = max(self.contended_s.values(), default=-math.inf)
        return now_s - last_s < CONTENTION_S

    def record_own(self, route: str, own_s: float) -> None:
        """Record the time that a request takes by itself."""
        large_s = self.large_own_s.get(route, own_s)
        if own_s > large_s:
            large_s *= 1 + QUANTILE_STEP * LARGE_QUANTILE
        else:
            large_s *= 1 - QUANTILE_STEP * (1 - LARGE_QUANTILE)
        self.large_own_s[route] = large_s

    def has_more_urgent(self, priority: int, now_s: float) -> bool:
        """Return whether a request of a more urgent priority has found no room."""
        return any(
            each < priority and now_s - contended_s < CONTENTION_S
            for each, contended_s in self.contended_s.items()
        )

    def is_contended_within_shares(self, now_s: float) -> bool:
        """Return whether a workspace within its share has found no room."""
        return now_s - self.fair_contended_s < CONTENTION_S

    def record_output(self, token_s: float) -> None:
        """Record the time that a token of the longest possible output has taken."""
        if not self.output_token_s:
            self.output_token_s = token_s
        weight = OUTPUT_AVERAGE_WEIGHT
        self.output_token_s += weight * (token_s - self.output_token_s)

    def record_served(self, tokens: float) -> None:
        """Let late requests take a part of what others are served."""
        self.late_credit_tokens = min(
            MAX_LATE_CREDIT_TOKENS, self.late_credit_tokens + LATE_TOKEN_SHARE * tokens
        )

    def try_spend_late_credit(self, tokens: float) -> bool:
        """Return whether a late request may take tokens from others, and take them."""
        if self.late_credit_tokens < tokens:
            return False
        self.late_credit_tokens -= tokens
        return True
