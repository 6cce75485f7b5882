"""Tests of the account of the bytes that a process holds for messages."""

import random
import unittest

from buckthorndeal.errors import MemoryShortageError
from buckthorndeal.memory import (
    BASE_BYTES,
    DEFAULT_CAPACITY_BYTES,
    MIN_CAPACITY_BYTES,
    SMALL_BYTES,
    UNBOOKED_BYTES,
    MemoryAccount,
    Use,
    create_memory_account,
)

CAPACITY_BYTES = 16 << 20
MIB = 1 << 20


class AccountCase(unittest.TestCase):
    def setUp(self):
        self.account = MemoryAccount(CAPACITY_BYTES, lambda: 0.0)
        self.dropped = []

    def open(self, use=Use.REQUEST, owner=None, size_bytes=0, can_cut=True):
        def drop():
            self.dropped.append(booking)

        booking = self.account.open(use, owner, drop if can_cut else None)
        booking.resize(size_bytes)
        return booking

    def fill(self, can_cut):
        """Open bookings of 2 MiB, which fill the account up to its reserve."""
        bookings = []
        try:
            while True:
                bookings.append(self.open(size_bytes=2 * MIB, can_cut=can_cut))
        except MemoryShortageError:
            return bookings


class ResizeTest(AccountCase):
    def test_bookings_sum_up(self):
        first = self.open(size_bytes=MIB)
        second = self.open(size_bytes=2 * MIB)
        self.assertEqual(self.account.held_bytes, 3 * MIB)
        first.resize(MIB // 2)
        second.release()
        self.assertEqual(self.account.held_bytes, MIB // 2)
        self.assertEqual(self.account.peak_bytes, 3 * MIB)

    def test_small_message_is_part_of_its_connection(self):
        self.open(size_bytes=UNBOOKED_BYTES)
        self.assertEqual(self.account.held_bytes, 0)

    def test_context_releases_what_it_holds(self):
        with self.assertRaises(ZeroDivisionError), self.open(size_bytes=MIB):
            raise ZeroDivisionError
        self.assertEqual(self.account.held_bytes, 0)

    def test_refused_message_keeps_what_it_had(self):
        booking = self.open(size_bytes=MIB, can_cut=False)
        with self.assertRaises(MemoryShortageError):
            booking.resize(CAPACITY_BYTES)
        self.assertEqual(self.account.held_bytes, MIB)
        self.assertEqual(self.account.refused_count, 1)


class ShareTest(AccountCase):
    def test_one_owner_cannot_use_up_the_account(self):
        with self.assertRaises(MemoryShortageError):
            for _ in range(16):
                self.open(Use.RESPONSE, "endpoint", MIB, can_cut=False)
        self.assertLessEqual(
            self.account.held_bytes, Use.RESPONSE.value * CAPACITY_BYTES
        )
        self.open(Use.RESPONSE, "other", MIB)

    def test_owner_that_exceeds_its_share_loses_its_largest_message(self):
        other = self.open(Use.RESPONSE, "other", 4 * MIB)
        large = self.open(Use.RESPONSE, "endpoint", 3 * MIB)
        self.open(Use.RESPONSE, "endpoint", 2 * MIB)
        self.assertEqual(self.dropped, [large])
        self.assertFalse(other.is_cut)

    def test_owner_whose_incomplete_messages_fill_its_share_is_to_blame(self):
        """Guards against endless responses that compete and are never blamed."""
        large = self.open(Use.RESPONSE, "endpoint", 3 * MIB)
        self.open(Use.RESPONSE, "endpoint", 2 * MIB)
        self.assertTrue(large.is_excess)
        with self.assertRaises(MemoryShortageError) as caught:
            self.open(Use.RESPONSE, "endpoint", 3 * MIB)
        self.assertTrue(caught.exception.is_excess)

    def test_owner_is_not_to_blame_for_messages_that_are_sent_on_slowly(self):
        self.open(Use.RESPONSE, "endpoint", 4 * MIB - 1, can_cut=False)
        with self.assertRaises(MemoryShortageError) as caught:
            self.open(Use.RESPONSE, "endpoint", MIB)
        self.assertFalse(caught.exception.is_excess)

    def test_nobody_is_to_blame_for_a_full_account(self):
        bookings = self.fill(can_cut=True)
        self.open(size_bytes=MIB)
        cut = next(each for each in bookings if each.is_cut)
        self.assertFalse(cut.is_excess)

    def test_owner_is_forgotten_with_its_last_message(self):
        """Guards against a table that grows with each endpoint ever seen."""
        self.open(Use.RESPONSE, "endpoint", MIB).release()
        self.assertEqual(self.account._owned_bytes, {})


class ShortageTest(AccountCase):
    def test_largest_incomplete_message_makes_room(self):
        bookings = self.fill(can_cut=True)
        small = self.open(size_bytes=MIB)
        self.assertEqual(len(self.dropped), 1)
        self.assertEqual([each.is_cut for each in bookings].count(True), 1)
        self.assertFalse(small.is_cut)

    def test_cut_message_cannot_grow(self):
        bookings = self.fill(can_cut=True)
        self.open(size_bytes=MIB)
        cut = next(each for each in bookings if each.is_cut)
        with self.assertRaises(MemoryShortageError):
            cut.resize(SMALL_BYTES)

    def test_message_that_waits_for_room_is_not_refused(self):
        bookings = self.fill(can_cut=False)
        waiting = self.account.open(Use.REQUEST)
        refused_count = self.account.refused_count
        self.assertFalse(waiting.try_resize(2 * MIB))
        self.assertEqual(self.account.refused_count, refused_count)
        bookings.pop().release()
        self.assertTrue(waiting.try_resize(2 * MIB))

    def test_next_part_of_a_message_can_be_cut(self):
        bookings = self.fill(can_cut=True)
        for each in bookings:
            each.settle()
        with self.assertRaises(MemoryShortageError):
            self.open(size_bytes=MIB)
        bookings[0].reopen()
        self.open(size_bytes=MIB)
        self.assertEqual(self.dropped, [bookings[0]])

    def test_refused_message_cuts_no_other_one(self):
        self.open(size_bytes=2 * MIB)
        self.open(Use.RESPONSE, "endpoint", 3 * MIB // 2)
        self.open(Use.PEER, "coordinator", 8 * MIB, can_cut=False)
        self.open(Use.PEER, "other", 4 * MIB, can_cut=False)
        with self.assertRaises(MemoryShortageError):
            self.open(size_bytes=MIB)
        self.assertEqual(self.dropped, [])

    def test_complete_message_is_never_cut(self):
        self.fill(can_cut=False)
        with self.assertRaises(MemoryShortageError):
            self.open(size_bytes=MIB)
        self.assertEqual(self.account.cut_count, 0)

    def test_small_messages_fit_beside_large_ones(self):
        self.fill(can_cut=False)
        self.open(size_bytes=SMALL_BYTES)

    def test_response_fits_beside_all_requests(self):
        """Guards against requests that hold the room that their responses wait for."""
        self.fill(can_cut=False)
        waiting = self.account.open(Use.RESPONSE, "endpoint")
        self.assertTrue(waiting.try_resize(MIB))

    def test_messages_of_peers_fit_beside_all_others(self):
        """Guards against coordinators that are not heard while callers send much."""
        self.fill(can_cut=False)
        while True:
            try:
                self.open(size_bytes=SMALL_BYTES, can_cut=False)
            except MemoryShortageError:
                break
        self.open(Use.PEER, "coordinator", MIB, can_cut=False)


class CheckTest(AccountCase):
    """What is known to become too large is refused before it is received."""

    def check(self, size_bytes):
        self.account.open(Use.REQUEST, drop=self.fail).check(size_bytes)

    def test_message_larger_than_a_share_is_refused(self):
        self.check(3 * MIB)
        with self.assertRaises(MemoryShortageError):
            self.check(4 * MIB)
        self.assertEqual(self.account.refused_count, 1)

    def test_check_holds_nothing(self):
        """Guards against messages that are only announced and take all room."""
        for _ in range(20):
            self.check(3 * MIB)
        self.assertEqual(self.account.held_bytes, 0)

    def test_check_agrees_with_what_may_be_cut(self):
        self.fill(can_cut=True)
        self.check(MIB)
        with self.assertRaises(MemoryShortageError):
            self.check(2 * MIB)
        self.assertEqual(self.dropped, [])

    def test_complete_messages_leave_no_room(self):
        self.fill(can_cut=False)
        with self.assertRaises(MemoryShortageError):
            self.check(MIB)


class RandomTest(AccountCase):
    def test_sum_never_exceeds_the_capacity(self):
        for seed in range(20):
            self.setUp()
            source = random.Random(seed)
            bookings = [
                self.open(use, owner, can_cut=source.random() < 0.7)
                for use in Use
                for owner in (None, None, "a", "b")
                for _ in range(4)
            ]
            for _ in range(2_000):
                booking = source.choice(bookings)
                try:
                    booking.resize(source.randrange(2 * MIB))
                except MemoryShortageError:
                    booking.release()
                    booking.is_cut = False
                held = sum(each.size_bytes for each in bookings)
                self.assertEqual(self.account.held_bytes, held)
                self.assertLessEqual(held, CAPACITY_BYTES)


class CreateTest(unittest.TestCase):
    def test_capacity_follows_the_memory_of_the_process(self):
        self.assertEqual(create_memory_account().capacity_bytes, DEFAULT_CAPACITY_BYTES)
        small = create_memory_account(BASE_BYTES)
        self.assertEqual(small.capacity_bytes, MIN_CAPACITY_BYTES)
        large = create_memory_account(BASE_BYTES + 400 * MIB)
        self.assertEqual(large.capacity_bytes, 100 * MIB)


if __name__ == "__main__":
    unittest.main()
