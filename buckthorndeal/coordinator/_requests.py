"""Messages to the task that owns a coordinator's replica of the log."""

from dataclasses import dataclass

from buckthorndeal.consensus import ProposalId
from buckthorndeal.statemachine import PutConfiguration


@dataclass(frozen=True)
class StoreConfiguration:
    """Request to the leader: store a validated configuration."""

    command: PutConfiguration


@dataclass(frozen=True)
class ChangeEvacuation:
    """Request to the leader: start or end an evacuation.

    Parameters
    ----------
    failure_domain : str
        Failure domain to change.
    active : bool
        Whether it is evacuated from now on.
    after : ProposalId or None
        Position of the log after the order was received. The order is outdated if the
        leader has another term, or got the opposite one on this failure domain since.
        None for an order that the operator has sent to the leader itself.
    """

    failure_domain: str
    active: bool
    after: ProposalId | None = None


@dataclass(frozen=True)
class ReadPosition:
    """Request to the leader: its term and the end of its log, as a `ProposalId`."""


@dataclass(frozen=True)
class ReadConfiguration:
    """Request: the stored configuration.

    A linearizable read needs the leader's lease; any replica answers other reads with
    what it has applied.
    """

    linearizable: bool


@dataclass(frozen=True)
class RemoveHost:
    """Request to the leader: remove a host that shuts down from the voters."""

    host: str


@dataclass(frozen=True)
class ClusterState:
    """Applied state and known membership of a replica.

    Parameters
    ----------
    index : int
        Last applied log index.
    version : int or None
        Version of the stored configuration.
    evacuated : frozenset of str
        Failure domains that get no requests.
    leader : str or None
        Host of the leader, as far as this replica knows.
    voters : tuple of str
        Hosts of the voting members.
    members : tuple of str
        Hosts of all members, including learners.
    pending : frozenset of str
        Failure domains whose evacuation starts in an entry that is not known to be
        committed. They get no requests either.
    """

    index: int
    version: int | None
    evacuated: frozenset[str]
    leader: str | None
    voters: tuple[str, ...]
    members: tuple[str, ...]
    pending: frozenset[str] = frozenset()
