"""Abstract transport and the code that its implementations share."""

import abc
import errno
from collections.abc import Awaitable, Callable, Mapping

import curio

from buckthorndeal.connections import (
    Buffers,
    ConnectionLimits,
    create_connection_limits,
)
from buckthorndeal.memory import MemoryAccount, create_memory_account

__all__ = [
    "DatagramPort",
    "Listener",
    "Stream",
    "StreamHandler",
    "Transport",
    "is_shortage",
    "run_handler",
]


# Errors of a host that lacks descriptors or memory.
SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Stream(abc.ABC):
    """A bidirectional byte stream.

    Attributes
    ----------
    sent_bytes : int
        Bytes that the present and all earlier calls of `sendall` have passed on, for
        streams that can tell during a call.
    """

    sent_bytes = 0

    @abc.abstractmethod
    async def recv(self, max_bytes: int) -> bytes:
        """Return up to `max_bytes` bytes, or none at the end of the stream."""

    @abc.abstractmethod
    async def sendall(self, data: bytes) -> None:
        """Send all of `data`; raise OSError if the stream is broken."""

    @abc.abstractmethod
    def is_readable(self) -> bool:
        """Return whether `recv` would return at once, with data or at the end."""

    @abc.abstractmethod
    def is_ended(self) -> bool:
        """Return whether the peer has ended the stream, also while data is unread."""

    def has_unsent(self) -> bool:
        """Return whether the peer's host has not received all that was sent.

        Streams that cannot tell return False.
        """
        return False

    def set_buffers(self, buffers: Buffers) -> None:
        """Ask the kernel for other buffers; streams without such do nothing."""
        del buffers

    @abc.abstractmethod
    async def close(self) -> None:
        """Close both directions; closing twice is allowed."""

    async def end_sending(self) -> None:
        """Let the peer read the end of the stream, and go on reading.

        Streams that cannot end one direction alone do nothing.
        """
        return

    @abc.abstractmethod
    def end_reading(self) -> None:
        """Let a pending `recv` return no data, and later ones not wait.

        What has arrived already may still be read. Sending goes on.
        """

    async def abort(self) -> None:
        """Shut down both directions at once; a pending `recv` returns no data."""
        await self.close()


StreamHandler = Callable[[Stream], Awaitable[None]]


class Listener:
    """A listening address; each accepted connection is handled by its own task.

    Parameters
    ----------
    port : int
        Bound port.
    accept_task : curio.Task
        Task that accepts connections.
    tasks : set of curio.Task
        Tasks of the open connections.
    """

    def __init__(self, port: int, accept_task: curio.Task, tasks: set) -> None:
        self.port = port
        self._accept_task = accept_task
        self._tasks = tasks

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    def leave_free(self, share: float) -> None:
        """Accept connections only while more than a share of the descriptors is free.

        The others wait in the backlog.
        """
        del share

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections continue."""
        await self._accept_task.cancel()

    async def close(self) -> None:
        """Close the listening socket and cancel the open connections."""
        await self.stop_accepting()
        tasks = list(self._tasks)
        # None of them may run while another one is waited for.
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.cancel()


class Transport(abc.ABC):
    """Opens and accepts streams, and binds datagram ports.

    Parameters
    ----------
    memory : MemoryAccount, optional
        Account of what the process holds for messages.
    connections : ConnectionLimits, optional
        Numbers of connections that the process may keep.
    """

    def __init__(
        self,
        memory: MemoryAccount | None = None,
        connections: ConnectionLimits | None = None,
    ) -> None:
        self.memory = memory if memory is not None else create_memory_account()
        if connections is None:
            connections = create_connection_limits()
        self.connections = connections

    def read_counters(self) -> Mapping[str, int]:
        """Return counters for the metrics of the process, by name."""
        return {**self.memory.read_counters(), **self.connections.read_counters()}

    def has_free_descriptors(self, share: float, returning: int = 0) -> bool:
        """Return whether more than a share of the descriptors is free.

        `returning` descriptors, which are given back soon, count as free.
        """
        del share, returning
        return True

    @abc.abstractmethod
    async def connect(self, address: str, port: int) -> Stream:
        """Open a stream; raise OSError if the peer cannot be reached."""

    @abc.abstractmethod
    async def listen(self, address: str, port: int, handler: StreamHandler) -> Listener:
        """Accept streams on `address` and `port` (0 picks a free port)."""

    @abc.abstractmethod
    async def open_datagrams(self, address: str, port: int) -> "DatagramPort":
        """Bind a datagram port (0 picks a free port)."""


class DatagramPort(abc.ABC):
    """A bound port for datagrams.

    Parameters
    ----------
    port : int
        Bound port.
    """

    def __init__(self, port: int) -> None:
        self.port = port

    @abc.abstractmethod
    async def recvfrom(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and the address of its sender.

        Raises
        ------
        OSError
            If the port has been closed; errors of single datagrams are not raised.
        """

    @abc.abstractmethod
    async def sendto(self, data: bytes, address: str, port: int) -> None:
        """Send a datagram, which may be lost without an error."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Release the port; closing twice is allowed."""


def is_shortage(error: BaseException) -> bool:
    """Return whether an error is due to a lack of resources on this host."""
    return isinstance(error, OSError) and error.errno in SHORTAGE_ERRNOS


async def run_handler(handler: StreamHandler, stream: Stream, tasks: set) -> None:
    """Run `handler` for an accepted stream and close the stream afterwards."""
    try:
        await handler(stream)
    except OSError:
        pass
    finally:
        tasks.discard(await curio.current_task())
        async with curio.disable_cancellation():
            await stream.close()
