"""Changes of the configuration in storms, beside endpoints that fall silent."""

import unittest

from tests.change_play import ChangePlay, describe


class ChangePlayTest(unittest.TestCase):
    """What a host has accepted is answered, or truly refused, whatever changes."""

    def check(self, seed):
        play = ChangePlay(seed)
        play.play()
        text = describe(play)
        self.assertGreater(play.version, 10, text)
        self.assertGreater(play.silences, 1, text)
        orders = play.orders[play.first :]
        answered = [order.status == 200 for order in orders]
        self.assertGreater(sum(answered), 50, text)
        self.assertGreater(play.count_reused(), 50, text)
        # A silence in the past shuts out no service.
        self.assertTrue(any(answered[-len(answered) // 4 :]), text)
        self.assertEqual(play.list_cut_off(), [], text)
        self.assertEqual(play.list_untrue(), [], text)

    def test_nothing_is_cut_off_beside_changes_and_silences(self):
        """Guards against answers that end because of a silence or a change (LOST)."""
        for seed in (1, 4):
            self.check(seed)


if __name__ == "__main__":
    unittest.main()
