"""Callers and endpoints that name ever more things, beside real processes."""

import unittest

from tests.name_play import MEMORY_BYTES, create_play, describe


class NamePlayTest(unittest.TestCase):
    """What is remembered of complete requests keeps within the memory of a process."""

    def check(self, scenario):
        """Check that no process uses more than it may, and that it answers then."""
        play = create_play(scenario)
        play.play()
        text = describe(play)
        self.assertFalse(play.is_ended, text)
        self.assertEqual(play.sent.total(), play.requests, text)
        self.assertGreater(play.largest["total"], 0, text)
        self.assertLessEqual(play.largest["total"], MEMORY_BYTES, text)
        self.assertIn(200, play.attempts, text)

    def test_questions_to_the_directory(self):
        """Guards against a coordinator that remembers each name it was asked for."""
        self.check("directory")

    def test_heartbeats_of_invented_endpoints(self):
        """Guards against tables of endpoints, at all processes, without a bound."""
        self.check("heartbeats")

    def test_leaves_of_invented_endpoints(self):
        """Guards against departures that are few and as long as a head."""
        self.check("leaves")

    def test_evacuations_of_invented_domains(self):
        """Guards against a replicated set of names without a bound."""
        self.check("evacuations")

    def test_prompts_with_parts_without_tokens(self):
        """Guards against models of endpoints' caches that nothing evicts."""
        self.check("parts")

    def test_prompts_with_long_keys(self):
        """Guards against tables of keys that are as long as a head."""
        self.check("keys")


if __name__ == "__main__":
    unittest.main()
