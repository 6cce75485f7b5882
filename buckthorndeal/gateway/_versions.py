"""Versions of the configuration that coordinators have announced; no I/O."""

from collections.abc import Set

# Wait after no coordinator has returned the configuration that it announces.
FETCH_RETRY_S = 0.2


class AnnouncedVersions:
    """Decides when to fetch which version of the configuration.

    At most one fetch runs at a time. A version is fetched once, whether it could be
    read or not.
    """

    def __init__(self) -> None:
        self._announced: dict[str, int] = {}
        self._fetched: int | None = None
        self._fetching = False
        self._due_s = 0.0

    def announce(self, host: str, version: int) -> None:
        """Record the version that a coordinator has announced."""
        self._announced[host] = version

    def start_fetch(
        self, connected: Set[str], now_s: float
    ) -> tuple[int, list[str]] | None:
        """Return the version to fetch now and the coordinators that have it, or None.

        The fetch then counts as running until `end_fetch` is called.
        """
        newest = max(self._announced.values(), default=None)
        if newest is None or self._fetching or now_s < self._due_s:
            return None
        if self._fetched is not None and newest <= self._fetched:
            return None
        hosts = [
            host
            for host, version in self._announced.items()
            if version == newest and host in connected
        ]
        if not hosts:
            return None
        self._fetching = True
        return newest, hosts

    def end_fetch(self, version: int | None, now_s: float) -> bool:
        """Record the end of a fetch; return whether its version is a newer one.

        Parameters
        ----------
        version : int or None
            Version that was returned; None if there was none.
        now_s : float
            Clock reading.
        """
        self._fetching = False
        if version is None:
            self._due_s = now_s + FETCH_RETRY_S
            return False
        if self._fetched is not None and version <= self._fetched:
            return False
        self._fetched = version
        return True
