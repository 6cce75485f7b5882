"""Messages of the claim ledger: between hosts, and with its owner task."""

import enum
from dataclasses import dataclass

from buckthorndeal.ledger._claim_records import ClaimEntry, LedgerView, Record
from buckthorndeal.wire import Message


class CopyClaims(Message):
    """Entries from the primary; without entries it is a heartbeat.

    `fingerprints` are concatenated fingerprints of expired keys.
    """

    view: LedgerView
    sender: str
    batch: int
    entries: tuple[ClaimEntry, ...] = ()
    fingerprints: bytes = b""


class ClaimsCopied(Message):
    """The entries of a batch are synced at the sender.

    `confirms` tells that the sender has not asked to take over, so that the
    primary was the owner when it sent the batch.
    """

    sender: str
    batch: int
    confirms: bool = True


class CopyRefused(Message):
    """The receiver knows a newer view, or has asked to take over."""

    view: LedgerView


class FetchClaims(Message):
    """Asks the primary for its entries, in order to become the backup."""

    sender: str


class OfferHandover(Message):
    """The primary is about to stop and its backup has everything."""

    view: LedgerView
    sender: str


class HandoverAccepted(Message):
    """The backup is ready to take over; `token` is good for one attempt."""

    view: LedgerView
    sender: str
    token: int


class TakeOver(Message):
    """Asks the backup to take over at once; the primary has given up its lease.

    The token is void once the backup receives another `CopyClaims`. A late message
    of a former process of the primary therefore has no effect on the lease of the
    present one.
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
    """The right to dispatch once; it names one attempt of one key."""

    fingerprint: bytes
    epoch: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Asks to run the request with a key.

    Parameters
    ----------
    ticket : int
        Number of the caller's choice; the `ClaimReply` carries it.
    fingerprint : bytes
        First 16 bytes of a hash of workspace and key.
    digest : bytes
        Hash of the request body.
    request_id : str
        Request that will hold the claim.
    deadline_s : float
        Monotonic time by which there must be a reply.
    """

    ticket: int
    fingerprint: bytes
    digest: bytes
    request_id: str
    deadline_s: float


@dataclass(frozen=True, slots=True)
class MarkDispatched:
    """The holder is about to hand the request to the kernel."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class Release:
    """The holder did not dispatch and never will."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class Abandon:
    """The holder dispatched and will not learn the answer."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class RecordAnswer:
    """The answer to the dispatched request."""

    ticket: int
    grant: Grant
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ViewLearned:
    """The view that the control state holds now; epoch 0 if there is none yet."""

    view: LedgerView


@dataclass(frozen=True, slots=True)
class HostLost:
    """Membership holds a host for dead or left."""

    host: str


@dataclass(frozen=True, slots=True)
class HandOver:
    """Tells that the host stops soon; the backup has to take over if it leads."""


@dataclass(frozen=True, slots=True)
class Persisted:
    """The records of a `Persist` are synced."""

    batch: int


class Outcome(enum.Enum):
    """Reply to a claim."""

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
    outcome : Outcome
        ``NOT_OWNER`` says nothing of the key: the caller asks `primary`.
    grant : Grant or None
        For ``GRANTED``.
    status, body : int, bytes
        For ``ANSWERED``.
    primary : str or None
        Replica that leads the view, for ``NOT_OWNER``.
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

    `stored` is false if another replica leads the view, or the grant is unknown.
    """

    ticket: int
    stored: bool
    primary: str | None = None


@dataclass(frozen=True, slots=True)
class Persist:
    """Records to append and sync, answered by `Persisted`; one at a time."""

    batch: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class SendTo:
    """A message for another host of the region."""

    host: str
    message: Message


@dataclass(frozen=True, slots=True)
class ProposeView:
    """A request to the control state to replace the view of epoch `base`."""

    base: int
    requester: str
    view: LedgerView


Effect = ClaimReply | AnswerRecorded | Persist | SendTo | ProposeView


def get_replica_host(replica: str) -> str:
    """Return the host of a replica."""
    return replica.partition("#")[0]


def is_view_change_allowed(current: LedgerView, ask: ProposeView) -> bool:
    """Return whether the control state may accept `ask`.

    A view is only replaced by one of its members that leads the next one. The
    backup takes over alone. Whoever asks first creates the first view.
    """
    proposed = ask.view
    if ask.base != current.epoch or proposed.epoch != current.epoch + 1:
        return False
    if proposed.primary != ask.requester or proposed.backup == ask.requester:
        return False
    if ask.requester == current.primary:
        return True
    is_takeover = current.epoch == 0 or ask.requester == current.backup
    return is_takeover and proposed.backup is None
