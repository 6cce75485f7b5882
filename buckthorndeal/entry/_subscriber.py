"""Subscriber task: receives the configuration document from the control hosts."""

import functools
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
from buckthorndeal.entry._document import create_view_from_document
from buckthorndeal.entry._messages import PutDocument
from buckthorndeal.entry._store import DocumentStore, read_content
from buckthorndeal.errors import DocumentError, PeerError, ValidationError
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Mailbox, create_mailbox
from buckthorndeal.supervision import spawn_job
from buckthorndeal.wire import Message

TICK_INTERVAL_S = 0.5
# A source sends its status every second. If the connection was replaced without this
# host noticing, the source sends nothing until this host subscribes again.
SILENCE_TIMEOUT_S = 1.6
SUBSCRIBE_TIMEOUT_S = 1.5


@dataclass(frozen=True)
class SourceNotice:
    """Tells the subscriber task of a notice from a control host."""

    message: Message
    host: str


@dataclass(frozen=True)
class _SubscribeReply:
    """Result of a subscription; the status is None if the call failed."""

    host: str
    status: SourceStatus | None


@dataclass
class _Source:
    """State of one control host as a source of the document.

    Parameters
    ----------
    has_replied : bool
        Whether a subscription was answered or has failed.
    revision : int
        Newest document revision of the source; 0 if it is unknown.
    last_notice_s : float
        Monotonic time of the last notice; minus infinity makes the task subscribe
        again.
    """

    is_subscribing: bool = False
    has_replied: bool = False
    revision: int = 0
    last_notice_s: float = float("-inf")


class SubscriberTask:
    """Applies the document changes of the control hosts and activates the result.

    A document is stored before it is activated, so that a restart does not activate an
    older one.

    Parameters
    ----------
    links : ControlLinks
        Links to the control hosts.
    documents : Mailbox
        Mailbox of the document task.
    store : DocumentStore or None
        Store of the newest document; None for a host without a data directory.
    document : Document
        Stored document, or an empty one.
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
        self._active_revision = document.revision
        self._now = now
        self._sources = {host: _Source() for host in links.links}
        self._next_tick_s = 0.0
        self._settled = curio.Event()
        self._first_document = curio.Event()

    async def receive(self, message: Message, host: str) -> None:
        """Queue a notice from a control host."""
        await self.mailbox.send(SourceNotice(message, host))

    async def wait_until_settled(self, timeout_s: float) -> None:
        """Return once the newest reachable document is active, or after a timeout.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.
        """
        await curio.ignore_after(timeout_s, self._settled.wait)

    async def wait_for_document(self) -> None:
        """Return once a document from a control host is active."""
        await self._first_document.wait()

    async def run(self) -> None:
        """Handle messages until cancelled.

        Raises
        ------
        StoreError
            If the document cannot be stored.
        """
        while True:
            if self._now() >= self._next_tick_s:
                self._next_tick_s = self._now() + TICK_INTERVAL_S
                await self._subscribe_to_silent_sources()
                await self._report_active_revision()
            wait_s = self._next_tick_s - self._now()
            envelope = await self.mailbox.receive_within(wait_s)
            if envelope is None:
                continue
            await self._handle(envelope.message)
            if not self.mailbox.size:
                await self._activate_document()
                await self._check_settled()

    async def _handle(self, message: object) -> None:
        source = self._sources[message.host]
        source.last_notice_s = self._now()
        if isinstance(message, _SubscribeReply):
            source.is_subscribing = False
            source.has_replied = True
            if message.status is None:
                source.last_notice_s = float("-inf")
                source.revision = 0
            else:
                source.revision = message.status.revision
            return
        notice = message.message
        if isinstance(notice, SourceStatus):
            source.revision = notice.revision
            if notice.revision > self._document.revision:
                # The source sends changes before its status, so the missing ones were
                # lost.
                source.last_notice_s = float("-inf")
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
            # Earlier changes are missing; subscribe to the source again.
            self._sources[host].last_notice_s = float("-inf")
            self._next_tick_s = min(self._next_tick_s, self._now())

    async def _activate_document(self) -> None:
        document = self._document
        if document.revision <= self._active_revision:
            return
        if self._store is not None:
            await curio.run_in_thread(self._store.save, document)
        await self._documents.ask(PutDocument(create_view_from_document(document)))
        self._active_revision = document.revision
        await self._first_document.set()
        await self._report_active_revision()

    async def _check_settled(self) -> None:
        if self._settled.is_set():
            return
        newest = max(source.revision for source in self._sources.values())
        all_replied = all(source.has_replied for source in self._sources.values())
        if all_replied and self._active_revision >= newest:
            await self._settled.set()

    async def _report_active_revision(self) -> None:
        message = InForce(self._active_revision)
        for link in self._links.links.values():
            if link.connected:
                await _send(link, message)

    async def _subscribe_to_silent_sources(self) -> None:
        for host, source in self._sources.items():
            if (
                not source.is_subscribing
                and self._now() - source.last_notice_s > SILENCE_TIMEOUT_S
            ):
                source.is_subscribing = True
                await spawn_job(
                    self._subscribe,
                    host,
                    on_failure=functools.partial(self._end_subscribing, host),
                )

    async def _subscribe(self, host: str) -> None:
        message = Subscribe(self._document.revision)
        status = None
        try:
            reply = await self._links.links[host].call(message, SUBSCRIBE_TIMEOUT_S)
            status = reply if isinstance(reply, SourceStatus) else None
        except PeerError:
            pass
        await self.mailbox.send(_SubscribeReply(host, status))

    async def _end_subscribing(self, host: str, error: BaseException) -> None:
        await self.mailbox.send(_SubscribeReply(host, None))


async def _send(link: object, message: Message) -> None:
    try:
        await link.send(message)
    except PeerError:
        # The report is repeated with the next tick.
        return
