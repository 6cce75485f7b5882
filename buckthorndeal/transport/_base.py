"""Abstract transport and the parts that its forms share."""

import abc
from collections.abc import Awaitable, Callable

import curio

__all__ = [
    "DatagramPort",
    "Listener",
    "Stream",
    "StreamHandler",
    "Transport",
    "run_handler",
]


class Stream(abc.ABC):
    """A bidirectional byte stream."""

    @abc.abstractmethod
    async def recv(self, max_bytes: int) -> bytes:
        """Return up to `max_bytes` bytes; empty at the end of the stream."""

    @abc.abstractmethod
    async def sendall(self, data: bytes) -> None:
        """Send all of `data`; raise OSError when the stream is broken."""

    @abc.abstractmethod
    def is_readable(self) -> bool:
        """Return whether data or an end of stream is waiting."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close both directions; closing twice is allowed."""

    async def abort(self) -> None:
        """End both directions at once; a waiting `recv` returns no data."""
        await self.close()


StreamHandler = Callable[[Stream], Awaitable[None]]


class Listener:
    """A listening address whose connections run as independent tasks.

    Parameters
    ----------
    port : int
        Port that was bound, in host byte order.
    accept_task : curio.Task
        Task that accepts connections.
    tasks : set of curio.Task
        Tasks of open connections.
    """

    def __init__(self, port: int, accept_task: curio.Task, tasks: set) -> None:
        self.port = port
        self._accept_task = accept_task
        self._tasks = tasks

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        await self._accept_task.cancel()

    async def close(self) -> None:
        """Close the listening socket and cancel the open connections."""
        await self.stop_accepting()
        for task in list(self._tasks):
            await task.cancel()


class Transport(abc.ABC):
    """Opens and accepts streams."""

    @abc.abstractmethod
    async def connect(self, address: str, port: int) -> Stream:
        """Open a stream; raise OSError when the peer cannot be reached."""

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
        Port that was bound, in host byte order.
    """

    def __init__(self, port: int) -> None:
        self.port = port

    @abc.abstractmethod
    async def recvfrom(self) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and the address of its sender."""

    @abc.abstractmethod
    async def sendto(self, data: bytes, address: str, port: int) -> None:
        """Send a datagram; it may be lost without an error."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Release the port; closing twice is allowed."""


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
