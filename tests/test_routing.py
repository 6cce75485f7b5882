"""Tests of the route choice."""

import random
import unittest
from collections import Counter

from buckthorndeal.policy.routing import STRATEGIES, create_router
from buckthorndeal.policy.views import (
    AttemptOutcome,
    AttemptResult,
    EndpointView,
    RegionView,
    RouteRequest,
)
from buckthorndeal.sections import Weights

EVEN = Weights()
COST = Weights(cost=1.0, tail_latency=0.0)
TAIL = Weights(cost=0.0, tail_latency=1.0)
PREFIXES = tuple(range(16))
OTHER_REGIONS = [RegionView("far", 5, 0.0, 0.08)]


def _view(name, **fields):
    fields = {"slots": 8, "models": ("m",), "ready_since_s": -1000.0} | fields
    return EndpointView(name, 1, "s", "home", "d", "127.0.0.1", 1, **fields)


def _views(count, **fields):
    return [_view(f"e{number}", **fields) for number in range(count)]


def _request(**fields):
    fields = {"deadline_s": 1030.0, "prompt_tokens": 1024} | fields
    return RouteRequest("r", "w", "s", "m", home_region="home", **fields)


def _router(strategy="ours", seed=1):
    return create_router("home", random.Random(seed), strategy)


def _choose(router, views, request=None, regions=(), weights=EVEN, now_s=1000.0):
    return router.choose(request or _request(), views, regions, weights, now_s)


class FailingTest(unittest.TestCase):
    def test_failing_endpoint_that_the_cap_keeps_gets_no_requests(self):
        """Guards against preferring an endpoint that looks idle because it fails."""
        router = _router()
        views = _views(3, running=6)
        _choose(router, views)
        failing = ("e0", "e1")
        for name in failing * 3:
            result = AttemptResult(name, 1, "s", AttemptOutcome.BROKEN, 0.02)
            router.observe(result, 1000.0)
        for view in views[:2]:
            view.running = 0
        chosen = Counter(_choose(router, views).endpoint.name for _ in range(50))
        self.assertEqual(chosen, {"e2": 50})
        # A success, or time without a failure, makes it eligible as before.
        later = Counter(
            _choose(
                router, views, _request(deadline_s=1030.0), now_s=1010.0
            ).endpoint.name
            for _ in range(50)
        )
        self.assertGreater(later["e0"] + later["e1"], 0)
        # The penalty is bounded: a long queue at the other endpoint exceeds it.
        views[2].queued = 40
        chosen = _choose(router, views, now_s=1001.0).endpoint.name
        self.assertIn(chosen, failing)


class FilterTest(unittest.TestCase):
    def test_unsuitable_endpoints_are_left_out(self):
        """Guards against choosing a draining, excluded or unsuitable endpoint."""
        views = [
            _view("draining", state="draining"),
            _view("excluded"),
            _view("other-model", models=("n",)),
            _view("good", running=8, queued=3),
        ]
        request = _request(excluded=frozenset(("excluded",)))
        for strategy in STRATEGIES:
            chosen = _choose(_router(strategy), views, request).endpoint
            self.assertEqual(chosen.name, "good", strategy)

    def test_few_eligible_among_many_are_found(self):
        """Guards against a refusal because the samples missed the last one."""
        views = [*_views(600, state="draining"), _view("good")]
        self.assertEqual(_choose(_router(), views).endpoint.name, "good")

    def test_refusals_say_why_and_when_to_return(self):
        """Guards against callers that retry at once."""
        decision = _choose(_router(), [])
        self.assertEqual((decision.endpoint, decision.region), (None, None))
        self.assertEqual(decision.reason, "no_endpoint")
        self.assertGreater(decision.retry_after_s, 0)
        late = _choose(_router(), _views(2, running=8, queued=900))
        self.assertEqual(late.reason, "deadline")
        self.assertGreater(late.retry_after_s, 0)

    def test_all_copies_ejected_are_still_tried(self):
        """Guards against refusing a model whose copies are all ejected."""
        router = _router()
        views = [*_views(4, models=("n",)), _view("only")]
        _choose(router, views)
        for _ in range(3):
            result = AttemptResult("only", 1, "s", AttemptOutcome.BROKEN, 0.1)
            router.observe(result, 1000.0)
        self.assertEqual(_choose(router, views).endpoint.name, "only")


