"""Messages of the claim ledger among hosts and with the service that runs it."""

import enum
from dataclasses import dataclass

from buckthorndeal.ledger._claim_records import ClaimEntry, LedgerView, Record
from buckthorndeal.wire import Message


class CopyClaims(Message):
    """Copies entries from the primary; without entries it is a heartbeat.

    `fingerprints` holds the fingerprints of expired keys, concatenated.
    """

    view: LedgerView
    sender: str
    batch: int
    entries: tuple[ClaimEntry, ...] = ()
    fingerprints: bytes = b""


class ClaimsCopied(Message):
    """Acknowledges a batch, which is synced at the sender.

    `confirms` extends the lease of the primary. It is false if the sender has proposed
    a view of its own, so that the primary may have been replaced.
    """

    sender: str
    batch: int
    confirms: bool = True


class CopyRefused(Message):
    """Refuses a batch: the receiver knows a newer view or may be taking over."""

    view: LedgerView


class FetchClaims(Message):
    """Asks the primary for its entries, so that the sender can become the backup."""

    sender: str


class OfferHandover(Message):
    """Offers the role of a stopping primary to its backup, which has all entries."""

    view: LedgerView
    sender: str


class HandoverAccepted(Message):
    """Accepts the offer; `token` is valid for one takeover."""

    view: LedgerView
    sender: str
    token: int


class TakeOver(Message):
    """Asks the backup to take over at once; the primary has given up its lease.

    The token becomes invalid when the backup receives another `CopyClaims`. Otherwise
    a delayed message of a former process of the primary could replace the present
    process while it holds a lease.
    """

    view: LedgerView
    sender: str
    token: int


LEDGER_MESSAGES = (
    CopyClaims,
    ClaimsCopied,
    CopyRefused,
    FetchClaims,
    OfferHandover,
    HandoverAccepted,
    TakeOver,
)


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to dispatch the request of one claim; see `ClaimEntry`."""

    fingerprint: bytes
    epoch: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Claims a key for a request.

    Parameters
    ----------
    ticket : int
        Number chosen by the caller, which the `ClaimReply` repeats.
    fingerprint : bytes
        First 16 bytes of the SHA-256 hash of workspace and key.
    digest : bytes
        Digest of the request; see `compute_digest`.
    request_id : str
        Id of the request.
    deadline_s : float
        Monotonic time in seconds by which a reply is due.
    """

    ticket: int
    fingerprint: bytes
    digest: bytes
    request_id: str
    deadline_s: float


@dataclass(frozen=True, slots=True)
class MarkDispatched:
    """The holder of a grant is about to write the request to a socket."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class Release:
    """The holder of a grant has not dispatched the request and will not."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class Abandon:
    """The holder of a grant has dispatched the request and will not get an answer."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class RecordAnswer:
    """Records the answer to a dispatched request.

    `ticket` is chosen by the caller; the `AnswerRecorded` repeats it.
    """

    ticket: int
    grant: Grant
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ViewLearned:
    """The control hosts hold this view; its epoch is 0 if there is none yet."""

    view: LedgerView


@dataclass(frozen=True, slots=True)
class HostLost:
    """The membership protocol has declared a host dead, or the host has left."""

    host: str


@dataclass(frozen=True, slots=True)
class HandOver:
    """The host is about to stop; if it is the primary, its backup should take over."""


@dataclass(frozen=True, slots=True)
class Persisted:
    """The records of a `Persist` have been synced."""

    batch: int


class Outcome(enum.Enum):
    """Outcome of a claim.

    ``ANSWERED`` comes with the recorded answer of an earlier request with the key.
    ``KEY_REUSED`` means that the key was claimed for a request with another digest.
    ``NOT_OWNER`` means that this replica is not the primary, or is handing over.
    """

    GRANTED = "granted"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    KEY_REUSED = "key_reused"
    NOT_OWNER = "not_owner"


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a `Claim`.

    Parameters
    ----------
    ticket : int
        Ticket of the `Claim`.
    outcome : Outcome
        ``NOT_OWNER`` tells nothing about the key; the caller has to ask `primary`.
    grant : Grant or None
        Permission to dispatch, for ``GRANTED``.
    status, body : int, bytes
        Recorded answer, for ``ANSWERED``.
    primary : str or None
        Primary of the view, for ``NOT_OWNER``.
    """

    ticket: int
    outcome: Outcome
    grant: Grant | None = None
    status: int = 0
    body: bytes = b""
    primary: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerRecorded:
    """Reply to a `RecordAnswer`.

    `stored` is false if this replica is not the primary, or if the grant is unknown
    or was released. `primary` is then the primary of the view.
    """

    ticket: int
    stored: bool
    primary: str | None = None


@dataclass(frozen=True, slots=True)
class Persist:
    """Effect: append and sync a batch of records, and confirm it with `Persisted`.

    The next batch is only returned after the confirmation.
    """

    batch: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class SendTo:
    """Effect: send a message to another host of the region."""

    host: str
    message: Message


@dataclass(frozen=True, slots=True)
class ProposeView:
    """Effect: propose to the control hosts to replace the view of epoch `base`.

    `requester` is the name of the proposing replica.
    """

    base: int
    requester: str
    view: LedgerView


Effect = ClaimReply | AnswerRecorded | Persist | SendTo | ProposeView


def get_replica_host(replica: str) -> str:
    """Return the host in the name of a replica, ``<host>#<store identity>``."""
    return replica.partition("#")[0]


def is_view_change_allowed(current: LedgerView, proposal: ProposeView) -> bool:
    """Return whether the control hosts may accept a proposed view.

    A proposal must come from a member of the current view, which becomes the primary
    of the next one. A backup that takes over must propose a view without a backup.
    Any replica may propose the first view.
    """
    proposed = proposal.view
    if proposal.base != current.epoch or proposed.epoch != current.epoch + 1:
        return False
    if proposed.primary != proposal.requester or proposed.backup == proposal.requester:
        return False
    if proposal.requester == current.primary:
        return True
    is_takeover = current.epoch == 0 or proposal.requester == current.backup
    return is_takeover and proposed.backup is None
