"""Times and limits of the ledger."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LedgerOptions:
    """Times of the ledger in seconds.

    Parameters
    ----------
    backup_timeout_s : float
        Wait for an acknowledgement before a view without the backup is asked for.
    takeover_silence_s : float
        Silence of the primary before the backup asks to take over.
    lease_s : float
        Time after sending an acknowledged message in which the primary is sure to
        be the owner. It is shorter than the silence by the drift of the clocks.
    refuse_before_s : float
        How long before the end of the lease waiting claims are refused.
    handover_s : float
        Longest time in which a primary that hands over grants nothing new.
    grant_timeout_s : float
        Longest wait of a claim.
    ask_retry_s, join_retry_s : float
        Time between repetitions.
    resume_s : float
        Time after its last request to take over in which a backup acknowledges
        nothing.
    join_timeout_s : float
        Silence after which a joining replica is given up.
    answer_retention_s : float
        Age at which entries are reduced to their fingerprint.
    expire_every_s : float
        Time between searches for old entries.
    max_pending : int
        Claims that wait at once.
    """

    backup_timeout_s: float = 1.0
    takeover_silence_s: float = 2.5
    lease_s: float = 2.0
    refuse_before_s: float = 0.3
    handover_s: float = 1.0
    grant_timeout_s: float = 5.0
    ask_retry_s: float = 1.0
    join_retry_s: float = 1.0
    resume_s: float = 3.0
    join_timeout_s: float = 5.0
    answer_retention_s: float = 86_400.0
    expire_every_s: float = 60.0
    max_pending: int = 10_000
