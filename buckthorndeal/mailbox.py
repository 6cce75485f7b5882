"""Message passing between tasks: a bounded queue owned by one task."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import curio

__all__ = ["Envelope", "Mailbox", "create_mailbox"]

DEFAULT_CAPACITY = 10_000
# Curio logs a warning when an operation ends after its timeout has passed, which
# happens with shorter waits.
MIN_WAIT_S = 0.002


@dataclass(eq=False)
class Envelope:
    """A message and the way to answer it.

    Parameters
    ----------
    message : object
        Typed message for the owner of the mailbox.
    """

    message: Any
    result: Any = None
    error: BaseException | None = None
    done: curio.Event | None = None

    async def reply(self, result: object = None) -> None:
        """Answer the message; without an asker the answer is dropped."""
        self.result = result
        if self.done is not None:
            await self.done.set()

    async def fail(self, error: BaseException) -> None:
        """Answer the message with an exception raised at the asker."""
        self.error = error
        if self.done is not None:
            await self.done.set()


class Mailbox:
    """Bounded queue of messages for the task that owns it.

    Parameters
    ----------
    capacity : int
        Largest number of waiting messages; senders wait beyond it.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._queue = curio.Queue(maxsize=capacity)

    @property
    def size(self) -> int:
        """Number of waiting messages."""
        return self._queue.qsize()

    async def send(self, message: object) -> None:
        """Queue `message` without waiting for an answer."""
        await self._queue.put(Envelope(message))

    async def ask(self, message: object) -> Any:
        """Queue `message` and return its answer.

        Raises
        ------
        BaseException
            The exception that the owner answered with.
        """
        envelope = Envelope(message, done=curio.Event())
        await self._queue.put(envelope)
        await envelope.done.wait()
        if envelope.error is not None:
            raise envelope.error
        return envelope.result

    async def receive(self) -> Envelope:
        """Return the next envelope; only the owner task calls this."""
        return await self._queue.get()

    async def receive_within(self, wait_s: float) -> Envelope | None:
        """Return the next envelope, or None if none comes in `wait_s` seconds."""
        return await curio.ignore_after(max(MIN_WAIT_S, wait_s), self._queue.get)

    async def __aiter__(self) -> AsyncIterator[Envelope]:
        while True:
            yield await self._queue.get()


def create_mailbox(capacity: int = DEFAULT_CAPACITY) -> Mailbox:
    """Return an empty mailbox."""
    return Mailbox(capacity)
