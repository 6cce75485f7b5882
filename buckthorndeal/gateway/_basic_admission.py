"""Admission by the latency objective alone; no I/O.

Applies to services whose endpoints report no slowdown, for callers without a workspace.
"""

from buckthorndeal.gateway._latency_limits import (
    compute_latency_budget_s,
    compute_max_wait_s,
)
from buckthorndeal.gateway._messages import Call
from buckthorndeal.gateway._queue import WaitingQueue, WaitingRequest
from buckthorndeal.gateway._scoring import LocalChoice


def may_serve(call: Call, choice: LocalChoice, now_s: float) -> bool:
    """Return whether a request may be sent to the chosen endpoint now."""
    if choice.predicted_s <= compute_latency_budget_s(call, now_s):
        return True
    return is_trial(call, choice, now_s)


def is_trial(call: Call, choice: LocalChoice, now_s: float) -> bool:
    """Return whether a request tries an idle endpoint, however slow it seems.

    Only a response can tell that it is not slow any more. The prefill speed of an
    engine without a learned pace does not depend on the load, so it is not tried.
    """
    is_learned = call.prompt is None or choice.load.pace.is_active
    return is_learned and choice.load.is_idle(now_s)


def may_begin_wait(
    waiting: WaitingRequest, queue: WaitingQueue, is_starting: bool, now_s: float
) -> bool:
    """Return whether a request that found no room may wait for some."""
    wait_s = now_s - waiting.call.arrived_s
    ahead = queue.count_ahead(waiting, now_s)
    if ahead and not is_starting:
        wait_s += queue.predict_wait_s(ahead - 1, now_s)
    return wait_s < compute_max_wait_s(waiting.call, is_starting)


def may_keep_waiting(waiting: WaitingRequest, is_starting: bool, now_s: float) -> bool:
    """Return whether a waiting request waits on."""
    waited_s = now_s - waiting.queued_at_s
    return waited_s < compute_max_wait_s(waiting.call, is_starting)
