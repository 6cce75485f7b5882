"""Channel for calls and notices over successive connections to one peer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec
from absl import logging

from buckthorndeal._peer_memory import ConnectionMemory
from buckthorndeal._peer_messages import (
    Call,
    ConnectionLost,
    Failure,
    Heartbeat,
    IncomingReply,
    LinkOptions,
    Notice,
    Outgoing,
    OutgoingReply,
    Reply,
)
from buckthorndeal.errors import (
    BuckthorndealError,
    MemoryShortageError,
    PeerError,
    PeerFailureError,
    Verdict,
    WireError,
)
from buckthorndeal.mailbox import Envelope, create_mailbox
from buckthorndeal.memory import Booking, MemoryAccount, Use
from buckthorndeal.supervision import UNEXPECTED_ERRORS
from buckthorndeal.transport import Stream
from buckthorndeal.wire import Codec, Message, Session

READ_BYTES = 65_536


@dataclass(eq=False)
class _Connection:
    stream: Stream
    session: Session
    memory: ConnectionMemory
    call_slots: curio.Semaphore
    last_sent_s: float
    # Not a curio.TaskGroup, because that keeps every finished task until it is joined
    # and so would grow with each call during a long connection.
    tasks: set[curio.Task] = field(default_factory=set)

    async def spawn(self, function: Callable, *args: object) -> None:
        task = await curio.spawn(self._run, function, args, daemon=True)
        self.tasks.add(task)

    async def _run(self, function: Callable, args: tuple) -> None:
        try:
            await function(*args)
        finally:
            self.tasks.discard(await curio.current_task())

    async def cancel_tasks(self) -> None:
        for task in list(self.tasks):
            await task.cancel(blocking=False)


class Channel:
    """Sends and receives messages over successive connections to one peer.

    One task runs `serve` and owns the connection; other tasks communicate with it
    through a mailbox.

    Parameters
    ----------
    codec : Codec
        Codec of the bodies.
    handler : callable
        Coroutine function called with a message and this channel. Its result is
        the reply to a call. Calls are handled concurrently, notices in order.
    options : LinkOptions
        Timeouts and limits.
    account : MemoryAccount
        Account in which messages are booked.
    """

    def __init__(
        self,
        codec: Codec,
        handler: "Handler",
        options: LinkOptions,
        account: MemoryAccount,
    ) -> None:
        self._codec = codec
        self._handler = handler
        self._options = options
        self._account = account
        # Leaves room for received replies, of which there are at most as many as
        # calls, so that a full mailbox does not block reading.
        self._mailbox = create_mailbox(4 * options.max_queued)
        self._queued = 0
        self._pending: dict[int, tuple[Envelope, Outgoing]] = {}
        self._next_call_id = 0
        self.host: str | None = None
        self.connected = False
        self._closed = False

    async def call(self, message: Message, timeout_s: float) -> Any:
        """Send `message` and return the reply.

        Raises
        ------
        PeerError
            If there is no reply. Its verdict states whether the peer may have
            received the message.
        """
        outgoing = self._create_outgoing(message, is_call=True)
        try:
            async with curio.timeout_after(timeout_s):
                return await self._mailbox.ask(outgoing)
        except curio.TaskTimeout:
            raise PeerError(
                f"no reply within {timeout_s:g} s", outgoing.get_verdict()
            ) from None
        finally:
            outgoing.abandoned = True
            outgoing.drop_body()

    async def send(self, message: Message) -> None:
        """Queue `message` without a reply; it is lost if the connection breaks.

        Raises
        ------
        PeerError
            If the message cannot be encoded, the queue is full, there is no room for
            the message or the link is closed.
        """
        outgoing = self._create_outgoing(message, is_call=False)
        try:
            await self._mailbox.send(outgoing)
        except BaseException:
            outgoing.abandoned = True
            outgoing.drop_body()
            raise

    def _create_outgoing(self, message: Message, is_call: bool) -> Outgoing:
        if self._closed:
            raise PeerError("link is closed", Verdict.NOT_RUN)
        if self._queued + len(self._pending) >= self._options.max_queued:
            raise PeerError("send queue is full", Verdict.NOT_RUN)
        try:
            body = self._codec.encode(message)
        except WireError as error:
            raise PeerError(str(error), Verdict.NOT_RUN) from error
        booking = self._account.open(Use.PEER, self.host or self)
        try:
            booking.resize(len(body))
        except MemoryShortageError as error:
            raise PeerError(str(error), Verdict.NOT_RUN) from error
        outgoing = Outgoing(msgspec.Raw(body), is_call, booking)
        self._queued += 1
        return outgoing

    async def close(self) -> None:
        """Refuse new messages and fail the queued ones."""
        self._closed = True
        await self.fail_queued("link is closed")

    async def fail_queued(self, reason: str) -> None:
        """Fail all messages that are queued but not sent."""
        while self._mailbox.size:
            envelope = await self._mailbox.receive()
            if isinstance(envelope.message, Outgoing):
                self._queued -= 1
                envelope.message.drop_body()
                await envelope.fail(PeerError(reason, Verdict.NOT_RUN))

    async def serve(
        self, stream: Stream, session: Session, early_messages: list[Message]
    ) -> str:
        """Use a connection until it is lost; return the reason of the loss.

        Parameters
        ----------
        stream : Stream
            Connection after the handshake.
        session : Session
            Session that seals and opens the frames of the connection.
        early_messages : list of Message
            Messages that were received together with the handshake.
        """
        call_slots = curio.Semaphore(self._options.max_running_calls)
        memory = ConnectionMemory(
            self._account, self.host or self, session, self._options.silence_s
        )
        connection = _Connection(
            stream, session, memory, call_slots, await curio.clock()
        )
        self.connected = True
        try:
            await connection.spawn(self._read, connection, early_messages)
            return await self._process_mailbox(connection)
        except (OSError, WireError, curio.TaskTimeout) as error:
            return repr(error)
        finally:
            self.connected = False
            async with curio.disable_cancellation():
                await connection.cancel_tasks()
                memory.close()
                await self._fail_pending()

    async def _process_mailbox(self, connection: _Connection) -> str:
        while True:
            envelope = await self._receive_or_heartbeat(connection)
            message = getattr(envelope, "message", None)
            if isinstance(message, Outgoing):
                self._queued -= 1
                try:
                    await self._send_outgoing(connection, envelope, message)
                finally:
                    message.drop_body()
            elif getattr(message, "connection", connection) is not connection:
                # It was queued by a task of a previous connection.
                continue
            elif isinstance(message, OutgoingReply):
                await self._write(connection, message.message)
                connection.memory.release(message.booking)
            elif isinstance(message, IncomingReply):
                await self._complete_call(message.message)
                connection.memory.release(message.booking)
            elif isinstance(message, ConnectionLost):
                return message.reason

    async def _receive_or_heartbeat(self, connection: _Connection) -> Envelope | None:
        now_s = await curio.clock()
        remaining_s = connection.last_sent_s + self._options.heartbeat_s - now_s
        if remaining_s > 0:
            envelope = await self._mailbox.receive_within(remaining_s)
            if envelope is not None:
                return envelope
        self._drop_abandoned()
        await self._write(connection, Heartbeat())
        return None

    def _drop_abandoned(self) -> None:
        """Drop the pending calls whose callers no longer wait for a reply."""
        abandoned_ids = [
            key for key, value in self._pending.items() if value[1].abandoned
        ]
        for call_id in abandoned_ids:
            del self._pending[call_id]

    async def _send_outgoing(
        self, connection: _Connection, envelope: Envelope, outgoing: Outgoing
    ) -> None:
        if outgoing.abandoned:
            return
        self._next_call_id += 1
        message = Notice(outgoing.body)
        if outgoing.is_call:
            message = Call(self._next_call_id, outgoing.body)
        try:
            frame = connection.session.seal(message)
        except WireError as error:
            await envelope.fail(PeerError(str(error), Verdict.NOT_RUN))
            return
        outgoing.sent = True
        if outgoing.is_call:
            self._pending[self._next_call_id] = (envelope, outgoing)
        await self._write_frame(connection, frame)

    async def _write(self, connection: _Connection, message: Message) -> None:
        await self._write_frame(connection, connection.session.seal(message))

    async def _write_frame(self, connection: _Connection, frame: bytes) -> None:
        async with curio.timeout_after(self._options.silence_s):
            await connection.stream.sendall(frame)
        connection.last_sent_s = await curio.clock()

    async def _complete_call(self, message: Reply | Failure) -> None:
        envelope, _ = self._pending.pop(message.call_id, (None, None))
        if envelope is None:
            return
        if isinstance(message, Failure):
            await envelope.fail(PeerFailureError(message.reason, Verdict.MAY_HAVE_RUN))
            return
        try:
            await envelope.reply(self._codec.decode(message.body))
        except WireError as error:
            await envelope.fail(PeerError(str(error), Verdict.MAY_HAVE_RUN))

    async def _fail_pending(self) -> None:
        pending, self._pending = self._pending, {}
        for envelope, _ in pending.values():
            error = PeerError("connection lost before the reply", Verdict.MAY_HAVE_RUN)
            await envelope.fail(error)

    async def _read(
        self, connection: _Connection, early_messages: list[Message]
    ) -> None:
        try:
            await self._dispatch_all(connection, early_messages)
            while True:
                await connection.memory.book_incomplete()
                async with curio.timeout_after(self._options.silence_s):
                    data = await connection.stream.recv(READ_BYTES)
                if not data:
                    raise ConnectionResetError("closed by the peer")
                # What is handled is not held while the next message is awaited.
                await self._dispatch_all(connection, connection.session.feed(data))
        except (OSError, WireError) as error:
            await self._mailbox.send(ConnectionLost(connection, repr(error)))
        except curio.TaskTimeout:
            await self._mailbox.send(
                ConnectionLost(
                    connection, f"nothing received for {self._options.silence_s:g} s"
                )
            )
        except Exception as error:
            # A connection that nobody reads would count as connected.
            logging.exception("reader of a connection failed")
            await self._mailbox.send(ConnectionLost(connection, repr(error)))

    async def _dispatch_all(
        self, connection: _Connection, messages: list[Message]
    ) -> None:
        for message in messages:
            await self._dispatch(connection, message)

    async def _dispatch(self, connection: _Connection, message: Message) -> None:
        booking = await connection.memory.take(message)
        if isinstance(message, Call):
            await connection.call_slots.acquire()
            await connection.spawn(self._run_call, connection, message, booking)
        elif isinstance(message, Reply | Failure):
            await self._mailbox.send(IncomingReply(connection, message, booking))
        else:
            if isinstance(message, Notice):
                await self._run_notice(message)
            connection.memory.release(booking)

    async def _run_notice(self, notice: Notice) -> None:
        try:
            await self._handler(self._codec.decode(notice.body), self)
        except WireError:
            raise
        except Exception:
            logging.exception("handler of a notice failed")

    async def _run_call(
        self, connection: _Connection, call: Call, booking: Booking | None
    ) -> None:
        try:
            response = await self._run_handler(call)
            connection.memory.release(booking)
            response, booking = await self._book_reply(connection, response)
            reply = OutgoingReply(connection, response, booking)
            await self._mailbox.send(reply)
        finally:
            await connection.call_slots.release()

    async def _book_reply(
        self, connection: _Connection, response: Reply | Failure
    ) -> tuple[Reply | Failure, Booking | None]:
        try:
            return response, await connection.memory.book_message(response)
        except MemoryShortageError as error:
            return Failure(response.call_id, str(error)), None

    async def _run_handler(self, call: Call) -> Reply | Failure:
        try:
            result = await self._handler(self._codec.decode(call.body), self)
            return Reply(call.call_id, msgspec.Raw(self._codec.encode(result)))
        except BuckthorndealError as error:
            return Failure(call.call_id, str(error))
        except UNEXPECTED_ERRORS:
            logging.exception("handler of a call failed")
            return Failure(call.call_id, "internal error")


Handler = Callable[[Any, Channel], Awaitable[Message | None]]
