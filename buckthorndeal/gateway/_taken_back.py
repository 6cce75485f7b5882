"""Failure domains whose evacuations have ended, as this host hears of it; no I/O."""

from buckthorndeal.gateway._fleet_messages import FleetChanged

# Longer than an endpoint is cold.
LIFETIME_S = 60.0


class TakenBackTimes:
    """When failure domains were last taken back, as far as that matters."""

    def __init__(self) -> None:
        self._ends_s: dict[str, float] = {}

    def update(
        self, before: FleetChanged, after: FleetChanged, now_s: float
    ) -> frozenset[str]:
        """Return the domains that a change takes back, known as evacuated or not."""
        missed = after.taken_back - before.taken_back
        domains = (before.evacuated - after.evacuated).union(
            domain.failure_domain for domain in missed
        )
        for domain, end_s in list(self._ends_s.items()):
            if now_s - end_s >= LIFETIME_S:
                del self._ends_s[domain]
        self._ends_s.update(dict.fromkeys(domains, now_s))
        return domains

    def get_end_s(self, domain: str) -> float | None:
        """Return when a domain was last taken back; None if it was not lately."""
        return self._ends_s.get(domain)
