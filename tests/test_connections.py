"""Tests of the number of connections that the memory of a process allows."""

import unittest

from buckthorndeal.connections import (
    CALLER_SHARE,
    CONNECTION_BYTES,
    HOST_SHARE,
    INTERNAL_SHARE,
    MEMORY_SHARE,
    NARROW_BUFFERS,
    WIDE_BUFFERS,
    WINDOW_SILENCE_S,
    ReceiveWindows,
    create_connection_limits,
)
from buckthorndeal.memory import BASE_BYTES
from buckthorndeal.settings import Limits

# The least that a gateway of the users' platform has.
SMALLEST_BYTES = 160_000_000
CONFIGURED = 4_096
FAR_ROUND_TRIP_S = 0.16


class Stream:
    """Records the buffers that it was given."""

    def __init__(self):
        self.buffers = []
        self.has_unread = False

    def is_readable(self):
        return self.has_unread

    def set_buffers(self, buffers):
        self.buffers.append(buffers)


class ConnectionLimitsTest(unittest.TestCase):
    """The limits follow from the memory, and from the settings where these are less."""

    def test_connections_fit_into_their_share_of_the_memory(self):
        """Guards against a number of connections that comes from descriptors alone."""
        for memory_bytes in (SMALLEST_BYTES, 2 * SMALLEST_BYTES, 820_000_000):
            limits = create_connection_limits(memory_bytes)
            shares = (CALLER_SHARE, HOST_SHARE, INTERNAL_SHARE, INTERNAL_SHARE)
            places = [limits.limit_places(each, 1 << 20) for each in shares]
            places += [_count_slots(limits.refusals), _count_slots(limits.lingering)]
            self.assertLessEqual(sum(places), limits.places)
            self.assertLessEqual(
                limits.places * CONNECTION_BYTES,
                (memory_bytes - BASE_BYTES) * MEMORY_SHARE,
            )

    def test_settings_may_ask_for_fewer(self):
        """Guards against more connections than an operator has allowed."""
        limits = create_connection_limits(SMALLEST_BYTES)
        self.assertEqual(limits.limit_places(CALLER_SHARE, 24), 24)
        self.assertEqual(limits.limit_places(INTERNAL_SHARE, 2), 2)

    def test_without_a_limit_of_the_memory_the_settings_hold(self):
        """Guards against a limit that nobody has asked for."""
        limits = create_connection_limits()
        self.assertEqual(limits.limit_places(INTERNAL_SHARE, CONFIGURED), CONFIGURED)

    def test_process_without_spare_memory_serves_some(self):
        """Guards against a small process that refuses all of its callers."""
        limits = create_connection_limits(BASE_BYTES)
        self.assertGreater(limits.limit_places(CALLER_SHARE, CONFIGURED), 0)
        self.assertTrue(limits.refusals.take())

    def test_limits_that_act_are_counted_and_logged_once_a_second(self):
        """Guards against refusals that an operator does not see, or that fill logs."""
        now_s = 0.0
        limits = create_connection_limits(SMALLEST_BYTES, lambda: now_s)
        with self.assertLogs() as logs:
            for _ in range(3):
                limits.record_refusal(80, 24, 24)
            now_s = 1.0
            limits.record_close("idle", 80, 24, 24)
        self.assertEqual(len(logs.records), 2)
        counters = limits.read_counters()
        self.assertEqual(counters["connections_refused"], 3)
        self.assertEqual(counters["connections_closed_for_others"], 1)

    def test_slots_that_are_given_back_are_free(self):
        """Guards against refusals that are cut short once some have been."""
        slots = create_connection_limits(SMALLEST_BYTES).refusals
        count = _count_slots(slots)
        self.assertGreater(count, 0)
        slots.give_back()
        self.assertEqual(_count_slots(slots), 1)


def _count_slots(slots):
    """Take all free slots, and return their number."""
    count = 0
    while slots.take():
        count += 1
    return count


class BuffersTest(unittest.TestCase):
    """The sizes allow what the limits of a server allow."""

    def test_largest_body_arrives_in_time_over_a_far_link(self):
        """Guards against buffers that slow down sound uploads."""
        limits = Limits()
        round_trips = limits.body_timeout_s / FAR_ROUND_TRIP_S
        self.assertGreater(
            round_trips * WIDE_BUFFERS.receive_bytes, 2 * limits.max_body_bytes
        )


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
