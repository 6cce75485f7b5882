"""Fair shares of workspaces in the work that a host has served; no I/O.

Answers a workspace that sends many times its usual load: under contention it yields to
the others, and it may use whatever they leave.
"""

import math
from dataclasses import dataclass

__all__ = ["FairShares", "create_fair_shares"]

# Time constant with which served work is forgotten. A workspace that has been busy for
# a few seconds yields, and a single large request does not count for long.
MEMORY_S = 4.0
# A workspace yields if it has been served more than this multiple of its fair share.
# Sizes of workspaces vary by themselves, so that a smaller factor singles out those
# that are a little busy.
EXCESS_FACTOR = 2.0
# Interval at which the fair level is computed anew.
LEVEL_INTERVAL_S = 0.25
# Bounds the memory; the workspaces that were served least are forgotten first.
MAX_ACCOUNTS = 1024
# Served work below which a workspace counts as inactive, in tokens.
MIN_ACTIVE_TOKENS = 1.0


@dataclass(slots=True)
class _Account:
    weight: float
    tokens: float
    updated_s: float


class FairShares:
    """Virtual token counters of workspaces, which decay with time."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._level = math.inf
        self._level_due_s = -math.inf

    def __len__(self) -> int:
        return len(self._accounts)

    def record(self, name: str, weight: float, tokens: float, now_s: float) -> None:
        """Record that work of a workspace is served.

        Parameters
        ----------
        name : str
            The workspace.
        weight : float
            Its weight; shares are in proportion to the weights.
        tokens : float
            The work.
        now_s : float
            Clock reading.
        """
        account = self._accounts.get(name)
        if account is None:
            if len(self._accounts) >= MAX_ACCOUNTS:
                self._drop_idle(now_s)
            account = self._accounts[name] = _Account(weight, 0.0, now_s)
        self._decay(account, now_s)
        account.weight = weight
        account.tokens += tokens

    def compute_excess(self, name: str, now_s: float) -> float:
        """Return the served work as a multiple of the fair share; 0 if unknown."""
        account = self._accounts.get(name)
        if account is None:
            return 0.0
        if now_s >= self._level_due_s:
            self._compute_level(now_s)
        if not 0 < self._level < math.inf:
            return 0.0
        self._decay(account, now_s)
        return account.tokens / account.weight / self._level

    def is_excessive(self, name: str, now_s: float) -> bool:
        """Return whether a workspace has been served much more than its share."""
        return self.compute_excess(name, now_s) > EXCESS_FACTOR

    def list_excesses(self, now_s: float, count: int) -> list[tuple[str, float]]:
        """Return the `count` workspaces with the largest excess, and their excess."""
        # A new level forgets accounts that have become idle.
        names = list(self._accounts)
        excesses = [(name, self.compute_excess(name, now_s)) for name in names]
        excesses.sort(key=lambda each: -each[1])
        return excesses[:count]

    def _compute_level(self, now_s: float) -> None:
        """Compute the served work per unit of weight of the active workspaces.

        With a single active workspace there is nobody to share with.
        """
        self._level_due_s = now_s + LEVEL_INTERVAL_S
        for name, account in list(self._accounts.items()):
            self._decay(account, now_s)
            if account.tokens < MIN_ACTIVE_TOKENS:
                del self._accounts[name]
        tokens = sum(account.tokens for account in self._accounts.values())
        weight = sum(account.weight for account in self._accounts.values())
        self._level = tokens / weight if len(self._accounts) > 1 else math.inf

    def _drop_idle(self, now_s: float) -> None:
        """Forget half of the accounts: those that were served least."""
        for account in self._accounts.values():
            self._decay(account, now_s)
        names = sorted(self._accounts, key=lambda name: self._accounts[name].tokens)
        for name in names[: MAX_ACCOUNTS // 2]:
            del self._accounts[name]

    def _decay(self, account: _Account, now_s: float) -> None:
        elapsed_s = now_s - account.updated_s
        if elapsed_s > 0:
            account.tokens *= math.exp(-elapsed_s / MEMORY_S)
            account.updated_s = now_s


def create_fair_shares() -> FairShares:
    """Create counters of which none has been used."""
    return FairShares()
