"""Task that sends document changes to the subscribed entry hosts."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod

from buckthorndeal.control._messages import (
    DocumentContent,
    DocumentUpdate,
    SourceStatus,
)
from buckthorndeal.control._models import HostStatus
from buckthorndeal.control._requests import (
    ChangeList,
    ControlState,
    DocumentChanged,
    ReadChanges,
    ReadState,
)
from buckthorndeal.document import Document
from buckthorndeal.errors import PeerError
from buckthorndeal.mailbox import Envelope, Mailbox, create_mailbox
from buckthorndeal.peers import Channel
from buckthorndeal.statemachine import HistoryEntry

STATUS_INTERVAL_S = 1.0
# A subscriber reports every second; it is unreachable after three missed reports.
UNREACHABLE_AFTER_S = 3.0
FORGET_AFTER_S = 3_600.0


@dataclass(frozen=True)
class Subscription:
    """Request: subscribe the host at `channel`, whose document has this `revision`."""

    channel: Channel
    revision: int


@dataclass(frozen=True)
class RevisionReported:
    """Notice: a subscriber has reported the revision in force on it."""

    channel: Channel
    revision: int


@dataclass(frozen=True)
class ListSubscribers:
    """Request: list the status of the subscribers."""


@dataclass(eq=False)
class _Subscriber:
    channel: Channel | None
    sent_revision: int
    revision_in_force: int
    reported_s: float


class SubscriptionTask:
    """Sends document changes to subscribers and records the revision in force there.

    Parameters
    ----------
    replica : Mailbox
        Mailbox of the replica task.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, replica: Mailbox, clock: Callable[[], float]) -> None:
        self.mailbox = create_mailbox()
        self._replica = replica
        self._clock = clock
        self._subscribers: dict[str, _Subscriber] = {}
        self._revision = 0
        self._has_leader = False
        self._status_due_s = clock()

    async def run(self) -> None:
        """Handle messages, and send the status at a fixed interval, until cancelled."""
        while True:
            delay_s = self._status_due_s - self._clock()
            envelope = await self.mailbox.receive_within(delay_s)
            if envelope is not None:
                await self._handle(envelope.message, envelope)
            if self._clock() >= self._status_due_s:
                self._status_due_s = self._clock() + STATUS_INTERVAL_S
                await self._send_status()

    @singledispatchmethod
    async def _handle(self, message: object, envelope: Envelope) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_handle.register
    async def _(self, message: DocumentChanged, envelope: Envelope) -> None:
        await self._send_changes()

    @_handle.register
    async def _(self, message: Subscription, envelope: Envelope) -> None:
        self._subscribers[message.channel.host] = _Subscriber(
            message.channel, message.revision, message.revision, self._clock()
        )
        await envelope.reply(SourceStatus(self._revision, self._has_leader))
        await self._send_changes()

    @_handle.register
    async def _(self, message: RevisionReported, envelope: Envelope) -> None:
        subscriber = self._subscribers.get(message.channel.host)
        if subscriber is not None:
            subscriber.revision_in_force = message.revision
            subscriber.reported_s = self._clock()

    @_handle.register
    async def _(self, message: ListSubscribers, envelope: Envelope) -> None:
        now_s = self._clock()
        await envelope.reply(
            [
                HostStatus(
                    host=host,
                    kind="entry",
                    revision=subscriber.revision_in_force,
                    reachable=now_s - subscriber.reported_s < UNREACHABLE_AFTER_S,
                    silent_s=round(now_s - subscriber.reported_s, 3),
                )
                for host, subscriber in sorted(self._subscribers.items())
            ]
        )

    async def _send_changes(self) -> None:
        changes_by_revision: dict[int, ChangeList] = {}
        for subscriber in list(self._subscribers.values()):
            revision = subscriber.sent_revision
            if subscriber.channel is None:
                continue
            if revision not in changes_by_revision:
                changes_by_revision[revision] = await self._replica.ask(
                    ReadChanges(revision)
                )
            changes = changes_by_revision[revision]
            self._revision = changes.document.revision
            if self._revision > revision:
                await self._send_changes_to(subscriber, changes)

    async def _send_changes_to(
        self, subscriber: _Subscriber, changes: ChangeList
    ) -> None:
        try:
            if changes.entries is None:
                await subscriber.channel.send(_create_content(changes.document))
            for entry in changes.entries or []:
                await subscriber.channel.send(_create_update(entry))
        except PeerError:
            # The subscriber subscribes again when it receives nothing for a while.
            subscriber.channel = None
            return
        subscriber.sent_revision = changes.document.revision

    async def _send_status(self) -> None:
        state: ControlState = await self._replica.ask(ReadState())
        self._revision = state.document.revision
        self._has_leader = state.leader is not None
        status = SourceStatus(self._revision, self._has_leader)
        for host, subscriber in list(self._subscribers.items()):
            if self._clock() - subscriber.reported_s > FORGET_AFTER_S:
                del self._subscribers[host]
            elif subscriber.channel is not None:
                try:
                    await subscriber.channel.send(status)
                except PeerError:
                    subscriber.channel = None


def _create_content(document: Document) -> DocumentContent:
    sections = {
        name: (entry.text, entry.revision) for name, entry in document.sections.items()
    }
    return DocumentContent(document.revision, sections)


def _create_update(entry: HistoryEntry) -> DocumentUpdate:
    return DocumentUpdate(
        entry.revision, entry.section, entry.section_revision, entry.splice
    )
