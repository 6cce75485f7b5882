"""Tasks that run the ledger of a host and its store."""

import functools
import itertools
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from buckthorndeal.ledger._claim_records import ClaimSnapshot
from buckthorndeal.ledger._claim_store import ClaimStore
from buckthorndeal.ledger._claims import Ledger
from buckthorndeal.ledger._messages import (
    Abandon,
    AnswerRecorded,
    Claim,
    ClaimReply,
    Effect,
    Grant,
    MarkDispatched,
    Persist,
    Persisted,
    ProposeView,
    RecordAnswer,
    Release,
    SendTo,
)
from buckthorndeal.mailbox import Envelope, create_mailbox
from buckthorndeal.wire import Message

TICK_INTERVAL_S = 0.1
MIN_COMPACTION_BYTES = 8_388_608
COMPACTION_GROWTH_FACTOR = 2

SendFunction = Callable[[str, Message], Awaitable[None]]
ProposeFunction = Callable[[ProposeView], Awaitable[None]]


@dataclass(frozen=True)
class _PeerMessage:
    message: Message
    host: str


@dataclass(frozen=True)
class _CompactStore:
    snapshot: ClaimSnapshot


class LedgerService:
    """Runs the ledger of one host.

    Parameters
    ----------
    ledger : Ledger
        Ledger that was created from the content of `store`.
    store : ClaimStore
        Store of this host; its syncs run in a worker thread.
    send : callable
        Coroutine function that queues a message to a host, without waiting for the
        host.
    propose : callable
        Coroutine function that queues a proposed view. The answer arrives as a
        `ViewLearned` message through `handle`.
    """

    def __init__(
        self,
        ledger: Ledger,
        store: ClaimStore,
        send: SendFunction,
        propose: ProposeFunction,
    ) -> None:
        self._ledger = ledger
        self._store = store
        self._send = send
        self._propose_view = propose
        self._mailbox = create_mailbox()
        self._store_queue = curio.Queue()
        self._tickets = itertools.count(1)
        self._waiting_callers: dict[int, Envelope] = {}
        self._compacted_bytes = 0
        self._next_tick_s = 0.0
        self._tasks: list[curio.Task] = []
        self.sync_count = 0

    async def start(self) -> None:
        """Start the tasks of the ledger and of the store."""
        self._compacted_bytes = self._store.get_size()
        self._tasks.append(await curio.spawn(self._run))
        self._tasks.append(await curio.spawn(self._run_store))

    async def join(self) -> None:
        """Wait until a task fails, and raise its exception.

        The process has to stop then, because it is unknown whether the records that
        were being written are durable.
        """
        async with curio.TaskGroup(self._tasks, wait=any) as group:
            pass
        raise group.exception or RuntimeError("a task of the ledger has ended")

    async def close(self) -> None:
        """Stop the tasks and close the store."""
        for task in self._tasks:
            await task.cancel()
        self._store.close()

    async def claim(
        self, fingerprint: bytes, digest: bytes, request_id: str, timeout_s: float
    ) -> ClaimReply:
        """Claim a key and return the reply, which comes within `timeout_s` seconds."""
        deadline_s = time.monotonic() + timeout_s
        claim = Claim(next(self._tickets), fingerprint, digest, request_id, deadline_s)
        return await self._mailbox.ask(claim)

    async def mark_dispatched(self, grant: Grant) -> None:
        """Record that the request is about to be written to a socket."""
        await self._mailbox.ask(MarkDispatched(grant))

    async def release(self, grant: Grant) -> None:
        """Release a grant: the request was not dispatched and will not be."""
        await self._mailbox.ask(Release(grant))

    async def abandon(self, grant: Grant) -> None:
        """Abandon a grant: the request was dispatched, its answer will not be known."""
        await self._mailbox.ask(Abandon(grant))

    async def record_answer(
        self, grant: Grant, status: int, body: bytes
    ) -> AnswerRecorded:
        """Record an answer and wait until it is durable."""
        ticket = next(self._tickets)
        return await self._mailbox.ask(RecordAnswer(ticket, grant, status, body))

    async def handle(self, message: object) -> None:
        """Queue a `ViewLearned`, `HostLost` or `HandOver` message for the ledger."""
        await self._mailbox.send(message)

    async def receive(self, message: Message, host: str) -> None:
        """Queue a message from the authenticated `host` for the ledger."""
        await self._mailbox.send(_PeerMessage(message, host))

    async def _run(self) -> None:
        while True:
            wait_s = self._next_tick_s - time.monotonic()
            envelope = await self._mailbox.receive_within(wait_s)
            now_s = time.monotonic()
            if envelope is not None:
                await self._handle_envelope(envelope, now_s)
            if now_s >= self._next_tick_s:
                self._next_tick_s = now_s + TICK_INTERVAL_S
                await self._execute_effects(self._ledger.tick(now_s))

    async def _handle_envelope(self, envelope: Envelope, now_s: float) -> None:
        message = envelope.message
        if isinstance(message, _PeerMessage):
            effects = self._ledger.handle_peer(message.message, message.host, now_s)
        else:
            if isinstance(message, Claim | RecordAnswer):
                self._waiting_callers[message.ticket] = envelope
            effects = self._ledger.handle(message, now_s)
        if isinstance(message, MarkDispatched | Release | Abandon):
            await envelope.reply()
        await self._execute_effects(effects)

    async def _execute_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            await _execute_effect(effect, self)

    async def reply(self, effect: ClaimReply | AnswerRecorded) -> None:
        """Reply to the caller that waits for a ticket."""
        envelope = self._waiting_callers.pop(effect.ticket, None)
        if envelope is not None:
            await envelope.reply(effect)

    async def persist(self, effect: Persist) -> None:
        """Queue records for the store, and a compaction if the store has grown."""
        await self._store_queue.put(effect)
        size = self._store.get_size()
        if (
            size
            > MIN_COMPACTION_BYTES + COMPACTION_GROWTH_FACTOR * self._compacted_bytes
        ):
            # The snapshot includes all records that were queued before it.
            self._compacted_bytes = size
            await self._store_queue.put(_CompactStore(self._ledger.take_snapshot()))

    async def send_to(self, effect: SendTo) -> None:
        """Send a message to another host."""
        await self._send(effect.host, effect.message)

    async def propose_view(self, effect: ProposeView) -> None:
        """Send a proposed view to the control hosts."""
        await self._propose_view(effect)

    async def _run_store(self) -> None:
        while True:
            item = await self._store_queue.get()
            if isinstance(item, _CompactStore):
                await curio.run_in_thread(self._store.compact, item.snapshot)
                self._compacted_bytes = self._store.get_size()
                continue
            self._store.append(item.records)
            await curio.run_in_thread(self._store.sync)
            self.sync_count += 1
            await self._mailbox.send(Persisted(item.batch))


@functools.singledispatch
async def _execute_effect(effect: object, service: LedgerService) -> None:
    raise TypeError(f"unexpected effect {type(effect).__name__}")


@_execute_effect.register(ClaimReply)
@_execute_effect.register(AnswerRecorded)
async def _(effect: ClaimReply | AnswerRecorded, service: LedgerService) -> None:
    await service.reply(effect)


@_execute_effect.register
async def _(effect: Persist, service: LedgerService) -> None:
    await service.persist(effect)


@_execute_effect.register
async def _(effect: SendTo, service: LedgerService) -> None:
    await service.send_to(effect)


@_execute_effect.register
async def _(effect: ProposeView, service: LedgerService) -> None:
    await service.propose_view(effect)


def create_ledger_service(
    ledger: Ledger, store: ClaimStore, send: SendFunction, propose: ProposeFunction
) -> LedgerService:
    """Return a service that has not been started; see `LedgerService`."""
    return LedgerService(ledger, store, send, propose)
