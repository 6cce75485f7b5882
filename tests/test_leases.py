"""Tests of the lease granter and the lease holder."""

import unittest

from buckthorndeal import statemachine as sm
from buckthorndeal.leases import (
    LeaseDenied,
    LeaseOptions,
    create_lease_granter,
    create_lease_holder,
)

OPTIONS = LeaseOptions(duration_s=6.0, drift_bound_s=0.3, renew_every_s=1.5)


class LeasesTest(unittest.TestCase):
    """Granter and holder with given clock values."""

    def setUp(self):
        self.machine = sm.create_statemachine()
        self.granter = create_lease_granter(OPTIONS)
        self.granter.start_leading(0.0)

    def request(self, holder, now_s):
        command = self.granter.handle_request(
            self.machine.get_lease("p"), holder, now_s
        )
        if isinstance(command, LeaseDenied):
            return command
        data = sm.encode_command(command)
        answer = self.machine.apply(self.machine.applied_index + 1, data)
        self.granter.record_applied("p", now_s)
        return answer

    def test_lease_passes_after_duration_and_drift_bound(self):
        """Guards against a second holder while the first may still use the lease."""
        self.request("a", 1.0)
        self.assertTrue(self.request("a", 3.0).granted)
        denied = self.request("b", 9.2)
        self.assertEqual(denied.holder, "a")
        self.assertAlmostEqual(denied.retry_after_s, 0.1)
        self.assertEqual(self.request("b", 9.31).lease.fencing, 2)

    def test_proposed_renewal_counts_before_it_is_committed(self):
        """Guards against a grant to another holder while a renewal is pending."""
        self.request("a", 1.0)
        self.granter.handle_request(self.machine.get_lease("p"), "a", 7.0)
        self.assertIsInstance(self.request("b", 7.5), LeaseDenied)

    def test_new_leader_restarts_the_duration_of_leases(self):
        """Guards against ignoring a renewal that only the old leader has seen."""
        self.request("a", 1.0)
        self.granter.stop_leading()
        self.assertIsInstance(self.request("b", 50.0), LeaseDenied)
        self.granter.start_leading(50.0)
        self.assertIsInstance(self.request("b", 56.2), LeaseDenied)
        self.assertTrue(self.request("b", 56.31).granted)

    def test_holder_counts_from_sending_and_stops_early(self):
        """Guards against a duration counted from the arrival of a delayed answer."""
        holder = create_lease_holder("p", "a", OPTIONS)
        self.assertTrue(holder.handle_answer(self.request("a", 1.0), 1.0))
        self.assertTrue(holder.is_held(6.69))
        self.assertFalse(holder.is_held(6.71))
        delayed = self.request("a", 4.0)
        self.assertFalse(holder.handle_answer(delayed, 2.0))
        self.assertFalse(holder.is_held(7.71))

    def test_released_lease_is_not_usable_again(self):
        """Guards against a renewal that is answered after the release."""
        holder = create_lease_holder("p", "a", OPTIONS)
        holder.handle_answer(self.request("a", 1.0), 1.0)
        renewal = self.request("a", 2.0)
        command = holder.release()
        holder.handle_answer(renewal, 2.0)
        self.assertFalse(holder.is_held(2.0))
        self.machine.apply(9, sm.encode_command(command))
        self.assertTrue(self.request("b", 2.1).granted)


if __name__ == "__main__":
    unittest.main()