class ScoreTest(unittest.TestCase):
    def test_own_requests_correct_a_stale_report(self):
        """Guards against sending a burst to the endpoint that reported least."""
        idle = _view("idle", running=0, own_since_report=12, own_inflight=12)
        busy = _view("busy", running=8)
        self.assertEqual(_choose(_router(), [idle, busy]).endpoint.name, "busy")

    def test_own_requests_estimate_those_of_peers(self):
        """Guards against trusting a report from before the other hosts' burst."""
        router = _router()
        router.set_peer_count(3)
        idle = _view("idle", running=4, own_inflight=5)
        busy = _view("busy", running=7, own_inflight=1)
        self.assertEqual(_choose(router, [idle, busy]).endpoint.name, "busy")

    def test_hosts_with_the_same_stale_report_spread_requests(self):
        """Guards against several hosts that all pick the least loaded endpoint."""
        views = _views(12, running=7)
        views[0] = _view("e0", running=0)
        counts = Counter()
        for seed in range(200):
            counts[_choose(_router(seed=seed), views).endpoint.name] += 1
        self.assertLess(counts["e0"], 100)

    def test_cold_endpoint_starts_slowly(self):
        """Guards against filling an endpoint that has just announced itself."""
        cold = _view("cold", ready_since_s=999.0, running=2)
        warm = _view("warm", running=5)
        self.assertEqual(_choose(_router(), [cold, warm]).endpoint.name, "warm")
        later = _choose(_router(), [cold, warm], now_s=1025.0)
        self.assertEqual(later.endpoint.name, "cold")

    def test_cold_endpoints_with_free_slots_are_used(self):
        """Guards against refusals by a host whose endpoints are all new to it."""
        views = _views(3, ready_since_s=999.9, running=2)
        request = _request(deadline_s=1001.0)
        router = _router()
        for strategy in STRATEGIES:
            chosen = _choose(_router(strategy), views, request)
            self.assertIsNotNone(chosen.endpoint, strategy)
        _choose(router, views, request)
        self.assertEqual(router.get_wait("s"), 0.0)

    def test_restarted_endpoint_loses_the_preference_of_its_cache(self):
        """Guards against routing by the cache of an endpoint's old process."""
        router = _router()
        router.affinity.record_request("e0", 1, PREFIXES, 999.0)
        request = _request(prefix_hashes=PREFIXES)
        views = [_view("e0", running=2), _view("e1")]
        self.assertEqual(_choose(router, views, request).endpoint.name, "e0")
        router.affinity.record_request("e0", 2, (), 1000.0)
        self.assertEqual(_choose(router, views, request).endpoint.name, "e1")

    def test_weights_change_the_decision(self):
        """Guards against document weights that have no effect."""
        request = _request(prefix_hashes=PREFIXES)
        views = [_view("cached", running=8, queued=2), _view("free")]
        chosen = {}
        for name, weights in (("cost", COST), ("tail", TAIL)):
            router = _router()
            router.affinity.record_request("cached", 1, PREFIXES, 1000.0)
            chosen[name] = _choose(router, views, request, weights=weights)
        self.assertEqual(chosen["cost"].endpoint.name, "cached")
        self.assertEqual(chosen["tail"].endpoint.name, "free")


class SpillTest(unittest.TestCase):
    def _choose_under_load(
        self, router, queued, now_s, request=None, regions=OTHER_REGIONS
    ):
        """Return 20 decisions within two seconds at a constant load."""
        views = _views(3, running=8, queued=queued)
        return [
            _choose(router, views, request, regions, now_s=now_s + step / 10)
            for step in range(20)
        ]

    def _count_spilled(self, *args, **fields):
        return sum(
            d.region is not None for d in self._choose_under_load(*args, **fields)
        )

    def test_local_endpoints_are_preferred(self):
        """Guards against spilling while local endpoints have free slots."""
        self.assertEqual(self._count_spilled(_router(), 0, 1000.0), 0)

    def test_overloaded_region_spills_against_credits_only(self):
        """Guards against requests to a region that has granted no credits."""
        self.assertGreater(self._count_spilled(_router(), 40, 1000.0), 10)
        no_credits = [RegionView("far", 0, 0.0, 0.08)]
        self.assertEqual(
            self._count_spilled(_router(), 40, 1000.0, regions=no_credits), 0
        )
        self.assertEqual(self._count_spilled(_router("local_only"), 40, 1000.0), 0)

    def test_spilling_has_hysteresis(self):
        """Guards against flapping while the wait is near the bound."""
        router = _router()
        self._choose_under_load(router, 4, 1000.0)
        self.assertFalse(router.is_spilling("s"))
        self._choose_under_load(router, 40, 1002.0)
        self.assertTrue(router.is_spilling("s"))
        self._choose_under_load(router, 4, 1004.0)
        self._choose_under_load(router, 4, 1006.0)
        self.assertTrue(router.is_spilling("s"))
        for start_s in (1008.0, 1010.0, 1012.0):
            self._choose_under_load(router, 0, start_s)
        self.assertFalse(router.is_spilling("s"))

    def test_bound_forwarded_and_non_idempotent_requests_never_spill(self):
        """Guards against bound data that leaves its region, loops and lost claims."""
        for fields in (
            {"bound": True},
            {"crossed_region": True},
            {"idempotent": False},
        ):
            request = _request(**fields)
            self.assertEqual(
                self._count_spilled(_router(), 40, 1000.0, request=request), 0
            )
            empty = _choose(_router(), [], request, OTHER_REGIONS)
            self.assertIsNone(empty.region)

    def test_bound_request_away_from_home_is_refused(self):
        """Guards against bound data processed by endpoints of another region."""
        request = _request(bound=True)
        request.home_region = "far"
        decision = _choose(_router(), _views(3), request, OTHER_REGIONS)
        self.assertEqual(decision.reason, "bound_elsewhere")
        self.assertIsNone(decision.endpoint)
        self.assertIsNone(decision.region)


if __name__ == "__main__":
    unittest.main()
