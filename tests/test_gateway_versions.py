"""Tests of streams while endpoints of several software versions serve."""

import json
import unittest
from unittest import mock

import curio

from buckthorndeal.coordinator import _fleet_task
from buckthorndeal.coordinator._entry_notices import send_shared_state
from buckthorndeal.coordinator._fleet_task import FleetTask
from buckthorndeal.errors import RequestError
from tests.fleet_harness import (
    CALLER_PORT,
    REQUEST_ID,
    Fleet,
    create_configuration,
    run_fleet,
)

HOSTS = ("10.1.0.8", "10.1.0.9")
RESUMES = "buckthorndeal-resumes"
LAST_EVENT = 6
# Time after which coordinators forget an endpoint that has ended.
SILENCE_S = 7.0
# Time by which a coordinator tells a fresh host of shared state late.
LATE_S = 1.0
# Events that a stream brings before it breaks.
FIRST_EVENTS = 3


def create_events(version, first, last):
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, version.encode())
        for number in range(first, last + 1)
    )


class BreakingStreams:
    """Script of endpoints whose streams name their version and break at first."""

    def __init__(self):
        self.resumed = []

    async def answer(self, endpoint, request, responder):
        version = endpoint.fields["version"]
        await endpoint.start_stream(request, responder)
        after = int(request.headers.get("last-event-id", "0"))
        if after:
            self.resumed.append(version)
            await responder.send(create_events(version, after + 1, LAST_EVENT))
            await responder.finish()
            return
        await responder.send(create_events(version, 1, FIRST_EVENTS))
        await curio.sleep(0.05)
        raise RuntimeError("the stream breaks")


async def start_versions(fleet, script, versions, **changes):
    """Start a deployment with one endpoint for each of `versions`."""
    await fleet.start_coordinators()
    await fleet.put_configuration("10.1.0.1", create_configuration(1, **changes))
    for host in HOSTS:
        await fleet.start_gateway(host)
    for number, version in enumerate(versions):
        await fleet.start_endpoint(f"e{number}", "a-1", script, version=version)
    for host in HOSTS:
        await fleet.wait_until_ready(host)
    await curio.sleep(1.0)


async def read_stream(fleet, host, request_id, headers=()):
    """Send a request; return the status and the version of each event received."""
    pool = fleet.create_pool(host, CALLER_PORT)
    given = [("host", "x.example"), (REQUEST_ID, request_id), *headers]
    data = b""
    status = None
    try:
        async with pool.request("POST", "/stream/x", given, b"x") as response:
            status = response.status
            while part := await response.read_part():
                data += part
    except RequestError:
        pass
    if status != 200:
        is_error = data.startswith(b"{")
        return status, [], json.loads(data)["error"]["code"] if is_error else None
    lines = data.decode().splitlines()
    return status, [line[6:] for line in lines if line.startswith("data: ")], None


def take_up(request_id):
    """Return the headers of a request that takes up a stream."""
    return [("last-event-id", str(FIRST_EVENTS)), (RESUMES, request_id)]


