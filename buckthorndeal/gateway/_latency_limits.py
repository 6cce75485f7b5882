"""How long requests may wait, and which answers are worth starting; no I/O."""

from buckthorndeal.gateway._messages import Call

# Parts of the latency objective that a request waits at most: for room at an
# endpoint, and on a host that has just started.
MAX_WAIT_SHARE = 0.25
STARTUP_MAX_WAIT_SHARE = 0.6
# Part of the objective that time already spent takes off at most.
MAX_ELAPSED_SHARE = 0.5


def compute_latency_budget_s(call: Call, now_s: float) -> float:
    """Return the longest predicted time to an answer that is worth starting.

    An answer after the objective takes the place of one within it, so a backlog is
    kept below the objective and the rest is refused at once.
    """
    objective_s = call.route.latency_objective_s
    allowed_s = min(objective_s, call.deadline_s - call.arrived_s)
    return allowed_s - min(now_s - call.arrived_s, objective_s * MAX_ELAPSED_SHARE)


def compute_max_wait_s(call: Call, starting: bool) -> float:
    """Return how long a request waits for room or for the first endpoint.

    Parameters
    ----------
    call : Call
        The request.
    starting : bool
        Whether this host has just started and hears of endpoints for the first time.
    """
    share = STARTUP_MAX_WAIT_SHARE if starting else MAX_WAIT_SHARE
    return call.route.latency_objective_s * share
