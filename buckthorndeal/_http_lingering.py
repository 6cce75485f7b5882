"""Reading of what callers still send when their connection ends with a refusal."""

import curio
import h11

from buckthorndeal._http_reading import READ_BYTES
from buckthorndeal.transport import Stream

LINGER_TIMEOUT_S = 0.5
MAX_LINGERING_CONNECTIONS = 256
MAX_DISCARDED_BYTES = 16_777_216


class LingeringConnections:
    """Connections of one server whose last response may not have been read yet."""

    def __init__(self) -> None:
        self._count = 0

    async def linger(self, stream: Stream, connection: h11.Connection) -> None:
        """Discard what the caller still sends after its last response, for a while.

        Closing a connection with unread bytes resets it, which can take the response
        with it before the caller has read it.
        """
        if not _has_to_linger(stream, connection):
            return
        if self._count >= MAX_LINGERING_CONNECTIONS:
            return
        self._count += 1
        try:
            await stream.end_sending()
            await curio.ignore_after(LINGER_TIMEOUT_S, _discard, stream)
        finally:
            self._count -= 1


def _has_to_linger(stream: Stream, connection: h11.Connection) -> bool:
    has_responded = connection.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
    if not has_responded:
        return False
    # A caller that has sent no head in time is not expected to send more.
    is_sending = connection.their_state in (h11.SEND_BODY, h11.ERROR)
    return is_sending or stream.is_readable()


async def _discard(stream: Stream) -> None:
    received = 0
    while received < MAX_DISCARDED_BYTES:
        data = await stream.recv(READ_BYTES)
        if not data:
            return
        received += len(data)
        # A caller that sends without end never lets a read wait.
        await curio.sleep(0)
