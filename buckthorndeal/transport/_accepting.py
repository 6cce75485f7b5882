"""Accepting of TCP connections, which goes on after each error."""

import errno
import socket

import curio
from curio.io import Socket

from buckthorndeal.connections import NARROW_BUFFERS
from buckthorndeal.transport._base import (
    Listener,
    Stream,
    StreamHandler,
    run_handler,
)
from buckthorndeal.transport._descriptors import Descriptors
from buckthorndeal.transport._failures import FailureLog
from buckthorndeal.transport._streams import create_socket_stream, limit_buffers

# Errors of a single connection, which `accept` takes from the backlog and gives up.
CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    )
)
# Connections that are accepted before the first of them is looked at.
MAX_ACCEPTS_IN_A_ROW = 16
# Connections that may fail in a row without a pause.
MAX_PROMPT_RETRIES = 32
RETRY_PAUSE_S = 0.02
# Time that a stop spends on a backlog that cannot be accepted.
BACKLOG_TIMEOUT_S = 0.25


class AcceptLoop:
    """Accepts the connections of one listening socket until it is cancelled.

    Parameters
    ----------
    sock : curio.io.Socket
        Listening socket, which is closed at the end.
    backlog : int
        Number of connections that may wait to be accepted.
    handler : callable
        Coroutine function called with each accepted stream.
    tasks : set of curio.Task
        Tasks of the open connections.
    failures : FailureLog
        Counts and logs the errors.
    descriptors : Descriptors
        Counts the sockets.

    Attributes
    ----------
    reserved_share : float
        Share of the descriptors that is left free by accepting nothing more.
    """

    def __init__(
        self,
        sock: Socket,
        backlog: int,
        handler: StreamHandler,
        tasks: set,
        failures: FailureLog,
        descriptors: Descriptors,
    ) -> None:
        self._sock = sock
        self._backlog = backlog
        self._port = sock.getsockname()[1]
        self._handler = handler
        self._tasks = tasks
        self._failures = failures
        self._descriptors = descriptors
        self._failures_in_a_row = 0
        self.reserved_share = 0.0

    async def run(self) -> None:
        """Accept connections; on cancellation, also those that wait at that moment."""
        async with self._sock:
            try:
                while True:
                    await self._accept_some()
                    # An accept that need not wait lets no other task run.
                    await curio.sleep(0)
            except curio.CancelledError:
                # Closing the socket would reset the connections in its backlog.
                await curio.ignore_after(BACKLOG_TIMEOUT_S, self._accept_backlog)
                raise

    async def _accept_some(self) -> None:
        """Accept connections; they are refused or served before further ones."""
        for _ in range(MAX_ACCEPTS_IN_A_ROW):
            await self._wait_for_descriptors()
            await self._accept()

    async def _wait_for_descriptors(self) -> None:
        while not self._descriptors.has_free(self.reserved_share):
            await curio.sleep(RETRY_PAUSE_S)

    async def _accept(self) -> None:
        try:
            client, _ = await self._sock.accept()
            stream = create_socket_stream(client, self._descriptors)
        except OSError as error:
            self._record_failure(error)
            if self._has_to_pause(error):
                await curio.sleep(RETRY_PAUSE_S)
            return
        self._failures_in_a_row = 0
        await self._spawn_handler(stream)

    async def _accept_backlog(self) -> None:
        """Accept the connections that wait at this moment."""
        left = self._backlog
        while left > 0:
            accepted, error = self._list_waiting(left)
            for stream in accepted:
                await self._spawn_handler(stream)
            if error is None:
                return
            left -= len(accepted)
            self._record_failure(error)
            if self._has_to_pause(error):
                await curio.sleep(RETRY_PAUSE_S)

    def _list_waiting(self, limit: int) -> tuple[list[Stream], OSError | None]:
        """Return connections of the backlog, and the error before its end if any.

        Nothing else runs meanwhile, so that callers that come later are not accepted.
        """
        accepted: list[Stream] = []
        with self._sock.blocking() as listening:
            listening.setblocking(False)
            while len(accepted) < limit:
                try:
                    client, _ = listening.accept()
                    accepted.append(
                        create_socket_stream(Socket(client), self._descriptors)
                    )
                except BlockingIOError:
                    break
                except OSError as error:
                    return accepted, error
        return accepted, None

    def _record_failure(self, error: OSError) -> None:
        self._failures_in_a_row += 1
        self._failures.record(self._port, error, connections=len(self._tasks))

    def _has_to_pause(self, error: OSError) -> bool:
        """Return whether the same error is to be expected at once.

        A connection that was aborted holds up the others only if many are.
        """
        is_of_connection = error.errno in CONNECTION_ERRNOS
        return not is_of_connection or self._failures_in_a_row > MAX_PROMPT_RETRIES

    async def _spawn_handler(self, stream: Stream) -> None:
        task = await curio.spawn(
            run_handler, self._handler, stream, self._tasks, daemon=True
        )
        self._tasks.add(task)


class SocketListener(Listener):
    """Listener over a TCP socket.

    Parameters
    ----------
    port : int
        Bound port.
    accept_task : curio.Task
        Task that runs `loop`.
    tasks : set of curio.Task
        Tasks of the open connections.
    loop : AcceptLoop
        Accepts the connections.
    """

    def __init__(
        self, port: int, accept_task: curio.Task, tasks: set, loop: AcceptLoop
    ) -> None:
        super().__init__(port, accept_task, tasks)
        self._loop = loop

    def leave_free(self, share: float) -> None:
        """Accept connections only while more descriptors than a share are free."""
        self._loop.reserved_share = share


def listen_on_socket(address: str, port: int, backlog: int) -> Socket:
    """Return a listening socket, whose connections have narrow buffers from the start.

    What arrives before a connection is accepted is held by the kernel as well, so
    that the buffers are set before the first one can come.

    Raises
    ------
    OSError
        If the address or the port cannot be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
        limit_buffers(sock, NARROW_BUFFERS)
        sock.bind((address, port))
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return Socket(sock)
