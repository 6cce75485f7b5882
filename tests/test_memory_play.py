"""Messages without end, and large ones that are never complete, beside processes."""

import unittest

from tests.memory_play import (
    MEMORY_BYTES,
    SCENARIOS,
    MemoryPlay,
    describe,
    list_unanswered,
)

# Below what the smallest host has, and above what a gateway needs for the play.
MAX_EVENTS_BYTES = 150_000_000


class MemoryPlayTest(unittest.TestCase):
    """A process stays within the memory that it is told it may use, and answers."""

    def check(self, scenario):
        play = MemoryPlay(f"{scenario}-1", SCENARIOS[scenario])
        play.play()
        text = describe(play)
        self.assertEqual(play.ended, [], text)
        self.assertEqual(len(play.peaks), 3, text)
        self.assertLessEqual(max(play.peaks.values()), MEMORY_BYTES, text)
        self.assertGreater(len(play.sound_orders), 50, text)
        self.assertEqual(list_unanswered(play), [], text)
        # How many calls there are depends on the machine, but each is answered.
        self.assertEqual(set(play.api_statuses), {200}, text)
        return play

    def test_responses_without_end_do_not_fill_a_host(self):
        """Guards against bounds of single responses whose sum has no bound."""
        play = self.check("bodies")
        self.assertGreater(play.endless, 10, describe(play))

    def test_events_without_end_do_not_fill_a_host(self):
        """Guards against buffers of events that fragment the heap as they grow."""
        play = self.check("events")
        self.assertGreater(play.endless, 10, describe(play))
        self.assertLessEqual(max(play.peaks.values()), MAX_EVENTS_BYTES, describe(play))

    def test_requests_without_end_do_not_fill_a_host(self):
        """Guards against bounds of single bodies whose sum has no bound."""
        self.check("requests")

    def test_heartbeats_without_end_do_not_fill_a_coordinator(self):
        """Guards against bounds of single bodies whose sum has no bound."""
        self.check("heartbeats")

    def test_configurations_without_end_do_not_fill_a_coordinator(self):
        """Guards against bounds of single bodies whose sum has no bound."""
        self.check("configurations")

    def test_frames_without_end_do_not_fill_a_host(self):
        """Guards against frames of 8 MiB from many peers at once."""
        self.check("peers")


if __name__ == "__main__":
    unittest.main()
