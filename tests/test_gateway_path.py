"""Tests of gateways that lose their path to all endpoints."""

import itertools
import unittest

import curio

from buckthorndeal.errors import RequestError
from tests.cut_transport import CutTransport
from tests.fleet_harness import (
    CALLER_PORT,
    REQUEST_ID,
    Fleet,
    create_configuration,
    create_stream_events,
    run_fleet,
)

HOST, RELAY, THIRD = "10.1.0.8", "10.1.0.9", "10.1.0.7"
MANNERS = ("hang", "reset", "refuse")
LAST_EVENT = 30
EVENT_S = 0.1
WORK_S = 0.05
# Share of the first attempts that has to be served, against those at other hosts.
MIN_SERVED_SHARE = 2 / 3
REQUESTS = 30
SPACING_S = 0.03
# Time for which nothing is asked of a host after its path is gone.
NOTICE_S = 4.5
# Time in which it uses its path again.
RETURN_S = 2.0
# Of a region's endpoints, and the part of a stream that comes before it.
SILENCE_S = 1.9
PLAY_S = 0.5
# Between the time after which a stream may continue elsewhere, and its whole limit.
LONG_SILENCE_S = 2.6
SLOW_WORK_S = 1.0


def is_endpoint_address(address):
    return address.split(".")[2] == "9"


async def answer(endpoint, request, responder):
    if not request.path.startswith("/stream/"):
        slow = request.path.endswith("/slow")
        await curio.sleep(SLOW_WORK_S if slow else WORK_S)
        await endpoint.respond(request, responder)
        return
    await endpoint.start_stream(request, responder)
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, LAST_EVENT + 1):
        await responder.send(create_stream_events(number, number))
        await curio.sleep(EVENT_S)
    await responder.finish()


async def start_hosts(fleet, hosts, endpoints=3):
    """Start hosts with transports that can be cut; return the transports by host."""
    await fleet.start_coordinators()
    await fleet.put_configuration("10.1.0.1", create_configuration(1))
    transports = {
        host: CutTransport(fleet.transport, is_endpoint_address) for host in hosts
    }
    for host, transport in transports.items():
        await fleet.start_gateway(host, transport=transport)
    for number in range(endpoints):
        await fleet.start_endpoint(f"e{number}", "a-1", answer)
    for host in hosts:
        await fleet.wait_until_ready(host)
    await curio.sleep(1.0)
    return transports


async def count_served(fleet, host, kind):
    """Send requests close together; return how many are answered with 200."""
    async with curio.TaskGroup() as group:
        for number in range(REQUESTS):
            target = f"/{kind}/{number}"
            await group.spawn(fleet.send_request, host, target)
            await curio.sleep(SPACING_S)
    return sum(status == 200 for status, _, _ in group.results)


class LostPathTest(unittest.TestCase):
    """Callers of a host without a path to endpoints are served through others."""

    def check_requests(self, manner, kind):
        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY))
                await transports[HOST].cut(manner)
                # Traffic shows the loss.
                await count_served(fleet, HOST, kind)
                await curio.sleep(NOTICE_S)
                served = await count_served(fleet, HOST, kind)
                others = await count_served(fleet, RELAY, kind)
                self.assertGreaterEqual(served, MIN_SERVED_SHARE * others, manner)
                transports[HOST].heal()
                await curio.sleep(RETURN_S)
                dispatcher = fleet.gateways[HOST]._dispatch._dispatcher
                self.assertFalse(dispatcher.reach.is_lost)
                self.assertEqual(await count_served(fleet, HOST, kind), REQUESTS)

        run_fleet(check)

    def test_callers_of_a_host_whose_connections_hang_are_served(self):
        self.check_requests("hang", "idempotent")

    def test_callers_of_a_host_whose_connections_are_reset_are_served(self):
        self.check_requests("reset", "non_idempotent")

    def test_callers_of_a_host_that_opens_no_connections_are_served(self):
        self.check_requests("refuse", "non_idempotent")

    def test_streams_go_on_through_another_host_when_the_path_is_lost(self):
        for manner in ("hang", "reset"):
            run_fleet(self.check_stream, manner)

    def test_request_under_way_is_answered_by_another_host(self):
        """Guards against a request that waits for a path that does not come back."""

        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY))
                task = await curio.spawn(fleet.send_request, HOST, "/idempotent/slow")
                await curio.sleep(PLAY_S)
                await transports[HOST].cut("hang")
                await fleet.send_request(HOST, "/idempotent/x")
                status, _, _ = await task.join()
                self.assertEqual(status, 200)

        run_fleet(check)

    def test_lookup_at_a_relay_that_loses_its_path_is_answered(self):
        """Guards against a request that waits for the path of another host."""

        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY, THIRD))
                await transports[HOST].cut("hang")
                await fleet.send_request(HOST, "/idempotent/x")
                await curio.sleep(NOTICE_S)
                relays = fleet.gateways[HOST]._dispatch._dispatcher.relays
                task = await curio.spawn(fleet.send_request, HOST, "/idempotent/slow")
                while not relays._sent:
                    await curio.sleep(0.01)
                (relay,) = relays._sent.values()
                await curio.sleep(SLOW_WORK_S / 4)
                await transports[relay].cut("hang")
                # A caller's attempt of a new request shows the loss of the path.
                await curio.spawn(
                    fleet.send_request, relay, "/idempotent/x", daemon=True
                )
                status, _, _ = await task.join()
                self.assertEqual(status, 200)

        run_fleet(check)

    async def check_stream(self, manner):
        async with Fleet() as fleet:
            transports = await start_hosts(fleet, (HOST, RELAY))
            task = await curio.spawn(read_events, fleet, HOST)
            await curio.sleep(1.0)
            await transports[HOST].cut(manner)
            # A caller's attempt of a new request shows the loss of the path.
            await fleet.send_request(HOST, "/idempotent/x")
            times_s = await task.join()
            self.assertEqual(len(times_s), LAST_EVENT, manner)
            gaps_s = [after - before for before, after in itertools.pairwise(times_s)]
            # Callers leave after two seconds without an event.
            self.assertLess(max(gaps_s), 2.0, manner)


