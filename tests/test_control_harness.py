"""Tests of what the tests with processes rely on."""

import unittest

from tests.control_harness import find_ports, read_outgoing_ports


class PortTest(unittest.TestCase):
    """A daemon finds the port free that was chosen for it."""

    def test_no_outgoing_connection_takes_a_chosen_port(self):
        """Guards against "address already in use" when tests run in parallel."""
        ports = find_ports(50)
        self.assertEqual(len(set(ports)), 50)
        self.assertEqual(set(ports) & set(read_outgoing_ports()), set())
