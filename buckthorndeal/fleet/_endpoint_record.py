"""Heartbeats of endpoints, as coordinators and entry hosts pass them on."""

import enum

import msgspec


class EndpointState(enum.Enum):
    """Life cycle of an endpoint, as reported in its heartbeats."""

    READY = "r"
    DRAINING = "d"
    LEFT = "l"


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """Content of one heartbeat of an endpoint.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint; a restarted one may keep it.
    incarnation : int
        Start time of the process in milliseconds since the epoch.
    sequence : int
        Sequence number of the heartbeat within the incarnation.
    address : str
        ``IP:port``.
    slots : int
        Number of requests that the endpoint runs at once.
    cold_s : float
        Remaining time for which the endpoint is cold.
    leaves_in_s : float or None
        Time until the endpoint is removed, if known.
    version : str
        Version of the endpoint's software; empty if it names none.
    age_s : float
        Time since the heartbeat arrived at the host that sends the record.
    """

    endpoint: str
    incarnation: int
    sequence: int
    service: str
    region: str
    failure_domain: str
    address: str
    slots: int
    state: EndpointState
    cold_s: float = 0.0
    leaves_in_s: float | None = None
    version: str = ""
    age_s: float = 0.0
