"""Tests of spill credits."""

import unittest

from buckthorndeal.policy.credits import (
    CreditGrant,
    RegionSummary,
    create_borrower,
    create_lender,
    split_fairly,
)


class LenderTest(unittest.TestCase):
    def setUp(self):
        self.lender = create_lender("a", headroom_share=0.25)

    def _grant(self, spare, now_s, **requests):
        grants = self.lender.grant(spare, requests, now_s)
        return {grant.borrower: grant.credits for grant in grants}

    def test_spare_capacity_is_split_fairly_with_headroom(self):
        """Guards against one region that borrows everything."""
        self.assertEqual(
            self._grant(16, 0.0, b=2, c=50, d=50), {"b": 2, "c": 5, "d": 5}
        )
        self.assertEqual(sum(split_fairly(7, {"b": 3, "c": 9, "d": 9}).values()), 7)

    def test_region_at_a_tenth_of_capacity_revokes_its_credits(self):
        """Guards against local callers that wait behind those of another region."""
        self._grant(40, 0.0, b=10)
        self.assertEqual(self._grant(1, 1.0, b=10), {"b": 0})
        self.assertFalse(self.lender.redeem("b", 1, 1.0))

    def test_own_callers_come_before_granted_credits(self):
        """Guards against honouring a credit when no slot is free."""
        self._grant(40, 0.0, b=10)
        self.assertFalse(self.lender.redeem("b", 0, 0.1))
        self.assertTrue(self.lender.redeem("b", 5, 0.1))

    def test_expired_and_used_credits_are_not_honoured(self):
        """Guards against a partitioned borrower that spends old credits."""
        self._grant(40, 0.0, b=2)
        self.assertTrue(self.lender.redeem("b", 5, 0.1))
        self.assertTrue(self.lender.redeem("b", 5, 0.1))
        self.assertFalse(self.lender.redeem("b", 5, 0.1))
        self._grant(40, 1.0, b=2)
        self.assertFalse(self.lender.redeem("b", 5, 10.0))

    def test_valid_credits_of_others_are_not_lent_twice(self):
        """Guards against promising one slot to two regions."""
        self.assertEqual(self._grant(16, 0.0, b=12), {"b": 12})
        self.assertEqual(self._grant(16, 0.5, c=12), {"c": 0})
        self.assertEqual(self._grant(16, 5.0, c=12), {"c": 12})

    def test_shifting_peak_does_not_flap(self):
        """Guards against lending that starts and stops with each short peak."""
        starts = 0
        for second in range(300):
            was_lending = self.lender.is_lending
            self._grant(20 if second % 2 else 0, float(second), b=5)
            starts += self.lender.is_lending and not was_lending
        # Pauses of 10, 20 and 40 s, then of 60 s.
        self.assertLessEqual(starts, 8)

    def test_lending_resumes_after_a_long_peak(self):
        """Guards against a pause that never ends."""
        for second in range(20):
            self._grant(20, float(second), b=5)
        self._grant(0, 20.0, b=5)
        for second in range(21, 30):
            granted = self._grant(20, float(second), b=5)
        self.assertEqual(granted, {"b": 5})

    def test_limit_of_one_credit_is_lent_with_hysteresis(self):
        """Guards against a small region that never lends, or flaps when it does."""
        for spare, second, credits in ((2, 0, 0), (3, 1, 0), (5, 9, 1), (2, 10, 1)):
            grants = self.lender.grant(spare, {"b": 4}, float(second), limit=1)
            self.assertEqual([grant.credits for grant in grants], [credits])
        self.assertFalse(self.lender.redeem("b", 0, 10.1))
        self.assertTrue(self.lender.redeem("b", 1, 10.1))
        self.assertEqual(self.lender.grant(1, {"b": 4}, 11.0, limit=1)[0].credits, 0)
        self.assertEqual(self.lender.grant(5, {"b": 4}, 12.0, limit=1)[0].credits, 0)


class BorrowerTest(unittest.TestCase):
    def setUp(self):
        self.borrower = create_borrower("b", {"a": 0.08, "c": 0.01})
        self.borrower.receive_summary(RegionSummary("a", 0.0, 20), 0.0)

    def test_restarted_lenders_grant_is_accepted_after_the_old_one_expired(self):
        """Guards against ignoring a lender whose grant numbers start again."""
        borrower = create_borrower("b")
        borrower.receive_grant(CreditGrant("a", "b", 900, 5, 3.0), 0.0)
        borrower.receive_grant(CreditGrant("a", "b", 1, 7, 3.0), 1.0)
        self.assertEqual(borrower.count_credits("a", 1.0), 5)
        borrower.receive_grant(CreditGrant("a", "b", 2, 7, 3.0), 3.0)
        self.assertEqual(borrower.count_credits("a", 3.0), 7)

    def test_credits_expire(self):
        """Guards against spilling to a region that can't be reached any more."""
        self.borrower.receive_grant(CreditGrant("a", "b", 1, 2, 3.0), 0.0)
        self.assertTrue(self.borrower.take_credit("a", 2.9))
        self.assertFalse(self.borrower.take_credit("a", 3.0))
        self.assertEqual(self.borrower.list_regions(3.0)[0].credits, 0)

    def test_old_grant_does_not_replace_a_newer_one(self):
        """Guards against a late grant that revives revoked credits."""
        self.borrower.receive_grant(CreditGrant("a", "b", 2, 0, 3.0), 0.0)
        self.borrower.receive_grant(CreditGrant("a", "b", 1, 9, 3.0), 0.0)
        self.assertFalse(self.borrower.take_credit("a", 0.1))

    def test_unsent_request_returns_its_credit_once(self):
        """Guards against lost credits, and against more than were granted."""
        self.borrower.receive_grant(CreditGrant("a", "b", 1, 1, 3.0), 0.0)
        self.assertTrue(self.borrower.take_credit("a", 0.1))
        self.borrower.return_credit("a", 0.2)
        self.borrower.return_credit("a", 0.2)
        self.assertEqual(self.borrower.count_credits("a", 0.3), 1)

    def test_demand_requests_credits_and_its_end_returns_them(self):
        """Guards against credits kept idle after the peak."""
        self.assertEqual(self.borrower.create_requests(0.0), [])
        for step in range(20):
            self.borrower.record_demand(1, step / 10)
        asked = self.borrower.create_requests(2.0)
        self.assertEqual([request.region for request in asked], ["a"])
        self.assertGreater(asked[0].wanted, 5)
        self.assertEqual(self.borrower.create_requests(2.1), [])
        self.borrower.receive_summary(RegionSummary("a", 0.0, 20), 29.0)
        self.assertEqual([r.wanted for r in self.borrower.create_requests(30.0)], [0])
        self.assertEqual(self.borrower.create_requests(32.0), [])

    def test_borrower_keeps_asking_the_same_region(self):
        """Guards against moving to another cold cache when summaries shift."""
        self.borrower.record_demand(10, 0.0)
        self.borrower.create_requests(0.0)
        self.borrower.receive_summary(RegionSummary("c", 0.0, 20), 1.0)
        self.borrower.record_demand(10, 1.0)
        asked = self.borrower.create_requests(1.5)
        self.assertEqual([request.region for request in asked], ["a"])


if __name__ == "__main__":
    unittest.main()
