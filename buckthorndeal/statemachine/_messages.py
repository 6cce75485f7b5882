"""Commands of the replicated log, their answers and the stored records."""

import msgspec

from buckthorndeal.document import Splice
from buckthorndeal.ledger import LedgerView


class ApplyChange(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Change of one section by an authenticated team.

    `splice` is made against revision `splice_revision` of the section. The digest
    covers team, section, base revision and new text, and recognizes a resend.
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
    """First content of the document; ignored once the document has content."""

    time_s: float
    sections: dict[str, str]


class RotateKey(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Replacement of one key of a team by another, made by its holder."""

    change_id: str
    time_s: float
    old_hash: str
    new_hash: str


class GrantLease(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Grant of a lease, decided by the leader's granter.

    `expected_version` is the version of the lease that the granter judged to have
    ended. A renewal committed in between changes the version.
    """

    name: str
    holder: str
    duration_s: float
    expected_version: int


class RenewLease(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Renewal by the current holder."""

    name: str
    holder: str
    fencing: int


class ReleaseLease(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Early end of a lease by its holder, who has stopped using it."""

    name: str
    holder: str
    fencing: int


class ChangeView(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Replacement of the ledger view of epoch `base` (0 for none) in a region."""

    region: str
    base: int
    requester: str
    view: LedgerView


class PutConfiguration(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Configuration of an outside operator; the highest version is in force.

    `content` is compressed, as the operator wrote it, and was validated before.
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
    """The change is part of the document."""

    section: str
    section_revision: int
    revision: int


class ChangeConflict(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Another change on the base revision was accepted first."""

    section: str
    winner_author: str
    winner_revision: int
    diff: str


class ChangeInvalid(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The change would leave the document invalid."""

    section: str
    path: str
    reason: str


class ChangeForbidden(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The team may not make the change, or the change id has other content."""

    reason: str


class LeaseState(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """A lease; `version` counts its grants, renewals and releases."""

    name: str
    holder: str | None
    fencing: int
    duration_s: float
    version: int


class LeaseAnswer(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Outcome of a lease command and the lease after it."""

    granted: bool
    lease: LeaseState


class ViewAnswer(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Outcome of `ChangeView` and the view after it (epoch 0 if there is none)."""

    accepted: bool
    view: LedgerView


class ConfigurationAnswer(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Version in force after `PutConfiguration`; `changed` if it was this one."""

    version: int
    changed: bool


class EvacuationAnswer(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Failure domains that are evacuated after `SetEvacuation`."""

    evacuated: tuple[str, ...]


class CommandRefused(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The command could not be read."""

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
    """An accepted change; `undo` makes the previous text from the new one."""

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
        """Return the number of characters that the entry keeps."""
        return len(self.diff) + len(self.splice.replacement + self.undo.replacement)


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """First answer to a change id, with the digest of the change."""

    digest: str
    answer: ChangeAnswer


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Whole state, as stored in a snapshot."""

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
