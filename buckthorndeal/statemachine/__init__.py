"""Replicated control state: document, answers, leases and ledger views.

The state depends only on the applied commands. Times are read from the commands,
and no clock, file or random number is used.
"""

from functools import singledispatchmethod

import msgspec

from buckthorndeal.document import Document, create_splice, restore_document
from buckthorndeal.ledger import LedgerView
from buckthorndeal.statemachine._changes import (
    ChangeTable,
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
    "encode_command",
]


def encode_command(command: Command) -> bytes:
    """Return a command as data of a log entry."""
    return msgspec.msgpack.encode(command)


class StateMachine:
    """Applies committed commands in log order."""

    def __init__(self) -> None:
        self.applied_index = 0
        self._changes = ChangeTable()
        self._leases = LeaseTable()
        self._views = ViewTable()
        self._configuration = ConfigurationRegister()
        self._evacuations = EvacuationSet()

    @property
    def document(self) -> Document:
        """Document after the last applied command."""
        return self._changes.document

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
        """Configuration in force; None before the first one."""
        return self._configuration.stored

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains that are evacuated."""
        return self._evacuations.evacuated

    @property
    def parsed_chars(self) -> int:
        """Characters of sections parsed since the start or the last restore.

        Parsing is nearly all of the time that applying the same commands again
        takes after a restart.
        """
        return self._changes.parsed_chars

    def get_lease(self, name: str) -> LeaseState:
        """Return a lease; one that was never granted has fencing number 0."""
        return self._leases.get(name)

    def list_history(self, section: str | None, limit: int) -> list[HistoryEntry]:
        """Return the newest accepted changes, newest first."""
        entries = [
            entry
            for entry in reversed(self._changes.history)
            if section in (None, entry.section)
        ]
        return entries[:limit]

    def list_changes_after(self, revision: int) -> list[HistoryEntry] | None:
        """Return the changes that follow a document revision, oldest first.

        None means that history no longer reaches back to `revision`, or that the
        revision does not exist here.
        """
        current = self.document.revision
        if revision == current:
            return []
        history = self._changes.history
        first = current - len(history) + 1
        if revision > current or revision + 1 < first:
            return None
        return history[revision + 1 - first :]

    def find_answer(self, change_id: str, digest: str) -> ChangeAnswer | None:
        """Return the recorded answer to a change id, or None."""
        return self._changes.find_answer(change_id, digest)

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
            Team whose key was checked.
        base_revision : int
            Section revision that the operator edited.
        text : str
            New text of the whole section.
        time_s : float
            Seconds since the Unix epoch, for the history.
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
        """Return whether the old key is valid, or this rotation was answered."""
        digest = compute_rotation_digest(command.old_hash, command.new_hash)
        stored = self._changes.answers.get(command.change_id)
        if stored is not None and stored.digest == digest:
            return True
        return self.document.find_team(command.old_hash) is not None

    def apply(self, index: int, data: bytes) -> Answer | None:
        """Apply the log entry at `index` and return its answer.

        An entry without data and an entry that was applied before return None.
        """
        if index <= self.applied_index:
            return None
        self.applied_index = index
        if not data:
            return None
        try:
            command = msgspec.msgpack.decode(data, type=Command)
        except msgspec.MsgspecError as error:
            return CommandRefused(reason=str(error))
        return self._apply(command)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        sections = {
            name: (entry.text, entry.revision)
            for name, entry in self.document.sections.items()
        }
        state = Snapshot(
            applied_index=self.applied_index,
            revision=self.document.revision,
            sections=sections,
            authors=self._changes.authors,
            history=self._changes.history,
            answers=self._changes.answers,
            leases=self._leases.leases,
            views=self._views.views,
            configuration=self._configuration.stored,
            evacuated=tuple(sorted(self._evacuations.evacuated)),
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
        state = msgspec.msgpack.decode(data, type=Snapshot)
        document = restore_document(state.revision, state.sections)
        self.applied_index = state.applied_index
        self._changes = ChangeTable(
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
        return self._changes.change(command)

    @_apply.register
    def _(self, command: CreateDocument) -> Answer:
        return self._changes.create(command)

    @_apply.register
    def _(self, command: RotateKey) -> Answer:
        return self._changes.rotate(command)

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
