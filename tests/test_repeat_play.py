"""Plays of requests that come again and crash each plain endpoint that runs them."""

import unittest
from unittest import mock

from buckthorndeal.coordinator._evidence import EvidenceRelay
from buckthorndeal.quarantine import Quarantine, RequestContent
from tests.repeat_play import BOOKING, PlayCall, RepeatPlay, create_content

# Arrivals of a crashing request that the rule allows once three endpoints have ended
# under it and hosts are calm.
MAX_EXCESS = 3
# Sound requests are served at least this often after the decision, against before.
MIN_SERVED_RATIO = 0.98


class CrashingRequestTest(unittest.TestCase):
    """A request that crashes each endpoint that runs it stops to reach them."""

    def check_play(self, play, seconds, sound_per_s, crashing):
        play.play_calls(seconds, sound_per_s, crashing)
        self.assertTrue(play.ends_by_content)
        self.assertLessEqual(play.count_excess_calls(), MAX_EXCESS)
        self.assertEqual(play.count_quarantined_calls(), 0)
        before = play.measure_served(2.0, 8.0)
        after = play.measure_served(30.0, seconds - 5.0)
        self.assertGreater(after, MIN_SERVED_RATIO * before)

    def test_crashing_request_stops_at_4_hosts(self):
        for seed in (1, 2):
            play = RepeatPlay(4, 3, seed)
            self.check_play(play, 60, 20, [(1.5, 8.0, 60.0)])

    def test_crashing_request_stops_at_24_hosts(self):
        self.check_play(RepeatPlay(24, 6), 60, 60, [(1.5, 8.0, 60.0)])

    def test_crashing_request_stops_at_76_hosts(self):
        self.check_play(RepeatPlay(76, 9), 45, 100, [(2.0, 8.0, 45.0)])

    def test_two_crashing_requests_stop_one_after_the_other(self):
        crashing = [(1.0, 8.0, 60.0), (1.0, 20.0, 60.0)]
        self.check_play(RepeatPlay(24, 6, 3), 60, 60, crashing)

    def test_crashing_request_stops_while_hosts_are_lost(self):
        for seed in (11, 12, 13):
            play = RepeatPlay(24, 6, seed)
            play.disturb(seed)
            play.kill_hosts(seed)
            self.check_play(play, 60, 60, [(1.5, 8.0, 60.0)])

    def test_crashing_request_stops_while_endpoints_crash_by_chance(self):
        play = RepeatPlay(24, 9, 5)
        play.crash_engines(4.0, 20)
        self.check_play(play, 60, 60, [(1.0, 8.0, 60.0)])

    def test_crashing_request_that_may_not_be_repeated_stops(self):
        play = RepeatPlay(24, 6, 6)
        play.crashing_route = BOOKING
        self.check_play(play, 60, 60, [(2.0, 8.0, 60.0)])

    def test_rare_crashing_request_is_tried_no_more_than_three_times(self):
        self.check_play(RepeatPlay(24, 6, 4), 400, 20, [(0.2, 8.0, 400.0)])


class GroupPlay(RepeatPlay):
    """Callers send one crashing request at nearly the same moment, again and again."""

    def plan_groups(self, size, interval_s, spread_s, until_s, companion=False):
        """Plan groups of callers.

        Parameters
        ----------
        size : int
            Number of callers in a group.
        interval_s, spread_s : float
            Seconds between groups, and between the first and last caller of each.
        companion : bool
            Whether a lookup that crashes nothing comes with each of them.
        """
        contents = {True: create_content("GET", "/lookups/crash")}
        if companion:
            contents[False] = create_content("GET", "/lookups/companion")
        group_s = self.now_s + 8.0
        while group_s < self.now_s + until_s:
            for _ in range(size):
                at_s = group_s + self.rng.uniform(0, spread_s)
                for crashing, content in contents.items():
                    call = PlayCall(self.crashing_route, content, at_s, crashing)
                    self._schedule(at_s, self._receive_call, call)
            group_s += interval_s


