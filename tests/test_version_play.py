"""Plays of streams while the software versions of endpoints change."""

import unittest
from unittest import mock

from buckthorndeal.fleet import StreamOrigin
from buckthorndeal.gateway._coordinator_reach import CoordinatorReach, OriginSearch
from buckthorndeal.gateway._local_choice import LocalChooser
from buckthorndeal.gateway._stream_versions import StreamVersions
from tests.version_play import SERVICE, VersionPlay, disturb_all

# Streams of two versions that the rule allows on a day.
MAX_MIXED = 2
# Streams that are taken up go on at least this often, against new ones that begin.
MIN_WENT_ON_RATIO = 0.5
MIN_TAKEN_UP = 12
# Coordinators are slow to tell what they know when all hosts connect at once.
LATE_STATE_S = (0.2, 1.0)


class ReleaseTest(unittest.TestCase):
    """Streams go on at the version that began them, or not at all."""

    def check_play(self, play, seconds, per_s):
        play.release("v2", 10.0, 0.5)
        play.release("v3", 30.0)
        play.play_streams(seconds, per_s)
        self.assertLessEqual(play.count_mixed(), MAX_MIXED)
        went_on, counted = play.measure_went_on()
        self.assertGreaterEqual(counted, MIN_TAKEN_UP)
        begun = play.measure_begun_streams()
        self.assertGreaterEqual(went_on, MIN_WENT_ON_RATIO * begun)
        self.assertGreater(begun, 0.9)

    def test_release_at_4_hosts(self):
        for seed in (1, 2):
            play = VersionPlay(4, 6, seed)
            disturb_all(play, seed)
            self.check_play(play, 50, 20)

    def test_release_at_24_hosts(self):
        self.check_play(VersionPlay(24, 9), 50, 60)

    def test_release_at_24_hosts_that_are_lost(self):
        for seed in (11, 12):
            play = VersionPlay(24, 9, seed)
            disturb_all(play, seed)
            self.check_play(play, 50, 60)

    def test_release_at_76_hosts_that_are_lost(self):
        play = VersionPlay(76, 18, 3)
        disturb_all(play, 3)
        self.check_play(play, 45, 100)

    def test_loss_of_most_coordinators_mixes_nothing(self):
        play = VersionPlay(24, 9, 5)
        play.lose_coordinators(3, 15.0)
        play.release("v2", 10.0, 0.5)
        play.release("v3", 30.0)
        play.play_streams(50, 60)
        self.assertLessEqual(play.count_mixed(), MAX_MIXED)


class AllHostsLostTest(unittest.TestCase):
    """Streams mix nothing when all hosts are killed at once around a release."""

    def play_losses(self, hosts, endpoints, seed):
        play = VersionPlay(hosts, endpoints, seed)
        play.initial_state_s = LATE_STATE_S
        play.release("v2", 10.0, gap_s=0.3)
        # Before, in and after the release.
        for from_s in (9.0, 13.0, 24.0):
            play.kill_all_hosts(from_s, 1.5)
        play.play_streams(36, 10 + 3 * hosts)
        return play

    def check_play(self, play):
        self.assertEqual(play.count_mixed(), 0)
        self.assertGreater(play.measure_begun_streams(), 0.75)
        went_on, counted = play.measure_went_on()
        self.assertGreaterEqual(counted, MIN_TAKEN_UP)
        begun = play.measure_begun_streams()
        self.assertGreaterEqual(went_on, MIN_WENT_ON_RATIO * begun)

    def test_loss_of_all_4_hosts(self):
        for seed in (1, 2, 3):
            self.check_play(self.play_losses(4, 6, seed))

    def test_loss_of_all_24_hosts(self):
        for seed in (4, 5):
            self.check_play(self.play_losses(24, 9, seed))

    def test_loss_of_all_76_hosts(self):
        self.check_play(self.play_losses(76, 18, 6))

    def test_hosts_that_take_a_connection_for_news_are_found(self):
        conclude = CoordinatorReach.conclude

        def count_untold(reach, replies, known):
            search = conclude(reach, replies, known)
            return OriginSearch(search.origin, (), True)

        with mock.patch.object(CoordinatorReach, "conclude", count_untold):
            mixed = [self.play_losses(24, 9, seed).count_mixed() for seed in (4, 5)]
        self.assertGreater(max(mixed), MAX_MIXED)


class OneVersionTest(unittest.TestCase):
    """While one version serves, streams go on without any record of them."""

    def test_streams_go_on_and_no_origin_is_shared(self):
        play = VersionPlay(24, 9, 7)
        play.kill_hosts(7)
        with mock.patch.object(VersionPlay, "_keep_origins") as keep:
            play.play_streams(30, 60)
        went_on, counted = play.measure_went_on()
        self.assertGreater(counted, MIN_TAKEN_UP)
        self.assertGreater(went_on, 0.9)
        keep.assert_not_called()


class PlantedFaultTest(unittest.TestCase):
    """The play finds a deployment that does not keep the rules."""

    def play_release(self):
        play = VersionPlay(24, 9, 4)
        disturb_all(play, 4)
        play.release("v2", 10.0, 0.5)
        play.play_streams(30, 60)
        return play

    def test_hosts_that_guess_the_version_are_found(self):
        guessed = StreamOrigin("", SERVICE, "v2")
        with mock.patch.object(StreamVersions, "find_origin", return_value=guessed):
            play = self.play_release()
        self.assertGreater(play.count_mixed(), MAX_MIXED)

    def test_hosts_that_ignore_the_version_are_found(self):
        list_candidates = LocalChooser.list_candidates

        def list_any(chooser, dispatch, now_s):
            dispatch.call.version = None
            return list_candidates(chooser, dispatch, now_s)

        with mock.patch.object(LocalChooser, "list_candidates", list_any):
            play = self.play_release()
        self.assertGreater(play.count_mixed(), MAX_MIXED)

    def test_hosts_that_keep_origins_to_themselves_are_found(self):
        with mock.patch.object(StreamVersions, "take_outgoing", return_value=()):
            play = self.play_release()
        went_on, counted = play.measure_went_on()
        self.assertGreaterEqual(counted, MIN_TAKEN_UP)
        begun = play.measure_begun_streams()
        self.assertLess(went_on, MIN_WENT_ON_RATIO * begun)


if __name__ == "__main__":
    unittest.main()
