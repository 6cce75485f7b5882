"""Attempts under way that may be repeated elsewhere once the path is lost."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import curio

from buckthorndeal.errors import ConnectionBrokenError
from buckthorndeal.http_client import ClientConnection, abort_connection

# Time without any bytes on a lost path after which an attempt is to go on elsewhere.
# Connections that were open before may go on.
SILENCE_S = 0.4


@dataclass(frozen=True, slots=True)
class Handover:
    """Gives an attempt to another endpoint or host.

    Parameters
    ----------
    find : callable
        Coroutine function that returns whether another one has taken the request.
    release : callable
        Coroutine function that gives that one back.
    """

    find: Callable[[], Awaitable[bool]]
    release: Callable[[], Awaitable[None]]


@dataclass(slots=True)
class _OpenAttempt:
    """Connection of an attempt, and since when it has brought nothing.

    Parameters
    ----------
    read_count : int
        Reads of the connection when it was last looked at.
    silent_since_s : float or None
        Clock reading then; None before.
    search : curio.Task or None
        Task that looks for another endpoint or host.
    """

    connection: ClientConnection
    handover: Handover
    read_count: int = 0
    silent_since_s: float | None = None
    search: curio.Task | None = None


class OpenAttempts:
    """Connections of the attempts that may be repeated at another endpoint."""

    def __init__(self) -> None:
        # By the host that the request was forwarded to; None for own connections to
        # endpoints.
        self._attempts: dict[str | None, dict[int, _OpenAttempt]] = {}
        self._ended = 0

    def add(
        self,
        attempt_id: int,
        host: str | None,
        connection: ClientConnection,
        handover: Handover,
    ) -> None:
        """Add an attempt whose request is about to be sent, to a host or endpoint."""
        attempt = _OpenAttempt(connection, handover)
        self._attempts.setdefault(host, {})[attempt_id] = attempt

    async def remove(self, attempt_id: int, host: str | None) -> None:
        """Remove an attempt that has ended."""
        attempts = self._attempts.get(host)
        attempt = attempts.pop(attempt_id, None) if attempts else None
        if attempt is None:
            return
        if not attempts:
            del self._attempts[host]
        if attempt.search is not None:
            await attempt.search.cancel()

    async def replace_silent(self, hosts: Iterable[str | None], now_s: float) -> int:
        """Look for a replacement of the attempts that have brought nothing of late.

        Called repeatedly while a path is lost: the silence counts from the first call.
        An attempt ends only once another endpoint or host has taken its request, as its
        endpoint may go on.

        Parameters
        ----------
        hosts : iterable of str or None
            Hosts without a path to endpoints; None for this one.
        now_s : float
            Clock reading.

        Returns
        -------
        ended : int
            Number of attempts that have ended so since the last call.
        """
        for host in hosts:
            for attempt in list(self._attempts.get(host, {}).values()):
                if attempt.search is None and self._is_silent(attempt, now_s):
                    attempt.search = await curio.spawn(
                        self._replace, attempt, daemon=True
                    )
        ended, self._ended = self._ended, 0
        return ended

    async def _replace(self, attempt: _OpenAttempt) -> None:
        connection = attempt.connection
        read_count = connection.read_count
        if await attempt.handover.find():
            if connection.read_count == read_count:
                self._ended += 1
                error = ConnectionBrokenError("the path to the endpoint is lost")
                await abort_connection(connection, error)
                return
            await attempt.handover.release()
        attempt.silent_since_s = None
        attempt.search = None

    def _is_silent(self, attempt: _OpenAttempt, now_s: float) -> bool:
        connection = attempt.connection
        has_read = connection.read_count != attempt.read_count
        if attempt.silent_since_s is None or has_read or not connection.is_reading:
            attempt.read_count = connection.read_count
            attempt.silent_since_s = now_s
            return False
        return now_s - attempt.silent_since_s >= SILENCE_S
