"""Bodies of the operator HTTP API, shared by the daemon and the commands."""

import msgspec

from buckthorndeal.statemachine import LeaseState


class ChangeBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request: new text of a section, edited from revision `base_revision`."""

    base_revision: int
    change_id: str
    text: str


class DiffBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request: text to compare with the current text of a section."""

    text: str


class RotationBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request: hash of the key that replaces the key sent as bearer token."""

    change_id: str
    new_hash: str


class SectionBody(msgspec.Struct, kw_only=True):
    """Response: one section."""

    section: str
    revision: int
    document_revision: int
    text: str


class SectionSummary(msgspec.Struct, kw_only=True):
    """Name, revision and owning team of a section."""

    section: str
    revision: int
    owner: str


class DocumentBody(msgspec.Struct, kw_only=True):
    """Response: the sections of the document."""

    revision: int
    sections: list[SectionSummary]


class DiffAnswer(msgspec.Struct, kw_only=True):
    """Response: unified diff to the text; `invalid` is its validation error, if any."""

    section: str
    revision: int
    diff: str
    invalid: str = ""


class HistoryItem(msgspec.Struct, kw_only=True):
    """One accepted change, at `time_s` seconds since the Unix epoch."""

    revision: int
    section: str
    section_revision: int
    author: str
    change_id: str
    time_s: float
    diff: str


class HistoryBody(msgspec.Struct, kw_only=True):
    """Response: accepted changes, newest first."""

    entries: list[HistoryItem]


class HostStatus(msgspec.Struct, kw_only=True):
    """Reachability of a host and the document revision in force on it.

    `silent_s` is the time in seconds since the host last reported.
    """

    host: str
    kind: str
    revision: int
    reachable: bool
    silent_s: float = 0.0


class MemberBody(msgspec.Struct, kw_only=True):
    """A replica of the consensus log, as known to the leader.

    `standing` is ``voter``, ``learner`` or ``candidate`` (asks to join); `silent_s` is
    the time in seconds since the leader last received a message from it.
    """

    host: str
    incarnation: str
    standing: str
    silent_s: float


class ViewBody(msgspec.Struct, kw_only=True):
    """Ledger view (epoch, primary and backup) of a region."""

    region: str
    epoch: int
    primary: str | None
    backup: str | None


class StatusBody(msgspec.Struct, kw_only=True):
    """Response: state of a control host and what it knows about the cluster."""

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
    """Error of the API; `leader` is the host to send the request to, if known."""

    code: str
    message: str
    verdict: str = "not_run"
    retry_after_s: float | None = None
    leader: str | None = None


class ApiErrorBody(msgspec.Struct, kw_only=True):
    """Body of an error response."""

    error: ApiError
