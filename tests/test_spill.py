"""Tests of spilling between two simulated regions on an injected clock."""

import dataclasses
import math
import random
import unittest

from buckthorndeal.policy.credits import create_borrower, create_lender
from buckthorndeal.policy.routing import create_router
from buckthorndeal.policy.views import EndpointView, RouteRequest
from buckthorndeal.sections import Weights

SERVICE_S = 0.5
STEP_S = 0.1
SLOTS = 20
# Requests per second that the slots can serve.
RATE_PER_S = SLOTS / SERVICE_S
BOUND_SHARE = 0.39


@dataclasses.dataclass
class _Region:
    """A region with one endpoint, whose queue is served at a steady rate."""

    name: str
    other: str
    slots: int
    rng: random.Random

    def __post_init__(self):
        self.router = create_router(self.name, self.rng)
        self.lender = create_lender(self.name)
        self.borrower = create_borrower(self.name, {self.other: 0.08})
        self.load = 0.0
        self.sent = self.refused = self.bound_spilled = self.served_locally = (
            self.rejected
        ) = 0
        self.spill_switches = 0
        self.last_sent_s = -math.inf

    def get_spare(self):
        return max(0, int(self.slots - self.load))

    def create_view(self):
        running = min(self.slots, int(self.load))
        queued = int(self.load) - running
        return EndpointView(
            f"{self.name}-0",
            1,
            "s",
            self.name,
            "d",
            "127.0.0.1",
            1,
            slots=self.slots,
            running=running,
            queued=queued,
            ready_since_s=-1000.0,
        )


class _Pair:
    """Two regions that exchange credits each second."""

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.a = _Region("a", "b", SLOTS, self.rng)
        self.b = _Region("b", "a", SLOTS, self.rng)
        self.steps_sending_both_ways = 0

    def run(self, duration_s, demand, now_s=0.0):
        for step in range(int(duration_s / STEP_S)):
            time_s = now_s + step * STEP_S
            for region, other, rate in zip(
                (self.a, self.b), (self.b, self.a), demand(time_s), strict=True
            ):
                if step % 10 == 0:
                    self._exchange(region, other, time_s)
                region.load = max(0.0, region.load - region.slots * STEP_S / SERVICE_S)
                self._serve(region, other, rate * STEP_S, time_s)
            if abs(self.a.last_sent_s - self.b.last_sent_s) < 5.0:
                self.steps_sending_both_ways += 1

    def _exchange(self, region, other, now_s):
        wait_s = other.router.get_wait("s")
        summary = other.lender.summarize(wait_s, other.get_spare(), now_s)
        region.borrower.receive_summary(summary, now_s)
        for request in region.borrower.create_requests(now_s):
            requests = {request.borrower: request.wanted}
            for grant in other.lender.grant(other.get_spare(), requests, now_s):
                region.borrower.receive_grant(grant, now_s)

    def _serve(self, region, other, mean, now_s):
        count, fraction = divmod(mean, 1.0)
        for _ in range(int(count) + (self.rng.random() < fraction)):
            self._route(region, other, now_s)

    def _route(self, region, other, now_s):
        bound = self.rng.random() < BOUND_SHARE
        request = RouteRequest(
            "r", "w", "s", None, now_s + 3.0, region.name, bound=bound
        )
        was_spilling = region.router.is_spilling("s")
        regions = region.borrower.list_regions(now_s)
        decision = region.router.choose(
            request, [region.create_view()], regions, Weights(), now_s
        )
        region.spill_switches += region.router.is_spilling("s") != was_spilling
        if region.router.is_spilling("s") and not bound:
            region.borrower.record_demand(1, now_s)
        if decision.region is not None:
            self._spill(region, other, bound, now_s)
        elif decision.endpoint is not None:
            region.load += 1
            region.served_locally += 1
        else:
            region.refused += 1

    def _spill(self, region, other, bound, now_s):
        region.bound_spilled += bound
        region.last_sent_s = now_s
        assert region.borrower.take_credit(other.name, now_s)
        if other.lender.redeem(region.name, other.get_spare(), now_s):
            other.load += 1
            region.sent += 1
        else:
            region.rejected += 1


class SpillTest(unittest.TestCase):
    def test_region_at_a_tenth_of_capacity_spills(self):
        """Guards against refusing callers while another region is idle."""
        pair = _Pair()
        pair.a.slots = SLOTS // 10
        pair.run(120.0, lambda now_s: (0.3 * RATE_PER_S, 0.2 * RATE_PER_S))
        total = pair.a.served_locally + pair.a.sent + pair.a.refused + pair.a.rejected
        self.assertGreater(pair.a.sent, 0.3 * total)
        self.assertEqual(pair.a.bound_spilled, 0)
        self.assertLess(pair.b.router.get_wait("s"), 0.1)
        self.assertEqual(pair.b.refused, 0)
        self.assertLess(pair.a.rejected, 0.02 * total)

    def test_full_region_lends_nothing(self):
        """Guards against local callers that wait behind those of another region."""
        pair = _Pair()
        pair.a.slots = SLOTS // 10
        pair.run(60.0, lambda now_s: (0.3 * RATE_PER_S, 1.1 * RATE_PER_S))
        total = pair.a.served_locally + pair.a.sent + pair.a.refused
        self.assertLess(pair.a.sent, 0.02 * total)

    def test_shifting_peaks_do_not_flap(self):
        """Guards against requests sent back and forth while peaks move."""
        pair = _Pair()

        def demand(now_s):
            swing = math.sin(2 * math.pi * now_s / 120.0)
            return (
                RATE_PER_S * (0.75 + 0.55 * swing),
                RATE_PER_S * (0.75 - 0.55 * swing),
            )

        pair.run(480.0, demand)
        self.assertGreater(pair.a.sent + pair.b.sent, 200)
        # Each region has four peaks; at each, spilling may start and stop twice.
        self.assertLessEqual(pair.a.spill_switches, 16)
        self.assertLessEqual(pair.b.spill_switches, 16)
        self.assertEqual(pair.steps_sending_both_ways, 0)

    def test_partition_ends_spilling_with_the_credits(self):
        """Guards against using the credits of a region that can't be reached."""
        pair = _Pair()
        pair.a.slots = SLOTS // 10

        def demand(now_s):
            return (0.3 * RATE_PER_S, 0.2 * RATE_PER_S)

        pair.run(30.0, demand)
        self.assertGreater(pair.a.borrower.count_credits("b", 30.0), 0)
        pair._exchange = lambda *arguments: None
        pair.run(5.0, demand, now_s=30.0)
        sent, served_locally = pair.a.sent, pair.a.served_locally
        pair.run(10.0, demand, now_s=35.0)
        self.assertEqual(pair.a.sent, sent)
        self.assertGreater(pair.a.served_locally, served_locally)


if __name__ == "__main__":
    unittest.main()
