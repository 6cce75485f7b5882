"""Crowds of clients that do not behave, at the ports of a gateway's process."""

import unittest

from tests.client_play import (
    MAX_DESCRIPTORS,
    MEMORY_BYTES,
    create_calm_play,
    create_play,
    describe,
)


class ClientPlayCase(unittest.TestCase):
    """Plays one crowd, and checks what the process used for it."""

    def check(self, scenario):
        """Check that the process keeps within its limits and answers afterwards."""
        play = create_play(scenario)
        play.play()
        text = describe(play)
        self.assertFalse(play.is_ended, text)
        self.assertGreater(play.largest["total"], 0, text)
        self.assertLessEqual(play.largest["total"], MEMORY_BYTES, text)
        self.assertLessEqual(play.largest["descriptors"], MAX_DESCRIPTORS, text)
        self.assertIn(200, play.attempts, text)


class CalmTest(unittest.TestCase):
    """What the limits of a configuration allow is served in calm."""

    def test_largest_body_in_chunks_of_one_byte_is_served(self):
        """Guards against bounds that a single caller inside the limits meets."""
        play = create_calm_play()
        play.play()
        self.assertEqual(play.status, 200)


class GatewayClientsTest(ClientPlayCase):
    """A crowd takes no more memory and descriptors than a gateway may use."""

    def test_bodies_in_chunks_of_one_byte(self):
        """Guards against bytes that wait for their turn and are in no account."""
        self.check("gateway-small")

    def test_bodies_in_large_chunks(self):
        """Guards against bytes that the kernel holds for each connection."""
        self.check("gateway-large")

    def test_bodies_with_a_length(self):
        """Guards against bytes that the kernel holds for each connection."""
        self.check("gateway-length")

    def test_heads_without_end(self):
        """Guards against heads that are read for more connections than have room."""
        self.check("gateway-head")

    def test_connections_without_a_request(self):
        """Guards against places whose number does not depend on the memory."""
        self.check("gateway-idle")

    def test_requests_behind_a_slow_one(self):
        """Guards against requests that wait unread behind the present one."""
        self.check("gateway-pipelined")

    def test_answers_that_are_not_read(self):
        """Guards against send queues that the kernel lets grow."""
        self.check("gateway-unread-answer")

    def test_streams_that_are_not_read(self):
        """Guards against send queues, and bytes of endpoints that wait behind them."""
        self.check("gateway-unread-stream")

    def test_requests_at_the_port_for_other_hosts(self):
        """Guards against bounds that only the port for callers has."""
        self.check("gateway-forward")

    def test_bodies_at_the_readiness_port(self):
        """Guards against bounds that only the port for callers has."""
        self.check("gateway-ready")

    def test_metrics_that_are_not_read(self):
        """Guards against bounds that only the port for callers has."""
        self.check("gateway-metrics")

    def test_hosts_that_do_not_introduce_themselves(self):
        """Guards against connections to the peer port that are kept without a peer."""
        self.check("gateway-peer")

    def test_crowd_while_the_process_is_frozen(self):
        """Guards against bytes of connections that are not accepted yet."""
        self.check("gateway-frozen")

    def test_crowd_at_all_ports_while_the_process_is_frozen(self):
        """Guards against bounds of single ports whose sum is too large."""
        self.check("gateway-frozen-ports")

    def test_crowd_that_returns_after_a_kill(self):
        """Guards against a process that starts into a crowd and does not answer."""
        self.check("gateway-killed")


if __name__ == "__main__":
    unittest.main()
