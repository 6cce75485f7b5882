"""Limits of the waiting time and predicted latency of requests; no I/O."""

from buckthorndeal.gateway._messages import (
    Call,
)

# Largest shares of the latency objective that a request waits for free capacity: in
# general, and on a host that has just started.
MAX_WAIT_SHARE = 0.25
STARTUP_MAX_WAIT_SHARE = 0.6
# The same for an endpoint that limits its rate.
MAX_TURN_WAIT_SHARE = 0.25
# Largest share of the objective that elapsed time takes off the budget.
MAX_ELAPSED_SHARE = 0.5


def compute_latency_budget_s(call: Call, now_s: float) -> float:
    """Return the largest predicted latency, in seconds, at which a request is sent.

    A response later than the objective would take capacity from one within it, so the
    backlog is kept below the objective and other requests are refused at once.
    """
    objective_s = call.route.latency_objective_s
    allowed_s = min(objective_s, call.deadline_s - call.arrived_s)
    return allowed_s - min(now_s - call.arrived_s, objective_s * MAX_ELAPSED_SHARE)


def compute_max_wait_s(call: Call, starting: bool) -> float:
    """Return how long a request waits for capacity or for the first endpoint.

    Parameters
    ----------
    call : Call
        The request.
    starting : bool
        Whether this host has just started and still waits for first heartbeats.
    """
    share = STARTUP_MAX_WAIT_SHARE if starting else MAX_WAIT_SHARE
    return call.route.latency_objective_s * share


def compute_max_turn_wait_s(call: Call) -> float:
    """Return how long a request waits for the turn of an endpoint that limits its rate.

    The moment is known, so that a longer wait would be longer than any refusal.
    """
    return call.route.latency_objective_s * MAX_TURN_WAIT_SHARE
