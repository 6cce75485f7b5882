"""Coordinators that are connected and have told all that they know; no I/O."""

from collections.abc import Collection


class CoordinatorReach:
    """Tells whether a majority of the coordinators has told this host all it knows.

    A connection alone says nothing: until the coordinator has sent its state, what this
    host has not heard of may exist all the same.
    """

    def __init__(self) -> None:
        self._told: set[str] = set()

    def record_told(self, coordinator: str) -> None:
        """Record that a coordinator has sent all that it knows."""
        self._told.add(coordinator)

    def keep(self, connected: Collection[str]) -> None:
        """Forget the coordinators that are not connected."""
        self._told.intersection_update(connected)

    def has_majority(self, known: int) -> bool:
        """Return whether more than half of the `known` coordinators have."""
        return 2 * len(self._told) > known
