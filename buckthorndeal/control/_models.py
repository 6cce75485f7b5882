"""Bodies of the operator HTTP API, shared by the daemon and the commands."""

import msgspec

from buckthorndeal.statemachine import LeaseState


class ChangeBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request: new text of a section, based on a section revision."""

    base_revision: int
    change_id: str
    text: str


class DiffBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request: text to compare with the section."""

    text: str


class RotationBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request: hash of the key that replaces the one that signs the request."""

    change_id: str
    new_hash: str


class SectionBody(msgspec.Struct, kw_only=True):
    """Answer: one section."""

    section: str
    revision: int
    document_revision: int
    text: str


class SectionSummary(msgspec.Struct, kw_only=True):
    """One section in the list of sections."""

    section: str
    revision: int
    owner: str


class DocumentBody(msgspec.Struct, kw_only=True):
    """Answer: the sections of the document."""

    revision: int
    sections: list[SectionSummary]


class DiffAnswer(msgspec.Struct, kw_only=True):
    """Answer: unified diff from the section to the text, and why it is invalid."""

    section: str
    revision: int
    diff: str
    invalid: str = ""


class HistoryItem(msgspec.Struct, kw_only=True):
    """One accepted change."""

    revision: int
    section: str
    section_revision: int
    author: str
    change_id: str
    time_s: float
    diff: str


class HistoryBody(msgspec.Struct, kw_only=True):
    """Answer: accepted changes, newest first."""

    entries: list[HistoryItem]


class HostStatus(msgspec.Struct, kw_only=True):
    """A host and the document revision in force on it."""

    host: str
    kind: str
    revision: int
    reachable: bool
    silent_s: float = 0.0


class MemberBody(msgspec.Struct, kw_only=True):
    """A replica of the log, as the leader sees it."""

    host: str
    incarnation: str
    standing: str
    silent_s: float


class ViewBody(msgspec.Struct, kw_only=True):
    """Ledger view of a region."""

    region: str
    epoch: int
    primary: str | None
    backup: str | None


class StatusBody(msgspec.Struct, kw_only=True):
    """Answer: state of one control host and of what it knows of others."""

    host: str
    role: str
    leader: str | None
    term: int
    revision: int
    hosts: list[HostStatus]
    members: list[MemberBody]
    leases: list[LeaseState]
    views: list[ViewBody]


class ApiError(msgspec.Struct, kw_only=True):
    """Error of the API; `leader` names the host to ask instead, if known."""

    code: str
    message: str
    verdict: str = "not_run"
    retry_after_s: float | None = None
    leader: str | None = None


class ApiErrorBody(msgspec.Struct, kw_only=True):
    """Body of a failure response."""

    error: ApiError
