"""Entry hosts that find each other, on the in-memory transport with shaped links."""

import logging
import unittest

import curio
import msgspec
from absl import logging as absl_logging

from buckthorndeal._entry_document import create_document_view
from buckthorndeal._entry_messages import ListEndpoints, ListHosts
from buckthorndeal.entry import create_entry_host
from buckthorndeal.http_client import create_http_pool
from buckthorndeal.http_server import create_http_server
from buckthorndeal.sections import parse_section
from buckthorndeal.settings import Address, EntrySettings, Limits, PeerAddress
from buckthorndeal.transport import (
    create_link_shape,
    create_memory_transport,
    create_shaped_transport,
)
from tests.support import PLATFORM, WORKSPACES

# Longest wait of a test for a state; not a bound of the product.
WAIT_S = 30.0
PEER_PORT = 7000
REGIONS = {"e1": "r1", "e2": "r1", "e3": "r2", "e4": "r2"}


class System:
    """Entry hosts on one in-memory network; the place of a host is its name."""

    def __init__(self, regions=None, **settings):
        self.regions = regions or REGIONS
        self.settings = settings
        self.shape = create_link_shape()
        self.memory = create_memory_transport()
        self.hosts = {}
        self.parts = []

    def create_transport(self, place):
        return create_shaped_transport(self.memory, self.shape, place)

    async def start(self):
        for host in self.regions:
            await self.start_host(host)
        await self.wait_for_hosts()

    async def start_host(self, host):
        number = int(host.removeprefix("e"))
        settings = EntrySettings(
            host=host,
            region=self.regions[host],
            failure_domain=f"{self.regions[host]}-{number}",
            listen=Address(port=8000 + number),
            peer_listen=Address(port=PEER_PORT + number),
            control_hosts=(PeerAddress(host="c1", port=1),),
            seeds=(Address(port=PEER_PORT + 1), Address(port=PEER_PORT + 3)),
            peer_keys=("00112233445566778899aabbccddeeff",),
            **{"drain_notice_s": 0.05, **self.settings},
        )
        self.hosts[host] = create_entry_host(
            settings, self.create_transport(host), self.create_view()
        )
        await self.hosts[host].start()

    def create_view(self):
        accounts = msgspec.json.encode({"workspaces": WORKSPACES}).decode()
        return create_document_view(
            parse_section("platform", PLATFORM),
            parse_section("accounts", accounts),
            parse_section("support", "{}"),
        )

    async def stop_host(self, host):
        """Stop a host without an announcement, as in a crash."""
        await self.hosts.pop(host).close()

    async def close(self):
        for part in (*self.parts, *self.hosts.values()):
            await part.close()

    async def list_hosts(self, host):
        answer = await self.hosts[host].router.ask(ListHosts("r1"))
        return sorted(record.host for record in answer.hosts)

    async def wait_for_hosts(self):
        for host in self.hosts:
            while await self.list_hosts(host) != sorted(self.hosts):
                await curio.sleep(0.01)

    async def list_endpoints(self, host):
        views = await self.hosts[host].router.ask(ListEndpoints())
        return {view.name: view.state for view in views}

    async def tell(self, host, kind, **fields):
        """Send a message of an endpoint to a host; return status and answer."""
        pool = self.create_pool(host)
        body = msgspec.json.encode({"incarnation": 1, **fields})
        status, _, answer = await pool.fetch("POST", f"/v1/endpoints/{kind}", [], body)
        return status, msgspec.json.decode(answer)

    async def announce(self, host, name, handler=None, service="desk", place=None):
        """Serve `handler` at the host's region and announce it to one host."""
        region = self.regions[host]
        transport = self.create_transport(place or host)
        server = create_http_server(handler, Limits())
        await server.start(transport, "127.0.0.1", 0)
        self.parts.append(server)
        description = {
            "name": name,
            "service": service,
            "region": region,
            "failure_domain": f"{region}-1",
            "address": "127.0.0.1",
            "port": server.port,
            "slots": 64,
        }
        return await self.tell(host, "announce", **description)

    def create_pool(self, host, place=None):
        transport = self.create_transport(place or host)
        number = int(host.removeprefix("e"))
        pool = create_http_pool(transport, "127.0.0.1", 8000 + number)
        self.parts.append(pool)
        return pool

    async def book(self, host, key, workspace="free", body=b"{}", headers=()):
        head = [
            ("authorization", f"Bearer key-{workspace}"),
            ("idempotency-key", key),
            *headers,
        ]
        status, _, answer = await self.create_pool(host).fetch(
            "POST", "/services/desk/book", head, body
        )
        return status, msgspec.json.decode(answer)


class SystemCase(unittest.TestCase):
    """Runs scenarios against a system and keeps its log."""

    def run_system(self, scenario, system=None, limit_s=WAIT_S):
        system = system or System()

        async def main():
            try:
                async with curio.timeout_after(limit_s):
                    await system.start()
                    return await scenario(system)
            finally:
                await system.close()

        with self.assertLogs(absl_logging.get_absl_logger(), logging.INFO) as logs:
            result = curio.run(main)
        self.log_text = "\n".join(
            f"{record.getMessage()} {getattr(record, 'buckthorndeal_fields', '')}"
            for record in logs.records
        )
        return result
