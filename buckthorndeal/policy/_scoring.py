"""Scores of endpoints and regions for one request, in weighted seconds."""

from dataclasses import dataclass

from buckthorndeal.policy.estimates import Estimate
from buckthorndeal.policy.views import EndpointView, RegionView, RouteRequest
from buckthorndeal.sections import Weights

__all__ = ["Score", "ScoreSettings", "estimate_load", "score_endpoint", "score_region"]

# Makes the factor of the waiting time 1 at the default tail latency weight of 0.5.
NEUTRAL_WEIGHT = 0.5
MIN_SLOW_START_SHARE = 0.1
# Weight of the load report in the load estimate. Lower values work equally well
# while callers are spread evenly over the hosts, but miss what other hosts send.
REPORT_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class ScoreSettings:
    """Constants of the score.

    Parameters
    ----------
    slow_start_s : float
        Seconds over which the usable share of a new endpoint's slots rises to 1.
    full_batch_cost : float
        Share of the service time that a full batch adds to a request; spreads
        load over endpoints that have free slots.
    """

    slow_start_s: float = 20.0
    full_batch_cost: float = 0.2


@dataclass(slots=True)
class Score:
    """Score of one candidate; a lower value is better.

    Parameters
    ----------
    value : float
        Score in weighted seconds.
    wait_s : float
        Expected wait for a slot in seconds.
    first_s : float
        Expected time to the first token in seconds.
    finish_s : float
        Expected time to the end of the response in seconds.
    """

    value: float
    wait_s: float
    first_s: float
    finish_s: float


def estimate_load(endpoint: EndpointView, peer_count: int = 0) -> float:
    """Estimate the current number of requests at an endpoint.

    The last load report is corrected by the requests that this host has sent and
    seen end since then. The corrected report misses the requests of other hosts
    that were sent or have ended since then. With other hosts, it is therefore
    averaged with this host's requests in flight times the number of hosts, which
    is current but assumes that all hosts send the same load. This host's requests
    in flight are always a lower bound.

    Parameters
    ----------
    endpoint : EndpointView
        The endpoint.
    peer_count : int, optional
        Number of other hosts that send to the same endpoints.

    Returns
    -------
    float
        Running and queued requests.
    """
    own_requests = endpoint.own_inflight
    reported = endpoint.running + endpoint.queued + endpoint.own_since_report
    if peer_count:
        reported = REPORT_WEIGHT * reported + (1 - REPORT_WEIGHT) * own_requests * (
            peer_count + 1
        )
    return max(own_requests, reported)


def score_endpoint(
    endpoint: EndpointView,
    request: RouteRequest,
    estimate: Estimate,
    weights: Weights,
    cached_tokens: float,
    settings: ScoreSettings,
    peer_count: int,
    now_s: float,
) -> Score:
    """Score one endpoint for a request.

    Parameters
    ----------
    endpoint : EndpointView
        The endpoint.
    request : RouteRequest
        The request.
    estimate : Estimate
        Expected speed of the endpoint.
    weights : Weights
        The service's weights from the document.
    cached_tokens : float
        Expected number of the prompt's tokens in the endpoint's prefix cache.
    settings : ScoreSettings
        Constants of the score.
    peer_count : int
        Number of other hosts that send to the same endpoints.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Score
        The score.
    """
    load = estimate_load(endpoint, peer_count)
    service_s = estimate.service_s
    wait_s = _compute_wait(load, endpoint.slots, service_s)
    # Slow start changes only the score. In the expected wait it would make the
    # router refuse requests, or send them to other regions, while slots are free.
    usable_slots = endpoint.slots * _get_slow_start_share(endpoint, settings, now_s)
    slow_start_wait_s = _compute_wait(load, usable_slots, service_s)
    uncached_tokens = max(0.0, request.prompt_tokens - cached_tokens)
    prefill_s = uncached_tokens / estimate.prefill_tokens_per_s
    batching_s = settings.full_batch_cost * service_s * min(1.0, load / usable_slots)
    value = _compute_value(slow_start_wait_s + batching_s, prefill_s, weights)
    return Score(value, wait_s, wait_s + prefill_s, wait_s + service_s)


def _compute_wait(load: float, slots: float, service_s: float) -> float:
    return max(0.0, load + 1 - max(slots, 1.0)) * service_s / slots


def score_region(
    region: RegionView, request: RouteRequest, estimate: Estimate, weights: Weights
) -> Score:
    """Score another region for a request.

    The score consists of the region's wait, a round trip on the link and the prefill
    of the whole prompt, as the region's caches are assumed to be cold.

    Parameters
    ----------
    region : RegionView
        The region.
    request : RouteRequest
        The request.
    estimate : Estimate
        Expected speed of the service's endpoints.
    weights : Weights
        The service's weights from the document.

    Returns
    -------
    Score
        The score.
    """
    wait_s = region.wait_s + 2 * region.link_delay_s
    prefill_s = request.prompt_tokens / estimate.prefill_tokens_per_s
    value = _compute_value(wait_s, prefill_s, weights)
    return Score(value, wait_s, wait_s + prefill_s, wait_s + estimate.service_s)


def _compute_value(wait_s: float, prefill_s: float, weights: Weights) -> float:
    """Combine waiting and prefill time into weighted seconds.

    Prefill of an uncached prompt occupies a slot and delays the first token, so
    both weights increase its factor. One second of prefill counts as much as 3
    seconds of waiting with the whole weight on cost, 1.5 with even weights and 1
    with the whole weight on tail latency.
    """
    wait_factor = NEUTRAL_WEIGHT + weights.tail_latency
    prefill_factor = 1.0 + (weights.cost + weights.tail_latency) / 2
    return wait_s * wait_factor + prefill_s * prefill_factor


def _get_slow_start_share(
    endpoint: EndpointView, settings: ScoreSettings, now_s: float
) -> float:
    """Return the share of an endpoint's slots that slow start allows to use."""
    age_s = now_s - endpoint.ready_since_s
    if age_s >= settings.slow_start_s:
        return 1.0
    return max(MIN_SLOW_START_SHARE, age_s / settings.slow_start_s)
