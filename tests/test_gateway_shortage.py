"""Tests of gateways that cannot open connections for lack of descriptors."""

import errno
import time
import unittest

import curio

from buckthorndeal.fleet import EndpointRecord, EndpointState
from buckthorndeal.gateway._pools import create_pools
from buckthorndeal.logs import EXTRA_FIELD
from buckthorndeal.transport import create_memory_transport
from tests.cut_transport import CutTransport
from tests.fleet_harness import (
    REQUEST_ID,
    Fleet,
    create_configuration,
    create_stream_events,
    run_fleet,
)

HOST = "10.1.0.8"
ENDPOINTS = 3
REQUESTS = 20
SPACING_S = 0.05
LAST_EVENT = 5
ROUTE_TIMEOUT_S = 12.0
# Longer than a stream may be silent before another endpoint is asked.
SILENCE_S = 2.6
SHORTAGE_S = 0.5


def is_endpoint_address(address):
    return address.split(".")[2] == "9"


class ShortTransport(CutTransport):
    """Has no descriptors for connections to endpoints while `manner` is an errno."""

    def __init__(self, inner):
        super().__init__(inner, is_endpoint_address)

    async def connect(self, address, port):
        if is_endpoint_address(address) and self.manner is not None:
            raise OSError(self.manner, "no descriptors")
        return await self._inner.connect(address, port)


async def answer(endpoint, request, responder):
    await endpoint.respond(request, responder, headers=[("connection", "close")])


