"""Account of the bytes that a process holds for the messages of others.

Each read has a bound of its own; the account bounds their sum, so that no number of
large or endless messages ends the process.
"""

import enum
import time
from collections.abc import Callable, Hashable, Mapping

from buckthorndeal.errors import MemoryShortageError
from buckthorndeal.logs import log_event

__all__ = ["Booking", "MemoryAccount", "Use", "create_memory_account"]

# Memory that a process needs besides the messages that it holds.
BASE_BYTES = 64 << 20
# Messages are copied while they are decoded, joined and sent.
COPIES = 4
MIN_CAPACITY_BYTES = 8 << 20
DEFAULT_CAPACITY_BYTES = 64 << 20
# Smaller messages count as part of their connection, whose number is bounded.
UNBOOKED_BYTES = 4_096
# Messages up to this size may use the first half of the reserve.
SMALL_BYTES = 65_536
RESERVE_SHARE = 1 / 4
# Kept from requests, which are held until there was room for their responses.
RESPONSE_ROOM_SHARE = 1 / 8
LOG_INTERVAL_S = 1.0


class Use(enum.Enum):
    """What bytes are held for.

    The value is the largest share of the account that an owner may hold for it.
    """

    REQUEST = 0.2
    RESPONSE = 0.25
    # May use the whole reserve.
    PEER = 0.5


class Booking:
    """Bytes held for one message.

    Parameters
    ----------
    account : MemoryAccount
        Account that the bytes are booked in.
    use : Use
        What the bytes are held for.
    owner : hashable or None
        Whose share they belong to; None for a share of its own.
    drop : callable or None
        Called without arguments when the message is cut in favour of others. It has to
        drop what is held at once, and must not wait.

    Attributes
    ----------
    size_bytes : int
        Bytes that are booked.
    is_cut : bool
        Whether the message was cut. It cannot grow any more.
    is_excess : bool
        Whether it was cut because its owner alone held too much.
    is_settled : bool
        Whether the message is complete, and is never cut.
    """

    __slots__ = (
        "_account",
        "_drop",
        "is_cut",
        "is_excess",
        "is_settled",
        "owner",
        "size_bytes",
        "use",
    )

    def __init__(
        self,
        account: "MemoryAccount",
        use: Use,
        owner: Hashable | None,
        drop: Callable[[], None] | None,
    ) -> None:
        self._account = account
        self._drop = drop
        self.use = use
        self.owner = self if owner is None else owner
        self.size_bytes = 0
        self.is_cut = False
        self.is_excess = False
        self.is_settled = drop is None

    def resize(self, size_bytes: int) -> None:
        """Hold `size_bytes` from now on.

        Raises
        ------
        MemoryShortageError
            If there is no room for them, or if the message was cut. What was booked
            before stays booked.
        """
        if size_bytes <= UNBOOKED_BYTES:
            size_bytes = 0
        if self.is_cut:
            raise MemoryShortageError(
                "it was cut in favour of other messages", self.is_excess
            )
        if size_bytes != self.size_bytes:
            self._account.resize(self, size_bytes)

    def check(self, size_bytes: int) -> None:
        """Refuse a message that could not grow to `size_bytes` at present.

        Raises
        ------
        MemoryShortageError
            If there is no room for so many bytes, even if larger messages are cut.
        """
        if size_bytes > max(self.size_bytes, UNBOOKED_BYTES):
            self._account.check(self, size_bytes)

    def try_resize(self, size_bytes: int) -> bool:
        """Hold `size_bytes` from now on if there is room, and return whether there is.

        A message that waits for room is not counted as refused.
        """
        if size_bytes <= UNBOOKED_BYTES:
            size_bytes = 0
        return not self.is_cut and self._account.try_resize(self, size_bytes)

    def settle(self) -> None:
        """Keep the message from being cut, as it is complete."""
        self.is_settled = True

    def reopen(self) -> None:
        """Let the message be cut again, as the next part of it is incomplete."""
        self.is_settled = self._drop is None

    def release(self) -> None:
        """Hold nothing any more."""
        if self.size_bytes:
            self._account.resize(self, 0)

    def cut(self, is_excess: bool = False) -> None:
        """Drop the message."""
        self.is_cut = True
        self.is_excess = is_excess
        self.release()
        if self._drop is not None:
            self._drop()

    def __enter__(self) -> "Booking":
        return self

    def __exit__(self, *details: object) -> None:
        self.release()


