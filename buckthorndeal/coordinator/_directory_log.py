"""Log of answers of the directory that lead callers to another region."""

from buckthorndeal.coordinator._fleet_messages import ChooseEntryHosts
from buckthorndeal.fleet import EntryHost
from buckthorndeal.logs import log_event


class DirectoryLog:
    """Logs a choice outside the caller's region if it differs from the last one."""

    def __init__(self) -> None:
        self._logged: dict[tuple[str, str], tuple[str, ...]] = {}

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
        key = (query.name, query.region)
        if not remote:
            self._logged.pop(key, None)
            return
        if self._logged.get(key) != hosts:
            log_event(
                "directory_decision",
                name=query.name,
                region=query.region,
                chosen=list(hosts),
                known=known,
                reason="no entry host of the region is ready",
            )
        self._logged[key] = hosts
