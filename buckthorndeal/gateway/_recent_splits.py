"""Former services of routes that have changed of late; no I/O.

While hosts apply a change, and for streams that began before it, the services and
weights of a route do not tell which service a stream began at.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from buckthorndeal.configuration import Route, WeightedService, choose_service

# Streams that began under a former configuration are over after this time.
DOUBT_S = 15.0
# Hosts share the origins of their streams for longer, as others may be slower to apply
# the change, and go by the former services for `DOUBT_S` from then on.
SHARE_S = 60.0


@dataclass(frozen=True, slots=True)
class _FormerRoute:
    route: Route
    changed_s: float


class RecentSplits:
    """Remembers the former services of each route that has changed."""

    def __init__(self) -> None:
        self._routes: dict[str, Route] = {}
        self._former: dict[str, list[_FormerRoute]] = {}
        # Time until which the origins of a service's streams are shared.
        self._shared_until_s: dict[str, float] = {}

    def update(self, routes: Iterable[Route], now_s: float) -> None:
        """Record the routes of a newer configuration."""
        self.expire(now_s)
        before, self._routes = self._routes, {each.name: each for each in routes}
        for name, former in before.items():
            route = self._routes.get(name)
            if route is None or route.services == former.services:
                continue
            self._former.setdefault(name, []).append(_FormerRoute(former, now_s))
            for target in _list_targets(former, route):
                self._shared_until_s[target.service] = now_s + SHARE_S

    def is_shared(self, service: str, now_s: float) -> bool:
        """Return whether other hosts may need the origins of a service's streams."""
        return now_s < self._shared_until_s.get(service, now_s)

    def find_service(self, route: Route, request_id: str, now_s: float) -> str:
        """Return the service at which a stream of unknown origin has begun.

        A host that has applied a change of the route tells the origins of its streams.
        So a stream of which nobody knows began before any change, at a host that has
        not applied the first one.
        """
        for former in self._former.get(route.name, ()):
            if now_s - former.changed_s < DOUBT_S:
                return choose_service(former.route, request_id)
        return choose_service(route, request_id)

    def expire(self, now_s: float) -> None:
        """Forget changes that no stream depends on any more."""
        for name, former in list(self._former.items()):
            kept = [each for each in former if now_s - each.changed_s < DOUBT_S]
            if kept:
                self._former[name] = kept
            else:
                del self._former[name]
        for service, until_s in list(self._shared_until_s.items()):
            if now_s >= until_s:
                del self._shared_until_s[service]


def _list_targets(*routes: Route) -> list[WeightedService]:
    return [target for route in routes for target in route.services]
