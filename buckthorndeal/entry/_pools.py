"""Connection pools for endpoints and entry hosts, and cancellation at endpoints."""

import curio
import msgspec

from buckthorndeal.errors import RequestError
from buckthorndeal.http_client import HttpPool, create_http_pool
from buckthorndeal.logs import log_event
from buckthorndeal.transport import Transport

CANCEL_TIMEOUT_S = 2.0
MAX_POOLS = 4_096


class ConnectionPools:
    """One HTTP connection pool for each address in use.

    Parameters
    ----------
    transport : Transport
        Opens the connections.
    host : str
        Name of this entry host for log lines.
    max_connections : int
        Maximum number of connections of one pool.
    """

    def __init__(self, transport: Transport, host: str, max_connections: int) -> None:
        self._transport = transport
        self._host = host
        self._max_connections = max_connections
        self._pools: dict[tuple[str, int], HttpPool] = {}
        self._cancel_tasks: set[curio.Task] = set()

    async def get(self, address: str, port: int) -> HttpPool:
        """Return the pool for an address; it is created if needed."""
        key = (address, port)
        if key not in self._pools:
            if len(self._pools) >= MAX_POOLS:
                # The oldest entry most likely belongs to an endpoint that has left.
                await self._pools.pop(next(iter(self._pools))).close()
            self._pools[key] = create_http_pool(
                self._transport, address, port, self._max_connections
            )
        return self._pools[key]

    async def cancel_in_background(
        self, address: str, port: int, attempt_id: str
    ) -> None:
        """Cancel an attempt at an endpoint, without waiting for the reply."""
        await curio.spawn(self._send_cancel, address, port, attempt_id, daemon=True)

    async def _send_cancel(self, address: str, port: int, attempt_id: str) -> None:
        task = await curio.current_task()
        self._cancel_tasks.add(task)
        body = msgspec.json.encode({"request_id": attempt_id})
        headers = [("content-type", "application/json")]
        pool = await self.get(address, port)
        try:
            async with curio.timeout_after(CANCEL_TIMEOUT_S):
                await pool.fetch("POST", "/cancel", headers, body)
        except (RequestError, curio.TaskTimeout) as error:
            log_event(
                "cancel_failed",
                host=self._host,
                attempt_id=attempt_id,
                reason=str(error),
            )
        finally:
            self._cancel_tasks.discard(task)

    async def close(self) -> None:
        """Wait for the pending cancellations and close all pools."""
        for task in list(self._cancel_tasks):
            await task.join()
        for pool in self._pools.values():
            await pool.close()
