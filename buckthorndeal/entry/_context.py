"""Dependencies that the request handlers of one entry host share."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthorndeal.entry._pools import ConnectionPools
from buckthorndeal.entry._prompts import PromptHasher
from buckthorndeal.mailbox import Mailbox
from buckthorndeal.metrics import Metrics


@dataclass(eq=False)
class EntryContext:
    """Dependencies that the request handlers of one entry host share.

    Mutable state belongs to the tasks behind the mailboxes.

    Parameters
    ----------
    incarnation : str
        Random text that makes attempt ids unique across restarts.
    peer_keys : tuple of bytes
        Keys that verify forwarded requests; the first one also signs them.
    now, wall_time : callable
        Monotonic clock in seconds, and seconds since the epoch.
    """

    host: str
    region: str
    incarnation: str
    peer_keys: tuple[bytes, ...]
    router_mailbox: Mailbox
    report_mailbox: Mailbox
    document_mailbox: Mailbox
    pools: ConnectionPools
    metrics: Metrics
    now: Callable[[], float]
    wall_time: Callable[[], float]
    prompt_hasher: PromptHasher
    id_counter: itertools.count = field(default_factory=itertools.count)

    def create_id(self) -> str:
        """Return a new id for a request, an attempt or an admission ticket."""
        return f"{self.host}-{self.incarnation}-{next(self.id_counter)}"
