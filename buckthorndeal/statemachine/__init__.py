"""Replicated state machine of the control plane.

Its state is the document with its history, the answers to changes, leases, ledger
views, the configuration and the evacuations. It depends only on the applied commands:
times are taken from the commands, and no clock, file or random number is used.
"""

from functools import singledispatchmethod

import msgspec

from buckthorndeal.document import Document, create_splice, restore_document
from buckthorndeal.errors import DECODING_ERRORS
from buckthorndeal.ledger import LedgerView
from buckthorndeal.statemachine._document_state import (
    DocumentState,
    compute_digest,
    compute_rotation_digest,
)
from buckthorndeal.statemachine._messages import (
    Answer,
    ApplyChange,
    ChangeAccepted,
    ChangeAnswer,
    ChangeConflict,
    ChangeForbidden,
    ChangeInvalid,
    ChangeView,
    Command,
    CommandRefused,
    ConfigurationAnswer,
    CreateDocument,
    EvacuationAnswer,
    GrantLease,
    HistoryEntry,
    LeaseAnswer,
    LeaseState,
    PutConfiguration,
    ReleaseLease,
    RenewLease,
    RotateKey,
    SetEvacuation,
    Snapshot,
    ViewAnswer,
)
from buckthorndeal.statemachine._registers import (
    ConfigurationRegister,
    EvacuationSet,
    LeaseTable,
    ViewTable,
)

__all__ = [
    "Answer",
    "ApplyChange",
    "ChangeAccepted",
    "ChangeAnswer",
    "ChangeConflict",
    "ChangeForbidden",
    "ChangeInvalid",
    "ChangeView",
    "Command",
    "CommandRefused",
    "ConfigurationAnswer",
    "CreateDocument",
    "EvacuationAnswer",
    "GrantLease",
    "HistoryEntry",
    "LeaseAnswer",
    "LeaseState",
    "PutConfiguration",
    "ReleaseLease",
    "RenewLease",
    "RotateKey",
    "SetEvacuation",
    "StateMachine",
    "ViewAnswer",
    "create_statemachine",
    "decode_command",
    "encode_command",
]


