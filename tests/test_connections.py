"""Tests of the wide buffers that some connections have."""

import unittest

from buckthorndeal.connections import (
    NARROW_BUFFERS,
    WIDE_BUFFERS,
    WINDOW_SILENCE_S,
    ReceiveWindows,
)


class Stream:
    """Records the buffers that it was given."""

    def __init__(self):
        self.buffers = []
        self.has_unread = False

    def is_readable(self):
        return self.has_unread

    def set_buffers(self, buffers):
        self.buffers.append(buffers)


class ReceiveWindowsTest(unittest.TestCase):
    """Wide buffers go to those who use them."""

    def setUp(self):
        self.now_s = 0.0
        self.windows = ReceiveWindows(2, lambda: self.now_s)

    def test_number_is_bounded(self):
        """Guards against wide buffers of all connections at once."""
        streams = [Stream() for _ in range(3)]
        self.assertEqual(
            [self.windows.widen(each) for each in streams], [True, True, False]
        )
        self.assertEqual(streams[2].buffers, [])
        self.assertEqual(self.windows.missed_count, 1)
        self.windows.narrow(streams[0])
        self.assertTrue(self.windows.widen(streams[2]))
        self.assertEqual(streams[0].buffers, [WIDE_BUFFERS, NARROW_BUFFERS])

    def test_silent_connection_gives_them_up(self):
        """Guards against bodies that stop short and keep all wide buffers."""
        streams = [Stream() for _ in range(3)]
        self.windows.widen(streams[0])
        self.windows.widen(streams[1])
        self.now_s = WINDOW_SILENCE_S
        self.windows.widen(streams[0])
        self.assertTrue(self.windows.widen(streams[2]))
        self.assertEqual(streams[1].buffers, [WIDE_BUFFERS, NARROW_BUFFERS])
        self.assertEqual(streams[0].buffers, [WIDE_BUFFERS])

    def test_connection_with_unread_bytes_keeps_them(self):
        """Guards against windows that are free while the kernel holds their bytes."""
        streams = [Stream() for _ in range(3)]
        streams[0].has_unread = True
        self.windows.widen(streams[0])
        self.windows.widen(streams[1])
        self.now_s = WINDOW_SILENCE_S
        self.assertTrue(self.windows.widen(streams[2]))
        self.assertEqual(streams[0].buffers, [WIDE_BUFFERS])

    def test_connection_without_them_is_left_alone(self):
        """Guards against system calls at the end of each small request."""
        stream = Stream()
        self.windows.narrow(stream)
        self.assertEqual(stream.buffers, [])


if __name__ == "__main__":
    unittest.main()
