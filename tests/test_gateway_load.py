"""Load plays: what callers get when many hosts share engines."""

import unittest

from tests.dispatcher_harness import ROUTE
from tests.engine_play import EnginePlay


class SharedEnginesTest(unittest.TestCase):
    """Hosts that know little of each other's requests use the engines evenly."""

    def check_late(self, max_share, **fields):
        play = EnginePlay(**{"hosts": 8, "engines": 15, "slots": 64, **fields})
        play.play(10, 130, 176, 6610)
        late = sum(wait_s > ROUTE.latency_objective_s for wait_s in play.waits_s)
        total = len(play.waits_s) + play.refused
        self.assertGreater(total, 1000)
        self.assertLess((late + play.refused) / total, max_share)

    def test_few_answers_are_late_at_half_load(self):
        """With engines a little more than half busy, 1 in 20 may be late."""
        self.check_late(0.05, tokens_per_s=101_000)

    def test_plays_of_other_chance(self):
        for seed in range(2, 5):
            self.check_late(0.05, tokens_per_s=101_000, seed=seed)


if __name__ == "__main__":
    unittest.main()
