"""Plays of streams that are taken up after coordinators have lost their memory."""

import unittest
from unittest import mock

from buckthorndeal.fleet import StreamOrigin
from buckthorndeal.gateway._origin_holders import (
    HOLDERS,
    MIN_BATCH,
    REPEAT_DELAY_S,
    REPEAT_INTERVAL_S,
    REPEAT_LIMIT_S,
    OriginHolders,
    split_turns,
)
from buckthorndeal.gateway._stream_versions import StreamVersions
from tests.core_restart_play import DOWN_S, KILL_S, SIZES, CoreRestartPlay

MIN_TAKEN_UP = 12
# Streams that are taken up go on at least this often, against new ones that begin.
MIN_WENT_ON_RATIO = 0.9
PLANS = (
    CoreRestartPlay.kill_core,
    CoreRestartPlay.kill_core_slowly,
    CoreRestartPlay.restart_in_turn,
    CoreRestartPlay.replace_majority,
)


def play_plan(plan, size, seed):
    """Play a plan; return the play."""
    play = CoreRestartPlay(*size, seed)
    back_s = plan(play, KILL_S, play.rng.choice(DOWN_S))
    play.play_day(back_s)
    return play


class CoreRestartTest(unittest.TestCase):
    """Streams go on although the coordinators have lost what they were told."""

    def check_play(self, play):
        self.assertEqual(play.count_mixed(), 0)
        went_on, counted = play.measure_went_on()
        self.assertGreaterEqual(counted, MIN_TAKEN_UP)
        begun = play.measure_begun_streams()
        self.assertGreater(begun, 0.9)
        self.assertGreaterEqual(went_on, MIN_WENT_ON_RATIO * begun)

    def test_origins_outlive_the_coordinators(self):
        """Guards against origins of streams that only lost processes have kept."""
        for plan in PLANS:
            for seed, size in enumerate(SIZES):
                with self.subTest(plan=plan.__name__, size=size):
                    self.check_play(play_plan(plan, size, seed))

    def test_hosts_that_tell_an_origin_once_are_found(self):
        """Guards against a play that cannot see that origins are lost."""
        with mock.patch.object(StreamVersions, "list_open_origins", return_value=[]):
            for plan in PLANS[:3]:
                play = play_plan(plan, SIZES[1], 1)
                went_on, counted = play.measure_went_on()
                self.assertGreaterEqual(counted, MIN_TAKEN_UP)
                self.assertLess(went_on, 0.5)


class TellingAgainTest(unittest.TestCase):
    """Which coordinators are told again, and how much at a time."""

    def test_holder_that_has_connected_anew_is_told(self):
        """Guards against a process that starts again faster than links are checked."""
        holders = OriginHolders("h1")
        connections = {"c1": 1, "c2": 1, "c3": 1}
        self.assertEqual(
            set(holders.update(connections, list(connections))), {*connections}
        )
        self.assertEqual(holders.update(connections, list(connections)), [])
        connections = {**connections, "c2": 2}
        self.assertEqual(holders.update(connections, list(connections)), ["c2"])
        self.assertFalse(holders.is_current("c2", 1))
        self.assertTrue(holders.is_current("c2", 2))

    def test_coordinator_that_takes_the_place_of_a_lost_one_is_told(self):
        """Guards against origins that are left with fewer holders than planned."""
        holders = OriginHolders("h1")
        hosts = [f"c{number}" for number in range(9)]
        first = holders.update(dict.fromkeys(hosts, 1), hosts)
        self.assertEqual(len(first), HOLDERS)
        left = [host for host in hosts if host != first[1]]
        told = holders.update(dict.fromkeys(left, 1), left)
        self.assertEqual(len(told), 1)
        self.assertNotIn(told[0], first)

    def test_open_streams_are_told_in_turns_and_in_time(self):
        """Guards against one burst of all hosts, and against too many turns."""
        for count in (1, 24, 150, 5000):
            origins = [StreamOrigin(f"{n:x}", "s", "v1") for n in range(count)]
            batches = list(split_turns(origins))
            self.assertEqual([each for batch in batches for each in batch], origins)
            seconds = REPEAT_DELAY_S + len(batches) * REPEAT_INTERVAL_S
            self.assertLess(seconds, REPEAT_LIMIT_S)
            self.assertLessEqual(len(batches[0]), max(MIN_BATCH, -(-count // 8)))


if __name__ == "__main__":
    unittest.main()
