"""What the caller of a request gets from an endpoint, as predicted; no I/O."""

from dataclasses import dataclass

from buckthorndeal.configuration import RequestKind
from buckthorndeal.gateway._loads import EndpointLoad
from buckthorndeal.gateway._messages import Call
from buckthorndeal.gateway._scoring import LocalChoice


@dataclass(frozen=True, slots=True)
class Outlook:
    """What the caller of a request gets from an endpoint.

    Parameters
    ----------
    first_s, total_s : float
        Predicted time until the response starts and until it ends, corrected by what
        was observed.
    own_s : float
        Predicted time until the response starts without a backlog, not corrected.
    budget_s : float
        Largest `first_s` that is within the latency objective.
    left_s : float
        Time that is left until the deadline of the caller.
    """

    first_s: float
    total_s: float
    own_s: float
    budget_s: float
    left_s: float

    @property
    def is_in_time(self) -> bool:
        """Whether the response starts within the objective and ends by the deadline."""
        return self.first_s <= self.budget_s and self.is_useful

    @property
    def is_useful(self) -> bool:
        """Whether the response ends before the deadline."""
        return self.total_s <= self.left_s


def predict_own_s(call: Call, choice: LocalChoice, now_s: float) -> float:
    """Return the time until a response starts at the endpoint without a backlog."""
    if call.prompt is None:
        return choice.predicted_s
    load, tokens = choice.load, choice.uncached_tokens
    if load.pace.is_active:
        own_s = load.pace.predict_first_s(tokens, 0, now_s)
    else:
        own_s = load.prefill_speed.predict(tokens)
    return min(own_s, choice.predicted_s)


def predict_total_s(
    call: Call, load: EndpointLoad, first_s: float, output_token_s: float, now_s: float
) -> float:
    """Return the predicted time until a response ends, in seconds.

    The longest possible output says little of the actual one, so the time of a token
    is learned from complete responses: by endpoint where its pace is learned.

    Parameters
    ----------
    first_s : float
        Predicted time until it starts.
    output_token_s : float
        Time that a token of the longest possible output takes; 0 if unknown.
    """
    if call.prompt is None:
        return first_s
    if load.pace.is_active and call.route.kind is RequestKind.STREAM:
        return first_s + load.predict_output_s(call, now_s)
    return first_s + call.prompt.max_output_tokens * output_token_s
