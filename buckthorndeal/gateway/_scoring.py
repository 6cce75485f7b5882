"""Scoring of endpoints by latency and prefix cache locality; no I/O."""

from dataclasses import dataclass

from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._messages import (
    Call,
    MoveReason,
)
from buckthorndeal.subsetting import choose_owner

# Cost of one more copy of a shared prefix, per second of prefill of its tokens. The
# copy itself is fetched, but it takes memory from other prefixes.
COPY_WEIGHT = 0.5
# Owners of prefixes that are remembered, as finding one takes a hash for each endpoint.
MAX_OWNERS = 2_000


@dataclass(frozen=True, slots=True)
class LocalChoice:
    """An endpoint of this region with the predicted latency and cost of a request.

    Parameters
    ----------
    uncached_tokens : int
        Tokens of the prompt that the endpoint has to prefill.
    predicted_s : float
        Predicted time until the response starts.
    region_cost_s : float
        `predicted_s` plus the load penalty; compared between regions.
    endpoint_cost_s : float
        `region_cost_s` plus the cost of another copy of the shared prefix; compared
        between endpoints.
    cold : bool
        Whether the endpoint is cold and its request rate limited.
    cache_source : EndpointLoad or None
        Endpoint from which the missing part of the prefix can be fetched.
    """

    load: EndpointLoad
    uncached_tokens: int
    predicted_s: float
    region_cost_s: float
    endpoint_cost_s: float
    cold: bool
    cache_source: EndpointLoad | None = None


class PrefixOwners:
    """Endpoints that cache shared prefixes for all hosts, remembered by prefix."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._owners: dict[str, int] = {}

    def find(self, call: Call, candidates: list[EndpointLoad]) -> EndpointLoad | None:
        """Return the endpoint that caches the shared prefix of a prompt, if any."""
        if call.prompt is None or not candidates:
            return None
        key = call.prompt.shared_prefix_key
        if key is None:
            return None
        names = [load.name for load in candidates]
        if names != self._names or len(self._owners) >= MAX_OWNERS:
            self._names = names
            self._owners.clear()
        index = self._owners.get(key)
        if index is None:
            index = self._owners[key] = names.index(choose_owner(key, names))
        return candidates[index]


def score_endpoint(
    load: EndpointLoad,
    call: Call,
    prefix_owner: EndpointLoad | None,
    cold: bool,
    now_s: float,
) -> LocalChoice:
    """Return the predicted latency and cost of a request at an endpoint.

    Parameters
    ----------
    load : EndpointLoad
        The endpoint.
    call : Call
        The request.
    prefix_owner : EndpointLoad or None
        Endpoint that caches the shared prefix of the prompt for all hosts.
    cold : bool
        Whether the endpoint is cold and its request rate limited.
    now_s : float
        Clock reading.
    """
    if call.prompt is None:
        predicted_s = load.predict_first_response_s(call, 0, now_s)
        # Free slots are used evenly: the requests of other hosts come on top of those
        # known here.
        endpoint_cost_s = predicted_s * (1 + load.compute_utilization(now_s))
        endpoint_cost_s += load.compute_failure_cost_s(now_s)
        return LocalChoice(load, 0, predicted_s, predicted_s, endpoint_cost_s, cold)
    if prefix_owner is not None and not _may_copy(prefix_owner, load):
        prefix_owner = None
    cached_tokens = load.cache.count_cached(call.prompt)
    shared_tokens = call.prompt.shared_prefix_tokens
    # The owner of the shared prefix caches it for all hosts, even if this host has not
    # sent it there; other endpoints fetch it from the owner.
    known_tokens = cached_tokens
    if prefix_owner is not None and shared_tokens > cached_tokens:
        known_tokens = shared_tokens
    uncached = call.prompt.tokens - known_tokens
    predicted_s = load.predict_first_response_s(call, uncached, now_s)
    region_cost_s = (
        predicted_s
        + load.compute_load_penalty_s(now_s)
        + load.compute_failure_cost_s(now_s)
    )
    if load is prefix_owner:
        return LocalChoice(
            load, uncached, predicted_s, region_cost_s, region_cost_s, cold
        )
    missing_tokens = max(0, shared_tokens - cached_tokens)
    # Besides the time of this request, one more copy evicts other prefixes, which
    # have to be fetched or computed again.
    endpoint_cost_s = region_cost_s
    if missing_tokens:
        endpoint_cost_s += COPY_WEIGHT * missing_tokens * load.get_token_s(now_s)
    return LocalChoice(
        load, uncached, predicted_s, region_cost_s, endpoint_cost_s, cold, prefix_owner
    )


def _may_copy(source: EndpointLoad, target: EndpointLoad) -> bool:
    """Return whether cached texts may be copied: not between software versions."""
    return source.entry.record.version == target.entry.record.version


@dataclass(frozen=True, slots=True)
class RemoteChoice:
    """Another entry host, with the predicted latency through it; see `Forward`."""

    region: str
    host: str
    predicted_s: float
    is_relay: bool = False
    reason: MoveReason | None = None
