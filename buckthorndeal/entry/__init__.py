"""Entry host: the process that serves callers and endpoints.

It is composed of tasks that own their state and communicate through mailboxes.
"""

import random
import time
from collections.abc import Callable

from buckthorndeal.entry._daemon import EntryHost
from buckthorndeal.entry._document import load_document
from buckthorndeal.entry._ledger_views import LedgerViewSource
from buckthorndeal.entry._messages import DocumentView
from buckthorndeal.entry._policy import RoutePolicy
from buckthorndeal.settings import EntrySettings
from buckthorndeal.transport import Transport

__all__ = ["EntryHost", "create_entry_host"]


def create_entry_host(
    settings: EntrySettings,
    transport: Transport,
    document_view: DocumentView | None = None,
    now: Callable[[], float] = time.monotonic,
    rng: random.Random | None = None,
    ledger_views: LedgerViewSource | None = None,
    policy: RoutePolicy | None = None,
) -> EntryHost:
    """Return an entry host that is not started.

    Without `document_view`, the sections are read from the `document_directory` of the
    settings, if that is set. A document in the store takes precedence over both.
    """
    if document_view is None and settings.document_directory is not None:
        document_view = load_document(settings.document_directory)
    return EntryHost(
        settings,
        transport,
        document_view,
        now,
        rng or random.Random(),
        ledger_views,
        policy,
    )
