"""Learned limit on the load of an endpoint; no I/O.

Answers endpoints whose responses get late before their slots are full.
"""

import math

# Shares of an engine's slots and memory that running requests may use. A full engine
# evicts cached prompts of earlier requests and delays every token, and its load
# reports always lag behind.
MAX_SLOT_UTILIZATION = 0.8
MAX_MEMORY_UTILIZATION = 0.65
# A late response lowers the limit to this share of the load that it met.
DECREASE = 0.9
# Several responses that are late together tell of one event only.
DECREASE_INTERVAL_S = 0.5
# Share of the largest value by which the limit rises after a response in good time.
INCREASE_SHARE = 1 / 32
# Only responses at a load above this share of the limit tell that more is possible.
PROBE_SHARE = 0.6
# Time in which a limit rises from nothing to its largest value without any late
# response, so that a limit never stays low because nothing tests it.
RECOVERY_S = 30.0


# Shares of the latency objective: a response that takes longer is late, one that takes
# less than the second is in good time, and a request that would take longer at an idle
# endpoint says nothing about its load.
LATE_SHARE = 0.9
TIMELY_SHARE = 0.5
ALONE_SHARE = 0.5
# Bounds of the limits: shares of the slots, and tokens queued for prefill.
MIN_SLOT_SHARE = 0.25
MIN_QUEUED_TOKENS = 4_000.0
MAX_QUEUED_TOKENS = 200_000.0


class LoadLimit:
    """Limit that falls with late responses and rises with those in good time.

    Parameters
    ----------
    min_value, max_value : float
        Bounds of the limit, which starts at the upper one.
    """

    def __init__(self, min_value: float, max_value: float) -> None:
        self.min_value = min_value
        self.max_value = max_value
        self._value = max_value
        self._changed_s = 0.0
        self._decreased_s = -math.inf

    def get_value(self, now_s: float) -> float:
        """Return the limit."""
        if self._value >= self.max_value:
            return self.max_value
        recovered = self.max_value * (now_s - self._changed_s) / RECOVERY_S
        return min(self.max_value, self._value + max(0.0, recovered))

    def record_late(self, load: float, now_s: float) -> None:
        """Record a late response of a request that was sent at some load."""
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        value = min(self.get_value(now_s), max(load, self.min_value)) * DECREASE
        self._value = max(self.min_value, value)
        self._changed_s = self._decreased_s = now_s

    def record_timely(self, load: float, now_s: float) -> None:
        """Record a response in good time of a request that was sent at some load."""
        value = self.get_value(now_s)
        if value >= self.max_value or load < PROBE_SHARE * value:
            return
        self._value = min(self.max_value, value + self.max_value * INCREASE_SHARE)
        self._changed_s = now_s


class EndpointLimits:
    """Limits on the requests and on the queued tokens of one endpoint.

    Parameters
    ----------
    slots : int
        Slots of the endpoint.
    is_engine : bool
        Whether requests have prompts.
    """

    def __init__(self, slots: int, is_engine: bool) -> None:
        largest = get_slot_limit(slots, is_engine)
        self.requests = LoadLimit(max(1.0, slots * MIN_SLOT_SHARE), largest)
        self.queued_tokens = LoadLimit(MIN_QUEUED_TOKENS, MAX_QUEUED_TOKENS)

    def record(
        self,
        inflight: float,
        queued_tokens: float,
        latency_s: float,
        alone_s: float,
        objective_s: float,
        now_s: float,
    ) -> None:
        """Apply the time until a response has started.

        Parameters
        ----------
        inflight, queued_tokens : float
            Other requests, and tokens queued before it, when it was sent.
        latency_s : float
            Time until it has started, without a momentary slowdown.
        alone_s : float
            Predicted time at the endpoint if it were idle.
        objective_s : float
            Latency objective of the request.
        now_s : float
            Clock reading.
        """
        if latency_s <= TIMELY_SHARE * objective_s:
            self.requests.record_timely(inflight, now_s)
            self.queued_tokens.record_timely(queued_tokens, now_s)
        elif latency_s > LATE_SHARE * objective_s:
            if alone_s > ALONE_SHARE * objective_s:
                return
            # Only what was used more is the cause.
            request_share = inflight / self.requests.get_value(now_s)
            token_share = queued_tokens / self.queued_tokens.get_value(now_s)
            if request_share >= token_share:
                self.requests.record_late(inflight, now_s)
            else:
                self.queued_tokens.record_late(queued_tokens, now_s)


def get_slot_limit(slots: int, is_engine: bool) -> float:
    """Return the largest number of requests at an endpoint, whatever it has learned."""
    return slots * MAX_SLOT_UTILIZATION if is_engine else slots + max(1, slots // 3)
