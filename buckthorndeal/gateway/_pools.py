"""HTTP connection pools to endpoints and to other entry hosts."""

from dataclasses import dataclass

import curio

from buckthorndeal.fleet import EndpointRecord
from buckthorndeal.http_client import HttpPool, create_http_pool
from buckthorndeal.transport import Transport, is_shortage

# Two round trips within a region; slower endpoints are avoided.
ENDPOINT_CONNECT_TIMEOUT_S = 0.4
ENDPOINT_IDLE_TIMEOUT_S = 4.0
# Three round trips between regions.
HOST_CONNECT_TIMEOUT_S = 0.6
HOST_IDLE_TIMEOUT_S = 10.0
MAX_HOST_CONNECTIONS = 512
UNUSED_POOL_TIMEOUT_S = 20.0


@dataclass(eq=False)
class _PoolEntry:
    pool: HttpPool
    last_used_s: float


class Pools:
    """Connection pools to endpoints and hosts.

    Parameters
    ----------
    transport : Transport
        Opens connections.
    forward_port : int
        Port on which other entry hosts accept forwarded requests.
    """

    def __init__(self, transport: Transport, forward_port: int) -> None:
        self._transport = transport
        self._forward_port = forward_port
        # By address and incarnation: requests at a process that is gone may keep their
        # connections for long, and those at the next one must not wait for them.
        self._endpoints: dict[tuple[str, int], _PoolEntry] = {}
        self._hosts: dict[str, _PoolEntry] = {}

    def get_endpoint_pool(
        self, record: EndpointRecord, connections: int, now_s: float
    ) -> HttpPool:
        """Return the pool of an endpoint's incarnation; create it if there is none.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        connections : int
            Newest connection limit of the pool.
        now_s : float
            Clock reading.
        """
        key = (record.address, record.incarnation)
        entry = self._endpoints.get(key)
        if entry is None:
            ip, _, port = record.address.rpartition(":")
            pool = create_http_pool(
                self._transport,
                ip,
                int(port),
                connections,
                ENDPOINT_CONNECT_TIMEOUT_S,
                ENDPOINT_IDLE_TIMEOUT_S,
            )
            entry = self._endpoints[key] = _PoolEntry(pool, now_s)
        entry.pool.set_limit(connections)
        entry.last_used_s = now_s
        return entry.pool

    async def close_idle_endpoints(self) -> None:
        """Close the idle connections to all endpoints, which may be dead."""
        for entry in self._endpoints.values():
            await entry.pool.close_idle()

    async def accepts_connection(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint accepts a new connection.

        An endpoint is not blamed for a shortage of this host.
        """
        ip, _, port = record.address.rpartition(":")
        try:
            async with curio.timeout_after(ENDPOINT_CONNECT_TIMEOUT_S):
                stream = await self._transport.connect(ip, int(port))
        except (OSError, curio.TaskTimeout) as error:
            return is_shortage(error)
        await stream.close()
        return True

    def get_host_pool(self, host: str, now_s: float) -> HttpPool:
        """Return the pool of another entry host."""
        entry = self._hosts.get(host)
        if entry is None:
            pool = create_http_pool(
                self._transport,
                host,
                self._forward_port,
                MAX_HOST_CONNECTIONS,
                HOST_CONNECT_TIMEOUT_S,
                HOST_IDLE_TIMEOUT_S,
            )
            entry = self._hosts[host] = _PoolEntry(pool, now_s)
        entry.last_used_s = now_s
        return entry.pool

    async def close_unused(self, now_s: float) -> None:
        """Close the pools unused for longer than `UNUSED_POOL_TIMEOUT_S`."""
        for pools in (self._endpoints, self._hosts):
            for key, entry in list(pools.items()):
                if now_s - entry.last_used_s > UNUSED_POOL_TIMEOUT_S:
                    del pools[key]
                    await entry.pool.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for pools in (self._endpoints, self._hosts):
            for entry in pools.values():
                await entry.pool.close()


def create_pools(transport: Transport, forward_port: int) -> Pools:
    """Return pools without open connections."""
    return Pools(transport, forward_port)
