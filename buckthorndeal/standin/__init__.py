"""Stand-in endpoints that announce themselves over the endpoint protocol."""

import time
from dataclasses import dataclass

import curio
import msgspec

from buckthorndeal.errors import RequestError
from buckthorndeal.http_client import HttpPool, create_http_pool
from buckthorndeal.http_server import create_http_server
from buckthorndeal.logs import log_event
from buckthorndeal.settings import Limits
from buckthorndeal.standin._engine import StandinEngine, iter_tokens
from buckthorndeal.standin._plain import StandinPlainService
from buckthorndeal.transport import Transport

__all__ = [
    "StandinEndpoint",
    "StandinEngine",
    "StandinPlainService",
    "StandinSettings",
    "create_standin",
    "iter_tokens",
]

HEARTBEAT_S = 1.0
CALL_TIMEOUT_S = 1.0
DRAIN_POLL_S = 0.02

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Identity of a stand-in and the entry hosts that it knows at the start."""

    name: str
    service: str
    region: str
    failure_domain: str
    entry_hosts: tuple[Address, ...]
    address: str = "127.0.0.1"
    heartbeat_s: float = HEARTBEAT_S


class StandinEndpoint:
    """One stand-in endpoint.

    Parameters
    ----------
    settings : StandinSettings
        Identity.
    backend : StandinEngine or StandinPlainService
        Handles the requests and tells the load.
    transport : Transport
        Opens and accepts connections.
    incarnation : int
        Rises each time an endpoint of this name starts.
    """

    def __init__(
        self,
        settings: StandinSettings,
        backend: StandinEngine | StandinPlainService,
        transport: Transport,
        incarnation: int,
    ) -> None:
        self.settings = settings
        self.backend = backend
        self._transport = transport
        self._incarnation = incarnation
        self._server = create_http_server(backend.handle, Limits())
        self._pools: dict[Address, HttpPool] = {}
        self._registrars: list[Address] = []
        self._task: curio.Task | None = None

    @property
    def port(self) -> int:
        """Bound port."""
        return self._server.port

    async def start(self) -> None:
        """Listen and start to announce."""
        await self._server.start(self._transport, self.settings.address, 0)
        self._task = await curio.spawn(self._run_reports, daemon=True)

    async def drain(self) -> None:
        """Ask for no new requests, let the running ones end, and leave."""
        await self._task.cancel()
        await self._notify_all("drain")
        while self._server.active_requests:
            await curio.sleep(DRAIN_POLL_S)
        await self._notify_all("leave")
        await self.close()

    async def close(self) -> None:
        """Stop at once without telling anyone."""
        await self._task.cancel()
        await self._server.close()
        for pool in self._pools.values():
            await pool.close()

    async def _run_reports(self) -> None:
        while True:
            next_s = await curio.clock() + self.settings.heartbeat_s
            if not self._registrars:
                await self._find_registrars()
            else:
                await self._send_heartbeats()
            # The wait for a silent registrar must not add to the period.
            await curio.sleep(max(0.0, next_s - await curio.clock()))

    async def _find_registrars(self) -> None:
        for address in self.settings.entry_hosts:
            status, reply = await self._post(address, "announce", self._describe())
            if status != 200:
                continue
            self._registrars = _read_registrars(reply) or [address]
            for other in self._registrars:
                if other != address:
                    await self._post(other, "announce", self._describe())
            return

    async def _send_heartbeats(self) -> None:
        report = self._report()
        # A silent registrar must not delay the heartbeats to the other one.
        async with curio.TaskGroup() as group:
            for address in self._registrars:
                await group.spawn(self._send_heartbeat, address, report)
        replies = [reply for reply in group.results if reply is not None]
        # Without an answer the known entry hosts are asked for registrars again.
        self._registrars = _read_registrars(replies[0]) if replies else []

    async def _send_heartbeat(self, address: Address, report: dict) -> dict | None:
        status, reply = await self._post(address, "heartbeat", report)
        if status == 409:
            status, reply = await self._post(address, "announce", self._describe())
        return reply if status == 200 else None

    async def _notify_all(self, kind: str) -> None:
        for address in self._registrars:
            await self._post(address, kind, self._identify())

    def _identify(self) -> dict:
        return {"name": self.settings.name, "incarnation": self._incarnation}

    def _report(self) -> dict:
        return self._identify() | {
            "running": self.backend.running,
            "queued": self.backend.queued,
            "models": self.backend.models,
            "versions": self.backend.versions,
            "cache": self.backend.take_cache_reports(),
        }

    def _describe(self) -> dict:
        settings = self.settings
        return self._identify() | {
            "service": settings.service,
            "region": settings.region,
            "failure_domain": settings.failure_domain,
            "address": settings.address,
            "port": self.port,
            "models": self.backend.models,
            "versions": self.backend.versions,
            "model_slots": self.backend.model_slots,
            "slots": self.backend.slots,
            "checks_fencing": self.backend.checks_fencing,
        }

    async def _post(self, address: Address, kind: str, body: dict) -> tuple[int, dict]:
        """Return status and body; status 0 if there was no answer."""
        if address not in self._pools:
            self._pools[address] = create_http_pool(self._transport, *address, 1)
        headers = [("content-type", "application/json")]
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S):
                status, _, answer = await self._pools[address].fetch(
                    "POST",
                    f"/v1/endpoints/{kind}",
                    headers,
                    msgspec.json.encode(body),
                )
                return status, msgspec.json.decode(answer)
        except (RequestError, curio.TaskTimeout, msgspec.DecodeError) as error:
            log_event(
                "endpoint_report_failed",
                endpoint=self.settings.name,
                kind=kind,
                reason=str(error),
            )
            return 0, {}


def _read_registrars(reply: dict) -> list[Address]:
    return [(entry["address"], entry["port"]) for entry in reply["registrars"]]


def create_standin(
    settings: StandinSettings,
    backend: StandinEngine | StandinPlainService,
    transport: Transport,
    incarnation: int | None = None,
) -> StandinEndpoint:
    """Return a stand-in that is not started.

    Without `incarnation` the start time in milliseconds is used, which rises
    with each start of the process.
    """
    if incarnation is None:
        incarnation = time.time_ns() // 1_000_000
    return StandinEndpoint(settings, backend, transport, incarnation)
