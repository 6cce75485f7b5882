"""Plays of requests that crash engines: what engines are spared and callers get."""

import unittest

from tests.crash_play import CrashPlay

# Crashing requests that may reach engines once five have ended and hosts are calm.
MAX_EXCESS = 3
# Sound requests begin at the first attempt at least this often, against before.
MIN_BEGUN_RATIO = 0.5


class CrashingPromptTest(unittest.TestCase):
    """Requests with a part that crashes engines stop to reach them."""

    def check_play(self, play, seconds, sound_per_s, crashing_per_s=3.0):
        play.play(seconds, sound_per_s, crashing_per_s)
        self.assertLessEqual(play.count_excess(), MAX_EXCESS)
        before = play.measure_begun(2.0, 8.0)
        after = play.measure_begun(30.0, seconds)
        self.assertGreater(after, MIN_BEGUN_RATIO * before)

    def test_crashing_part_stops_at_24_hosts(self):
        self.check_play(CrashPlay(24, 9), 60, 60)

    def test_crashing_part_stops_at_76_hosts(self):
        self.check_play(CrashPlay(76, 26), 45, 120)


if __name__ == "__main__":
    unittest.main()
