"""Score of an endpoint or a region for one request, in weighted seconds."""

from dataclasses import dataclass

from buckthorndeal.policy.estimates import Estimate
from buckthorndeal.policy.views import EndpointView, RegionView, RouteRequest
from buckthorndeal.sections import Weights

__all__ = ["Score", "ScoreSettings", "estimate_load", "score_region", "score_view"]

# A wait counts in full at the document's default weight of 0.5.
NEUTRAL_WEIGHT = 0.5
MIN_RAMP = 0.1
# The report's part in the load estimate. Lower values do as well with callers
# spread evenly over the hosts, but are blind to what other hosts send.
REPORT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ScoreSettings:
    """Constants of the score.

    Parameters
    ----------
    slow_start_s : float
        Time over which a new endpoint's usable slots rise to all of them.
    fill_cost : float
        Share of the service time that a full batch adds to a request; spreads
        load over endpoints that have free slots.
    """

    slow_start_s: float = 20.0
    fill_cost: float = 0.2


@dataclass(slots=True)
class Score:
    """Score of one candidate; a lower value is better.

    Parameters
    ----------
    value : float
        Weighted seconds.
    wait_s : float
        Expected wait for a slot.
    first_s : float
        Expected time to the first token.
    finish_s : float
        Expected time to the end of the answer.
    """

    value: float
    wait_s: float
    first_s: float
    finish_s: float


def estimate_load(view: EndpointView, peers: int = 0) -> float:
    """Return the requests at an endpoint now, from a report that lags.

    The report is corrected by this host's own requests since then; own requests
    still in flight are a lower bound whatever it says. With other hosts the
    result is the mean of this and of the own requests in flight times the number
    of hosts: the first misses what the others have sent and what has ended since
    the report, the second is up to date but assumes that all hosts send alike.

    Parameters
    ----------
    view : EndpointView
        The endpoint.
    peers : int, optional
        Other hosts that send to the same endpoints.
    """
    own = view.own_inflight
    reported = view.running + view.queued + view.own_since_report
    if peers:
        reported = REPORT_SHARE * reported + (1 - REPORT_SHARE) * own * (peers + 1)
    return max(own, reported)


def score_view(
    view: EndpointView,
    request: RouteRequest,
    estimate: Estimate,
    weights: Weights,
    cached_tokens: float,
    settings: ScoreSettings,
    peers: int,
    now_s: float,
) -> Score:
    """Score one endpoint for a request."""
    load = estimate_load(view, peers)
    service_s = estimate.service_s
    wait_s = _compute_wait(load, view.slots, service_s)
    # Slow start only steers the choice. In the expected wait it would refuse
    # requests, and lend them to other regions, while slots are free.
    slots = view.slots * _get_ramp(view, settings, now_s)
    steered_s = _compute_wait(load, slots, service_s)
    uncached = max(0.0, request.prompt_tokens - cached_tokens)
    prefill_s = uncached / estimate.prefill_tokens_per_s
    fill_s = settings.fill_cost * service_s * min(1.0, load / slots)
    value = _weigh(steered_s + fill_s, prefill_s, weights)
    return Score(value, wait_s, wait_s + prefill_s, wait_s + service_s)


def _compute_wait(load: float, slots: float, service_s: float) -> float:
    return max(0.0, load + 1 - max(slots, 1.0)) * service_s / slots


def score_region(
    region: RegionView, request: RouteRequest, estimate: Estimate, weights: Weights
) -> Score:
    """Score another region: two link delays, its wait, and a cold cache."""
    wait_s = region.wait_s + 2 * region.link_delay_s
    prefill_s = request.prompt_tokens / estimate.prefill_tokens_per_s
    value = _weigh(wait_s, prefill_s, weights)
    return Score(value, wait_s, wait_s + prefill_s, wait_s + estimate.service_s)


def _weigh(wait_s: float, prefill_s: float, weights: Weights) -> float:
    """Return weighted seconds.

    An uncached prompt holds a slot and delays the first token, so both weights
    count it. The ratio of a prefilled to a waited second is 3 with the whole weight
    on cost, 1.5 with even weights and 1 with the whole weight on tail latency.
    """
    wait_factor = NEUTRAL_WEIGHT + weights.tail_latency
    prefill_factor = 1.0 + (weights.cost + weights.tail_latency) / 2
    return wait_s * wait_factor + prefill_s * prefill_factor


def _get_ramp(view: EndpointView, settings: ScoreSettings, now_s: float) -> float:
    """Return the usable share of a cold endpoint's slots."""
    age_s = now_s - view.ready_since_s
    if age_s >= settings.slow_start_s:
        return 1.0
    return max(MIN_RAMP, age_s / settings.slow_start_s)
