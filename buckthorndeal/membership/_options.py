"""Intervals and timeouts of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipOptions:
    """Intervals and timeouts of the membership protocol, in seconds.

    Parameters
    ----------
    probe_interval_s : float
        Time between two probes that a host starts.
    local_ack_timeout_s, remote_ack_timeout_s : float
        How long to wait for a direct acknowledgement from a host of this region, or
        of another one, before helpers are asked.
    indirect_ack_timeout_s : float
        How much longer to wait for an acknowledgement through the helpers.
    suspicion_timeout_s : float
        How long a suspected host has to refute before it is declared dead.
    sync_interval_s : float
        Mean time between two comparisons of tables.
    min_push_interval_s : float
        Minimum time between two pushes of rumors.
    min_correction_interval_s : float
        Minimum time between two corrections about the same host.
    """

    probe_interval_s: float = 0.5
    local_ack_timeout_s: float = 0.15
    remote_ack_timeout_s: float = 0.3
    indirect_ack_timeout_s: float = 0.35
    suspicion_timeout_s: float = 1.5
    sync_interval_s: float = 5.0
    min_push_interval_s: float = 0.1
    min_correction_interval_s: float = 2.0
