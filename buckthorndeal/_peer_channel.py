"""Calls and notices over one connection at a time, owned by one task."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec
from absl import logging

from buckthorndeal.errors import BuckthorndealError, PeerError, Verdict, WireError
from buckthorndeal.mailbox import Envelope, create_mailbox
from buckthorndeal.transport import Stream
from buckthorndeal.wire import Codec, Message, Session, create_codec

READ_BYTES = 65_536


@dataclass(frozen=True)
class LinkOptions:
    """Times and bounds of a link.

    Parameters
    ----------
    heartbeat_s : float
        Longest time without sending anything.
    silence_s : float
        Time without receiving anything after which the connection is given up.
    connect_timeout_s : float
        Time for the connection and its handshake.
    open_timeout_s : float
        Time for the connection alone; a host without power does not answer.
    backoff_min_s, backoff_max_s : float
        First and longest mean wait between attempts to connect.
    max_queued : int
        Messages that wait to be sent; more are refused.
    max_running_calls : int
        Calls of the peer that run at once; more wait in the connection.
    """

    heartbeat_s: float = 1.0
    silence_s: float = 3.0
    connect_timeout_s: float = 3.0
    open_timeout_s: float = 3.0
    backoff_min_s: float = 0.05
    backoff_max_s: float = 2.0
    max_queued: int = 1_000
    max_running_calls: int = 256


class Introduction(Message):
    """First frame in each direction; proves the key and names the host."""

    host: str


class Call(Message, tag="c"):
    """A message that expects a reply."""

    call_id: int
    body: msgspec.Raw


class Reply(Message, tag="r"):
    """The reply to a call."""

    call_id: int
    body: msgspec.Raw


class Failure(Message, tag="f"):
    """The handler of a call raised an error."""

    call_id: int
    reason: str


class Notice(Message, tag="n"):
    """A message without a reply."""

    body: msgspec.Raw


class Heartbeat(Message, tag="h"):
    """Shows that the sender is alive and reachable."""


LINK_CODEC = create_codec((Introduction, Call, Reply, Failure, Notice, Heartbeat))


@dataclass(eq=False)
class _Outgoing:
    body: msgspec.Raw
    is_call: bool
    sent: bool = False
    abandoned: bool = False


@dataclass(frozen=True, eq=False)
class _Answer:
    connection: object
    message: Message


@dataclass(frozen=True, eq=False)
class _Received:
    connection: object
    message: Message


@dataclass(frozen=True, eq=False)
class _Lost:
    connection: object
    reason: str


@dataclass(eq=False)
class _Connection:
    stream: Stream
    session: Session
    calls: curio.Semaphore
    last_sent_s: float
    # A curio.TaskGroup keeps every finished task until it is joined, which would
    # grow with each call of a long connection.
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
    """Sends and receives messages over successive connections.

    One task runs `serve` and owns the connection; other tasks reach it by mailbox.

    Parameters
    ----------
    codec : Codec
        Codec of the bodies.
    handler : callable
        Coroutine function called with a message and this channel. Its result is
        the reply to a call. Calls run concurrently; notices run in order.
    options : LinkOptions
        Times and bounds.
    """

    def __init__(self, codec: Codec, handler: "Handler", options: LinkOptions) -> None:
        self._codec = codec
        self._handler = handler
        self._options = options
        # Leaves room for received replies, of which there are at most as many as
        # calls, so that reading does not wait behind a full queue.
        self._mailbox = create_mailbox(4 * options.max_queued)
        self._queued = 0
        self._pending: dict[int, tuple[Envelope, _Outgoing]] = {}
        self._next_call_id = 0
        self.host: str | None = None
        self.connected = False
        self._closed = False

    async def call(self, message: Message, timeout_s: float) -> Any:
        """Send `message` and return the reply.

        Raises
        ------
        PeerError
            If there is no reply; its verdict tells whether the message may have
            arrived.
        """
        outgoing = self._prepare(message, is_call=True)
        try:
            async with curio.timeout_after(timeout_s):
                return await self._mailbox.ask(outgoing)
        except curio.TaskTimeout:
            raise PeerError("no reply in time", get_verdict(outgoing)) from None
        finally:
            outgoing.abandoned = True

    async def send(self, message: Message) -> None:
        """Queue `message` without a reply; it is lost if the connection breaks.

        Raises
        ------
        PeerError
            If the queue is full.
        """
        await self._mailbox.send(self._prepare(message, is_call=False))

    def _prepare(self, message: Message, is_call: bool) -> _Outgoing:
        if self._closed:
            raise PeerError("link is closed", Verdict.NOT_RUN)
        if self._queued + len(self._pending) >= self._options.max_queued:
            raise PeerError("send queue is full", Verdict.NOT_RUN)
        outgoing = _Outgoing(msgspec.Raw(self._codec.encode(message)), is_call)
        self._queued += 1
        return outgoing

    async def close(self) -> None:
        """Refuse new messages and fail the waiting ones."""
        self._closed = True
        await self.fail_queued("link is closed")

    async def fail_queued(self, reason: str) -> None:
        """Fail everything that waits to be sent."""
        while self._mailbox.size:
            envelope = await self._mailbox.receive()
            if isinstance(envelope.message, _Outgoing):
                self._queued -= 1
                await envelope.fail(PeerError(reason, Verdict.NOT_RUN))

    async def serve(
        self, stream: Stream, session: Session, first: list[Message]
    ) -> str:
        """Use a connection until it is lost and return the reason.

        Parameters
        ----------
        stream : Stream
            Connection after the handshake.
        session : Session
            Its frame state.
        first : list of Message
            Messages that arrived together with the handshake.
        """
        calls = curio.Semaphore(self._options.max_running_calls)
        connection = _Connection(stream, session, calls, await curio.clock())
        self.connected = True
        try:
            await connection.spawn(self._read, connection, first)
            return await self._own(connection)
        except (OSError, WireError, curio.TaskTimeout) as error:
            return repr(error)
        finally:
            self.connected = False
            async with curio.disable_cancellation():
                await connection.cancel_tasks()
                await self._fail_pending()

    async def _own(self, connection: _Connection) -> str:
        while True:
            envelope = await self._receive_or_heartbeat(connection)
            message = getattr(envelope, "message", None)
            if isinstance(message, _Outgoing):
                self._queued -= 1
                await self._send_outgoing(connection, envelope, message)
            elif getattr(message, "connection", connection) is not connection:
                continue
            elif isinstance(message, _Answer):
                await self._write(connection, message.message)
            elif isinstance(message, _Received):
                await self._resolve(message.message)
            elif isinstance(message, _Lost):
                return message.reason

    async def _receive_or_heartbeat(self, connection: _Connection) -> Envelope | None:
        now_s = await curio.clock()
        idle_s = connection.last_sent_s + self._options.heartbeat_s - now_s
        if idle_s > 0:
            envelope = await self._mailbox.receive_within(idle_s)
            if envelope is not None:
                return envelope
        self._drop_abandoned()
        await self._write(connection, Heartbeat())
        return None

    def _drop_abandoned(self) -> None:
        gone = [key for key, value in self._pending.items() if value[1].abandoned]
        for call_id in gone:
            del self._pending[call_id]

    async def _send_outgoing(
        self, connection: _Connection, envelope: Envelope, outgoing: _Outgoing
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

    async def _resolve(self, message: Reply | Failure) -> None:
        envelope, _ = self._pending.pop(message.call_id, (None, None))
        if envelope is None:
            return
        if isinstance(message, Failure):
            await envelope.fail(PeerError(message.reason, Verdict.MAY_HAVE_RUN))
            return
        try:
            await envelope.reply(self._codec.decode(message.body))
        except WireError as error:
            await envelope.fail(PeerError(str(error), Verdict.MAY_HAVE_RUN))

    async def _fail_pending(self) -> None:
        pending, self._pending = self._pending, {}
        for envelope, _ in pending.values():
            error = PeerError("connection lost", Verdict.MAY_HAVE_RUN)
            await envelope.fail(error)

    async def _read(self, connection: _Connection, first: list[Message]) -> None:
        messages = first
        try:
            while True:
                for message in messages:
                    await self._dispatch(connection, message)
                async with curio.timeout_after(self._options.silence_s):
                    data = await connection.stream.recv(READ_BYTES)
                if not data:
                    raise ConnectionResetError("closed by the peer")
                messages = connection.session.feed(data)
        except (OSError, WireError) as error:
            await self._mailbox.send(_Lost(connection, repr(error)))
        except curio.TaskTimeout:
            await self._mailbox.send(_Lost(connection, "silent peer"))

    async def _dispatch(self, connection: _Connection, message: Message) -> None:
        if isinstance(message, Call):
            await connection.calls.acquire()
            await connection.spawn(self._run_call, connection, message)
        elif isinstance(message, Notice):
            await self._run_notice(message)
        elif isinstance(message, Reply | Failure):
            await self._mailbox.send(_Received(connection, message))

    async def _run_notice(self, notice: Notice) -> None:
        try:
            await self._handler(self._codec.decode(notice.body), self)
        except WireError:
            raise
        except Exception:
            logging.exception("handler of a notice failed")

    async def _run_call(self, connection: _Connection, call: Call) -> None:
        try:
            answer = await self._compute_answer(call)
            await self._mailbox.send(_Answer(connection, answer))
        finally:
            await connection.calls.release()

    async def _compute_answer(self, call: Call) -> Reply | Failure:
        try:
            result = await self._handler(self._codec.decode(call.body), self)
            return Reply(call.call_id, msgspec.Raw(self._codec.encode(result)))
        except BuckthorndealError as error:
            return Failure(call.call_id, str(error))
        except Exception:
            logging.exception("handler of a call failed")
            return Failure(call.call_id, "internal error")


Handler = Callable[[Any, Channel], Awaitable[Message | None]]


def get_verdict(outgoing: _Outgoing) -> Verdict:
    """Return whether the message may have arrived."""
    return Verdict.MAY_HAVE_RUN if outgoing.sent else Verdict.NOT_RUN
