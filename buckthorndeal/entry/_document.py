"""Document task: owns the active sections of the configuration document.

The subscriber task activates newer sections with `PutDocument`. Until then, sections
from files are active; they have revision 0, so any delivered document replaces them.
"""

import os

from buckthorndeal.authentication import create_authenticator
from buckthorndeal.document import Document
from buckthorndeal.entry._messages import DocumentView, GetDocument, PutDocument
from buckthorndeal.errors import SettingsError
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.sections import AccountsSection, PlatformSection, SupportSection
from buckthorndeal.sections import parse_section as parse_section_text

SECTION_NAMES = ("platform", "accounts", "support")


def create_document_view(
    platform: PlatformSection,
    accounts: AccountsSection,
    support: SupportSection,
    revision: int = 1,
) -> DocumentView:
    """Return a view of the given sections."""
    return DocumentView(
        revision, platform, accounts, support, create_authenticator(accounts)
    )


def create_empty_view() -> DocumentView:
    """Return a view without services, regions and workspaces."""
    return create_document_view(
        PlatformSection(services={}, regions={}),
        AccountsSection(workspaces={}),
        SupportSection(),
        revision=0,
    )


def load_document(directory: str) -> DocumentView:
    """Read ``platform.jsonc``, ``accounts.jsonc`` and ``support.jsonc``.

    Parameters
    ----------
    directory : str
        Directory of the three files.

    Raises
    ------
    SettingsError
        If a file cannot be read.
    """
    sections = [_load_section(directory, name) for name in SECTION_NAMES]
    return create_document_view(*sections, revision=0)


def create_view_from_document(document: Document) -> DocumentView:
    """Return a view of a document; absent sections are empty."""
    empty = create_empty_view()
    return create_document_view(
        document.platform or empty.platform,
        document.accounts or empty.accounts,
        document.support or empty.support,
        document.revision,
    )


def _load_section(directory: str, name: str) -> object:
    file = os.path.join(directory, f"{name}.jsonc")
    try:
        with open(file, encoding="utf-8") as stream:
            return parse_section_text(name, stream.read())
    except OSError as error:
        raise SettingsError(file, "$", None, error.strerror or str(error)) from error


async def run_document_task(mailbox: Mailbox, view: DocumentView, host: str) -> None:
    """Handle the messages of the document task until cancelled.

    Parameters
    ----------
    mailbox : Mailbox
        Mailbox of the document task.
    view : DocumentView
        Initially active sections.
    host : str
        Name of this entry host for log lines.
    """
    async for envelope in mailbox:
        message = envelope.message
        if isinstance(message, GetDocument):
            await envelope.reply(view)
        elif isinstance(message, PutDocument):
            # An older revision never replaces a newer one.
            if message.view.revision > view.revision:
                view = message.view
                log_event("document_in_force", host=host, revision=view.revision)
            await envelope.reply(view.revision)
        else:
            await envelope.fail(TypeError(f"unknown message {message!r}"))
