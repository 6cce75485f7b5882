"""Choices of a place for a request, and where shared texts are kept; no I/O."""

from dataclasses import dataclass

from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._messages import Call
from buckthorndeal.subsetting import choose_registrars

# Later time that a second copy of a shared text costs, for each second that reading
# it takes. The copy itself is fetched, but it takes memory from other texts.
COPY_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class LocalChoice:
    """An endpoint of this region, and what sending a request there takes.

    Parameters
    ----------
    unread_tokens : int
        Tokens of the prompt that the endpoint has to read.
    predicted_s : float
        Time until the answer begins.
    effort_s : float
        The same with what running requests cost, to compare regions by.
    cost_s : float
        The same with what a copy of a text costs others, to compare endpoints by.
    source : EndpointLoad or None
        Endpoint from which it can copy what it does not keep.
    """

    load: EndpointLoad
    unread_tokens: int
    predicted_s: float
    effort_s: float
    cost_s: float
    cold: bool
    source: EndpointLoad | None = None


def find_keeper(call: Call, candidates: list[EndpointLoad]) -> EndpointLoad | None:
    """Return the endpoint that keeps the shared text of a prompt, for all hosts."""
    if call.prompt is None or call.prompt.shared_key is None or not candidates:
        return None
    names = {load.name: load.name for load in candidates}
    chosen = choose_registrars(call.prompt.shared_key, names)[0]
    return next(load for load in candidates if load.name == chosen)


def count_unread(load: EndpointLoad, call: Call, keeper: EndpointLoad | None) -> int:
    """Return the tokens of a prompt that an endpoint has to read.

    The keeper of the shared text has it for all hosts, although this host may not
    have sent it there; others copy it from the keeper.
    """
    if call.prompt is None:
        return 0
    cached = load.cache.count_cached(call.prompt)
    if keeper is not None:
        cached = max(cached, call.prompt.shared_tokens)
    return call.prompt.tokens - cached


def compute_copy_cost_s(load: EndpointLoad, call: Call) -> float:
    """Return what one more copy of a shared text costs others.

    It takes memory from other texts, which have to be copied or read again, besides
    the time of this request.
    """
    if call.prompt is None:
        return 0.0
    missing = call.prompt.shared_tokens - load.cache.count_cached(call.prompt)
    return COPY_WEIGHT * max(0, missing) / load.speed.tokens_per_s


@dataclass(frozen=True, slots=True)
class RemoteChoice:
    """An entry host of another region."""

    region: str
    host: str
    predicted_s: float
