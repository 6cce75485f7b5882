"""Subscriber task: follows the document of the control hosts."""

from collections.abc import Callable
from dataclasses import dataclass

import curio

from buckthorndeal.control._messages import (
    DocumentContent,
    DocumentUpdate,
    InForce,
    SourceStatus,
    Subscribe,
    apply_document_notice,
)
from buckthorndeal.document import Document
from buckthorndeal.entry._control import ControlLinks
from buckthorndeal.entry._document import create_view_of
from buckthorndeal.entry._messages import PutDocument
from buckthorndeal.entry._store import DocumentStore, read_content
from buckthorndeal.errors import DocumentError, PeerError, ValidationError
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox, create_mailbox
from buckthorndeal.wire import Message

TICK_S = 0.5
# A source sends its status every second. The connection may have been replaced
# without a notice here, and then the source sends nothing until asked again.
SILENCE_S = 1.6
SUBSCRIBE_TIMEOUT_S = 1.5


@dataclass(frozen=True)
class SourceNotice:
    """A notice of a control host."""

    message: Message
    host: str


@dataclass(frozen=True)
class _Subscribed:
    host: str
    status: SourceStatus | None


@dataclass
class _Source:
    asking: bool = False
    answered: bool = False
    revision: int = 0
    heard_s: float = float("-inf")


class SubscriberTask:
    """Applies what the control hosts send, and puts it in force.

    A document is stored before it is in force, so that a restart does not bring
    back an older one.

    Parameters
    ----------
    links : ControlLinks
        Links to the control hosts.
    documents : Mailbox
        Mailbox of the document task.
    store : DocumentStore or None
        Store of the newest document; None for a host without a disk.
    document : Document
        Document that was stored, or an empty one.
    now : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        links: ControlLinks,
        documents: Mailbox,
        store: DocumentStore | None,
        document: Document,
        now: Callable[[], float],
    ) -> None:
        self.mailbox = create_mailbox()
        self._links = links
        self._documents = documents
        self._store = store
        self._document = document
        self._in_force = document.revision
        self._now = now
        self._sources = {host: _Source() for host in links.links}
        self._due_s = 0.0
        self._settled = curio.Event()
        self._first = curio.Event()

    async def receive(self, message: Message, host: str) -> None:
        """Pass on a notice of a control host."""
        await self.mailbox.send(SourceNotice(message, host))

    async def wait_until_settled(self, timeout_s: float) -> None:
        """Return once the newest document within reach is in force."""
        await curio.ignore_after(timeout_s, self._settled.wait)

    async def wait_for_document(self) -> None:
        """Return once a control host has sent a document."""
        await self._first.wait()

    async def run(self) -> None:
        """Handle messages until cancelled.

        Raises
        ------
        StoreError
            If the document cannot be stored.
        """
        while True:
            if self._now() >= self._due_s:
                self._due_s = self._now() + TICK_S
                await self._subscribe_where_silent()
                await self._report_in_force()
            wait_s = self._due_s - self._now()
            envelope = await self.mailbox.receive_within(wait_s)
            if envelope is None:
                continue
            await self._handle(envelope.message)
            if not self.mailbox.size:
                await self._put_in_force()
                await self._check_settled()

    async def _handle(self, message: object) -> None:
        source = self._sources[message.host]
        source.heard_s = self._now()
        if isinstance(message, _Subscribed):
            source.asking = False
            source.answered = True
            if message.status is None:
                source.heard_s = float("-inf")
                source.revision = 0
            else:
                source.revision = message.status.revision
            return
        notice = message.message
        if isinstance(notice, SourceStatus):
            source.revision = notice.revision
            if notice.revision > self._document.revision:
                # The changes were sent before the status, so that they are lost.
                source.heard_s = float("-inf")
        elif isinstance(notice, DocumentContent | DocumentUpdate):
            self._apply(notice, message.host)

    def _apply(self, notice: DocumentContent | DocumentUpdate, host: str) -> None:
        try:
            if isinstance(notice, DocumentContent):
                if notice.revision > self._document.revision:
                    self._document = read_content(notice)
            else:
                self._document = apply_document_notice(self._document, notice)
        except ValidationError as error:
            log_event(
                "document_refused",
                source=host,
                revision=notice.revision,
                section=error.section,
                path=error.path,
            )
        except DocumentError:
            # Changes are missing; the source is asked again.
            self._sources[host].heard_s = float("-inf")
            self._due_s = min(self._due_s, self._now())

    async def _put_in_force(self) -> None:
        document = self._document
        if document.revision <= self._in_force:
            return
        if self._store is not None:
            await curio.run_in_thread(self._store.save, document)
        await self._documents.ask(PutDocument(create_view_of(document)))
        self._in_force = document.revision
        await self._first.set()
        await self._report_in_force()

    async def _check_settled(self) -> None:
        if self._settled.is_set():
            return
        newest = max(source.revision for source in self._sources.values())
        answered = all(source.answered for source in self._sources.values())
        if answered and self._in_force >= newest:
            await self._settled.set()

    async def _report_in_force(self) -> None:
        message = InForce(self._in_force)
        for link in self._links.links.values():
            if link.connected:
                await _send(link, message)

    async def _subscribe_where_silent(self) -> None:
        for host, source in self._sources.items():
            if not source.asking and self._now() - source.heard_s > SILENCE_S:
                source.asking = True
                await curio.spawn(self._subscribe, host, daemon=True)

    async def _subscribe(self, host: str) -> None:
        message = Subscribe(self._document.revision)
        status = None
        try:
            reply = await self._links.links[host].call(message, SUBSCRIBE_TIMEOUT_S)
            status = reply if isinstance(reply, SourceStatus) else None
        except PeerError:
            pass
        await self.mailbox.send(_Subscribed(host, status))


async def _send(link: object, message: Message) -> None:
    try:
        await link.send(message)
    except PeerError:
        # The report is repeated.
        return
