"""Checks of the path to the endpoints, and what follows from its loss; no I/O."""

import random
from collections.abc import Mapping

from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.gateway._endpoint_path import EndpointPath
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._granted_attempt import GrantedAttempt
from buckthorndeal.policy.ejection import Ejection

# Without any bytes from endpoints for this long while requests are under way, the path
# is checked. A sound endpoint may be silent for about as long.
SILENCE_S = 0.8
# Failures this long before the one that led to the check are due to the same loss.
BLAMELESS_TIME_S = 1.0


class EndpointReach:
    """Watches whether this host reaches endpoints, and clears them of its own loss.

    Parameters
    ----------
    view : FleetView
        Endpoints known to this host.
    ejection : Ejection
        Forgets the failures that a lost path has caused.
    rng : random.Random
        Chooses the endpoints of a check.
    """

    def __init__(self, view: FleetView, ejection: Ejection, rng: random.Random) -> None:
        self._ejection = ejection
        self.path = EndpointPath(rng, view.list_alive)

    @property
    def is_lost(self) -> bool:
        """Whether no endpoint is reached."""
        return self.path.is_lost

    def take_probes(self, now_s: float) -> list[EndpointRecord]:
        """Return endpoints to which connections are to be opened, to check the path."""
        was_lost = self.is_lost
        probes = self.path.take_probes(now_s)
        self._forgive_endpoints(was_lost)
        return probes

    def record_probe(
        self, record: EndpointRecord, accepted: bool, now_s: float
    ) -> None:
        """Record whether an endpoint has accepted a connection of a check."""
        was_lost = self.is_lost
        self.path.record_probe(record.endpoint, accepted, now_s)
        self._forgive_endpoints(was_lost)

    def watch_silence(
        self, granted: Mapping[int, GrantedAttempt], heard_s: float, now_s: float
    ) -> None:
        """Check the path if requests are under way and no endpoint sends anything.

        Parameters
        ----------
        granted : mapping of int to GrantedAttempt
            Attempts under way, in the order in which they were granted.
        heard_s : float
            Clock reading when bytes of any endpoint last arrived.
        now_s : float
            Clock reading.
        """
        oldest = next(iter(granted.values()), None)
        if oldest is None:
            return
        if now_s - max(heard_s, oldest.granted_s, self.path.changed_s) >= SILENCE_S:
            self.path.record_failure(oldest.record.endpoint, now_s)

    def _forgive_endpoints(self, was_lost: bool) -> None:
        if self.is_lost and not was_lost:
            self._ejection.forgive(self.path.suspected_s - BLAMELESS_TIME_S)
