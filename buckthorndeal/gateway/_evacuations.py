"""Evacuated failure domains, as the coordinators tell them; no I/O."""

from collections.abc import Iterable, Set

from buckthorndeal.fleet import ClusterNotice, TakenBackDomain
from buckthorndeal.logs import log_event

# Failure domains of which the last end is remembered; operators choose their names.
MAX_ENDS = 1_024


class NotedEvacuations:
    """Evacuations of the newest notice, and those that coordinators have pending.

    Attributes
    ----------
    log_index : int
        Index of the newest notice in the log of the coordinators.
    evacuated : frozenset of str
        Failure domains that get no requests.
    taken_back : frozenset of TakenBackDomain
        Failure domains of which this host may not have known that they were evacuated,
        as it was told nothing while their evacuations ended.
    """

    def __init__(self) -> None:
        self._committed: frozenset[str] = frozenset()
        self._pending: dict[str, frozenset[str]] = {}
        self.log_index = 0
        self.evacuated: frozenset[str] = frozenset()
        self.taken_back: frozenset[TakenBackDomain] = frozenset()
        # Log index by which this host knew of the last end, by failure domain.
        self._ends: dict[str, int] = {}
        # From here on there was a notice for each index.
        self._first_index = 0

    def record(self, notice: ClusterNotice, host: str, connected: Set[str]) -> bool:
        """Record a notice; return whether it changes what is, or was, evacuated.

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
            if notice.index > self.log_index + 1:
                self._first_index = notice.index
            self.log_index = notice.index
            self._committed = frozenset(notice.evacuated)
        self._pending[host] = frozenset(notice.pending)
        evacuated = self._committed.union(*self._pending.values())
        self._note_ends(self.evacuated - evacuated)
        missed = frozenset(filter(self._is_missed, notice.taken_back))
        self._note_ends(domain.failure_domain for domain in missed)
        if evacuated == self.evacuated and not missed:
            return False
        self.evacuated = evacuated
        self.taken_back = missed or self.taken_back
        log_event(
            "evacuations_changed",
            evacuated=sorted(evacuated),
            taken_back=sorted(each.failure_domain for each in missed),
            index=notice.index,
            source=host,
        )
        return True

    def _note_ends(self, domains: Iterable[str]) -> None:
        for domain in domains:
            self._ends.pop(domain, None)
            self._ends[domain] = self.log_index
        while len(self._ends) > MAX_ENDS:
            del self._ends[next(iter(self._ends))]

    def _is_missed(self, domain: TakenBackDomain) -> bool:
        """Return whether this host may not have known the end of an evacuation.

        Coordinators that are behind name a higher index than others for the same end.
        """
        known = self._ends.get(domain.failure_domain)
        if known is None:
            return True
        # Another evacuation takes two entries of the log, for its start and its end.
        if domain.index < known + 2:
            return False
        is_told_all = known >= self._first_index and domain.index <= self.log_index
        return not is_told_all
