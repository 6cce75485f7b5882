"""Messages to the owner task of the replica, and its views of the state."""

from dataclasses import dataclass

from buckthorndeal.control._models import MemberBody
from buckthorndeal.document import Document
from buckthorndeal.ledger import LedgerView
from buckthorndeal.statemachine import HistoryEntry, LeaseState


@dataclass(frozen=True)
class ChangeRequest:
    """Ask: change a section; answered once the change is committed."""

    key_hash: str
    section: str
    base_revision: int
    change_id: str
    text: str


@dataclass(frozen=True)
class RotationRequest:
    """Ask: replace a key; answered once the rotation is committed."""

    change_id: str
    old_hash: str
    new_hash: str


@dataclass(frozen=True)
class LeaseAsk:
    """Ask: grant or renew a lease; the answer is a `LeaseAnswer`."""

    name: str
    holder: str


@dataclass(frozen=True)
class LeaseEnd:
    """Ask: end a lease early."""

    name: str
    holder: str
    fencing: int


@dataclass(frozen=True)
class ReadState:
    """Ask: state of this host; `confirmed` requires the leader's lease."""

    confirmed: bool = False


@dataclass(frozen=True)
class ReadHistory:
    """Ask: accepted changes, newest first."""

    section: str | None
    limit: int


@dataclass(frozen=True)
class ReadChanges:
    """Ask: accepted changes after a revision; None if history is too short."""

    revision: int


@dataclass(frozen=True)
class ControlState:
    """Answer to `ReadState`."""

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
    """Answer to `ReadChanges`."""

    document: Document
    entries: list[HistoryEntry] | None


@dataclass(frozen=True)
class DocumentChanged:
    """Notice to the subscription task: a newer document is in force."""
