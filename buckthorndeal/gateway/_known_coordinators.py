"""Coordinators that this gateway has heard of; no I/O."""

from collections.abc import Iterable

from buckthorndeal.fleet import ControlHost

# A coordinator that no status message has listed for this long is removed, unless it
# is connected or a seed.
CONTROL_HOST_EXPIRY_S = 30.0


class KnownCoordinators:
    """Places of the coordinators, and when a status message last listed each.

    Parameters
    ----------
    region, failure_domain : str
        Place of this host.
    """

    def __init__(self, region: str, failure_domain: str) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._hosts: dict[str, ControlHost] = {}
        self._listed_s: dict[str, float] = {}

    def update(self, hosts: Iterable[ControlHost], now_s: float) -> None:
        """Record the coordinators that a status message lists."""
        for control in hosts:
            self._hosts[control.host] = control
            self._listed_s[control.host] = now_s

    def is_silent(self, host: str, now_s: float) -> bool:
        """Return whether a coordinator has not been listed for long."""
        listed_s = self._listed_s.setdefault(host, now_s)
        return now_s - listed_s > CONTROL_HOST_EXPIRY_S

    def get_distance(self, host: str) -> tuple[bool, bool, str]:
        """Return a sort key: hosts of this region and failure domain come first."""
        control = self._hosts.get(host)
        if control is None:
            return (True, True, host)
        return (
            control.region != self._region,
            control.failure_domain != self._failure_domain,
            host,
        )