class MemoryAccount:
    """Bytes that a process holds for messages, within a capacity.

    What does not fit takes the place of the largest incomplete message, if that is
    larger than itself; otherwise it is refused. The last quarter of the capacity is a
    reserve: small messages may use the first half of it, and messages of peers all.
    Requests leave an eighth more to responses.

    Parameters
    ----------
    capacity_bytes : int
        Bytes that may be held at most.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    held_bytes, peak_bytes : int
        Bytes that are held, and that were held at most.
    refused_count, cut_count : int
        Number of messages that were refused, and cut.
    """

    def __init__(self, capacity_bytes: int, clock: Callable[[], float]) -> None:
        self.capacity_bytes = capacity_bytes
        self._clock = clock
        self._reserve_bytes = int(capacity_bytes * RESERVE_SHARE)
        self._response_room_bytes = int(capacity_bytes * RESPONSE_ROOM_SHARE)
        self._bookings: set[Booking] = set()
        self._owned_bytes: dict[Hashable, int] = {}
        self._logged_s: float | None = None
        self.held_bytes = 0
        self.peak_bytes = 0
        self.refused_count = 0
        self.cut_count = 0

    def open(
        self,
        use: Use,
        owner: Hashable | None = None,
        drop: Callable[[], None] | None = None,
    ) -> Booking:
        """Return an empty booking; without `drop`, the message is never cut."""
        return Booking(self, use, owner, drop)

    def get_share_bytes(self, use: Use) -> int:
        """Return the bytes that one owner may hold for a use."""
        return int(use.value * self.capacity_bytes)

    def resize(self, booking: Booking, size_bytes: int) -> None:
        """Change the size of a booking; see `Booking.resize`."""
        if size_bytes > booking.size_bytes and not self._fits(booking, size_bytes):
            self._record_refusal(booking, size_bytes)
            raise self._create_error(booking, size_bytes)
        self._resize(booking, size_bytes)

    def try_resize(self, booking: Booking, size_bytes: int) -> bool:
        """Change the size of a booking if there is room; see `Booking.try_resize`."""
        if not self._fits(booking, size_bytes):
            return False
        self._resize(booking, size_bytes)
        return True

    def check(self, booking: Booking, size_bytes: int) -> None:
        """Refuse a booking that cannot have a size; see `Booking.check`."""
        if self._fits(booking, size_bytes):
            return
        self._record_refusal(booking, size_bytes)
        raise MemoryShortageError(f"there is no room for {size_bytes} bytes")

    def read_counters(self) -> Mapping[str, int]:
        """Return counters for the metrics of the process, by name."""
        return {
            "message_bytes_held": self.held_bytes,
            "message_bytes_peak": self.peak_bytes,
            "message_bytes_capacity": self.capacity_bytes,
            "messages_refused_for_memory": self.refused_count,
            "messages_cut_for_memory": self.cut_count,
        }

    def _resize(self, booking: Booking, size_bytes: int) -> None:
        added = size_bytes - booking.size_bytes
        if added > 0:
            self._make_room(booking, size_bytes, added)
        self._record(booking, size_bytes, added)

    def _make_room(self, booking: Booking, size_bytes: int, added: int) -> None:
        """Cut larger messages until one that fits beside the others has room."""
        share = self.get_share_bytes(booking.use)
        owned = self._owned_bytes.get(booking.owner, 0)
        while owned + added > share:
            self._cut_larger(booking, size_bytes, booking.owner)
            owned = self._owned_bytes.get(booking.owner, 0)
        limit = self._compute_limit(booking.use, size_bytes)
        while self.held_bytes + added > limit:
            self._cut_larger(booking, size_bytes, None)

    def _fits(self, booking: Booking, size_bytes: int) -> bool:
        """Return whether there is room once all larger messages have been cut."""
        added = size_bytes - booking.size_bytes
        share = self.get_share_bytes(booking.use)
        limit = self._compute_limit(booking.use, size_bytes)
        owned = self._owned_bytes.get(booking.owner, 0) + added
        held = self.held_bytes + added
        if owned <= share and held <= limit:
            return True
        larger = self._list_larger(booking, size_bytes)
        held -= sum(other.size_bytes for other in larger)
        owned -= sum(
            other.size_bytes for other in larger if other.owner == booking.owner
        )
        return owned <= share and held <= limit

    def _compute_limit(self, use: Use, size_bytes: int) -> int:
        """Return the bytes that may be held in all once a message has its size."""
        if use is Use.PEER:
            return self.capacity_bytes
        limit = self.capacity_bytes - self._reserve_bytes
        if size_bytes <= SMALL_BYTES:
            limit += self._reserve_bytes // 2
        if use is Use.REQUEST:
            limit -= self._response_room_bytes
        return limit

    def _list_larger(self, booking: Booking, size_bytes: int) -> list[Booking]:
        """Return the incomplete messages that are larger than `size_bytes`."""
        return [
            other
            for other in self._bookings
            if not other.is_settled
            and other is not booking
            and other.size_bytes > size_bytes
        ]

    def _cut_larger(
        self, booking: Booking, size_bytes: int, owner: Hashable | None
    ) -> None:
        """Cut the largest incomplete message, of an owner or of all."""
        is_excess = owner is not None and self._is_excess(booking, size_bytes)
        largest = max(
            (
                other
                for other in self._list_larger(booking, size_bytes)
                if owner is None or other.owner == owner
            ),
            key=lambda other: other.size_bytes,
        )
        self.cut_count += 1
        self._log_shortage(largest, largest.size_bytes)
        largest.cut(is_excess)

    def _create_error(self, booking: Booking, size_bytes: int) -> MemoryShortageError:
        owned = self._owned_bytes.get(booking.owner, 0)
        added = size_bytes - booking.size_bytes
        exceeds_share = owned + added > self.get_share_bytes(booking.use)
        is_excess = exceeds_share and self._is_excess(booking, size_bytes)
        return MemoryShortageError(
            f"there is no room for {size_bytes} bytes", is_excess
        )

    def _is_excess(self, booking: Booking, size_bytes: int) -> bool:
        """Return whether incomplete messages of an owner fill half of its share."""
        others = sum(
            other.size_bytes
            for other in self._bookings
            if not other.is_settled
            and other is not booking
            and other.owner == booking.owner
        )
        return (size_bytes + others) * 2 >= self.get_share_bytes(booking.use)

    def _record_refusal(self, booking: Booking, size_bytes: int) -> None:
        self.refused_count += 1
        self._log_shortage(booking, size_bytes)

    def _record(self, booking: Booking, size_bytes: int, added: int) -> None:
        booking.size_bytes = size_bytes
        self.held_bytes += added
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        owned = self._owned_bytes.get(booking.owner, 0) + added
        if owned:
            self._owned_bytes[booking.owner] = owned
        else:
            self._owned_bytes.pop(booking.owner, None)
        if size_bytes:
            self._bookings.add(booking)
        else:
            self._bookings.discard(booking)

    def _log_shortage(self, booking: Booking, size_bytes: int) -> None:
        now_s = self._clock()
        if self._logged_s is not None and now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        log_event(
            "memory_short",
            use=booking.use.name.lower(),
            owner=None if booking.owner is booking else str(booking.owner),
            bytes=size_bytes,
            held=self.held_bytes,
            capacity=self.capacity_bytes,
            refused=self.refused_count,
            cut=self.cut_count,
        )


def create_memory_account(
    memory_bytes: int | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> MemoryAccount:
    """Return the account of a process that may use `memory_bytes`; see `MemoryAccount`.

    Without a limit of the process, messages may hold `DEFAULT_CAPACITY_BYTES`.
    """
    capacity_bytes = DEFAULT_CAPACITY_BYTES
    if memory_bytes is not None:
        capacity_bytes = max(MIN_CAPACITY_BYTES, (memory_bytes - BASE_BYTES) // COPIES)
    return MemoryAccount(capacity_bytes, clock)
