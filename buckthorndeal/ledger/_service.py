"""Task that owns the ledger of a host, and the task that owns its store."""

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

TICK_S = 0.1
COMPACT_BYTES = 8_388_608
COMPACT_FACTOR = 2

SendFunction = Callable[[str, Message], Awaitable[None]]
AskFunction = Callable[[ProposeView], Awaitable[None]]


@dataclass(frozen=True)
class _PeerMessage:
    message: Message
    host: str


@dataclass(frozen=True)
class _Compact:
    snapshot: ClaimSnapshot


class LedgerService:
    """Runs the ledger of one host.

    Parameters
    ----------
    ledger : Ledger
        Ledger created from the content of `store`.
    store : ClaimStore
        Store of this host; its syncs run in a thread.
    send : callable
        Coroutine function that queues a message for a host. It must not wait for
        the host.
    ask : callable
        Coroutine function that queues a request for a view. The answer comes as
        `ViewLearned` through `handle`.
    """

    def __init__(
        self, ledger: Ledger, store: ClaimStore, send: SendFunction, ask: AskFunction
    ) -> None:
        self._ledger = ledger
        self._store = store
        self._send = send
        self._ask = ask
        self._mailbox = create_mailbox()
        self._store_queue = curio.Queue()
        self._tickets = itertools.count(1)
        self._waiting: dict[int, Envelope] = {}
        self._compacted_bytes = 0
        self._next_tick_s = 0.0
        self._tasks: list[curio.Task] = []
        self.sync_count = 0

    async def start(self) -> None:
        """Start the tasks."""
        self._compacted_bytes = self._store.measure()
        self._tasks.append(await curio.spawn(self._run))
        self._tasks.append(await curio.spawn(self._run_store))

    async def join(self) -> None:
        """Wait until a task fails, and raise its error.

        The process has to stop then: nothing is known of the records under way.
        """
        async with curio.TaskGroup(self._tasks, wait=any) as group:
            pass
        raise group.exception or RuntimeError("ledger has stopped")

    async def close(self) -> None:
        """Stop the tasks and close the store."""
        for task in self._tasks:
            await task.cancel()
        self._store.close()

    async def claim(
        self, fingerprint: bytes, digest: bytes, request_id: str, timeout_s: float
    ) -> ClaimReply:
        """Claim a key; the reply comes within `timeout_s`."""
        deadline_s = time.monotonic() + timeout_s
        claim = Claim(next(self._tickets), fingerprint, digest, request_id, deadline_s)
        return await self._mailbox.ask(claim)

    async def mark_dispatched(self, grant: Grant) -> None:
        """Tell that the request is about to be handed to the kernel."""
        await self._mailbox.ask(MarkDispatched(grant))

    async def release(self, grant: Grant) -> None:
        """Tell that nothing was dispatched and nothing will be."""
        await self._mailbox.ask(Release(grant))

    async def abandon(self, grant: Grant) -> None:
        """Tell that the answer to a dispatched request will not be known."""
        await self._mailbox.ask(Abandon(grant))

    async def record_answer(
        self, grant: Grant, status: int, body: bytes
    ) -> AnswerRecorded:
        """Record an answer and wait until it is durable."""
        ticket = next(self._tickets)
        return await self._mailbox.ask(RecordAnswer(ticket, grant, status, body))

    async def handle(self, message: object) -> None:
        """Pass on `ViewLearned` or `HostLost`."""
        await self._mailbox.send(message)

    async def receive(self, message: Message, host: str) -> None:
        """Pass on a message of the authenticated `host`."""
        await self._mailbox.send(_PeerMessage(message, host))

    async def _run(self) -> None:
        while True:
            wait_s = self._next_tick_s - time.monotonic()
            envelope = await self._mailbox.receive_within(wait_s)
            now_s = time.monotonic()
            if envelope is not None:
                await self._handle_envelope(envelope, now_s)
            if now_s >= self._next_tick_s:
                self._next_tick_s = now_s + TICK_S
                await self._carry_out_all(self._ledger.tick(now_s))

    async def _handle_envelope(self, envelope: Envelope, now_s: float) -> None:
        message = envelope.message
        if isinstance(message, _PeerMessage):
            effects = self._ledger.handle_peer(message.message, message.host, now_s)
        else:
            if isinstance(message, Claim | RecordAnswer):
                self._waiting[message.ticket] = envelope
            effects = self._ledger.handle(message, now_s)
        if isinstance(message, MarkDispatched | Release | Abandon):
            await envelope.reply()
        await self._carry_out_all(effects)

    async def _carry_out_all(self, effects: list[Effect]) -> None:
        for effect in effects:
            await _carry_out(effect, self)

    async def reply(self, effect: ClaimReply | AnswerRecorded) -> None:
        """Answer the asker of a ticket."""
        envelope = self._waiting.pop(effect.ticket, None)
        if envelope is not None:
            await envelope.reply(effect)

    async def persist(self, effect: Persist) -> None:
        """Hand records to the task of the store."""
        await self._store_queue.put(effect)
        size = self._store.measure()
        if size > COMPACT_BYTES + COMPACT_FACTOR * self._compacted_bytes:
            # Everything queued before is part of the snapshot.
            self._compacted_bytes = size
            await self._store_queue.put(_Compact(self._ledger.take_snapshot()))

    async def send_to(self, effect: SendTo) -> None:
        """Send a message to a host."""
        await self._send(effect.host, effect.message)

    async def ask_view(self, effect: ProposeView) -> None:
        """Send a request for a view."""
        await self._ask(effect)

    async def _run_store(self) -> None:
        while True:
            item = await self._store_queue.get()
            if isinstance(item, _Compact):
                await curio.run_in_thread(self._store.compact, item.snapshot)
                self._compacted_bytes = self._store.measure()
                continue
            self._store.append(item.records)
            await curio.run_in_thread(self._store.sync)
            self.sync_count += 1
            await self._mailbox.send(Persisted(item.batch))


@functools.singledispatch
async def _carry_out(effect: object, service: LedgerService) -> None:
    raise TypeError(f"unexpected effect {type(effect).__name__}")


@_carry_out.register(ClaimReply)
@_carry_out.register(AnswerRecorded)
async def _(effect: ClaimReply | AnswerRecorded, service: LedgerService) -> None:
    await service.reply(effect)


@_carry_out.register
async def _(effect: Persist, service: LedgerService) -> None:
    await service.persist(effect)


@_carry_out.register
async def _(effect: SendTo, service: LedgerService) -> None:
    await service.send_to(effect)


@_carry_out.register
async def _(effect: ProposeView, service: LedgerService) -> None:
    await service.ask_view(effect)


def create_ledger_service(
    ledger: Ledger, store: ClaimStore, send: SendFunction, ask: AskFunction
) -> LedgerService:
    """Return a service that is not started; see `LedgerService`."""
    return LedgerService(ledger, store, send, ask)
