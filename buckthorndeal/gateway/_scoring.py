"""Choices of a place for a request, and where shared texts are kept; no I/O."""

from dataclasses import dataclass

from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._messages import Call, Prompt
from buckthorndeal.subsetting import choose_keeper

# Later time that a second copy of a shared text costs, for each second that reading
# it takes. The copy itself is fetched, but it takes memory from other texts.
COPY_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class LocalChoice:
    """An endpoint of this region, and what sending a request there takes.

    Parameters
    ----------
    uncached_tokens : int
        Tokens of the prompt that the endpoint has to read.
    predicted_s : float
        Time until the answer begins.
    region_cost_s : float
        The same with what running requests cost, to compare regions by.
    endpoint_cost_s : float
        The same with what a copy of a text costs others, to compare endpoints by.
    source : EndpointLoad or None
        Endpoint from which it can copy what it does not keep.
    """

    load: EndpointLoad
    uncached_tokens: int
    predicted_s: float
    region_cost_s: float
    endpoint_cost_s: float
    cold: bool
    cache_source: EndpointLoad | None = None


def find_prefix_owner(
    call: Call, candidates: list[EndpointLoad]
) -> EndpointLoad | None:
    """Return the endpoint that keeps the shared text of a prompt, for all hosts."""
    if call.prompt is None or call.prompt.shared_prefix_key is None or not candidates:
        return None
    loads = {load.name: load for load in candidates}
    return loads[choose_keeper(call.prompt.shared_prefix_key, loads)]


def score_endpoint(
    load: EndpointLoad,
    call: Call,
    prefix_owner: EndpointLoad | None,
    cold: bool,
    now_s: float,
) -> LocalChoice:
    """Return what sending a request to an endpoint takes.

    Parameters
    ----------
    load : EndpointLoad
        The endpoint.
    call : Call
        The request.
    keeper : EndpointLoad or None
        Keeper of the shared text of its prompt.
    cold : bool
        Whether the endpoint bears few requests now.
    now_s : float
        Clock reading.
    """
    if call.prompt is None:
        predicted_s = load.predict_first_response_s(call, 0, now_s)
        return LocalChoice(load, 0, predicted_s, predicted_s, predicted_s, cold)
    cached_tokens = load.cache.count_cached(call.prompt)
    uncached = _count_uncached(call.prompt, cached_tokens, prefix_owner)
    predicted_s = load.predict_first_response_s(call, uncached, now_s)
    region_cost_s = predicted_s + load.compute_load_penalty_s(now_s)
    if load is prefix_owner:
        return LocalChoice(
            load, uncached, predicted_s, region_cost_s, region_cost_s, cold
        )
    missing_tokens = max(0, call.prompt.shared_prefix_tokens - cached_tokens)
    # One more copy takes memory from other texts, which have to be copied or read
    # again, besides the time of this request.
    endpoint_cost_s = (
        region_cost_s + COPY_WEIGHT * missing_tokens / load.prefill_speed.tokens_per_s
    )
    return LocalChoice(
        load, uncached, predicted_s, region_cost_s, endpoint_cost_s, cold, prefix_owner
    )


def _count_uncached(
    prompt: Prompt, cached_tokens: int, prefix_owner: EndpointLoad | None
) -> int:
    """Return the tokens of a prompt that an endpoint has to read.

    The keeper of the shared text has it for all hosts, although this host may not
    have sent it there; others copy it from the keeper.
    """
    if prefix_owner is not None:
        cached_tokens = max(cached_tokens, prompt.shared_prefix_tokens)
    return prompt.tokens - cached_tokens


@dataclass(frozen=True, slots=True)
class RemoteChoice:
    """An entry host of another region."""

    region: str
    host: str
    predicted_s: float
