"""Plays of endpoints that fall over when they turn too many requests away."""

import unittest
from unittest import mock

from buckthorndeal.gateway._slot_shares import SlotShares
from tests.path_play import disturb_all
from tests.rejection_play import create_rejection_play
from tests.repeat_play import SLOTS

WORK_S = (0.1, 0.25)
MEAN_WORK_S = sum(WORK_S) / 2
SECONDS = 30
# Requests are served at least this often while all of them fit into the slots.
MIN_SERVED = 0.9


def play_rejections(hosts, endpoints, seed, load, disturb=None):
    """Play requests that take `load` of all slots."""
    play = create_rejection_play(hosts, endpoints, seed)
    if disturb is not None:
        disturb(play, seed)
    with mock.patch("tests.repeat_play.WORK_S", WORK_S):
        play.play_paths(SECONDS, load * endpoints * SLOTS / MEAN_WORK_S)
    return play


class RejectionLimitTest(unittest.TestCase):
    """Endpoints turn little away, and callers are served all the same."""

    def check_play(self, play, min_served=MIN_SERVED):
        falls, allowed = play.count_falls()
        self.assertLessEqual(falls, allowed)
        self.assertGreater(play.measure_served(16, SECONDS - 3), min_served)
        self.assertEqual(play.count_quarantined_calls(), 0)
        self.assertEqual(play.count_repeated_bookings(), 0)
        self.assertEqual(play.count_false_refusals(), 0)
        self.assertEqual(play.passed_on_twice, 0)

    def test_few_rejections_at_4_hosts(self):
        for seed in (1, 2):
            self.check_play(play_rejections(4, 6, seed, 0.7))

    def test_few_rejections_at_24_hosts(self):
        self.check_play(play_rejections(24, 9, 3, 0.7))

    def test_few_rejections_at_76_hosts(self):
        self.check_play(play_rejections(76, 9, 4, 0.5))

    def test_few_rejections_while_hosts_and_a_coordinator_are_lost(self):
        self.check_play(play_rejections(24, 9, 11, 0.6, disturb_all), 0.8)

    def test_few_rejections_under_overload(self):
        for hosts, endpoints, load in ((4, 6, 1.3), (24, 9, 1.2)):
            play = play_rejections(hosts, endpoints, 5, load)
            falls, allowed = play.count_falls()
            self.assertLessEqual(falls, allowed)


class PlantedFaultTest(unittest.TestCase):
    """The play finds what it is there for."""

    def test_hosts_that_rely_on_queues_are_found(self):
        with mock.patch.object(SlotShares, "may_send", return_value=True):
            falls, allowed = play_rejections(24, 9, 1, 0.9).count_falls()
        self.assertGreater(falls, allowed)

    def test_hosts_that_know_of_no_other_are_found(self):
        with mock.patch.object(SlotShares, "_compute_share", return_value=SLOTS):
            falls, allowed = play_rejections(24, 9, 1, 0.9).count_falls()
        self.assertGreater(falls, allowed)


if __name__ == "__main__":
    unittest.main()
