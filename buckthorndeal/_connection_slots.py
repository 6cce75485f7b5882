"""Limit on the connections of a pool, which may change while some are in use."""

from collections import deque

import curio


class ConnectionSlots:
    """Semaphore whose limit may change; those who wait get free slots in turn.

    Parameters
    ----------
    limit : int
        Maximum number of slots in use.

    Attributes
    ----------
    limit : int
        A larger one holds from the next entry or exit on; under a smaller one, slots in
        use stay so until their exit.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._used = 0
        self._waiting: deque[curio.Event] = deque()

    async def __aenter__(self) -> None:
        await self._hand_over()
        if self._used < self.limit:
            self._used += 1
            return
        handed_over = curio.Event()
        self._waiting.append(handed_over)
        try:
            await handed_over.wait()
        except curio.CancelledError:
            if handed_over.is_set():
                await self._release()
            else:
                self._waiting.remove(handed_over)
            raise

    async def __aexit__(self, *error: object) -> None:
        await self._release()

    async def _release(self) -> None:
        self._used -= 1
        async with curio.disable_cancellation():
            await self._hand_over()

    async def _hand_over(self) -> None:
        while self._waiting and self._used < self.limit:
            self._used += 1
            await self._waiting.popleft().set()
