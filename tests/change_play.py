"""Changes the configuration in storms while real processes serve kept connections.

By hand: ``python -m tests.change_play FIRST_SEED COUNT``.
"""

import json
import sys
import time
from dataclasses import dataclass, field

import curio
import msgspec

from buckthorndeal.http_server import create_http_server
from buckthorndeal.settings import Limits
from tests.fleet_harness import REQUEST_ID, create_stream_events
from tests.play_command import parse_seeds, play_all
from tests.stop_play import DEADLINE_S, STREAM_EVENTS, Order, StopOptions, StopPlay

KINDS = ("idempotent", "non_idempotent", "stream")
SERVICES = ("s", "s2")
CALLERS = 24
PLAY_S = 10.0
# Callers reuse a connection only while no idle timeout of the play has passed.
MAX_PAUSE_S = 0.6
MAX_IDLE_S = 0.75
IDLE_TIMEOUT_S = (1.0, 15.0)
TICK_S = 0.05
# A pause of the callers' process after which they may have read an answer late.
STALL_S = 0.15
WORK_S = (0.02, 0.02, 0.02, 0.3)
WHOLE_STREAM = create_stream_events(0, STREAM_EVENTS - 1)
# The limit of a silence is 2 s, and half of that if a stream may continue elsewhere.
SILENCE_S = (1.1, 1.5)
OBJECTIVES_S = (0.4, 0.5)


@dataclass
class ChangePlay(StopPlay):
    """One coordinator, two gateways, and an endpoint of each of two services.

    The endpoints fall silent from time to time, and go on.
    """

    options: StopOptions = field(default_factory=StopOptions)
    version: int = 1
    silent_until_s: float = 0.0
    silences: int = 0
    first: int = 0
    ticked_s: float = 0.0
    stalled_s: float = 0.0

    def __post_init__(self):
        super().__post_init__()
        self.addresses = {
            service: self.endpoint.replace(".100", f".10{number}")
            for number, service in enumerate(SERVICES)
        }

    def list_cut_off(self):
        """Return the orders that ended without a whole answer or a true refusal."""
        return [order for order in self.orders[self.first :] if not _is_answered(order)]

    def list_untrue(self):
        """Return the orders that were told ``not run`` and ran, or ran twice."""
        return [
            order
            for order in self.orders
            if (order.status == 503 and self.runs[order.order_id])
            or (not order.is_stream and self.runs[order.order_id] > 1)
        ]

    def count_reused(self):
        """Return the number of orders on connections that had carried another."""
        return sum(order.idle_s is not None for order in self.orders)

    async def _play(self):
        servers = []
        try:
            for address in self.addresses.values():
                server = create_http_server(
                    self._run_order, Limits(max_connections=4096)
                )
                await server.start(self.transport, address, self.endpoint_port)
                servers.append(server)
            self._start_process("coordinator", self.coordinator)
            for host in self.hosts:
                self._start_process("gateway", host)
            await self._configure()
            heartbeats = await curio.spawn(self._send_heartbeats, daemon=True)
            await curio.spawn(self._watch_stalls, daemon=True)
            for host in self.hosts:
                await self._wait_until_served(host)
            self.first = len(self.orders)
            await curio.sleep(2.0)
            await self._change_and_call()
            await heartbeats.cancel()
        finally:
            for server in servers:
                await server.close()

    async def _change_and_call(self):
        until_s = time.monotonic() + PLAY_S
        async with curio.TaskGroup() as group:
            for number in range(CALLERS):
                host = self.hosts[number % len(self.hosts)]
                await group.spawn(self._call, host, until_s)
            await group.spawn(self._change, until_s)
            await group.spawn(self._silence, until_s)
        for error in group.exceptions:
            # The others are cancelled by the first failure.
            if not isinstance(error, (curio.CancelledError, type(None))):
                raise error

    async def _call(self, host, until_s):
        """Send one order after the other on a connection that is kept."""
        stream = None
        last = None
        while time.monotonic() < until_s:
            if last is not None and not self._may_reuse(last):
                await stream.close()
                stream = last = None
            if stream is None:
                stream = await self._open(host)
            order = self._create_order(host, self.rng.choice(WORK_S))
            order.is_stream = self.rng.random() < 0.5
            if last is not None:
                order.idle_s = time.monotonic() - last.ended_s
            await self._send_on(stream, order)
            last = order
            if order.status is None:
                await stream.close()
                stream = last = None
            await curio.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))
        if stream is not None:
            await stream.close()

    def _may_reuse(self, last):
        """Return whether the connection of the last order can't have timed out.

        Its host may have sent the answer before a stall of this process.
        """
        self._tick()
        is_idle_too_long = time.monotonic() - last.ended_s > MAX_IDLE_S
        return not last.ends_connection and not (
            is_idle_too_long or self.stalled_s > last.sent_s
        )

    async def _watch_stalls(self):
        while True:
            self._tick()
            await curio.sleep(TICK_S)

    def _tick(self):
        now_s = time.monotonic()
        if now_s - self.ticked_s > TICK_S + STALL_S:
            self.stalled_s = now_s
        self.ticked_s = now_s

    async def _change(self, until_s):
        while time.monotonic() < until_s:
            self.version += 1
            content = self._create_configuration()
            await self._call_api("PUT", "/v1/configuration", content)
            await curio.sleep(self.rng.uniform(0.05, 0.6))

    async def _silence(self, until_s):
        while time.monotonic() + SILENCE_S[1] < until_s:
            await curio.sleep(self.rng.uniform(0.5, 1.5))
            self.silences += 1
            silence_s = self.rng.uniform(*SILENCE_S)
            self.silent_until_s = time.monotonic() + silence_s
            await curio.sleep(silence_s)

    async def _configure(self):
        content = self._create_configuration()
        await self._wait_until(
            lambda: self._call_api("PUT", "/v1/configuration", content), "configured"
        )

    def _create_configuration(self):
        """Return the next configuration, which differs in many ways."""
        rng = self.rng
        service = rng.choice(SERVICES) if self.version > 1 else SERVICES[0]
        listed = {service, *rng.sample(SERVICES, rng.randrange(3))}
        routes = [
            {
                "name": kind,
                "host": "x.example",
                "path_prefix": f"/{kind}/",
                "kind": kind,
                "timeout_s": rng.uniform(6.0, DEADLINE_S),
                "latency_objective_s": rng.choice(OBJECTIVES_S),
                "priority": rng.randrange(3),
                "services": [{"service": service, "weight": rng.randrange(1, 9)}],
                "max_attempts": 1 if kind == "non_idempotent" else rng.choice((1, 2)),
                "resumable": kind == "stream",
                "home_regions": rng.choice(([], ["a"])),
            }
            for kind in KINDS
        ]
        body = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/h",
                    "max_connections": rng.choice((200, 400)),
                }
                for name in sorted(listed)
            ],
            "limits": {
                "max_header_bytes": rng.choice((8_192, 65_536)),
                "max_body_bytes": rng.choice((1_024, 1_048_576)),
                "header_timeout_s": rng.uniform(1.0, 5.0),
                "idle_timeout_s": rng.uniform(*IDLE_TIMEOUT_S),
            },
        }
        return json.dumps(body).encode()

    async def _send_heartbeats(self):
        sequence = 0
        while True:
            sequence += 1
            for service, address in self.addresses.items():
                body = {
                    "incarnation": 1,
                    "sequence": sequence,
                    "region": "a",
                    "failure_domain": "a-1",
                    "address": f"{address}:{self.endpoint_port}",
                    "service": service,
                    "slots": 256,
                    "version": "v1",
                }
                await self._call_api(
                    "POST",
                    f"/v1/endpoints/e-{service}/heartbeat",
                    msgspec.json.encode(body),
                )
            await curio.sleep(0.4)

    async def _speak(self):
        """Wait while the endpoints are silent."""
        while (left_s := self.silent_until_s - time.monotonic()) > 0:
            await curio.sleep(left_s)

    async def _run_order(self, request, responder):
        order_id = request.headers[REQUEST_ID]
        self.runs[order_id] += 1
        work_s = float(request.path.rpartition("/")[2])
        if not request.path.startswith("/stream/"):
            await curio.sleep(work_s)
            await self._speak()
            await responder.respond_whole(200, [(REQUEST_ID, order_id)], b"done")
            return
        first = int(request.headers.get("last-event-id", -1)) + 1
        await responder.start(200, [(REQUEST_ID, order_id)])
        for number in range(first, STREAM_EVENTS):
            await self._speak()
            await responder.send(create_stream_events(number, number))
            await curio.sleep(work_s / STREAM_EVENTS)
        await responder.finish()


