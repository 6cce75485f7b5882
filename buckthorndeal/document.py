"""The operating document: configuration that operator teams change at run time.

The document is divided into sections. Each is kept as the text that a team wrote,
with its revision and its validated model.
"""

import difflib
import re
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from buckthorndeal.errors import DocumentError, ValidationError
from buckthorndeal.sections import (
    AccountsSection,
    PlatformSection,
    Section,
    SupportSection,
    TeamsSection,
    parse_section,
)

__all__ = [
    "Document",
    "SectionText",
    "Splice",
    "apply_splice",
    "create_diff",
    "create_document",
    "create_splice",
    "restore_document",
]

SECTION_NAME = re.compile(r"[a-z][a-z0-9_-]{0,62}")
MAX_SECTION_CHARS = 1_000_000
# The whole document fits into one frame of the peer protocol even if every
# character takes four bytes in UTF-8.
MAX_DOCUMENT_CHARS = 2_000_000
CONTEXT_LINES = 3
# difflib takes quadratic time in the worst case, so a larger change is shown as one
# replaced block of lines.
MAX_COMPARED_LINES = 2_000


class Splice(msgspec.Struct, frozen=True, array_like=True):
    """Replacement of the characters from `start` to `stop` of a text."""

    start: int
    stop: int
    replacement: str


def create_splice(old: str, new: str) -> Splice:
    """Return the smallest single splice that turns `old` into `new`."""
    start = _count_common_prefix(old, new)
    limit = min(len(old), len(new)) - start
    old_tail, new_tail = old[start:][::-1], new[start:][::-1]
    suffix_length = min(limit, _count_common_prefix(old_tail, new_tail))
    return Splice(
        start, len(old) - suffix_length, new[start : len(new) - suffix_length]
    )


def _count_common_prefix(first: Sequence, second: Sequence) -> int:
    """Return the length of the common prefix."""
    # Binary search compares whole slices, which is fast even for long texts.
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def apply_splice(text: str, splice: Splice) -> str:
    """Return `text` with `splice` applied.

    Raises
    ------
    DocumentError
        If the splice does not lie inside the text.
    """
    if not 0 <= splice.start <= splice.stop <= len(text):
        raise DocumentError(
            f"splice {splice.start}..{splice.stop} is outside a text of "
            f"{len(text)} characters"
        )
    return text[: splice.start] + splice.replacement + text[splice.stop :]


