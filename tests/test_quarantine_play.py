"""Plays of requests that crash engines: what engines are spared and callers get."""

import unittest
from unittest import mock

from buckthorndeal.coordinator._evidence import EvidenceRelay
from buckthorndeal.gateway._prompts import Prompt, PromptPart
from buckthorndeal.quarantine import RequestContent
from tests.crash_play import CrashPlay, PlayRequest

# Crashing requests that may reach engines once five have ended and hosts are calm.
MAX_EXCESS = 3
# Sound requests begin at the first attempt at least this often, against before.
MIN_BEGUN_RATIO = 0.5


class CrashingPromptTest(unittest.TestCase):
    """Requests with a part that crashes engines stop to reach them."""

    def check_play(self, play, seconds, sound_per_s, crashing_per_s=3.0):
        play.play(seconds, sound_per_s, crashing_per_s)
        self.assertGreater(len(play.crash_times_s), 0)
        self.assertLessEqual(play.count_excess(), MAX_EXCESS)
        self.assertEqual(play.count_quarantined_sound(), 0)
        before = play.measure_begun(2.0, 8.0)
        after = play.measure_begun(30.0, seconds)
        self.assertGreater(after, MIN_BEGUN_RATIO * before)

    def test_crashing_part_stops_at_24_hosts(self):
        self.check_play(CrashPlay(24, 9), 60, 60)

    def test_crashing_part_stops_at_76_hosts(self):
        self.check_play(CrashPlay(76, 26), 45, 120)

    def test_crashing_part_stops_at_4_hosts_with_few_engines(self):
        self.check_play(CrashPlay(4, 6, seed=3), 45, 50, 1.0)

    def test_crashing_part_stops_with_a_lost_coordinator_and_cut_off_hosts(self):
        for seed in (21, 22):
            play = CrashPlay(24, 9, seed)
            play.disturb(seed)
            self.check_play(play, 45, 60)

    def test_crashing_part_stops_while_engines_crash_by_chance(self):
        play = CrashPlay(24, 9, seed=5)
        play.crash_engines(2.0, 45)
        self.check_play(play, 45, 60)

    def test_rare_crashing_requests_are_tried_no_more_than_three_times(self):
        self.check_play(CrashPlay(24, 9, seed=3), 150, 30, 0.5)


class RepeatedPromptPlay(CrashPlay):
    """One prompt crashes engines, which comes again; others share all but its end."""

    def create_prompt(self, crashing):
        if not crashing:
            return super().create_prompt(crashing)
        parts = [PromptPart(key, 400) for key in ("root", "text7", "crash")]
        return Prompt("m", 1200, 300, tuple(parts))


class RepeatedPromptTest(unittest.TestCase):
    """A prompt that comes again is quarantined, and no part that others share."""

    def test_prompt_that_crashes_engines_stops_and_others_are_served(self):
        for hosts, engines, seed in ((4, 6, 2), (24, 9, 1)):
            play = RepeatedPromptPlay(hosts, engines, seed)
            play.play(45, 60, 1.5)
            self.assertGreater(len(play.crash_times_s), 0)
            self.assertLessEqual(play.count_excess(), MAX_EXCESS)
            self.assertEqual(play.count_quarantined_sound(), 0)


class RetriedPromptPlay(CrashPlay):
    """Callers send each crashing prompt once more."""

    def _receive(self, request):
        super()._receive(request)
        if request.crashing and not request.is_again:
            again = PlayRequest(True, request.prompt, request.content, 0.0, True)
            at_s = self.now_s + self.rng.uniform(0.1, 0.5)
            self._schedule(at_s, super()._receive, again)


class RetriedPromptTest(unittest.TestCase):
    """Whole requests that are quarantined do not hide the part that they share."""

    def test_part_stops_although_each_of_its_requests_comes_twice(self):
        for hosts, engines, seed, per_s in ((4, 6, 5, 1.0), (24, 9, 2, 0.5)):
            play = RetriedPromptPlay(hosts, engines, seed)
            play.play(45, 60, per_s)
            self.assertGreater(len(play.crash_times_s), 4)
            self.assertLessEqual(play.count_excess(), MAX_EXCESS)
            self.assertEqual(play.count_quarantined_sound(), 0)


class GroupedPromptPlay(CrashPlay):
    """Callers send crashing prompts with a common part at nearly the same moment."""

    def plan_groups(self, size, interval_s, spread_s, until_s):
        group_s = self.now_s + 8.0
        while group_s < self.now_s + until_s:
            for _ in range(size):
                at_s = group_s + self.rng.uniform(0, spread_s)
                prompt = self.create_prompt(True)
                body = prompt.parts[-1].key.encode()
                content = RequestContent("POST", "x", "/", "", body)
                request = PlayRequest(True, prompt, content, at_s)
                self._schedule(at_s, self._receive, request)
            group_s += interval_s


class GroupedPromptTest(unittest.TestCase):
    """A crashing part stays held back while the evidence decides nothing."""

    def test_part_under_which_engines_end_at_once_stops(self):
        for hosts, engines, seed in ((4, 6, 1), (4, 6, 3), (24, 9, 1), (24, 9, 3)):
            play = GroupedPromptPlay(hosts, engines, seed)
            play.plan_groups(8, 9.0, 0.2, 80.0)
            play.play(80, 20, 0)
            self.assertGreaterEqual(len(play.crash_times_s), 5)
            self.assertLessEqual(play.count_excess(), MAX_EXCESS)
            self.assertEqual(play.count_quarantined_sound(), 0)
            before = play.measure_begun(2.0, 8.0)
            after = play.measure_begun(50.0, 80.0)
            self.assertGreater(after, MIN_BEGUN_RATIO * before)


class SoundPromptTest(unittest.TestCase):
    """Engines that crash for other reasons lead to no refused prompts."""

    def test_engines_that_crash_by_chance_implicate_no_part(self):
        for seed in (1, 4):
            play = CrashPlay(24, 9, seed)
            play.crash_engines(2.0, 40)
            play.play(40, 60, 0)
            self.assertEqual(play.count_quarantined_sound(), 0)

    def test_loss_of_many_engines_at_once_accuses_no_part(self):
        play = CrashPlay(24, 9)
        play.crash_together(20.0, 6)
        play.crash_together(35.0, 6)
        play.play(50, 60, 0)
        self.assertEqual(play.count_quarantined_sound(), 0)


class PlantedFaultTest(unittest.TestCase):
    """The play finds a deployment that does not keep the rule."""

    def test_hosts_that_share_no_evidence_are_found(self):
        with mock.patch.object(EvidenceRelay, "receive"):
            play = CrashPlay(24, 9)
            play.play(40, 60, 3.0)
        self.assertGreater(play.count_excess(), MAX_EXCESS)

    def test_answers_that_clear_nothing_are_found(self):
        name = "buckthorndeal.quarantine._quarantine.Quarantine.record_answer"
        with mock.patch(name):
            play = CrashPlay(24, 9)
            play.crash_engines(2.0, 40)
            play.play(40, 60, 0)
        self.assertGreater(play.count_quarantined_sound(), 0)


if __name__ == "__main__":
    unittest.main()
