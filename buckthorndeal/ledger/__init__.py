"""Ledger of at-most-once claims on idempotency keys, replicated within a region.

Each region has a primary and at most one backup, which are named by a view with an
epoch (primary-backup replication). `Ledger` has no I/O; `LedgerService` runs it. The
service passes messages and the time to the ledger and executes the effects that it
returns: it syncs the records of a `Persist` and answers with `Persisted`, sends each
`SendTo` and `ProposeView`, and delivers the replies. Entries hold hashes and answers,
never request bodies, and are only sent to hosts of the same region.
"""

import hashlib
import random
from collections.abc import Callable

from buckthorndeal.ledger._claims import Ledger
from buckthorndeal.ledger._messages import (
    LEDGER_MESSAGES,
    Abandon,
    AnswerRecorded,
    Claim,
    ClaimReply,
    ClaimsCopied,
    CopyClaims,
    CopyRefused,
    Effect,
    FetchClaims,
    Grant,
    HandOver,
    HostLost,
    MarkDispatched,
    Outcome,
    Persist,
    Persisted,
    ProposeView,
    RecordAnswer,
    Release,
    SendTo,
    ViewLearned,
    get_replica_host,
    is_view_change_allowed,
)
from buckthorndeal.ledger._options import LedgerOptions
from buckthorndeal.ledger._service import LedgerService, create_ledger_service
from buckthorndeal.ledger.claims import FINGERPRINT_BYTES, ClaimSnapshot, LedgerView

__all__ = [
    "LEDGER_MESSAGES",
    "Abandon",
    "AnswerRecorded",
    "Claim",
    "ClaimReply",
    "ClaimsCopied",
    "CopyClaims",
    "CopyRefused",
    "Effect",
    "FetchClaims",
    "Grant",
    "HandOver",
    "HostLost",
    "Ledger",
    "LedgerOptions",
    "LedgerService",
    "LedgerView",
    "MarkDispatched",
    "Outcome",
    "Persist",
    "Persisted",
    "ProposeView",
    "RecordAnswer",
    "Release",
    "SendTo",
    "ViewLearned",
    "compute_digest",
    "compute_fingerprint",
    "create_ledger",
    "create_ledger_service",
    "get_replica_host",
    "is_view_change_allowed",
]


def compute_fingerprint(workspace: str, key: str) -> bytes:
    """Return the fingerprint of an idempotency key, which is scoped to a workspace."""
    workspace_bytes = workspace.encode()
    length = len(workspace_bytes).to_bytes(4, "big")
    data = length + workspace_bytes + key.encode()
    return hashlib.sha256(data).digest()[:FINGERPRINT_BYTES]


def compute_digest(method: str, target: str, body: bytes) -> bytes:
    """Return the digest of a request; a resend with another digest is refused."""
    head = f"{method} {target}\n".encode()
    return hashlib.sha256(head + body).digest()


def create_ledger(
    host: str,
    store_identity: str,
    region: str,
    get_region: Callable[[str], str | None],
    snapshot: ClaimSnapshot,
    rng: random.Random,
    now_s: float,
    wall_s: float,
    options: LedgerOptions | None = None,
) -> Ledger:
    """Return the ledger of one host.

    Parameters
    ----------
    host : str
        Name of this host.
    store_identity : str
        Identity of its claim store, which is new when the store is created.
    region : str
        Region of this host.
    get_region : callable
        Returns the region of a host, or None if it is unknown.
    snapshot : ClaimSnapshot
        Content of the store; the ledger modifies it.
    rng : random.Random
        Source of batch numbers and handover tokens.
    now_s : float
        Monotonic time in seconds.
    wall_s : float
        Wall-clock time at `now_s`, in seconds since the Unix epoch.
    options : LedgerOptions or None
        Timeouts and limits; the defaults if None.
    """
    return Ledger(
        f"{host}#{store_identity}",
        region,
        get_region,
        snapshot,
        rng,
        now_s,
        wall_s - now_s,
        options or LedgerOptions(),
    )
