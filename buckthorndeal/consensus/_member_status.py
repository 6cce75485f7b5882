"""Status of the members of a cluster, as seen by its leader."""

from dataclasses import dataclass

from buckthorndeal.consensus._records import ReplicaId


@dataclass(frozen=True)
class MemberStatus:
    """Status of a member or of a replica that asks to join, as seen by the leader.

    Parameters
    ----------
    replica : ReplicaId
        Identity of the replica.
    standing : {"voter", "learner", "candidate"}
        Type of member in the latest membership. A "candidate" asks to join and is
        not a member; it is unrelated to the Raft role.
    silent_s : float
        Seconds since the last message from the replica in this term.
    active : bool
        Whether a reply of this term arrived within the last election timeout. A new
        leader knows of no other replica whether it runs.
    caught_up : bool
        Whether the replica is active and lacks only a few entries.
    durable : bool
        Whether the replica has a disk.
    match_index : int
        Last index that the replica is known to have synced.
    informed : bool
        Whether that index covers the latest membership.
    """

    replica: ReplicaId
    standing: str
    silent_s: float
    active: bool
    caught_up: bool
    durable: bool
    match_index: int
    informed: bool = False
