"""Health checks of endpoints over HTTP."""

from collections.abc import Callable

import curio

from buckthorndeal.errors import RequestError
from buckthorndeal.gateway._fleet_messages import ColdCheck
from buckthorndeal.gateway._pools import Pools
from buckthorndeal.gateway.dialect import Dialect, EndpointHints, HealthMetadata

# Two round trips within a region and a short wait for a slot. A later answer is of
# little use, as heartbeats come about once a second.
HEALTH_TIMEOUT_S = 0.5


class HealthClient:
    """Asks endpoints for their health.

    Parameters
    ----------
    pools : Pools
        Connections to endpoints.
    dialect : Dialect
        Header names of endpoints.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, pools: Pools, dialect: Dialect, clock: Callable[[], float]
    ) -> None:
        self._pools = pools
        self._dialect = dialect
        self._clock = clock

    async def check(self, check: ColdCheck) -> HealthMetadata | None:
        """Return the answer of an endpoint, or None if it gives none in time.

        It is asked over a new connection, where no answer to an earlier request can
        arrive in place of its own.
        """
        record = check.record
        pool = self._pools.get_endpoint_pool(
            record, check.max_connections, self._clock()
        )
        headers = self._dialect.build_headers(
            {}, HEALTH_TIMEOUT_S, EndpointHints(record.endpoint, None), None
        )
        try:
            async with (
                curio.timeout_after(HEALTH_TIMEOUT_S),
                pool.request("GET", check.path, headers, fresh=True) as response,
            ):
                return self._dialect.parse_health(response.headers)
        except (RequestError, curio.TaskTimeout):
            return None
