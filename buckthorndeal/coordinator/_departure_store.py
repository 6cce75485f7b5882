"""Drains and leaves of endpoints that survive the end of all coordinators."""

import msgspec

from buckthorndeal.coordinator._state_store import DiskStateStore, StateStore
from buckthorndeal.fleet import EndpointState

FILE_NAME = "departures"


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """Drain or leave of one incarnation of an endpoint.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint.
    incarnation : int
        Newest incarnation that drains or has left.
    state : EndpointState
        DRAINING or LEFT.
    """

    endpoint: str
    incarnation: int
    state: EndpointState


DepartureStore = StateStore[Departure]


def create_disk_departure_store(directory: str) -> DepartureStore:
    """Return a store in a directory, which may not exist yet."""
    return DiskStateStore(directory, FILE_NAME, Departure)
