"""Workspaces, quotas and slow endpoints alongside faults, beside real processes."""

import socket
import unittest

import curio

from tests.soak_play import LOWERED, WORKSPACES, SoakPlay, describe


class SoakPlayTest(unittest.TestCase):
    """Keys, quotas and promises on what has run hold while processes fail."""

    def test_rules_hold_while_processes_and_endpoints_fail(self):
        """Guards against parts that work alone and break rules together.

        A removed key goes on working, a quota is used twice, a key reaches an endpoint,
        or what was refused runs.
        """
        play = SoakPlay(1)
        play.play()
        text = describe(play)
        answered = {run.workspace for run in play.arrivals}
        self.assertEqual(answered, set(WORKSPACES), text)
        refused = [order for order in play.orders if order.status == 429]
        self.assertTrue(any(f"k-{LOWERED}" == order.key for order in refused), text)
        self.assertEqual(play.list_violations(), [], text)

    def test_call_that_gets_no_answer_ends_only_itself(self):
        """Guards against endpoints without heartbeats after a coordinator was frozen.

        A timeout of curio is no `Exception`, so that it ended the task that sends them.
        """
        play = SoakPlay("silent-coordinator")
        with socket.socket() as silent:
            silent.bind(("127.0.0.1", 0))
            silent.listen()
            play.coordinators = ["127.0.0.1", "127.0.0.2"]
            play.coordinator = play.api_host = "127.0.0.1"
            play.ports["api"] = silent.getsockname()[1]
            for call in (play._call_api, super(SoakPlay, play)._call_api):
                self.assertFalse(curio.run(call, "GET", "/", b""))
        self.assertEqual(play.api_host, "127.0.0.2")


if __name__ == "__main__":
    unittest.main()
