"""Table of the other coordinators and their last heartbeats; no I/O."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from buckthorndeal.fleet import ControlHost

# Status messages are sent every second; two may be lost.
HEARTBEAT_TIMEOUT_S = 2.5
COORDINATOR_RETENTION_S = 30.0


@dataclass(eq=False)
class _KnownCoordinator:
    host: ControlHost
    last_heartbeat_s: float


class CoordinatorTable:
    """Other coordinators and the time of their last heartbeat.

    Parameters
    ----------
    own : ControlHost
        The coordinator on this host.
    """

    def __init__(self, own: ControlHost) -> None:
        self._own = own
        self._coordinators: dict[str, _KnownCoordinator] = {}

    def update(self, sender: str, hosts: Iterable[ControlHost], now_s: float) -> None:
        """Merge a status message from another coordinator.

        Only the sender counts as alive; the other hosts that it lists become known
        but count as silent until their own heartbeat arrives.

        Parameters
        ----------
        sender : str
            Host that sent the message.
        hosts : iterable of ControlHost
            Coordinators that the sender lists, including itself.
        now_s : float
            Clock reading in seconds.
        """
        for each in hosts:
            if each.host == sender:
                self._coordinators[each.host] = _KnownCoordinator(each, now_s)
            elif each.host not in self._coordinators and each.host != self._own.host:
                self._coordinators[each.host] = _KnownCoordinator(
                    each, now_s - HEARTBEAT_TIMEOUT_S
                )

    def list_alive(self, now_s: float) -> list[ControlHost]:
        """Return the other coordinators whose last heartbeat has not timed out."""
        return [
            coordinator.host
            for coordinator in self._coordinators.values()
            if now_s - coordinator.last_heartbeat_s < HEARTBEAT_TIMEOUT_S
        ]

    def list_with_self(self, now_s: float) -> tuple[ControlHost, ...]:
        """Return this coordinator, followed by the others that are alive."""
        return (self._own, *sorted(self.list_alive(now_s)))

    def count_reachable(self, voters: Iterable[str], now_s: float) -> int:
        """Return how many of the voters are alive, including this host."""
        alive = {host.host for host in self.list_alive(now_s)}
        alive.add(self._own.host)
        return sum(voter in alive for voter in voters)

    def reaches_majority(self, voters: Sequence[str], now_s: float) -> bool:
        """Return whether a majority of the voters, including this host, is alive."""
        reached = self.count_reachable(voters, now_s)
        return bool(voters) and reached > len(voters) // 2

    def remove_expired(self, members: Iterable[str], now_s: float) -> None:
        """Remove hosts that are silent and are not members of the replicated log."""
        for host, coordinator in list(self._coordinators.items()):
            if (
                now_s - coordinator.last_heartbeat_s > COORDINATOR_RETENTION_S
                and host not in members
            ):
                del self._coordinators[host]

    def choose_registrar(
        self, region: str, failure_domain: str, now_s: float
    ) -> str | None:
        """Choose the coordinator that should receive an endpoint's heartbeats.

        A coordinator in the endpoint's failure domain is preferred, then one in its
        region.

        Parameters
        ----------
        region, failure_domain : str
            Location of the endpoint.
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        str or None
            API address of the coordinator; None if the endpoint should keep to this
            host.
        """
        if self._own.failure_domain == failure_domain:
            return None
        nearby = [host for host in self.list_alive(now_s) if host.region == region]
        if self._own.region == region:
            nearby = [each for each in nearby if each.failure_domain == failure_domain]
        nearby.sort(key=lambda each: (each.failure_domain != failure_domain, each.host))
        return nearby[0].api_address if nearby else None
