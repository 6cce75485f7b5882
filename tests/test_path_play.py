"""Plays of entry hosts that lose their path to all endpoints."""

import unittest
from unittest import mock

from buckthorndeal.gateway._crash_guard import CrashGuard
from buckthorndeal.gateway._endpoint_path import EndpointPath
from buckthorndeal.gateway._relay_choice import RelayChooser
from tests.path_play import MANNERS, PathPlay, create_path_play, disturb_all

# First attempts at hosts without a path are served at least this often, against the
# others.
MIN_RATIO = 2 / 3
MIN_CUT_OFF_TRIES = 30
# Many requests are under way when a path is lost.
LONG_WORK = mock.patch("tests.repeat_play.WORK_S", (0.1, 0.25))
# Share of all first attempts that is served while no more than hosts' paths are lost.
MIN_SERVED = 0.97


def play_losses(hosts, endpoints, seed, manner, disturb=None):
    """Play the loss of a part of a region, and then of all of it."""
    play = create_path_play(hosts, endpoints, seed)
    if disturb is not None:
        disturb(play, seed)
    play.lose_paths(0, 0.4 + 0.1 * (seed % 5), 6.0, 12.0, manner)
    play.lose_paths(0, 1.0, 24.0, 12.0, manner)
    play.play_paths(42, 10 + hosts * 2.0)
    return play


def is_broken(play):
    """Return whether the rule on hosts without a path is broken."""
    cut_off, others = play.measure_first_tries()
    failed, allowed = play.count_failed_first_tries()
    return cut_off < MIN_RATIO * others and failed > allowed


class LostPathTest(unittest.TestCase):
    """Callers of hosts without a path are served as well as others, and truthfully."""

    def check_play(self, play, min_served=MIN_SERVED):
        self.assertGreater(play.count_cut_off_tries(), MIN_CUT_OFF_TRIES)
        self.assertFalse(is_broken(play))
        for share in play.measure_first_tries():
            self.assertGreater(share, min_served)
        self.assertEqual(play.count_repeated_bookings(), 0)
        self.assertEqual(play.count_false_refusals(), 0)
        self.assertEqual(play.passed_on_twice, 0)
        self.assertEqual(play.count_quarantined_calls(), 0)

    def test_lost_paths_at_4_hosts(self):
        for manner in MANNERS:
            for seed in (1, 2):
                self.check_play(play_losses(4, 6, seed, manner))

    def test_lost_paths_at_24_hosts(self):
        for manner in MANNERS:
            self.check_play(play_losses(24, 9, 3, manner))

    def test_lost_paths_at_76_hosts(self):
        self.check_play(play_losses(76, 18, 4, "hang"))

    def test_lost_paths_while_hosts_and_a_coordinator_are_lost(self):
        for manner in MANNERS:
            play = play_losses(24, 9, 11, manner, disturb_all)
            self.check_play(play, 0.9)

    def test_lost_paths_while_endpoints_crash(self):
        def crash(play, seed):
            play.crash_engines(3.0, 35)

        for manner in MANNERS:
            self.check_play(play_losses(24, 9, 12, manner, crash), 0.85)


class OpenPathTest(unittest.TestCase):
    """What endpoints do is not taken for the loss of a path."""

    def test_silent_endpoint_is_no_lost_path(self):
        play = create_path_play(24, 9, 1)
        for at_s in (5.0, 12.0):
            play.silence_endpoint(0, at_s, 1.0)
        play.play_paths(20, 60)
        self.assertEqual(play.false_losses, 0)
        self.assertGreater(play.measure_first_tries()[1], MIN_SERVED)

    def test_endpoints_that_crash_by_chance_are_no_lost_path(self):
        play = create_path_play(24, 12, 2)
        play.crash_engines(4.0, 25)
        play.play_paths(30, 60)
        self.assertEqual(play.false_losses, 0)

    def test_endpoints_are_used_soon_after_all_of_a_region_have_crashed(self):
        play = create_path_play(24, 9, 3)
        play.lose_endpoints(8.0)
        play.play_paths(25, 60)
        late = [
            each.outcome == "served"
            for each in play.first_tries.values()
            if each.sent_s > 100.0 + 14.0
        ]
        self.assertGreater(sum(late) / len(late), MIN_SERVED)
        self.assertFalse(any(h.harness.dispatcher.reach.is_lost for h in play.hosts))


class PlantedFaultTest(unittest.TestCase):
    """The play finds what it is there for."""

    def test_hosts_that_never_notice_the_loss_are_found(self):
        with mock.patch.object(EndpointPath, "record_failure"):
            self.assertTrue(is_broken(play_losses(24, 9, 1, "hang")))

    def test_hosts_that_ask_no_other_are_found(self):
        with mock.patch.object(RelayChooser, "choose", return_value=None):
            self.assertTrue(is_broken(play_losses(24, 9, 1, "refuse")))

    def test_bookings_that_are_repeated_are_found(self):
        def fail(play, leg, ran):
            leg.not_run += 1
            play._offer(leg)

        with mock.patch.object(PathPlay, "_fail_attempt", fail), LONG_WORK:
            play = play_losses(24, 9, 1, "reset")
        self.assertGreater(play.count_repeated_bookings(), 0)

    def test_ends_that_a_lost_path_only_seems_to_show_are_found(self):
        with mock.patch.object(CrashGuard, "_has_ended", return_value=True), LONG_WORK:
            play = play_losses(24, 9, 1, "reset")
        self.assertGreater(count_ends(play), 0)
        with LONG_WORK:
            self.assertEqual(count_ends(play_losses(24, 9, 1, "reset")), 0)


class ShortLossTest(unittest.TestCase):
    """A path that is back before heartbeats tell more shows no end of an endpoint."""

    def test_path_that_is_reset_for_a_moment_implicates_nothing(self):
        for for_s in (0.5, 1.0, 1.5):
            play = create_path_play(24, 9, 2)
            play.lose_paths(0, 1.0, 8.0, for_s, "reset")
            with LONG_WORK:
                play.play_paths(14, 60)
            self.assertEqual(count_ends(play), 0)


def count_ends(play):
    """Return the ends of endpoints of which hosts have evidence."""
    return sum(
        len(host.guard.quarantine.export(play.now_s).ends) for host in play.hosts
    )


if __name__ == "__main__":
    unittest.main()
