"""Plays of engines that name a rate limit: what they get, and what callers get."""

import unittest
from unittest import mock

from buckthorndeal.gateway._rate_shares import RateShares
from tests.limit_play import LimitPlay

# Requests begin at the first attempt at least this often while other engines are free.
MIN_BEGUN = 0.95


class RateLimitPlayTest(unittest.TestCase):
    """A limit holds for all hosts together, and callers go elsewhere."""

    def check_limits(self, play):
        for number in play.limits:
            most, allowed = play.count_most(number)
            self.assertGreater(most, 0)
            self.assertLessEqual(most, allowed)

    def check_callers(self, play, seconds):
        self.assertGreater(play.measure_begun(14.0, seconds), MIN_BEGUN)

    def test_limits_hold_at_24_hosts(self):
        play = LimitPlay(24, 9, {0: 1.0, 1: 3.5})
        play.play(40, 60, 0)
        self.check_limits(play)
        self.check_callers(play, 40)

    def test_limits_hold_at_76_hosts(self):
        play = LimitPlay(76, 26, {0: 0.5, 1: 1.0, 2: 12.0, 3: 1.0})
        play.play(30, 160, 0)
        self.check_limits(play)
        self.check_callers(play, 30)

    def test_limits_hold_at_4_hosts(self):
        play = LimitPlay(4, 9, {0: 1.0, 1: 1.0, 2: 6.0})
        play.play(40, 60, 0)
        self.check_limits(play)
        self.check_callers(play, 40)

    def test_limits_hold_with_lost_coordinators_frozen_and_cut_off_hosts(self):
        for seed in (31, 32, 33):
            play = LimitPlay(24, 9, {0: 1.0, 1: 3.0}, seed=seed)
            play.disturb_hosts(seed)
            play.play(40, 60, 0)
            self.check_limits(play)

    def test_limits_hold_while_hosts_leave_and_return(self):
        for seed in (41, 42, 43):
            play = LimitPlay(24, 9, {0: 1.0, 1: 8.0}, seed=seed)
            play.change_members(seed)
            play.play(40, 60, 0)
            self.check_limits(play)

    def test_all_engines_of_a_region_limited(self):
        play = LimitPlay(24, 9, {0: 1.0, 3: 1.0, 6: 1.0})
        play.play(30, 60, 0)
        self.check_limits(play)

    def test_engine_whose_limit_is_gone_is_used_again(self):
        play = LimitPlay(24, 9, {0: 1.0}, until_s=24.0)
        play.play(45, 60, 0)
        self.check_limits(play)
        before = play.count_arrivals(0, 2, 8)
        after = play.count_arrivals(0, 35, 41)
        self.assertGreater(after, before / 2)


class PlantedFaultTest(unittest.TestCase):
    """The play finds a deployment that does not keep the rule."""

    def check_found(self, play):
        play.play(30, 60, 0)
        most, allowed = play.count_most(0)
        self.assertGreater(most, allowed)

    def test_hosts_that_read_no_limit_are_found(self):
        with mock.patch.object(RateShares, "get_limit", return_value=None):
            self.check_found(LimitPlay(24, 9, {0: 1.0}))

    def test_hosts_that_keep_the_limit_each_on_its_own_are_found(self):
        with mock.patch.object(RateShares, "set_hosts"):
            self.check_found(LimitPlay(24, 9, {0: 1.0}))


if __name__ == "__main__":
    unittest.main()