class SilentRegionTest(unittest.TestCase):
    """Nothing is given up on a lost path before it is taken over elsewhere."""

    def play(self, target, others=0, silence_s=SILENCE_S, noticing=(HOST, RELAY)):
        """Cut two hosts off for a while; return the answer to a request of that time.

        `others` is the number of endpoints of another service that are still reached,
        and `noticing` are the hosts that notice the cut at once.
        """
        result = {}

        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY))
                for number in range(others):
                    name = f"other{number}"
                    await fleet.start_endpoint(name, "a-1", answer, service="t")
                reached = {fleet.endpoints[f"other{each}"] for each in range(others)}
                cut_off = set(fleet.endpoints.values()) - reached
                addresses = {endpoint.address for endpoint in cut_off}
                await curio.sleep(1.0)
                task = await curio.spawn(fleet.send_request, HOST, target)
                await curio.sleep(PLAY_S)
                for transport in transports.values():
                    transport._is_cut_off = addresses.__contains__
                    await transport.cut("hang")
                for host in noticing:
                    # A caller's attempt of a new request shows the loss of the path.
                    await curio.spawn(
                        fleet.send_request, host, "/idempotent/x", daemon=True
                    )
                await curio.sleep(silence_s)
                result["lost"] = [
                    gateway._dispatch._dispatcher.reach.is_lost
                    for gateway in fleet.gateways.values()
                ]
                for transport in transports.values():
                    transport.heal()
                try:
                    result["answer"] = await task.join()
                except curio.TaskError as error:
                    result["answer"] = error.__cause__

        run_fleet(check)
        return result

    def test_relayed_stream_goes_on_when_the_relay_hears_no_endpoint(self):
        """Guards against a relay that ends what nobody else can go on with (LOST)."""
        result = {}

        async def lose_path(fleet, host, transport):
            await transport.cut("hang")
            await curio.spawn(fleet.send_request, host, "/idempotent/x", daemon=True)
            reach = fleet.gateways[host]._dispatch._dispatcher.reach
            while not reach.is_lost:
                await curio.sleep(0.05)
            await curio.sleep(SILENCE_S / 2)

        async def check():
            async with Fleet() as fleet:
                transports = await start_hosts(fleet, (HOST, RELAY))
                await lose_path(fleet, HOST, transports[HOST])
                task = await curio.spawn(fleet.send_request, HOST, "/stream/x")
                await curio.sleep(PLAY_S)
                await lose_path(fleet, RELAY, transports[RELAY])
                transports[RELAY].heal()
                try:
                    result["answer"] = await task.join()
                except curio.TaskError as error:
                    result["answer"] = error.__cause__

        run_fleet(check)
        self.check_stream(result)

    def check_stream(self, result):
        self.assertIsInstance(result["answer"], tuple, result)
        self.assertEqual(result["answer"][2], create_stream_events(1, LAST_EVENT))

    def test_stream_goes_on_when_no_host_reaches_an_endpoint(self):
        """Guards against a stream that is ended before its silence is over (LOST)."""
        result = self.play("/stream/x")
        self.assertEqual(result["lost"], [True, True])
        self.check_stream(result)

    def test_request_is_answered_when_its_endpoint_goes_on(self):
        """Guards against a request that is ended while nobody else takes it (LOST)."""
        result = self.play("/idempotent/slow")
        self.assertEqual(result["lost"], [True, True])
        self.assertEqual(result["answer"][0], 200, result)

    def test_stream_goes_on_when_the_relay_cannot_connect(self):
        """Guards against a relay that is believed before it reaches an endpoint."""
        self.check_stream(self.play("/stream/x", noticing=(HOST,)))

    def test_stream_goes_on_when_other_endpoints_accept_no_connection(self):
        """Guards against a grant that is taken for a connection (LOST)."""
        result = self.play("/stream/x", others=3, silence_s=LONG_SILENCE_S)
        self.assertEqual(result["lost"], [False, False])
        self.check_stream(result)


async def read_events(fleet, host):
    """Return the clock readings at which the events of a stream have arrived."""
    pool = fleet.create_pool(host, CALLER_PORT)
    headers = [("host", "x.example"), (REQUEST_ID, "stream")]
    times_s = []
    try:
        async with pool.request("POST", "/stream/x", headers, b"x") as response:
            while part := await response.read_part():
                count = part.count(b"id: ")
                times_s.extend([await curio.clock()] * count)
    except RequestError:
        pass
    return times_s


if __name__ == "__main__":
    unittest.main()
