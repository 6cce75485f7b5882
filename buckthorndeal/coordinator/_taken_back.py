"""Failure domains whose evacuation has ended lately; no I/O."""

from collections.abc import Set

from buckthorndeal.fleet import TakenBackDomain

# Heartbeats have told by then which endpoints had become cold.
LISTED_S = 5.0


class TakenBackDomains:
    """Lists them for hosts that connect, and may not have known the evacuations."""

    def __init__(self) -> None:
        self._ended_s: dict[TakenBackDomain, float] = {}

    def update(
        self, before: Set[str], after: Set[str], index: int, now_s: float
    ) -> None:
        """Record which evacuations have ended.

        Parameters
        ----------
        before, after : set of str
            Evacuated failure domains until now, and from now on.
        index : int
            Log index by which they have ended.
        now_s : float
            Clock reading.
        """
        self._ended_s = {
            domain: ended_s
            for domain, ended_s in self._ended_s.items()
            if domain.failure_domain not in after and now_s - ended_s < LISTED_S
        }
        for failure_domain in before - after:
            self._ended_s[TakenBackDomain(failure_domain, index)] = now_s

    def list_recent(self, now_s: float) -> tuple[TakenBackDomain, ...]:
        """Return the failure domains."""
        return tuple(
            domain
            for domain, ended_s in self._ended_s.items()
            if now_s - ended_s < LISTED_S
        )
