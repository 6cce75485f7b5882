"""Tests of streams whose route changes its services before they are taken up."""

import unittest
from unittest import mock

import curio

from buckthorndeal.configuration import (
    RequestKind,
    Route,
    WeightedService,
    choose_service,
)
from buckthorndeal.gateway._attempt_headers import SERVICE_HEADER, VERSION_HEADER
from buckthorndeal.gateway._recent_splits import DOUBT_S, SHARE_S, RecentSplits
from tests.fleet_harness import Fleet, create_configuration, run_fleet
from tests.split_play import SplitPlay
from tests.test_gateway_versions import (
    HOSTS,
    read_stream,
    take_up,
)
from tests.test_repeated_origins import LongStreams, begin_stream

COORDINATOR = "10.1.0.1"
REMOTE_HOST = "10.2.0.9"
STREAMS = 8
# By then all hosts have applied a configuration and told origins of their streams.
APPLY_S = 2.5
# Numbers of coordinators and hosts in plays.
SIZES = ((3, 4), (5, 4), (9, 24), (15, 76))
VERSIONS = (("v1",), ("v1", "v2"))
MIN_TAKEN_UP = 12
MIN_CONTINUED = 0.9
CHANGING_WEIGHTS = ((90, 10), (10, 90), (50, 50))


class ServiceStreams(LongStreams):
    """Script of endpoints whose streams name the service and version, and pause."""

    def describe(self, fields):
        return f"{fields['service']}/{fields['version']}"


def split(version, weight_a, weight_b):
    """Return a configuration that divides streams between two services."""
    targets = (("a", weight_a), ("b", weight_b))
    services = [{"service": name, "weight": weight} for name, weight in targets]
    content = create_configuration(version, services=services, timeout_s=30)
    described = b'"services": [{"name": "s"'
    names = b'{"name": "%s", "health_path": "/h", "max_connections": 64}'
    other = names % b"a" + b", " + names % b"b" + b", "
    return content.replace(described, b'"services": [' + other + b'{"name": "s"')


async def start_split(fleet, content, versions, domain="a-1", hosts=HOSTS):
    """Start a deployment with an endpoint of each version in each service."""
    await fleet.start_coordinators()
    status, answer = await fleet.put_configuration(COORDINATOR, content)
    assert status == 200, answer
    for host in hosts:
        await fleet.start_gateway(host)
    script = ServiceStreams()
    for service in ("a", "b"):
        for number, version in enumerate(versions):
            name = f"{service}{number}"
            await fleet.start_endpoint(
                name, domain, script.answer, service=service, version=version
            )
    for host in hosts:
        await fleet.wait_until_ready(host)
    await curio.sleep(1.0)


async def begin_streams(fleet, host):
    """Begin streams; return the origin of each, and the tasks that read on."""
    begun = [await begin_stream(fleet, host, f"q{number}") for number in range(STREAMS)]
    return [origin for origin, _ in begun], [task for _, task in begun]


class ChangedSplitTest(unittest.TestCase):
    """A stream goes on at the service that began it, if its route still allows that."""

    def check(self, versions, expect, *contents):
        async def play():
            async with Fleet() as fleet:
                await start_split(fleet, split(1, 90, 10), versions)
                origins, tasks = await begin_streams(fleet, HOSTS[0])
                for content in contents:
                    await fleet.put_configuration(COORDINATOR, content)
                    await curio.sleep(APPLY_S)
                await fleet.gateways.pop(HOSTS[0]).close()
                for number, origin in enumerate(origins):
                    answer = await read_stream(
                        fleet, HOSTS[1], f"r{number}", take_up(f"q{number}")
                    )
                    expect(origin, answer)
                for task in tasks:
                    await task.cancel()

        run_fleet(play)

    def expect_continued(self, origin, answer):
        status, origins, code = answer
        self.assertEqual((status, code), (200, None))
        self.assertEqual(set(origins), {origin})

    def expect_only_b(self, origin, answer):
        if origin.startswith("b/"):
            self.expect_continued(origin, answer)
        else:
            self.assertEqual(answer, (503, [], "service_not_routed"))

    def test_exchanged_weights(self):
        """Guards against a service that the new weights choose for an old stream."""
        self.check(("v1", "v1", "v2"), self.expect_continued, split(2, 10, 90))

    def test_exchanged_weights_while_one_version_serves(self):
        """Guards against a stream that goes on at another service unnoticed."""
        self.check(("v1", "v1"), self.expect_continued, split(2, 10, 90))

    def test_weights_that_change_twice(self):
        """Guards against a memory of the last change only."""
        contents = (split(2, 10, 90), split(3, 50, 50))
        self.check(("v1", "v1"), self.expect_continued, *contents)

    def test_service_without_weight(self):
        """Guards against streams at a service that its route has left."""
        self.check(("v1", "v2"), self.expect_only_b, split(2, 0, 90))

    def test_service_that_is_gone_from_the_route(self):
        """Guards against the same if the route does not name the service."""
        content = split(2, 10, 90).replace(b'{"service": "a", "weight": 10}, ', b"")
        self.check(("v1", "v2"), self.expect_only_b, content)


