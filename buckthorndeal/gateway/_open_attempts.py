"""Attempts under way that may be repeated elsewhere once the path is lost."""

from dataclasses import dataclass

from buckthorndeal.errors import ConnectionBrokenError
from buckthorndeal.http_client import ClientConnection, abort_connection

# Time without any bytes after which an attempt is given up on a lost path. Connections
# that were open before may go on.
SILENCE_S = 0.4


@dataclass(slots=True)
class _OpenAttempt:
    """Connection of an attempt, and since when it has brought nothing.

    Parameters
    ----------
    read_count : int
        Reads of the connection when it was last looked at.
    silent_since_s : float or None
        Clock reading then; None before.
    """

    connection: ClientConnection
    read_count: int = 0
    silent_since_s: float | None = None


class OpenAttempts:
    """Connections of the attempts that may be repeated at another endpoint."""

    def __init__(self) -> None:
        self._attempts: dict[int, _OpenAttempt] = {}

    def add(self, attempt_id: int, connection: ClientConnection) -> None:
        """Add an attempt whose request is about to be sent."""
        self._attempts[attempt_id] = _OpenAttempt(connection)

    def remove(self, attempt_id: int) -> None:
        """Remove an attempt that has ended."""
        self._attempts.pop(attempt_id, None)

    async def end_silent(self, now_s: float) -> int:
        """End the attempts that have brought nothing of late; return their number.

        Called repeatedly while the path is lost: the silence counts from the first
        call.
        """
        ended = 0
        for attempt_id, attempt in list(self._attempts.items()):
            if not self._is_silent(attempt, now_s):
                continue
            del self._attempts[attempt_id]
            error = ConnectionBrokenError("the path to the endpoint is lost")
            await abort_connection(attempt.connection, error)
            ended += 1
        return ended

    def _is_silent(self, attempt: _OpenAttempt, now_s: float) -> bool:
        connection = attempt.connection
        has_read = connection.read_count != attempt.read_count
        if attempt.silent_since_s is None or has_read or not connection.is_reading:
            attempt.read_count = connection.read_count
            attempt.silent_since_s = now_s
            return False
        return now_s - attempt.silent_since_s >= SILENCE_S
