"""Refusals, and when the refused callers may return; no I/O."""

import math
import random

from buckthorndeal.gateway._crash_guard import Objection
from buckthorndeal.gateway._endpoint_condition import EndpointCondition, NextTurn
from buckthorndeal.gateway._messages import (
    Call,
    Refusal,
    RefusalReason,
)
from buckthorndeal.gateway._scoring import LocalChoice
from buckthorndeal.quarantine import is_request_key

# Seconds after which callers may retry, before jitter.
MIN_RETRY_AFTER_S = 0.2
NO_ENDPOINT_RETRY_S = 1.0
QUARANTINE_RETRY_S = 10.0
# Callers that return later may reach a host that has a share in the limit.
MAX_RATE_RETRY_S = 2.0
SPREAD = (0.75, 1.5)
OVERLOAD_SPREAD = 1.5
# Share of the time left to their deadline after which callers still return.
RETURN_SHARE = 0.3


class RefusalPolicy:
    """Creates refusals with a time to return that is spread over the callers.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def refuse_overload(
        self,
        call: Call,
        candidates: int,
        best: LocalChoice | None,
        drain_s: float = 0.0,
        left_s: float = math.inf,
    ) -> Refusal:
        """Return a refusal because of overload.

        Parameters
        ----------
        call : Call
            The request.
        candidates : int
            Number of endpoints that were considered.
        best : LocalChoice or None
            Best of them with capacity.
        drain_s : float
            Predicted time until the requests that wait at this host are served.
        left_s : float
            Time that is left until the deadline of the caller.
        """
        objective_s = call.route.latency_objective_s
        wait_s = best.predicted_s if best else objective_s
        wait_s = max(MIN_RETRY_AFTER_S, wait_s - objective_s / 2, drain_s)
        # Callers do not return later than this, and then get nothing.
        latest_s = max(wait_s, RETURN_SHARE * left_s)
        spread_s = min(latest_s, wait_s * OVERLOAD_SPREAD)
        retry_s = max(0.75 * wait_s, self._rng.uniform(0.75 * wait_s, spread_s))
        predicted_s = best.predicted_s if best else None
        return Refusal(RefusalReason.OVERLOADED, retry_s, candidates, predicted_s)

    def refuse_until_turn(self, turn: NextTurn) -> Refusal:
        """Return a refusal until an endpoint takes requests of this host again.

        Callers return after that moment, not before it, and not all at once.
        """
        if turn.condition is EndpointCondition.RATE_LIMITED:
            wait_s = min(turn.wait_s, MAX_RATE_RETRY_S)
            reason = RefusalReason.RATE_LIMITED
        else:
            wait_s = turn.wait_s
            reason = RefusalReason.ENDPOINTS_PAUSED
        retry_s = max(MIN_RETRY_AFTER_S, wait_s) * self._rng.uniform(1.0, 1.5)
        return Refusal(reason, retry_s)

    def refuse_quota(self, wait_s: float) -> Refusal:
        """Return a refusal until the quota of the workspace leaves room again."""
        retry_s = max(MIN_RETRY_AFTER_S, wait_s) * self._rng.uniform(1.0, 1.5)
        return Refusal(RefusalReason.QUOTA_EXCEEDED, retry_s)

    def refuse_crashing(self, objection: Objection) -> Refusal:
        """Return a refusal of a request that may crash endpoints.

        A caller with a deadline before the next trial need not return at all.
        """
        if not objection.is_quarantined:
            retry_s = self._jitter(NO_ENDPOINT_RETRY_S)
            return Refusal(RefusalReason.REQUEST_SUSPECT, retry_s, key=objection.key)
        retry_s = self._jitter(max(QUARANTINE_RETRY_S, objection.wait_s))
        reason = RefusalReason.PROMPT_QUARANTINED
        if is_request_key(objection.key):
            reason = RefusalReason.REQUEST_QUARANTINED
        return Refusal(reason, retry_s, key=objection.key)

    def refuse(self, reason: RefusalReason) -> Refusal:
        """Return a refusal for a reason that says nothing of its duration."""
        return Refusal(reason, self._jitter(NO_ENDPOINT_RETRY_S))

    def _jitter(self, seconds: float) -> float:
        """Randomize a delay, so that callers refused together do not retry together."""
        return seconds * self._rng.uniform(*SPREAD)
