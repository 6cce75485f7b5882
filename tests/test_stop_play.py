"""Tests of stopping gateways, as processes, beside callers that keep connections."""

import unittest

from tests.drain_play import DrainPlay, describe_drains
from tests.stop_play import SCENARIOS, StopOptions, StopPlay, describe


class StopPlayTest(unittest.TestCase):
    """A host answers every order that it has passed on before it exits."""

    def check_nothing_lost(self, scenario, seed):
        play = StopPlay(f"{scenario}-{seed}", SCENARIOS[scenario])
        lost = play.play()
        cut_off = [line for line in play.log.splitlines() if '"cut_off"' in line]
        self.assertEqual(lost, [], f"{describe(play)} {cut_off[:5]}")
        self.assertEqual(play.list_untrue(), [], describe(play))

    def test_order_is_not_cut_off_while_connections_are_closed(self):
        """Guards against closing one connection after the other at the end."""
        self.check_nothing_lost("short", 1)

    def test_order_that_outlasts_the_drain_is_answered(self):
        """Guards against passing on orders for which too little time is left."""
        self.check_nothing_lost("long", 1)

    def test_order_is_answered_by_a_host_that_stops_alone(self):
        """Guards against losses without a second host that stops."""
        self.check_nothing_lost("one", 1)

    def test_order_is_answered_when_sigterm_comes_again(self):
        """Guards against a second signal that ends the process at once."""
        self.check_nothing_lost("signals", 1)

    def test_stream_is_cut_off_only_when_its_host_stops(self):
        """Guards against streams that begin too late in a drain, or end early."""
        self.check_nothing_lost("streams", 1)

    def test_order_on_a_kept_connection_is_answered_while_hosts_drain_in_turn(self):
        """Guards against connections that end without an announcement (LOST)."""
        play = DrainPlay("drain-1", StopOptions())
        play.play()
        text = describe_drains(play)
        self.assertEqual(len(play.exited_s), len(play.hosts), text)
        self.assertGreater(play.count_reused(), 100, text)
        self.assertEqual(play.list_unanswered(), [], text)
        self.assertEqual(play.list_untrue(), [], text)
