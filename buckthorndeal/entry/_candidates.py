"""Endpoints of one region that may answer the calls of a service."""

from collections.abc import Collection

from buckthorndeal.policy.views import EndpointView
from buckthorndeal.registry import Registry


class Candidates:
    """Endpoints of each service in one region, listed once per change of the registry.

    Parameters
    ----------
    registry : Registry
        Endpoints that are known.
    region : str
        Region of the candidates.
    """

    def __init__(self, registry: Registry, region: str) -> None:
        self._registry = registry
        self._region = region
        self._endpoints: dict[str, list[EndpointView]] = {}

    def clear(self) -> None:
        """Forget the lists; to be called when an endpoint is added or removed."""
        self._endpoints.clear()

    def list_endpoints(
        self, service: str, refused: Collection[str]
    ) -> list[EndpointView]:
        """Return the endpoints of `service`, without the names in `refused`."""
        endpoints = self._endpoints.get(service)
        if endpoints is None:
            endpoints = [
                view
                for view in self._registry.list_endpoints()
                if view.service == service and view.region == self._region
            ]
            self._endpoints[service] = endpoints
        if refused:
            return [view for view in endpoints if view.name not in refused]
        return endpoints
