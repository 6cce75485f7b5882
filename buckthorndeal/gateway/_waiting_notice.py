"""Notices of a host that has sent a forwarded request to no endpoint yet."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import curio

from buckthorndeal.http_server import Responder

PROCESSING = 102
# Shorter than the time for which two endpoints may work on one stream.
FIRST_NOTICE_S = 0.02
NOTICE_INTERVAL_S = 0.1
# A client bears no more than 16 informational responses.
MAX_NOTICES = 13


@asynccontextmanager
async def announce_waiting(
    responder: Responder, is_waiting: Callable[[], bool]
) -> AsyncIterator[None]:
    """Send informational responses in the context, while `is_waiting` is true.

    The host that has forwarded the request does not end its own attempt meanwhile.
    """
    task = await curio.spawn(_send_notices, responder, is_waiting, daemon=True)
    try:
        yield
    finally:
        await task.cancel()


async def _send_notices(responder: Responder, is_waiting: Callable[[], bool]) -> None:
    for number in range(MAX_NOTICES):
        await curio.sleep(NOTICE_INTERVAL_S if number else FIRST_NOTICE_S)
        if responder.started or not is_waiting():
            return
        try:
            await responder.send_informational(PROCESSING)
        except OSError:
            # The host has closed the connection, which its server notices.
            return
