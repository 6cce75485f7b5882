"""Times of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipOptions:
    """Times of the protocol in seconds.

    Parameters
    ----------
    period_s : float
        Time between two probes of a host.
    local_timeout_s, remote_timeout_s : float
        Wait for a direct answer before helpers are asked.
    indirect_timeout_s : float
        Further wait for an answer through the helpers.
    suspicion_s : float
        Time in which a suspected host can refute.
    sync_s : float
        Time between two comparisons of tables.
    push_s : float
        Shortest time between two pushes of news.
    verify_s : float
        Shortest time between two corrections about the same host.
    """

    period_s: float = 0.5
    local_timeout_s: float = 0.15
    remote_timeout_s: float = 0.3
    indirect_timeout_s: float = 0.35
    suspicion_s: float = 1.5
    sync_s: float = 5.0
    push_s: float = 0.1
    verify_s: float = 2.0
