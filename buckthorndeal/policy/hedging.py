"""Hedging: when to start a second attempt of an idempotent call."""

from buckthorndeal.policy._quantiles import QuantileTracker
from buckthorndeal.policy.budget import RetryBudget
from buckthorndeal.policy.views import AttemptOutcome, AttemptResult, RouteRequest
from buckthorndeal.sections import HedgePolicy, Weights

__all__ = ["Hedger", "create_hedger"]

# Hedging only the requests slower than this quantile limits the extra attempts to
# about 5%.
HEDGE_QUANTILE = 0.95


class Hedger:
    """Decides when to start second attempts, within the retry budget.

    Parameters
    ----------
    budget : RetryBudget
        Budget shared with the retries.
    """

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget
        self._trackers: dict[str, QuantileTracker] = {}

    def observe(self, result: AttemptResult) -> None:
        """Update the service's time to the first byte with a successful attempt."""
        if result.outcome is not AttemptOutcome.SUCCEEDED:
            return
        first_byte_s = result.first_token_s
        first_byte_s = result.total_s if first_byte_s is None else first_byte_s
        tracker = self._trackers.get(result.service)
        if tracker is None:
            tracker = QuantileTracker(first_byte_s, HEDGE_QUANTILE)
            self._trackers[result.service] = tracker
        tracker.observe(first_byte_s)

    def get_delay(
        self,
        request: RouteRequest,
        weights: Weights,
        policy: HedgePolicy,
        now_s: float,
    ) -> float | None:
        """Return the delay after which a second attempt may start.

        Parameters
        ----------
        request : RouteRequest
            The request.
        weights : Weights
            The service's weights from the document.
        policy : HedgePolicy
            The service's hedging policy from the document.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float or None
            Delay in seconds; None if the request must not be hedged.
        """
        if not (policy.enabled and request.idempotent):
            return None
        if weights.tail_latency <= weights.cost:
            return None
        tracker = self._trackers.get(request.service)
        delay_s = policy.after_s
        if tracker is not None:
            delay_s = max(delay_s, tracker.value)
        return delay_s if now_s + delay_s < request.deadline_s else None

    def try_start(self, request: RouteRequest, now_s: float) -> bool:
        """Take the second attempt from the retry budget after the delay.

        Returns
        -------
        bool
            Whether the second attempt may start.
        """
        if not request.idempotent or now_s >= request.deadline_s:
            return False
        return self._budget.try_spend(request.workspace, now_s)


def create_hedger(budget: RetryBudget) -> Hedger:
    """Create a hedger.

    Parameters
    ----------
    budget : RetryBudget
        Budget shared with the retries.

    Returns
    -------
    Hedger
        The hedger.
    """
    return Hedger(budget)
