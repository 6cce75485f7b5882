"""Evacuated failure domains, as the coordinators tell them; no I/O."""

from collections.abc import Set

from buckthorndeal.fleet import ClusterNotice
from buckthorndeal.logs import log_event


class NotedEvacuations:
    """Evacuations of the newest notice, and those that coordinators have pending.

    Attributes
    ----------
    log_index : int
        Index of the newest notice in the log of the coordinators.
    evacuated : frozenset of str
        Failure domains that get no requests.
    """

    def __init__(self) -> None:
        self._committed: frozenset[str] = frozenset()
        self._pending: dict[str, frozenset[str]] = {}
        self.log_index = 0
        self.evacuated: frozenset[str] = frozenset()

    def record(self, notice: ClusterNotice, host: str, connected: Set[str]) -> bool:
        """Record a notice; return whether it changes what is evacuated.

        Parameters
        ----------
        notice : ClusterNotice
            The notice.
        host : str
            Coordinator that has sent it.
        connected : set of str
            Coordinators that this host is connected to.
        """
        if notice.index > self.log_index:
            # A leader decides on them. Those that it commits come without them.
            for each in set(self._pending) - connected:
                del self._pending[each]
        if notice.index >= self.log_index:
            self.log_index = notice.index
            self._committed = frozenset(notice.evacuated)
        self._pending[host] = frozenset(notice.pending)
        evacuated = self._committed.union(*self._pending.values())
        if evacuated == self.evacuated:
            return False
        self.evacuated = evacuated
        log_event(
            "evacuations_changed",
            evacuated=sorted(evacuated),
            index=notice.index,
            source=host,
        )
        return True