class GroupedCallersTest(unittest.TestCase):
    """A crashing request stays held back while the evidence decides nothing."""

    def check_play(self, play, seconds):
        play.play_calls(seconds, 20, [])
        ends = max(play.ends_by_content.values(), key=len)
        self.assertGreaterEqual(len(ends), 3)
        self.assertLessEqual(play.count_excess_calls(), MAX_EXCESS)
        self.assertEqual(play.count_quarantined_calls(), 0)

    def test_request_under_which_endpoints_end_at_once_stops(self):
        for seed in (1, 2, 3, 4, 5):
            play = GroupPlay(4, 3, seed)
            play.plan_groups(8, 10.0, 0.5, 80.0)
            self.check_play(play, 80)

    def test_request_of_rare_groups_is_sent_no_more_than_three_times(self):
        for seed in (1, 2):
            play = GroupPlay(4, 6, seed)
            play.crashing_route = BOOKING
            play.plan_groups(6, 20.0, 0.3, 420.0)
            self.check_play(play, 420)

    def test_request_stops_that_shares_all_its_ends_with_another_one(self):
        for seed in (1, 3, 8):
            play = GroupPlay(4, 3, seed)
            play.plan_groups(6, 10.0, 0.3, 80.0, companion=True)
            self.check_play(play, 80)
            late = [
                each.outcome
                for each in play.calls
                if each.content.target == "/lookups/companion"
                and each.sent_s > 100.0 + 60.0
            ]
            self.assertEqual(set(late), {"served"})


class SoundRequestTest(unittest.TestCase):
    """Lookups that many callers repeat are never refused as crashing ones."""

    def test_endpoints_that_crash_by_chance_implicate_no_lookup(self):
        for seed in (1, 2):
            play = RepeatPlay(24, 6, seed)
            play.crash_engines(1.0, 60)
            play.play_calls(60, 100, [], texts=3)
            self.assertEqual(play.count_quarantined_calls(), 0)

    def test_loss_of_all_endpoints_at_once_implicates_no_lookup(self):
        play = RepeatPlay(24, 6)
        for after_s in (10.0, 20.0, 30.0, 40.0):
            play.crash_together(after_s, 6)
        play.play_calls(50, 100, [], texts=3)
        self.assertEqual(play.count_quarantined_calls(), 0)

    def test_popular_lookups_are_not_quarantined_when_all_endpoints_are_lost(self):
        for seed in (1, 2):
            play = RepeatPlay(24, 6, seed)
            for after_s in (10.0, 20.0, 30.0, 40.0):
                play.crash_together(after_s, 6)
            play.play_calls(50, 300, [], texts=3)
            self.assertEqual(play.count_quarantined_calls(), 0)

    def test_popular_lookups_are_not_held_back_while_endpoints_crash_by_chance(self):
        for seed in (1, 2):
            play = RepeatPlay(24, 6, seed)
            play.crash_engines(1.0, 50)
            play.play_calls(50, 300, [], texts=3)
            self.assertEqual(play.count_quarantined_calls(), 0)
            self.assertEqual(play.count_held_calls(), 0)


class PlantedFaultTest(unittest.TestCase):
    """The play finds a deployment that does not keep the rule."""

    def test_hosts_that_share_no_evidence_are_found(self):
        with mock.patch.object(EvidenceRelay, "receive"):
            play = RepeatPlay(24, 6)
            play.play_calls(60, 60, [(1.5, 8.0, 60.0)])
        self.assertGreater(play.count_excess_calls(), MAX_EXCESS)

    def test_requests_that_are_not_told_apart_are_found(self):
        with mock.patch.object(RequestContent, "_compute_digest", return_value="0"):
            play = RepeatPlay(24, 6)
            play.play_calls(40, 60, [(1.5, 8.0, 40.0)])
        self.assertGreater(play.count_excess_calls(), MAX_EXCESS)

    def test_answers_that_clear_nothing_are_found(self):
        with mock.patch.object(Quarantine, "record_answer"):
            play = RepeatPlay(24, 6)
            play.crash_engines(1.0, 60)
            play.play_calls(60, 100, [], texts=3)
        self.assertGreater(play.count_quarantined_calls(), 0)


if __name__ == "__main__":
    unittest.main()
