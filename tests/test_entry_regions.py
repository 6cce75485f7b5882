"""Tests of spilling between entry hosts of two regions, with an injected clock."""

import unittest

from buckthorndeal.authentication import Identity
from buckthorndeal.entry._messages import NO_CREDIT, Admit, ChooseRoute, Release, Tick
from buckthorndeal.entry._regions import SpillReceived, compute_lending_limit
from buckthorndeal.entry._router import DEFERRED
from buckthorndeal.errors import RequestError, Verdict
from buckthorndeal.policy.routing import may_spill
from buckthorndeal.policy.views import RouteRequest
from buckthorndeal.sections import Workspace
from tests.policy_harness import VIEW, Host

STEP_S = 0.25
WORKSPACE = Workspace(
    key_hashes=("0" * 64,),
    home_region="r1",
    requests_per_s=1e6,
    burst=100_000,
    concurrency=100_000,
)


class _Pair:
    """Host ``e1`` in region ``r1`` with one slot, and ``e2`` in ``r2`` with spare."""

    def __init__(self, spare_slots=64):
        hosts = (("e1", "r1"), ("e2", "r2"))
        self.full = Host("e1", hosts, region="r1")
        self.spare = Host("e2", hosts, region="r2")
        self.full.announce("x", service="desk", slots=1)
        self.spare.announce("y", service="desk", slots=spare_slots)
        self.is_partitioned = False
        self.count = 0

    def advance(self, duration_s):
        for _ in range(int(duration_s / STEP_S)):
            for host, name in ((self.full, "x"), (self.spare, "y")):
                host.now_s += STEP_S
                host.report(name)
                host.state.handle(Tick(VIEW))
            for host, other in ((self.full, self.spare), (self.spare, self.full)):
                for target, notice in host.state.take_notices():
                    if not self.is_partitioned:
                        assert target == other.name
                        other.state.handle(SpillReceived(notice, host.name))

    def admit(self, host, bound=False, idempotent=True, borrower="", deadline_s=60):
        """Return the reply to `Admit` and the ticket id."""
        self.count += 1
        ticket_id = str(self.count)
        deadline_s += host.now_s
        request = RouteRequest(
            ticket_id, "free", "desk", None, deadline_s, "r1", bound, idempotent
        )
        message = Admit(
            ticket_id,
            Identity("free", WORKSPACE),
            "desk",
            deadline_s,
            bool(borrower),
            borrower,
            ChooseRoute("", request, VIEW) if may_spill(request) else None,
        )
        return host.state.handle(message), ticket_id

    def send_load(self, duration_s, **fields):
        """Send 8 requests per second to the full host; return the regions used."""
        regions = []
        for _ in range(int(duration_s / STEP_S)):
            for _ in range(2):
                try:
                    reply, _ = self.admit(self.full, **fields)
                except RequestError as error:
                    assert error.verdict is Verdict.NOT_RUN
                    continue
                if reply not in (None, DEFERRED):
                    regions.append(reply.decision.region)
            self.advance(STEP_S)
        return regions


class RegionSpillTest(unittest.TestCase):
    """Requests spill from a full region only against credits."""

    def test_spill_starts_with_credits_and_stops_when_they_expire(self):
        """Guards against requests sent to a region that has not lent capacity."""
        pair = _Pair()
        pair.is_partitioned = True
        self.assertEqual(pair.send_load(6), [])
        pair.is_partitioned = False
        spilled = pair.send_load(6)
        self.assertEqual(set(spilled), {"r2"})
        pair.is_partitioned = True
        # Credits expire in less than 3 s without a renewal.
        pair.send_load(3)
        self.assertEqual(pair.send_load(3), [])

    def test_region_with_four_slots_lends_one(self):
        """Guards against spill credits that are rounded down to none."""
        pair = _Pair(spare_slots=4)
        self.assertEqual(set(pair.send_load(8)), {"r2"})
        self.assertEqual(pair.send_load(4, bound=True), [])

    def test_parts_of_the_hosts_add_up_to_the_share_of_the_region(self):
        """Guards against slots lost, or lent twice, by rounding on each host."""
        for slots, hosts, total in ((15, 2, 3), (5, 1, 1), (5, 3, 1), (64, 7, 12)):
            parts = [
                compute_lending_limit(slots, 0.2, host, hosts) for host in range(hosts)
            ]
            self.assertEqual(sum(parts), total)
            self.assertLessEqual(max(parts) - min(parts), 1)

    def test_bound_request_and_booking_are_never_moved(self):
        """Guards against bound data and claims that leave their home region."""
        pair = _Pair()
        self.assertTrue(pair.send_load(8))
        self.assertEqual(pair.send_load(4, bound=True), [])
        self.assertEqual(pair.send_load(4, idempotent=False), [])
        _, route = pair.full.choose("desk", bound=True, excluded=frozenset({"x"}))
        self.assertEqual((route.decision.region, route.host), (None, None))

    def test_lender_takes_no_more_than_it_has_granted(self):
        """Guards against a borrower that sends without credits."""
        pair = _Pair()
        with self.assertRaises(RequestError) as caught:
            pair.admit(pair.spare, borrower="e1")
        self.assertEqual(caught.exception.code, NO_CREDIT)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        pair.send_load(6)
        granted = 0
        with self.assertRaises(RequestError):
            for _ in range(100):
                reply, ticket_id = pair.admit(pair.spare, borrower="e1")
                self.assertIsNone(reply)
                pair.spare.state.handle(Release(ticket_id))
                granted += 1
        # 64 slots with the factor 1.25, of which a fifth is lent.
        self.assertIn(granted, range(1, 17))

    def test_request_spills_once_and_not_to_a_host_it_has_passed(self):
        """Guards against a request that returns to a host that forwarded it."""
        pair = _Pair()
        pair.send_load(8)
        _, route = pair.full.choose("desk", excluded=frozenset({"x"}))
        self.assertEqual((route.decision.region, route.host.host), ("r2", "e2"))
        for fields in ({"hops": ("e2",)}, {"crossed_region": True}):
            _, route = pair.full.choose("desk", excluded=frozenset({"x"}), **fields)
            self.assertEqual((route.decision.region, route.host), (None, None))
