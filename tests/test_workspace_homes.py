"""Tests of the home regions of workspaces in each decision of a dispatcher."""

import itertools
import random
import unittest
from dataclasses import replace
from unittest import mock

from buckthorndeal.configuration import Configuration
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.fleet import count_home_workspaces
from buckthorndeal.gateway._authentication import check_home
from buckthorndeal.gateway._endpoint_path import PathState
from buckthorndeal.gateway._fleet_messages import FleetChanged, RegionUpdate
from buckthorndeal.gateway._messages import Forward, Grant, Refusal, RefusalReason
from buckthorndeal.workspaces import Workspace
from tests.dispatcher_harness import ROUTE as STREAM_ROUTE
from tests.dispatcher_harness import DispatcherHarness

BELL = Workspace("bell", ("k-bell",))
HOPS = ("h1",)


class HomeRegionTest(unittest.TestCase):
    """Home regions of workspace and route bind each decision of a dispatcher."""

    REGIONS = ("a", "b", "c")

    def create_harness(self, endpoints, relays, is_lost):
        harness = DispatcherHarness(endpoints=endpoints)
        dispatcher = harness.dispatcher
        hosts = ("h1", "h2", "h3")
        harness.view.set_fleet(
            FleetChanged(
                hosts,
                3,
                frozenset(),
                ready_hosts=hosts,
                relay_hosts=relays,
                is_confirmed=True,
            ),
            harness.now_s,
        )
        for region in self.REGIONS[1:]:
            update = RegionUpdate(region, f"{region}1", {"llm": 0.01}, {"llm": 50})
            dispatcher.update_region(update, harness.now_s)
        if is_lost:
            dispatcher.reach.path.state = PathState.LOST
        return harness

    def list_homes(self):
        subsets = [
            frozenset(each)
            for size in range(4)
            for each in itertools.combinations(self.REGIONS, size)
        ]
        return itertools.product(subsets, subsets)

    def test_no_decision_leaves_the_home_regions(self):
        """Guards against any path by which a body leaves its home regions.

        The paths are the endpoints of the region, a relay within it, another region,
        the same as a retry, a resumed stream and a replacement, and a request that
        another host has passed on.
        """
        rng = random.Random(5)
        seen = set()
        for route_homes, homes in self.list_homes():
            for _ in range(12):
                harness = self.create_harness(
                    rng.choice((0, 3)), rng.choice(((), ("h2",))), rng.random() < 0.4
                )
                route = replace(STREAM_ROUTE, resumable=True, home_regions=route_homes)
                workspace = replace(BELL, home_regions=homes)
                decision = harness.submit(
                    route=route,
                    hops=rng.choice(((), HOPS)),
                    call_fields={
                        "workspace": workspace,
                        "resume_after": rng.choice((None, 3)),
                    },
                    is_retry=rng.random() < 0.5,
                    excluded=frozenset(rng.sample(["e0", "b", "h2"], 1)),
                )
                allowed = {
                    region
                    for region in self.REGIONS
                    if (not route_homes or region in route_homes)
                    and (not homes or region in homes)
                }
                if isinstance(decision, Grant):
                    self.assertIn("a", allowed)
                elif isinstance(decision, Forward):
                    self.assertIn(decision.region, allowed)
                seen.add((type(decision), getattr(decision, "is_relay", None)))
        kinds = {(Grant, None), (Forward, False), (Forward, True), (Refusal, None)}
        self.assertLessEqual(kinds, seen)

    def test_disjoint_homes(self):
        """Guards against homes of a route that replace those of a workspace."""
        harness = self.create_harness(3, ("h2",), False)
        route = replace(STREAM_ROUTE, home_regions=frozenset("a"))
        workspace = replace(BELL, home_regions=frozenset("b"))
        decision = harness.submit(route=route, call_fields={"workspace": workspace})
        self.assertIs(decision.reason, RefusalReason.HOME_UNREACHABLE)

    def test_waiting_request_keeps_its_homes(self):
        """Guards against a queue that forgets the workspace of what waits in it."""
        harness = self.create_harness(0, (), False)
        harness.dispatcher.admission._started_s = None
        workspace = replace(BELL, home_regions=frozenset("d"))
        self.assertIsNone(harness.submit(call_fields={"workspace": workspace}))
        for _ in range(10):
            harness.now_s += 0.5
            for region in self.REGIONS[1:]:
                update = RegionUpdate(region, f"{region}1", {"llm": 0.0}, {"llm": 50})
                harness.dispatcher.update_region(update, harness.now_s)
            for _, decision in harness.dispatcher.decide_waiting(harness.now_s):
                self.assertIsInstance(decision, Refusal)

    def test_receiving_host_checks_again(self):
        """Guards against a sender whose configuration lacks the home regions."""
        harness = self.create_harness(3, (), False)
        workspace = replace(BELL, home_regions=frozenset("b"))
        call_fields = {"workspace": workspace}
        decision = harness.submit(hops=HOPS, call_fields=call_fields)
        self.assertIs(decision.reason, RefusalReason.HOME_UNREACHABLE)

    def test_check_of_a_forwarded_request(self):
        call = mock.Mock(
            may_run_in=Workspace("w", home_regions=frozenset("a")).may_run_in
        )
        check_home(call, "a")
        with self.assertRaises(RequestError) as caught:
            check_home(call, "b")
        error = caught.exception
        self.assertEqual((error.status, error.verdict), (421, Verdict.NOT_RUN))

    def test_homes_that_a_draining_host_considers(self):
        """Guards against one entry for each of thousands of workspaces."""
        many = tuple(
            Workspace(f"w{number}", home_regions=frozenset("ab"[: number % 3]))
            for number in range(300)
        )
        counts = count_home_workspaces(Configuration(1, workspaces=many)).values()
        self.assertCountEqual(counts, [{"a": 1}, {"a": 1, "b": 1}])


if __name__ == "__main__":
    unittest.main()
