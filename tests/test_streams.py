"""Tests of the parser of server-sent events and of the stream cursor."""

import unittest

from buckthorndeal.errors import WireError
from buckthorndeal.streams import (
    Event,
    StreamMismatchError,
    create_cursor,
    create_event_parser,
    format_event,
)


class StreamsTest(unittest.TestCase):
    """Event parser and stream cursor."""

    def test_events_do_not_depend_on_where_bytes_are_split(self):
        """Guards against events that are lost or duplicated at the end of a read."""
        events = [Event("r:0", "ä\nb"), Event("r:1", "x", "error"), Event("r:2", "")]
        data = b": comment\n\n" + b"".join(map(format_event, events))
        for text in (data, data.replace(b"\n", b"\r\n")):
            for size in range(1, len(text)):
                parser = create_event_parser()
                found = []
                for start in range(0, len(text), size):
                    found += parser.feed(text[start : start + size])
                self.assertEqual(found, events)

    def test_endless_event_is_refused(self):
        """Guards against unbounded memory for an event without an end."""
        with self.assertRaises(WireError):
            create_event_parser().feed(b"data: " + b"x" * (1 << 20))

    def test_foreign_event_gap_and_early_end_are_refused(self):
        """Guards against tokens of another response and against lost tokens."""
        for event in (
            Event("other:3", "t"),
            Event("r:4", "t"),
            Event("r:2", "[DONE]"),
            Event("r:4", "[DONE]"),
            Event("other:3", "[DONE]"),
            Event("", "[DONE]"),
            Event("r:³", "t"),
            Event("r:3", "failed", "error"),
        ):
            cursor = create_cursor(3)
            with self.assertRaises(StreamMismatchError, msg=event):
                cursor.accept(event, "r")
            self.assertEqual((cursor.next_token, cursor.ended), (3, False))

    def test_repeated_token_is_skipped(self):
        """Guards against duplicated text when an endpoint restarts its response."""
        cursor = create_cursor(1)
        accepted = [cursor.accept(Event(f"r:{index}", "t"), "r") for index in (0, 1)]
        self.assertEqual(accepted, [False, True])
        self.assertTrue(cursor.accept(Event("r:2", "[DONE]"), "r"))
        self.assertTrue(cursor.ended)


if __name__ == "__main__":
    unittest.main()
