"""Crowds of clients that do not behave, at the ports of a coordinator's process."""

import unittest

from tests.test_gateway_clients import ClientPlayCase


class CoordinatorClientsTest(ClientPlayCase):
    """A crowd takes no more memory and descriptors than a coordinator may use."""

    def test_heartbeats_in_chunks_of_one_byte(self):
        """Guards against bytes that wait for their turn and are in no account."""
        self.check("coordinator-heartbeat")

    def test_configurations_in_chunks_of_one_byte(self):
        """Guards against bytes that wait for their turn and are in no account."""
        self.check("coordinator-small")

    def test_configurations_in_large_chunks(self):
        """Guards against bytes that the kernel holds for each connection."""
        self.check("coordinator-configuration")

    def test_configurations_that_are_not_read(self):
        """Guards against send queues that the kernel lets grow."""
        self.check("coordinator-unread-answer")

    def test_large_configurations_that_are_not_read(self):
        """Guards against a copy of the configuration for each response."""
        self.check("coordinator-unread-configuration")

    def test_requests_at_the_directory_that_are_not_read(self):
        """Guards against bounds that only the port of the API has."""
        self.check("coordinator-directory")

    def test_hosts_that_do_not_introduce_themselves(self):
        """Guards against connections to the peer port that are kept without a peer."""
        self.check("coordinator-peer")

    def test_crowd_at_all_ports_while_the_process_is_frozen(self):
        """Guards against bytes of connections that are not accepted yet."""
        self.check("coordinator-frozen-ports")

    def test_crowd_at_all_ports_does_not_keep_gateways_out(self):
        """Guards against places of hosts, and of callers, that silent callers hold."""
        self.check("coordinator-held-ports")

    def test_crowd_that_returns_after_a_kill(self):
        """Guards against a process that starts into a crowd and does not answer."""
        self.check("coordinator-killed")


if __name__ == "__main__":
    unittest.main()
