"""Client of the control hosts' HTTP API, with failover between the hosts."""

import curio
import msgspec

from buckthorndeal.control._models import ApiError, ApiErrorBody
from buckthorndeal.errors import DECODING_ERRORS, RequestError, Verdict
from buckthorndeal.http_client import HttpPool, create_http_pool
from buckthorndeal.settings import PeerAddress
from buckthorndeal.transport import Transport

RESPONSE_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.3


class ControlClient:
    """Sends requests to the control hosts; if one fails, the next one is tried.

    Retries are safe: reads change nothing, and a change has an id by which the
    control hosts recognise a repetition.

    Parameters
    ----------
    pools : dict of str to HttpPool
        Connection pools of the control hosts by host name.
    key : str
        Key of the operator's team.
    timeout_s : float
        Maximum time in seconds that a request takes, including retries.
    """

    def __init__(self, pools: dict[str, HttpPool], key: str, timeout_s: float) -> None:
        self._pools = pools
        self._key = key
        self._timeout_s = timeout_s
        self._preferred_host: str | None = None

    @property
    def hosts(self) -> list[str]:
        """Names of the control hosts."""
        return list(self._pools)

    async def request(
        self, method: str, target: str, body: object = None
    ) -> tuple[int, bytes]:
        """Send a request to the control hosts until one of them handles it.

        A host that is not the leader responds with the name of the leader, which is
        tried first in the next round.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Path and query.
        body : object
            Encoded as JSON; None for an empty body.

        Returns
        -------
        tuple of int and bytes
            Status and body of the first response with a status below 500.

        Raises
        ------
        RequestError
            If no host handles the request in time.
        """
        error = RequestError(
            "no_answer",
            504,
            f"no control host responded within {self._timeout_s} s",
        )
        async with curio.ignore_after(self._timeout_s):
            while True:
                for host in self._order_hosts():
                    try:
                        return await self._try_host(host, method, target, body)
                    except RequestError as failure:
                        error = failure
                await curio.sleep(RETRY_PAUSE_S)
        raise error

    async def request_host(
        self, host: str, method: str, target: str, body: object = None
    ) -> tuple[int, bytes]:
        """Send a request to one host and return status and body of its response.

        Raises
        ------
        RequestError
            If the host does not respond in time.
        """
        headers = [
            ("authorization", f"Bearer {self._key}"),
            ("content-type", "application/json"),
        ]
        data = b"" if body is None else msgspec.json.encode(body)
        try:
            async with curio.timeout_after(RESPONSE_TIMEOUT_S):
                status, _, answer = await self._pools[host].fetch(
                    method, target, headers, data
                )
        except curio.TaskTimeout:
            raise RequestError(
                "no_answer",
                504,
                f"{host} did not respond within {RESPONSE_TIMEOUT_S} s",
                Verdict.MAY_HAVE_RUN,
            ) from None
        return status, answer

    async def close(self) -> None:
        """Close the connections."""
        for pool in self._pools.values():
            await pool.close()

    async def _try_host(
        self, host: str, method: str, target: str, body: object
    ) -> tuple[int, bytes]:
        """Send a request to one host; raise if its status is 500 or above."""
        status, answer = await self.request_host(host, method, target, body)
        if status < 500:
            self._preferred_host = host
            return status, answer
        error = decode_error(answer)
        self._preferred_host = error.leader if error.leader in self._pools else None
        raise RequestError(error.code, status, f"{host}: {error.message}")

    def _order_hosts(self) -> list[str]:
        preferred = self._preferred_host
        return sorted(self._pools, key=lambda host: host != preferred)


def decode_error(data: bytes) -> ApiError:
    """Return the error in the body of an error response."""
    try:
        return msgspec.json.decode(data, type=ApiErrorBody).error
    except DECODING_ERRORS:
        return ApiError(
            code="bad_answer", message="the response body cannot be decoded"
        )


def create_control_client(
    transport: Transport, addresses: tuple[PeerAddress, ...], key: str, timeout_s: float
) -> ControlClient:
    """Create a client of the control hosts at `addresses`."""
    pools = {
        each.host: create_http_pool(transport, each.address, each.port)
        for each in addresses
    }
    return ControlClient(pools, key, timeout_s)
