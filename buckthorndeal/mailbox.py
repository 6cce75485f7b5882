"""Message passing between tasks through a bounded queue owned by one of them."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio
from absl import logging

from buckthorndeal.metrics import Metrics

__all__ = [
    "Envelope",
    "Mailbox",
    "MailboxError",
    "create_mailbox",
    "fail_unexpectedly",
    "run_guarded",
]

DEFAULT_CAPACITY = 10_000
# Curio logs a warning when an operation completes after its timeout has passed, which
# happens with shorter timeouts.
MIN_WAIT_S = 0.002


@dataclass(eq=False)
class Envelope:
    """A message and the means to reply to it.

    Parameters
    ----------
    message : object
        Message for the owner of the mailbox.
    """

    message: Any
    result: Any = None
    error: BaseException | None = None
    done: curio.Event | None = None

    async def reply(self, result: object = None) -> None:
        """Reply to the message; if it was sent without `ask`, the result is ignored."""
        self.result = result
        if self.done is not None:
            await self.done.set()

    async def fail(self, error: BaseException) -> None:
        """Reply to the message with an exception that `Mailbox.ask` raises."""
        self.error = error
        if self.done is not None:
            await self.done.set()

    async def fail_unexpectedly(self, error: BaseException) -> None:
        """Reply to the message with `MailboxError`, because of an unexpected error."""
        kind = type(self.message).__name__
        await self.fail(MailboxError(f"{kind}: {error!r}"))


class MailboxError(Exception):
    """The owner of a mailbox failed to handle a message, for an unexpected reason."""


async def fail_unexpectedly(
    envelope: Envelope, error: Exception, metrics: Metrics
) -> None:
    """Log and count an unexpected error, and reply with `MailboxError`.

    The task that owns the mailbox goes on with the next message: one message that it
    cannot handle must not stop all others.
    """
    kind = type(envelope.message).__name__
    logging.exception("handling %s failed", kind)
    metrics.count("message_failures", kind=kind)
    await envelope.fail_unexpectedly(error)


async def run_guarded(
    metrics: Metrics, work: Callable[..., Awaitable[None]], *args: object
) -> None:
    """Run a step of a task beside its messages; log and count an unexpected error.

    The task that owns the step goes on, as after a message that it cannot handle.
    """
    try:
        await work(*args)
    except Exception:
        kind = work.__name__.strip("_")
        logging.exception("%s failed", kind)
        metrics.count("message_failures", kind=kind)


class Mailbox:
    """Bounded queue of messages to the task that owns it.

    Parameters
    ----------
    capacity : int
        Maximum number of queued messages; senders wait while it is reached.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._queue = curio.Queue(maxsize=capacity)

    @property
    def size(self) -> int:
        """Number of queued messages."""
        return self._queue.qsize()

    async def send(self, message: object) -> None:
        """Queue `message` without waiting for a reply."""
        await self._queue.put(Envelope(message))

    async def ask(self, message: object) -> Any:
        """Queue `message` and return the reply.

        Raises
        ------
        BaseException
            The exception that the owner replied with.
        """
        envelope = Envelope(message, done=curio.Event())
        await self._queue.put(envelope)
        await envelope.done.wait()
        if envelope.error is not None:
            raise envelope.error
        return envelope.result

    async def receive(self) -> Envelope:
        """Return the next envelope; only the owning task may call this."""
        return await self._queue.get()

    async def receive_within(self, wait_s: float) -> Envelope | None:
        """Return the next envelope, or None if none arrives in `wait_s` seconds."""
        return await curio.ignore_after(max(MIN_WAIT_S, wait_s), self._queue.get)

    async def __aiter__(self) -> AsyncIterator[Envelope]:
        while True:
            yield await self._queue.get()


def create_mailbox(capacity: int = DEFAULT_CAPACITY) -> Mailbox:
    """Return an empty mailbox."""
    return Mailbox(capacity)
