"""Places of an HTTP server's connections, and which of them make room for others."""

from collections.abc import Callable

from buckthorndeal._http_idle import IdleConnections
from buckthorndeal._http_incomplete import IncompleteRequests
from buckthorndeal._http_unread import PendingWrites
from buckthorndeal.connections import ConnectionLimits, create_connection_limits
from buckthorndeal.settings import Limits


class ConnectionPlaces:
    """Connections that one server serves at once.

    On a full server, a newcomer takes the place of the first of these that exists: a
    silent incomplete request, an idle connection, a response that its caller does not
    read, a slow incomplete request.

    Parameters
    ----------
    get_limits : callable
        Returns the present `Limits` of the server.
    share : float
        Share of the connections that the memory of the process allows.
    incomplete : IncompleteRequests
        Requests whose heads or bodies are not complete.
    idle : IdleConnections
        Connections that wait for a request.
    writes : PendingWrites
        Parts of responses that wait for their callers.

    Attributes
    ----------
    count : int
        Number of connections that are served.
    """

    def __init__(
        self,
        get_limits: Callable[[], Limits],
        share: float,
        incomplete: IncompleteRequests,
        idle: IdleConnections,
        writes: PendingWrites,
    ) -> None:
        self._get_limits = get_limits
        self._share = share
        self._incomplete = incomplete
        self._idle = idle
        self._writes = writes
        self._connections = create_connection_limits()
        self._port = 0
        self.count = 0

    @property
    def limit(self) -> int:
        """Number of connections that may be served at once."""
        configured = self._get_limits().max_connections
        return self._connections.limit_places(self._share, configured)

    @property
    def max_incomplete(self) -> int:
        """Number of requests that may stay incomplete."""
        return max(1, int(self.limit * self._get_limits().incomplete_share))

    def attach(self, connections: ConnectionLimits, port: int) -> None:
        """Use the limits of the process from now on, for the server of a port."""
        self._connections = connections
        self._port = port

    async def make_room(self) -> bool:
        """Return whether another connection may be served, after it has made room."""
        if self.count < self.limit:
            return True
        if self._incomplete.free_places() > 0:
            return True
        if self._idle.end_longest():
            self._record_close("idle")
            return True
        if await self._writes.abort_longest():
            self._record_close("unread")
            return True
        limits = self._get_limits()
        # At this rate the largest body is complete within its time.
        min_rate = limits.max_body_bytes / limits.body_timeout_s
        if self._incomplete.free_slow_place(min_rate):
            return True
        self._connections.record_refusal(self._port, self.count, self.limit)
        return False

    async def close_unread(self) -> None:
        """End the connections of callers that read nothing, until cancelled."""
        await self._writes.abort_overdue(
            lambda: self._get_limits().send_pause_s,
            lambda: self._record_close("unread"),
        )

    def _record_close(self, reason: str) -> None:
        self._connections.record_close(reason, self._port, self.count, self.limit)