def encode_command(command: Command) -> bytes:
    """Encode a command as the data of a log entry."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command | None:
    """Return the command in the data of a log entry; None if it is not valid."""
    try:
        return msgspec.msgpack.decode(data, type=Command)
    except DECODING_ERRORS:
        return None


class StateMachine:
    """Applies committed commands in log order."""

    def __init__(self) -> None:
        self.applied_index = 0
        self._document_state = DocumentState()
        self._leases = LeaseTable()
        self._views = ViewTable()
        self._configuration = ConfigurationRegister()
        self._evacuations = EvacuationSet()

    @property
    def document(self) -> Document:
        """Document after the last applied command."""
        return self._document_state.document

    @property
    def leases(self) -> dict[str, LeaseState]:
        """Leases by name."""
        return dict(self._leases.leases)

    @property
    def views(self) -> dict[str, LedgerView]:
        """Ledger views by region."""
        return dict(self._views.views)

    @property
    def configuration(self) -> PutConfiguration | None:
        """Configuration in force, or None if none has been put."""
        return self._configuration.stored

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains under evacuation."""
        return self._evacuations.evacuated

    @property
    def parsed_chars(self) -> int:
        """Number of characters of sections parsed since the start or last restore.

        It estimates the time to replay the commands after a restart, nearly all of
        which is spent on parsing.
        """
        return self._document_state.parsed_chars

    def get_lease(self, name: str) -> LeaseState:
        """Return a lease; one that was never granted has the fencing token 0."""
        return self._leases.get(name)

    def list_history(self, section: str | None, limit: int) -> list[HistoryEntry]:
        """Return the latest accepted changes of a section, or of all, newest first."""
        entries = [
            entry
            for entry in reversed(self._document_state.history)
            if section in (None, entry.section)
        ]
        return entries[:limit]

    def list_changes_after(self, revision: int) -> list[HistoryEntry] | None:
        """Return the changes after a document revision, oldest first.

        Returns
        -------
        list of HistoryEntry or None
            None if the history no longer contains the change after `revision`, or if
            the document has not reached `revision`.
        """
        current = self.document.revision
        if revision == current:
            return []
        history = self._document_state.history
        first = current - len(history) + 1
        if revision > current or revision + 1 < first:
            return None
        return history[revision + 1 - first :]

    def find_answer(self, change_id: str, digest: str) -> ChangeAnswer | None:
        """Return the stored answer to a change id, or None.

        If the change id was used with another digest, the answer is
        `ChangeForbidden`.
        """
        return self._document_state.find_answer(change_id, digest)

    def create_change(
        self,
        team: str,
        section: str,
        base_revision: int,
        change_id: str,
        text: str,
        time_s: float,
    ) -> ApplyChange:
        """Return the command for an operator's change.

        Parameters
        ----------
        team : str
            Authenticated team that makes the change.
        section : str
            Name of the section.
        base_revision : int
            Revision of the section that the change is based on.
        change_id : str
            Id chosen by the client; a retry uses the same id.
        text : str
            New text of the whole section.
        time_s : float
            Time of the change in seconds since the Unix epoch, for the history.
        """
        return ApplyChange(
            team=team,
            section=section,
            base_revision=base_revision,
            change_id=change_id,
            time_s=time_s,
            splice_revision=self.document.get_revision(section),
            splice=create_splice(self.document.get_text(section), text),
            digest=compute_digest(team, section, base_revision, text),
        )

    def accepts_rotation(self, command: RotateKey) -> bool:
        """Return whether the old key is valid or this is a retry of a rotation.

        A successful rotation invalidates the old key, so a retry is recognized by
        its change id and digest.
        """
        digest = compute_rotation_digest(command.old_hash, command.new_hash)
        stored = self._document_state.answers.get(command.change_id)
        if stored is not None and stored.digest == digest:
            return True
        return self.document.find_team(command.old_hash) is not None

    def apply(self, index: int, data: bytes) -> Answer | None:
        """Apply the log entry at `index` and return its answer.

        The answer is None if the entry has no data or was applied before.
        """
        if index <= self.applied_index:
            return None
        self.applied_index = index
        if not data:
            return None
        try:
            command = msgspec.msgpack.decode(data, type=Command)
        except DECODING_ERRORS as error:
            return CommandRefused(reason=str(error))
        return self._apply(command)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        sections = {
            name: (entry.text, entry.revision)
            for name, entry in self.document.sections.items()
        }
        state = Snapshot(
            applied_index=self.applied_index,
            revision=self.document.revision,
            sections=sections,
            authors=self._document_state.authors,
            history=self._document_state.history,
            answers=self._document_state.answers,
            leases=self._leases.leases,
            views=self._views.views,
            configuration=self._configuration.stored,
            evacuated=tuple(sorted(self._evacuations.evacuated)),
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the state by the one that `snapshot` returned as `data`."""
        state = msgspec.msgpack.decode(data, type=Snapshot)
        document = restore_document(state.revision, state.sections)
        self.applied_index = state.applied_index
        self._document_state = DocumentState(
            document, state.authors, state.history, state.answers
        )
        self._leases = LeaseTable(state.leases)
        self._views = ViewTable(state.views)
        self._configuration = ConfigurationRegister(state.configuration)
        self._evacuations = EvacuationSet(state.evacuated)

    @singledispatchmethod
    def _apply(self, command: Command) -> Answer:
        raise TypeError(f"unknown command {type(command).__name__}")

    @_apply.register
    def _(self, command: ApplyChange) -> Answer:
        return self._document_state.change(command)

    @_apply.register
    def _(self, command: CreateDocument) -> Answer:
        return self._document_state.create(command)

    @_apply.register
    def _(self, command: RotateKey) -> Answer:
        return self._document_state.rotate(command)

    @_apply.register
    def _(self, command: GrantLease) -> Answer:
        return self._leases.grant(command)

    @_apply.register
    def _(self, command: RenewLease) -> Answer:
        return self._leases.renew(command)

    @_apply.register
    def _(self, command: ReleaseLease) -> Answer:
        return self._leases.release(command)

    @_apply.register
    def _(self, command: ChangeView) -> Answer:
        return self._views.change(command)

    @_apply.register
    def _(self, command: PutConfiguration) -> Answer:
        return self._configuration.put(command)

    @_apply.register
    def _(self, command: SetEvacuation) -> Answer:
        return self._evacuations.set(command)


def create_statemachine() -> StateMachine:
    """Return an empty state machine."""
    return StateMachine()
