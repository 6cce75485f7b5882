"""Messages between gateways and the leader of the coordinators about quotas."""

from buckthorndeal.quota import QuotaDemand
from buckthorndeal.wire import Message


class QuotaRequest(Message, tag="qr"):
    """Call to the leader: grant units of workspaces with a quota.

    Coordinators of older builds reply with a failure. It is therefore no notification:
    one with an unknown tag closes the connection.

    Parameters
    ----------
    incarnation : int
        Number of the sender's process, drawn at its start.
    sequence : int
        Number of the request of this process.
    applied : int
        Number of the last request whose grants it has applied.
    demands : tuple of QuotaDemand
        Demands, at most one for a workspace.
    """

    incarnation: int
    sequence: int
    applied: int
    demands: tuple[QuotaDemand, ...]


class QuotaGrants(Message, tag="qg"):
    """Reply of the leader: units granted for each demand, in their order.

    Parameters
    ----------
    term : int
        Term of the leader.
    sequence : int
        Number of the request.
    amounts : tuple of int
        Units, which the host may use within `LEASE_S` of sending the request.
    """

    term: int
    sequence: int
    amounts: tuple[int, ...]


class QuotaRedirect(Message, tag="qd"):
    """Reply: this coordinator does not lead; `leader` does, if it knows of one."""

    leader: str | None = None