class ForwardedStreamTest(unittest.TestCase):
    """The service of a stream holds at hosts with another configuration too."""

    def test_host_that_is_handed_a_stream_keeps_its_service(self):
        """Guards against a choice by the weights of the host that is asked for help.

        Only the other region has endpoints.
        """

        async def play():
            hosts = (HOSTS[0], REMOTE_HOST)
            async with Fleet() as fleet:
                await start_split(fleet, split(1, 90, 10), ("v1", "v2"), "b-1", hosts)
                origins, tasks = await begin_streams(fleet, REMOTE_HOST)
                await fleet.put_configuration(COORDINATOR, split(2, 10, 90))
                await curio.sleep(APPLY_S)
                for task in tasks:
                    await task.cancel()
                for number, origin in enumerate(origins):
                    status, found, code = await read_stream(
                        fleet, HOSTS[0], f"r{number}", take_up(f"q{number}")
                    )
                    self.assertEqual((status, code), (200, None))
                    self.assertEqual(set(found), {origin})

        run_fleet(play)

    def test_headers_between_hosts_are_dropped_from_callers(self):
        """Guards against callers that choose a service or version by a header."""

        async def play():
            async with Fleet() as fleet:
                await start_split(fleet, split(1, 90, 10), ("v1",))
                forged = [(SERVICE_HEADER, "s"), (VERSION_HEADER, "v9")]
                origin, task = await begin_stream(fleet, HOSTS[0], "q1")
                headers = [*take_up("q1"), *forged]
                status, found, _ = await read_stream(fleet, HOSTS[0], "r1", headers)
                self.assertEqual((status, set(found)), (200, {origin}))
                await task.cancel()

        run_fleet(play)


def create_route(*weights):
    targets = tuple(
        WeightedService(name, weight)
        for name, weight in zip("ab", weights, strict=False)
    )
    return Route("r", "x", "/r/", RequestKind.STREAM, 5.0, 1.0, 0, targets)


class RecentSplitsTest(unittest.TestCase):
    """For how long a change of services matters."""

    def setUp(self):
        self.splits = RecentSplits()
        self.splits.update([create_route(90, 10)], 0.0)

    def find_services(self, route, now_s):
        names = [f"q{number}" for number in range(100)]
        return [self.splits.find_service(route, name, now_s) for name in names]

    def test_stream_of_which_no_host_tells_began_before_the_first_change(self):
        """Guards against the service that a later change would have chosen."""
        first, second, third = (create_route(*each) for each in CHANGING_WEIGHTS)
        before = self.find_services(first, 1.0)
        self.splits.update([second], 100.0)
        self.splits.update([third], 102.0)
        self.assertNotEqual(self.find_services(third, 200.0), before)
        self.assertEqual(self.find_services(third, 103.0), before)

    def test_former_services_hold_no_longer_than_a_stream(self):
        """Guards against a service that the weights have left for good."""
        second = create_route(10, 90)
        self.splits.update([second], 100.0)
        chosen = [choose_service(second, f"q{number}") for number in range(100)]
        self.assertNotEqual(self.find_services(second, 101.0), chosen)
        self.assertEqual(self.find_services(second, 100.0 + DOUBT_S), chosen)

    def test_origins_are_shared_for_longer_than_others_are_in_doubt(self):
        """Guards against a slow host that places what nobody shares any more."""
        self.assertFalse(self.splits.is_shared("a", 1.0))
        self.splits.update([create_route(80, 20)], 100.0)
        self.assertTrue(self.splits.is_shared("a", 101.0))
        self.assertTrue(self.splits.is_shared("b", 100.0 + DOUBT_S + 10.0))
        self.assertFalse(self.splits.is_shared("a", 100.0 + SHARE_S))

    def test_configuration_with_the_same_services_shares_nothing(self):
        """Guards against origins that are sent at each change of other things."""
        self.splits.update([create_route(90, 10)], 100.0)
        self.assertFalse(self.splits.is_shared("a", 101.0))

    def test_changes_are_forgotten(self):
        """Guards against memory that grows with each configuration."""
        for number in range(50):
            self.splits.update([create_route(90, 10 + number)], 100.0 * number)
        self.splits.expire(10_000.0)
        self.assertEqual(self.splits._former, {})
        self.assertEqual(self.splits._shared_until_s, {})


