"""Runs the programs of the platform's adapter as processes, for plays."""

import json
import sys
from dataclasses import dataclass

import msgspec

from tests.client_play import ClientPlay
from tests.control_harness import ROOT
from tests.stop_play import DEADLINE_S

INTERNAL_PORTS = 4
FORWARD_OFFSET = 1
MS_PER_S = 1000
REQUEST_ID = "x-request-id"
SLOTS = 64
CACHE_TOKENS = 232_000


@dataclass
class PlatformPlay(ClientPlay):
    """One coordinator and one gateway that run as on the platform, and an endpoint."""

    def __post_init__(self):
        super().__post_init__()
        first = self.ports["peer_listen"]
        self.ports["forward_listen"] = first + FORWARD_OFFSET
        self.internal_ports = [first, first + INTERNAL_PORTS - 1]

    def _prepare_process(self, kind, host):
        file = self.directory / f"{host}.toml"
        file.write_text(self._create_node_file(kind, host))
        program = str(ROOT / "platform" / f"run_{kind}.py")
        return [sys.executable, program], {"BUCKTHORNDEAL_NODE_FILE": str(file)}

    def _create_node_file(self, kind, host):
        is_gateway = kind == "gateway"
        names = {"front": "listen", "ready": "ready_listen"}
        if not is_gateway:
            names = {"control": "api", "directory": "directory"}
        seeds = [f"{each}:{self.ports['api']}" for each in self.coordinators]
        lines = [
            f'node_name = "{host}"',
            f'ip = "{host}"',
            'zone = "a-1"',
            'region = "a"',
            f"internal_ports = {self.internal_ports}",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
        ]
        if not is_gateway:
            data = self.directory / f"data-{host}"
            data.mkdir(exist_ok=True)
            lines.append(f'data_dir = "{data}"')
        lines += ["[zones]", 'a-1 = "a"', "[listen]"]
        lines += [f'{name} = "{host}:{self.ports[names[name]]}"' for name in names]
        lines += ["[limits]", f"memory_mb = {self.memory_bytes / 1e6}"]
        return "\n".join(lines) + "\n"

    async def _configure(self):
        route = {
            "host": "x.example",
            "timeout_ms": DEADLINE_S * MS_PER_S,
            "target_latency_ms": MS_PER_S,
            "priority": 0,
            "service": "s",
            "home_regions": [],
        }
        kinds = (("idempotent", "safe", 2), ("non_idempotent", "unsafe", 1))
        routes = [
            {
                **route,
                "name": name,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "max_attempts": attempts,
            }
            for name, kind, attempts in kinds
        ]
        engine = {"slots": SLOTS, "kv_capacity_tokens": CACHE_TOKENS}
        services = [{"name": "s", "max_connections": SLOTS, "engine": engine}]
        body = {"version": 1, "routes": routes, "services": services}
        content = json.dumps(body).encode()
        await self._wait_until(
            lambda: self._call_api("POST", "/config/put", content), "configured"
        )

    def _create_heartbeat(self, sequence):
        body = {
            "service": "s",
            "address": f"{self.endpoint}:{self.endpoint_port}",
            "zone": "a-1",
            "slots": SLOTS,
            "state": "ready",
            "sequence": sequence,
            "born": 1,
        }
        return "/instances/e1/heartbeat", msgspec.json.encode(body)

    def _list_header_lines(self, order):
        return [f"{REQUEST_ID}: {order.order_id}"]

    def _list_ordinary_headers(self):
        return [(REQUEST_ID, "ordinary")]

    def _get_target(self):
        if self.crowd.target == "gateway":
            return super()._get_target()
        return self.coordinator, self.ports["api"], "/config/get"

    async def _run_order(self, request, responder):
        headers = [
            (REQUEST_ID, request.headers[REQUEST_ID]),
            ("x-server-stamp", "e1"),
        ]
        await responder.respond_whole(200, headers, b"done")
