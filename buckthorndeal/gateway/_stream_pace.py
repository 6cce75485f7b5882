"""Events of one stream, as far as they tell the pace of its endpoint; no I/O."""

from dataclasses import dataclass

# Share of the time of a stream that its caller may hold it up without hiding the pace.
MAX_HELD_SHARE = 0.1


@dataclass(slots=True)
class StreamPace:
    """Events that a stream has brought.

    Parameters
    ----------
    received_s : float
        Clock reading when the headers were received.
    events : int
        Number of events.
    held_s : float
        Time for which the caller has not taken them, in seconds.
    """

    received_s: float = 0.0
    events: int = 0
    held_s: float = 0.0

    def count_events(self, now_s: float) -> int:
        """Return the number of events of a stream that ends now.

        The result is 0 if the caller was too slow to tell the pace of the endpoint.
        """
        is_held = self.held_s > MAX_HELD_SHARE * (now_s - self.received_s)
        return 0 if is_held else self.events
