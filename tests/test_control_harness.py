"""Tests of the harness that runs control hosts as processes."""

import unittest

from tests.control_harness import find_ports, read_outgoing_ports


class PortTest(unittest.TestCase):
    """Choice of ports for the daemons."""

    def test_no_outgoing_connection_takes_a_chosen_port(self):
        """Guards against "address already in use" when tests run in parallel.

        An outgoing connection of another test can take a port between its choice and
        the start of the daemon.
        """
        ports = find_ports(50)
        self.assertEqual(len(set(ports)), 50)
        self.assertEqual(set(ports) & set(read_outgoing_ports()), set())