def _is_answered(order: Order) -> bool:
    if order.status == 503:
        return True
    if order.status != 200:
        return False
    if not order.is_stream:
        return order.body == b"done"
    return _join_chunks(order.body) == WHOLE_STREAM


def _join_chunks(body):
    """Return the content of a body in chunks, as it stands on the wire."""
    content = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        content += rest[: int(size, 16)]
        body = rest[int(size, 16) + 2 :]
    return content


def describe(play):
    """Return one line on what has come of the orders of a play."""
    ended = [
        f"{order.order_id} {'stream' if order.is_stream else 'order'} of "
        f"{order.work_s} s: {order.status or order.failure} after "
        f"{order.ended_s - order.sent_s:.3f} s, runs {play.runs[order.order_id]}, "
        f"connection idle for {order.idle_s} s"
        for order in play.list_cut_off()
    ]
    refused = sum(order.status == 503 for order in play.orders)
    return (
        f"seed {play.seed}: {len(play.orders)} orders, {play.version - 1} changes, "
        f"{play.silences} silences, {refused} refused, "
        f"{play.count_reused()} on kept connections, "
        f"{len(play.list_untrue())} untrue, {len(ended)} cut off: {ended[:5]}"
    )


def main():
    """Play the seeds named on the command line."""
    seeds, _ = parse_seeds(sys.argv[1:])
    play_all(map(ChangePlay, seeds), describe)


if __name__ == "__main__":
    main()
