"""Retry budgets: attempts stay a bounded multiple of the requests."""

from collections import OrderedDict

__all__ = ["RetryBudget", "create_budget"]

# Retries and hedges may add one attempt to five requests, so that attempts stay
# within 1.2 times the requests while half of the endpoints fail.
RETRY_RATIO = 0.2
# Saved-up retries are capped, so that a quiet hour doesn't pay for a burst.
MAX_WORKSPACE_RETRIES = 20.0
MAX_HOST_RETRIES = 100.0
MAX_WORKSPACES = 4096


class RetryBudget:
    """Budget of one entry host, shared by retries and hedges.

    The budget starts empty: a floor would break the bound for workspaces with
    few requests.

    Parameters
    ----------
    share : float
        Retries allowed for each request.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._host = 0.0
        self._workspaces: OrderedDict[str, float] = OrderedDict()
        self.requests = 0
        self.retries = 0

    def record_request(self, workspace: str, now_s: float) -> None:
        """Count the first attempt of a request."""
        del now_s
        self.requests += 1
        self._host = min(MAX_HOST_RETRIES, self._host + self._share)
        saved = self._workspaces.get(workspace, 0.0) + self._share
        self._workspaces[workspace] = min(MAX_WORKSPACE_RETRIES, saved)
        self._workspaces.move_to_end(workspace)
        if len(self._workspaces) > MAX_WORKSPACES:
            self._workspaces.popitem(last=False)

    def try_spend(self, workspace: str, now_s: float) -> bool:
        """Take one retry, if both the workspace and the host have one left."""
        del now_s
        saved = self._workspaces.get(workspace, 0.0)
        # The tolerance keeps five additions of 0.2 equal to one retry.
        if min(saved, self._host) < 1 - 1e-9:
            return False
        self._host -= 1
        self._workspaces[workspace] = saved - 1
        self.retries += 1
        return True

    def refund(self, workspace: str) -> None:
        """Return a retry that found no endpoint."""
        self._host += 1
        self._workspaces[workspace] = self._workspaces.get(workspace, 0.0) + 1
        self.retries -= 1


def create_budget(share: float = RETRY_RATIO) -> RetryBudget:
    """Create an empty budget.

    Parameters
    ----------
    share : float, optional
        Retries allowed for each request.

    Returns
    -------
    RetryBudget
        The budget.
    """
    return RetryBudget(share)
