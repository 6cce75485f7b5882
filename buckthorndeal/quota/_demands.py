"""What a host tells the granter about one workspace."""

import msgspec


class QuotaDemand(msgspec.Struct, frozen=True, array_like=True):
    """Units of one workspace that a host holds, needs and gives back.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    held : int
        Granted units that the host has not used and keeps, rounded up.
    need : int
        Units of requests that lacked units since the last demand.
    least : int
        Smallest grant for `need` that is of use.
    spare : int
        Further units that the host would hold for the requests to come.
    returned : int
        Units given back, which the host uses no more; rounded down.
    demand_per_s : int
        Units per second that callers ask for on this host.
    """

    workspace: str
    held: int = 0
    need: int = 0
    least: int = 0
    spare: int = 0
    returned: int = 0
    demand_per_s: int = 0