def create_diff(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified diff; empty if the texts have the same lines."""
    old_lines, new_lines = old.splitlines(), new.splitlines()
    prefix_length = _count_common_prefix(old_lines, new_lines)
    limit = min(len(old_lines), len(new_lines)) - prefix_length
    old_tail, new_tail = (
        old_lines[prefix_length:][::-1],
        new_lines[prefix_length:][::-1],
    )
    suffix_length = min(limit, _count_common_prefix(old_tail, new_tail))
    if prefix_length == len(old_lines) == len(new_lines):
        return ""
    # Only the changed lines and their context are compared, so that a small change
    # of a large section is cheap.
    first = max(0, prefix_length - CONTEXT_LINES)
    omitted = max(0, suffix_length - CONTEXT_LINES)
    old_part = old_lines[first : len(old_lines) - omitted]
    new_part = new_lines[first : len(new_lines) - omitted]
    if max(len(old_part), len(new_part)) > MAX_COMPARED_LINES:
        lines = _format_replacement(old_part, new_part, old_name, new_name)
    else:
        lines = difflib.unified_diff(
            old_part, new_part, old_name, new_name, lineterm="", n=CONTEXT_LINES
        )
    return "".join(f"{_shift_header(line, first)}\n" for line in lines)


def _format_replacement(
    old: list[str], new: list[str], old_name: str, new_name: str
) -> Iterator[str]:
    """Yield a unified diff of one hunk that replaces all old lines."""
    yield f"--- {old_name}"
    yield f"+++ {new_name}"
    yield f"@@ -1,{len(old)} +1,{len(new)} @@"
    yield from (f"-{line}" for line in old)
    yield from (f"+{line}" for line in new)


def _shift_header(line: str, offset: int) -> str:
    """Add `offset` to the line numbers of a hunk header; keep any other line."""
    match = re.fullmatch(r"@@ -(\d+)(.*) \+(\d+)(.*) @@", line)
    if match is None:
        return line
    old_start, old_count, new_start, new_count = match.groups()
    return (
        f"@@ -{int(old_start) + offset}{old_count} "
        f"+{int(new_start) + offset}{new_count} @@"
    )


@dataclass(frozen=True, slots=True)
class SectionText:
    """One section: its text as written, its revision and its validated model."""

    text: str
    revision: int
    model: Section


@dataclass(frozen=True)
class Document:
    """One revision of the whole document; it is immutable.

    Parameters
    ----------
    revision : int
        Increases by 1 with each accepted change; 0 for an empty document.
    sections : mapping of str to SectionText
        Sections by name.
    """

    revision: int
    sections: Mapping[str, SectionText]

    @property
    def platform(self) -> PlatformSection | None:
        """Model of the `platform` section, or None if it does not exist."""
        return self._get_model("platform")

    @property
    def accounts(self) -> AccountsSection | None:
        """Model of the `accounts` section, or None if it does not exist."""
        return self._get_model("accounts")

    @property
    def support(self) -> SupportSection | None:
        """Model of the `support` section, or None if it does not exist."""
        return self._get_model("support")

    @property
    def teams(self) -> TeamsSection | None:
        """Model of the `teams` section, or None if it does not exist."""
        return self._get_model("teams")

    def get_text(self, section: str) -> str:
        """Return the text of a section; empty if it does not exist."""
        entry = self.sections.get(section)
        return entry.text if entry else ""

    def get_revision(self, section: str) -> int:
        """Return the revision of a section; 0 if it does not exist."""
        entry = self.sections.get(section)
        return entry.revision if entry else 0

    def find_team(self, key_hash: str) -> str | None:
        """Return the team whose key has this hash, or None."""
        teams = self.teams.teams if self.teams else {}
        for name, team in teams.items():
            if key_hash in team.key_hashes:
                return name
        return None

    def is_owner(self, team: str, section: str) -> bool:
        """Return whether `team` owns `section`."""
        teams = self.teams.teams if self.teams else {}
        return team in teams and section in teams[team].sections

    def replace_section(self, section: str, text: str) -> "Document":
        """Return the next revision, with a new text of one section.

        Raises
        ------
        ValidationError
            If the text is not valid, or not consistent with another section.
        """
        changed = _parse_entry(section, text, self.get_revision(section) + 1)
        document = Document(self.revision + 1, {**self.sections, section: changed})
        _check_size(document, section)
        _check_consistency(document)
        return document

    def apply_update(
        self, section: str, splice: Splice, section_revision: int, revision: int
    ) -> "Document":
        """Return the next revision, with an accepted change received as a splice.

        Parameters
        ----------
        section : str
            Name of the changed section.
        splice : Splice
            Change of the section's text.
        section_revision : int
            Revision of the section after the change.
        revision : int
            Revision of the document after the change.

        Raises
        ------
        DocumentError
            If the update does not directly follow this revision.
        """
        if revision != self.revision + 1:
            raise DocumentError(
                f"update to revision {revision} does not follow revision "
                f"{self.revision}"
            )
        if section_revision != self.get_revision(section) + 1:
            raise DocumentError(
                f"revision {section_revision} of section {section!r} does not follow "
                "its current revision"
            )
        return self.replace_section(
            section, apply_splice(self.get_text(section), splice)
        )

    def _get_model(self, section: str) -> Section | None:
        entry = self.sections.get(section)
        return entry.model if entry else None


def create_document(texts: Mapping[str, str] | None = None) -> Document:
    """Return a validated document; each given section has revision 1.

    Raises
    ------
    ValidationError
        If a text is not valid, or two sections are not consistent.
    """
    sections = {
        name: _parse_entry(name, text, 1) for name, text in (texts or {}).items()
    }
    document = Document(1 if sections else 0, sections)
    _check_consistency(document)
    return document


def restore_document(
    revision: int, sections: Mapping[str, tuple[str, int]]
) -> Document:
    """Return a document from stored texts and section revisions.

    Consistency between sections is not checked again.

    Raises
    ------
    ValidationError
        If a text is not valid.
    """
    entries = {
        name: _parse_entry(name, text, section_revision)
        for name, (text, section_revision) in sections.items()
    }
    return Document(revision, entries)


def _parse_entry(section: str, text: str, revision: int) -> SectionText:
    if not SECTION_NAME.fullmatch(section):
        raise ValidationError(section, "$", "not a valid section name")
    if len(text) > MAX_SECTION_CHARS:
        raise ValidationError(
            section, "$", f"longer than {MAX_SECTION_CHARS} characters"
        )
    return SectionText(text, revision, parse_section(section, text))


def _check_size(document: Document, section: str) -> None:
    chars = sum(len(entry.text) for entry in document.sections.values())
    if chars > MAX_DOCUMENT_CHARS:
        reason = f"the document would exceed {MAX_DOCUMENT_CHARS} characters"
        raise ValidationError(section, "$", reason)


def _check_consistency(document: Document) -> None:
    if not document.sections:
        return
    _check_teams(document)
    if document.platform is not None:
        _check_platform(document.platform)
    if document.accounts is not None:
        _check_accounts(document)


def _check_teams(document: Document) -> None:
    teams = document.teams.teams if document.teams else {}
    section_owners: dict[str, str] = {}
    key_owners: dict[str, str] = {}
    for name, team in teams.items():
        for section in team.sections:
            _set_owner(
                section_owners, section, name, "teams", f"$.teams.{name}.sections"
            )
        for key_hash in team.key_hashes:
            _set_owner(
                key_owners, key_hash, name, "teams", f"$.teams.{name}.key_hashes"
            )
    # Without an owner of `teams`, nobody could change the teams any more.
    for section in sorted({"teams", *document.sections} - set(section_owners)):
        raise ValidationError(
            "teams", "$.teams", f"no team owns the section {section!r}"
        )


def _check_platform(platform: PlatformSection) -> None:
    region_by_domain: dict[str, str] = {}
    region_by_home: dict[str, str] = {}
    for name, region in platform.regions.items():
        path = f"$.regions.{name}"
        _set_owner(region_by_home, region.home, name, "platform", f"{path}.home")
        for domain in region.failure_domains:
            _set_owner(
                region_by_domain, domain, name, "platform", f"{path}.failure_domains"
            )
    served = {model for each in platform.services.values() for model in each.models}
    for name, limits in platform.placement.models.items():
        path = f"$.placement.models.{name}"
        if name not in served:
            raise ValidationError("platform", path, "no service has this model")
        if limits.min_copies > limits.max_copies:
            raise ValidationError("platform", path, "min_copies exceeds max_copies")


def _check_accounts(document: Document) -> None:
    regions = document.platform.regions if document.platform else {}
    key_owners: dict[str, str] = {}
    for name, workspace in document.accounts.workspaces.items():
        path = f"$.workspaces.{name}"
        if workspace.home_region not in regions:
            raise ValidationError(
                "accounts",
                f"{path}.home_region",
                f"region {workspace.home_region!r} is not in section 'platform'",
            )
        for key_hash in workspace.key_hashes:
            _set_owner(key_owners, key_hash, name, "accounts", f"{path}.key_hashes")


def _set_owner(
    owners: dict[str, str], item: str, owner: str, section: str, path: str
) -> None:
    """Record the owner of an item; raise if it already has another one."""
    other = owners.setdefault(item, owner)
    if other != owner:
        raise ValidationError(section, path, f"{item!r} already belongs to {other!r}")
