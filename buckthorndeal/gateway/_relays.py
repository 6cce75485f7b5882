"""Choice of an entry host of this region that passes requests on; no I/O."""

import random
from collections import Counter
from collections.abc import Collection

from buckthorndeal.gateway._fleet_view import FleetView

# Time for which a host is avoided after it could not be reached.
FAILURE_PAUSE_S = 1.0


class RelayHosts:
    """Entry hosts of this region that reach its endpoints, and what was sent to them.

    Parameters
    ----------
    view : FleetView
        Lists the hosts.
    rng : random.Random
        Chooses between equal hosts.
    """

    def __init__(self, view: FleetView, rng: random.Random) -> None:
        self._view = view
        self._rng = rng
        self._sent: dict[int, str] = {}
        self._avoided_until_s: dict[str, float] = {}

    def choose(
        self,
        excluded: Collection[str],
        now_s: float,
        among: Collection[str] | None = None,
    ) -> str | None:
        """Return the host with the fewest requests of this one, or None.

        Parameters
        ----------
        excluded : collection of str
            Hosts that have not served the request.
        now_s : float
            Clock reading.
        among : collection of str, optional
            The only hosts that are considered.
        """
        hosts = [
            host
            for host in self._view.fleet.relay_hosts
            if among is None or host in among
            if host not in excluded and now_s >= self._avoided_until_s.get(host, 0.0)
        ]
        if not hosts:
            return None
        counts = Counter(self._sent.values())
        return min(hosts, key=lambda host: (counts[host], self._rng.random()))

    def was_tried(self, excluded: Collection[str]) -> bool:
        """Return whether a host has not served the request that it was sent."""
        return any(host in excluded for host in self._view.fleet.relay_hosts)

    def record_sent(self, attempt_id: int, host: str) -> None:
        """Record that a request is sent to a host."""
        self._sent[attempt_id] = host

    def record_end(self, attempt_id: int) -> None:
        """Record that an attempt has ended, if it was sent to a host."""
        self._sent.pop(attempt_id, None)

    def record_failure(self, host: str, now_s: float) -> None:
        """Avoid a host that could not be reached for some time."""
        self._avoided_until_s[host] = now_s + FAILURE_PAUSE_S
