"""Plays of hosts that are out of step while endpoints of a new version join."""

import unittest
from unittest import mock

from buckthorndeal.fleet import StreamOrigin
from buckthorndeal.gateway._fleet_view import FleetView
from buckthorndeal.gateway._stream_versions import StreamVersions
from tests.out_of_step_play import OutOfStepPlay

# Streams that are taken up go on at least this often, against new ones that begin.
MIN_WENT_ON_RATIO = 0.5
MIN_TAKEN_UP = 12
# Streams of two versions that the rule allows on a day.
MAX_MIXED = 2
SECONDS = 20


def play_release(hosts, endpoints, seed):
    """Play a release in which hosts are out of step."""
    play = OutOfStepPlay(hosts, endpoints, seed)
    play.add_endpoints("v2", endpoints // 2, 8.0)
    play.halt_hosts(6.0, 9.0)
    play.play_streams(SECONDS, 10 + 3 * hosts)
    return play


def play_crashes(hosts, endpoints, seed, halts=False):
    """Play endpoints that crash and start again under their ids with a version."""
    play = OutOfStepPlay(hosts, endpoints, seed)
    play.crash_to("v2", endpoints // 2, 8.0)
    if halts:
        play.halt_hosts(6.0, 9.0)
    play.play_streams(SECONDS, 10 + 3 * hosts)
    return play


class OutOfStepTest(unittest.TestCase):
    """Hosts that are out of step continue no stream at another version."""

    def check_play(self, play):
        self.assertEqual(play.count_mixed(), 0)
        went_on, counted = play.measure_went_on()
        self.assertGreaterEqual(counted, MIN_TAKEN_UP)
        begun = play.measure_begun_streams()
        self.assertGreaterEqual(went_on, MIN_WENT_ON_RATIO * begun)

    def test_release_at_4_hosts(self):
        for seed in (1, 2, 3):
            self.check_play(play_release(4, 6, seed))

    def test_release_at_24_hosts(self):
        for seed in (4, 5):
            self.check_play(play_release(24, 9, seed))

    def test_hosts_that_ask_nobody_while_links_are_open_are_found(self):
        find_origin = StreamVersions.find_origin

        def find_alone(versions, query, now_s):
            origin = find_origin(versions, query, now_s)
            if origin is None and versions.is_uniform(query.service, now_s):
                names = versions._versions.list_versions(query.service, now_s)
                return StreamOrigin("", query.service, names[0]) if names else None
            return origin

        with mock.patch.object(StreamVersions, "find_origin", find_alone):
            mixed = [play_release(24, 9, seed).count_mixed() for seed in (30, 33)]
        self.assertGreater(min(mixed), 0)


class RestartedEndpointTest(unittest.TestCase):
    """An endpoint that starts again may have another version than its heartbeats."""

    def check_play(self, play):
        self.assertLessEqual(play.count_mixed(), MAX_MIXED)
        went_on, counted = play.measure_went_on()
        self.assertGreaterEqual(counted, MIN_TAKEN_UP)
        begun = play.measure_begun_streams()
        self.assertGreaterEqual(went_on, MIN_WENT_ON_RATIO * begun)

    def test_crashes_at_4_hosts(self):
        for seed in (20, 26):
            self.check_play(play_crashes(4, 6, seed))

    def test_crashes_at_24_hosts(self):
        for seed in (22, 30):
            self.check_play(play_crashes(24, 9, seed))

    def test_crashes_at_24_hosts_that_are_out_of_step(self):
        for seed in (22, 33):
            self.check_play(play_crashes(24, 9, seed, halts=True))

    def test_hosts_that_trust_the_last_heartbeat_are_found(self):
        with mock.patch.object(FleetView, "record_refusal"):
            mixed = [play_crashes(24, 9, seed).count_mixed() for seed in (22, 30)]
        self.assertGreater(min(mixed), MAX_MIXED)


if __name__ == "__main__":
    unittest.main()
