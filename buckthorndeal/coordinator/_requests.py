"""Messages to the owner task of the replica of a coordinator."""

from dataclasses import dataclass

from buckthorndeal.statemachine import PutConfiguration


@dataclass(frozen=True)
class StoreConfiguration:
    """Ask: put a validated configuration in force; needs leadership."""

    command: PutConfiguration


@dataclass(frozen=True)
class ChangeEvacuation:
    """Ask: start or end an evacuation; needs leadership."""

    failure_domain: str
    active: bool


@dataclass(frozen=True)
class ReadConfiguration:
    """Ask: the configuration; `confirmed` requires the leader's lease."""

    confirmed: bool


@dataclass(frozen=True)
class RemoveHost:
    """Ask: take the vote of a host that stops; needs leadership."""

    host: str


@dataclass(frozen=True)
class ClusterState:
    """What a replica has applied, and the members that it knows.

    Parameters
    ----------
    index : int
        Last applied log index.
    version : int or None
        Version of the configuration.
    evacuated : frozenset of str
        Failure domains that get nothing.
    leader : str or None
        Host that is believed to lead.
    voters : tuple of str
        Hosts that vote.
    members : tuple of str
        Hosts that vote or follow.
    """

    index: int
    version: int | None
    evacuated: frozenset[str]
    leader: str | None
    voters: tuple[str, ...]
    members: tuple[str, ...]
