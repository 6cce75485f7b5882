"""Document of the replicated state machine and the changes to it."""

import hashlib

import msgspec

from buckthorndeal.document import (
    Document,
    apply_splice,
    create_diff,
    create_document,
    create_splice,
)
from buckthorndeal.errors import DocumentError, ValidationError
from buckthorndeal.statemachine._messages import (
    ApplyChange,
    ChangeAccepted,
    ChangeAnswer,
    ChangeConflict,
    ChangeForbidden,
    ChangeInvalid,
    CreateDocument,
    HistoryEntry,
    RotateKey,
    StoredAnswer,
)

INITIAL_AUTHOR = "initial-document"
MAX_HISTORY_ENTRIES = 1_000
MAX_HISTORY_CHARS = 2_000_000
MAX_DIFF_CHARS = 20_000
# More than two days of answers at the expected 1,700 changes a day. A retry after its
# answer was evicted is not applied again, because its base revision is outdated.
MAX_ANSWERS = 4_096
MAX_ANSWER_DIFF_CHARS = 4_000


def compute_digest(*parts: object) -> str:
    """Return a digest that tells a retry from a change with other content."""
    return hashlib.sha256(msgspec.json.encode(parts)).hexdigest()


class DocumentState:
    """Document, the authors of its sections, its bounded history and the answers.

    Parameters
    ----------
    document : Document, optional
        Initial document; an empty one by default.
    authors : dict of str to str, optional
        Author of the latest change by section.
    history : list of HistoryEntry, optional
        Accepted changes, oldest first.
    answers : dict of str to StoredAnswer, optional
        Answers by change id, oldest first.
    """

    def __init__(
        self,
        document: Document | None = None,
        authors: dict[str, str] | None = None,
        history: list[HistoryEntry] | None = None,
        answers: dict[str, StoredAnswer] | None = None,
    ) -> None:
        self.document = document or create_document()
        self.authors = dict(authors or {})
        self.history = list(history or [])
        self.answers = dict(answers or {})
        self.parsed_chars = 0
        self._history_chars = sum(entry.count_chars() for entry in self.history)

    def create(self, command: CreateDocument) -> ChangeAnswer:
        """Set the initial content of an empty document."""
        if self.document.revision:
            return ChangeForbidden(reason="the document has content")
        try:
            self.document = create_document(command.sections)
        except ValidationError as error:
            return _create_invalid(error)
        self.authors = dict.fromkeys(self.document.sections, INITIAL_AUTHOR)
        return ChangeAccepted(
            section="", section_revision=1, revision=self.document.revision
        )

    def change(self, command: ApplyChange) -> ChangeAnswer:
        """Accept or refuse a change, or return the stored answer to its change id."""
        stored_answer = self.find_answer(command.change_id, command.digest)
        if stored_answer is not None:
            return stored_answer
        answer = self._evaluate_change(command)
        self._store_answer(command.change_id, command.digest, answer)
        return answer

    def rotate(self, command: RotateKey) -> ChangeAnswer:
        """Replace a key hash in the section `teams`, or return the stored answer."""
        digest = compute_rotation_digest(command.old_hash, command.new_hash)
        stored_answer = self.find_answer(command.change_id, digest)
        if stored_answer is not None:
            return stored_answer
        team = self.document.find_team(command.old_hash)
        if team is None:
            return ChangeForbidden(reason="the key is not valid")
        old = self.document.get_text("teams")
        new = old.replace(command.old_hash, command.new_hash)
        if new == old:
            answer = ChangeInvalid(
                section="teams", path="$", reason="the key hash is not in the text"
            )
        else:
            answer = self._accept("teams", old, new, team, command)
        self._store_answer(command.change_id, digest, answer)
        return answer

    def find_answer(self, change_id: str, digest: str) -> ChangeAnswer | None:
        """Return the stored answer, a refusal if the digest differs, or None."""
        stored = self.answers.get(change_id)
        if stored is None:
            return None
        if stored.digest == digest:
            return stored.answer
        return ChangeForbidden(reason="the change id was used with other content")

    def get_text_at(self, section: str, revision: int) -> str | None:
        """Return the text of a section at an earlier revision.

        The text is restored by undoing later changes. It is None if the history no
        longer contains all of them.
        """
        text = self.document.get_text(section)
        current = self.document.get_revision(section)
        for entry in reversed(self.history):
            if current == revision:
                break
            if entry.section == section:
                text = apply_splice(text, entry.undo)
                current = entry.section_revision - 1
        return text if current == revision else None

    def _evaluate_change(self, command: ApplyChange) -> ChangeAnswer:
        section = command.section
        if not self.document.is_owner(command.team, section):
            return ChangeForbidden(
                reason=f"team {command.team!r} does not own section {section!r}"
            )
        revision = self.document.get_revision(section)
        if command.base_revision > revision:
            return ChangeInvalid(
                section=section,
                path="$",
                reason=f"base revision {command.base_revision} does not exist",
            )
        if not command.base_revision == command.splice_revision == revision:
            return self._create_conflict(command, revision)
        old = self.document.get_text(section)
        try:
            new = apply_splice(old, command.splice)
        except DocumentError as error:
            return ChangeInvalid(section=section, path="$", reason=str(error))
        return self._accept(section, old, new, command.team, command)

    def _create_conflict(self, command: ApplyChange, revision: int) -> ChangeAnswer:
        section = command.section
        current = self.document.get_text(section)
        base = self.get_text_at(section, command.splice_revision)
        diff = ""
        if base is not None:
            proposed_text = apply_splice(base, command.splice)
            diff = create_diff(
                current, proposed_text, f"{section}@{revision}", "refused"
            )
        return ChangeConflict(
            section=section,
            winner_author=self.authors.get(section, ""),
            winner_revision=revision,
            diff=_truncate(diff, MAX_ANSWER_DIFF_CHARS),
        )

    def _accept(
        self,
        section: str,
        old: str,
        new: str,
        author: str,
        command: ApplyChange | RotateKey,
    ) -> ChangeAnswer:
        self.parsed_chars += len(new)
        try:
            document = self.document.replace_section(section, new)
        except ValidationError as error:
            return _create_invalid(error)
        self.document = document
        self.authors[section] = author
        revision = document.get_revision(section)
        revision_labels = (f"{section}@{revision - 1}", f"{section}@{revision}")
        self._append_to_history(
            HistoryEntry(
                revision=document.revision,
                section=section,
                section_revision=revision,
                author=author,
                change_id=command.change_id,
                time_s=command.time_s,
                diff=_truncate(create_diff(old, new, *revision_labels), MAX_DIFF_CHARS),
                splice=create_splice(old, new),
                undo=create_splice(new, old),
            )
        )
        return ChangeAccepted(
            section=section, section_revision=revision, revision=document.revision
        )

    def _append_to_history(self, entry: HistoryEntry) -> None:
        self.history.append(entry)
        self._history_chars += entry.count_chars()
        while len(self.history) > 1 and (
            len(self.history) > MAX_HISTORY_ENTRIES
            or self._history_chars > MAX_HISTORY_CHARS
        ):
            self._history_chars -= self.history.pop(0).count_chars()

    def _store_answer(self, change_id: str, digest: str, answer: ChangeAnswer) -> None:
        self.answers[change_id] = StoredAnswer(digest, answer)
        if len(self.answers) > MAX_ANSWERS:
            del self.answers[next(iter(self.answers))]


def compute_rotation_digest(old_hash: str, new_hash: str) -> str:
    """Return the digest of a key rotation."""
    return compute_digest("rotate-key", old_hash, new_hash)


def _truncate(text: str, limit: int) -> str:
    return text if len(text) <= limit else text[:limit] + "\n[truncated]\n"


def _create_invalid(error: ValidationError) -> ChangeInvalid:
    return ChangeInvalid(section=error.section, path=error.path, reason=error.reason)