class MixedVersionsTest(unittest.TestCase):
    """A stream continues only at the software version that began it."""

    def test_broken_stream_does_not_continue_at_another_version(self):
        async def check():
            script = BreakingStreams()
            async with Fleet() as fleet:
                await start_versions(fleet, script.answer, ("v1", "v2"))
                for number in range(6):
                    _, versions, _ = await read_stream(
                        fleet, HOSTS[number % 2], f"q{number}"
                    )
                    self.assertEqual(len(set(versions)), 1)
                self.assertEqual(script.resumed, [])

        run_fleet(check)

    def test_broken_stream_continues_at_another_endpoint_of_its_version(self):
        async def check():
            script = BreakingStreams()
            async with Fleet() as fleet:
                versions = ("v1", "v1", "v2", "v2")
                await start_versions(fleet, script.answer, versions)
                for number in range(6):
                    _, seen, _ = await read_stream(
                        fleet, HOSTS[number % 2], f"q{number}"
                    )
                    self.assertEqual(len(set(seen)), 1)
                    self.assertEqual(len(seen), LAST_EVENT)

        run_fleet(check)

    def test_stream_that_a_caller_takes_up_at_another_host_keeps_its_version(self):
        async def check():
            script = BreakingStreams()
            async with Fleet() as fleet:
                versions = ("v1", "v1", "v2", "v2")
                await start_versions(fleet, script.answer, versions, max_attempts=1)
                begun = {}
                for number in range(12):
                    request_id = f"q{number}"
                    _, seen, _ = await read_stream(fleet, HOSTS[0], request_id)
                    self.assertEqual(len(seen), FIRST_EVENTS)
                    begun[request_id] = seen[0]
                self.assertEqual(set(begun.values()), {"v1", "v2"})
                await fleet.gateways.pop(HOSTS[0]).close()
                for request_id, version in begun.items():
                    _, seen, _ = await read_stream(
                        fleet, HOSTS[1], f"again-{request_id}", take_up(request_id)
                    )
                    self.assertEqual(set(seen), {version})

        run_fleet(check)

    def test_stream_that_is_forwarded_continues_at_its_version(self):
        async def check():
            script = BreakingStreams()
            async with Fleet() as fleet:
                await start_versions(fleet, script.answer, ("v1",))
                await fleet.start_gateway("10.2.0.9")
                for number, version in enumerate(("v2", "v2", "v1")):
                    await fleet.start_endpoint(
                        f"b{number}", "b-1", script.answer, version=version
                    )
                await fleet.wait_until_ready("10.2.0.9")
                await curio.sleep(1.5)
                for number in range(4):
                    _, versions, _ = await read_stream(
                        fleet, HOSTS[number % 2], f"q{number}"
                    )
                    self.assertEqual(versions, ["v1"] * LAST_EVENT)
                self.assertEqual(script.resumed, ["v1"] * 4)

        run_fleet(check)

    def test_version_that_has_brought_an_error_only_did_not_begin_the_stream(self):
        async def check():
            script = BreakingStreams()

            async def fail_at_v1(endpoint, request, responder):
                if endpoint.fields["version"] == "v1":
                    await endpoint.respond(request, responder, status=500)
                else:
                    await script.answer(endpoint, request, responder)

            async with Fleet() as fleet:
                versions = ("v1", "v1", "v2", "v2")
                await start_versions(fleet, fail_at_v1, versions)
                begun = []
                for number in range(16):
                    _, seen, _ = await read_stream(fleet, HOSTS[0], f"q{number}")
                    if seen:
                        begun.append(f"q{number}")
                self.assertGreater(len(begun), 4)
                script.resumed.clear()
                for request_id in begun:
                    _, seen, _ = await read_stream(
                        fleet, HOSTS[1], f"again-{request_id}", take_up(request_id)
                    )
                    self.assertEqual(set(seen), {"v2"})

        run_fleet(check)

    def test_stream_of_unknown_origin_is_refused_at_once(self):
        async def check():
            script = BreakingStreams()
            async with Fleet() as fleet:
                await start_versions(fleet, script.answer, ("v1", "v2"))
                for headers in (take_up("unknown"), take_up("x")[:1]):
                    status, _, code = await read_stream(fleet, HOSTS[0], "q1", headers)
                    self.assertEqual((status, code), (503, "stream_version_unknown"))
                self.assertEqual(script.resumed, [])

        run_fleet(check)

    def test_other_requests_are_served_whatever_they_say_of_streams(self):
        async def answer(endpoint, request, responder):
            await endpoint.respond(request, responder)

        async def check():
            async with Fleet() as fleet:
                await start_versions(fleet, answer, ("v1", "v2"))
                status, _, _ = await fleet.send_request(
                    HOSTS[0], "/idempotent/x", take_up("unknown")
                )
                self.assertEqual(status, 200)

        run_fleet(check)

    def test_stream_whose_version_has_gone_is_refused_at_once(self):
        async def check():
            script = BreakingStreams()
            async with Fleet() as fleet:
                await start_versions(fleet, script.answer, ("v1", "v2"), max_attempts=1)
                _, seen, _ = await read_stream(fleet, HOSTS[0], "q1")
                gone = next(
                    each
                    for each in fleet.endpoints.values()
                    if each.fields["version"] == seen[0]
                )
                gone.state = {"draining": True}
                await curio.sleep(1.0)
                status, _, code = await read_stream(
                    fleet, HOSTS[1], "q2", take_up("q1")
                )
                self.assertEqual((status, code), (503, "version_not_served"))
                self.assertEqual(script.resumed, [])

        run_fleet(check)