class ShortageTest(unittest.TestCase):
    """A shortage of descriptors is a fault of this host alone."""

    def check_shortage(self, number):
        async def check():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                await fleet.put_configuration("10.1.0.1", create_configuration(1))
                transport = ShortTransport(fleet.transport)
                gateway = await fleet.start_gateway(HOST, transport=transport)
                for index in range(ENDPOINTS):
                    await fleet.start_endpoint(f"e{index}", "a-1", answer)
                await fleet.wait_until_ready(HOST)
                await curio.sleep(1.0)
                await gateway._pools.close_idle_endpoints()
                transport.manner = number
                for index in range(REQUESTS):
                    status, _, body = await self.send(fleet, f"short-{index}")
                    self.assertEqual(status, 503)
                    self.assertIn(b'"not_run"', body)
                    self.assertIn(b'"host_shortage"', body)
                    await curio.sleep(SPACING_S)
                dispatcher = gateway._dispatch._dispatcher
                self.assertFalse(dispatcher.reach.is_lost)
                transport.manner = None
                for index in range(REQUESTS):
                    status, _, _ = await self.send(fleet, f"later-{index}")
                    self.assertEqual(status, 200)
                counts = [len(each.requests) for each in fleet.endpoints.values()]
                self.assertEqual(sum(counts), REQUESTS)
                self.assertTrue(all(counts), counts)

        run_fleet(check)

    async def send(self, fleet, name):
        return await fleet.send_request(
            HOST, f"/non_idempotent/{name}", [(REQUEST_ID + "-x", name)]
        )

    def test_endpoints_are_not_blamed_for_missing_descriptors(self):
        """Guards against ejections and a lost path because of this host's EMFILE."""
        self.check_shortage(errno.EMFILE)

    def test_endpoints_are_not_blamed_for_missing_buffers(self):
        """Guards against ejections and a lost path because of this host's ENOBUFS."""
        self.check_shortage(errno.ENOBUFS)

    def test_silent_stream_goes_on_when_its_replacement_lacks_a_descriptor(self):
        """Guards against a stream that ends as nobody else can be asked (LOST)."""
        status, _, body = self.stream(SILENCE_S)
        self.assertEqual(status, 200)
        self.assertEqual(body, create_stream_events(0, LAST_EVENT))

    def test_stalled_stream_ends_when_its_replacement_lacks_a_descriptor(self):
        """Guards against a stalled stream that is held until its deadline."""
        with (
            self.assertLogs(level="INFO") as logs,
            self.assertRaises(curio.TaskError),
        ):
            self.stream(2 * ROUTE_TIMEOUT_S)
        ended = [each for each in logs.records if each.msg == "request_ended"]
        outcome = getattr(ended[-1], EXTRA_FIELD)["outcome"]
        self.assertNotEqual(outcome, "deadline")

    def stream(self, silence_s):
        """Return the answer to a stream that falls silent on a host without sockets."""
        answer = []

        async def fall_silent(endpoint, request, responder):
            await endpoint.start_stream(request, responder)
            await responder.send(create_stream_events(0, 1))
            await curio.sleep(silence_s)
            await responder.send(create_stream_events(2, LAST_EVENT))
            await responder.finish()

        async def check():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                content = create_configuration(
                    1, timeout_s=ROUTE_TIMEOUT_S, latency_objective_s=1.0
                )
                await fleet.put_configuration("10.1.0.1", content)
                transport = ShortTransport(fleet.transport)
                gateway = await fleet.start_gateway(HOST, transport=transport)
                for index in range(2):
                    await fleet.start_endpoint(
                        f"e{index}", "a-1", fall_silent, version="v1"
                    )
                await fleet.wait_until_ready(HOST)
                await curio.sleep(1.0)
                request = await curio.spawn(fleet.send_request, HOST, "/stream/")
                while not any(each.requests for each in fleet.endpoints.values()):
                    await curio.sleep(0.01)
                await gateway._pools.close_idle_endpoints()
                transport.manner = errno.EMFILE
                answer.append(await request.join())

        run_fleet(check)
        return answer[0]

    def test_broken_stream_goes_on_after_a_short_lack_of_descriptors(self):
        """Guards against a stream that is cut off where its host is short (LOST)."""
        (status, _, body), _ = self.break_stream(SHORTAGE_S)
        self.assertEqual(status, 200)
        self.assertEqual(body, create_stream_events(0, LAST_EVENT))

    def test_broken_stream_ends_when_descriptors_are_lacking_for_long(self):
        """Guards against a caller who waits for a host that stays short."""
        (lasted_s,) = self.break_stream(ROUTE_TIMEOUT_S)
        self.assertLess(lasted_s, ROUTE_TIMEOUT_S / 2)

    def break_stream(self, shortage_s):
        """Break a stream on a host without sockets; return its answer and duration.

        A stream that is cut off has no answer.
        """
        answer = []
        broken = curio.Event()

        async def respond(endpoint, request, responder):
            await endpoint.start_stream(request, responder)
            first = int(request.headers.get("last-event-id", "-1")) + 1
            if first == 0:
                await responder.send(create_stream_events(0, 1))
                await broken.wait()
                raise RuntimeError("the stream breaks")
            await responder.send(create_stream_events(first, LAST_EVENT))
            await responder.finish()

        async def heal(transport):
            await curio.sleep(shortage_s)
            transport.manner = None

        async def check():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                content = create_configuration(
                    1, timeout_s=ROUTE_TIMEOUT_S, latency_objective_s=1.0
                )
                await fleet.put_configuration("10.1.0.1", content)
                transport = ShortTransport(fleet.transport)
                gateway = await fleet.start_gateway(HOST, transport=transport)
                for index in range(2):
                    await fleet.start_endpoint(
                        f"e{index}", "a-1", respond, version="v1"
                    )
                await fleet.wait_until_ready(HOST)
                await curio.sleep(1.0)
                request = await curio.spawn(fleet.send_request, HOST, "/stream/")
                while not any(each.requests for each in fleet.endpoints.values()):
                    await curio.sleep(0.01)
                await gateway._pools.close_idle_endpoints()
                transport.manner = errno.EMFILE
                await broken.set()
                await curio.spawn(heal, transport, daemon=True)
                started_s = time.monotonic()
                try:
                    answer.append(await request.join())
                finally:
                    answer.append(time.monotonic() - started_s)

        try:
            run_fleet(check)
        except curio.TaskError:
            pass
        return answer

    def test_probe_without_a_descriptor_does_not_count_against_an_endpoint(self):
        """Guards against evidence of a crash from a probe that was never sent."""

        async def main():
            transport = ShortTransport(create_memory_transport())
            pools = create_pools(transport, 1)
            record = EndpointRecord(
                "e1", 1, 1, "s", "a", "a-1", "10.1.9.0:80", 8, EndpointState.READY
            )
            refused = await pools.accepts_connection(record)
            transport.manner = errno.EMFILE
            return refused, await pools.accepts_connection(record)

        self.assertEqual(curio.run(main), (False, True))


if __name__ == "__main__":
    unittest.main()
