"""Requests to the replica task with their replies, and the notice that it sends."""

from dataclasses import dataclass

from buckthorndeal.control._models import MemberBody
from buckthorndeal.document import Document
from buckthorndeal.ledger import LedgerView
from buckthorndeal.statemachine import HistoryEntry, LeaseState


@dataclass(frozen=True)
class ChangeRequest:
    """Request: change a section; the reply comes once the change is committed.

    `key_hash` is the hash of the team's key. `base_revision` is the section revision
    that was edited. A resend of the same change and id gets the same reply.
    """

    key_hash: str
    section: str
    base_revision: int
    change_id: str
    text: str


@dataclass(frozen=True)
class RotationRequest:
    """Request: replace a key; the reply comes once the rotation is committed."""

    change_id: str
    old_hash: str
    new_hash: str


@dataclass(frozen=True)
class AcquireLease:
    """Request: grant or renew a lease; the reply is a `LeaseAnswer`."""

    name: str
    holder: str


@dataclass(frozen=True)
class RelinquishLease:
    """Request: release a lease before it expires; `fencing` is its fencing token."""

    name: str
    holder: str
    fencing: int


@dataclass(frozen=True)
class ReadState:
    """Request: read the state of this host; the reply is a `ControlState`.

    With `confirmed` it fails unless this host is a leader with a valid lease.
    """

    confirmed: bool = False


@dataclass(frozen=True)
class ReadHistory:
    """Request: list at most `limit` accepted changes, newest first.

    With `section` None, the changes of all sections are listed.
    """

    section: str | None
    limit: int


@dataclass(frozen=True)
class ReadChanges:
    """Request: list changes after a document revision; see `ChangeList`."""

    revision: int


@dataclass(frozen=True)
class ControlState:
    """Reply to `ReadState`; `is_confirmed` is whether the host has a leader lease."""

    role: str
    leader: str | None
    term: int
    is_confirmed: bool
    document: Document
    leases: dict[str, LeaseState]
    views: dict[str, LedgerView]
    members: list[MemberBody]


@dataclass(frozen=True)
class ChangeList:
    """Reply to `ReadChanges`.

    `entries` is None if the history does not reach back to the revision.
    """

    document: Document
    entries: list[HistoryEntry] | None


@dataclass(frozen=True)
class DocumentChanged:
    """Notice to the subscription task: this host has applied a newer document."""
