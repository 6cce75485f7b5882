"""Tests of draining a gateway."""

import time
import unittest
import unittest.mock

import curio
import msgspec

from buckthorndeal.fleet import EntryHost, EntryHosts, EntryState
from buckthorndeal.gateway._control_messages import NoticeReceived
from tests.fleet_harness import (
    CALLER_PORT,
    FORWARD_PORT,
    GATEWAY,
    REQUEST_ID,
    Fleet,
    create_configuration,
    create_stream_events,
    run_fleet,
    start_serving,
)

OTHER = "10.2.0.9"
REPLACEMENT = "10.1.0.8"


class DrainTest(unittest.TestCase):
    """A draining gateway completes every request that it has accepted."""

    def test_running_stream_is_completed(self):
        async def script(endpoint, request, responder):
            await endpoint.start_stream(request, responder)
            await responder.send(create_stream_events(0, 0))
            await curio.sleep(1)
            await responder.send(create_stream_events(1, 1))
            await responder.finish()

        async def test():
            async with Fleet() as fleet:
                await start_serving(fleet, script)
                request_task = await curio.spawn(
                    fleet.send_request, GATEWAY, "/stream/"
                )
                await curio.sleep(0.3)
                await fleet.gateways[GATEWAY].drain()
                status, _, body = await request_task.join()
                self.assertEqual((status, body), (200, create_stream_events(0, 1)))

        run_fleet(test)

    def test_last_host_of_the_home_regions_keeps_serving(self):
        async def script(endpoint, request, responder):
            await endpoint.start_stream(request, responder)
            await responder.send(create_stream_events(0, 1))
            await responder.finish()

        async def test():
            async with Fleet() as fleet:
                await fleet.start_gateway(OTHER)
                await start_serving(fleet, script, home_regions=["a"])
                drain_task = await curio.spawn(fleet.gateways[GATEWAY].drain)
                # Far longer than `drain_notice_s`.
                await curio.sleep(1)
                for path in ("/idempotent/", "/stream/"):
                    status, _, _ = await fleet.send_request(GATEWAY, path)
                    self.assertEqual(status, 200)
                await fleet.start_gateway(REPLACEMENT)
                await drain_task.join()

        run_fleet(test)

    def test_order_that_may_outlast_the_drain_is_refused_unsent(self):
        """Guards against orders that run and are cut off at the end of the drain."""

        async def script(endpoint, request, responder):
            await curio.sleep(1.0 if "long" in request.path else 0.01)
            await endpoint.respond(request, responder)

        async def test():
            async with Fleet() as fleet:
                await start_serving(fleet, script, home_regions=["a"])
                gateway = fleet.gateways[GATEWAY]
                await fleet.send_request(GATEWAY, "/non_idempotent/long")
                await fleet.send_request(GATEWAY, "/idempotent/short")
                gateway._settings = msgspec.structs.replace(
                    gateway._settings,
                    drain_stream_s=0.3,
                    drain_alone_s=3.9,
                    drain_timeout_s=4.0,
                )
                drain_task = await curio.spawn(gateway.drain)
                await curio.sleep(0.5)
                status, _, _ = await fleet.send_request(GATEWAY, "/non_idempotent/long")
                self.assertEqual(status, 200)
                sent = len(fleet.endpoints["e0"].requests)
                stop_s = gateway._context.drain.stop_s
                await curio.sleep(stop_s - 1.2 - time.monotonic())
                status, headers, _ = await fleet.send_request(
                    GATEWAY, "/non_idempotent/long"
                )
                self.assertEqual(status, 503)
                self.assertEqual(headers["buckthorndeal-verdict"], "not_run")
                self.assertEqual(len(fleet.endpoints["e0"].requests), sent)
                status, _, _ = await fleet.send_request(GATEWAY, "/idempotent/short")
                self.assertEqual(status, 200)
                await drain_task.join()

        run_fleet(test)

    async def drain_beside(self, fleet, sender, stopped, path):
        """Stop a host while a request runs; return its status and verdict."""
        request_task = await curio.spawn(fleet.send_request, sender, path)
        while not fleet.endpoints["e0"].requests:
            await curio.sleep(0.01)
        gateway = fleet.gateways[stopped]
        gateway._settings = msgspec.structs.replace(
            gateway._settings, drain_timeout_s=1.0
        )
        await gateway.drain()
        await gateway.close()
        status, headers, _ = await request_task.join()
        return status, headers["buckthorndeal-verdict"]

    def test_request_that_outlasts_the_drain_is_answered(self):
        """Guards against a running request that ends without an answer at the stop."""

        async def script(endpoint, request, responder):
            await curio.sleep(30)

        async def test(path):
            async with Fleet() as fleet:
                await start_serving(fleet, script)
                answer = await self.drain_beside(fleet, GATEWAY, GATEWAY, path)
                self.assertEqual(answer, (502, "may_have_run"))

        for path in ("/non_idempotent/", "/idempotent/", "/stream/"):
            with self.subTest(path):
                run_fleet(test, path)

    def test_request_is_answered_when_the_host_it_was_forwarded_to_stops(self):
        """Guards against a caller without an answer at the host that forwards."""

        async def script(endpoint, request, responder):
            await curio.sleep(30)

        async def test():
            async with Fleet() as fleet:
                await fleet.start_coordinators()
                content = create_configuration(home_regions=["b"], timeout_s=20.0)
                await fleet.put_configuration("10.1.0.1", content)
                for host in (GATEWAY, OTHER):
                    await fleet.start_gateway(host)
                await fleet.start_endpoint("e0", "b-1", script)
                await fleet.wait_until_ready(GATEWAY)
                answer = await self.drain_beside(
                    fleet, GATEWAY, OTHER, "/non_idempotent/"
                )
                self.assertEqual(answer, (502, "may_have_run"))

        run_fleet(test)

    def test_replacement_must_be_known_to_all_coordinators(self):
        """Guards against stopping while any coordinator still directs callers here."""
        draining = EntryHost(
            GATEWAY, "a", "a-1", f"{GATEWAY}:9000", EntryState.DRAINING
        )
        other = EntryHost(REPLACEMENT, "a", "a-1", "x:1", EntryState.READY)
        homes = {"x.example": {"a": 1}}

        async def test():
            async with Fleet() as fleet:
                gateway = await fleet.start_gateway(GATEWAY)
                gateway._home_route_counts = homes
                mailbox = gateway._control.mailbox
                for host, entries in (
                    ("near", (draining, other)),
                    ("far", (draining,)),
                ):
                    await mailbox.send(NoticeReceived(host, EntryHosts(entries)))
                wait_task = await curio.spawn(
                    gateway._wait_for_replacement, time.monotonic() + 30
                )
                await curio.sleep(0.5)
                self.assertFalse(wait_task.terminated)
                await mailbox.send(NoticeReceived("far", EntryHosts((draining, other))))
                await wait_task.join()

        run_fleet(test)

    def test_drain_ends_in_time_when_no_coordinator_state_is_known(self):
        """Guards against a drain that waits for an answer until the host is killed."""

        async def test():
            async with Fleet() as fleet:
                gateway = await fleet.start_gateway(
                    GATEWAY, drain_stream_s=0.3, drain_alone_s=0.6
                )
                control_task = next(
                    task
                    for task in gateway._tasks._running
                    if task.coro.__qualname__ == "ControlTask.run"
                )
                await control_task.cancel()
                async with curio.timeout_after(20):
                    await gateway.drain()

        run_fleet(test)

    def test_wait_for_replacement_ends_at_its_time(self):
        """Guards against new streams that are accepted too late in a drain."""
        own = EntryHost(GATEWAY, "a", "a-1", f"{GATEWAY}:9000", EntryState.DRAINING)

        async def test():
            async with Fleet() as fleet:
                gateway = await fleet.start_gateway(GATEWAY)
                gateway._home_route_counts = {"x.example": {"a": 1}}
                message = NoticeReceived("near", EntryHosts((own,)))
                await gateway._control.mailbox.send(message)
                interval = "buckthorndeal.gateway._daemon.REPLACEMENT_POLL_INTERVAL_S"
                with unittest.mock.patch(interval, 60.0):
                    async with curio.timeout_after(20):
                        await gateway._wait_for_replacement(time.monotonic() + 0.3)

        run_fleet(test)

    def test_new_stream_is_refused_after_the_notice_period(self):
        async def script(endpoint, request, responder):
            await curio.sleep(1)
            await endpoint.respond(request, responder)

        async def test():
            async with Fleet() as fleet:
                await start_serving(fleet, script)
                pool = fleet.create_pool(GATEWAY, CALLER_PORT)
                headers = [("host", "x.example"), (REQUEST_ID, "q1")]
                await pool.fetch("POST", "/idempotent/ready", headers, b"x")
                request_task = await curio.spawn(
                    fleet.send_request, GATEWAY, "/idempotent/"
                )
                await curio.sleep(0.1)
                drain_task = await curio.spawn(fleet.gateways[GATEWAY].drain)
                await curio.sleep(0.4)
                status, response_headers, _ = await pool.fetch(
                    "POST", "/stream/", headers, b"x"
                )
                self.assertEqual(status, 503)
                self.assertEqual(response_headers["buckthorndeal-verdict"], "not_run")
                self.assertEqual((await request_task.join())[0], 200)
                await drain_task.join()

        run_fleet(test)

    def test_forwarded_request_at_a_closing_host_is_not_run(self):
        """Guards against a refusal that the forwarding host takes for an answer."""

        async def script(endpoint, request, responder):
            await endpoint.respond(request, responder)

        async def test():
            async with Fleet() as fleet:
                await start_serving(fleet, script)
                gateway = fleet.gateways[GATEWAY]
                stream = await fleet.transport.connect(GATEWAY, FORWARD_PORT)
                head = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\n"
                await stream.sendall(head)
                await curio.sleep(0.1)
                close_task = await curio.spawn(gateway.close)
                while not gateway._servers[1].closing:
                    await curio.sleep(0)
                await stream.sendall(b"x")
                answer = await stream.recv(65_536)
                self.assertIn(b" 503 ", answer)
                self.assertIn(b"buckthorndeal-verdict: not_run", answer.lower())
                await close_task.join()

        run_fleet(test)
