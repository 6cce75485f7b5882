"""Timeouts and limits of the ledger."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LedgerOptions:
    """Timeouts of the ledger in seconds, and its limit on claims.

    Parameters
    ----------
    backup_timeout_s : float
        Time without an acknowledgement after which the primary proposes a view
        without its backup.
    takeover_silence_s : float
        Time without a message from the primary after which the backup proposes to
        take over.
    lease_s : float
        Duration of the lease of the primary, counted from when it sent a message
        that the backup has acknowledged. It is shorter than `takeover_silence_s` to
        allow for clock drift.
    refuse_before_lease_end_s : float
        Time before the end of the lease at which pending claims are refused.
    max_handover_s : float
        Maximum time for which a primary that hands over grants no new claims.
    grant_timeout_s : float
        Maximum time for which a claim waits for its grant.
    proposal_retry_s, join_retry_s : float
        Interval between retries of a proposed view, and of a request to join.
    takeover_pending_s : float
        Time after its last proposal to take over for which a backup acknowledges
        nothing.
    join_timeout_s : float
        Time without an acknowledgement after which a joining replica is dropped.
    answer_retention_s : float
        Age at which entries are reduced to their fingerprints.
    expiry_interval_s : float
        Interval between searches for entries that have reached this age.
    max_pending : int
        Maximum number of claims that wait for a grant.
    """

    backup_timeout_s: float = 1.0
    takeover_silence_s: float = 2.5
    lease_s: float = 2.0
    refuse_before_lease_end_s: float = 0.3
    max_handover_s: float = 1.0
    grant_timeout_s: float = 5.0
    proposal_retry_s: float = 1.0
    join_retry_s: float = 1.0
    takeover_pending_s: float = 3.0
    join_timeout_s: float = 5.0
    answer_retention_s: float = 86_400.0
    expiry_interval_s: float = 60.0
    max_pending: int = 10_000
