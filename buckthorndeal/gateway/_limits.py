"""Retry budget shared by all entry hosts; no I/O."""

from collections import deque

# Keeps the sum below the budget while hosts disagree on the number of hosts.
SAFETY_FACTOR = 0.8


class RetryBudgetShare:
    """Share of one host in the retry budget of one service.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request in a window.
    slack : float
        Additional retries that all hosts together may make in a window.
    window_s : float
        Length of the sliding window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def try_acquire(self, hosts: int, now_s: float) -> bool:
        """Count a retry and return True if the share of this host allows it.

        Parameters
        ----------
        hosts : int
            Number of entry hosts that share the slack.
        now_s : float
            Clock reading.
        """
        if self.count_retries(now_s) + 1 > self.compute_limit(hosts, now_s):
            return False
        self._retries.append(now_s)
        return True

    def give_back(self, acquired_s: float) -> None:
        """Forget a retry, counted at `acquired_s`, that has reached no endpoint."""
        if acquired_s in self._retries:
            self._retries.remove(acquired_s)

    def count_retries(self, now_s: float) -> int:
        """Return the number of retries in the window."""
        self._drop_expired(now_s)
        return len(self._retries)

    def compute_limit(self, hosts: int, now_s: float) -> float:
        """Return the number of retries that this host may make in the window."""
        self._drop_expired(now_s)
        host_limit = self._ratio * len(self._requests) + self._slack / max(1, hosts)
        return SAFETY_FACTOR * host_limit

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()


class RetryBudgets:
    """Share of one host in the retry budget of each service.

    Parameters
    ----------
    ratio, slack, window_s : float
        See `RetryBudgetShare`.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._shares: dict[str, RetryBudgetShare] = {}
        # Service and time of the retries under way, by attempt id.
        self._acquired: dict[int, tuple[str, float]] = {}

    def get(self, service: str) -> RetryBudgetShare:
        """Return the share of a service; create it if there is none."""
        share = self._shares.get(service)
        if share is None:
            share = RetryBudgetShare(self._ratio, self._slack, self._window_s)
            self._shares[service] = share
        return share

    def try_acquire(
        self, service: str, attempt_id: int, hosts: int, now_s: float
    ) -> bool:
        """Count an attempt as a retry if the share of this host allows it."""
        allowed = self.get(service).try_acquire(hosts, now_s)
        if allowed:
            self._acquired[attempt_id] = (service, now_s)
        return allowed

    def record_end(self, attempt_id: int, was_sent: bool) -> None:
        """Record the end of an attempt; a retry that was not sent is given back."""
        acquired = self._acquired.pop(attempt_id, None)
        if acquired is not None and not was_sent:
            service, acquired_s = acquired
            self.get(service).give_back(acquired_s)
