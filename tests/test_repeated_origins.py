"""Tests of streams that are taken up after coordinators have started again."""

import unittest

import curio

from buckthorndeal.errors import RequestError
from tests.fleet_harness import CALLER_PORT, REQUEST_ID, Fleet, run_fleet
from tests.test_gateway_versions import (
    FIRST_EVENTS,
    HOSTS,
    LAST_EVENT,
    create_events,
    read_stream,
    start_versions,
    take_up,
)

COORDINATORS = ("10.1.0.1", "10.2.0.1", "10.3.0.1")
VERSIONS = ("v1", "v1", "v2", "v2")
STREAMS = 6
# By then hosts have told the coordinators again what they had lost.
SETTLED_S = 3.0


class LongStreams:
    """Script of endpoints whose streams pause until their host is gone."""

    def describe(self, fields):
        """Return what the events of an endpoint name."""
        return fields["version"]

    async def answer(self, endpoint, request, responder):
        version = self.describe(endpoint.fields)
        await endpoint.start_stream(request, responder)
        after = int(request.headers.get("last-event-id", "0"))
        if after:
            await responder.send(create_events(version, after + 1, LAST_EVENT))
            await responder.finish()
            return
        await responder.send(create_events(version, 1, FIRST_EVENTS))
        await curio.sleep(60.0)


async def begin_stream(fleet, host, request_id):
    """Begin a stream; return the version of its events, and the task that reads on."""
    pool = fleet.create_pool(host, CALLER_PORT)
    given = [("host", "x.example"), (REQUEST_ID, request_id)]
    first = curio.Queue()

    async def read():
        try:
            async with pool.request("POST", "/stream/x", given, b"x") as response:
                await first.put(await response.read_part())
                while await response.read_part():
                    pass
        except RequestError:
            pass

    task = await curio.spawn(read, daemon=True)
    content = (await first.get()).decode()
    versions = [line[6:] for line in content.splitlines() if line[:6] == "data: "]
    assert versions, content
    return versions[0], task


class RepeatedOriginsTest(unittest.TestCase):
    """A stream goes on at its version although the coordinators have forgotten it."""

    def check(self, lose_memory):
        async def play():
            async with Fleet() as fleet:
                await start_versions(
                    fleet, LongStreams().answer, VERSIONS, timeout_s=30
                )
                begun = [
                    await begin_stream(fleet, HOSTS[0], f"q{number}")
                    for number in range(STREAMS)
                ]
                await lose_memory(fleet)
                await curio.sleep(SETTLED_S)
                gateway = fleet.gateways.pop(HOSTS[0])
                self.assertGreater(
                    gateway.metrics.get_value("stream_origins_told_again"), 0
                )
                await gateway.close()
                for number, (version, task) in enumerate(begun):
                    status, versions, code = await read_stream(
                        fleet, HOSTS[1], f"r{number}", take_up(f"q{number}")
                    )
                    self.assertEqual((status, code), (200, None))
                    self.assertEqual(set(versions), {version})
                    await task.cancel()

        run_fleet(play)

    def test_all_coordinators_start_again(self):
        """Guards against origins that are told once, to processes that are gone."""

        async def lose_memory(fleet):
            for host in COORDINATORS:
                await fleet.stop_coordinator(host)
            for host in COORDINATORS:
                await fleet.start_coordinator(host)

        self.check(lose_memory)

    def test_coordinators_start_again_in_turn(self):
        """Guards against origins that are lost one holder after the other."""

        async def lose_memory(fleet):
            for host in COORDINATORS:
                await fleet.stop_coordinator(host)
                await curio.sleep(0.5)
                await fleet.start_coordinator(host)
                await curio.sleep(0.5)

        self.check(lose_memory)

    def test_coordinators_lose_their_disks_in_turn(self):
        """Guards against a coordinator that comes back empty and is not told."""

        async def lose_memory(fleet):
            for host in COORDINATORS:
                await fleet.stop_coordinator(host, wipe=True)
                await curio.sleep(0.3)
                await fleet.start_coordinator(host)
                await curio.sleep(3.0)

        self.check(lose_memory)


if __name__ == "__main__":
    unittest.main()
