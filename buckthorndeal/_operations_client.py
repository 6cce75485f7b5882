"""Client of the control hosts' HTTP API that moves on when a host cannot answer."""

import curio
import msgspec

from buckthorndeal.control._models import ApiError, ApiErrorBody
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.http_client import HttpPool, create_http_pool
from buckthorndeal.settings import PeerAddress
from buckthorndeal.transport import Transport

ANSWER_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.3


class ControlClient:
    """Asks control hosts, and the next one when a host cannot answer.

    Repeating a call is safe: reads change nothing, and a change carries its id.

    Parameters
    ----------
    pools : dict of str to HttpPool
        Connections to the control hosts by name.
    key : str
        Key of the operator's team.
    timeout_s : float
        How long to go on asking the hosts.
    """

    def __init__(self, pools: dict[str, HttpPool], key: str, timeout_s: float) -> None:
        self._pools = pools
        self._key = key
        self._timeout_s = timeout_s
        self._preferred: str | None = None

    @property
    def hosts(self) -> list[str]:
        """Names of the control hosts."""
        return list(self._pools)

    async def request(
        self, method: str, target: str, body: object = None
    ) -> tuple[int, bytes]:
        """Return status and body of the first answer that is not a referral.

        Raises
        ------
        RequestError
            If no host has answered in time.
        """
        error = RequestError("no_answer", 504, "no control host has answered")
        async with curio.ignore_after(self._timeout_s):
            while True:
                for host in self._order_hosts():
                    try:
                        return await self._ask_leader(host, method, target, body)
                    except RequestError as failure:
                        error = failure
                await curio.sleep(RETRY_PAUSE_S)
        raise error

    async def request_host(
        self, host: str, method: str, target: str, body: object = None
    ) -> tuple[int, bytes]:
        """Return status and body of one host's answer.

        Raises
        ------
        RequestError
            If the host does not answer in time.
        """
        headers = [
            ("authorization", f"Bearer {self._key}"),
            ("content-type", "application/json"),
        ]
        data = b"" if body is None else msgspec.json.encode(body)
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                status, _, answer = await self._pools[host].fetch(
                    method, target, headers, data
                )
        except curio.TaskTimeout:
            raise RequestError(
                "no_answer", 504, f"{host} does not answer", Verdict.MAY_HAVE_RUN
            ) from None
        return status, answer

    async def close(self) -> None:
        """Close the connections."""
        for pool in self._pools.values():
            await pool.close()

    async def _ask_leader(
        self, host: str, method: str, target: str, body: object
    ) -> tuple[int, bytes]:
        status, answer = await self.request_host(host, method, target, body)
        if status < 500:
            self._preferred = host
            return status, answer
        error = decode_error(answer)
        self._preferred = error.leader if error.leader in self._pools else None
        raise RequestError(error.code, status, f"{host}: {error.message}")

    def _order_hosts(self) -> list[str]:
        preferred = self._preferred
        return sorted(self._pools, key=lambda host: host != preferred)


def decode_error(data: bytes) -> ApiError:
    """Return the error in the body of a failure response."""
    try:
        return msgspec.json.decode(data, type=ApiErrorBody).error
    except msgspec.MsgspecError:
        return ApiError(code="bad_answer", message="answer that cannot be read")


def create_control_client(
    transport: Transport, addresses: tuple[PeerAddress, ...], key: str, timeout_s: float
) -> ControlClient:
    """Return a client of the control hosts at `addresses`."""
    pools = {
        each.host: create_http_pool(transport, each.address, each.port)
        for each in addresses
    }
    return ControlClient(pools, key, timeout_s)
