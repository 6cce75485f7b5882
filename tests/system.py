"""Entry and control hosts on an in-memory network with shaped links, for tests."""

import logging
import os
import tempfile
import unittest

import curio
import msgspec
from absl import logging as absl_logging

from buckthorndeal.authentication import hash_key
from buckthorndeal.control import create_control
from buckthorndeal.entry import create_entry_host
from buckthorndeal.entry._document import create_document_view
from buckthorndeal.entry._messages import GetDocument, ListEndpoints, ListHosts
from buckthorndeal.http_client import create_http_pool
from buckthorndeal.http_server import create_http_server
from buckthorndeal.operations import create_control_client
from buckthorndeal.sections import parse_section
from buckthorndeal.settings import (
    Address,
    ControlSettings,
    EntrySettings,
    Limits,
    PeerAddress,
)
from buckthorndeal.transport import (
    ShapedTransport,
    create_link_shape,
    create_memory_transport,
)
from tests.support import PLATFORM, WORKSPACES

# Longest time that a test waits for a state; not a limit of the gateway.
WAIT_S = 30.0
PEER_PORT = 7000
REGIONS = {"e1": "r1", "e2": "r1", "e3": "r2", "e4": "r2"}
CONTROL_PORT = 7100
CONTROL_HTTP_PORT = 7200
CONTROL_REGIONS = {"c1": "r1", "c2": "r2", "c3": "r2"}
PEER_KEYS = ("00112233445566778899aabbccddeeff",)
TEXTS = {
    "platform": PLATFORM,
    "accounts": msgspec.json.encode({"workspaces": WORKSPACES}).decode(),
    "support": "{}",
    "teams": msgspec.json.encode(
        {
            "teams": {
                "all": {
                    "key_hashes": [hash_key("team-key")],
                    "sections": ["teams", "platform", "accounts", "support"],
                }
            }
        }
    ).decode(),
}


class RecordingTransport(ShapedTransport):
    """Records the bytes sent on opened streams, with the places of both ends."""

    def __init__(self, inner, shape, place, sent):
        super().__init__(inner, shape, place)
        self._sent = sent

    async def connect(self, address, port):
        stream = await super().connect(address, port)
        link = (self._place, self._shape.get_place(address, port))
        send = stream.sendall

        async def sendall(data):
            self._sent.append((link, bytes(data)))
            await send(data)

        stream.sendall = sendall
        return stream


