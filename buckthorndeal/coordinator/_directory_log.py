"""Log of answers of the directory that lead callers to another region."""

import time
from collections import OrderedDict
from collections.abc import Callable

from buckthorndeal.coordinator._fleet_messages import ChooseEntryHosts
from buckthorndeal.fleet import EntryHost
from buckthorndeal.logs import LineBudget, log_event

# Callers choose the names that they ask for.
MAX_REMEMBERED = 1_024
MAX_NAME_CHARS = 256
# Lines beyond would take the place of other events.
LINES_PER_S = 10.0


class DirectoryLog:
    """Logs a choice outside the caller's region if it differs from the last one.

    Parameters
    ----------
    clock : callable, optional
        Returns monotonic seconds.

    Attributes
    ----------
    left_out_count : int
        Number of choices that differed and were not logged.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        # The names that were asked for longest ago come first.
        self._logged: OrderedDict[tuple[str, str], tuple[str, ...]] = OrderedDict()
        self._budget = LineBudget(LINES_PER_S)
        self.left_out_count = 0

    def __len__(self) -> int:
        return len(self._logged)

    def record(
        self, query: ChooseEntryHosts, chosen: list[EntryHost], known: int
    ) -> None:
        """Record a choice.

        Parameters
        ----------
        query : ChooseEntryHosts
            What the caller asked for.
        chosen : list of EntryHost
            The answer.
        known : int
            Number of entry hosts that are known.
        """
        hosts = tuple(entry.host for entry in chosen)
        remote = all(entry.region != query.region for entry in chosen)
        key = (query.name[:MAX_NAME_CHARS], query.region[:MAX_NAME_CHARS])
        logged = self._logged.pop(key, None)
        if not remote:
            return
        if logged != hosts and not self._log(key, hosts, known):
            return
        self._logged[key] = hosts
        if len(self._logged) > MAX_REMEMBERED:
            self._logged.popitem(last=False)

    def _log(self, key: tuple[str, str], hosts: tuple[str, ...], known: int) -> bool:
        """Log a choice if the budget allows it, and return whether it did."""
        if not self._budget.take(self._clock()):
            self.left_out_count += 1
            return False
        name, region = key
        log_event(
            "directory_decision",
            name=name,
            region=region,
            chosen=list(hosts),
            known=known,
            reason="no entry host of the region is ready",
        )
        return True
