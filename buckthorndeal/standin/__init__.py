"""Simulated endpoints that register with entry hosts over the endpoint protocol."""

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
    """Identity of a simulated endpoint and its initial entry hosts.

    Parameters
    ----------
    name, service, region, failure_domain : str
        Identity that the endpoint announces.
    entry_hosts : tuple of (str, int)
        Addresses and ports of the entry hosts asked for the registrars.
    address : str
        Address to listen on and to announce.
    heartbeat_s : float
        Interval between heartbeats, in seconds.
    """

    name: str
    service: str
    region: str
    failure_domain: str
    entry_hosts: tuple[Address, ...]
    address: str = "127.0.0.1"
    heartbeat_s: float = HEARTBEAT_S


class StandinEndpoint:
    """A simulated endpoint.

    Parameters
    ----------
    settings : StandinSettings
        Identity and initial entry hosts.
    backend : StandinEngine or StandinPlainService
        Handles the requests and reports the load.
    transport : Transport
        Opens and accepts connections.
    incarnation : int
        Must increase each time an endpoint of this name starts.
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
        self._heartbeat_task: curio.Task | None = None

    @property
    def port(self) -> int:
        """Port that the HTTP server is bound to."""
        return self._server.port

    async def start(self) -> None:
        """Listen, and start to send announcements and heartbeats."""
        await self._server.start(self._transport, self.settings.address, 0)
        self._heartbeat_task = await curio.spawn(self._run_heartbeats, daemon=True)

    async def drain(self) -> None:
        """Drain: get no new requests, finish the active ones, leave and stop."""
        await self._heartbeat_task.cancel()
        await self._notify_all("drain")
        while self._server.active_requests:
            await curio.sleep(DRAIN_POLL_S)
        await self._notify_all("leave")
        await self.close()

    async def close(self) -> None:
        """Stop at once without notifying the registrars."""
        await self._heartbeat_task.cancel()
        await self._server.close()
        for pool in self._pools.values():
            await pool.close()

    async def _run_heartbeats(self) -> None:
        while True:
            next_due_s = await curio.clock() + self.settings.heartbeat_s
            if not self._registrars:
                await self._register()
            else:
                await self._send_heartbeats()
            # The timeout of a registrar that doesn't answer must not lengthen the
            # heartbeat interval.
            await curio.sleep(max(0.0, next_due_s - await curio.clock()))

    async def _register(self) -> None:
        for address in self.settings.entry_hosts:
            status, reply = await self._post(
                address, "announce", self._create_announcement()
            )
            if status != 200:
                continue
            self._registrars = _read_registrars(reply) or [address]
            for other in self._registrars:
                if other != address:
                    await self._post(other, "announce", self._create_announcement())
            return

    async def _send_heartbeats(self) -> None:
        heartbeat = self._create_heartbeat()
        # A registrar that doesn't answer must not delay the heartbeat to the other.
        async with curio.TaskGroup() as group:
            for address in self._registrars:
                await group.spawn(self._send_heartbeat, address, heartbeat)
        replies = [reply for reply in group.results if reply is not None]
        # When no registrar answers, the next round asks the initial entry hosts.
        self._registrars = _read_registrars(replies[0]) if replies else []

    async def _send_heartbeat(self, address: Address, heartbeat: dict) -> dict | None:
        status, reply = await self._post(address, "heartbeat", heartbeat)
        if status == 409:
            status, reply = await self._post(
                address, "announce", self._create_announcement()
            )
        return reply if status == 200 else None

    async def _notify_all(self, kind: str) -> None:
        for address in self._registrars:
            await self._post(address, kind, self._create_identity())

    def _create_identity(self) -> dict:
        return {"name": self.settings.name, "incarnation": self._incarnation}

    def _create_heartbeat(self) -> dict:
        return self._create_identity() | {
            "running": self.backend.running,
            "queued": self.backend.queued,
            "models": self.backend.models,
            "versions": self.backend.versions,
            "cache": self.backend.take_cache_reports(),
        }

    def _create_announcement(self) -> dict:
        settings = self.settings
        return self._create_identity() | {
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
        """Return status and decoded body; status 0 if the call failed."""
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
    """Return a simulated endpoint that is not started.

    Parameters
    ----------
    settings : StandinSettings
        Identity and initial entry hosts.
    backend : StandinEngine or StandinPlainService
        Handles the requests and reports the load.
    transport : Transport
        Opens and accepts connections.
    incarnation : int, optional
        Defaults to the current time in milliseconds, which increases with each
        start of the process.

    Returns
    -------
    StandinEndpoint
        The endpoint.
    """
    if incarnation is None:
        incarnation = time.time_ns() // 1_000_000
    return StandinEndpoint(settings, backend, transport, incarnation)
