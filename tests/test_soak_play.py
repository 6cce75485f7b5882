"""Workspaces, quotas and slow endpoints alongside faults, beside real processes."""

import unittest

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


if __name__ == "__main__":
    unittest.main()
