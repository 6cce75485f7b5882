"""Order of messages that have arrived while the process was stopped."""

from collections.abc import Callable

import curio

from buckthorndeal.gateway._fleet_messages import (
    EndpointLeft,
    FleetChanged,
    HeartbeatsReceived,
)
from buckthorndeal.logs import log_event
from buckthorndeal.mailbox import Envelope, Mailbox

# Lateness of a message or timer from which the process counts as stopped meanwhile.
MIN_STOP_S = 0.5
# A longer wait would hide a stop that falls into it.
MAX_WAIT_S = 0.5
# Time in which the connections to coordinators are read that hold unread news.
CATCH_UP_S = 0.1
# What coordinators tell comes first. All else keeps its order: a request that is
# withdrawn has to come before its end.
NEWS = (EndpointLeft, FleetChanged, HeartbeatsReceived)


class Backlog:
    """Receives messages, after a stop of the process those of coordinators first.

    What this host knew of endpoints before a stop may be out of date, and requests and
    newer heartbeats are both unread.

    Parameters
    ----------
    mailbox : Mailbox
        Mailbox of the receiving task.
    clock : callable
        Returns monotonic seconds.
    on_stop : callable
        Called after a stop with its duration in seconds and the clock reading.
    """

    def __init__(
        self,
        mailbox: Mailbox,
        clock: Callable[[], float],
        on_stop: Callable[[float, float], None],
    ) -> None:
        self._mailbox = mailbox
        self._clock = clock
        self._on_stop = on_stop
        self._received_s: float | None = None

    async def receive(self, wait_s: float) -> list[Envelope]:
        """Return the next messages in order; none if none arrives.

        Parameters
        ----------
        wait_s : float
            Time to wait for the first message.
        """
        if self._received_s is None:
            self._received_s = self._clock()
        wait_s = min(wait_s, MAX_WAIT_S)
        envelope = await self._mailbox.receive_within(wait_s)
        envelopes = [] if envelope is None else [envelope]
        now_s = self._clock()
        late_s = now_s - self._received_s - wait_s
        self._received_s = now_s
        if late_s < MIN_STOP_S:
            return envelopes
        self._on_stop(late_s, now_s)
        await self._catch_up(envelopes)
        log_event(
            "process_stopped",
            late_ms=round(late_s * 1000),
            messages=len(envelopes),
        )
        self._received_s = self._clock()
        return sorted(envelopes, key=_is_no_news)

    async def _catch_up(self, envelopes: list[Envelope]) -> None:
        """Add the messages that arrive while other tasks read what is unread."""
        async with curio.ignore_after(CATCH_UP_S):
            while True:
                envelopes.append(await self._mailbox.receive())


def _is_no_news(envelope: Envelope) -> bool:
    return not isinstance(envelope.message, NEWS)