class SplitPlayTest(unittest.TestCase):
    """Streams of all hosts go on where they began, in any order of events."""

    def play(
        self,
        size,
        seed,
        versions,
        changes=((8.0, 10, 90),),
        kills_s=(13.0, 19.0),
        kills_core=False,
    ):
        play = SplitPlay(*size, seed, versions)
        for change in changes:
            play.plan_change(*change)
        if kills_core:
            play.plan_core_kill(9.0)
        for kill_s in kills_s:
            play.plan_kill(kill_s, 0.25)
        play.play(4 + 0.5 * size[1])
        return play

    def check_play(self, play):
        self.assertEqual(play.wrong, 0)
        continued, counted = play.measure_continued()
        self.assertGreaterEqual(counted, MIN_TAKEN_UP)
        self.assertGreaterEqual(continued, MIN_CONTINUED)

    def test_hosts_are_killed_before_they_have_applied_the_change(self):
        """Guards against streams that are refused or misplaced as nobody told them."""
        for seed, size in enumerate(SIZES):
            for versions in VERSIONS:
                with self.subTest(size=size, versions=versions):
                    play = self.play(size, seed, versions, kills_s=(8.2, 9.0))
                    self.check_play(play)

    def test_hosts_are_killed_after_the_change(self):
        """Guards against streams that other hosts place by weights of their own."""
        for seed, size in enumerate(SIZES):
            for versions in VERSIONS:
                with self.subTest(size=size, versions=versions):
                    self.check_play(self.play(size, seed, versions))

    def test_weights_change_again_and_again(self):
        """Guards against a memory of one change, and against services that come."""
        changes = ((6.0, 10, 90), (8.0, 0, 90, 10), (9.0, 50, 50), (16.0, 90, 10))
        for seed, size in enumerate(SIZES):
            for versions in VERSIONS:
                with self.subTest(size=size, versions=versions):
                    self.check_play(self.play(size, seed, versions, changes))

    def test_coordinators_are_killed_beside_the_change(self):
        """Guards against origins that only the loss of two things at once destroys."""
        for seed, size in enumerate(SIZES):
            for versions in VERSIONS:
                with self.subTest(size=size, versions=versions):
                    play = self.play(size, seed, versions, kills_core=True)
                    self.check_play(play)

    def test_route_that_does_not_change_shares_nothing_more(self):
        """Guards against origins that are sent while all hosts can tell them."""
        play = self.play(SIZES[2], 1, ("v1",), changes=())
        self.check_play(play)
        self.assertEqual(play.shared_origins, 0)

    def test_hosts_that_place_streams_by_the_present_weights_are_found(self):
        """Guards against a play that cannot see streams at another service."""

        def choose_now(splits, route, request_id, now_s):
            return choose_service(route, request_id)

        with (
            mock.patch.object(RecentSplits, "find_service", choose_now),
            mock.patch.object(RecentSplits, "is_shared", return_value=False),
        ):
            self.assertGreater(self.play(SIZES[2], 1, ("v1",)).wrong, 0)


if __name__ == "__main__":
    unittest.main()
