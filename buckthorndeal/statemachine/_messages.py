"""Commands of the state machine, their answers and the records of a snapshot."""

import msgspec

from buckthorndeal.document import Splice
from buckthorndeal.ledger import LedgerView


class ApplyChange(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Change of one section by an authenticated team.

    `splice` applies to revision `splice_revision` of the section. The digest covers
    the team, the section, the base revision and the new text; a command with the same
    change id and digest is a retry.
    """

    team: str
    section: str
    base_revision: int
    change_id: str
    time_s: float
    splice_revision: int
    splice: Splice
    digest: str


class CreateDocument(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Initial content of the document; refused if the document has content."""

    time_s: float
    sections: dict[str, str]


class RotateKey(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Replacement of a team's key by a new one, requested with the old key."""

    change_id: str
    time_s: float
    old_hash: str
    new_hash: str


class GrantLease(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Grant of a lease, decided by the lease granter of the leader.

    `expected_version` is the version of the lease that the granter found to be free.
    The command is refused if a renewal was committed in between, because that changes
    the version.
    """

    name: str
    holder: str
    duration_s: float
    expected_version: int


class RenewLease(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Renewal of a lease by its holder."""

    name: str
    holder: str
    fencing: int


class ReleaseLease(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Release of a lease by its holder before it expires."""

    name: str
    holder: str
    fencing: int


class ChangeView(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Replacement of a region's ledger view.

    `base` is the epoch of the view that is replaced, 0 if there is none.
    """

    region: str
    base: int
    requester: str
    view: LedgerView


class PutConfiguration(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Configuration of an external operator; the highest version is in force.

    `content` is the operator's text in compressed form, already validated.
    """

    version: int
    content: bytes


class SetEvacuation(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Start or end of the evacuation of a failure domain."""

    failure_domain: str
    active: bool


Command = (
    ApplyChange
    | CreateDocument
    | RotateKey
    | GrantLease
    | RenewLease
    | ReleaseLease
    | ChangeView
    | PutConfiguration
    | SetEvacuation
)


class ChangeAccepted(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The change was applied to the document."""

    section: str
    section_revision: int
    revision: int


class ChangeConflict(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """A change to the same section was accepted after the base revision."""

    section: str
    winner_author: str
    winner_revision: int
    diff: str


class ChangeInvalid(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The change is malformed or would make the document invalid."""

    section: str
    path: str
    reason: str


class ChangeForbidden(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The change is not permitted, or its change id was used with other content."""

    reason: str


class LeaseState(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """State of a lease; `version` counts its grants, renewals and releases."""

    name: str
    holder: str | None
    fencing: int
    duration_s: float
    version: int


class LeaseAnswer(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Result of a lease command and the lease after it."""

    granted: bool
    lease: LeaseState


class ViewAnswer(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Result of `ChangeView` and the view after it (epoch 0 if there is none)."""

    accepted: bool
    view: LedgerView


class ConfigurationAnswer(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Version in force after `PutConfiguration`, and whether the command set it."""

    version: int
    changed: bool


class EvacuationAnswer(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Failure domains under evacuation after `SetEvacuation`."""

    evacuated: tuple[str, ...]


class CommandRefused(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The command could not be decoded."""

    reason: str


ChangeAnswer = ChangeAccepted | ChangeConflict | ChangeInvalid | ChangeForbidden
Answer = (
    ChangeAnswer
    | LeaseAnswer
    | ViewAnswer
    | ConfigurationAnswer
    | EvacuationAnswer
    | CommandRefused
)


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted change; `undo` is the splice that restores the previous text."""

    revision: int
    section: str
    section_revision: int
    author: str
    change_id: str
    time_s: float
    diff: str
    splice: Splice
    undo: Splice

    def count_chars(self) -> int:
        """Return the number of characters in the diff and the splices."""
        return len(self.diff) + len(self.splice.replacement + self.undo.replacement)


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to the first change with a change id, and the digest of that change."""

    digest: str
    answer: ChangeAnswer


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Complete state of the state machine, as encoded in a snapshot."""

    applied_index: int
    revision: int
    sections: dict[str, tuple[str, int]]
    authors: dict[str, str]
    history: list[HistoryEntry]
    answers: dict[str, StoredAnswer]
    leases: dict[str, LeaseState]
    views: dict[str, LedgerView]
    configuration: PutConfiguration | None = None
    evacuated: tuple[str, ...] = ()
