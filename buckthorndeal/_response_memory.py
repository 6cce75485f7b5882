"""Memory that an HTTP client holds for the response to one request."""

from collections.abc import Callable

import curio

from buckthorndeal.errors import MemoryShortageError, ResponseCutError
from buckthorndeal.memory import (
    SMALL_BYTES,
    UNBOOKED_BYTES,
    Booking,
    MemoryAccount,
    Use,
)
from buckthorndeal.transport import Stream

FIRST_PAUSE_S = 0.01
MAX_PAUSE_S = 0.2


class ResponseMemory:
    """Bytes of a response that a client holds, in the account of its process.

    Nothing is booked for a response that is passed on as it arrives. One that is cut
    in favour of others holds nothing any more, and its next read fails.

    Parameters
    ----------
    account : MemoryAccount
        Account of the process.
    owner : str
        Address of the server.
    stream : Stream
        Connection to the server.
    fail : callable
        Called with the error of all further reads once the response is cut.

    Attributes
    ----------
    max_bytes : int
        Largest response that there can ever be room for.
    is_booked : bool
        Whether anything has been booked for the response.
    """

    def __init__(
        self,
        account: MemoryAccount,
        owner: str,
        stream: Stream,
        fail: Callable[[ResponseCutError], None],
    ) -> None:
        self._account = account
        self._owner = owner
        self._stream = stream
        self._fail = fail
        self._booking: Booking | None = None
        self._kept_bytes = 0
        self._clear: Callable[[], None] = _clear_nothing
        self._cut: curio.UniversalEvent | None = None
        self._watcher: curio.Task | None = None
        self._error: ResponseCutError | None = None
        self.max_bytes = account.get_share_bytes(Use.RESPONSE)
        self.is_booked = False

    def set_clear(self, clear: Callable[[], None]) -> None:
        """Call `clear` when the response is cut, to free what its reader holds."""
        self._clear = clear

    async def hold(self, size_bytes: int) -> None:
        """Hold `size_bytes` of the body from now on.

        Raises
        ------
        ResponseCutError
            If there is no room for them, or if the response was cut.
        """
        self._kept_bytes = size_bytes
        await self._resize(size_bytes)

    async def hold_unparsed(self, size_bytes: int) -> None:
        """Hold bytes that do not make up a part yet besides those of the body.

        Raises
        ------
        ResponseCutError
            As `hold`.
        """
        await self._resize(self._kept_bytes + size_bytes)

    async def reserve(self, size_bytes: int) -> None:
        """Hold `size_bytes` once there is room for all of them.

        Raises
        ------
        ResponseCutError
            If the response was cut.
        """
        booking = self._open_booking()
        pause_s = FIRST_PAUSE_S
        while not booking.try_resize(size_bytes):
            self._check()
            await curio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)
        self._kept_bytes = size_bytes
        await self._watch(size_bytes)

    def settle(self) -> None:
        """Keep the response from being cut, as what is held is complete."""
        if self._booking is not None:
            self._booking.settle()

    async def reopen(self, size_bytes: int) -> None:
        """Hold only `size_bytes` of the next part, which is incomplete.

        Raises
        ------
        ResponseCutError
            As `hold`.
        """
        if self._booking is not None:
            self._booking.reopen()
        await self.hold(size_bytes)

    def take(self) -> Booking | None:
        """Return the booking, which the caller releases from now on."""
        booking, self._booking = self._booking, None
        return booking

    async def end(self) -> None:
        """Hold nothing any more."""
        self.is_booked = False
        self._kept_bytes = 0
        self._clear = _clear_nothing
        booking = self.take()
        if booking is not None:
            booking.release()
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            async with curio.disable_cancellation():
                await watcher.cancel()

    async def _resize(self, size_bytes: int) -> None:
        self._check()
        if self._booking is None and size_bytes <= UNBOOKED_BYTES:
            return
        booking = self._open_booking()
        try:
            booking.resize(size_bytes)
        except MemoryShortageError as error:
            self._drop(error.is_excess)
            raise self._error from error
        await self._watch(size_bytes)

    def _check(self) -> None:
        if self._error is not None:
            raise self._error

    def _open_booking(self) -> Booking:
        if self._booking is None:
            self.is_booked = True
            self._booking = self._account.open(
                Use.RESPONSE, self._owner, self._drop_cut
            )
        return self._booking

    def _drop_cut(self) -> None:
        self._drop(self._booking.is_excess)

    def _drop(self, is_excess: bool) -> None:
        """Free all that is held, and let the pending read end."""
        self._error = ResponseCutError(is_excess)
        self._booking.release()
        self._clear()
        self._fail(self._error)
        if self._cut is not None:
            self._cut.set()

    async def _watch(self, size_bytes: int) -> None:
        """End the connection of a large response once it is cut."""
        if size_bytes > SMALL_BYTES and self._watcher is None:
            # Set from code that cannot wait, while another message makes room.
            self._cut = curio.UniversalEvent()
            self._watcher = await curio.spawn(
                self._abort_when_cut, self._cut, daemon=True
            )

    async def _abort_when_cut(self, cut: curio.UniversalEvent) -> None:
        await cut.wait()
        await self._stream.abort()


def _clear_nothing() -> None:
    return
