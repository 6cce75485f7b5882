"""Responses of an HTTP server that their callers do not read."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import curio

from buckthorndeal.transport import Stream

# Responses of which a caller has taken something since keep their connections.
MIN_UNREAD_S = 2.0
CHECK_INTERVAL_S = 1.0


@dataclass
class _Progress:
    """When a write began or was last seen to go on, and what had been sent by then."""

    seen_s: float
    sent_bytes: int


class PendingWrites:
    """Writes of one server that wait for their callers.

    Parameters
    ----------
    clock : callable, optional
        Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        # The write without progress for the longest time comes first.
        self._writes: dict[Stream, _Progress] = {}

    def __len__(self) -> int:
        return len(self._writes)

    async def write(self, stream: Stream, data: bytes) -> None:
        """Send data over a stream; raise OSError if it is broken or was aborted."""
        self._writes[stream] = _Progress(self._clock(), stream.sent_bytes)
        try:
            await stream.sendall(data)
        finally:
            self._writes.pop(stream, None)

    async def abort_longest(self, min_pause_s: float = MIN_UNREAD_S) -> bool:
        """End the connection of the write that has made no progress for longest.

        Returns whether there was one without progress for `min_pause_s` seconds.
        """
        while self._writes:
            stream, progress = next(iter(self._writes.items()))
            now_s = self._clock()
            if now_s - progress.seen_s < min_pause_s:
                return False
            del self._writes[stream]
            if stream.sent_bytes == progress.sent_bytes:
                await stream.abort()
                return True
            self._writes[stream] = _Progress(now_s, stream.sent_bytes)
        return False

    async def abort_overdue(
        self, get_limit_s: Callable[[], float], record: Callable[[], None]
    ) -> None:
        """End the connections of writes without progress, until cancelled.

        Parameters
        ----------
        get_limit_s : callable
            Returns the seconds for which a write may make no progress.
        record : callable
            Called for each connection that is ended.
        """
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            while await self.abort_longest(get_limit_s()):
                record()
