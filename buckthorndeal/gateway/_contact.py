"""When anything was last received from any endpoint; no I/O."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class EndpointContact:
    """Last sign of life of any endpoint, as seen over connections of this host.

    Parameters
    ----------
    heard_s : float
        Clock reading when bytes of a response last arrived.
    """

    heard_s: float = -math.inf

    def record(self, now_s: float) -> None:
        """Record that bytes of a response have arrived."""
        self.heard_s = now_s

    def get_silence_ms(self, now_s: float) -> int | None:
        """Return the milliseconds since then; None if nothing has ever arrived."""
        if math.isinf(self.heard_s):
            return None
        return round((now_s - self.heard_s) * 1000)
