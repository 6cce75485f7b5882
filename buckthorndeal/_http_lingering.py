"""Reading of what callers still send when their connection ends with a refusal."""

import curio
import h11

from buckthorndeal._http_reading import READ_BYTES, RequestReader
from buckthorndeal.connections import Slots
from buckthorndeal.transport import Stream

# Time for what a caller still sends, and for a pause in it.
LINGER_TIMEOUT_S = 5.0
MAX_PAUSE_S = 0.5
POLL_INTERVAL_S = 0.02
MAX_DISCARDED_BYTES = 16_777_216


async def linger(
    stream: Stream,
    reader: RequestReader,
    slots: Slots,
    timeout_s: float = LINGER_TIMEOUT_S,
) -> None:
    """Discard what the caller still sends after its last response, for a while.

    Closing a connection with unread bytes resets it, which can take the response
    with it before the caller has read it. Without a free slot nothing is done.
    """
    if not slots.take():
        return
    try:
        if not reader.is_reading_ended:
            # With both directions ended, further bytes would reset the connection.
            await stream.end_sending()
        await curio.ignore_after(timeout_s, _discard, stream, reader)
    finally:
        slots.give_back()


def has_to_linger(stream: Stream, connection: h11.Connection) -> bool:
    """Return whether the caller may still send on a connection that has responded."""
    has_responded = connection.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
    if not has_responded:
        return False
    # A caller that has sent no head in time is not expected to send more.
    is_sending = connection.their_state in (h11.SEND_BODY, h11.ERROR)
    return is_sending or stream.is_readable()


async def _discard(stream: Stream, reader: RequestReader) -> None:
    received = 0
    paused_s = 0.0
    while received < MAX_DISCARDED_BYTES and paused_s < MAX_PAUSE_S:
        data = await curio.ignore_after(MAX_PAUSE_S, stream.recv, READ_BYTES)
        if data:
            received += len(data)
            paused_s = 0.0
            # A caller that sends without end never lets a read wait.
            await curio.sleep(0)
        elif reader.is_reading_ended:
            # Reads of a request that was cut do not wait, but bytes may still come.
            await curio.sleep(POLL_INTERVAL_S)
            paused_s += POLL_INTERVAL_S
        else:
            return
