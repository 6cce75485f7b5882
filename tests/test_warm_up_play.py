"""Plays of hosts that share cold endpoints: what these get, and what is divided."""

import unittest

from tests.warm_up_play import (
    COLD_PER_S,
    ENDPOINTS,
    MAX_PER_S,
    WarmUpPlay,
    count_most,
)

CALM_S = 8.0
LENGTH_S = 40.0


class WarmUpPlayTest(unittest.TestCase):
    """Hosts that lose the coordinators, or each other, keep to what they share."""

    def check(self, hosts, seed):
        play = WarmUpPlay(hosts, seed)
        play.disturb(play.now_s + CALM_S + 2.0)
        play.play(LENGTH_S, CALM_S)
        seconds = LENGTH_S - CALM_S
        used = 0
        for arrivals_s in play.arrivals_s.values():
            self.assertLessEqual(count_most(arrivals_s), MAX_PER_S, (hosts, seed))
            used += len(arrivals_s)
        self.assertGreater(used, 0.5 * COLD_PER_S * seconds * ENDPOINTS, (hosts, seed))
        # Those that are stopped or cut off may count for some hosts and not for others.
        certain = hosts - play.count_disturbed()
        self.assertLessEqual(play.most_slack, hosts / certain, (hosts, seed))

    def test_cold_endpoints_and_budgets_at_4_hosts(self):
        """Guards against hosts that each take themselves for the only one."""
        for seed in range(6):
            self.check(4, seed)

    def test_cold_endpoints_and_budgets_at_24_hosts(self):
        for seed in range(4):
            self.check(24, seed)

    def test_cold_endpoints_and_budgets_at_76_hosts(self):
        self.check(76, 1)


if __name__ == "__main__":
    unittest.main()
