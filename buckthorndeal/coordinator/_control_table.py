"""What a coordinator knows of the other coordinators; no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from buckthorndeal.fleet import ControlHost

# Two lost status messages.
CONTROL_SILENCE_S = 2.5
CONTROL_FORGET_S = 30.0


@dataclass(eq=False)
class _Control:
    host: ControlHost
    heard_s: float


class ControlTable:
    """The other coordinators and when they were last heard.

    Parameters
    ----------
    own : ControlHost
        This host.
    """

    def __init__(self, own: ControlHost) -> None:
        self._own = own
        self._controls: dict[str, _Control] = {}

    def hear(self, sender: str, hosts: Iterable[ControlHost], now_s: float) -> None:
        """Take a status message; only its sender counts as heard."""
        for each in hosts:
            if each.host == sender:
                self._controls[each.host] = _Control(each, now_s)
            elif each.host not in self._controls and each.host != self._own.host:
                self._controls[each.host] = _Control(each, now_s - CONTROL_SILENCE_S)

    def list_alive(self, now_s: float) -> list[ControlHost]:
        """Return the other coordinators that were heard from of late."""
        return [
            control.host
            for control in self._controls.values()
            if now_s - control.heard_s < CONTROL_SILENCE_S
        ]

    def describe(self, now_s: float) -> tuple[ControlHost, ...]:
        """Return this host and the others that are alive."""
        return (self._own, *sorted(self.list_alive(now_s)))

    def count_reached(self, voters: Iterable[str], now_s: float) -> int:
        """Return how many voters are this host or were heard from of late."""
        heard = {host.host for host in self.list_alive(now_s)}
        heard.add(self._own.host)
        return sum(voter in heard for voter in voters)

    def forget_silent(self, members: Iterable[str], now_s: float) -> None:
        """Forget hosts that are no members and have been silent for long."""
        for host, control in list(self._controls.items()):
            if now_s - control.heard_s > CONTROL_FORGET_S and host not in members:
                del self._controls[host]

    def choose_registrar(
        self, region: str, failure_domain: str, now_s: float
    ) -> str | None:
        """Return the address for an endpoint's next heartbeats; None for this host."""
        if self._own.failure_domain == failure_domain:
            return None
        near = [host for host in self.list_alive(now_s) if host.region == region]
        if self._own.region == region:
            near = [each for each in near if each.failure_domain == failure_domain]
        near.sort(key=lambda each: (each.failure_domain != failure_domain, each.host))
        return near[0].api_address if near else None