class FreshHostTest(unittest.TestCase):
    """A host that has just started does not take what it knows for all there is."""

    def test_first_version_that_a_host_hears_of_is_not_taken_for_the_only_one(self):
        send_initial_state = FleetTask._send_initial_state
        fresh = []

        async def send_in_background(task, entry):
            fresh.append(entry)
            await curio.spawn(send_initial_state, task, entry, daemon=True)

        async def send_late(entry, news):
            if entry in fresh:
                fresh.remove(entry)
                await curio.sleep(LATE_S)
            await send_shared_state(entry, news)

        async def check():
            script = BreakingStreams()
            async with Fleet() as fleet:
                await start_versions(fleet, script.answer, ("v1", "v2"), max_attempts=1)
                request_id = await begin_stream(fleet, "v1")
                for host in HOSTS:
                    await fleet.gateways.pop(host).close()
                # Only the coordinators still know that the version has served.
                await fleet.endpoints.pop("e0").close()
                await curio.sleep(SILENCE_S)
                with (
                    mock.patch.object(
                        FleetTask, "_send_initial_state", send_in_background
                    ),
                    mock.patch.object(_fleet_task, "send_shared_state", send_late),
                ):
                    await fleet.start_gateway(HOSTS[0])
                    await fleet.wait_until_ready(HOSTS[0])
                    headers = take_up(request_id)
                    _, seen, _ = await read_stream(fleet, HOSTS[0], "again", headers)
                self.assertEqual(seen, [])

        run_fleet(check)

    def test_version_that_has_left_is_known_after_all_hosts_were_lost(self):
        async def check():
            script = BreakingStreams()
            async with Fleet() as fleet:
                await start_versions(fleet, script.answer, ("v1", "v2"), max_attempts=1)
                request_id = await begin_stream(fleet, "v1")
                await fleet.endpoints.pop("e0").close()
                for host in HOSTS:
                    await fleet.gateways.pop(host).close()
                for host in list(fleet.coordinators):
                    await fleet.stop_coordinator(host)
                for host in list(fleet.directories):
                    await fleet.start_coordinator(host)
                await fleet.start_gateway(HOSTS[0])
                await fleet.wait_until_ready(HOSTS[0])
                await curio.sleep(1.0)
                headers = take_up(request_id)
                _, seen, _ = await read_stream(fleet, HOSTS[0], "again", headers)
                self.assertEqual(seen, [])

        run_fleet(check)


async def begin_stream(fleet, version):
    """Send requests until one begins at an endpoint of a version; return its id."""
    for number in range(20):
        request_id = f"q{number}"
        _, seen, _ = await read_stream(fleet, HOSTS[0], request_id)
        if seen and seen[0] == version:
            return request_id
    raise AssertionError(f"no stream has begun at {version}")


class OneVersionTest(unittest.TestCase):
    """Nothing of this costs callers a stream while one version serves."""

    def test_stream_of_unknown_origin_continues(self):
        async def check():
            script = BreakingStreams()
            async with Fleet() as fleet:
                await start_versions(fleet, script.answer, ("v1", "v1"))
                for headers in (take_up("unknown"), take_up("x")[:1]):
                    status, seen, _ = await read_stream(fleet, HOSTS[0], "q1", headers)
                    expected = LAST_EVENT - FIRST_EVENTS
                    self.assertEqual((status, len(seen)), (200, expected))

        run_fleet(check)


if __name__ == "__main__":
    unittest.main()
