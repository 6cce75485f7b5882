"""Retry budgets, which bound the attempts to a multiple of the requests."""

from collections import OrderedDict

__all__ = ["RetryBudget", "create_budget"]

# Retries and hedges may add one attempt per five requests, so that there are at most
# 1.2 attempts per request even while half of the endpoints fail.
RETRY_RATIO = 0.2
# The balance is capped, so that retries saved in quiet times don't allow a burst.
MAX_WORKSPACE_BALANCE = 20.0
MAX_HOST_BALANCE = 100.0
MAX_WORKSPACES = 4096


class RetryBudget:
    """Retry budget of one entry host, shared by retries and hedges.

    The budget starts empty: a minimum number of retries would break the bound for
    workspaces with few requests.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._host_balance = 0.0
        self._workspace_balances: OrderedDict[str, float] = OrderedDict()
        self.requests = 0
        self.retries = 0

    def record_request(self, workspace: str, now_s: float) -> None:
        """Count the first attempt of a request."""
        del now_s
        self.requests += 1
        self._host_balance = min(MAX_HOST_BALANCE, self._host_balance + self._ratio)
        balance = self._workspace_balances.get(workspace, 0.0) + self._ratio
        self._workspace_balances[workspace] = min(MAX_WORKSPACE_BALANCE, balance)
        self._workspace_balances.move_to_end(workspace)
        if len(self._workspace_balances) > MAX_WORKSPACES:
            self._workspace_balances.popitem(last=False)

    def try_spend(self, workspace: str, now_s: float) -> bool:
        """Spend one retry if the balances of workspace and host allow it.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """
        del now_s
        balance = self._workspace_balances.get(workspace, 0.0)
        # The tolerance lets five additions of 0.2 amount to one retry.
        if min(balance, self._host_balance) < 1 - 1e-9:
            return False
        self._host_balance -= 1
        self._workspace_balances[workspace] = balance - 1
        self.retries += 1
        return True

    def refund(self, workspace: str) -> None:
        """Return a retry that was not sent because no endpoint was found."""
        self._host_balance += 1
        self._workspace_balances[workspace] = (
            self._workspace_balances.get(workspace, 0.0) + 1
        )
        self.retries -= 1


def create_budget(ratio: float = RETRY_RATIO) -> RetryBudget:
    """Create an empty budget.

    Parameters
    ----------
    ratio : float, optional
        Retries allowed per request.

    Returns
    -------
    RetryBudget
        The budget.
    """
    return RetryBudget(ratio)
