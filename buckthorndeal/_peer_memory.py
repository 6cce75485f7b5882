"""Bookings of the messages that are received from peers and sent to them."""

import curio

from buckthorndeal.errors import FrameError, MemoryShortageError
from buckthorndeal.memory import UNBOOKED_BYTES, Booking, MemoryAccount, Use
from buckthorndeal.wire import Message, Session

# A sound peer stops sending a frame after one limit of a silence; what it has sent may
# take longer to arrive.
MAX_FRAME_SILENCES = 4
ROOM_CHECK_INTERVAL_S = 0.02


class ConnectionMemory:
    """Books what one connection to a peer holds.

    A frame beyond `UNBOOKED_BYTES` is booked as soon as its size is known; while there
    is no room for it, the rest of it waits unread in the connection.

    Parameters
    ----------
    account : MemoryAccount
        Account of the process.
    peer : str
        Name of the peer, which owns the bookings.
    session : Session
        Session that opens the frames.
    silence_s : float
        Time in seconds for which a message waits for room at most. A large frame has
        to be complete within four times as long.
    """

    def __init__(
        self, account: MemoryAccount, peer: str, session: Session, silence_s: float
    ) -> None:
        self._account = account
        self._peer = peer
        self._session = session
        self._silence_s = silence_s
        self._bookings: set[Booking] = set()
        self._incomplete: Booking | None = None
        self._frame_due_s = 0.0
        self._closed = False

    async def book_incomplete(self) -> None:
        """Book the frame of which a part has been received, before more is read.

        Raises
        ------
        FrameError
            If there is no room for the frame, or it takes too long.
        """
        size_bytes = self._session.incomplete_bytes
        if size_bytes <= UNBOOKED_BYTES:
            return
        if self._incomplete is not None:
            if await curio.clock() > self._frame_due_s:
                raise FrameError(f"frame of {size_bytes} bytes takes too long")
            return
        try:
            self._incomplete = await self.book(size_bytes)
        except MemoryShortageError as error:
            raise FrameError(f"frame is refused: {error}") from error
        due_s = MAX_FRAME_SILENCES * self._silence_s
        self._frame_due_s = await curio.clock() + due_s

    async def take(self, message: Message) -> Booking | None:
        """Return the booking of a received message, or None if it is small.

        Raises
        ------
        FrameError
            If there is no room for the message.
        """
        if self._incomplete is not None:
            booking, self._incomplete = self._incomplete, None
            return booking
        try:
            return await self.book_message(message)
        except MemoryShortageError as error:
            raise FrameError(f"message is refused: {error}") from error

    async def book_message(self, message: Message) -> Booking | None:
        """Return a booking of a message, or None if it is small; see `book`."""
        size_bytes = len(getattr(message, "body", b""))
        if size_bytes <= UNBOOKED_BYTES:
            return None
        return await self.book(size_bytes)

    async def book(self, size_bytes: int) -> Booking:
        """Return a booking of `size_bytes`; wait while there is no room.

        Raises
        ------
        MemoryShortageError
            If there is still no room after the limit of a silence, if there never will
            be, or if the connection is lost.
        """
        if self._closed:
            raise MemoryShortageError("the connection is lost")
        booking = self._account.open(Use.PEER, self._peer)
        self._bookings.add(booking)
        waits = int(self._silence_s / ROOM_CHECK_INTERVAL_S)
        if size_bytes > self._account.get_share_bytes(Use.PEER):
            waits = 0
        while waits and not booking.try_resize(size_bytes):
            await curio.sleep(ROOM_CHECK_INTERVAL_S)
            waits -= 1
        try:
            booking.resize(size_bytes)
        except MemoryShortageError:
            self._bookings.discard(booking)
            raise
        return booking

    def release(self, booking: Booking | None) -> None:
        """Hold nothing any more for a message that has been handled."""
        if booking is not None:
            booking.release()
            self._bookings.discard(booking)

    def close(self) -> None:
        """Release all bookings; tasks that still run cannot use them any more."""
        self._closed = True
        while self._bookings:
            self._bookings.pop().cut()
