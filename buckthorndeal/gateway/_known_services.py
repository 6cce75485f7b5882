"""Services of the configuration and of the endpoints, as known to one host; no I/O."""

from collections.abc import Collection, Mapping

from buckthorndeal.configuration import ServiceDescription
from buckthorndeal.gateway._pace import ServicePace
from buckthorndeal.gateway._service_time import ServiceTime


class KnownServices:
    """Descriptions of services, and what is learned of their endpoints together.

    Attributes
    ----------
    described : mapping of str to ServiceDescription
        Services of the newest configuration by name.
    """

    def __init__(self) -> None:
        self.described: Mapping[str, ServiceDescription] = {}
        # Services that a newer configuration has dropped, while endpoints of them live.
        self._dropped: dict[str, ServiceDescription] = {}
        self._times: dict[str, ServiceTime] = {}
        self._paces: dict[str, ServicePace] = {}

    def describe(self, described: Mapping[str, ServiceDescription]) -> None:
        """Replace the services with those of a newer configuration."""
        known = {**self._dropped, **self.described}
        self._dropped = {
            name: service for name, service in known.items() if name not in described
        }
        self.described = described

    def get(self, name: str) -> ServiceDescription | None:
        """Return a service, or None if it is unknown.

        A request that was accepted under an older configuration may still need one that
        the newer one has dropped.
        """
        return self.described.get(name) or self._dropped.get(name)

    def get_time(self, name: str) -> ServiceTime:
        """Return the time of a service, which is learned from now on."""
        return self._times.setdefault(name, ServiceTime())

    def get_pace(self, name: str) -> ServicePace:
        """Return the pace of a service, which is learned from now on."""
        return self._paces.setdefault(name, ServicePace())

    def find_active_pace(self, name: str) -> ServicePace | None:
        """Return the pace of a service whose endpoints report a slowdown, or None."""
        pace = self._paces.get(name)
        return pace if pace is not None and pace.is_active else None

    def expire(self, served: Collection[str]) -> frozenset[str]:
        """Forget services that are neither configured nor served by an endpoint.

        Heartbeats may name any service. Returns the services that are still known.
        """
        for name in self._dropped.keys() - served:
            del self._dropped[name]
        kept = frozenset((*served, *self.described))
        for known in (self._times, self._paces):
            for name in known.keys() - kept:
                del known[name]
        return kept