class System:
    """Entry hosts on one in-memory network, where the place of a host is its name.

    Parameters
    ----------
    regions : dict of str to str, optional
        Region of each entry host.
    control : bool
        Whether control hosts run as well, and all hosts keep their state on disk.
    **settings
        Further fields of `EntrySettings`.
    """

    def __init__(self, regions=None, control=False, **settings):
        self.regions = regions or REGIONS
        self.control_hosts = {}
        self.directory = tempfile.TemporaryDirectory() if control else None
        self.settings = settings
        self.shape = create_link_shape()
        self.memory = create_memory_transport()
        self.hosts = {}
        self.resources = []
        self.sent = []

    def create_transport(self, place):
        return RecordingTransport(self.memory, self.shape, place, self.sent)

    async def start(self):
        if self.directory is not None:
            await self.start_control_hosts()
        async with curio.TaskGroup() as group:
            for host in self.regions:
                await group.spawn(self.start_host, host)
        await self.wait_for_hosts()

    async def start_control_hosts(self):
        async with curio.TaskGroup() as group:
            for host in CONTROL_REGIONS:
                await group.spawn(self.start_control_host, host)

    async def start_control_host(self, host):
        number = int(host.removeprefix("c"))
        region = CONTROL_REGIONS[host]
        settings = ControlSettings(
            host=host,
            region=region,
            failure_domain=f"{region}-1",
            listen=Address(port=CONTROL_HTTP_PORT + number),
            peer_listen=Address(port=CONTROL_PORT + number),
            voters=list_control_addresses(CONTROL_PORT),
            peer_keys=PEER_KEYS,
            data_directory=os.path.join(self.directory.name, host),
        )
        transport = self.create_transport(host)
        self.control_hosts[host] = create_control(settings, TEXTS, transport)
        await self.control_hosts[host].start()

    async def stop_control_host(self, host):
        await self.control_hosts.pop(host).close()

    def create_client(self, place="c1", hosts=None):
        addresses = [
            each
            for each in list_control_addresses(CONTROL_HTTP_PORT)
            if hosts is None or each.host in hosts
        ]
        transport = self.create_transport(place)
        return create_control_client(transport, tuple(addresses), "team-key", WAIT_S)

    async def get_revision(self, host):
        view = await self.hosts[host].document_mailbox.ask(GetDocument())
        return view.revision

    async def start_host(self, host):
        number = int(host.removeprefix("e"))
        settings = EntrySettings(
            host=host,
            region=self.regions[host],
            failure_domain=f"{self.regions[host]}-{number}",
            listen=Address(port=8000 + number),
            peer_listen=Address(port=PEER_PORT + number),
            control_hosts=list_control_addresses(CONTROL_PORT),
            data_directory=self.get_directory(host),
            seeds=(Address(port=PEER_PORT + 1), Address(port=PEER_PORT + 3)),
            peer_keys=PEER_KEYS,
            **{"drain_notice_s": 0.05, **self.settings},
        )
        view = self.create_view() if self.directory is None else None
        created = create_entry_host(settings, self.create_transport(host), view)
        await created.start()
        self.hosts[host] = created

    def get_directory(self, host):
        if self.directory is None:
            return None
        return os.path.join(self.directory.name, host)

    def create_view(self):
        names = ("platform", "accounts", "support")
        return create_document_view(
            *(parse_section(name, TEXTS[name]) for name in names)
        )

    async def stop_host(self, host):
        """Stop a host without a leave message, as in a crash."""
        await self.hosts.pop(host).close()

    async def close(self):
        resources = (
            *self.resources,
            *self.hosts.values(),
            *self.control_hosts.values(),
        )
        for resource in resources:
            await resource.close()
        if self.directory is not None:
            self.directory.cleanup()

    async def list_hosts(self, host):
        answer = await self.hosts[host].router_mailbox.ask(ListHosts("r1"))
        return sorted(record.host for record in answer.hosts)

    async def wait_for_hosts(self):
        for host in self.hosts:
            while await self.list_hosts(host) != sorted(self.hosts):
                await curio.sleep(0.01)

    async def list_endpoints(self, host):
        views = await self.hosts[host].router_mailbox.ask(ListEndpoints())
        return {view.name: view.state for view in views}

    async def send_endpoint_message(self, host, kind, **fields):
        """Send a message of an endpoint to a host; return status and decoded answer."""
        pool = self.create_pool(host)
        body = msgspec.json.encode({"incarnation": 1, **fields})
        target = f"/v1/endpoints/{kind}"
        try:
            status, _, answer = await pool.fetch("POST", target, [], body)
        finally:
            await pool.close()
        return status, msgspec.json.decode(answer)

    async def announce(self, host, name, handler=None, service="desk", place=None):
        """Serve `handler` in the host's region and announce it to that host only."""
        region = self.regions[host]
        transport = self.create_transport(place or host)
        server = create_http_server(handler, Limits())
        await server.start(transport, "127.0.0.1", 0)
        self.resources.append(server)
        description = {
            "name": name,
            "service": service,
            "region": region,
            "failure_domain": f"{region}-1",
            "address": "127.0.0.1",
            "port": server.port,
            "models": ["m"] if service == "llm" else [],
            "slots": 64,
        }
        return await self.send_endpoint_message(host, "announce", **description)

    async def keep_alive(self, region, *names):
        """Send heartbeats of endpoints to the hosts of their region until cancelled."""
        while True:
            for host in list(self.hosts):
                if self.regions[host] == region:
                    for name in names:
                        async with curio.ignore_after(0.5):
                            await self.send_endpoint_message(
                                host, "heartbeat", name=name
                            )
            await curio.sleep(0.5)

    async def wait_for_ledgers(self):
        """Wait until the hosts of each region agree on a view with all of them."""
        for region in set(self.regions.values()):
            hosts = [each for each in self.hosts if self.regions[each] == region]
            while not self._have_complete_view(hosts):
                await curio.sleep(0.01)

    def _have_complete_view(self, hosts):
        views = [self.hosts[host].claims.describe() for host in hosts]
        pairs = {(view["primary"], view["backup"]) for view in views}
        return len(pairs) == 1 and set(pairs.pop()) - {None} == set(hosts)

    def create_pool(self, host, place=None):
        transport = self.create_transport(place or host)
        number = int(host.removeprefix("e"))
        pool = create_http_pool(transport, "127.0.0.1", 8000 + number)
        self.resources.append(pool)
        return pool

    async def chat(self, host, workspace, prompt):
        """Send a chat request that is not streamed."""
        head = [("authorization", f"Bearer key-{workspace}")]
        messages = [{"role": "user", "content": prompt}]
        body = msgspec.json.encode({"model": "m", "messages": messages})
        pool = self.create_pool(host)
        return await pool.fetch("POST", "/v1/chat/completions", head, body)

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


def list_control_addresses(first_port):
    return tuple(
        PeerAddress(host=host, port=first_port + number)
        for number, host in enumerate(CONTROL_REGIONS, 1)
    )


class SystemCase(unittest.TestCase):
    """Runs scenarios against a `System` and captures its log as `log_text`."""

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
