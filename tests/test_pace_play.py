"""Load plays of engines of unequal and changing speed.

The bounds leave room for other chance: in trials with seeds 1 and 2 the shares were at
least 0.03 better than they ask.
"""

import unittest

from tests.pace_play import (
    K_KINDS,
    K_PLAIN_KINDS,
    R_KINDS,
    R_PLAIN_KINDS,
    PacePlay,
    scale_kinds,
)

K_ENGINES = {"slots": 24, "step_s": 0.00303, "tokens_per_s": 92_100.0}
PLAIN = {"machines": 6, "slots": 6}
SMALL = {"machines": 8, "hosts": 8, "load": 0.6}


def play(kinds=R_KINDS, seconds=8.0, setup=None, **fields):
    """Return a play that has ended."""
    pace_play = PacePlay(kinds, **fields)
    if setup is not None:
        setup(pace_play)
    return pace_play.play(seconds, 3.0)


class UnequalEndpointsTest(unittest.TestCase):
    """Hosts of a region of K or R share engines of speeds 0.55 to 1.2."""

    def check_share(self, least, *arguments, **fields):
        for seed in (1, 2):
            result = play(*arguments, seed=seed, **fields)
            share = result.get_share()
            self.assertGreater(share, least, (seed, result.describe()))

    def test_usual_load_of_r(self):
        self.check_share(0.9, load=0.8)

    def test_peak_of_r(self):
        """Guards against a peak in which nearly every request is late."""
        self.check_share(0.33, load=2.0)

    def test_usual_load_of_k(self):
        self.check_share(0.88, K_KINDS, hosts=10, load=0.8, **K_ENGINES)

    def test_peak_of_k(self):
        self.check_share(0.2, K_KINDS, hosts=10, load=2.0, **K_ENGINES)

    def test_plain_services(self):
        self.check_share(0.97, R_PLAIN_KINDS, **PLAIN)
        kinds = scale_kinds(K_PLAIN_KINDS, 0.4)
        self.check_share(0.85, kinds, hosts=10, **PLAIN)

    def test_equal_endpoints(self):
        """Guards against hosts that learn differences which do not exist."""
        self.check_share(0.88, load=1.4, speeds=(1, 1), slow_phases=False)

    def test_one_host(self):
        self.check_share(0.93, hosts=1, machines=13, load=0.8)

    def test_hosts_and_endpoints_of_all_regions(self):
        self.check_share(0.92, hosts=71, machines=71, seconds=5.0, load=0.8)

    def test_two_endpoints_are_not_shut_out(self):
        """Guards against a service that learns to refuse all requests."""
        self.check_share(0.3, machines=2, load=0.8)

    def test_hundreds_of_endpoints(self):
        self.check_share(0.95, hosts=2, machines=200, seconds=4.0, load=0.5)


class FaultyEndpointTest(unittest.TestCase):
    """One of 8 engines does not do what it says; the others are sound."""

    def play(self, **fields):
        def setup(pace_play):
            for name, value in fields.items():
                setattr(pace_play.machines["e0"], name, value)

        return [
            play(seed=seed, setup=setup, slow_phases=False, **SMALL) for seed in (1, 2)
        ]

    def check_share(self, least, **fields):
        results = self.play(**fields)
        for result in results:
            self.assertGreater(result.get_share(), least, result.describe())
        return results

    def test_quick_failures_do_not_look_fast(self):
        """Guards against an endpoint that gets most requests as it fails at once."""
        for result in self.check_share(0.8, fails=True):
            mean = result.sent.total() / 8
            self.assertLess(result.sent["e0"], mean)

    def test_endless_load_in_a_report(self):
        """Guards against a mean load that makes all endpoints look full."""
        self.check_share(0.8, reports="full")

    def test_report_of_a_free_endpoint_that_is_slow(self):
        for result in self.check_share(0.8, reports="free", speed=0.2):
            mean = result.sent.total() / 8
            self.assertLess(result.sent["e0"], mean)

    def test_endpoint_without_reports(self):
        self.check_share(0.8, reports="none")

    def test_report_without_a_slowdown(self):
        self.check_share(0.8, reports="three")

    def test_silent_endpoint(self):
        """Guards against requests that wait for an endpoint which answers none."""
        for result in self.check_share(0.85, silent=True):
            mean = result.sent.total() / 8
            self.assertLess(result.sent["e0"], 0.8 * mean)

    def test_slow_endpoint(self):
        for result in self.check_share(0.8, speed=0.25):
            mean = result.sent.total() / 8
            self.assertLess(result.sent["e0"], 0.9 * mean)


class ChangeTest(unittest.TestCase):
    """Machines change while requests are sent."""

    def test_sound_again_after_all_were_slow(self):
        """Guards against refusing for good once every prediction is late."""
        pace_play = PacePlay(slow_phases=False, speeds=(1, 1), **SMALL)
        pace_play.play(4.0, 0.0)
        pace_play.change(speed=0.05)
        pace_play.resume(10.0)
        pace_play.change(speed=1.0)
        pace_play.resume(10.0)
        pace_play.clear_results()
        pace_play.resume(8.0)
        self.assertGreater(pace_play.get_share(), 0.9, pace_play.describe())

    def test_restarted_endpoint_starts_from_its_service(self):
        """Guards against a scale that outlives the process it was learned from."""
        pace_play = PacePlay(slow_phases=False, **SMALL)
        pace_play.change(speed=1.0)
        pace_play.machines["e0"].speed = 0.2
        pace_play.play(8.0)
        host = pace_play.hosts[0]
        host.now_s = pace_play.now_s
        host.send_heartbeats(["e0"], incarnation=2)
        load = host.view.loads["e0"]
        self.assertEqual(load.pace.get_scale(host.now_s), 1.0)
        self.assertTrue(load.pace.is_active)
        self.assertIsNone(load.learning.limits)


if __name__ == "__main__":
    unittest.main()
