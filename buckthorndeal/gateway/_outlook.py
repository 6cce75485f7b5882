"""What the caller of a request gets from an endpoint, as predicted; no I/O."""

from dataclasses import dataclass

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


def predict_own_s(call: Call, choice: LocalChoice) -> float:
    """Return the time until a response starts at the endpoint without a backlog."""
    if call.prompt is None:
        return choice.predicted_s
    own_s = choice.load.prefill_speed.predict(choice.uncached_tokens)
    return min(own_s, choice.predicted_s)


def predict_total_s(call: Call, first_s: float, output_token_s: float) -> float:
    """Return the predicted time until a response ends, in seconds.

    The longest possible output says little of the actual one, so the time of a token
    is learned from complete responses.

    Parameters
    ----------
    first_s : float
        Predicted time until it starts.
    output_token_s : float
        Time that a token of the longest possible output takes; 0 if unknown.
    """
    if call.prompt is None:
        return first_s
    return first_s + call.prompt.max_output_tokens * output_token_s
